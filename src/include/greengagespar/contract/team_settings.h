/// \file
/// Parses a team's settings objects into a validated TeamContract and writes
/// the accepted form that the system stores. All functions are pure and thread
/// safe.
#ifndef GREENGAGESPAR_CONTRACT_TEAM_SETTINGS_H
#define GREENGAGESPAR_CONTRACT_TEAM_SETTINGS_H

#include "greengagespar/base/finding.h"
#include "greengagespar/contract/contract.h"
#include <boost/json/value.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace greengagespar {

/// One object under /teams/<team>/settings/, as read from the platform.
struct SettingObject {
  std::string Path;          ///< For example "/teams/a/settings/groups/g".
  std::uint64_t Version = 0; ///< The platform's revision of its last change.
  boost::json::value Value;
};

/// A team's settings after validation.
struct ParsedTeam {
  TeamContract Contract; ///< Valid only if Faults is empty.
  /// All faults, with paths such as "<object path>:servers[0].endpoint".
  Findings Faults;
};

/// Largest value of one object of the platform, in bytes of JSON text.
inline constexpr std::size_t MaxObjectBytes = 1000000;

/// Maximum number of settings objects of one team.
inline constexpr std::size_t MaxTeamObjects = 4096;

/// Returns "/teams/<team>/settings/".
std::string settingsPrefix(const TeamId &team);

/// Validates all settings objects of \p team: each one by itself, and that no
/// two servers have the same id or endpoint address. The result does not depend
/// on the order of \p objects.
ParsedTeam parseTeam(const TeamId &team, std::vector<SettingObject> objects);

/// Returns \p contract in the accepted form:
/// {"team", "groups": {id: group}, "services": ..., "workspaces": ...}.
/// Equal contracts give equal text.
boost::json::object writeTeam(const TeamContract &contract);

/// Reads the accepted form. Fails with BadSettings.
Result<TeamContract> readTeam(const boost::json::value &value);

/// Merges the accepted contracts of all teams at generation \p at.
/// Precondition: no group, service or workspace occurs in two of them, as
/// acceptTeam ensures.
Contract assemble(Generation at, const std::vector<TeamContract> &teams);

} // namespace greengagespar

#endif // GREENGAGESPAR_CONTRACT_TEAM_SETTINGS_H
