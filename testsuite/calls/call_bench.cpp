#include "call_bench.h"

#include <algorithm>
#include <event2/event.h>

namespace greengagespar::harness {

namespace {

using load::CallKind;
using load::CallOutcome;
using load::CallSpec;
using load::Verdict;
using std::chrono::milliseconds;

// The pause of a caller between two tries.
constexpr timeval RetryPause{0, 50000};

// The time that callers may still take after the last arrival.
constexpr milliseconds TailTimeout{15000};

struct Caller {
  CallSpec Call;
  load::Clock::time_point StartedAt;
  int Tries = 0;
  bool MayHaveRun = false; ///< A try ended other than with "not run".
  std::size_t Entry = 0;
};

class Bench {
public:
  Bench(Cluster &cluster, const BenchPlan &plan)
      : System(cluster), Plan(plan), Calls(loadPlan(plan)), Source(Calls),
        Random(plan.Seed) {
    for (const std::string &it : cluster.processesOf("greengagespar-entry"))
      Clients.push_back(std::make_unique<load::HttpClient>(
          Events.base(), cluster.address(it)));
  }

  BenchReport run() {
    StartedAt = load::Clock::now();
    NextArrival = StartedAt;
    // Checks every millisecond which arrivals and faults are due.
    event *ticker = event_new(
        Events.base(), -1, EV_PERSIST,
        [](int, short, void *self) { static_cast<Bench *>(self)->tick(); },
        this);
    timeval every{0, 1000};
    event_add(ticker, &every);
    Events.runUntil([this] { return isOver(); }, Plan.Duration + TailTimeout);
    event_free(ticker);
    checkBookings();
    return Report;
  }

private:
  static load::LoadPlan loadPlan(const BenchPlan &plan) {
    load::LoadPlan out;
    out.Calls = plan.Calls;
    out.Seed = plan.Seed;
    out.RunId = "bench-" + std::to_string(plan.Seed);
    out.Deadline = milliseconds(3000);
    return out;
  }

  bool isOver() const {
    return load::Clock::now() - StartedAt > Plan.Duration && Open == 0 &&
           NextFault == Plan.Faults.size();
  }

  void tick() {
    auto now = load::Clock::now();
    while (NextFault < Plan.Faults.size() &&
           StartedAt + Plan.Faults[NextFault].At <= now)
      Plan.Faults[NextFault++].Apply(System);
    while (NextArrival <= now && NextArrival - StartedAt < Plan.Duration) {
      arrive();
      NextArrival += Source.nextGap(Plan.CallsPerSecond);
    }
  }

  void arrive() {
    auto caller = std::make_shared<Caller>();
    caller->Call = Source.next();
    caller->StartedAt = load::Clock::now();
    caller->Entry = Random() % Clients.size();
    ++Report.Calls;
    Report.Bookings += caller->Call.Kind == CallKind::Booking ? 1 : 0;
    ++Open;
    attempt(caller);
  }

  void attempt(const std::shared_ptr<Caller> &caller) {
    ++caller->Tries;
    load::sendCall(*Clients[caller->Entry], caller->Call,
                   load::CallTarget::Entry, load::Clock::now(),
                   [this, caller](const CallOutcome &it) { end(caller, it); });
  }

  void end(const std::shared_ptr<Caller> &caller, const CallOutcome &outcome) {
    if (caller->Tries == 1 && outcome.Result != Verdict::Ok)
      ++Report.FirstErrors[outcome.ErrorKind];
    if (outcome.Result == Verdict::Ok || outcome.Result == Verdict::Wrong)
      return finish(*caller, outcome);
    if (outcome.Result != Verdict::Refused)
      caller->MayHaveRun = true;
    auto spent = load::Clock::now() - caller->StartedAt;
    if (spent > Plan.CallerTimeout || caller->Tries >= Plan.MaxTries)
      return finish(*caller, outcome);
    caller->Entry = (caller->Entry + 1) % Clients.size();
    retryLater(caller);
  }

  void retryLater(const std::shared_ptr<Caller> &caller) {
    struct Retry {
      Bench *Self;
      std::shared_ptr<Caller> RetriedCaller;
    };
    event_base_once(
        Events.base(), -1, EV_TIMEOUT,
        [](int, short, void *arg) {
          std::unique_ptr<Retry> it(static_cast<Retry *>(arg));
          it->Self->attempt(it->RetriedCaller);
        },
        new Retry{this, caller}, &RetryPause);
  }

  void finish(const Caller &caller, const CallOutcome &outcome) {
    --Open;
    bool isBooking = caller.Call.Kind == CallKind::Booking;
    if (outcome.Result == Verdict::Ok) {
      ++Report.Answered;
      Report.Times.push_back(load::Clock::now() - caller.StartedAt);
    } else {
      ++Report.LastErrors[outcome.ErrorKind];
      Report.WrongAnswers += outcome.Result == Verdict::Wrong ? 1 : 0;
      ++(!isBooking          ? Report.NotAnswered
         : caller.MayHaveRun ? Report.UnknownBookings
                             : Report.RefusedBookings);
    }
    if (!isBooking)
      return;
    if (outcome.Result == Verdict::Ok)
      AnsweredOrders.push_back(caller.Call.Order);
    else if (!caller.MayHaveRun)
      NotRunOrders.push_back(caller.Call.Order);
  }

  void checkBookings() {
    std::map<std::string, int> counts = System.bookings();
    for (const auto &[order, n] : counts)
      Report.Doubled += n > 1 ? 1 : 0;
    for (const std::string &it : NotRunOrders)
      Report.FalseNotRun += counts.contains(it) ? 1 : 0;
    for (const std::string &it : AnsweredOrders)
      Report.FalseAnswered += counts.contains(it) ? 0 : 1;
  }

  Cluster &System;
  BenchPlan Plan;
  load::LoadPlan Calls;
  load::CallSource Source;
  std::mt19937_64 Random;
  Loop Events;
  std::vector<std::unique_ptr<load::HttpClient>> Clients;
  load::Clock::time_point StartedAt;
  load::Clock::time_point NextArrival;
  std::size_t NextFault = 0;
  std::size_t Open = 0;
  std::vector<std::string> NotRunOrders;
  std::vector<std::string> AnsweredOrders;
  BenchReport Report;
};

} // namespace

BenchReport runBench(Cluster &cluster, const BenchPlan &plan) {
  return Bench(cluster, plan).run();
}

std::vector<FaultStep> killsAndRestarts(const std::vector<std::string> &names,
                                        milliseconds duration,
                                        milliseconds every,
                                        milliseconds downtime,
                                        std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::vector<FaultStep> steps;
  for (milliseconds at = every; at + downtime < duration; at += every) {
    const std::string &name = names[random() % names.size()];
    steps.push_back({at, [name](Cluster &it) { it.kill(name); }});
    steps.push_back({at + downtime, [name](Cluster &it) { it.start(name); }});
  }
  std::ranges::stable_sort(steps, {}, &FaultStep::At);
  return steps;
}

} // namespace greengagespar::harness
