#include "greengagespar/direct/rank_server.h"

#include "greengagespar/group/driver.h"
#include <boost/test/unit_test.hpp>
#include <random>

using namespace greengagespar;
using namespace std::chrono_literals;

namespace {

using Kind = RankServerAction::Kind;

/// An order that its server carries out at a later turn.
struct DelayedOrder {
  std::size_t To = 0;
  RankServerOrder Order;
  std::uint64_t Driver = 0; ///< Lease of the driver of its map.
  int AtTurn = 0;
};

/// An order of the driver that its agent receives at a later turn.
struct OrderInTransit {
  MapOrder Order;
  int AtTurn = 0;
};

/// One rank: its server and its agent.
struct SimRank {
  RankServerState Server;
  RankState Process;
  std::optional<RankWork> Work;
  RankHistory History;
  MapNumber Highest;          ///< Highest map that the server has accepted.
  ArmedMap LastArm;           ///< Map and highest step of the orders to arm.
  std::uint64_t Prepared = 0; ///< The driver whose map is prepared or copied.
  std::uint64_t Used = 0;     ///< The driver whose map is in use.
  MapNumber Copying;          ///< Its weights are being copied; zero: none.
  int CopiedAtTurn = 0;       ///< When the copy is complete.
  MapNumber Preparing;        ///< The map that its agent has had accepted last.
  int HeldTurns = 0; ///< Turns since the server holds without an armed map.
};

/// Simulates a group. Orders may remain without an answer and be carried out
/// later; agents and drivers may die at any turn.
struct GroupFixture {
  static constexpr std::size_t Size = 3;
  static constexpr int MaxDelayTurns = 40;
  static constexpr int ResumeTurns = 20;
  std::vector<SimRank> Ranks{Size};
  std::optional<DriverState> Driver;
  std::vector<DelayedOrder> DelayedOrders;
  std::vector<OrderInTransit> OrdersInTransit;
  std::mt19937_64 Rng;
  SteadyTime Now{};
  std::uint64_t Lease = 0;
  std::uint64_t LastIncarnation = 100;
  int Turn = 0;
  int ArmedTurns = 0;
  int MixedPasses = 0;
  int Switches = 0;
  double DelayedShare = 0;
  double DeathShare = 0;
  double RestartAllShare = 0;
  /// Most turns for which an order of the driver is in transit to its agent.
  int MaxTransitTurns = 0;
  MapNumber HoldRequestedFor; ///< Map of the driver's latest order to hold.
  int MaxCopyTurns = 0;       ///< Most turns for which a server copies weights.
  /// Share of turns at which a steady or preparing driver ends and the same
  /// process starts another one, as after a lost position.
  double NewDriverShare = 0;
  double DriverDeathShare = 0;       ///< The same with another process.
  std::uint64_t IncarnationStep = 1; ///< Between two processes.
  Incarnation DriverProcess;         ///< The latest one that has run a driver.
  MapNumber HighestUsed;             ///< By drivers of that process.
  /// The rank whose agent neither acts nor receives; empty: none.
  std::optional<std::size_t> PausedRank;

  void begin(std::uint64_t seed) {
    Rng.seed(seed);
    Now = {};
    Lease = 0;
    LastIncarnation = 100;
    DriverProcess = {};
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
    DelayedOrders.clear();
    OrdersInTransit.clear();
    PausedRank.reset();
    HoldRequestedFor = {};
    MixedPasses = 0;
    Switches = 0;
  }

  bool chance(double share) {
    return std::uniform_real_distribution<double>(0, 1)(Rng) < share;
  }

  void restart(std::size_t r) {
    RankLimits limits = rankServerLimits();
    limits.SettleAfter = 1h;
    Ranks[r].Process = makeRank(Rank(r), {++LastIncarnation}, limits);
    Ranks[r].Work.reset();
    Ranks[r].History = {};
    Ranks[r].Preparing = {};
    Ranks[r].LastArm = {{}, lastStepOfEarlierProcess(Ranks[r].Server)};
  }

