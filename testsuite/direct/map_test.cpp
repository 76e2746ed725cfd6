#include "rank_site.h"
#include <boost/test/unit_test.hpp>

using namespace greengagespar;
using namespace greengagespar::site;
using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_SUITE(DirectMaps, RankSiteFixture)

BOOST_AUTO_TEST_CASE(map_underSkew_isSwitchedAtAllRanksAtOnce) {
  startEntry();
  BOOST_TEST(runUntil([&] { return hasSwitched(); }));
  BOOST_TEST(MixedPasses == 0);
}

BOOST_AUTO_TEST_CASE(process_goneOnceItsRankIsArmed_holdsNobody) {
  startEntry();
  BOOST_REQUIRE(runUntil([&] { return Ranks[2]->isArmed(); }));
  // What it tells of being armed is on its way.
  runFor(30ms);
  Processes[2].reset();
  std::uint64_t before = Step;
  runFor(1s);
  BOOST_TEST(Step > before + 60);
  BOOST_TEST(MixedPasses == 0);
  startProcess(2);
  std::uint64_t map = Ranks[0]->inUse();
  for (auto &it : Ranks)
    it->Liked = 4;
  BOOST_TEST(runUntil([&] { return Ranks[0]->inUse() > map; }));
  BOOST_TEST(MixedPasses == 0);
}

BOOST_AUTO_TEST_CASE(orders_carriedOutLate_neverMixMaps) {
  for (const char *kind : {"hold", "arm", "disarm", "go", "prepare"}) {
    for (auto &it : Ranks)
      it->LateKind = kind;
    if (!Entry)
      startEntry();
    runFor(1500ms);
    BOOST_TEST(MixedPasses == 0, kind);
  }
  for (auto &it : Ranks)
    it->LateKind.clear();
  std::uint64_t before = Step;
  BOOST_TEST(runUntil([&] { return hasSwitched(); }));
  BOOST_TEST(runUntil([&] { return Step > before + 50; }));
  BOOST_TEST(MixedPasses == 0);
}

BOOST_AUTO_TEST_SUITE_END()
