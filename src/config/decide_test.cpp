#include "greengagespar/config/decide.h"

#include <boost/test/unit_test.hpp>
#include <random>
#include <string>

using namespace greengagespar;
using namespace std::chrono_literals;

namespace {

const Address PeerA{"10.0.0.1:1"};
const Address PeerB{"10.0.0.2:1"};

/// One process and the actions that its decisions return, as short text.
struct ConfigFixture {
  ConfigState State;
  Clock::time_point Now{1h};

  ConfigFixture() { State.StartedAt = State.LastContact = Now; }

  std::string actionsFor(const ConfigEvent &event) {
    std::string text;
    for (const ConfigAction &action : decideConfig(State, event, Now)) {
      if (const auto *pull = std::get_if<PullFromPeer>(&action))
        text += pull->Peer == PeerA ? "pull A " : "pull B ";
      else if (const auto *install = std::get_if<InstallSettings>(&action))
        text += "install " + std::to_string(install->At.Value) + " ";
      else
        text += "read ";
    }
    return text;
  }
  std::string platformReturns(std::uint64_t at) {
    return actionsFor(SnapshotReceived{{}, {at}, 5s});
  }
  std::string peerReturns(const Address &peer, std::uint64_t at) {
    return actionsFor(SnapshotReceived{peer, {at}, 5s});
  }
  std::string peerReports(const Address &peer, std::uint64_t at) {
    return actionsFor(PeerGenerationReceived{peer, {at}});
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ConfigDecisions, ConfigFixture)

BOOST_AUTO_TEST_CASE(start_platformAnswers_installsAndIsReady) {
  BOOST_TEST(actionsFor(ConfigTick{}) == "read ");
  BOOST_TEST(!isReady(State, Now));
  BOOST_TEST(platformReturns(5) == "install 5 ");
  BOOST_TEST(isReady(State, Now));
}

BOOST_AUTO_TEST_CASE(start_platformUnavailable_waitsForHighestOfPeers) {
  actionsFor(ConfigTick{});
  BOOST_TEST(peerReports(PeerA, 4) == "pull A ");
  BOOST_TEST(peerReports(PeerB, 6) == "");
  BOOST_TEST(peerReturns(PeerA, 4) == "install 4 pull B ");
  BOOST_TEST(!isReady(State, Now));
  BOOST_TEST(peerReturns(PeerB, 6) == "install 6 ");
  Now += State.Limits.GatherTime;
  BOOST_TEST(isReady(State, Now));
}

BOOST_AUTO_TEST_CASE(pull_failsRepeatedly_doesNotPostponeThePlatformRead) {
  actionsFor(ConfigTick{});
  platformReturns(7);
  bool hasRead = false;
  for (int i = 0; i < 60 && !hasRead; ++i) {
    peerReports(PeerA, 9);
    Now += 1s;
    hasRead = actionsFor(PullFailed{PeerA, 10s}).starts_with("read ") ||
              actionsFor(ConfigTick{}).starts_with("read ");
  }
  BOOST_TEST(hasRead);
}

BOOST_AUTO_TEST_CASE(read_staleAnswer_lowersNothingAndIsNotRepeatedAtOnce) {
  actionsFor(ConfigTick{});
  platformReturns(7);
  BOOST_TEST(platformReturns(6) == "");
  BOOST_TEST(State.Installed->Value == 7U);
  peerReports(PeerA, 9);
  BOOST_TEST(actionsFor(PullFailed{PeerA, 0s}) == "read ");
  BOOST_TEST(platformReturns(6) == "");
  Now += 5s;
  BOOST_TEST(actionsFor(ConfigTick{}) == "read ");
}

BOOST_AUTO_TEST_CASE(peerGeneration_newer_isPulledOnce) {
  actionsFor(ConfigTick{});
  platformReturns(7);
  BOOST_TEST(peerReports(PeerA, 7) == "");
  BOOST_TEST(peerReports(PeerA, 6) == "");
  BOOST_TEST(peerReports(PeerA, 8) == "pull A ");
  BOOST_TEST(peerReports(PeerB, 8) == "");
  BOOST_TEST(actionsFor(PullFailed{PeerA, 5s}) == "pull B ");
  BOOST_TEST(peerReturns(PeerB, 8) == "install 8 ");
}

// The watcher that reported a generation fails before the process has pulled
// from it, during an outage of the platform. The process keeps its settings and
// continues to try.
BOOST_AUTO_TEST_CASE(pull_peerDiesInOutage_keepsSettingsAndPacesReads) {
  actionsFor(ConfigTick{});
  platformReturns(7);
  peerReports(PeerA, 8);
  BOOST_TEST(actionsFor(PullFailed{PeerA, 5s}) == "");
  Now += 5s;
  BOOST_TEST(actionsFor(ConfigTick{}) == "read ");
  BOOST_TEST(actionsFor(ReadFailed{10s}) == "");
  BOOST_TEST(actionsFor(ConfigTick{}) == "");
  BOOST_TEST((decideFence({7}, State.Installed) == Fence::Run));
  BOOST_TEST(peerReports(PeerB, 8) == "pull B ");
  BOOST_TEST(peerReturns(PeerB, 8) == "install 8 ");
}

BOOST_AUTO_TEST_CASE(tick_cutOffFromPeers_readsThePlatform) {
  actionsFor(ConfigTick{});
  platformReturns(7);
  Now += State.Limits.IsolationTimeout;
  BOOST_TEST(actionsFor(ConfigTick{}) == "");
  Now += 1ms;
  BOOST_TEST(actionsFor(ConfigTick{}) == "read ");
  BOOST_TEST(platformReturns(7) == "");
  BOOST_TEST(actionsFor(ConfigTick{}) == "");
}

BOOST_AUTO_TEST_CASE(events_inAnyOrder_neverLowerTheGeneration) {
  std::mt19937_64 rng(1);
  Generation highest;
  for (int i = 0; i < 10000; ++i) {
    Generation at{rng() % 50};
    const Address &peer = rng() % 2 == 0 ? PeerA : PeerB;
    const ConfigEvent events[] = {PeerGenerationReceived{peer, at},
                                  SnapshotReceived{peer, at, 1s},
                                  SnapshotReceived{{}, at, 1s},
                                  PullFailed{peer, 1s},
                                  ReadFailed{1s},
                                  ConfigTick{}};
    actionsFor(events[rng() % std::size(events)]);
    Now += 100ms;
    Generation now = State.Installed.value_or(Generation{});
    BOOST_REQUIRE((now >= highest));
    highest = now;
  }
}

BOOST_AUTO_TEST_CASE(decideFence_generations_areCompared) {
  struct Case {
    Generation Call;
    std::optional<Generation> Mine;
    Fence Expected;
  };
  const Case cases[] = {{{7}, {{7}}, Fence::Run},
                        {{6}, {{7}}, Fence::Refuse},
                        {{8}, {{7}}, Fence::PullFirst},
                        {{8}, {}, Fence::PullFirst}};
  for (const Case &c : cases)
    BOOST_TEST((decideFence(c.Call, c.Mine) == c.Expected));
}

BOOST_AUTO_TEST_SUITE_END()