  // Applies an order by the rules of the server, as the platform documents
  // them. Returns whether the server accepted it.
  bool carryOut(SimRank &rank, const RankServerOrder &o,
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
      rank.Copying = o.Map;
      s.Prepared.reset();
      // A fence copies nothing.
      rank.CopiedAtTurn = Turn;
      if (MaxCopyTurns > 0 && driver != 0)
        rank.CopiedAtTurn += static_cast<int>(Rng() % (MaxCopyTurns + 1));
      endCopy(rank);
      return true;
    case ServerMapOrder::Arm:
      if (s.Armed || s.Prepared != o.Map || s.Step >= o.Step)
        return false;
      s.Armed = ArmedMap{o.Map, o.Step};
      return true;
    case ServerMapOrder::Hold:
      if (s.Held || s.Step >= o.Step)
        return false;
      s.Held = o.Step;
      return true;
    case ServerMapOrder::ReleaseHold:
      if (s.Held != o.Step)
        return false;
      s.Held.reset();
      return true;
    }
    return false;
  }

  void endCopy(SimRank &rank) const {
    if (rank.Copying.Value == 0 || rank.CopiedAtTurn > Turn)
      return;
    rank.Server.Prepared = std::exchange(rank.Copying, {});
  }

  // Runs one step (a pass) of all ranks, unless one of them holds it.
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

  // Returns whether the server answers that it has accepted the order.
  bool sendOrder(std::size_t r, const RankServerOrder &order) {
    // The map belongs to the driver of the task. The driver of a fence does not
    // matter, since no rank uses a fence.
    std::uint64_t driver = 0;
    if (Ranks[r].Work && Ranks[r].Work->Task == RankTask::Prepare)
      driver = Ranks[r].Work->Goal.Number.Lease.Value;
    if (!chance(DelayedShare))
      return carryOut(Ranks[r], order, driver);
    DelayedOrders.push_back(
        {r, order, driver, Turn + 1 + static_cast<int>(Rng() % MaxDelayTurns)});
    return false;
  }

  void performActions(std::size_t r, const std::vector<RankAction> &actions) {
    for (const RankAction &it : actions) {
      if (const auto *order = std::get_if<OrderEngine>(&it)) {
        bool isCopying = order->Order.Kind == OrderKind::Prepare &&
                         Ranks[r].Preparing == order->Order.Map;
        if (!Ranks[r].Work && !isCopying)
          Ranks[r].Work = RankWork{taskOf(order->Order), order->Order};
      } else if (const auto *report = std::get_if<SendReport>(&it)) {
        if (Driver)
          performDriverActions(
              decideDriver(*Driver, ReportReceived{report->Report}, Now));
      }
    }
  }

  void performDriverActions(const std::vector<DriverAction> &actions) {
    for (const DriverAction &it : actions) {
      if (const auto *order = std::get_if<SendOrder>(&it)) {
        transmit(order->Order);
      } else if (const auto *ended = std::get_if<SwitchEnded>(&it)) {
        Switches += ended->Outcome == Decision::Release ? 1 : 0;
        if (ended->Outcome == Decision::Cancel)
          resume();
      }
    }
  }

  // Sends an order to the agent of its rank. Before HoldingRank is armed, the
  // driver has its server hold the step.
  void transmit(const MapOrder &order) {
    std::size_t r = indexOf(order.To);
    if (PausedRank == r)
      return;
    bool needsHold = order.Kind == OrderKind::Arm && order.To == HoldingRank &&
                     !isOwnerArmed(*Driver);
    if (needsHold && HoldRequestedFor != order.Map) {
      HoldRequestedFor = order.Map;
      sendOrder(r,
                {ServerMapOrder::Hold, Ranks[r].Server.Epoch, {}, order.Step});
    }
    if (MaxTransitTurns == 0)
      return handleOrder(r, order);
    std::uniform_int_distribution<int> turns(1, MaxTransitTurns);
    OrdersInTransit.push_back({order, Turn + turns(Rng)});
  }

  void deliverOrders() {
    for (const OrderInTransit &it : std::exchange(OrdersInTransit, {})) {
      if (it.AtTurn > Turn)
        OrdersInTransit.push_back(it);
      else
        handleOrder(indexOf(it.Order.To), it.Order);
    }
  }

  void handleOrder(std::size_t r, const MapOrder &order) {
    if (PausedRank == r)
      return;
    SimRank &rank = Ranks[r];
    if (mayHaveBeenHeld(order, rank.LastArm, rank.Server))
      return;
    if (order.Kind == OrderKind::Arm)
      rank.LastArm = {order.Map, std::max(rank.LastArm.Step, order.Step)};
    performActions(r, decideRank(rank.Process, OrderReceived{order}, Now));
  }

