/// \file
/// Tables of the settings objects of a team. Private to the package.
#ifndef GREENGAGESPAR_CONTRACT_TEAM_SCHEMA_H
#define GREENGAGESPAR_CONTRACT_TEAM_SCHEMA_H

#include "greengagespar/base/schema.h"
#include "greengagespar/contract/contract.h"

namespace greengagespar::detail {

/// Return the tables; ids and teams come from the path, not from the value.
/// Thread safe.
const Schema<Group> &groupSchema();
const Schema<Service> &serviceSchema();
const Schema<Workspace> &workspaceSchema();

} // namespace greengagespar::detail

#endif // GREENGAGESPAR_CONTRACT_TEAM_SCHEMA_H
