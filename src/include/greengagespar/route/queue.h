/// \file
/// The queue of calls that wait at an entry for one group or service. It shares
/// slot time between workspaces by weight with start-time fair queueing (Goyal,
/// Vin and Cheng, IEEE/ACM Transactions on Networking 5(5), 1997): each start
/// is charged the mean slot time of its workspace's calls. Within a workspace,
/// the call with the earliest start deadline is first (earliest deadline
/// first). A call's start deadline is fixed when the call arrives, so no call
/// starves. Calls of a more urgent level come before all others, except for a
/// level that is owed a start (urgency.h). Not thread safe.
#ifndef GREENGAGESPAR_ROUTE_QUEUE_H
#define GREENGAGESPAR_ROUTE_QUEUE_H

#include "greengagespar/base/clock.h"
#include "greengagespar/base/ids.h"
#include "greengagespar/route/priority.h"
#include "greengagespar/route/urgency.h"
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace greengagespar {

/// A call that waits for a server.
struct QueuedCall {
  CallId Id;
  WorkspaceId Workspace;
  Clock::time_point EnqueuedAt;
  Deadline AnswerDeadline; ///< When the answer is no longer of use.
  /// A call started later would miss its deadline.
  Clock::time_point LatestStart;
  std::size_t Bytes = 0; ///< Memory that the call occupies.
  /// Class of the call by the tokens that it has produced.
  LengthClass Length = LengthClass::Short;
  Urgency CallUrgency = {}; ///< Among the calls of the queue.
};

namespace detail {

/// The position of a call in an ordered index.
struct QueueKey {
  Urgency CallUrgency; ///< That of all calls where it does not matter.
  Clock::time_point At;
  CallId Id;
  auto operator<=>(const QueueKey &) const = default;
};

} // namespace detail

/// One workspace's part of a queue.
struct Lane {
  double Weight = 1.0;   ///< Relative share under contention, above 0.
  double StartTag = 0;   ///< Virtual time at which the next call starts.
  double MeanCostMs = 0; ///< Decayed mean slot time of the calls.
  /// Samples in MeanCostMs, capped; 0: MeanCostMs is unknown.
  int CostSamples = 0;
  int Running = 0;       ///< Calls that were dequeued and have not ended.
  std::size_t Bytes = 0; ///< Memory of the waiting calls.
  /// Calls that are not long, by urgency and start deadline.
  std::set<detail::QueueKey> Regular;
  std::set<detail::QueueKey> Long; ///< Resumed long calls, in that order too.
};

/// Returns the number of waiting calls of \p lane.
inline std::size_t waitingOf(const Lane &lane) {
  return lane.Regular.size() + lane.Long.size();
}

/// All calls that wait for one group or service.
struct CallQueue {
  std::unordered_map<CallId, QueuedCall> Calls;
  std::map<WorkspaceId, Lane> Lanes;
  std::set<detail::QueueKey> ByLatestStart;
  double VirtualTime = 0; ///< Greatest start tag of the calls started so far.
  std::size_t Bytes = 0;  ///< Memory of all waiting calls.
  /// Arrivals, as Admission records them, and starts.
  UrgencyShares Urgencies;
};

/// Returns the start deadline of \p call: its latest start, or a fixed time
/// after its arrival that depends on its length class, whichever is earlier.
/// Within its workspace, a call is overtaken only by calls that arrive within
/// that time after it.
Clock::time_point startDeadline(const QueuedCall &call);

/// Adds \p call to the lane of its workspace and sets the lane's weight to
/// \p weight. No call with the same id may be waiting.
void push(CallQueue &queue, const QueuedCall &call, double weight);

/// Calls to skip because no server that may run them has a free slot.
using SkippedCalls = std::unordered_set<CallId>;

/// Returns the number of waiting calls of \p lane that are at least as urgent
/// as \p urgency.
std::size_t waitingOf(const Lane &lane, Urgency urgency);

/// Returns the call to start next, or null. Without \p allowLong, a resumed
/// long call is skipped until its start deadline is reached. The pointer is
/// valid until the queue changes. Calls past their latest start are not
/// skipped; removeExpired() removes them.
const QueuedCall *peekNext(const CallQueue &queue, Clock::time_point now,
                           bool allowLong, const SkippedCalls &skipped = {});

/// Removes the call \p id from the queue to start it, and charges its lane.
/// \p meanCostMs is the slot time in milliseconds that is charged to a
/// workspace without samples. Empty when no such call waits.
std::optional<QueuedCall> dequeue(CallQueue &queue, CallId id,
                                  double meanCostMs);

/// Records that a dequeued call ended after \p tookMs milliseconds in its slot.
void releaseSlot(CallQueue &queue, const WorkspaceId &workspace, double tookMs);

/// Returns what dequeue() charges for a call of \p workspace, in milliseconds
/// of slot time.
double chargeOf(const CallQueue &queue, const WorkspaceId &workspace,
                double meanCostMs);

/// Removes the call \p id from the queue because its caller gave up or the
/// entry refused it. Empty when no such call waits.
std::optional<QueuedCall> remove(CallQueue &queue, CallId id);

/// Removes and returns the calls whose latest start has passed.
std::vector<QueuedCall> removeExpired(CallQueue &queue, Clock::time_point now);

/// Returns when the next call expires; empty when no call waits.
std::optional<Clock::time_point> nextExpiry(const CallQueue &queue);

/// Returns the call to evict when the queue is full: the call with the latest
/// start deadline of the least urgent ones in the lane that has the most
/// waiting calls relative to its weight. Resumed long calls are evicted only
/// from lanes without other calls. Null when no call waits.
const QueuedCall *findEvictionCandidate(const CallQueue &queue);

} // namespace greengagespar

#endif // GREENGAGESPAR_ROUTE_QUEUE_H
