#include "greengagespar/load/run.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <random>
#include <utility>

namespace greengagespar::load {

namespace {

namespace json = boost::json;
using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// Longest wait for outstanding answers after the last call's deadline.
constexpr milliseconds LastAnswerMargin{3000};
constexpr timeval TickInterval{1, 0};

double toMs(Clock::duration t) {
  return std::chrono::duration<double, std::milli>(t).count();
}

double atRank(const std::vector<Clock::duration> &sorted, double share) {
  auto n = static_cast<double>(sorted.size());
  auto rank = static_cast<std::size_t>(std::ceil(share * n));
  return toMs(sorted[std::max<std::size_t>(rank, 1) - 1]);
}

timeval toTimeval(Clock::duration t) {
  constexpr std::int64_t million = 1000000;
  auto us = std::max<std::int64_t>(0, duration_cast<microseconds>(t).count());
  return {static_cast<time_t>(us / million),
          static_cast<suseconds_t>(us % million)};
}

json::object percentilesJson(const Percentiles &p) {
  return {{"p50", p.P50}, {"p95", p.P95}, {"p99", p.P99}};
}

void countOutcome(LoadReport &report, const CallOutcome &outcome) {
  switch (outcome.Result) {
  case Verdict::Ok:
    ++report.Ok;
    report.AnswerTimes.push_back(outcome.TotalTime);
    if (outcome.FirstToken)
      report.FirstTokens.push_back(*outcome.FirstToken);
    return;
  case Verdict::Wrong:
    ++report.Wrong;
    return;
  case Verdict::Refused:
    ++report.Refused[outcome.ErrorKind];
    return;
  case Verdict::Truncated:
    ++report.Truncated;
    break;
  case Verdict::Unknown:
    ++report.Unknown;
    break;
  }
  ++report.Failed[outcome.ErrorKind];
}

// A run in progress.
class Runner {
public:
  Runner(const LoadPlan &plan, const OnOutcome &onOutcome,
         const std::function<void(const LoadReport &)> &onTick);
  ~Runner();
  Runner(const Runner &) = delete;
  Runner &operator=(const Runner &) = delete;
  LoadReport run();

private:
  void sendScheduled();
  void sendOne(Clock::time_point scheduledAt);
  bool advancePhase();
  void scheduleArrival();
  void endWhenIdle();

  const LoadPlan &Plan;
  const OnOutcome &OutcomeCallback;
  const std::function<void(const LoadReport &)> &TickCallback;
  CallSource Source;
  LoadReport Report;
  event_base *Base = nullptr;
  event *Arrival = nullptr;
  event *Ticker = nullptr;
  std::vector<std::unique_ptr<HttpClient>> Clients;
  std::size_t NextClient = 0;
  std::size_t InFlight = 0;
  std::size_t PhaseIndex = 0;
  bool Arriving = true;
  Clock::time_point Begin;
  Clock::time_point PhaseEnd;
  Clock::time_point NextArrival;
};

Runner::Runner(const LoadPlan &plan, const OnOutcome &onOutcome,
               const std::function<void(const LoadReport &)> &onTick)
    : Plan(plan), OutcomeCallback(onOutcome), TickCallback(onTick),
      Source(plan) {
  event_config *config = event_config_new();
  event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
  Base = event_base_new_with_config(config);
  event_config_free(config);
  Arrival = evtimer_new(
      Base,
      [](evutil_socket_t, short, void *arg) {
        static_cast<Runner *>(arg)->sendScheduled();
      },
      this);
  Ticker = event_new(
      Base, -1, EV_PERSIST,
      [](evutil_socket_t, short, void *arg) {
        auto &self = *static_cast<Runner *>(arg);
        if (self.TickCallback)
          self.TickCallback(self.Report);
      },
      this);
  for (const Address &it : plan.Targets)
    Clients.push_back(std::make_unique<HttpClient>(Base, it));
}

Runner::~Runner() {
  Clients.clear();
  event_free(Arrival);
  event_free(Ticker);
  event_base_free(Base);
}

LoadReport Runner::run() {
  if (Clients.empty() || Plan.Phases.empty())
    return {};
  Begin = Clock::now();
  PhaseEnd = Begin + Plan.Phases[0].Duration;
  NextArrival = Begin + Source.nextGap(Plan.Phases[0].CallsPerSecond);
  scheduleArrival();
  event_add(Ticker, &TickInterval);
  event_base_dispatch(Base);
  // Calls that have received neither an answer nor an error when the run ends.
  Report.Unknown += InFlight;
  return std::move(Report);
}

// Advances to the phase that contains the next arrival. Returns false after the
// last phase.
bool Runner::advancePhase() {
  while (NextArrival >= PhaseEnd) {
    if (++PhaseIndex >= Plan.Phases.size())
      return false;
    const Phase &phase = Plan.Phases[PhaseIndex];
    NextArrival = PhaseEnd + Source.nextGap(phase.CallsPerSecond);
    PhaseEnd += phase.Duration;
  }
  return true;
}

void Runner::scheduleArrival() {
  timeval tv = toTimeval(NextArrival - Clock::now());
  evtimer_add(Arrival, &tv);
}

void Runner::sendScheduled() {
  if (!Arriving) {
    event_base_loopbreak(Base);
    return;
  }
  auto now = Clock::now();
  while (NextArrival <= now) {
    if (!advancePhase()) {
      Arriving = false;
      Report.Duration = duration_cast<milliseconds>(PhaseEnd - Begin);
      timeval last = toTimeval(Plan.Deadline + LastAnswerMargin);
      evtimer_add(Arrival, &last);
      return endWhenIdle();
    }
    if (NextArrival > now)
      break;
    sendOne(NextArrival);
    NextArrival += Source.nextGap(Plan.Phases[PhaseIndex].CallsPerSecond);
  }
  scheduleArrival();
}

void Runner::sendOne(Clock::time_point scheduledAt) {
  CallSpec call = Source.next();
  if (InFlight >= Plan.MaxInFlight) {
    ++Report.NotSent;
    return;
  }
  ++Report.Sent;
  ++InFlight;
  HttpClient &client = *Clients[NextClient++ % Clients.size()];
  sendCall(client, call, Plan.TargetKind, scheduledAt,
           [this, call](const CallOutcome &outcome) {
             --InFlight;
             countOutcome(Report, outcome);
             if (OutcomeCallback)
               OutcomeCallback(call, outcome);
             endWhenIdle();
           });
}

void Runner::endWhenIdle() {
  if (!Arriving && InFlight == 0)
    event_base_loopbreak(Base);
}

} // namespace

struct CallSource::Impl {
  const LoadPlan &Plan;
  std::mt19937_64 Random;
  std::uint64_t Count = 0;
  std::string LastOrder = "none";

