#include "greengagespar/direct/rank_server.h"

#include "greengagespar/group/driver.h"
#include <boost/test/unit_test.hpp>
#include <random>

using namespace greengagespar;
using namespace std::chrono_literals;

namespace {

using Kind = RankServerStep::Kind;

/// An order at a server that is carried out at a later turn.
struct LateOrder {
  std::size_t To = 0;
  RankServerOrder Order;
  int AtTurn = 0;
};

/// One rank: its server, and the process beside it.
struct SimRank {
  RankServerState Server;
  RankState Process;
  std::optional<RankWork> Work;
  MapNumber Cancelled;
  bool NeedsFence = true;
};

/// A group whose orders may stay without an answer and be carried out later,
/// whose processes die at any turn, with drivers that die too.
struct GroupFixture {
  static constexpr std::size_t Size = 3;
  std::vector<SimRank> Ranks{Size};
  std::optional<DriverState> Driver;
  std::vector<LateOrder> Late;
  std::mt19937_64 Rng;
  SteadyTime Now{};
  std::uint64_t Lease = 0;
  std::uint64_t Life = 100;
  int Turn = 0;
  int MixedPasses = 0;
  int Switches = 0;
  double LateShare = 0;
  double DeathShare = 0;

  void begin(std::uint64_t seed) {
    Rng.seed(seed);
    for (std::size_t r = 0; r < Size; ++r) {
      Ranks[r] = {};
      Ranks[r].Server.Group.assign(1, 'g');
      Ranks[r].Server.Epoch = 1;
      Ranks[r].Server.Self = Rank(r);
      Ranks[r].Server.Size = Size;
      Ranks[r].Server.IsOpen = true;
      restart(r);
    }
    Driver.reset();
    Late.clear();
    MixedPasses = 0;
    Switches = 0;
  }

  bool chance(double share) {
    return std::uniform_real_distribution<double>(0, 1)(Rng) < share;
  }

  void restart(std::size_t r) {
    RankLimits limits;
    limits.SettleAfter = 1h;
    Ranks[r].Process = makeRank(Rank(r), {++Life}, limits);
    Ranks[r].Work.reset();
    Ranks[r].Cancelled = {};
    Ranks[r].NeedsFence = true;
  }

  // The server's rules, from the platform's pages. True when it was accepted.
  static bool carryOut(RankServerState &s, const RankServerOrder &o) {
    if (o.Accepted != s.Accepted || o.Epoch != s.Epoch)
      return false;
    switch (o.Kind) {
    case ServerMapOrder::Prepare:
      if (s.Armed || o.Map <= std::max(s.InUse, s.Prepared.value_or(s.InUse)))
        return false;
      s.Prepared = o.Map;
      break;
    case ServerMapOrder::Arm:
      if (s.Armed || s.Prepared != o.Map || s.Step >= o.Step)
        return false;
      s.Armed = ArmedMap{o.Map, o.Step};
      break;
    case ServerMapOrder::Disarm:
      if (!s.Armed || s.Armed->Map != o.Map)
        return false;
      s.Armed.reset();
      break;
    case ServerMapOrder::Hold:
      if (s.Held || s.Step >= o.Step)
        return false;
      s.Held = o.Step;
      break;
    case ServerMapOrder::Go:
      if (s.Held != o.Step)
        return false;
      s.Held.reset();
      break;
    }
    ++s.Accepted;
    return true;
  }

  // One pass of all ranks, unless one of them holds it.
  void pass() {
    StepNumber next{Ranks[0].Server.Step.Value + 1};
    for (const SimRank &it : Ranks)
      if (it.Server.Held == next)
        return;
    for (SimRank &it : Ranks) {
      it.Server.Step = next;
      if (it.Server.Armed && it.Server.Armed->Step == next) {
        it.Server.InUse = it.Server.Armed->Map;
        it.Server.Armed.reset();
        it.Server.Prepared.reset();
      }
    }
    for (const SimRank &it : Ranks)
      if (it.Server.InUse != Ranks[0].Server.InUse)
        ++MixedPasses;
  }

  void give(std::size_t r, const RankServerOrder &order) {
    if (chance(LateShare))
      Late.push_back({r, order, Turn + 1 + static_cast<int>(Rng() % 40)});
    else
      carryOut(Ranks[r].Server, order);
  }

  void act(std::size_t r, const std::vector<RankAction> &actions) {
    for (const RankAction &it : actions) {
      if (const auto *order = std::get_if<OrderEngine>(&it)) {
        if (!Ranks[r].Work)
          Ranks[r].Work = RankWork{order->Order};
      } else if (const auto *report = std::get_if<SendReport>(&it)) {
        if (Driver)
          take(decideDriver(*Driver, ReportCame{report->Report}, Now));
      }
    }
  }

  void take(const std::vector<DriverAction> &actions) {
    for (const DriverAction &it : actions) {
      if (const auto *order = std::get_if<SendOrder>(&it)) {
        std::size_t r = indexOf(order->Order.To);
        act(r, decideRank(Ranks[r].Process, OrderCame{order->Order}, Now));
      } else if (const auto *ended = std::get_if<SwitchEnded>(&it)) {
        Switches += ended->Outcome == Decision::Release ? 1 : 0;
      }
    }
  }

