#include "greengagespar/group/driver.h"
#include "greengagespar/group/rank.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>

using namespace greengagespar;

namespace {

using std::chrono::milliseconds;

constexpr std::size_t RankCount = 4;
constexpr int StepMs = 10;
constexpr int FaultsUntilMs = 2500;
constexpr int EndMs = 6000;

// A fake engine. It runs steps, carries out map orders and ignores fencing
// numbers.
struct FakeEngine {
  EngineMap Map;
  std::uint64_t Content = 0; // Lease of the driver whose map is pending.
  std::map<std::uint64_t, std::uint64_t> ContentFrom{{0, 0}}; // By step.
  std::map<std::uint64_t, std::uint64_t> ExecutedContent;     // By step.
  std::map<std::uint64_t, std::uint64_t> InForceFrom{{0, 0}}; // Step to map.
  std::map<std::uint64_t, std::uint64_t> Executed;            // Step to map.
  int NextStepAt = 0; // Earliest time of the next step, in ms.
};

void applyOrder(FakeEngine &engine, const MapOrder &order) {
  EngineMap &map = engine.Map;
  bool pending = map.Stage != MapStage::None && map.Pending == order.Map;
  if (order.Kind == OrderKind::Prepare && map.Stage != MapStage::Armed) {
    // An engine that has the map already copies nothing.
    if (!pending)
      engine.Content = order.Number.Lease.Value;
    map.Pending = order.Map;
    map.Stage = MapStage::Prepared;
  }
  if (order.Kind == OrderKind::Arm && pending && order.Step > map.Current) {
    map.Stage = MapStage::Armed;
    map.Step = order.Step;
  }
  if (order.Kind != OrderKind::Decide || !pending)
    return;
  if (order.Outcome == Decision::Cancel)
    map.Stage = MapStage::None;
  else if (map.Stage == MapStage::Armed) {
    map.InForce = map.Pending;
    engine.InForceFrom[map.Step.Value] = map.InForce.Value;
    engine.ContentFrom[map.Step.Value] = engine.Content;
    map.Stage = MapStage::None;
  }
}

// The endpoint process in front of one engine, with the drivers and settlers
// that it runs.
struct Process {
  RankState State;
  std::vector<DriverState> Drivers;
  int PausedUntil = 0;
};

// A message between processes. An order goes to its rank, a report to the owner
// of its ballot.
struct Message {
  int At = 0; // When it is delivered, in ms.
  std::optional<MapOrder> Order;
  std::optional<RankReport> Report;
};

// An order to an engine, or a read if Order is empty. The calls of one process
// are answered in the order in which they were sent.
struct EngineCall {
  int At = 0; // When the engine performs it and answers, in ms.
  std::size_t On = 0;
  Incarnation Process;
  std::optional<MapOrder> Order;
};

// Probabilities of faults. The seed determines them, so that the schedules
// differ.
struct FaultRates {
  double Loss = 0;      // A message is lost.
  double Duplicate = 0; // A message is delivered twice.
  double LongDelay = 0; // A message is delayed.
  double LostRead = 0;  // An engine's answer is lost.
  double Restart = 0;   // One process restarts, each millisecond.
  double Pause = 0;     // One process pauses, each millisecond.
  double NewDriver = 0; // A further driver starts, each millisecond.
};

// A simulation of four ranks, their engines and the messages between them. The
// seed determines the schedule.
struct Simulation {
  std::mt19937_64 Random;
  int Now = 0;               // In ms.
  std::uint64_t Starts = 0;  // Process starts; the latest incarnation.
  std::uint64_t Fencing = 0; // The latest fencing number.
  std::vector<FakeEngine> Engines{RankCount};
  std::vector<Process> Processes{RankCount};
  std::vector<Message> Messages;
  std::vector<EngineCall> Calls;
  int Released = 0; // Switches that ended with a release.

  FaultRates Faults;

  explicit Simulation(std::uint64_t seed) : Random(seed) {
    std::uniform_real_distribution<double> upTo(0, 1);
    auto sometimes = [&](double most) {
      return chance(0.5) ? most * upTo(Random) : 0;
    };
    Faults = {sometimes(0.4),  sometimes(0.6),   sometimes(0.4),
              sometimes(0.3),  sometimes(0.008), sometimes(0.008),
              sometimes(0.008)};
    for (std::size_t r = 0; r < RankCount; ++r)
      restart(r);
    startDriver();
  }

