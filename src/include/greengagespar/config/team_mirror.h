/// \file
/// A copy of what teams have written, kept by the processes that accept it.
/// Pure functions; thread safe on separate values.
#ifndef GREENGAGESPAR_CONFIG_TEAM_MIRROR_H
#define GREENGAGESPAR_CONFIG_TEAM_MIRROR_H

#include "greengagespar/base/ids.h"
#include "greengagespar/contract/team_settings.h"
#include "greengagespar/store/object.h"
#include "greengagespar/store/prefix_watch.h"
#include <map>
#include <set>
#include <string>
#include <vector>

namespace greengagespar {

/// What one team has written.
struct TeamObjects {
  /// Settings by path.
  std::map<std::string, Object> Settings;
  /// The present value of "/teams/<team>/status/settings", with its version.
  Object Status;
};

/// Prefix of all teams' settings and status on the platform.
inline constexpr const char *TeamsPrefix = "/teams/";

/// What all teams have written at one revision.
struct TeamMirror {
  ObjectVersion Revision;
  std::map<TeamId, TeamObjects> Teams;
};

/// Takes in a change under TeamsPrefix. Returns the teams whose settings
/// changed; after a whole listing that is every team.
std::set<TeamId> applyChange(TeamMirror &mirror, const PrefixChange &change);

/// Returns a team's settings for parseTeam.
std::vector<SettingObject> settingsOf(const TeamObjects &team);

/// Returns the highest version of the team's settings objects; 0 without any.
ObjectVersion newestVersion(const TeamObjects &team);

} // namespace greengagespar

#endif // GREENGAGESPAR_CONFIG_TEAM_MIRROR_H