  void stepRank(std::size_t r) {
    SimRank &rank = Ranks[r];
    if (!rank.Work) {
      if (rank.NeedsFence && fenceEarlierProcess(rank.Server)) {
        rank.Work = RankWork{};
        rank.Work->IsFence = true;
        return;
      }
      rank.NeedsFence = false;
      if (!rank.Process.InProgress)
        act(r, decideRank(rank.Process,
                          EngineRead{engineMapOf(rank.Server, rank.Cancelled)},
                          Now));
      act(r, decideRank(rank.Process, RankTick{}, Now));
      return;
    }
    RankServerStep step = decideRankServer(*rank.Work, rank.Server);
    if (step.What == Kind::Send)
      return give(r, step.Order);
    RankWork ended = *rank.Work;
    rank.Work.reset();
    bool isRefused = step.What == Kind::Refused;
    if (ended.IsFence) {
      rank.NeedsFence = isRefused;
      return;
    }
    bool isCancel = ended.Goal.Kind == OrderKind::Decide &&
                    ended.Goal.Outcome == Decision::Cancel;
    if (isCancel && !isRefused)
      rank.Cancelled = std::max(rank.Cancelled, ended.Goal.Map);
    act(r, decideRank(
               rank.Process,
               EngineRead{engineMapOf(rank.Server, rank.Cancelled), isRefused},
               Now));
  }

  void stepDriver() {
    if (Driver && chance(DeathShare))
      Driver.reset();
    if (!Driver || Driver->Phase == DriverPhase::Stopped) {
      Ballot ballot;
      ballot.Lease = {++Lease};
      ballot.Process = {++Life};
      DriverLimits limits;
      limits.StepsAhead = 4;
      Driver = makeDriver(ballot, Size, SteadyTime::max(), limits, Now);
    }
    if (Driver->Phase == DriverPhase::Steady)
      take(decideDriver(*Driver, SwitchWanted{}, Now));
    take(decideDriver(*Driver, DriverTick{}, Now));
  }

  void turn() {
    ++Turn;
    Now += 10ms;
    for (const LateOrder &it : std::exchange(Late, {})) {
      if (it.AtTurn <= Turn)
        carryOut(Ranks[it.To].Server, it.Order);
      else
        Late.push_back(it);
    }
    for (std::size_t r = 0; r < Size; ++r) {
      if (chance(DeathShare))
        restart(r);
      stepRank(r);
    }
    stepDriver();
    if (Turn % 3 == 0)
      pass();
  }

  void play(std::uint64_t seed, int turns) {
    begin(seed);
    for (int i = 0; i < turns; ++i)
      turn();
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RankServers, GroupFixture)

BOOST_AUTO_TEST_CASE(switches_withoutFaults_happenAndNeverMix) {
  play(1, 600);
  BOOST_TEST(MixedPasses == 0);
  BOOST_TEST(Switches > 10);
}

BOOST_AUTO_TEST_CASE(switches_withLateOrders_neverMix) {
  LateShare = 0.4;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    play(seed, 600);
    BOOST_TEST(MixedPasses == 0, "seed " << seed);
    BOOST_TEST(Ranks[0].Server.Step.Value > 0U, "seed " << seed);
  }
}

BOOST_AUTO_TEST_CASE(switches_withLateOrdersAndDeaths_neverMix) {
  LateShare = 0.3;
  DeathShare = 0.02;
  for (std::uint64_t seed = 1; seed <= 400; ++seed) {
    play(seed, 800);
    BOOST_TEST(MixedPasses == 0, "seed " << seed);
  }
}

BOOST_AUTO_TEST_CASE(group_afterDeaths_goesOn) {
  LateShare = 0.3;
  DeathShare = 0.02;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    play(seed, 400);
    DeathShare = 0;
    std::uint64_t before = Ranks[0].Server.Step.Value;
    for (int i = 0; i < 400; ++i)
      turn();
    BOOST_TEST(Ranks[0].Server.Step.Value > before + 20, "seed " << seed);
    DeathShare = 0.02;
  }
}

BOOST_AUTO_TEST_CASE(arm_ofAStepThatHasBegun_isRefusedWithoutAHold) {
  begin(1);
  RankServerState server = Ranks[0].Server;
  server.Prepared = MapNumber{1};
  server.Step = {9};
  RankWork work;
  work.Goal.Kind = OrderKind::Arm;
  work.Goal.Map = {1};
  work.Goal.Step = {9};
  BOOST_TEST(bool(decideRankServer(work, server).What == Kind::Refused));
}

BOOST_AUTO_TEST_CASE(arm_refusedAfterItsHold_takesTheHoldBack) {
  begin(1);
  RankServerState server = Ranks[0].Server;
  server.Held = StepNumber{5};
  RankWork work;
  work.Goal.Kind = OrderKind::Arm;
  work.Goal.Map = {1};
  work.Goal.Step = {5};
  RankServerStep step = decideRankServer(work, server);
  BOOST_TEST(bool(step.Order.Kind == ServerMapOrder::Go));
  server.Held.reset();
  BOOST_TEST(bool(decideRankServer(work, server).What == Kind::Refused));
}

BOOST_AUTO_TEST_CASE(release_ofADeadProcess_comesTooLateAfterTheFence) {
  begin(1);
  RankServerState server = Ranks[0].Server;
  server.Armed = ArmedMap{{1}, {5}};
  server.Held = StepNumber{5};
  RankWork release;
  release.Goal.Kind = OrderKind::Decide;
  release.Goal.Outcome = Decision::Release;
  release.Goal.Map = {1};
  RankServerOrder late = decideRankServer(release, server).Order;
  RankWork fence;
  fence.IsFence = true;
  BOOST_TEST(carryOut(server, decideRankServer(fence, server).Order));
  BOOST_TEST(!carryOut(server, late));
  BOOST_TEST(server.Held.has_value());
}

BOOST_AUTO_TEST_CASE(hold_leftOfADeadProcess_looksArmed) {
  begin(1);
  RankServerState server = Ranks[0].Server;
  server.Held = StepNumber{5};
  BOOST_TEST(bool(engineMapOf(server, {}).Stage == MapStage::Armed));
}

BOOST_AUTO_TEST_SUITE_END()