  bool chance(double p) { return std::bernoulli_distribution(p)(Random); }
  int pick(int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(Random);
  }
  SteadyTime time() const { return SteadyTime(milliseconds(Now)); }
  bool faultsActive() const { return Now < FaultsUntilMs; }

  void restart(std::size_t r) {
    Processes[r] = Process{makeRank(Rank(r), {++Starts}, {}), {}, 0};
    std::erase_if(Calls, [&](const EngineCall &it) { return it.On == r; });
  }

  // Starts a driver on a random rank. Its lease never ends, since safety must
  // not rest on the lease: several drivers run at the same time.
  void startDriver() {
    auto r = static_cast<std::size_t>(pick(0, RankCount - 1));
    Ballot number{{++Fencing}, 0, Rank(r), Processes[r].State.Process};
    Processes[r].Drivers.push_back(
        makeDriver(number, RankCount, SteadyTime::max(), {}, time()));
  }

  // Sends a message, which may be lost, delayed or duplicated.
  void post(Message message) {
    if (faultsActive() && chance(Faults.Loss))
      return;
    message.At =
        Now + (faultsActive() && chance(Faults.LongDelay) ? pick(1, 400)
                                                          : pick(1, 3));
    Messages.push_back(message);
    if (!faultsActive() || !chance(Faults.Duplicate))
      return;
    message.At = Now + pick(1, 800);
    Messages.push_back(message);
  }

  void perform(std::size_t r, const std::vector<RankAction> &actions) {
    for (const RankAction &it : actions) {
      if (const auto *report = std::get_if<SendReport>(&it))
        post({0, std::nullopt, report->Report});
      else if (const auto *order = std::get_if<OrderEngine>(&it))
        callEngine(r, order->Order);
      else if (std::get_if<ReadEngine>(&it) != nullptr)
        callEngine(r, std::nullopt);
      else if (const auto *start = std::get_if<StartSettlement>(&it))
        startSettler(r, start->Number);
    }
  }

  void startSettler(std::size_t r, const Ballot &number) {
    std::vector<DriverState> &drivers = Processes[r].Drivers;
    std::erase_if(drivers, [](const DriverState &it) { return it.IsSettler; });
    drivers.push_back(makeSettler(number, RankCount, {}, time()));
  }

  void callEngine(std::size_t r, std::optional<MapOrder> order) {
    int at = Now + pick(0, faultsActive() ? 30 : 2);
    for (const EngineCall &it : Calls)
      if (it.On == r)
        at = std::max(at, it.At);
    Calls.push_back({at, r, Processes[r].State.Process, order});
  }

  void perform(const std::vector<DriverAction> &actions) {
    for (const DriverAction &it : actions) {
      if (const auto *send = std::get_if<SendOrder>(&it))
        post({0, send->Order, std::nullopt});
      if (const auto *ended = std::get_if<SwitchEnded>(&it))
        Released += ended->Outcome == Decision::Release ? 1 : 0;
    }
  }

  void deliver(const Message &message) {
    if (message.Order) {
      std::size_t r = indexOf(message.Order->To);
      perform(r, decideRank(Processes[r].State, OrderReceived{*message.Order},
                            time()));
      return;
    }
    std::size_t r = indexOf(message.Report->Number.Owner);
    for (DriverState &it : Processes[r].Drivers)
      perform(decideDriver(it, ReportReceived{*message.Report}, time()));
  }

  void deliverMessages() {
    std::vector<Message> ready;
    std::erase_if(Messages, [&](const Message &it) {
      const Rank to = it.Order ? it.Order->To : it.Report->Number.Owner;
      bool now = it.At <= Now && Processes[indexOf(to)].PausedUntil <= Now;
      if (now)
        ready.push_back(it);
      return now;
    });
    for (const Message &it : ready)
      deliver(it);
  }

