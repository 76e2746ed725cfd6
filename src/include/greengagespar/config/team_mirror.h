/// \file
/// A copy of what teams have written, kept by the processes that accept it.
/// Pure functions; thread safe on separate values.
#ifndef GREENGAGESPAR_CONFIG_TEAM_MIRROR_H
#define GREENGAGESPAR_CONFIG_TEAM_MIRROR_H

#include "greengagespar/base/ids.h"
#include "greengagespar/platform/object.h"
#include "greengagespar/platform/prefix_watch.h"
#include <boost/json/value.hpp>
#include <map>
#include <set>
#include <string>

namespace greengagespar {

/// What one team has written.
struct TeamObjects {
  /// Settings by path beneath "/teams/<team>/settings/".
  std::map<std::string, Object> Settings;
  /// The present value of "/teams/<team>/status/settings", with its version.
  Object Status;
};

/// What all teams have written at one revision.
struct TeamMirror {
  ObjectVersion Revision;
  std::map<TeamId, TeamObjects> Teams;
};

/// Takes in a change under TeamsPrefix. Returns the teams whose settings
/// changed; after a whole listing that is every team.
std::set<TeamId> applyChange(TeamMirror &mirror, const PrefixChange &change);

/// Returns a team's settings as one value: an object with a member for each
/// path beneath "settings/", in order of path.
boost::json::value readSettings(const TeamObjects &team);

/// Returns the highest version of the team's settings objects; 0 without any.
ObjectVersion newestVersion(const TeamObjects &team);

/// Returns the path of the team's status about its settings.
std::string settingsStatusPath(const TeamId &team);

} // namespace greengagespar

#endif // GREENGAGESPAR_CONFIG_TEAM_MIRROR_H
