#include "greengagespar/group/rank_speed.h"

#include "greengagespar/group/planner.h"
#include <boost/test/unit_test.hpp>
#include <limits>
#include <random>

using namespace greengagespar;

namespace {

constexpr RankSpeedLimits Limits;

/// A group that has adapted its map to its demand, one rank of which then turns
/// slow. As on a platform that replaces few experts in a switch, each plan may
/// fetch few of them.
struct SlowRankFixture {
  GroupShape Shape{32, 128, 4, 5};
  static constexpr std::size_t SlowRank = 7;
  static constexpr double Slowness = 8;
  std::vector<double> Rates;
  LoadTable Loads = makeLoadTable(Shape, std::chrono::seconds(300));
  PlanLimits Plans;
  Placement Map;

  SlowRankFixture() {
    std::mt19937_64 random(11);
    std::uniform_real_distribution<double> tokens(200, 3000);
    for (std::size_t i = 0; i < Shape.Layers * Shape.Experts; ++i)
      Rates.push_back(tokens(random));
    for (int i = 0; i < 4; ++i)
      addPeriod(Loads, Rates, std::chrono::seconds(60));
    Plans.EvenShares = true;
    Plans.TriggerSkew = 1.12;
    Plans.TargetSkew = 1.05;
    Plans.FalseAlarm = 0.5;
    Plans.StagingSlots = 8;
    Plans.StagingSlotsPerLayer = 2;
    Plans.ExpertBytes = 1000;
    Map = packLongestFirst(Loads);
  }

  void turnSlow() {
    Loads.Slowness.assign(Shape.Ranks, 1);
    Loads.Slowness[SlowRank] = Slowness;
  }

  double skew() const { return estimateSkew(Loads, Map, 0.5).Value; }

  // Plans and switches until a plan changes nothing. Returns the switches.
  int settle() {
    for (int n = 0; n < 20; ++n) {
      Plan plan = planIncremental(Loads, Map, Plans);
      if (plan.Reason != PlanReason::Moved)
        return n;
      Map = plan.Next;
      BOOST_REQUIRE(isValidPlacement(Map));
    }
    return 20;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RankSpeeds, SlowRankFixture)

BOOST_AUTO_TEST_CASE(slowness_ofPaceBetweenBounds_staysAsItWas) {
  double between = (Limits.SlowFrom + Limits.SoundBelow) / 2;
  BOOST_TEST(slownessFrom(Limits, 1, between) == 1);
  BOOST_TEST(slownessFrom(Limits, 8, between) == between);
  BOOST_TEST(slownessFrom(Limits, 8, Limits.SoundBelow * 0.9) == 1);
}

BOOST_AUTO_TEST_CASE(slowness_ofOddPace_isBoundedOrUnchanged) {
  BOOST_TEST(slownessFrom(Limits, 1, 1e300) == Limits.Most);
  for (double pace : {0.0, -3.0, std::numeric_limits<double>::quiet_NaN(),
                      std::numeric_limits<double>::infinity()})
    BOOST_TEST(slownessFrom(Limits, 4, pace) == 4);
}

// The load: a server of a group turns slow by 8, and in each layer all ranks
// wait for its tokens.
BOOST_AUTO_TEST_CASE(map_oneRankSlow_takesItsTokensAway) {
  settle();
  turnSlow();
  BOOST_TEST(skew() > 4);
  int switches = settle();
  BOOST_TEST(skew() < 1.5);
  // Each layer of the rank holds five experts, and a switch replaces two.
  BOOST_TEST(switches <= 5);
}

BOOST_AUTO_TEST_CASE(map_rankSoundAgain_staysEven) {
  settle();
  turnSlow();
  settle();
  Loads.Slowness.clear();
  settle();
  BOOST_TEST(skew() < 1.2);
}

// A map with empty slots, as one that a slow rank has left: replicas cost
// nothing on sound ranks, so that no plan clears more.
BOOST_AUTO_TEST_CASE(plan_allRanksSoundBesideEmptySlots_clearsNothing) {
  settle();
  turnSlow();
  settle();
  Loads.Slowness.clear();
  for (std::size_t i = 0; i < Rates.size(); i += 3)
    Rates[i] *= 3;
  addPeriod(Loads, Rates, std::chrono::seconds(600));
  Plan plan = planIncremental(Loads, Map, Plans);
  BOOST_TEST(!plan.Moves.empty());
  for (const Move &it : plan.Moves)
    BOOST_TEST((it.Load != NoExpert));
}

BOOST_AUTO_TEST_CASE(plan_allRanksSound_clearsNothing) {
  for (std::size_t i = 0; i < Rates.size(); i += 3)
    Rates[i] *= 3;
  addPeriod(Loads, Rates, std::chrono::seconds(600));
  Plan plan = planIncremental(Loads, Map, Plans);
  BOOST_TEST(!plan.Moves.empty());
  for (const Move &it : plan.Moves)
    BOOST_TEST((it.Load != NoExpert));
}

BOOST_AUTO_TEST_SUITE_END()
