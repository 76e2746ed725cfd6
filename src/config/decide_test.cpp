#include "greengagespar/config/decide.h"

#include <boost/test/unit_test.hpp>
#include <random>
#include <string>

using namespace greengagespar;
using namespace std::chrono_literals;

namespace {

const Address PeerA{"10.0.0.1:1"};
const Address PeerB{"10.0.0.2:1"};

/// One process and what its decisions ask for, as short text.
struct ConfigFixture {
  ConfigState State;
  Clock::time_point Now{1h};

  ConfigFixture() { State.StartedAt = State.LastWord = Now; }

  std::string on(const ConfigEvent &event) {
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
  std::string platformGives(std::uint64_t at) {
    return on(SnapshotRead{{}, {at}, 5s});
  }
  std::string peerGives(const Address &peer, std::uint64_t at) {
    return on(SnapshotRead{peer, {at}, 5s});
  }
  std::string mentions(const Address &peer, std::uint64_t at) {
    return on(PeerMentioned{peer, {at}});
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ConfigDecisions, ConfigFixture)

BOOST_AUTO_TEST_CASE(start_platformAnswers_installsAndIsReady) {
  BOOST_TEST(on(ConfigTick{}) == "read ");
  BOOST_TEST(!isReady(State, Now));
  BOOST_TEST(platformGives(5) == "install 5 ");
  BOOST_TEST(isReady(State, Now));
}

BOOST_AUTO_TEST_CASE(start_platformGone_takesHighestOfPeersAfterWaiting) {
  on(ConfigTick{});
  BOOST_TEST(mentions(PeerA, 4) == "pull A ");
  BOOST_TEST(mentions(PeerB, 6) == "");
  BOOST_TEST(peerGives(PeerA, 4) == "install 4 pull B ");
  BOOST_TEST(!isReady(State, Now));
  BOOST_TEST(peerGives(PeerB, 6) == "install 6 ");
  Now += State.Limits.Gather;
  BOOST_TEST(isReady(State, Now));
}

BOOST_AUTO_TEST_CASE(pulls_failingForever_doNotPutOffThePlatform) {
  on(ConfigTick{});
  platformGives(7);
  bool hasRead = false;
  for (int i = 0; i < 60 && !hasRead; ++i) {
    mentions(PeerA, 9);
    Now += 1s;
    hasRead = on(PullFailed{PeerA, 10s}).starts_with("read ") ||
              on(ConfigTick{}).starts_with("read ");
  }
  BOOST_TEST(hasRead);
}

BOOST_AUTO_TEST_CASE(read_staleAnswer_lowersNothingAndIsNotRepeatedAtOnce) {
  on(ConfigTick{});
  platformGives(7);
  BOOST_TEST(platformGives(6) == "");
  BOOST_TEST(State.Installed->Value == 7U);
  mentions(PeerA, 9);
  BOOST_TEST(on(PullFailed{PeerA, 0s}) == "read ");
  BOOST_TEST(platformGives(6) == "");
  Now += 5s;
  BOOST_TEST(on(ConfigTick{}) == "read ");
}

BOOST_AUTO_TEST_CASE(peerMentions_newer_isPulledOnce) {
  on(ConfigTick{});
  platformGives(7);
  BOOST_TEST(mentions(PeerA, 7) == "");
  BOOST_TEST(mentions(PeerA, 6) == "");
  BOOST_TEST(mentions(PeerA, 8) == "pull A ");
  BOOST_TEST(mentions(PeerB, 8) == "");
  BOOST_TEST(on(PullFailed{PeerA, 5s}) == "pull B ");
  BOOST_TEST(peerGives(PeerB, 8) == "install 8 ");
}

// The watcher that mentioned a generation dies before it is pulled from, while
// the platform is gone: the process keeps what it has and goes on trying.
BOOST_AUTO_TEST_CASE(pull_peerDiesInOutage_keepsSettingsAndPacesReads) {
  on(ConfigTick{});
  platformGives(7);
  mentions(PeerA, 8);
  BOOST_TEST(on(PullFailed{PeerA, 5s}) == "");
  Now += 5s;
  BOOST_TEST(on(ConfigTick{}) == "read ");
  BOOST_TEST(on(ReadFailed{10s}) == "");
  BOOST_TEST(on(ConfigTick{}) == "");
  BOOST_TEST((decideFence({7}, State.Installed) == Fence::Run));
  BOOST_TEST(mentions(PeerB, 8) == "pull B ");
  BOOST_TEST(peerGives(PeerB, 8) == "install 8 ");
}

BOOST_AUTO_TEST_CASE(tick_cutOffFromPeers_readsThePlatform) {
  on(ConfigTick{});
  platformGives(7);
  Now += State.Limits.Isolated;
  BOOST_TEST(on(ConfigTick{}) == "");
  Now += 1ms;
  BOOST_TEST(on(ConfigTick{}) == "read ");
  BOOST_TEST(platformGives(7) == "");
  BOOST_TEST(on(ConfigTick{}) == "");
}

BOOST_AUTO_TEST_CASE(events_inAnyOrder_neverLowerTheGeneration) {
  std::mt19937_64 rng(1);
  Generation highest;
  for (int i = 0; i < 10000; ++i) {
    Generation at{rng() % 50};
    const Address &peer = rng() % 2 == 0 ? PeerA : PeerB;
    const ConfigEvent events[] = {
        PeerMentioned{peer, at},  SnapshotRead{peer, at, 1s},
        SnapshotRead{{}, at, 1s}, PullFailed{peer, 1s},
        ReadFailed{1s},           ConfigTick{}};
    on(events[rng() % std::size(events)]);
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
