#include "rank_site.h"
#include <boost/test/unit_test.hpp>

using namespace greengagespar;
using namespace greengagespar::site;
using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_SUITE(DirectMaps, RankSiteFixture)

BOOST_AUTO_TEST_CASE(map_skewedLoad_switchesAtAllRanksInOnePass) {
  startEntry();
  BOOST_TEST(runUntil([&] { return hasSwitched(); }));
  BOOST_TEST(MixedPasses == 0);
}

BOOST_AUTO_TEST_CASE(agent_destroyedDuringSwitch_isReplacedAndMapsSwitchAgain) {
  startEntry();
  for (std::size_t rank : {2U, 0U}) {
    BOOST_REQUIRE(runUntil([&] { return Ranks[rank]->isArmed(); }));
    Agents[rank].reset();
    runFor(200ms);
    startAgent(rank);
    std::uint64_t map = Ranks[0]->inUse();
    for (auto &it : Ranks)
      it->PreferredExpert = (it->PreferredExpert + 2) % FakeRank::Experts;
    BOOST_TEST(runUntil([&] { return Ranks[0]->inUse() > map; }));
    BOOST_TEST(MixedPasses == 0);
  }
}

// Guards against a group that is held for good: the server of HoldingRank holds
// the step for a while before the agent receives the order to arm, and the
// agent reads the state in between.
BOOST_AUTO_TEST_CASE(hold_answeredLate_switchEndsAndPassesGoOn) {
  Ranks[0]->LateAnsweredOperation = "hold";
  startEntry();
  BOOST_TEST(runUntil([&] { return hasSwitched(); }));
  std::uint64_t before = Step;
  BOOST_TEST(runUntil([&] { return Step > before + 50; }));
  BOOST_TEST(MixedPasses == 0);
}

// All processes lose power in the midst of a switch and start again at the same
// moment; only the servers and the platform's store keep their state.
BOOST_AUTO_TEST_CASE(allProcesses_powerLostDuringSwitch_groupGoesOn) {
  startEntry();
  for (std::size_t armed : {0U, 2U}) {
    // The shift makes a switch necessary.
    for (auto &it : Ranks)
      it->PreferredExpert = (it->PreferredExpert + 2) % FakeRank::Experts;
    BOOST_REQUIRE(runUntil([&] { return Ranks[armed]->isArmed(); }));
    std::uint64_t map = Ranks[0]->inUse();
    std::uint64_t before = Step;
    Entry.reset();
    for (auto &it : Agents)
      it.reset();
    runFor(100ms);
    for (std::size_t r = 0; r < Size; ++r)
      startAgent(r);
    startEntry();
    BOOST_TEST(runUntil([&] { return Step > before + 50; }));
    BOOST_TEST(
        runUntil([&] { return Ranks[0]->inUse() > map && hasSwitched(); }));
    BOOST_TEST(MixedPasses == 0);
  }
}

// One rank applies its orders late, so that the other ranks are ahead of it.
BOOST_AUTO_TEST_CASE(orders_appliedLate_neverMixMaps) {
  startEntry();
  for (const char *kind : {"hold", "arm", "disarm", "go", "prepare"}) {
    for (std::size_t rank : {0U, 1U}) {
      Ranks[rank]->DelayedOperation = kind;
      Ranks[rank]->PreferredExpert =
          (Ranks[rank]->PreferredExpert + 2) % FakeRank::Experts;
      runFor(1000ms);
      Ranks[rank]->DelayedOperation.clear();
      BOOST_TEST(MixedPasses == 0, kind << " at rank " << rank);
    }
  }
  for (auto &it : Ranks)
    it->DelayedOperation.clear();
  std::uint64_t before = Step;
  BOOST_TEST(runUntil([&] { return hasSwitched(); }));
  BOOST_TEST(runUntil([&] { return Step > before + 50; }));
  BOOST_TEST(MixedPasses == 0);
}

BOOST_AUTO_TEST_SUITE_END()