  double share() {
    return std::uniform_real_distribution<double>(0, 1)(Random);
  }

  CallKind pickKind() {
    const Mix &mix = Plan.Calls;
    double at = share() * (mix.Drafts + mix.Bookings + mix.Status);
    if (at < mix.Drafts)
      return CallKind::Draft;
    return at < mix.Drafts + mix.Bookings ? CallKind::Booking
                                          : CallKind::Status;
  }

  std::uint64_t pickTokens() {
    const Mix &mix = Plan.Calls;
    if (share() < mix.LongRunning)
      return mix.LongRunningTokens;
    return std::uniform_int_distribution<std::uint64_t>(mix.ShortTokens,
                                                        mix.LongTokens)(Random);
  }
};

CallSource::CallSource(const LoadPlan &plan)
    : Self(std::make_unique<Impl>(
          Impl{plan, std::mt19937_64(plan.Seed), 0, "none"})) {}

CallSource::~CallSource() = default;

CallSpec CallSource::next() {
  const LoadPlan &plan = Self->Plan;
  std::uint64_t n = ++Self->Count;
  CallSpec call;
  call.Kind = Self->pickKind();
  call.Workspace = plan.Workspaces[n % plan.Workspaces.size()];
  call.Model = plan.Model;
  call.Service = plan.Service;
  call.Deadline = plan.Deadline;
  call.Id = plan.RunId + "-" + std::to_string(n);
  if (call.Kind == CallKind::Draft) {
    std::uint64_t tokens = Self->pickTokens();
    call.MaxTokens = tokens;
    call.Prompt = "quote " + call.Id + " len=" + std::to_string(tokens);
    call.Stream = Self->share() < plan.Calls.Streamed;
  } else if (call.Kind == CallKind::Booking) {
    call.Order = Self->LastOrder = "order-" + call.Id;
  } else {
    call.Order = Self->LastOrder;
  }
  return call;
}

Clock::duration CallSource::nextGap(double callsPerSecond) {
  std::exponential_distribution<double> gaps(callsPerSecond);
  return duration_cast<Clock::duration>(
      std::chrono::duration<double>(gaps(Self->Random)));
}

Percentiles percentilesOf(std::vector<Clock::duration> &times) {
  if (times.empty())
    return {};
  std::sort(times.begin(), times.end());
  return {atRank(times, 0.50), atRank(times, 0.95), atRank(times, 0.99)};
}

LoadReport runLoad(const LoadPlan &plan, const OnOutcome &onOutcome,
                   const std::function<void(const LoadReport &)> &onTick) {
  return Runner(plan, onOutcome, onTick).run();
}

json::object reportJson(LoadReport &report) {
  json::object refused;
  for (const auto &[kind, n] : report.Refused)
    refused[kind] = n;
  json::object failed;
  for (const auto &[kind, n] : report.Failed)
    failed[kind] = n;
  std::chrono::duration<double> seconds = report.Duration;
  double rate = seconds.count() > 0
                    ? static_cast<double>(report.Ok) / seconds.count()
                    : 0;
  return {
      {"sent", report.Sent},
      {"not_sent", report.NotSent},
      {"ok", report.Ok},
      {"wrong", report.Wrong},
      {"refused", std::move(refused)},
      {"truncated", report.Truncated},
      {"unknown", report.Unknown},
      {"failed", std::move(failed)},
      {"ok_per_s", rate},
      {"first_token_ms", percentilesJson(percentilesOf(report.FirstTokens))},
      {"answer_ms", percentilesJson(percentilesOf(report.AnswerTimes))}};
}

} // namespace greengagespar::load
