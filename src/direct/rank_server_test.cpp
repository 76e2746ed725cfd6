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
  std::uint64_t Driver = 0; ///< Whose map it is.
  int AtTurn = 0;
};

/// One rank: its server, and the process beside it.
struct SimRank {
  RankServerState Server;
  RankState Process;
  std::optional<RankWork> Work;
  RankDeeds Deeds;
  MapNumber Highest;          ///< Of all maps that the server has had.
  ArmedMap LastArm;           ///< Of the latest order to arm.
  std::uint64_t Prepared = 0; ///< The driver whose map is prepared.
  std::uint64_t Used = 0;     ///< The driver whose map is in use.
  int HeldTurns = 0;          ///< Turns that a hold without a map has lasted.
};

/// A group whose orders may stay without an answer and be carried out later,
/// whose processes die at any turn, with drivers that die too.
struct GroupFixture {
  static constexpr std::size_t Size = 3;
  static constexpr int LateTurns = 40;
  static constexpr int ResumeTurns = 20;
  std::vector<SimRank> Ranks{Size};
  std::optional<DriverState> Driver;
  std::vector<LateOrder> Late;
  std::mt19937_64 Rng;
  SteadyTime Now{};
  std::uint64_t Lease = 0;
  std::uint64_t Life = 100;
  int Turn = 0;
  int ArmedTurns = 0;
  int MixedPasses = 0;
  int Switches = 0;
  double LateShare = 0;
  double DeathShare = 0;
  MapNumber HoldAsked;               ///< By the driver, for this map's step.
  std::optional<std::size_t> Frozen; ///< Its process does and hears nothing.

  void begin(std::uint64_t seed) {
    Rng.seed(seed);
    Now = {};
    Lease = 0;
    Life = 100;
    Turn = 0;
    ArmedTurns = 0;
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
    Frozen.reset();
    HoldAsked = {};
    MixedPasses = 0;
    Switches = 0;
  }

  bool chance(double share) {
    return std::uniform_real_distribution<double>(0, 1)(Rng) < share;
  }

  void restart(std::size_t r) {
    RankLimits limits = rankServerLimits();
    limits.SettleAfter = 1h;
    Ranks[r].Process = makeRank(Rank(r), {++Life}, limits);
    Ranks[r].Work.reset();
    Ranks[r].Deeds = {};
    Ranks[r].LastArm = {{}, lastStepBefore(Ranks[r].Server)};
  }

