#include "greengagespar/contract/accept.h"

#include "greengagespar/contract/status.h"
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

using namespace greengagespar;

namespace {

const TeamId First{"first"};
const TeamId Second{"second"};

// Returns the settings of a team with one service and one server.
ParsedTeam teamWith(const TeamId &team, const std::string &service,
                    const std::string &server, int port) {
  std::string text = R"({"servers": [{"id": ")" + server +
                     R"(", "endpoint": "127.0.0.1:)" + std::to_string(port) +
                     R"(", "data_centre": "a"}]})";
  return parseTeam(team, {{settingsPrefix(team) + "services/" + service, 1,
                           boost::json::parse(text)}});
}

AcceptDecision accept(const Index &index, const TeamId &team,
                      const ParsedTeam &parsed, std::uint64_t version) {
  return acceptTeam(index, team, parsed, version);
}

// An index with team First, which has server s1 at port 1 and was read at
// revision 5.
struct AcceptFixture {
  AcceptDecision Start = accept({}, First, teamWith(First, "one", "s1", 1), 5);
  Index Held = Start.Next;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Accept, AcceptFixture)

BOOST_AUTO_TEST_CASE(acceptTeam_newSettings_incrementsGeneration) {
  BOOST_TEST((Start.Outcome == AcceptOutcome::Accepted));
  BOOST_TEST(Held.At.Value == 1u);
  BOOST_TEST((Held.Claims.at({ClaimKind::Server, "s1"}) == First));
  auto other = accept(Held, Second, teamWith(Second, "two", "s2", 2), 6);
  BOOST_TEST((other.Outcome == AcceptOutcome::Accepted));
  BOOST_TEST(other.Team.At.Value == 2u);
  BOOST_TEST(other.Next.Teams.at(First).At.Value == 1u);
  BOOST_TEST(acceptedPath(Second, other.Team) ==
             "/system/accepted/second/2-" + other.Team.Digest);
}

BOOST_AUTO_TEST_CASE(acceptTeam_olderOrSameVersion_changesNothing) {
  for (std::uint64_t version : {4, 5}) {
    auto again = accept(Held, First, teamWith(First, "one", "s9", 9), version);
    BOOST_TEST((again.Outcome == AcceptOutcome::Older));
    BOOST_TEST((again.Next == Held));
  }
}

BOOST_AUTO_TEST_CASE(acceptTeam_sameSettingsAtLaterVersion_isUnchanged) {
  auto again = accept(Held, First, teamWith(First, "one", "s1", 1), 9);
  BOOST_TEST((again.Outcome == AcceptOutcome::Unchanged));
  BOOST_TEST((again.Next == Held));
}

BOOST_AUTO_TEST_CASE(acceptTeam_faults_keepsSettingsInForce) {
  ParsedTeam bad =
      parseTeam(First, {{settingsPrefix(First) + "services/one", 1, nullptr}});
  auto refused = accept(Held, First, bad, 9);
  BOOST_TEST((refused.Outcome == AcceptOutcome::Refused));
  BOOST_TEST(refused.Faults.size() == 1u);
  BOOST_TEST((refused.Next == Held));
  BOOST_TEST((refused.Team == Held.Teams.at(First)));
}

