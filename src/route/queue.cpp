#include "greengagespar/route/queue.h"

#include "greengagespar/route/priority.h"
#include "greengagespar/route/service_time.h"
#include <algorithm>
#include <array>
#include <chrono>

namespace greengagespar {

namespace {

using std::chrono::milliseconds;

// Longest time from a call's arrival to its start deadline, by length class.
constexpr std::array<milliseconds, LengthClassCount> StartWithin = {
    milliseconds{2000}, milliseconds{2500}, milliseconds{MaxParkTime},
    milliseconds{MaxParkTime}};

constexpr double MinCostMs = 1.0;
constexpr double CostWeight = 0.02;

bool isLongCall(const QueuedCall &call) { return isLong(call.Length); }

std::set<detail::QueueKey> &indexOf(Lane &lane, const QueuedCall &call) {
  return isLongCall(call) ? lane.Long : lane.Regular;
}

// Returns the position of a call in the index of its lane.
detail::QueueKey keyOf(const QueuedCall &call) {
  return {call.CallUrgency, startDeadline(call), call.Id};
}

// Removes a waiting call from the queue and from every index.
QueuedCall extract(CallQueue &queue, CallId id) {
  auto it = queue.Calls.find(id);
  QueuedCall call = it->second;
  queue.Calls.erase(it);
  Lane &lane = queue.Lanes[call.Workspace];
  indexOf(lane, call).erase(keyOf(call));
  queue.ByLatestStart.erase({{}, call.LatestStart, id});
  lane.Bytes -= call.Bytes;
  queue.Bytes -= call.Bytes;
  return call;
}

// What peekNext() looks for.
struct PeekRequest {
  Clock::time_point Now;
  bool AllowLong;
  const SkippedCalls &Skipped;
  std::optional<Urgency> Only; // Empty: calls of each level.
};

// Returns the first call of an index that is wanted, or null.
const detail::QueueKey *firstOf(const std::set<detail::QueueKey> &index,
                                const PeekRequest &request) {
  auto it =
      request.Only ? index.lower_bound({*request.Only, {}, {}}) : index.begin();
  for (; it != index.end(); ++it) {
    if (request.Only && it->CallUrgency != *request.Only)
      return nullptr;
    if (!request.Skipped.contains(it->Id))
      return &*it;
  }
  return nullptr;
}

// Returns the first call of a lane that may start, or null.
const detail::QueueKey *firstOf(const Lane &lane, const PeekRequest &request) {
  const detail::QueueKey *best = firstOf(lane.Regular, request);
  const detail::QueueKey *resumed = firstOf(lane.Long, request);
  if (!resumed || (!request.AllowLong && resumed->At > request.Now))
    return best;
  return !best || *resumed < *best ? resumed : best;
}

// Returns the first wanted call of all lanes, or null: the most urgent one, and
// of several that of the lane with the lowest start tag.
const detail::QueueKey *firstOf(const CallQueue &queue,
                                const PeekRequest &request) {
  const Lane *bestLane = nullptr;
  const detail::QueueKey *best = nullptr;
  for (const auto &[workspace, lane] : queue.Lanes) {
    const detail::QueueKey *first = firstOf(lane, request);
    if (!first)
      continue;
    bool isBetter = !best || first->CallUrgency < best->CallUrgency ||
                    (first->CallUrgency == best->CallUrgency &&
                     lane.StartTag < bestLane->StartTag);
    if (!isBetter)
      continue;
    bestLane = &lane;
    best = first;
  }
  return best;
}

double waitingPerWeight(const Lane &lane) {
  return static_cast<double>(waitingOf(lane)) / lane.Weight;
}

} // namespace

Clock::time_point startDeadline(const QueuedCall &call) {
  auto length = static_cast<std::size_t>(call.Length);
  return std::min(call.LatestStart, call.EnqueuedAt + StartWithin[length]);
}

std::size_t waitingOf(const Lane &lane, Urgency urgency) {
  auto count = [&](const std::set<detail::QueueKey> &index) {
    return std::ranges::count_if(index, [&](const detail::QueueKey &it) {
      return it.CallUrgency <= urgency;
    });
  };
  return static_cast<std::size_t>(count(lane.Regular) + count(lane.Long));
}

void push(CallQueue &queue, const QueuedCall &call, double weight) {
  Lane &lane = queue.Lanes[call.Workspace];
  lane.Weight = weight;
  // A workspace accumulates no credit while it is idle.
  if (waitingOf(lane) == 0)
    lane.StartTag = std::max(lane.StartTag, queue.VirtualTime);
  indexOf(lane, call).insert(keyOf(call));
  queue.ByLatestStart.insert({{}, call.LatestStart, call.Id});
  lane.Bytes += call.Bytes;
  queue.Bytes += call.Bytes;
  queue.Calls.emplace(call.Id, call);
}

const QueuedCall *peekNext(const CallQueue &queue, Clock::time_point now,
                           bool allowLong, const SkippedCalls &skipped) {
  PeekRequest request{now, allowLong, skipped, owedUrgency(queue.Urgencies)};
  const detail::QueueKey *best =
      request.Only ? firstOf(queue, request) : nullptr;
  request.Only.reset();
  if (!best)
    best = firstOf(queue, request);
  return best ? &queue.Calls.at(best->Id) : nullptr;
}

double chargeOf(const CallQueue &queue, const WorkspaceId &workspace,
                double meanCostMs) {
  auto it = queue.Lanes.find(workspace);
  bool known = it != queue.Lanes.end() && it->second.CostSamples > 0;
  return std::max(MinCostMs, known ? it->second.MeanCostMs : meanCostMs);
}

std::optional<QueuedCall> dequeue(CallQueue &queue, CallId id,
                                  double meanCostMs) {
  if (!queue.Calls.contains(id))
    return std::nullopt;
  QueuedCall call = extract(queue, id);
  Lane &lane = queue.Lanes[call.Workspace];
  queue.VirtualTime = std::max(queue.VirtualTime, lane.StartTag);
  lane.StartTag += chargeOf(queue, call.Workspace, meanCostMs) / lane.Weight;
  ++lane.Running;
  recordStart(queue.Urgencies, call.CallUrgency);
  return call;
}

void releaseSlot(CallQueue &queue, const WorkspaceId &workspace,
                 double tookMs) {
  Lane &lane = queue.Lanes[workspace];
  lane.Running = std::max(0, lane.Running - 1);
  updateDecayedMean(lane.MeanCostMs, lane.CostSamples, tookMs, CostWeight);
}

std::optional<QueuedCall> remove(CallQueue &queue, CallId id) {
  if (!queue.Calls.contains(id))
    return std::nullopt;
  return extract(queue, id);
}

std::vector<QueuedCall> removeExpired(CallQueue &queue, Clock::time_point now) {
  std::vector<QueuedCall> expired;
  while (!queue.ByLatestStart.empty() && queue.ByLatestStart.begin()->At < now)
    expired.push_back(extract(queue, queue.ByLatestStart.begin()->Id));
  return expired;
}

std::optional<Clock::time_point> nextExpiry(const CallQueue &queue) {
  if (queue.ByLatestStart.empty())
    return std::nullopt;
  return queue.ByLatestStart.begin()->At;
}

const QueuedCall *findEvictionCandidate(const CallQueue &queue) {
  const Lane *most = nullptr;
  for (const auto &[workspace, lane] : queue.Lanes)
    if (waitingOf(lane) > 0 &&
        (!most || waitingPerWeight(lane) > waitingPerWeight(*most)))
      most = &lane;
  if (!most)
    return nullptr;
  const auto &index = most->Regular.empty() ? most->Long : most->Regular;
  return &queue.Calls.at(index.rbegin()->Id);
}

} // namespace greengagespar
