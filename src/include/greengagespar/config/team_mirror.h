/// \file
/// A copy of the objects that teams have written, kept by the processes that
/// accept settings. Pure functions; thread safe on separate values.
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

/// The settings objects and the status object of one team.
struct TeamObjects {
  /// Settings objects by path.
  std::map<std::string, Object> Settings;
  /// The current object "/teams/<team>/status/settings", which acceptors write.
  /// Version 0: there is none.
  Object Status;
};

/// Path prefix of all teams' settings and status on the platform.
inline constexpr const char *TeamsPrefix = "/teams/";

/// The objects of all teams at one revision of the platform.
struct TeamMirror {
  ObjectVersion Revision;
  std::map<TeamId, TeamObjects> Teams;
};

/// Applies a change under TeamsPrefix and returns the teams whose settings
/// changed; for a whole listing, all teams. Ignores a change that is older than
/// the mirror.
std::set<TeamId> applyChange(TeamMirror &mirror, const PrefixChange &change);

/// Returns a team's settings objects in the form that parseTeam reads.
std::vector<SettingObject> settingsOf(const TeamObjects &team);

/// Returns the highest version of the team's settings objects; 0 if it has
/// none.
ObjectVersion newestVersion(const TeamObjects &team);

} // namespace greengagespar

#endif // GREENGAGESPAR_CONFIG_TEAM_MIRROR_H
