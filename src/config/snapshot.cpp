#include "greengagespar/config/snapshot.h"

#include "greengagespar/contract/team_settings.h"
#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

namespace greengagespar {

namespace json = boost::json;

namespace {

boost::leaf::error_id malformed() {
  return fail(ErrorKind::BadSettings, "a peer's settings are malformed");
}

Result<std::uint64_t> numberAt(const json::object &from,
                               std::string_view name) {
  const json::value *it = from.if_contains(name);
  if (it == nullptr || !it->is_number())
    return malformed();
  json::error_code ec;
  auto n = it->to_number<std::uint64_t>(ec);
  if (ec)
    return malformed();
  return n;
}

json::object teamValue(const SnapshotTeam &team) {
  return {{"generation", team.Accepted.At.Value},
          {"settings_version", team.Accepted.SettingsVersion},
          {"digest", team.Accepted.Digest},
          {"accepted", writeTeam(*team.Declarations)}};
}

Result<SnapshotTeam> teamOf(const json::value &value) {
  if (!value.is_object())
    return malformed();
  const json::object &from = value.get_object();
  AcceptedTeam accepted;
  BOOST_LEAF_ASSIGN(accepted.At.Value, numberAt(from, "generation"));
  BOOST_LEAF_ASSIGN(accepted.SettingsVersion,
                    numberAt(from, "settings_version"));
  const json::value *digest = from.if_contains("digest");
  const json::value *form = from.if_contains("accepted");
  if (digest == nullptr || !digest->is_string() || form == nullptr)
    return malformed();
  accepted.Digest = std::string(digest->get_string());
  return readSnapshotTeam(accepted, *form);
}

// Whether \p held has settings of \p team that were accepted later. An index
// that was restored from an older copy lacks acceptances that are in force.
bool hasLater(const Snapshot &held, const TeamId &team, Generation accepted) {
  auto it = held.Teams.find(team);
  return it != held.Teams.end() && it->second.Accepted.At > accepted;
}

} // namespace

std::vector<TeamId> teamsToFetch(const Snapshot &held, const Index &index) {
  std::vector<TeamId> missing;
  for (const auto &[team, accepted] : index.Teams) {
    auto it = held.Teams.find(team);
    bool isSame = it != held.Teams.end() && it->second.Accepted == accepted;
    if (!isSame && !hasLater(held, team, accepted.At))
      missing.push_back(team);
  }
  return missing;
}

Result<SnapshotTeam> readSnapshotTeam(const AcceptedTeam &accepted,
                                      const json::value &value) {
  BOOST_LEAF_AUTO(contract, readTeam(value));
  return SnapshotTeam{
      accepted, std::make_shared<const TeamContract>(std::move(contract))};
}

std::shared_ptr<const Contract> contractOf(const Snapshot &snapshot) {
  std::vector<TeamContract> teams;
  teams.reserve(snapshot.Teams.size());
  for (const auto &[id, team] : snapshot.Teams)
    teams.push_back(*team.Declarations);
  return std::make_shared<const Contract>(assemble(snapshot.At, teams));
}

std::string serializeSnapshot(const Snapshot &snapshot, Generation since) {
  json::object teams;
  for (const auto &[id, team] : snapshot.Teams)
    if (team.Accepted.At > since)
      teams[id.Value] = teamValue(team);
  return json::serialize(json::object{{"generation", snapshot.At.Value},
                                      {"since", since.Value},
                                      {"teams", std::move(teams)}});
}

Result<Snapshot> parseSnapshot(const Snapshot &held, std::string_view text) {
  json::error_code ec;
  json::value parsed =
      json::parse(json::string_view(text.data(), text.size()), ec);
  if (ec || !parsed.is_object())
    return malformed();
  const json::object &from = parsed.get_object();
  Generation at;
  Generation since;
  BOOST_LEAF_ASSIGN(at.Value, numberAt(from, "generation"));
  BOOST_LEAF_ASSIGN(since.Value, numberAt(from, "since"));
  if (since > held.At || at < held.At)
    return fail(ErrorKind::Conflict,
                "a peer's settings can't be applied on top of generation " +
                    std::to_string(held.At.Value));
  const json::value *teams = from.if_contains("teams");
  if (teams == nullptr || !teams->is_object())
    return malformed();
  Snapshot next = held;
  next.At = at;
  for (const auto &it : teams->get_object()) {
    BOOST_LEAF_AUTO(team, teamOf(it.value()));
    TeamId id{std::string(it.key())};
    if (!hasLater(held, id, team.Accepted.At))
      next.Teams[id] = std::move(team);
  }
  return next;
}

} // namespace greengagespar
