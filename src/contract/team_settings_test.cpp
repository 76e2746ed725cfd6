#include "greengagespar/contract/team_settings.h"

#include "greengagespar/base/document.h"
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <random>

using namespace greengagespar;
using namespace std::chrono_literals;

namespace {

const TeamId Team{"umuhuza"};

const std::string GroupText = R"({"model": "order-helper",
  "slots_per_server": 16, "default_deadline_ms": 30000,
  "max_deadline_ms": 120000, "servers": [{"id": "helper-1",
  "endpoint": "127.0.0.1:7101", "data_centre": "kigali-1",
  "checks_fencing": false, "leaving": true}],
  "objectives": [{"measure": "first_token", "within_ms": 460,
  "share": 0.95}]})";
const std::string ServiceText = R"({"slots_per_server": 64,
  "default_deadline_ms": 5000, "max_deadline_ms": 30000,
  "dedupe_window_ms": 120000, "servers": [{"id": "ledger-1",
  "endpoint": "127.0.0.1:7201", "data_centre": "kigali-1"}],
  "non_repeatable": [{"method": "POST", "path": "/bookings"}],
  "objectives": [{"measure": "answer", "within_ms": 500, "share": 0.99}]})";
const std::string WorkspaceText =
    R"({"weight": 2.5, "max_in_flight": 1000, "rate_per_second": 200})";

SettingObject object(const std::string &name, const std::string &text) {
  return {settingsPrefix(Team) + name, 1, boost::json::parse(text)};
}

ParsedTeam parseOne(const std::string &name, const std::string &text) {
  return parseTeam(Team, {object(name, text)});
}

std::vector<SettingObject> allObjects() {
  return {object("groups/helper", GroupText),
          object("services/ledger", ServiceText),
          object("workspaces/butchers", WorkspaceText)};
}

// Returns the text of the only finding, without the common path.
std::string onlyFault(const ParsedTeam &parsed) {
  BOOST_REQUIRE(parsed.Faults.size() == 1u);
  std::string text = findingText(parsed.Faults[0]);
  BOOST_REQUIRE(text.starts_with(settingsPrefix(Team)));
  return text.substr(settingsPrefix(Team).size());
}

} // namespace

BOOST_AUTO_TEST_SUITE(TeamSettings)

BOOST_AUTO_TEST_CASE(parseTeam_documentedObjects_fillsContract) {
  ParsedTeam parsed = parseTeam(Team, allObjects());
  BOOST_REQUIRE(parsed.Faults.empty());
  const Group &group = parsed.Contract.Groups.at(0);
  BOOST_TEST(group.Model == "order-helper");
  BOOST_TEST((group.Team == Team));
  BOOST_TEST((group.MaxDeadline == 120000ms));
  BOOST_TEST(!group.Servers.at(0).ChecksFencing);
  BOOST_TEST(group.Servers.at(0).Leaving);
  BOOST_TEST((group.Objectives.at(0).Within == 460ms));
  const Service &service = parsed.Contract.Services.at(0);
  BOOST_TEST(service.NonRepeatable.at(0).PathPrefix == "/bookings");
  BOOST_TEST((service.DedupeWindow == 120000ms));
  BOOST_TEST(service.Servers.at(0).ChecksFencing);
  const Workspace &workspace = parsed.Contract.Workspaces.at(0);
  BOOST_TEST(workspace.Weight == 2.5);
  BOOST_TEST(workspace.RatePerSecond.value() == 200.0);
}

BOOST_AUTO_TEST_CASE(parseTeam_objectsInAnotherOrder_returnsTheSame) {
  auto objects = allObjects();
  auto first = writeTeam(parseTeam(Team, objects).Contract);
  std::swap(objects[0], objects[2]);
  BOOST_TEST((writeTeam(parseTeam(Team, objects).Contract) == first));
}

BOOST_AUTO_TEST_CASE(parseTeam_badObject_namesTheFault) {
  struct Case {
    std::string Name;
    std::string Text;
    std::string Fault;
  };
  std::string name = "/teams/umuhuza/settings/<groups, services or "
                     "workspaces>/<1 to 63 of a-z, 0-9, . and ->";
  for (const Case &it : std::vector<Case>{
           {"group/a", "{}",
            "group/a: found an unknown kind of object, expected " + name +
                "; the nearest is \"groups\""},
           {"groups/A", "{}",
            "groups/A: found the name \"A\", expected " + name},
           {"groups/a/b", "{}",
            "groups/a/b: found the name \"a/b\", expected " + name},
           {"workspaces/w", "null",
            "workspaces/w: found null, expected an object"},
           {"workspaces/w", R"({"weight": 0})",
            "workspaces/w:weight: found number 0, expected a number over 0 and "
            "at most 1000"},
           {"groups/g",
            R"({"model": "m", "servers": [], "default_deadline_ms": 2,
                "max_deadline_ms": 1})",
            "groups/g:default_deadline_ms: found number 2, expected at most "
            "max_deadline_ms, which is 1"},
           {"groups/g",
            R"({"model": "m", "servers": [], "objectives":
                [{"measure": "answer", "within_ms": 0, "share": 0.5}]})",
            "groups/g:objectives[0].within_ms: found number 0, expected a "
            "whole number of milliseconds from 1 to 3600000"},
           {"services/s",
            R"({"servers": [], "objectives":
                [{"measure": "answer", "within_ms": 1, "share": 1}]})",
            "services/s:objectives[0].share: found number 1, expected a number "
            "over 0 and under 1"}}) {
    BOOST_TEST(onlyFault(parseOne(it.Name, it.Text)) == it.Fault);
  }
}