  void resume() {
    for (SimRank &it : Ranks)
      if (it.Process.Promised == Driver->Number && !it.Work && it.Server.Held &&
          !chance(DeathShare))
        it.Work = RankWork{RankTask::Resume, {}};
  }

  void advanceRank(std::size_t r) {
    SimRank &rank = Ranks[r];
    recordState(rank.History, rank.Server);
    if (!rank.Work) {
      bool isHeld = rank.Server.Held && !rank.Server.Armed;
      rank.HeldTurns = isHeld ? rank.HeldTurns + 1 : 0;
      if (rank.HeldTurns % ResumeTurns == ResumeTurns - 1)
        rank.History.Cancelled = {};
      rank.Work = releaseAgain(rank.History.Released, rank.Server);
      if (rank.Work)
        return;
      if (!rank.Process.InProgress)
        performActions(
            r, decideRank(rank.Process,
                          EngineRead{engineMapOf(rank.Server, rank.History)},
                          Now));
      performActions(r, decideRank(rank.Process, RankTick{}, Now));
      return;
    }
    RankServerAction action = decideRankServer(*rank.Work, rank.Server);
    if (action.What == Kind::Send) {
      if (action.Order.Kind == ServerMapOrder::ReleaseHold)
        recordHoldRelease(rank.LastArm, *rank.Work, action.Order.Step);
      bool isAccepted = sendOrder(r, action.Order);
      // The server copies the weights after its answer.
      bool isCopied = isAccepted && MaxCopyTurns > 0 &&
                      rank.Work->Task == RankTask::Prepare;
      if (!isCopied)
        return;
      rank.Preparing = action.Order.Map;
    }
    RankWork ended = *rank.Work;
    rank.Work.reset();
    bool isRefused = action.What == Kind::Refused;
    if (ended.Task == RankTask::Resume || ended.IsRepeated)
      return;
    if (ended.Task == RankTask::Cancel && !isRefused)
      rank.History.Cancelled =
          std::max({rank.History.Cancelled, ended.Goal.Map,
                    rank.Server.Prepared.value_or(MapNumber{})});
    if (ended.Task == RankTask::Release && !isRefused)
      rank.History.Released = std::max(rank.History.Released, ended.Goal.Map);
    performActions(r,
                   decideRank(rank.Process,
                              EngineRead{engineMapOf(rank.Server, rank.History),
                                         isRefused},
                              Now));
  }

  void advanceDriver() {
    bool hasDied = Driver && chance(DeathShare + DriverDeathShare);
    bool isReplaced = Driver && !hasDied && chance(NewDriverShare);
    if (hasDied || isReplaced)
      Driver.reset();
    if (hasDied)
      DriverProcess = {};
    // A rank that stays armed requests a settlement.
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
      if (DriverProcess.Value == 0 || NewDriverShare == 0) {
        DriverProcess = {LastIncarnation += IncarnationStep};
        HighestUsed = {};
      }
      ballot.Process = DriverProcess;
      DriverLimits limits = mapDriverLimits(ballot.Process, HighestUsed);
      Driver = makeDriver(ballot, Size, SteadyTime::max(), limits, Now);
    }
    if (Driver->Phase == DriverPhase::Steady) {
      auto actions = decideDriver(*Driver, SwitchWanted{}, Now);
      HighestUsed = std::max(HighestUsed, Driver->HighestMap);
      performDriverActions(actions);
    }
    performDriverActions(decideDriver(*Driver, DriverTick{}, Now));
  }

  // All processes die and start again. Orders that servers have received and
  // not carried out yet stay.
  void restartAll() {
    Driver.reset();
    DriverProcess = {};
    OrdersInTransit.clear();
    HoldRequestedFor = {};
    for (std::size_t r = 0; r < Size; ++r)
      restart(r);
  }

  void turn() {
    ++Turn;
    Now += 10ms;
    if (chance(RestartAllShare))
      restartAll();
    for (const DelayedOrder &it : std::exchange(DelayedOrders, {})) {
      if (it.AtTurn <= Turn)
        carryOut(Ranks[it.To], it.Order, it.Driver);
      else
        DelayedOrders.push_back(it);
    }
    deliverOrders();
    for (std::size_t r = 0; r < Size; ++r) {
      endCopy(Ranks[r]);
      if (chance(DeathShare))
        restart(r);
      if (PausedRank != r)
        advanceRank(r);
    }
    advanceDriver();
    if (Turn % 3 == 0)
      pass();
  }

  // Pauses the agent of rank r once isWanted returns true for the rank. Returns
  // the number of passes of the group while the agent is paused.
  std::uint64_t passesWhilePaused(std::size_t r, auto isWanted) {
    for (int i = 0; i < 600 && !isWanted(Ranks[r]); ++i)
      turn();
    BOOST_REQUIRE(isWanted(Ranks[r]));
    PausedRank = r;
    std::uint64_t before = Ranks[0].Server.Step.Value;
    for (int i = 0; i < 300; ++i)
      turn();
    PausedRank.reset();
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

BOOST_AUTO_TEST_CASE(switches_withoutFaults_completeAndNeverMixMaps) {
  play(1, 600);
  BOOST_TEST(MixedPasses == 0);
  BOOST_TEST(Switches > 10);
}

BOOST_AUTO_TEST_CASE(switches_withDelayedOrders_neverMixMaps) {
  DelayedShare = 0.4;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    play(seed, 600);
    BOOST_TEST(MixedPasses == 0, "seed " << seed);
    BOOST_TEST(Ranks[0].Server.Step.Value > 0U, "seed " << seed);
  }
}

