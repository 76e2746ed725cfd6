#include "greengagespar/config/index.h"

#include "greengagespar/base/hash.h"
#include <boost/json/serialize.hpp>
#include <cstdio>

namespace greengagespar {

namespace json = boost::json;

namespace {

boost::leaf::error_id malformed(std::string_view what) {
  return fail(ErrorKind::BadSettings,
              "the accepted settings have no valid " + std::string(what));
}

Result<const json::object *> objectAt(const json::object &from,
                                      std::string_view name) {
  const json::value *it = from.if_contains(name);
  if (it == nullptr || !it->is_object())
    return malformed(name);
  return &it->get_object();
}

Result<std::uint64_t> numberAt(const json::object &from,
                               std::string_view name) {
  const json::value *it = from.if_contains(name);
  json::error_code ec;
  if (it == nullptr || !it->is_number())
    return malformed(name);
  auto n = it->to_number<std::uint64_t>(ec);
  if (ec)
    return malformed(name);
  return n;
}

Result<std::string> textAt(const json::object &from, std::string_view name) {
  const json::value *it = from.if_contains(name);
  if (it == nullptr || !it->is_string())
    return malformed(name);
  return std::string(it->get_string());
}

Result<AcceptedRef> refOf(const json::value &value) {
  if (!value.is_object())
    return malformed("reference");
  const json::object &from = value.get_object();
  AcceptedRef ref;
  BOOST_LEAF_ASSIGN(ref.At.Value, numberAt(from, "generation"));
  BOOST_LEAF_ASSIGN(ref.SettingsVersion, numberAt(from, "settings_version"));
  BOOST_LEAF_ASSIGN(ref.Digest, textAt(from, "digest"));
  return ref;
}

json::object refValue(const AcceptedRef &ref) {
  return {{"generation", ref.At.Value},
          {"settings_version", ref.SettingsVersion},
          {"digest", ref.Digest}};
}

} // namespace

Result<SettingsIndex> parseIndex(const json::value &value) {
  if (!value.is_object())
    return malformed("index");
  const json::object &from = value.get_object();
  SettingsIndex index;
  BOOST_LEAF_ASSIGN(index.At.Value, numberAt(from, "generation"));
  BOOST_LEAF_AUTO(teams, objectAt(from, "teams"));
  for (const auto &it : *teams) {
    BOOST_LEAF_AUTO(ref, refOf(it.value()));
    index.Teams[{std::string(it.key())}] = std::move(ref);
  }
  BOOST_LEAF_AUTO(servers, objectAt(from, "servers"));
  for (const auto &it : *servers) {
    if (!it.value().is_string())
      return malformed("servers");
    index.Servers[{std::string(it.key())}] = {
        std::string(it.value().get_string())};
  }
  return index;
}

json::value indexValue(const SettingsIndex &index) {
  json::object teams;
  for (const auto &[team, ref] : index.Teams)
    teams[team.Value] = refValue(ref);
  json::object servers;
  for (const auto &[server, team] : index.Servers)
    servers[server.Value] = team.Value;
  return json::object{{"generation", index.At.Value},
                      {"teams", std::move(teams)},
                      {"servers", std::move(servers)}};
}

std::string acceptedPath(const TeamId &team, Generation at) {
  return "/system/accepted/" + team.Value + "/" + std::to_string(at.Value);
}

Result<AcceptedTeam> parseAccepted(const json::value &value,
                                   const AcceptedRef &expected) {
  AcceptedTeam team;
  BOOST_LEAF_ASSIGN(team.Ref, refOf(value));
  const json::value *settings = value.get_object().if_contains("settings");
  if (settings == nullptr)
    return malformed("settings");
  team.Settings = *settings;
  bool same = team.Ref.At == expected.At &&
              settingsDigest(team.Settings) == expected.Digest;
  if (!same)
    return fail(ErrorKind::Conflict,
                "the stored settings are not those accepted at generation " +
                    std::to_string(expected.At.Value));
  team.Ref = expected;
  return team;
}

json::value acceptedValue(const AcceptedTeam &team) {
  json::object value = refValue(team.Ref);
  value["settings"] = team.Settings;
  return value;
}

std::string settingsDigest(const json::value &settings) {
  constexpr int hexDigits = 16;
  char text[hexDigits + 1];
  auto hash =
      static_cast<unsigned long long>(stableHash(json::serialize(settings)));
  std::snprintf(text, sizeof(text), "%016llx", hash);
  return text;
}

bool isObsolete(const SettingsIndex &index, const TeamId &team, Generation at) {
  auto it = index.Teams.find(team);
  bool referred = it != index.Teams.end() && it->second.At == at;
  return !referred && index.At >= at;
}

} // namespace greengagespar
