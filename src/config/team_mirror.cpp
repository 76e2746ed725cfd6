#include "greengagespar/config/team_mirror.h"

#include <algorithm>
#include <optional>
#include <string_view>

namespace greengagespar {

namespace {

constexpr std::string_view SettingsPart = "/settings/";
constexpr std::string_view StatusPart = "/status/settings";

/// The parts of a path under TeamsPrefix.
struct TeamPath {
  TeamId Team;
  std::string Rest; ///< The path after the team; begins with "/".
};

std::optional<TeamPath> parseTeamPath(std::string_view path) {
  std::string_view prefix = TeamsPrefix;
  if (!path.starts_with(prefix))
    return std::nullopt;
  path.remove_prefix(prefix.size());
  std::size_t slash = path.find('/');
  if (slash == 0 || slash == std::string_view::npos)
    return std::nullopt;
  return TeamPath{{std::string(path.substr(0, slash))},
                  std::string(path.substr(slash))};
}

bool isSettings(const TeamPath &path) {
  return path.Rest.starts_with(SettingsPart);
}

void put(TeamMirror &mirror, const TeamPath &path, const Object &object) {
  TeamObjects &team = mirror.Teams[path.Team];
  if (isSettings(path))
    team.Settings[object.Path] = object;
  else if (path.Rest == StatusPart)
    team.Status = object;
}

void remove(TeamMirror &mirror, const TeamPath &path,
            const std::string &deleted) {
  TeamObjects &team = mirror.Teams[path.Team];
  if (isSettings(path))
    team.Settings.erase(deleted);
  else if (path.Rest == StatusPart)
    team.Status = {};
}

} // namespace

std::set<TeamId> applyChange(TeamMirror &mirror, const PrefixChange &change) {
  std::set<TeamId> changed;
  if (change.Revision < mirror.Revision)
    return changed;
  mirror.Revision = change.Revision;
  if (change.IsSnapshot)
    for (auto &[team, objects] : mirror.Teams) {
      objects = {};
      changed.insert(team);
    }
  for (const Object &object : change.Objects)
    if (auto path = parseTeamPath(object.Path)) {
      put(mirror, *path, object);
      if (isSettings(*path))
        changed.insert(path->Team);
    }
  for (const std::string &deleted : change.Deleted)
    if (auto path = parseTeamPath(deleted)) {
      remove(mirror, *path, deleted);
      if (isSettings(*path))
        changed.insert(path->Team);
    }
  return changed;
}

std::vector<SettingObject> settingsOf(const TeamObjects &team) {
  std::vector<SettingObject> settings;
  for (const auto &[path, object] : team.Settings)
    settings.push_back({path, object.Version.Value, object.Value});
  return settings;
}

ObjectVersion newestVersion(const TeamObjects &team) {
  ObjectVersion newest;
  for (const auto &[path, object] : team.Settings)
    newest = std::max(newest, object.Version);
  return newest;
}

} // namespace greengagespar