BOOST_AUTO_TEST_CASE(switches_withDelayedOrdersAndDeaths_neverMixMaps) {
  DelayedShare = 0.3;
  DeathShare = 0.02;
  for (std::uint64_t seed = 1; seed <= 400; ++seed) {
    play(seed, 800);
    BOOST_TEST(MixedPasses == 0, "seed " << seed);
  }
}

// Guards against a paused agent that blocks its group: only HoldingRank's
// server holds the step, so that a pause of any other agent blocks no pass. 300
// turns are 100 passes; the pass that begins with the new map may wait for the
// others.
BOOST_AUTO_TEST_CASE(process_frozenOnceArmed_holdsNobody) {
  begin(1);
  auto isArmed = [](const SimRank &it) {
    return it.Process.Engine && it.Process.Engine->Stage == MapStage::Armed;
  };
  BOOST_TEST(passesWhilePaused(2, isArmed) > 80U);
  for (int i = 0; i < 300; ++i)
    turn();
  BOOST_TEST(MixedPasses == 0);
  BOOST_TEST(Switches > 5);
}

// Guards against a group that is armed while one agent is paused.
BOOST_AUTO_TEST_CASE(process_frozenOncePrepared_holdsNobody) {
  begin(1);
  DelayedShare = 0.4; // Ranks report at different times that they are prepared.
  auto hasAnswered = [&](const SimRank &) {
    return Driver && Driver->Phase == DriverPhase::Preparing &&
           Driver->Ranks[1].HasAnswered;
  };
  BOOST_TEST(passesWhilePaused(1, hasAnswered) > 80U);
  for (int i = 0; i < 300; ++i)
    turn();
  BOOST_TEST(MixedPasses == 0);
}

// The server carries out a delayed order to hold after the agent that knew of
// the release has died.
BOOST_AUTO_TEST_CASE(holdingRank_heldAgainAfterRelease_staysReleased) {
  begin(1);
  RankServerState server = Ranks[0].Server;
  server.Armed = ArmedMap{{1}, {5}};
  RankHistory history;
  recordState(history, server);
  server.Held = StepNumber{5};
  BOOST_TEST(engineMapOf(server, history).InForce.Value == 1U);
  BOOST_TEST(releaseAgain(history.Released, server).has_value());
  BOOST_TEST(bool(engineMapOf(server, {}).Stage == MapStage::Armed));
}