  void runEngineCalls() {
    std::vector<EngineCall> ready;
    std::erase_if(Calls, [&](const EngineCall &it) {
      if (it.At <= Now)
        ready.push_back(it);
      return it.At <= Now;
    });
    for (const EngineCall &it : ready) {
      FakeEngine &engine = Engines[it.On];
      EngineMap before = engine.Map;
      if (it.Order)
        applyOrder(engine, *it.Order);
      bool refused = it.Order && engine.Map == before;
      Process &process = Processes[it.On];
      if (process.State.Process == it.Process &&
          !(faultsActive() && chance(Faults.LostRead)))
        perform(it.On, decideRank(process.State,
                                  EngineRead{engine.Map, refused}, time()));
    }
  }

  // Each engine enters a step once all engines have finished the one before.
  void runSteps() {
    std::uint64_t least = UINT64_MAX;
    for (const FakeEngine &it : Engines)
      least = std::min(least, it.Map.Current.Value);
    for (FakeEngine &it : Engines) {
      std::uint64_t next = it.Map.Current.Value + 1;
      bool held = it.Map.Stage == MapStage::Armed && next >= it.Map.Step.Value;
      if (Now < it.NextStepAt || held || next > least + 1)
        continue;
      it.Map.Current = {next};
      it.Executed[next] = std::prev(it.InForceFrom.upper_bound(next))->second;
      it.ExecutedContent[next] =
          std::prev(it.ContentFrom.upper_bound(next))->second;
      it.NextStepAt = Now + StepMs + (chance(0.1) ? StepMs : 0);
    }
  }

  void tickAll() {
    for (std::size_t r = 0; r < RankCount; ++r) {
      if (Processes[r].PausedUntil > Now)
        continue;
      perform(r, decideRank(Processes[r].State, RankTick{}, time()));
      for (DriverState &it : Processes[r].Drivers) {
        perform(decideDriver(it, SwitchWanted{}, time()));
        perform(decideDriver(it, DriverTick{}, time()));
      }
    }
  }

  void injectFaults() {
    auto r = static_cast<std::size_t>(pick(0, RankCount - 1));
    if (chance(Faults.Restart))
      restart(r);
    if (chance(Faults.Pause))
      Processes[r].PausedUntil = Now + pick(10, 500);
    if (chance(Faults.NewDriver))
      startDriver();
    if (Now == FaultsUntilMs - 1)
      startDriver();
  }

  void run() {
    for (; Now < EndMs; ++Now) {
      if (faultsActive())
        injectFaults();
      deliverMessages();
      runEngineCalls();
      runSteps();
      if (Now % 5 == 0)
        tickAll();
    }
  }

  // Counts, over all engines, the steps that an engine ran with another map
  // than the first engine that ran the step.
  int mixedSteps() const {
    std::map<std::uint64_t, std::uint64_t> maps;
    int mixed = 0;
    for (const FakeEngine &engine : Engines)
      for (auto [step, map] : engine.Executed)
        mixed += maps.emplace(step, map).first->second != map ? 1 : 0;
    return mixed;
  }

