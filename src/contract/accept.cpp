#include "greengagespar/contract/accept.h"

#include "greengagespar/base/hash.h"
#include <array>
#include <boost/json.hpp>
#include <cstdio>

namespace greengagespar {

namespace {

namespace json = boost::json;

// A kind of claim with its key in the index and its name in findings.
struct ClaimRow {
  ClaimKind Kind;
  const char *Key;
  const char *DisplayName;
};

constexpr std::array<ClaimRow, 6> ClaimRows = {{
    {ClaimKind::Server, "servers", "server"},
    {ClaimKind::Endpoint, "endpoints", "endpoint address"},
    {ClaimKind::Group, "groups", "group"},
    {ClaimKind::Service, "services", "service"},
    {ClaimKind::Workspace, "workspaces", "workspace"},
    {ClaimKind::Model, "models", "model"},
}};

const ClaimRow &rowOf(ClaimKind kind) {
  return ClaimRows.at(static_cast<std::size_t>(kind));
}

// A claim with its path in the settings.
struct ClaimAtPath {
  Claim What;
  std::string Path;
};

void addClaim(ClaimKind kind, const std::string &name, std::string path,
              std::vector<ClaimAtPath> &out) {
  ClaimAtPath &added = out.emplace_back();
  added.What.Kind = kind;
  added.What.Name = name;
  added.Path = std::move(path);
}

void addServerClaims(const std::vector<Server> &servers,
                     const std::string &path, std::vector<ClaimAtPath> &out) {
  for (std::size_t i = 0; i < servers.size(); ++i) {
    std::string here = path + ":servers[" + std::to_string(i) + "]";
    const Server &it = servers[i];
    addClaim(ClaimKind::Server, it.Id.Value, here + ".id", out);
    addClaim(ClaimKind::Endpoint, it.Endpoint.Value, here + ".endpoint", out);
  }
}

std::vector<ClaimAtPath> claimsWithPaths(const TeamContract &contract) {
  std::vector<ClaimAtPath> out;
  std::string prefix = settingsPrefix(contract.Team);
  for (const Group &it : contract.Groups) {
    std::string path = prefix + "groups/" + it.Id.Value;
    addClaim(ClaimKind::Group, it.Id.Value, path, out);
    addClaim(ClaimKind::Model, it.Model, path + ":model", out);
    addServerClaims(it.Servers, path, out);
  }
  for (const Service &it : contract.Services) {
    std::string path = prefix + "services/" + it.Id.Value;
    addClaim(ClaimKind::Service, it.Id.Value, path, out);
    addServerClaims(it.Servers, path, out);
  }
  for (const Workspace &it : contract.Workspaces)
    addClaim(ClaimKind::Workspace, it.Id.Value,
             prefix + "workspaces/" + it.Id.Value, out);
  return out;
}

Findings findForeignClaims(const Index &index, const TeamContract &contract) {
  Findings faults;
  for (const ClaimAtPath &it : claimsWithPaths(contract)) {
    auto holder = index.Claims.find(it.What);
    if (holder == index.Claims.end() || holder->second == contract.Team)
      continue;
    std::string displayName = rowOf(it.What.Kind).DisplayName;
    addFinding(faults, it.Path,
               displayName + " " + quoted(it.What.Name) + ", which team " +
                   quoted(holder->second.Value) + " has",
               "one that no other team has");
  }
  return faults;
}

Index indexWith(const Index &index, const TeamContract &contract,
                AcceptedTeam accepted) {
  Index next = index;
  next.At = accepted.At;
  next.Teams[contract.Team] = std::move(accepted);
  std::erase_if(next.Claims,
                [&](const auto &it) { return it.second == contract.Team; });
  for (Claim &it : claimsOf(contract))
    next.Claims[std::move(it)] = contract.Team;
  return next;
}

AcceptDecision refuse(AcceptDecision decision, Findings faults) {
  decision.Outcome = AcceptOutcome::Refused;
  decision.Faults = std::move(faults);
  return decision;
}

std::optional<std::uint64_t> numberAt(const json::object &object,
                                      const char *key) {
  const json::value *value = object.if_contains(key);
  if (!value || !value->is_number())
    return std::nullopt;
  boost::system::error_code ec;
  auto n = value->to_number<std::uint64_t>(ec);
  return ec ? std::nullopt : std::optional(n);
}

Result<AcceptedTeam> readAccepted(const json::value &value) {
  const json::object *object = value.if_object();
  if (!object)
    return fail(ErrorKind::BadSettings,
                "index: the entry of a team is not an object");
  auto at = numberAt(*object, "generation");
  auto version = numberAt(*object, "settings_version");
  const json::value *digest = object->if_contains("digest");
  if (!at || !version || !digest || !digest->is_string())
    return fail(ErrorKind::BadSettings,
                "index: the entry of a team lacks a valid value for the key "
                "generation, settings_version or digest");
  return AcceptedTeam{{*at}, *version, std::string(digest->get_string())};
}

Result<void> readTeams(const json::object &index, Index &out) {
  const json::value *teams = index.if_contains("teams");
  if (!teams || !teams->is_object())
    return fail(ErrorKind::BadSettings,
                "index: teams is missing or is not an object");
  for (const auto &it : teams->get_object()) {
    BOOST_LEAF_AUTO(accepted, readAccepted(it.value()));
    out.Teams[TeamId{std::string(it.key())}] = accepted;
  }
  return {};
}

Result<void> readClaims(const json::object &index, const ClaimRow &row,
                        Index &out) {
  const json::value *claims = index.if_contains(row.Key);
  if (!claims)
    return {};
  if (!claims->is_object())
    return fail(ErrorKind::BadSettings,
                "index: a list of claims is not an object");
  for (const auto &it : claims->get_object()) {
    if (!it.value().is_string())
      return fail(ErrorKind::BadSettings,
                  "index: the team of a claim is not a string");
    out.Claims[{row.Kind, std::string(it.key())}] =
        TeamId{std::string(it.value().get_string())};
  }
  return {};
}

} // namespace

std::string acceptedPath(const TeamId &team, const AcceptedTeam &accepted) {
  return "/system/accepted/" + team.Value + "/" +
         std::to_string(accepted.At.Value) + "-" + accepted.Digest;
}

std::string digestOf(const TeamContract &contract) {
  std::uint64_t hash = stableHash(json::serialize(writeTeam(contract)));
  std::array<char, 17> buf{};
  std::snprintf(buf.data(), buf.size(), "%016llx",
                static_cast<unsigned long long>(hash));
  return buf.data();
}

std::vector<Claim> claimsOf(const TeamContract &contract) {
  std::vector<Claim> claims;
  for (ClaimAtPath &it : claimsWithPaths(contract))
    claims.push_back(std::move(it.What));
  return claims;
}

AcceptDecision acceptTeam(const Index &index, const TeamId &team,
                          const ParsedTeam &parsed,
                          std::uint64_t settingsVersion) {
  AcceptDecision decision;
  decision.Next = index;
  auto it = index.Teams.find(team);
  if (it != index.Teams.end())
    decision.Team = it->second;
  if (it != index.Teams.end() &&
      settingsVersion <= it->second.SettingsVersion) {
    decision.Outcome = AcceptOutcome::Older;
    return decision;
  }
  if (!parsed.Faults.empty())
    return refuse(std::move(decision), parsed.Faults);
  Findings foreign = findForeignClaims(index, parsed.Contract);
  if (!foreign.empty())
    return refuse(std::move(decision), std::move(foreign));
  std::string digest = digestOf(parsed.Contract);
  if (decision.Team.Digest == digest) {
    decision.Outcome = AcceptOutcome::Unchanged;
    return decision;
  }
  AcceptedTeam accepted{{index.At.Value + 1}, settingsVersion, digest};
  Index next = indexWith(index, parsed.Contract, accepted);
  if (json::serialize(writeIndex(next)).size() > MaxObjectBytes)
    return refuse(std::move(decision),
                  {{settingsPrefix(team),
                    "more names than the system's index "
                    "holds",
                    "fewer servers, workspaces, groups and services"}});
  decision.Outcome = AcceptOutcome::Accepted;
  decision.Next = std::move(next);
  decision.Team = std::move(accepted);
  return decision;
}

json::object writeIndex(const Index &index) {
  json::object teams;
  for (const auto &[team, accepted] : index.Teams)
    teams[team.Value] = {{"generation", accepted.At.Value},
                         {"settings_version", accepted.SettingsVersion},
                         {"digest", accepted.Digest}};
  json::object out;
  out["generation"] = index.At.Value;
  out["teams"] = std::move(teams);
  for (const ClaimRow &row : ClaimRows)
    out[row.Key] = json::object();
  for (const auto &[claim, team] : index.Claims)
    out[rowOf(claim.Kind).Key].get_object()[claim.Name] = team.Value;
  return out;
}

Result<Index> readIndex(const json::value &value) {
  const json::object *object = value.if_object();
  auto at = object ? numberAt(*object, "generation") : std::nullopt;
  if (!at)
    return fail(ErrorKind::BadSettings, "index: no valid generation");
  Index out;
  out.At = {*at};
  BOOST_LEAF_CHECK(readTeams(*object, out));
  for (const ClaimRow &row : ClaimRows)
    BOOST_LEAF_CHECK(readClaims(*object, row, out));
  return out;
}

} // namespace greengagespar