// The hold of a cancelled map was released, and the server may carry out the
// order to release it a second time.
BOOST_AUTO_TEST_CASE(arm_ofAStepWhoseHoldWasReleased_isIgnored) {
  ArmedMap last{{1}, {5}};
  RankWork work{RankTask::Resume, {}};
  recordHoldRelease(last, work, {5});
  MapOrder order;
  order.Kind = OrderKind::Arm;
  order.To = HoldingRank;
  order.Map = {2};
  order.Step = {5};
  RankServerState server;
  BOOST_TEST(mayHaveBeenHeld(order, last, server));
  order.Map = {1};
  BOOST_TEST(mayHaveBeenHeld(order, last, server));
  server.Armed = ArmedMap{{1}, {6}};
  BOOST_TEST(mayHaveBeenHeld(order, last, server));
  server.Armed = ArmedMap{{1}, {5}};
  BOOST_TEST(!mayHaveBeenHeld(order, last, server));
  server.Armed.reset();
  order.Step = {6};
  BOOST_TEST(!mayHaveBeenHeld(order, last, server));
}

BOOST_AUTO_TEST_CASE(switches_withDelayedOrdersAndPauses_neverMixMaps) {
  DelayedShare = 0.3;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    begin(seed);
    for (int i = 0; i < 800; ++i) {
      if (chance(0.02))
        PausedRank = Rng() % Size;
      else if (chance(0.03))
        PausedRank.reset();
      turn();
    }
    BOOST_TEST(MixedPasses == 0, "seed " << seed);
  }
}

BOOST_AUTO_TEST_CASE(group_afterProcessDeaths_continues) {
  DelayedShare = 0.3;
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

// Guards against a group that is held for good: the agent of HoldingRank read
// the hold before it received the order to arm, took the hold for the armed
// map and confirmed the order without arming its server.
BOOST_AUTO_TEST_CASE(arm_ofARankThatAlreadyHolds_isConfirmedOnlyOnceArmed) {
  begin(1);
  SimRank &rank = Ranks[0];
  rank.Server.Prepared = MapNumber{1024};
  rank.Server.Held = StepNumber{5};
  decideRank(rank.Process, EngineRead{engineMapOf(rank.Server, {})}, Now);
  MapOrder order;
  order.To = HoldingRank;
  decideRank(rank.Process, OrderReceived{order}, Now);
  order.Kind = OrderKind::Arm;
  order.Process = rank.Process.Process;
  order.Map = {1024};
  order.Step = {5};
  auto actions = decideRank(rank.Process, OrderReceived{order}, Now);
  BOOST_REQUIRE(actions.size() == 1U);
  BOOST_TEST(std::holds_alternative<OrderEngine>(actions[0]));
  rank.Server.Armed = ArmedMap{{1024}, {5}};
  actions =
      decideRank(rank.Process, EngineRead{engineMapOf(rank.Server, {})}, Now);
  BOOST_REQUIRE(actions.size() == 1U);
  BOOST_REQUIRE(std::holds_alternative<SendReport>(actions[0]));
  BOOST_TEST(std::get<SendReport>(actions[0]).Report.Accepted);
}

// Guards against a switch that never ends although nothing has failed: orders
// take some time to arrive, and agents read their servers in between.
BOOST_AUTO_TEST_CASE(switches_withOrdersInTransit_goOnAndNeverMixMaps) {
  for (MaxTransitTurns = 1; MaxTransitTurns <= 6; ++MaxTransitTurns)
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
      play(seed, 600);
      std::uint64_t before = Ranks[0].Server.Step.Value;
      int switches = std::exchange(Switches, 0);
      for (int i = 0; i < 300; ++i)
        turn();
      BOOST_TEST(MixedPasses == 0, "seed " << seed);
      BOOST_TEST(switches > 0, "seed " << seed);
      BOOST_TEST(Switches > 0, "seed " << seed);
      BOOST_TEST(Ranks[0].Server.Step.Value > before + 20, "seed " << seed);
    }
}

// Guards against two maps with one number: a process whose driver was replaced
// while the servers copied its map gave the number to another map too. Some
// servers then used the one and some the other.
BOOST_AUTO_TEST_CASE(switches_withNewDriversOfOneProcess_neverMixMaps) {
  MaxCopyTurns = 6;
  MaxTransitTurns = 4;
  NewDriverShare = 0.05;
  int switches = 0;
  for (double delayed : {0.0, 0.2})
    for (std::uint64_t seed = 1; seed <= 400; ++seed) {
      DelayedShare = delayed;
      play(seed, 800);
      BOOST_TEST(MixedPasses == 0, "seed " << seed);
      switches += Switches;
    }
  BOOST_TEST(switches > 1000);
}

