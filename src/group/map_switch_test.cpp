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

// An engine: it runs steps, obeys map orders and ignores fencing numbers.
struct FakeEngine {
  EngineMap Map;
  std::map<std::uint64_t, std::uint64_t> InForceFrom{{0, 0}}; // Step to map.
  std::map<std::uint64_t, std::uint64_t> Executed;            // Step to map.
  int NextStepAt = 0;
};

void obey(FakeEngine &engine, const MapOrder &order) {
  EngineMap &map = engine.Map;
  bool pending = map.Stage != MapStage::None && map.Pending == order.Map;
  if (order.Kind == OrderKind::Prepare && map.Stage != MapStage::Armed) {
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
    map.Stage = MapStage::None;
  }
}

// The endpoint process before one engine, with the drivers that it runs.
struct Process {
  RankState State;
  std::vector<DriverState> Drivers;
  int PausedUntil = 0;
};

// A message on its way; a report goes to the owner of its ballot.
struct Letter {
  int At = 0;
  std::optional<MapOrder> Order;
  std::optional<RankReport> Report;
};

// An order or read on its way to an engine or back; in order for a process.
struct EngineCall {
  int At = 0;
  std::size_t On = 0;
  Incarnation Process;
  std::optional<MapOrder> Order;
};

// How often faults happen; drawn from the seed, so that schedules differ.
struct FaultRates {
  double Loss = 0;      // Of a message.
  double Duplicate = 0; // Of a message.
  double LongDelay = 0; // Of a message.
  double LostRead = 0;  // Of an engine's answer.
  double Restart = 0;   // Each millisecond, of one process.
  double Pause = 0;     // Each millisecond, of one process.
  double NewDriver = 0; // Each millisecond.
};

// Four ranks, their engines and a bag of messages under a seeded schedule.
struct World {
  std::mt19937_64 Random;
  int Now = 0;
  std::uint64_t Starts = 0;
  std::uint64_t Fencing = 0;
  std::vector<FakeEngine> Engines{RankCount};
  std::vector<Process> Processes{RankCount};
  std::vector<Letter> Bag;
  std::vector<EngineCall> Calls;
  int Released = 0;

  FaultRates Faults;

  explicit World(std::uint64_t seed) : Random(seed) {
    std::uniform_real_distribution<double> upTo(0, 1);
    auto sometimes = [&](double most) {
      return chance(0.5) ? most * upTo(Random) : 0;
    };
    Faults = {sometimes(0.4),  sometimes(0.6),   sometimes(0.4),
              sometimes(0.3),  sometimes(0.008), sometimes(0.008),
              sometimes(0.008)};
    for (std::size_t r = 0; r < RankCount; ++r)
      restart(r);
    takeLease();
  }

  bool chance(double p) { return std::bernoulli_distribution(p)(Random); }
  int pick(int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(Random);
  }
  SteadyTime time() const { return SteadyTime(milliseconds(Now)); }
  bool faulty() const { return Now < FaultsUntilMs; }

  void restart(std::size_t r) {
    Processes[r] = Process{makeRank(Rank(r), {++Starts}, {}), {}, 0};
    std::erase_if(Calls, [&](const EngineCall &it) { return it.On == r; });
  }

  // A driver whose lease seems to last for ever: safety may not rest on it.
  void takeLease() {
    auto r = static_cast<std::size_t>(pick(0, RankCount - 1));
    Ballot number{{++Fencing}, 0, Rank(r), Processes[r].State.Process};
    Processes[r].Drivers.push_back(
        makeDriver(number, RankCount, SteadyTime::max(), {}, time()));
  }

  void post(Letter letter) {
    if (faulty() && chance(Faults.Loss))
      return;
    letter.At = Now + (faulty() && chance(Faults.LongDelay) ? pick(1, 400)
                                                            : pick(1, 3));
    Bag.push_back(letter);
    if (!faulty() || !chance(Faults.Duplicate))
      return;
    letter.At = Now + pick(1, 800);
    Bag.push_back(letter);
  }

  void perform(std::size_t r, const std::vector<RankAction> &actions) {
    for (const RankAction &it : actions) {
      if (const auto *report = std::get_if<SendReport>(&it))
        post({0, std::nullopt, report->Report});
      else if (const auto *order = std::get_if<OrderEngine>(&it))
        call(r, order->Order);
      else if (std::get_if<ReadEngine>(&it) != nullptr)
        call(r, std::nullopt);
      else if (const auto *start = std::get_if<StartSettlement>(&it))
        startSettler(r, start->Number);
    }
  }

  void startSettler(std::size_t r, const Ballot &number) {
    std::vector<DriverState> &drivers = Processes[r].Drivers;
    std::erase_if(drivers, [](const DriverState &it) { return it.IsSettler; });
    drivers.push_back(makeSettler(number, RankCount, {}, time()));
  }

