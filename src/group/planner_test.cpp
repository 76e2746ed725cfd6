#include "greengagespar/group/planner.h"
#include "greengagespar/group/shares.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace greengagespar;

namespace {

constexpr std::chrono::milliseconds Period{60000};

// A small group; a test sets the tokens of each expert in a period in Rates.
struct SmallGroup {
  GroupShape Shape{8, 16, 4, 4};
  // By layer then expert.
  std::vector<double> Rates = std::vector<double>(64, 1000);
  LoadTable Loads = makeLoadTable(Shape, std::chrono::seconds(300));
  PlanLimits Limits;
  std::mt19937_64 Random{7};

  SmallGroup() { Limits.ExpertBytes = 1000; }

  // Adds n periods whose counts deviate from Rates by this relative standard
  // deviation.
  void addPeriods(int n, double deviation) {
    std::normal_distribution<double> noise(1, deviation);
    for (int i = 0; i < n; ++i) {
      std::vector<double> counts;
      for (double rate : Rates)
        counts.push_back(std::round(rate * std::max(0.0, noise(Random))));
      addPeriod(Loads, counts, Period);
    }
  }

  Placement apply(const Placement &placement, const Plan &plan) {
    return recoverFrom([&] { return applyMoves(placement, plan.Moves); },
                       [&](const Error &e) {
                         BOOST_ERROR(e.Message);
                         return placement;
                       });
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Loads, SmallGroup)

BOOST_AUTO_TEST_CASE(addPeriod_afterHalfLife_halvesOldCounts) {
  addPeriod(Loads, Rates, Period);
  addPeriod(Loads, std::vector<double>(64, 0), std::chrono::seconds(300));
  const ExpertLoad &load = loadOf(Loads, Layer{0}, Expert{0});
  BOOST_TEST(load.Tokens == 500, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(load.Variance == 250, boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(dispersionOf_noisyCounts_isVarianceOverMean) {
  addPeriods(12, 0.2);
  // A deviation of 200 at mean 1000 is a variance over mean of 40.
  BOOST_TEST(dispersionOf(Loads) > 20);
  BOOST_TEST(dispersionOf(Loads) < 80);
}

BOOST_AUTO_TEST_CASE(dispersionOf_oneJump_isNotRaised) {
  addPeriods(4, 0);
  Rates.assign(64, 5000);
  addPeriods(2, 0);
  BOOST_TEST(dispersionOf(Loads) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(Placements, SmallGroup)

BOOST_AUTO_TEST_CASE(packLongestFirst_skewedLoads_isValidAndBalanced) {
  for (std::size_t i = 0; i < Rates.size(); ++i)
    Rates[i] = 100.0 * static_cast<double>(1 + i % 16);
  addPeriods(1, 0);
  Placement placement = packLongestFirst(Loads);
  BOOST_TEST(isValidPlacement(placement));
  BOOST_TEST(stepSkew(placement, Rates) < 1.15);
}

BOOST_AUTO_TEST_CASE(placeWithout_eachRank_keepsEveryExpert) {
  addPeriods(1, 0);
  Placement placement = packLongestFirst(Loads);
  for (std::size_t r = 0; r < Shape.Ranks; ++r) {
    bool isValid = recoverFrom(
        [&]() -> Result<bool> {
          BOOST_LEAF_AUTO(next, placeWithout(placement, Rank(r), Loads));
          return isValidPlacement(next) && next.Shape.Ranks == Shape.Ranks - 1;
        },
        [](const Error &) { return false; });
    BOOST_TEST(isValid);
  }
}

BOOST_AUTO_TEST_CASE(placeWithout_tooFewSlots_isConflict) {
  GroupShape tight{2, 4, 1, 2};
  LoadTable loads = makeLoadTable(tight, std::chrono::seconds(300));
  addPeriod(loads, {1, 1, 1, 1}, Period);
  auto kind = recoverFrom(
      [&]() -> Result<ErrorKind> {
        BOOST_LEAF_CHECK(placeWithout(packLongestFirst(loads), Rank{0}, loads));
        return ErrorKind::Internal;
      },
      [](const Error &e) { return e.Kind; });
  BOOST_TEST((kind == ErrorKind::Conflict));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(Planner, SmallGroup)

BOOST_AUTO_TEST_CASE(plan_noiseAlone_movesNothing) {
  addPeriods(1, 0);
  Placement placement = packLongestFirst(Loads);
  for (int i = 0; i < 200; ++i) {
    addPeriods(1, 0.3);
    Plan plan = planIncremental(Loads, placement, Limits);
    BOOST_TEST(plan.Moves.empty());
  }
}

BOOST_AUTO_TEST_CASE(plan_loadedExpert_lowersSkewWithFewFetches) {
  addPeriods(4, 0.02);
  Placement placement = packLongestFirst(Loads);
  Rates[3] = 8000;
  addPeriods(20, 0.02);
  Plan plan = planIncremental(Loads, placement, Limits);
  BOOST_TEST((plan.Reason == PlanReason::Moved));
  Placement next = apply(placement, plan);
  BOOST_TEST(stepSkew(next, Rates) < stepSkew(placement, Rates));
  BOOST_TEST(plan.Bytes == plan.Moves.size() * Limits.ExpertBytes);
  BOOST_TEST(countFetches(placement, next) == plan.Moves.size());
  // The plan changes only the layer of the expert with many tokens.
  for (const Move &move : plan.Moves)
    BOOST_TEST(indexOf(move.InLayer) == 0U);
  Plan again = planIncremental(Loads, next, Limits);
  BOOST_TEST(again.Moves.size() <= plan.Moves.size());
}

BOOST_AUTO_TEST_CASE(plan_fetchLimits_areKept) {
  addPeriods(4, 0.02);
  Placement placement = packLongestFirst(Loads);
  for (std::size_t i = 0; i < Rates.size(); i += 5)
    Rates[i] = 9000;
  addPeriods(20, 0.02);
  Limits.StagingSlots = 1;
  Limits.MaxBytes = 6000;
  Plan plan = planIncremental(Loads, placement, Limits);
  BOOST_TEST(!plan.Moves.empty());
  BOOST_TEST(plan.Bytes <= 6000U);
  std::vector<int> perRank(Shape.Ranks, 0);
  for (const Move &move : plan.Moves)
    BOOST_TEST(++perRank[indexOf(move.OnRank)] <= 1);
}

BOOST_AUTO_TEST_CASE(plan_costOverGain_movesNothing) {
  addPeriods(4, 0.02);
  Placement placement = packLongestFirst(Loads);
  Rates[3] = 8000;
  addPeriods(20, 0.02);
  Limits.SwitchPause = std::chrono::hours(1);
  Plan plan = planIncremental(Loads, placement, Limits);
  BOOST_TEST((plan.Reason == PlanReason::DoesNotPay));
  BOOST_TEST(plan.Moves.empty());
}

BOOST_AUTO_TEST_CASE(plan_fewPeriods_movesNothing) {
  addPeriods(2, 0);
  Placement placement = packLongestFirst(Loads);
  Plan plan = planIncremental(Loads, placement, Limits);
  BOOST_TEST((plan.Reason == PlanReason::TooFewCounts));
}

BOOST_AUTO_TEST_CASE(applyMoves_lastReplicaDropped_isConflict) {
  GroupShape tight{2, 4, 1, 2};
  LoadTable loads = makeLoadTable(tight, std::chrono::seconds(300));
  addPeriod(loads, {1, 1, 1, 1}, Period);
  Placement placement = packLongestFirst(loads);
  Expert there = placement.Slots[0];
  Expert other = placement.Slots[2];
  auto kind = recoverFrom(
      [&]() -> Result<ErrorKind> {
        BOOST_LEAF_CHECK(
            applyMoves(placement, {{Layer{0}, Rank{0}, there, other}}));
        return ErrorKind::Internal;
      },
      [](const Error &e) { return e.Kind; });
  BOOST_TEST((kind == ErrorKind::Conflict));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(Shares, SmallGroup)

BOOST_AUTO_TEST_CASE(fitShares_unevenLoads_areSpreadAndSumToOne) {
  addPeriods(4, 0.02);
  Placement placement = packLongestFirst(Loads);
  for (std::size_t i = 0; i < Rates.size(); ++i)
    Rates[i] = 1000 + 40.0 * static_cast<double>(i % 16);
  Loads = makeLoadTable(Shape, std::chrono::seconds(300));
  addPeriods(4, 0);
  double even = stepSkew(placement, Rates);
  fitShares(placement, Loads);
  BOOST_TEST(stepSkew(placement, Rates) < 1.005);
  BOOST_TEST(even > 1.02);
  for (std::size_t l = 0; l < Shape.Layers; ++l) {
    std::vector<double> sums(Shape.Experts, 0);
    std::vector<double> shares = layerShares(placement, Layer(l));
    for (std::size_t i = 0; i < shares.size(); ++i)
      sums[indexOf(layerSlots(placement, Layer(l))[i])] += shares[i];
    for (double sum : sums)
      BOOST_TEST(sum == 1, boost::test_tools::tolerance(1e-9));
  }
  // The planner needs no moves for loads that differ by so little.
  placement.Shares.clear();
  Plan plan = planIncremental(Loads, placement, Limits);
  BOOST_TEST((plan.Reason == PlanReason::SharesOnly));
  BOOST_TEST(plan.Moves.empty());
  BOOST_TEST((plan.Next.Slots == placement.Slots));
}

BOOST_AUTO_TEST_SUITE_END()