// The same with agents that die and know no longer what they had prepared.
BOOST_AUTO_TEST_CASE(switches_withNewDriversAndAgentDeaths_neverMixMaps) {
  MaxCopyTurns = 6;
  MaxTransitTurns = 4;
  NewDriverShare = 0.05;
  DelayedShare = 0.2;
  DeathShare = 0.02;
  for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
    play(seed, 800);
    BOOST_TEST(MixedPasses == 0, "seed " << seed);
  }
}

// The same with drivers in processes whose map numbers have equal offsets.
BOOST_AUTO_TEST_CASE(switches_withDriversOfEqualOffsets_neverMixMaps) {
  MaxCopyTurns = 6;
  MaxTransitTurns = 4;
  DriverDeathShare = 0.05;
  IncarnationStep = MapNumberStride / MapNumberSalt;
  int switches = 0;
  for (double delayed : {0.0, 0.2})
    for (std::uint64_t seed = 1; seed <= 400; ++seed) {
      DelayedShare = delayed;
      play(seed, 800);
      BOOST_TEST(MixedPasses == 0, "seed " << seed);
      switches += Switches;
    }
  BOOST_TEST(switches > 1000);
}

// The same with faults, which end before the group has to go on.
BOOST_AUTO_TEST_CASE(group_withOrdersInTransit_goesOnAfterFaults) {
  MaxTransitTurns = 4;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    DelayedShare = 0.3;
    DeathShare = 0.02;
    play(seed, 400);
    BOOST_TEST(MixedPasses == 0, "seed " << seed);
    DelayedShare = 0;
    DeathShare = 0;
    for (int i = 0; i < 200; ++i)
      turn();
    std::uint64_t before = Ranks[0].Server.Step.Value;
    for (int i = 0; i < 300; ++i)
      turn();
    BOOST_TEST(MixedPasses == 0, "seed " << seed);
    BOOST_TEST(Ranks[0].Server.Step.Value > before + 20, "seed " << seed);
  }
}

// Guards against a pass with two maps after all processes were killed: none of
// them knew any more that the step was released, the next driver cancelled the
// switch, and the late order to release the step came in the midst of that.
BOOST_AUTO_TEST_CASE(switches_withAllProcessesKilled_neverMixMaps) {
  DelayedShare = 0.35;
  for (double share : {0.01, 0.03})
    for (std::uint64_t seed = 1; seed <= 400; ++seed) {
      RestartAllShare = share;
      play(seed, 600);
      BOOST_TEST(MixedPasses == 0, "seed " << seed);
      RestartAllShare = 0;
      std::uint64_t before = Ranks[0].Server.Step.Value;
      int switches = std::exchange(Switches, 0);
      for (int i = 0; i < 600; ++i)
        turn();
      BOOST_TEST(MixedPasses == 0, "seed " << seed);
      BOOST_TEST(Ranks[0].Server.Step.Value > before + 20, "seed " << seed);
      BOOST_TEST(Switches + switches > 0, "seed " << seed);
    }
}

// Whichever process settles a switch whose HoldingRank is armed completes it:
// an order to release the step may still be carried out.
BOOST_AUTO_TEST_CASE(cancel_ofAnArmedRank_isRefusedAndSendsNoOrder) {
  begin(1);
  RankServerState server = Ranks[0].Server;
  server.Prepared = MapNumber{1024};
  server.Armed = ArmedMap{{1024}, {5}};
  server.Held = StepNumber{5};
  RankWork work{RankTask::Cancel, {}};
  work.Goal.Map = {1024};
  BOOST_TEST(bool(decideRankServer(work, server).What == Kind::Refused));
}

BOOST_AUTO_TEST_CASE(cancel_ofAHeldRank_fencesItAndKeepsItsHold) {
  begin(1);
  SimRank &rank = Ranks[0];
  rank.Server.Prepared = rank.Highest = MapNumber{1024};
  rank.Server.Held = StepNumber{5};
  RankServerOrder delayedArm{ServerMapOrder::Arm, 1, {1024}, {5}};
  RankWork work{RankTask::Cancel, {}};
  work.Goal.Map = {1024};
  for (RankServerAction action = decideRankServer(work, rank.Server);
       action.What == Kind::Send; action = decideRankServer(work, rank.Server))
    BOOST_TEST(carryOut(rank, action.Order));
  BOOST_TEST(!carryOut(rank, delayedArm));
  BOOST_TEST(!rank.Server.Armed.has_value());
  BOOST_TEST(rank.Server.Held.has_value());
}