  void call(std::size_t r, std::optional<MapOrder> order) {
    int at = Now + pick(0, faulty() ? 30 : 2);
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

  void deliver(const Letter &letter) {
    if (letter.Order) {
      std::size_t r = indexOf(letter.Order->To);
      perform(r,
              decideRank(Processes[r].State, OrderCame{*letter.Order}, time()));
      return;
    }
    std::size_t r = indexOf(letter.Report->Number.Owner);
    for (DriverState &it : Processes[r].Drivers)
      perform(decideDriver(it, ReportCame{*letter.Report}, time()));
  }

  void deliverDue() {
    std::vector<Letter> due;
    std::erase_if(Bag, [&](const Letter &it) {
      const Rank to = it.Order ? it.Order->To : it.Report->Number.Owner;
      bool now = it.At <= Now && Processes[indexOf(to)].PausedUntil <= Now;
      if (now)
        due.push_back(it);
      return now;
    });
    for (const Letter &it : due)
      deliver(it);
  }

  void runEngineCalls() {
    std::vector<EngineCall> due;
    std::erase_if(Calls, [&](const EngineCall &it) {
      if (it.At <= Now)
        due.push_back(it);
      return it.At <= Now;
    });
    for (const EngineCall &it : due) {
      FakeEngine &engine = Engines[it.On];
      EngineMap before = engine.Map;
      if (it.Order)
        obey(engine, *it.Order);
      bool refused = it.Order && engine.Map == before;
      Process &process = Processes[it.On];
      if (process.State.Process == it.Process &&
          !(faulty() && chance(Faults.LostRead)))
        perform(it.On, decideRank(process.State,
                                  EngineRead{engine.Map, refused}, time()));
    }
  }

  // An engine enters a step once all have finished the one before it.
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
      takeLease();
    if (Now == FaultsUntilMs - 1)
      takeLease();
  }

  void run() {
    for (; Now < EndMs; ++Now) {
      if (faulty())
        injectFaults();
      deliverDue();
      runEngineCalls();
      runSteps();
      if (Now % 5 == 0)
        tickAll();
    }
  }

  // Steps in which ranks used different maps.
  int mixedSteps() const {
    std::map<std::uint64_t, std::uint64_t> maps;
    int mixed = 0;
    for (const FakeEngine &engine : Engines)
      for (auto [step, map] : engine.Executed)
        mixed += maps.emplace(step, map).first->second != map ? 1 : 0;
    return mixed;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(MapSwitch)

BOOST_AUTO_TEST_CASE(schedules_withFaults_useOneMapAndGoOn) {
  for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
    World world(seed);
    world.run();
    BOOST_TEST_CONTEXT("seed " << seed) {
      BOOST_TEST(world.mixedSteps() == 0);
      // After the faults end, steps and switches go on.
      std::uint64_t last = world.Engines[0].Executed.rbegin()->first;
      int quietSteps = 0;
      for (auto [step, map] : world.Engines[0].Executed)
        quietSteps += step > last - 100 ? 1 : 0;
      BOOST_TEST(last > 200U);
      BOOST_TEST(quietSteps == 100);
      BOOST_TEST(world.Released > 20);
    }
  }
}

namespace {

constexpr Ballot First{{1}, 0, Rank{1}, {5}};
constexpr SteadyTime Zero{};

// A rank whose engine is in step 5 with map 1 and has map 2 at a stage.
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

BOOST_AUTO_TEST_CASE(restartedRank_orderToItsPredecessor_isRefused) {
  RankState state = rankWith(MapStage::Armed);
  MapOrder release = orderOf(OrderKind::Decide, {2}, Decision::Release);
  release.Process = {6};
  BOOST_TEST(!*accepted(decideRank(state, OrderCame{release}, Zero)));
  // Not even after a delayed Ask under the same ballot.
  MapOrder ask = orderOf(OrderKind::Ask, {}, Decision::Cancel);
  BOOST_TEST(*accepted(decideRank(state, OrderCame{ask}, Zero)));
  auto actions = decideRank(state, OrderCame{release}, Zero);
  BOOST_TEST(!*accepted(actions));
  BOOST_TEST(!ordersEngine(actions));
}

BOOST_AUTO_TEST_CASE(cancelledMap_delayedPrepareAndArm_areRefused) {
  RankState state = rankWith(MapStage::Armed);
  decideRank(state, OrderCame{orderOf(OrderKind::Ask, {}, {})}, Zero);
  decideRank(state, OrderCame{orderOf(OrderKind::Decide, {2}, {})}, Zero);
  EngineMap cancelled{{1}, {2}, MapStage::None, {9}, {5}};
  decideRank(state, EngineRead{cancelled, false}, Zero);
  for (OrderKind kind : {OrderKind::Prepare, OrderKind::Arm}) {
    auto actions = decideRank(state, OrderCame{orderOf(kind, {2}, {})}, Zero);
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

BOOST_AUTO_TEST_CASE(driver_afterItsLease_givesNoOrder) {
  DriverState state =
      makeDriver(First, RankCount, Zero + milliseconds(10), {}, Zero);
  BOOST_TEST(!decideDriver(state, DriverTick{}, Zero).empty());
  auto late = Zero + milliseconds(40);
  BOOST_TEST(decideDriver(state, DriverTick{}, late).empty());
}

BOOST_AUTO_TEST_CASE(driver_silentRank_tellsGroupFailureOnce) {
  DriverState state = makeDriver(First, RankCount, SteadyTime::max(), {}, Zero);
  auto late = Zero + DriverLimits{}.SilentAfter;
  int told = 0;
  for (int i = 0; i < 3; ++i)
    for (const DriverAction &it :
         decideDriver(state, DriverTick{}, late + milliseconds(i)))
      told += std::holds_alternative<GroupFailed>(it) ? 1 : 0;
  BOOST_TEST(told == 1);
}

BOOST_AUTO_TEST_SUITE_END()
