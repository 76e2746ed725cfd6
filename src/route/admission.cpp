#include "greengagespar/route/admission.h"

#include <algorithm>
#include <cmath>

namespace greengagespar {

namespace {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

constexpr milliseconds MinRetryAfter{50};
constexpr milliseconds MaxRetryDelay{30000};
constexpr Seconds StartRateWindow{2.0};

// Service time assumed until calls have been timed.
constexpr double AssumedServiceMs = 100;

// Quantiles of the service time of similar calls. A call that has to wait is
// accepted only if most similar calls (cautious) would meet its deadline. With
// a free slot, it is accepted if the quick ones would.
constexpr double CautiousQuantile = 0.9;
constexpr double TypicalQuantile = 0.5;
constexpr double QuickQuantile = 0.1;

// Factor by which the weight of older arrivals decays at each new arrival, and
// the share of arrivals below which a deadline class counts as rare.
constexpr double ArrivalKeep = 0.99;
constexpr double RareShare = 0.05;

// Least part of the starts that counts as left to a level of urgency, so that
// the estimated wait of the least urgent calls stays bounded.
constexpr double MinShareLeft = 0.05;

// Waiting calls without a server that placeNext() skips before it stops.
constexpr std::size_t MaxSkippedCalls = 16;

// A call's time until its deadline and the estimated times that it needs.
struct TimeBudget {
  Clock::duration Left;
  Clock::duration Wait;
  Clock::duration Needed;
};

Clock::duration toDuration(Seconds time) {
  return std::chrono::duration_cast<Clock::duration>(time);
}

double meanServiceMs(const Admission &admission) {
  return admission.Times.Samples > 0 ? admission.Times.MeanMs
                                     : AssumedServiceMs;
}

bool isActive(const Lane &lane) {
  return lane.Running > 0 || waitingOf(lane) > 0;
}

// Returns the sum of the weights of all workspaces that share the starts and of
// `workspace`.
double activeWeight(const Admission &admission, const Workspace &workspace) {
  double sum = workspace.Weight;
  for (const auto &[id, lane] : admission.Queue.Lanes) {
    bool isCounted = admission.Options.OnlyWaitingShare ? waitingOf(lane) > 0
                                                        : isActive(lane);
    if (id != workspace.Id && isCounted)
      sum += lane.Weight;
  }
  return sum;
}

double startsPerSecond(const Admission &admission, const WorkspaceId &workspace,
                       Clock::time_point now) {
  auto it = admission.StatsByWorkspace.find(workspace);
  if (it == admission.StatsByWorkspace.end())
    return 0;
  Seconds since = now - it->second.StartRateUpdatedAt;
  return it->second.StartsPerSecond * std::exp(-since / StartRateWindow);
}

double fairShare(const Admission &admission, const Workspace &workspace) {
  return workspace.Weight / activeWeight(admission, workspace);
}

// Returns how many calls of all workspaces start per second while calls wait.
double totalRate(const Admission &admission, const Capacity &capacity) {
  return std::min(capacity.StartsPerSecond, std::max(1, capacity.Limit) *
                                                1000.0 /
                                                meanServiceMs(admission));
}

// Returns how many calls of one workspace start per second while its calls
// wait.
double laneRate(const Admission &admission, const Workspace &workspace,
                const Capacity &capacity, Clock::time_point now) {
  double costMs =
      chargeOf(admission.Queue, workspace.Id, meanServiceMs(admission));
  double fair = fairShare(admission, workspace) *
                std::min(capacity.StartsPerSecond,
                         std::max(1, capacity.Limit) * 1000.0 / costMs);
  return std::max(fair, startsPerSecond(admission, workspace.Id, now));
}

// Returns the number of waiting calls of \p workspace that come before a new
// one of \p urgency.
std::size_t waitingBefore(const CallQueue &queue, const WorkspaceId &workspace,
                          Urgency urgency) {
  auto it = queue.Lanes.find(workspace);
  return it == queue.Lanes.end() ? 0 : waitingOf(it->second, urgency);
}

std::size_t waitingIn(const CallQueue &queue, const WorkspaceId &workspace) {
  auto it = queue.Lanes.find(workspace);
  return it == queue.Lanes.end() ? 0 : waitingOf(it->second);
}

int runningOf(const CallQueue &queue, const WorkspaceId &workspace) {
  auto it = queue.Lanes.find(workspace);
  return it == queue.Lanes.end() ? 0 : it->second.Running;
}

// Returns how long a workspace's next call has waited, not counting resumed
// long calls. Zero when it is less urgent than \p urgency: its wait says
// nothing about that of more urgent calls.
Clock::duration waitedSoFar(const CallQueue &queue,
                            const WorkspaceId &workspace, Urgency urgency,
                            Clock::time_point now) {
  auto it = queue.Lanes.find(workspace);
  if (it == queue.Lanes.end() || it->second.Regular.empty() ||
      it->second.Regular.begin()->CallUrgency > urgency)
    return Clock::duration::zero();
  return now - queue.Calls.at(it->second.Regular.begin()->Id).EnqueuedAt;
}

bool hasFreeSlot(const Admission &admission, const Capacity &capacity) {
  auto waiting = static_cast<int>(admission.Queue.Calls.size());
  return capacity.InFlight + waiting < capacity.Limit;
}

// Returns a retry time that spaces the retries of refused calls at the rate at
// which the calls could start. Callers that respect it don't all retry at the
// same time.
milliseconds spacedRetry(Admission &admission, const Workspace &workspace,
                         Clock::duration earliest, const Capacity &capacity,
                         Clock::time_point now) {
  LaneStats &stats = admission.StatsByWorkspace[workspace.Id];
  double rate = laneRate(admission, workspace, capacity, now);
  Clock::time_point at = std::max(now + earliest, stats.NextRetry);
  at = std::min(at, now + MaxRetryDelay);
  stats.NextRetry = at + toDuration(Seconds(1.0 / rate));
  return boundRetryAfter(at - now);
}

Clock::duration neededService(const Admission &admission,
                              const ArrivingCall &call, Clock::duration left,
                              double quantile) {
  return call.ExpectedService.value_or(
      expectedService(admission.Times, left, quantile));
}

TimeBudget timeBudgetOf(const Admission &admission, const ArrivingCall &call,
                        const Workspace &workspace, const Capacity &capacity,
                        Clock::time_point now) {
  Clock::duration left = call.AnswerDeadline.At - now;
  Clock::duration wait =
      estimateWait(admission, workspace, capacity, now, call.CallUrgency);
  bool waits = wait > Clock::duration::zero();
  double quantile = waits ? CautiousQuantile : QuickQuantile;
  return {left, wait, neededService(admission, call, left, quantile)};
}

void recordArrival(LaneStats &stats, Clock::duration left) {
  for (DeadlineArrivals &it : stats.Arrivals) {
    it.Count *= ArrivalKeep;
    it.Seconds *= ArrivalKeep;
  }
  DeadlineArrivals &arrivals = stats.Arrivals[deadlineClass(left)];
  arrivals.Count += 1;
  arrivals.Seconds += Seconds(left).count();
}

// Returns the mean deadline of the shortest deadline class that isn't rare
// among the calls of a workspace.
Seconds shortestCommonDeadline(const LaneStats &stats) {
  double count = 0;
  for (const DeadlineArrivals &it : stats.Arrivals)
    count += it.Count;
  for (const DeadlineArrivals &it : stats.Arrivals)
    if (it.Count > 0 && it.Count >= RareShare * count)
      return Seconds(it.Seconds / it.Count);
  return MaxRetryDelay;
}

// Returns the longest wait that is allowed for a call, so that it still meets
// its deadline. A negative value means that even without a wait it would not.
Clock::duration longestWait(const Admission &admission, const LaneStats &stats,
                            const TimeBudget &budget) {
  const AdmissionOptions &options = admission.Options;
  Clock::duration wait = budget.Left - budget.Needed;
  wait =
      std::min(wait, toDuration(options.MaxWaitShare * Seconds(budget.Left)));
  wait = std::min(
      wait, toDuration(options.MaxQueueShare * shortestCommonDeadline(stats)));
  if (options.MaxWait > milliseconds::zero())
    wait = std::min<Clock::duration>(wait, options.MaxWait);
  return wait;
}

std::optional<Refusal> checkDeadline(Admission &admission,
                                     const ArrivingCall &call,
                                     const Workspace &workspace,
                                     const Capacity &capacity,
                                     Clock::time_point now) {
  TimeBudget budget = timeBudgetOf(admission, call, workspace, capacity, now);
  if (budget.Left <= Clock::duration::zero())
    return Refusal{ErrorKind::DeadlineTooShort};
  LaneStats &stats = admission.StatsByWorkspace[workspace.Id];
  recordArrival(stats, budget.Left);
  Clock::duration longest = longestWait(admission, stats, budget);
  if (longest < Clock::duration::zero())
    return Refusal{ErrorKind::DeadlineTooShort};
  Clock::duration wait =
      toDuration(admission.Options.WaitSafety * Seconds(budget.Wait));
  if (wait <= longest)
    return std::nullopt;
  return Refusal{
      ErrorKind::Overloaded,
      spacedRetry(admission, workspace, wait - longest, capacity, now)};
}

// Returns the refusal of a call that was removed from the queue unstarted.
RefusedCall refuseQueued(Admission &admission, const QueuedCall &call,
                         const Capacity &capacity, Clock::time_point now) {
  Workspace workspace;
  workspace.Id = call.Workspace;
  workspace.Weight = admission.Queue.Lanes[call.Workspace].Weight;
  Clock::duration wait =
      estimateWait(admission, workspace, capacity, now, call.CallUrgency);
  milliseconds retry = spacedRetry(admission, workspace, wait, capacity, now);
  return {call, {ErrorKind::Overloaded, retry}};
}

bool isOverBounds(const Admission &admission, std::size_t bytes) {
  const AdmissionOptions &options = admission.Options;
  return admission.Queue.Calls.size() >= options.MaxCalls ||
         admission.Queue.Bytes + bytes > options.MaxBytes;
}

double waitingPerWeightWithOneMore(const CallQueue &queue,
                                   const Workspace &workspace) {
  auto calls = static_cast<double>(waitingIn(queue, workspace.Id) + 1);
  return calls / workspace.Weight;
}

// Makes room for a call by evicting calls from lanes that have more waiting
// calls relative to their weight. Returns false when the call's own lane has
// the most.
bool makeRoom(Admission &admission, const ArrivingCall &call,
              const Workspace &workspace, const Capacity &capacity,
              Clock::time_point now, AdmissionDecision &decision) {
  CallQueue &queue = admission.Queue;
  while (isOverBounds(admission, call.Bytes)) {
    const QueuedCall *candidate = findEvictionCandidate(queue);
    if (!candidate || candidate->Workspace == workspace.Id)
      return false;
    const Lane &lane = queue.Lanes[candidate->Workspace];
    double perWeight = static_cast<double>(waitingOf(lane)) / lane.Weight;
    if (perWeight <= waitingPerWeightWithOneMore(queue, workspace))
      return false;
    QueuedCall evicted = *remove(queue, candidate->Id);
    decision.Evicted.push_back(refuseQueued(admission, evicted, capacity, now));
  }
  return true;
}

void enqueue(Admission &admission, const ArrivingCall &call,
             const Workspace &workspace, Clock::time_point now) {
  Clock::duration left = call.AnswerDeadline.At - now;
  Clock::duration needed =
      neededService(admission, call, left, TypicalQuantile);
  QueuedCall queued;
  queued.Id = call.Id;
  queued.Workspace = call.Workspace;
  queued.EnqueuedAt = now;
  queued.AnswerDeadline = call.AnswerDeadline;
  queued.LatestStart = std::max(now, call.AnswerDeadline.At - needed);
  queued.Bytes = call.Bytes;
  queued.Length = call.Length;
  queued.CallUrgency = call.CallUrgency;
  push(admission.Queue, queued, workspace.Weight);
}

AdmissionDecision refuse(const Refusal &why) { return {why, {}}; }

} // namespace

Clock::duration estimateWait(const Admission &admission,
                             const Workspace &workspace,
                             const Capacity &capacity, Clock::time_point now,
                             Urgency urgency) {
  if (hasFreeSlot(admission, capacity))
    return Clock::duration::zero();
  const CallQueue &queue = admission.Queue;
  double left = std::max(MinShareLeft, shareLeftFor(queue.Urgencies, urgency));
  auto calls =
      static_cast<double>(waitingBefore(queue, workspace.Id, urgency) + 1);
  double fairSlots = fairShare(admission, workspace) * capacity.Limit;
  double under = std::max(0.0, fairSlots - runningOf(queue, workspace.Id));
  double first = std::min(calls, under);
  double rest = calls - first;
  Clock::duration wait =
      toDuration(Seconds(first / totalRate(admission, capacity) +
                         rest / laneRate(admission, workspace, capacity, now)) /
                 left);
  return std::max(wait, waitedSoFar(queue, workspace.Id, urgency, now));
}

AdmissionDecision offer(Admission &admission, const ArrivingCall &call,
                        const Workspace &workspace, const Capacity &capacity,
                        Clock::time_point now) {
  recordArrival(admission.Queue.Urgencies, call.CallUrgency);
  if (capacity.Servers == 0)
    return refuse(
        {ErrorKind::NoEndpoint, answerRow(ErrorKind::NoEndpoint).RetryAfter});
  if (auto why = checkDeadline(admission, call, workspace, capacity, now))
    return refuse(*why);
  AdmissionDecision decision;
  if (!makeRoom(admission, call, workspace, capacity, now, decision)) {
    milliseconds retry =
        spacedRetry(admission, workspace, MinRetryAfter, capacity, now);
    decision.Refused = Refusal{ErrorKind::Overloaded, retry};
    return decision;
  }
  enqueue(admission, call, workspace, now);
  return decision;
}

AdmissionDecision requeue(Admission &admission, const ArrivingCall &call,
                          const Workspace &workspace, const Capacity &capacity,
                          Clock::time_point now) {
  Clock::duration left = call.AnswerDeadline.At - now;
  if (left <= Clock::duration::zero())
    return refuse({ErrorKind::DeadlineTooShort});
  if (capacity.Servers == 0)
    return refuse(
        {ErrorKind::NoEndpoint, answerRow(ErrorKind::NoEndpoint).RetryAfter});
  enqueue(admission, call, workspace, now);
  return {};
}

const QueuedCall *nextCall(const Admission &admission, Clock::time_point now,
                           bool allowLong) {
  return peekNext(admission.Queue, now, allowLong);
}

std::optional<StartedCall> start(Admission &admission, CallId id,
                                 Clock::time_point now) {
  auto waiting = admission.Queue.Calls.find(id);
  if (waiting == admission.Queue.Calls.end())
    return std::nullopt;
  WorkspaceId workspace = waiting->second.Workspace;
  LaneStats &stats = admission.StatsByWorkspace[workspace];
  stats.StartsPerSecond = startsPerSecond(admission, workspace, now) +
                          1.0 / StartRateWindow.count();
  stats.StartRateUpdatedAt = now;
  return StartedCall{*dequeue(admission.Queue, id, meanServiceMs(admission)),
                     now};
}

std::optional<PlacedCall> placeNext(Admission &admission,
                                    const ServerChooser &choose, bool allowLong,
                                    Clock::time_point now) {
  SkippedCalls skipped;
  while (skipped.size() < MaxSkippedCalls) {
    const QueuedCall *call = peekNext(admission.Queue, now, allowLong, skipped);
    if (!call)
      return std::nullopt;
    CallId id = call->Id;
    if (auto server = choose(*call))
      return PlacedCall{*start(admission, id, now), *server};
    skipped.insert(id);
  }
  return std::nullopt;
}

void finish(Admission &admission, const StartedCall &call, bool completed,
            Clock::time_point now) {
  Clock::duration took = now - call.StartedAt;
  double ms = std::chrono::duration<double, std::milli>(took).count();
  releaseSlot(admission.Queue, call.Call.Workspace, ms);
  if (completed)
    recordServiceTime(admission.Times,
                      call.Call.AnswerDeadline.At - call.Call.EnqueuedAt, took);
}

std::vector<RefusedCall> expire(Admission &admission, const Capacity &capacity,
                                Clock::time_point now) {
  std::vector<RefusedCall> refused;
  for (const QueuedCall &it : removeExpired(admission.Queue, now))
    refused.push_back(refuseQueued(admission, it, capacity, now));
  return refused;
}

} // namespace greengagespar