// A driver cancelled HoldingRank and died before it cancelled this rank. The
// settlement cancels the number of HoldingRank's fence.
BOOST_AUTO_TEST_CASE(cancel_ofALaterMap_fencesTheEarlierOne) {
  begin(1);
  SimRank &rank = Ranks[1];
  rank.Server.Prepared = rank.Highest = MapNumber{1024};
  RankServerOrder delayedArm{ServerMapOrder::Arm, 1, {1024}, {5}};
  RankWork work{RankTask::Cancel, {}};
  work.Goal.Map = {1025};
  RankServerAction action = decideRankServer(work, rank.Server);
  BOOST_REQUIRE(bool(action.What == Kind::Send));
  BOOST_TEST(carryOut(rank, action.Order));
  BOOST_TEST(bool(decideRankServer(work, rank.Server).What == Kind::Done));
  BOOST_TEST(!carryOut(rank, delayedArm));
}

// Guards against a number that a process gives to two maps.
BOOST_AUTO_TEST_CASE(mapNumbers_ofAProcessThatHasUsedSome_areHigher) {
  constexpr Incarnation process{1'700'000'000'000'007};
  constexpr MapNumber used{process.Value + 10 * MapNumberStride};
  BOOST_TEST(bool(mapDriverLimits(process, used).FirstMap == used));
  MapNumber first = mapDriverLimits(process, {}).FirstMap;
  BOOST_TEST(first.Value == process.Value);
}

// Guards against an agent that sends a map again and again, 24 times for each
// order of the driver, to a server that refuses it while it is armed.
BOOST_AUTO_TEST_CASE(prepare_ofAnArmedServer_sendsNoOrder) {
  begin(1);
  RankServerState server = Ranks[1].Server;
  server.Prepared = MapNumber{1024};
  server.Armed = ArmedMap{{1024}, {5}};
  RankWork work{RankTask::Prepare, {}};
  work.Goal.Map = {2048};
  BOOST_TEST(bool(decideRankServer(work, server).What == Kind::Refused));
  server.Armed.reset();
  BOOST_TEST(bool(decideRankServer(work, server).What == Kind::Send));
}

BOOST_AUTO_TEST_CASE(arm_ofTheHoldingRank_needsItsHold) {
  begin(1);
  RankServerState server = Ranks[1].Server;
  server.Prepared = MapNumber{1};
  RankWork work{RankTask::Arm, {}};
  work.Goal.Map = {1};
  work.Goal.Step = {9};
  RankServerAction action = decideRankServer(work, server);
  BOOST_TEST(bool(action.Order.Kind == ServerMapOrder::Arm));
  server.Self = HoldingRank;
  action = decideRankServer(work, server);
  BOOST_TEST(bool(action.What == Kind::Refused));
  server.Held = work.Goal.Step;
  action = decideRankServer(work, server);
  BOOST_TEST(bool(action.Order.Kind == ServerMapOrder::Arm));
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

BOOST_AUTO_TEST_CASE(hold_leftByADeadProcess_isReportedAsArmed) {
  begin(1);
  RankServerState server = Ranks[0].Server;
  server.Held = StepNumber{5};
  BOOST_TEST(bool(engineMapOf(server, {}).Stage == MapStage::Armed));
  BOOST_TEST(bool(engineMapOf(server, {{1}, {}}).Stage == MapStage::None));
}

BOOST_AUTO_TEST_CASE(fencePlaces_ofOneRank_keepsItsExpertsAndPlacesAllOthers) {
  RankPlaces places = fencePlaces({{Expert(0), Expert(3)}}, Rank(1), 3, 8);
  BOOST_REQUIRE(places.size() == 1);
  BOOST_TEST(places[0][1].size() == 2U);
  std::size_t sum = 0;
  for (const auto &rank : places[0])
    sum += rank.size();
  BOOST_TEST(sum == 8U);
}

BOOST_AUTO_TEST_SUITE_END()