BOOST_AUTO_TEST_CASE(acceptTeam_claimOfOtherTeam_isRefusedAndNamed) {
  struct Case {
    ParsedTeam Parsed;
    std::string Path;
  };
  std::string prefix = settingsPrefix(Second) + "services/";
  for (const Case &it : std::vector<Case>{
           {teamWith(Second, "two", "s1", 2), prefix + "two:servers[0].id"},
           {teamWith(Second, "two", "s2", 1),
            prefix + "two:servers[0].endpoint"},
           {teamWith(Second, "one", "s2", 2), prefix + "one"}}) {
    auto refused = accept(Held, Second, it.Parsed, 6);
    BOOST_TEST((refused.Outcome == AcceptOutcome::Refused));
    BOOST_TEST((refused.Next == Held));
    BOOST_REQUIRE(refused.Faults.size() == 1u);
    BOOST_TEST(refused.Faults[0].Path == it.Path);
    BOOST_TEST(refused.Faults[0].Found.find("\"first\"") != std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(acceptTeam_claimReleased_isFreeForOthers) {
  auto moved = accept(Held, First, teamWith(First, "one", "s9", 9), 6);
  auto claimed =
      accept(moved.Next, Second, teamWith(Second, "two", "s1", 1), 7);
  BOOST_TEST((claimed.Outcome == AcceptOutcome::Accepted));
}

// Two acceptors read the same index. The one whose conditional update fails
// starts again from the index that the other one wrote. Both orders must end at
// the newest settings.
BOOST_AUTO_TEST_CASE(acceptTeam_racingAcceptors_endAtNewestSettings) {
  ParsedTeam older = teamWith(First, "one", "s2", 2);
  ParsedTeam newer = teamWith(First, "one", "s3", 3);
  Index newerWins = accept(Held, First, newer, 8).Next;
  auto late = accept(newerWins, First, older, 7);
  BOOST_TEST((late.Outcome == AcceptOutcome::Older));
  Index olderWins = accept(Held, First, older, 7).Next;
  auto after = accept(olderWins, First, newer, 8);
  BOOST_TEST((after.Outcome == AcceptOutcome::Accepted));
  BOOST_TEST((after.Next.Claims == newerWins.Claims));
  auto twice = accept(after.Next, First, newer, 8);
  BOOST_TEST((twice.Next == after.Next));
}

BOOST_AUTO_TEST_CASE(readIndex_writtenIndex_isEqual) {
  auto text = boost::json::serialize(writeIndex(Held));
  Index back = recoverFrom([&] { return readIndex(boost::json::parse(text)); },
                           [](const Error &) { return Index(); });
  BOOST_TEST((back == Held));
}

BOOST_AUTO_TEST_CASE(readIndex_badValue_fails) {
  for (const char *it :
       {"null", "{}", R"({"generation": -1, "teams": {}})",
        R"({"generation": 1})", R"({"generation": 1, "teams": {"a": 1}})",
        R"({"generation": 1, "teams": {"a": {"generation": 1}}})",
        R"({"generation": 1, "teams": {}, "servers": {"s": 1}})"}) {
    auto kind = recoverFrom(
        [&]() -> Result<ErrorKind> {
          BOOST_LEAF_CHECK(readIndex(boost::json::parse(it)));
          return ErrorKind::Internal;
        },
        [](const Error &e) { return e.Kind; });
    BOOST_TEST((kind == ErrorKind::BadSettings), it);
  }
}

BOOST_AUTO_TEST_CASE(settingsStatus_writtenRefusal_readsBack) {
  auto refused = accept(Held, Second, teamWith(Second, "one", "s2", 2), 6);
  auto written = writeSettingsStatus(statusOf(refused, 6));
  BOOST_TEST(written.at("state").as_string() == "refused");
  auto back = recoverFrom(
      [&]() -> Result<boost::json::object> {
        BOOST_LEAF_AUTO(status, readSettingsStatus(written));
        return writeSettingsStatus(status);
      },
      [](const Error &) { return boost::json::object(); });
  BOOST_TEST((back == written));
}

BOOST_AUTO_TEST_CASE(inForceStatus_written_readsBack) {
  auto written =
      writeInForceStatus({{7}, 3, 2, {{{"entry-3"}, {6}, "no answer"}}});
  auto back = recoverFrom(
      [&]() -> Result<boost::json::object> {
        BOOST_LEAF_AUTO(status, readInForceStatus(written));
        return writeInForceStatus(status);
      },
      [](const Error &) { return boost::json::object(); });
  BOOST_TEST((back == written));
}

BOOST_AUTO_TEST_SUITE_END()