BOOST_AUTO_TEST_CASE(parseTeam_serverTwice_isRefused) {
  auto objects = allObjects();
  objects.push_back(object("groups/other", GroupText));
  ParsedTeam parsed = parseTeam(Team, objects);
  BOOST_REQUIRE(parsed.Faults.size() == 2u);
  BOOST_TEST(parsed.Faults[0].Path ==
             "/teams/umuhuza/settings/groups/other:servers[0].id");
  BOOST_TEST(parsed.Faults[1].Path ==
             "/teams/umuhuza/settings/groups/other:servers[0].endpoint");
}

BOOST_AUTO_TEST_CASE(parseTeam_overLimits_isRefused) {
  std::vector<SettingObject> many(MaxTeamObjects + 1,
                                  object("workspaces/w", "{}"));
  BOOST_TEST(parseTeam(Team, many).Faults.size() == 1u);
  std::vector<SettingObject> large;
  std::string servers;
  for (int i = 0; i < 1000; ++i)
    servers += (i ? "," : "") + std::string(R"({"id": "S-)") +
               std::to_string(i) + R"(", "endpoint": "127.0.0.1:)" +
               std::to_string(i + 1) +
               R"(", "data_centre": "a-rather-long-name-of-a-data-centre"})";
  for (int i = 0; i < 10; ++i) {
    std::string text = servers;
    for (std::size_t at = 0; (at = text.find("S-", at)) != std::string::npos;)
      text.replace(at, 2, "s" + std::to_string(i) + "-");
    for (std::size_t at = 0; (at = text.find("0.0.1", at)) != text.npos;)
      text.replace(at, 5, "0.1." + std::to_string(i));
    large.push_back(object("services/s" + std::to_string(i),
                           "{\"servers\": [" + text + "]}"));
  }
  BOOST_TEST(onlyFault(parseTeam(Team, large)).find("bytes in all") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(readTeam_writtenContract_isEqual) {
  auto written = writeTeam(parseTeam(Team, allObjects()).Contract);
  auto back = recoverFrom(
      [&]() -> Result<boost::json::object> {
        auto text = boost::json::serialize(written);
        BOOST_LEAF_AUTO(contract, readTeam(boost::json::parse(text)));
        return writeTeam(contract);
      },
      [](const Error &e) {
        BOOST_ERROR(e.Message);
        return boost::json::object();
      });
  BOOST_TEST((back == written));
  BOOST_TEST(back.at("groups").as_object().contains("helper"));
}

BOOST_AUTO_TEST_CASE(assemble_twoTeams_containsAllByName) {
  ParsedTeam first = parseTeam(Team, allObjects());
  TeamContract second;
  second.Workspaces.push_back({{"roofers"}, {"omuramba"}, 1, 1, {}});
  Contract all = assemble({7}, {first.Contract, second});
  BOOST_TEST(all.At.Value == 7u);
  BOOST_TEST(all.Groups.contains({"helper"}));
  BOOST_TEST(all.Services.contains({"ledger"}));
  BOOST_TEST(all.Workspaces.size() == 2u);
}

// Changes random bytes of the example objects. Each result must be refused with
// a finding or be a contract that is the same after writing and reading.
BOOST_AUTO_TEST_CASE(parseTeam_mutatedDocuments_returnsFindingOrContract) {
  std::mt19937 random(20240601);
  const std::string alphabet = "{}[]\",:0123456789-.eE tfnaz\x01\xff/";
  const std::vector<std::string> texts = {GroupText, ServiceText,
                                          WorkspaceText};
  const std::vector<std::string> names = {"groups/a", "services/a",
                                          "workspaces/a"};
  int accepted = 0;
  int refused = 0;
  for (int i = 0; i < 20000; ++i) {
    std::size_t which = random() % texts.size();
    std::string text = texts[which];
    for (std::size_t n = 1 + random() % 3; n > 0; --n) {
      std::size_t at = random() % text.size();
      if (random() % 2)
        text[at] = alphabet[random() % alphabet.size()];
      else
        text.erase(at, 1 + random() % 4);
    }
    Findings findings;
    auto value = parseDocument(text, findings);
    BOOST_REQUIRE(value.has_value() == findings.empty());
    if (!value)
      continue;
    std::string path = settingsPrefix(Team) + names[which];
    ParsedTeam parsed = parseTeam(Team, {{path, 1, *value}});
    ++(parsed.Faults.empty() ? accepted : refused);
    if (!parsed.Faults.empty())
      continue;
    auto written = writeTeam(parsed.Contract);
    bool same = recoverFrom(
        [&]() -> Result<bool> {
          BOOST_LEAF_AUTO(contract, readTeam(written));
          return writeTeam(contract) == written;
        },
        [](const Error &) { return false; });
    BOOST_REQUIRE(same);
  }
  BOOST_TEST(accepted > 100);
  BOOST_TEST(refused > 100);
}

BOOST_AUTO_TEST_SUITE_END()