  // The same for maps of one number that two drivers have planned.
  int stepsOfTwoMaps() const {
    std::map<std::uint64_t, std::uint64_t> maps;
    int mixed = 0;
    for (const FakeEngine &engine : Engines)
      for (auto [step, map] : engine.ExecutedContent)
        mixed += maps.emplace(step, map).first->second != map ? 1 : 0;
    return mixed;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(MapSwitch)

// Guards against ranks that run one step with different maps, and against steps
// or switches that stop for good, when messages are lost, duplicated or
// delayed, processes pause or restart, and several drivers run at the same
// time.
BOOST_AUTO_TEST_CASE(schedules_withFaults_useOneMapAndGoOn) {
  for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
    Simulation simulation(seed);
    simulation.run();
    BOOST_TEST_CONTEXT("seed " << seed) {
      BOOST_TEST(simulation.mixedSteps() == 0);
      BOOST_TEST(simulation.stepsOfTwoMaps() == 0);
      // Steps and switches go on after the last fault.
      std::uint64_t last = simulation.Engines[0].Executed.rbegin()->first;
      int lastSteps = 0;
      for (auto [step, map] : simulation.Engines[0].Executed)
        lastSteps += step > last - 100 ? 1 : 0;
      BOOST_TEST(last > 200U);
      BOOST_TEST(lastSteps == 100);
      BOOST_TEST(simulation.Released > 20);
    }
  }
}

namespace {

constexpr Ballot First{{1}, 0, Rank{1}, {5}};
constexpr SteadyTime Zero{};

// Returns a rank whose engine is in step 5 with map 1 in force and map 2
// pending at this stage; the armed step is 9.
RankState rankWith(MapStage stage) {
  RankState state = makeRank(Rank{0}, {7}, {});
  decideRank(state, EngineRead{{{1}, {2}, stage, {9}, {5}}, false}, Zero);
  return state;
}

MapOrder orderOf(OrderKind kind, MapNumber map, Decision outcome) {
  return {kind, First, Rank{0}, {7}, map, {9}, outcome};
}

std::optional<bool> accepted(const std::vector<RankAction> &actions) {
  for (const RankAction &it : actions)
    if (const auto *report = std::get_if<SendReport>(&it))
      return report->Report.Accepted;
  return std::nullopt;
}

bool ordersEngine(const std::vector<RankAction> &actions) {
  return std::any_of(actions.begin(), actions.end(), [](const auto &it) {
    return std::holds_alternative<OrderEngine>(it);
  });
}

} // namespace

BOOST_AUTO_TEST_CASE(restartedRank_orderToEarlierProcess_isRefused) {
  RankState state = rankWith(MapStage::Armed);
  MapOrder release = orderOf(OrderKind::Decide, {2}, Decision::Release);
  release.Process = {6};
  BOOST_TEST(!*accepted(decideRank(state, OrderReceived{release}, Zero)));
  // A delayed Promise order under the same ballot does not change that.
  MapOrder promise = orderOf(OrderKind::Promise, {}, Decision::Cancel);
  BOOST_TEST(*accepted(decideRank(state, OrderReceived{promise}, Zero)));
  auto actions = decideRank(state, OrderReceived{release}, Zero);
  BOOST_TEST(!*accepted(actions));
  BOOST_TEST(!ordersEngine(actions));
}

BOOST_AUTO_TEST_CASE(cancelledMap_delayedPrepareAndArm_areRefused) {
  RankState state = rankWith(MapStage::Armed);
  decideRank(state, OrderReceived{orderOf(OrderKind::Promise, {}, {})}, Zero);
  decideRank(state, OrderReceived{orderOf(OrderKind::Decide, {2}, {})}, Zero);
  EngineMap cancelled{{1}, {2}, MapStage::None, {9}, {5}};
  decideRank(state, EngineRead{cancelled, false}, Zero);
  for (OrderKind kind : {OrderKind::Prepare, OrderKind::Arm}) {
    auto actions =
        decideRank(state, OrderReceived{orderOf(kind, {2}, {})}, Zero);
    BOOST_TEST(!*accepted(actions));
    BOOST_TEST(!ordersEngine(actions));
  }
}

BOOST_AUTO_TEST_CASE(armedRank_withoutOutcome_startsSettlement) {
  RankState state = rankWith(MapStage::Armed);
  auto later = Zero + RankLimits{}.SettleAfter;
  auto actions = decideRank(state, RankTick{}, later);
  BOOST_REQUIRE(actions.size() == 1U);
  BOOST_TEST(std::holds_alternative<StartSettlement>(actions[0]));
}

BOOST_AUTO_TEST_CASE(driver_afterLeaseEnd_sendsNoOrder) {
  DriverState state =
      makeDriver(First, RankCount, Zero + milliseconds(10), {}, Zero);
  BOOST_TEST(!decideDriver(state, DriverTick{}, Zero).empty());
  auto late = Zero + milliseconds(40);
  BOOST_TEST(decideDriver(state, DriverTick{}, late).empty());
}

BOOST_AUTO_TEST_CASE(driver_unresponsiveRank_reportsGroupFailureOnce) {
  DriverState state = makeDriver(First, RankCount, SteadyTime::max(), {}, Zero);
  auto late = Zero + DriverLimits{}.UnresponsiveAfter;
  int failures = 0;
  for (int i = 0; i < 3; ++i)
    for (const DriverAction &it :
         decideDriver(state, DriverTick{}, late + milliseconds(i)))
      failures += std::holds_alternative<GroupFailed>(it) ? 1 : 0;
  BOOST_TEST(failures == 1);
}

BOOST_AUTO_TEST_SUITE_END()
