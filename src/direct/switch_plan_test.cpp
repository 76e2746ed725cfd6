#include "greengagespar/direct/switch_plan.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <numeric>
#include <random>

using namespace greengagespar;
using std::chrono::milliseconds;

namespace {

// A group whose demand for experts falls with their rank in popularity (Zipf's
// law), in another order in each layer.
struct DriftingGroup {
  EngineProfile Engine;
  std::size_t Ranks = 64;
  std::mt19937_64 Random{11};
  std::vector<std::vector<std::size_t>> Order; // Experts by popularity.
  Placement Map;

  DriftingGroup() {
    Engine.Layers = 12;
    Engine.Experts = 256;
    Engine.SlotsPerLayer = 5;
    Engine.MaxNewPerLayer = 2;
    Engine.ExpertMegabytes = 210;
    Engine.LinkMegabitsPerSecond = 44000;
    for (std::size_t l = 0; l < Engine.Layers; ++l) {
      auto &layer = Order.emplace_back(Engine.Experts);
      std::iota(layer.begin(), layer.end(), 0U);
      std::ranges::shuffle(layer, Random);
    }
    Map = {
        {Ranks, Engine.Experts, Engine.Layers, Engine.SlotsPerLayer}, {}, {}};
    // The first map assigns the experts in turn.
    Map.Slots.assign(Engine.Layers * slotsOfLayer(Map.Shape), NoExpert);
    for (std::size_t l = 0; l < Engine.Layers; ++l)
      for (std::size_t e = 0; e < Engine.Experts; ++e)
        Map.Slots[(l * Ranks + e % Ranks) * Engine.SlotsPerLayer + e / Ranks] =
            Expert(e);
  }

  std::vector<double> demand() const {
    constexpr double exponent = 0.64;
    std::vector<double> tokens(Engine.Layers * Engine.Experts);
    for (std::size_t l = 0; l < Engine.Layers; ++l)
      for (std::size_t i = 0; i < Engine.Experts; ++i)
        tokens[l * Engine.Experts + Order[l][i]] =
            std::round(20000 / std::pow(i + 1, exponent));
    return tokens;
  }

  // Part of the experts of each layer change places in the order.
  void shiftDemand(double part) {
    for (auto &layer : Order) {
      std::vector<std::size_t> moved;
      std::vector<std::size_t> experts;
      for (std::size_t i = 0; i < layer.size(); ++i)
        if (std::bernoulli_distribution(part)(Random)) {
          moved.push_back(i);
          experts.push_back(layer[i]);
        }
      std::ranges::shuffle(experts, Random);
      for (std::size_t i = 0; i < moved.size(); ++i)
        layer[moved[i]] = experts[i];
    }
  }

  // Plans and applies switches until the skew is at most \p goal. Returns their
  // number.
  int switchesUntil(double goal) {
    LoadTable loads = makeLoadTable(Map.Shape, milliseconds(300));
    addPeriod(loads, demand(), milliseconds(300));
    int n = 0;
    while (stepSkew(Map, demand()) > goal && n < 50) {
      double skew = stepSkew(Map, demand());
      Plan plan =
          planIncremental(loads, Map, switchPlanLimits(Engine, Ranks, skew));
      if (plan.Moves.empty())
        break;
      checkFetches(plan, fetchesPerSwitch(Engine, skew));
      Map = plan.Next;
      ++n;
    }
    return n;
  }

  // Checks the engine's limits on the experts that are new to a rank.
  void checkFetches(const Plan &plan, std::size_t most) const {
    std::map<std::pair<Rank, Layer>, std::size_t> inLayer;
    std::map<Rank, std::size_t> ofRank;
    for (const Move &it : plan.Moves) {
      BOOST_TEST(++inLayer[std::pair(it.OnRank, it.InLayer)] <=
                 Engine.MaxNewPerLayer);
      BOOST_TEST(++ofRank[it.OnRank] <= most);
    }
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SwitchPlan, DriftingGroup)

BOOST_AUTO_TEST_CASE(fetches_ofAnyEngine_fitTheCopyTime) {
  BOOST_TEST(fetchesPerSwitch(Engine, 1.2) == 4U);
  BOOST_TEST(fetchesPerSwitch(Engine, 3.4) == 12U);
  Engine.ExpertMegabytes = 2200;
  BOOST_TEST(fetchesPerSwitch(Engine, 1.2) == 1U);
  BOOST_TEST(fetchesPerSwitch(Engine, 2.6) == 1U);
  Engine.ExpertMegabytes = 1;
  BOOST_TEST(fetchesPerSwitch(Engine, 1.2) ==
             Engine.Layers * Engine.MaxNewPerLayer);
  Engine.ExpertMegabytes = 0;
  BOOST_TEST(fetchesPerSwitch(Engine, 1.2) == 1U);
}

// Incremental rebalancing with replicas: after other experts have become
// popular, a large group of small experts is balanced again within a second,
// which is two switches, and from the first map within two seconds.
BOOST_AUTO_TEST_CASE(plans_afterShiftOfDemand_balanceWithinTwoSwitches) {
  constexpr double goal = 1.3;
  BOOST_TEST(stepSkew(Map, demand()) > goal);
  BOOST_TEST(switchesUntil(goal) <= 4);
  for (int i = 0; i < 3; ++i) {
    shiftDemand(0.3);
    BOOST_TEST(stepSkew(Map, demand()) > goal);
    BOOST_TEST(switchesUntil(goal) <= 2);
    BOOST_TEST(stepSkew(Map, demand()) <= goal);
  }
}

BOOST_AUTO_TEST_SUITE_END()
