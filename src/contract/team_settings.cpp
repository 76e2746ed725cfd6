#include "greengagespar/contract/team_settings.h"

#include "team_schema.h"
#include <algorithm>
#include <boost/json.hpp>
#include <map>

namespace greengagespar {

namespace {

namespace json = boost::json;

const std::vector<std::string> Kinds = {"groups", "services", "workspaces"};

// Returns \p path for a finding, quoted unless it is short printable ASCII. The
// platform sends the paths of objects, which may contain any byte.
std::string printable(const std::string &path) {
  auto visible = [](char c) { return c > 0x20 && c < 0x7f; };
  bool plain = std::all_of(path.begin(), path.end(), visible);
  return plain && path.size() <= 256 ? path : quoted(path);
}

// The state of parsing one team's settings.
struct ParseState {
  ParsedTeam Out;
  std::string Prefix;
  std::map<ServerId, std::string> ServerPaths;
  std::map<Address, std::string> EndpointPaths;
};

void checkServers(ParseState &state, const std::vector<Server> &servers,
                  const std::string &path) {
  for (std::size_t i = 0; i < servers.size(); ++i) {
    std::string here = path + ":servers[" + std::to_string(i) + "]";
    const Server &server = servers[i];
    auto id = state.ServerPaths.try_emplace(server.Id, here);
    if (!id.second)
      addFinding(state.Out.Faults, here + ".id",
                 "the id of " + id.first->second,
                 "an id that no other server has");
    auto endpoint = state.EndpointPaths.try_emplace(server.Endpoint, here);
    if (!endpoint.second)
      addFinding(state.Out.Faults, here + ".endpoint",
                 "the endpoint of " + endpoint.first->second,
                 "an address that no other server has");
  }
}

// Validates what groups and services have in common.
template <class S>
void checkCommon(ParseState &state, const S &object, const std::string &path) {
  checkServers(state, object.Servers, path);
  if (object.DefaultDeadline > object.MaxDeadline)
    addFinding(state.Out.Faults, path + ":default_deadline_ms",
               "number " + std::to_string(object.DefaultDeadline.count()),
               "at most max_deadline_ms, which is " +
                   std::to_string(object.MaxDeadline.count()));
}

template <class S, class Id>
S readNamed(ParseState &state, const Schema<S> &schema,
            const json::value &value, const std::string &path, Id id) {
  S object{};
  object.Id = std::move(id);
  object.Team = state.Out.Contract.Team;
  if (value.is_object())
    readObject(schema, value, path + ":", object, state.Out.Faults);
  else
    addFinding(state.Out.Faults, path, describeValue(value), "an object");
  return object;
}

void readSetting(ParseState &state, const SettingObject &object) {
  std::string path = printable(object.Path);
  std::string expected = state.Prefix + "<groups, services or workspaces>/" +
                         "<1 to 63 of a-z, 0-9, . and ->";
  Findings &faults = state.Out.Faults;
  if (!object.Path.starts_with(state.Prefix)) {
    addFinding(faults, path, "an object outside the settings", expected);
    return;
  }
  std::string rest = object.Path.substr(state.Prefix.size());
  std::size_t slash = std::min(rest.find('/'), rest.size());
  std::string kind = rest.substr(0, slash);
  std::string id = rest.substr(std::min(slash + 1, rest.size()));
  if (std::find(Kinds.begin(), Kinds.end(), kind) == Kinds.end()) {
    addFinding(faults, path, "an unknown kind of object",
               expected + "; the nearest is " +
                   quoted(nearestName(kind, Kinds)));
    return;
  }
  if (!isIdText(id)) {
    addFinding(faults, path, "the name " + quoted(id), expected);
    return;
  }
  TeamContract &contract = state.Out.Contract;
  if (kind == "groups") {
    contract.Groups.push_back(readNamed(state, detail::groupSchema(),
                                        object.Value, path, GroupId{id}));
    checkCommon(state, contract.Groups.back(), path);
  } else if (kind == "services") {
    contract.Services.push_back(readNamed(state, detail::serviceSchema(),
                                          object.Value, path, ServiceId{id}));
    checkCommon(state, contract.Services.back(), path);
  } else {
    contract.Workspaces.push_back(readNamed(
        state, detail::workspaceSchema(), object.Value, path, WorkspaceId{id}));
  }
}

template <class S>
json::object writeAll(const Schema<S> &schema, const std::vector<S> &objects) {
  json::object out;
  for (const S &it : objects)
    out[it.Id.Value] = writeObject(schema, it);
  return out;
}

void appendObjects(const json::object &accepted, const std::string &prefix,
                   const std::string &kind, std::vector<SettingObject> &out) {
  const json::value *objects = accepted.if_contains(kind);
  if (!objects || !objects->is_object())
    return;
  for (const auto &it : objects->get_object())
    out.push_back({prefix + kind + "/" + std::string(it.key()), 0, it.value()});
}

} // namespace

std::string settingsPrefix(const TeamId &team) {
  return "/teams/" + team.Value + "/settings/";
}

ParsedTeam parseTeam(const TeamId &team, std::vector<SettingObject> objects) {
  ParseState state;
  state.Out.Contract.Team = team;
  state.Prefix = settingsPrefix(team);
  Findings &faults = state.Out.Faults;
  if (!isIdText(team.Value))
    addFinding(faults, printable(state.Prefix),
               "the team " + quoted(team.Value),
               "a team name: 1 to 63 of a-z, 0-9, . and -");
  if (objects.size() > MaxTeamObjects) {
    addFinding(faults, printable(state.Prefix),
               std::to_string(objects.size()) + " objects",
               "at most " + std::to_string(MaxTeamObjects));
    return state.Out;
  }
  std::sort(objects.begin(), objects.end(),
            [](const SettingObject &a, const SettingObject &b) {
              return a.Path < b.Path;
            });
  for (const SettingObject &it : objects)
    readSetting(state, it);
  if (!faults.empty())
    return state.Out;
  std::size_t n = json::serialize(writeTeam(state.Out.Contract)).size();
  if (n > MaxObjectBytes)
    addFinding(faults, state.Prefix, std::to_string(n) + " bytes in all",
               "at most " + std::to_string(MaxObjectBytes));
  return state.Out;
}

json::object writeTeam(const TeamContract &contract) {
  json::object out;
  out["team"] = contract.Team.Value;
  out["groups"] = writeAll(detail::groupSchema(), contract.Groups);
  out["services"] = writeAll(detail::serviceSchema(), contract.Services);
  out["workspaces"] = writeAll(detail::workspaceSchema(), contract.Workspaces);
  return out;
}

Result<TeamContract> readTeam(const json::value &value) {
  const json::object *accepted = value.if_object();
  const json::value *team = accepted ? accepted->if_contains("team") : nullptr;
  if (!team || !team->is_string())
    return fail(ErrorKind::BadSettings, "accepted settings name no team");
  TeamId id{std::string(team->get_string())};
  std::vector<SettingObject> objects;
  for (const std::string &kind : Kinds)
    appendObjects(*accepted, settingsPrefix(id), kind, objects);
  ParsedTeam parsed = parseTeam(id, std::move(objects));
  if (parsed.Faults.empty())
    return std::move(parsed.Contract);
  Error error = settingsError("accepted settings", parsed.Faults);
  return fail(error.Kind, error.Message);
}

Contract assemble(Generation at, const std::vector<TeamContract> &teams) {
  Contract out;
  out.At = at;
  for (const TeamContract &team : teams) {
    for (const Group &it : team.Groups)
      out.Groups.emplace(it.Id, it);
    for (const Service &it : team.Services)
      out.Services.emplace(it.Id, it);
    for (const Workspace &it : team.Workspaces)
      out.Workspaces.emplace(it.Id, it);
  }
  return out;
}

} // namespace greengagespar