  // The server's rules, from the platform's pages. True when it was accepted.
  static bool carryOut(SimRank &rank, const RankServerOrder &o,
                       std::uint64_t driver = 0) {
    RankServerState &s = rank.Server;
    if (o.Epoch != s.Epoch)
      return false;
    switch (o.Kind) {
    case ServerMapOrder::Prepare:
      if (s.Armed || o.Map <= rank.Highest)
        return false;
      rank.Highest = o.Map;
      rank.Prepared = driver;
      s.Prepared = o.Map;
      return true;
    case ServerMapOrder::Arm:
      if (s.Armed || s.Prepared != o.Map || s.Step >= o.Step)
        return false;
      s.Armed = ArmedMap{o.Map, o.Step};
      return true;
    case ServerMapOrder::Disarm:
      if (!s.Armed || s.Armed->Map != o.Map)
        return false;
      s.Armed.reset();
      return true;
    case ServerMapOrder::Hold:
      if (s.Held || s.Step >= o.Step)
        return false;
      s.Held = o.Step;
      return true;
    case ServerMapOrder::Go:
      if (s.Held != o.Step)
        return false;
      s.Held.reset();
      return true;
    }
    return false;
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
        it.Used = it.Prepared;
      }
    }
    for (const SimRank &it : Ranks)
      if (it.Server.InUse != Ranks[0].Server.InUse || it.Used != Ranks[0].Used)
        ++MixedPasses;
  }

  void give(std::size_t r, const RankServerOrder &order) {
    // The map goes with the order; that of a fence is the rank's own matter.
    std::uint64_t driver =
        Ranks[r].Work ? Ranks[r].Work->Goal.Number.Process.Value : 0;
    if (chance(LateShare))
      Late.push_back(
          {r, order, driver, Turn + 1 + static_cast<int>(Rng() % LateTurns)});
    else
      carryOut(Ranks[r], order, driver);
  }

  void act(std::size_t r, const std::vector<RankAction> &actions) {
    for (const RankAction &it : actions) {
      if (const auto *order = std::get_if<OrderEngine>(&it)) {
        if (!Ranks[r].Work)
          Ranks[r].Work = RankWork{taskOf(order->Order), order->Order};
      } else if (const auto *report = std::get_if<SendReport>(&it)) {
        if (Driver)
          take(decideDriver(*Driver, ReportCame{report->Report}, Now));
      }
    }
  }

  void take(const std::vector<DriverAction> &actions) {
    for (const DriverAction &it : actions) {
      if (const auto *order = std::get_if<SendOrder>(&it)) {
        takeOrder(indexOf(order->Order.To), order->Order);
      } else if (const auto *ended = std::get_if<SwitchEnded>(&it)) {
        Switches += ended->Outcome == Decision::Release ? 1 : 0;
        if (ended->Outcome == Decision::Cancel)
          resume();
      }
    }
  }

  void takeOrder(std::size_t r, const MapOrder &order) {
    if (Frozen == r)
      return;
    SimRank &rank = Ranks[r];
    bool needsHold = order.Kind == OrderKind::Arm && order.To == HoldingRank;
    if (needsHold && HoldAsked != order.Map) {
      HoldAsked = order.Map;
      give(r, {ServerMapOrder::Hold, rank.Server.Epoch, {}, order.Step});
    }
    if (wasHeldBefore(order, rank.LastArm))
      return;
    if (order.Kind == OrderKind::Arm)
      rank.LastArm = {order.Map, std::max(rank.LastArm.Step, order.Step)};
    act(r, decideRank(rank.Process, OrderCame{order}, Now));
  }

  void resume() {
    for (SimRank &it : Ranks)
      if (it.Process.Promised == Driver->Number && !it.Work && it.Server.Held &&
          !chance(DeathShare))
        it.Work = RankWork{RankTask::Resume, {}};
  }

  void stepRank(std::size_t r) {
    SimRank &rank = Ranks[r];
    noteState(rank.Deeds, rank.Server);
    if (!rank.Work) {
      bool isHeld = rank.Server.Held && !rank.Server.Armed;
      rank.HeldTurns = isHeld ? rank.HeldTurns + 1 : 0;
      if (rank.HeldTurns % ResumeTurns == ResumeTurns - 1)
        rank.Deeds.Cancelled = {};
      rank.Work = releaseAgain(rank.Deeds.Released, rank.Server);
      if (rank.Work)
        return;
      if (!rank.Process.InProgress)
        act(r,
            decideRank(rank.Process,
                       EngineRead{engineMapOf(rank.Server, rank.Deeds)}, Now));
      act(r, decideRank(rank.Process, RankTick{}, Now));
      return;
    }
    RankServerStep step = decideRankServer(*rank.Work, rank.Server);
    if (step.What == Kind::Send) {
      if (step.Order.Kind == ServerMapOrder::Go)
        noteGo(rank.LastArm, *rank.Work, step.Order.Step);
      return give(r, step.Order);
    }
    RankWork ended = *rank.Work;
    rank.Work.reset();
    bool isRefused = step.What == Kind::Refused;
    if (ended.Task == RankTask::Resume || ended.IsAgain)
      return;
    if (ended.Task == RankTask::Cancel && !isRefused)
      rank.Deeds.Cancelled =
          std::max({rank.Deeds.Cancelled, ended.Goal.Map,
                    rank.Server.Prepared.value_or(MapNumber{})});
    if (ended.Task == RankTask::Release && !isRefused)
      rank.Deeds.Released = std::max(rank.Deeds.Released, ended.Goal.Map);
    act(r,
        decideRank(rank.Process,
                   EngineRead{engineMapOf(rank.Server, rank.Deeds), isRefused},
                   Now));
  }

  void stepDriver() {
    if (Driver && chance(DeathShare))
      Driver.reset();
    // A rank that stays armed asks for a settlement.
    bool isArmed = std::ranges::any_of(Ranks, [](const SimRank &it) {
      return it.Process.Engine && it.Process.Engine->Stage == MapStage::Armed;
    });
    ArmedTurns = isArmed ? ArmedTurns + 1 : 0;
    if (Driver && Driver->Phase == DriverPhase::Steady &&
        ArmedTurns > ResumeTurns)
      Driver.reset();
    if (!Driver || Driver->Phase == DriverPhase::Stopped) {
      ArmedTurns = 0;
      Ballot ballot;
      ballot.Lease = {++Lease};
      ballot.Owner = HoldingRank;
      ballot.Process = {++Life};
      DriverLimits limits = mapDriverLimits(ballot.Process);
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
        carryOut(Ranks[it.To], it.Order, it.Driver);
      else
        Late.push_back(it);
    }
    for (std::size_t r = 0; r < Size; ++r) {
      if (chance(DeathShare))
        restart(r);
      if (Frozen != r)
        stepRank(r);
    }
    stepDriver();
    if (Turn % 3 == 0)
      pass();
  }

  // Freezes the process of rank r once its server is as wanted, and returns the
  // passes of the group while it stands still.
  std::uint64_t passesWhileFrozen(std::size_t r, auto isWanted) {
    for (int i = 0; i < 600 && !isWanted(Ranks[r]); ++i)
      turn();
    BOOST_REQUIRE(isWanted(Ranks[r]));
    Frozen = r;
    std::uint64_t before = Ranks[0].Server.Step.Value;
    for (int i = 0; i < 300; ++i)
      turn();
    Frozen.reset();
    return Ranks[0].Server.Step.Value - before;
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

// Pattern: one barrier for a group, held by one member. 300 turns are 100
// passes; the pass that is to begin with the map may wait for the others.
BOOST_AUTO_TEST_CASE(process_frozenOnceArmed_holdsNobody) {
  begin(1);
  auto isArmed = [](const SimRank &it) {
    return it.Process.Engine && it.Process.Engine->Stage == MapStage::Armed;
  };
  BOOST_TEST(passesWhileFrozen(2, isArmed) > 80U);
  for (int i = 0; i < 300; ++i)
    turn();
  BOOST_TEST(MixedPasses == 0);
  BOOST_TEST(Switches > 5);
}

BOOST_AUTO_TEST_CASE(process_frozenOncePrepared_holdsNobody) {
  begin(1);
  LateShare = 0.4; // Ranks tell at different times that they are prepared.
  auto hasTold = [&](const SimRank &) {
    return Driver && Driver->Phase == DriverPhase::Preparing &&
           Driver->Ranks[1].Answered;
  };
  BOOST_TEST(passesWhileFrozen(1, hasTold) > 80U);
  for (int i = 0; i < 300; ++i)
    turn();
  BOOST_TEST(MixedPasses == 0);
}

// An order to hold comes late, after a process has died that knew of the
// release.
BOOST_AUTO_TEST_CASE(holder_thatHoldsAgainOnceItLetGo_isReleasedStill) {
  begin(1);
  RankServerState server = Ranks[0].Server;
  server.Armed = ArmedMap{{1}, {5}};
  RankDeeds deeds;
  noteState(deeds, server);
  server.Held = StepNumber{5};
  BOOST_TEST(engineMapOf(server, deeds).InForce.Value == 1U);
  BOOST_TEST(releaseAgain(deeds.Released, server).has_value());
  BOOST_TEST(bool(engineMapOf(server, {}).Stage == MapStage::Armed));
}

// A cancelled hold was dropped, and the order to drop it may come once more.
BOOST_AUTO_TEST_CASE(arm_ofAStepWhoseHoldWasDropped_isPassedOver) {
  ArmedMap last{{1}, {5}};
  RankWork work{RankTask::Resume, {}};
  noteGo(last, work, {5});
  MapOrder order;
  order.Kind = OrderKind::Arm;
  order.To = HoldingRank;
  order.Map = {2};
  order.Step = {5};
  BOOST_TEST(wasHeldBefore(order, last));
  order.Map = {1};
  BOOST_TEST(wasHeldBefore(order, last));
  order.Step = {6};
  BOOST_TEST(!wasHeldBefore(order, last));
}

BOOST_AUTO_TEST_CASE(switches_withLateOrdersAndFreezes_neverMix) {
  LateShare = 0.3;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    begin(seed);
    for (int i = 0; i < 800; ++i) {
      if (chance(0.02))
        Frozen = Rng() % Size;
      else if (chance(0.03))
        Frozen.reset();
      turn();
    }
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

BOOST_AUTO_TEST_CASE(cancel_ofAnArmedRank_disarmsFencesAndKeepsItsHold) {
  begin(1);
  SimRank &rank = Ranks[0];
  rank.Server.Prepared = rank.Highest = MapNumber{1024};
  rank.Server.Armed = ArmedMap{{1024}, {5}};
  rank.Server.Held = StepNumber{5};
  RankServerOrder lateArm{ServerMapOrder::Arm, 1, {1024}, {5}};
  RankWork work{RankTask::Cancel, {}};
  work.Goal.Map = {1024};
  for (RankServerStep step = decideRankServer(work, rank.Server);
       step.What == Kind::Send; step = decideRankServer(work, rank.Server))
    BOOST_TEST(carryOut(rank, step.Order));
  BOOST_TEST(!carryOut(rank, lateArm));
  BOOST_TEST(!rank.Server.Armed.has_value());
  BOOST_TEST(rank.Server.Held.has_value());
}

BOOST_AUTO_TEST_CASE(cancel_ofALaterMap_fencesTheEarlierOne) {
  begin(1);
  SimRank &rank = Ranks[1];
  rank.Server.Prepared = rank.Highest = MapNumber{1024};
  RankServerOrder lateArm{ServerMapOrder::Arm, 1, {1024}, {5}};
  RankWork work{RankTask::Cancel, {}};
  work.Goal.Map = {1025};
  RankServerStep step = decideRankServer(work, rank.Server);
  BOOST_REQUIRE(bool(step.What == Kind::Send));
  BOOST_TEST(carryOut(rank, step.Order));
  BOOST_TEST(bool(decideRankServer(work, rank.Server).What == Kind::Done));
  BOOST_TEST(!carryOut(rank, lateArm));
}

BOOST_AUTO_TEST_CASE(arm_ofTheHoldingRank_needsItsHold) {
  begin(1);
  RankServerState server = Ranks[1].Server;
  server.Prepared = MapNumber{1};
  RankWork work{RankTask::Arm, {}};
  work.Goal.Map = {1};
  work.Goal.Step = {9};
  RankServerStep step = decideRankServer(work, server);
  BOOST_TEST(bool(step.Order.Kind == ServerMapOrder::Arm));
  server.Self = HoldingRank;
  step = decideRankServer(work, server);
  BOOST_TEST(bool(step.What == Kind::Refused));
  server.Held = work.Goal.Step;
  step = decideRankServer(work, server);
  BOOST_TEST(bool(step.Order.Kind == ServerMapOrder::Arm));
}

BOOST_AUTO_TEST_CASE(arm_ofAStepThatHasBegun_isRefusedWithoutAHold) {
  begin(1);
  RankServerState server = Ranks[0].Server;
  server.Prepared = MapNumber{1};
  server.Step = {9};
  RankWork work{RankTask::Arm, {}};
  work.Goal.Map = {1};
  work.Goal.Step = {9};
  BOOST_TEST(bool(decideRankServer(work, server).What == Kind::Refused));
}

BOOST_AUTO_TEST_CASE(resume_ofAnArmedRank_isRefused) {
  begin(1);
  RankServerState server = Ranks[0].Server;
  server.Armed = ArmedMap{{1}, {5}};
  server.Held = StepNumber{5};
  RankWork work{RankTask::Resume, {}};
  BOOST_TEST(bool(decideRankServer(work, server).What == Kind::Refused));
}

BOOST_AUTO_TEST_CASE(hold_leftOfADeadProcess_looksArmed) {
  begin(1);
  RankServerState server = Ranks[0].Server;
  server.Held = StepNumber{5};
  BOOST_TEST(bool(engineMapOf(server, {}).Stage == MapStage::Armed));
  BOOST_TEST(bool(engineMapOf(server, {{1}, {}}).Stage == MapStage::None));
}

BOOST_AUTO_TEST_CASE(fence_keepsOwnExpertsAndPlacesAllOthers) {
  RankPlaces places = fencePlaces({{Expert(0), Expert(3)}}, Rank(1), 3, 8);
  BOOST_REQUIRE(places.size() == 1);
  BOOST_TEST(places[0][1].size() == 2U);
  std::size_t sum = 0;
  for (const auto &rank : places[0])
    sum += rank.size();
  BOOST_TEST(sum == 8U);
}

BOOST_AUTO_TEST_SUITE_END()
