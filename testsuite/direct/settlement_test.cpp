#include "greengagespar/direct/map_coordinator.h"
#include "platform/rank_dialect.h"
#include "rank_site.h"
#include <boost/test/unit_test.hpp>

using namespace greengagespar;
using namespace greengagespar::site;
using namespace std::chrono_literals;

namespace {

/// One entry that settles switches but drives none, and two groups of three
/// ranks. Each group was left by its driver with all ranks armed. No group
/// begins a pass.
struct TwoGroupsFixture : SiteFixture {
  static constexpr std::size_t GroupSize = 3;
  static constexpr std::uint64_t Map = 8192;
  static constexpr std::uint64_t Step = 1000;

  LinkIdentity Self{{"settler"}, {4096}, {}};
  MapCoordinator Settler{
      Loop.base(),
      Context,
      Self,
      platformRankDialect(),
      {[] { return std::size_t{1}; }, [] { return std::size_t{2}; },
       [](const Address &, bool) {},
       [](const Address &) { return std::optional<Address>(); },
       [this](const Address &agent, const LoadReport &load) {
         Loads[agent] = load;
       }}};
  std::map<Address, LoadReport> Loads; ///< The newest of each agent.
  std::vector<std::unique_ptr<FakeRank>> Ranks;
  std::vector<std::unique_ptr<RankAgent>> Agents;

  TwoGroupsFixture() {
    Address server = freeAddress();
    Address link = freeAddress();
    std::vector<Address> agents;
    for (std::size_t i = 0; i < 2 * GroupSize; ++i) {
      Ranks.push_back(std::make_unique<FakeRank>(
          Loop.base(), i % GroupSize, GroupSize, rankAddress(i, server)));
      Ranks.back()->Group.assign(1, i < GroupSize ? 'a' : 'b');
      agents.push_back(rankAddress(i, link));
      RankAgentSettings settings = defaultRankAgentSettings();
      settings.Name = {Ranks.back()->at().Value};
      settings.Server = Ranks.back()->at();
      settings.Link = agents.back();
      Agents.push_back(std::make_unique<RankAgent>(
          Loop.base(), Context, settings, platformRankDialect()));
      if (!Agents.back()->start())
        throw std::runtime_error("the agent of a rank can't start");
    }
    EngineProfile engine;
    engine.Layers = 1;
    engine.Experts = FakeRank::Experts;
    engine.SlotsPerLayer = 4;
    Settler.setAgents(agents, engine);
  }

  void leaveArmed(std::size_t firstRank) {
    for (std::size_t r = 0; r < GroupSize; ++r)
      Ranks[firstRank + r]->leaveArmed(Map, Step, r == 0);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Settlements, TwoGroupsFixture)

// The order to release the hold may still be carried out, so that a switch with
// an armed HoldingRank is completed: no rank is disarmed.
BOOST_AUTO_TEST_CASE(settlement_ofTwoArmedGroupsAtOnce_completesBoth) {
  leaveArmed(0);
  leaveArmed(GroupSize);
  auto holds = [](const auto &it) { return it->holds(Step); };
  auto isArmed = [](const auto &it) { return it->isArmed(); };
  BOOST_TEST(runUntil([&] { return std::ranges::none_of(Ranks, holds); }));
  BOOST_TEST(std::ranges::all_of(Ranks, isArmed));
  runFor(1000ms);
  BOOST_TEST(std::ranges::none_of(Ranks, holds));
  BOOST_TEST(std::ranges::all_of(Ranks, isArmed));
}

BOOST_AUTO_TEST_CASE(settlement_ofTwoHeldGroupsAtOnce_cancelsBoth) {
  for (std::size_t i = 0; i < Ranks.size(); ++i)
    Ranks[i]->leavePrepared(Map, Step, i % GroupSize == 0);
  BOOST_TEST(runUntil([&] {
    return std::ranges::none_of(Ranks, [](const auto &it) {
      return it->isArmed() || it->holds(Step) || it->hasPrepared(Map);
    });
  }));
}

// Guards against a pass with mixed maps: reports of one group counted for
// another group whose settlement had the same ballot, so that an outcome was
// chosen although a rank had not reported.
BOOST_AUTO_TEST_CASE(settlement_ofOneGroup_ignoresReportsOfAnother) {
  leaveArmed(GroupSize);
  runFor(200ms);
  leaveArmed(0);
  runFor(1600ms);
  // The settlement of group b can't be completed, as rank 1 does not report.
  // That of group a begins later, and its rank 1 reports.
  Agents[GroupSize + 1].reset();
  Agents[2].reset();
  runFor(2200ms);
  for (std::size_t r = 0; r < GroupSize; ++r)
    BOOST_TEST(Ranks[GroupSize + r]->isArmed(), "rank " << r);
  BOOST_TEST(Ranks[GroupSize]->holds(Step));
}

// The failure: an agent dies; the report of its rank stays as old as it is.
BOOST_AUTO_TEST_CASE(loads_ofAllRanks_arriveUntilTheirAgentsDie) {
  auto startedAt = Clock::now();
  BOOST_TEST(runUntil([&] { return Loads.size() == Ranks.size(); }));
  for (const auto &[agent, load] : Loads) {
    BOOST_TEST(bool(load.AsOf >= startedAt - 1000ms));
    BOOST_TEST(bool(load.AsOf <= Clock::now()));
  }
  Agents[0].reset();
  // An answer that was under way has been read after this.
  runFor(200ms);
  auto diedBefore = Clock::now();
  auto freshLoads = [&] {
    return std::ranges::count_if(
        Loads, [&](const auto &it) { return it.second.AsOf > diedBefore; });
  };
  auto living = static_cast<std::ptrdiff_t>(Ranks.size() - 1);
  BOOST_TEST(runUntil([&] { return freshLoads() == living; }));
  runFor(1500ms);
  BOOST_TEST(freshLoads() == living);
}

BOOST_AUTO_TEST_SUITE_END()
