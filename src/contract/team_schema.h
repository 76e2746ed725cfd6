/// \file
/// Schemas of a team's settings objects. Private to the package.
#ifndef GREENGAGESPAR_CONTRACT_TEAM_SCHEMA_H
#define GREENGAGESPAR_CONTRACT_TEAM_SCHEMA_H

#include "greengagespar/base/schema.h"
#include "greengagespar/contract/contract.h"

namespace greengagespar::detail {

/// Return the schemas. They don't contain the id and the team, which come from
/// the object's path. Thread safe.
const Schema<Group> &groupSchema();
const Schema<Service> &serviceSchema();
const Schema<Workspace> &workspaceSchema();

} // namespace greengagespar::detail

#endif // GREENGAGESPAR_CONTRACT_TEAM_SCHEMA_H
