/// \file
/// The queue of calls that wait at an entry for one group or service. Between
/// workspaces it is fair by weight: start-time fair queueing (Goyal, Vin and
/// Cheng, IEEE/ACM Transactions on Networking 5(5), 1997) over slot time: each
/// start is charged the mean slot time of its workspace's calls. Inside a
/// workspace the call whose due time comes first goes first; a call's due time
/// is fixed when it arrives, so none waits for ever. Not thread safe.
#ifndef GREENGAGESPAR_ROUTE_QUEUE_H
#define GREENGAGESPAR_ROUTE_QUEUE_H

#include "greengagespar/base/clock.h"
#include "greengagespar/base/ids.h"
#include "greengagespar/route/priority.h"
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
  Deadline Due;                  ///< When its answer is of no more use.
  Clock::time_point LatestStart; ///< A later start would miss the deadline.
  std::size_t Bytes = 0;         ///< Memory that it holds.
  LengthClass Length = LengthClass::Short; ///< By the tokens it has produced.
};

namespace detail {

/// The position of a call in an ordered index.
struct QueueKey {
  Clock::time_point At;
  CallId Id;
  auto operator<=>(const QueueKey &) const = default;
};

} // namespace detail

/// One workspace's part of a queue.
struct Lane {
  double Weight = 1.0;   ///< Share under contention, over 0.
  double StartTag = 0;   ///< Virtual time at which its next call starts.
  double MeanCostMs = 0; ///< Decayed mean slot time of its calls.
  int CostSamples = 0;   ///< Samples in MeanCostMs, capped.
  int Running = 0;       ///< Its calls that were taken and have not ended.
  std::size_t Bytes = 0; ///< Memory of its waiting calls.
  std::set<detail::QueueKey> Fresh; ///< Calls without tokens, by due time.
  std::set<detail::QueueKey> Long;  ///< Resumed long calls, by due time.
};

/// Number of calls of \p lane that wait.
inline std::size_t waitingOf(const Lane &lane) {
  return lane.Fresh.size() + lane.Long.size();
}

/// All calls that wait for one group or service.
struct CallQueue {
  std::unordered_map<CallId, QueuedCall> Calls;
  std::map<WorkspaceId, Lane> Lanes;
  std::set<detail::QueueKey> ByLatestStart;
  double VirtualTime = 0; ///< Start tag of the lane served last.
  std::size_t Bytes = 0;  ///< Memory of all waiting calls.
};

/// Returns when \p call is due: its latest start, or a time after its arrival
/// that is longer for long calls, whichever is first. A call is overtaken only
/// by calls of its workspace that arrive within that time after it.
Clock::time_point dueTime(const QueuedCall &call);

/// Adds \p call, whose id must not be waiting, to the lane of its workspace.
void push(CallQueue &queue, const QueuedCall &call, double weight);

/// Calls that are passed over because no server that they may go to has room.
using PassedOver = std::unordered_set<CallId>;

/// Returns the call to start next, or null. Without \p allowLong a resumed long
/// call is passed over unless it is past its due time. Valid until the queue
/// changes. Calls past their latest start are left to expire().
const QueuedCall *peekNext(const CallQueue &queue, Clock::time_point now,
                           bool allowLong, const PassedOver &passed = {});

/// Takes the call \p id out of the queue to start it, and charges its lane.
/// \p meanCostMs is the cost of calls of an unknown workspace. Empty when it
/// does not wait.
std::optional<QueuedCall> take(CallQueue &queue, CallId id, double meanCostMs);

/// Notes that a taken call ended after \p tookMs in its slot.
void settle(CallQueue &queue, const WorkspaceId &workspace, double tookMs);

/// Returns what take() charges a call of \p workspace, in slot milliseconds.
double chargeOf(const CallQueue &queue, const WorkspaceId &workspace,
                double meanCostMs);

/// Takes the call \p id out of the queue because its caller gave up or it was
/// refused. Empty when it does not wait.
std::optional<QueuedCall> remove(CallQueue &queue, CallId id);

/// Takes out the calls whose latest start has passed.
std::vector<QueuedCall> takeExpired(CallQueue &queue, Clock::time_point now);

/// Returns when the next call expires; empty when none waits.
std::optional<Clock::time_point> nextExpiry(const CallQueue &queue);

/// Returns the call to give up when the queue is full: the last due call of the
/// lane that holds the most for its weight. Null when none waits.
const QueuedCall *overShareCall(const CallQueue &queue);

} // namespace greengagespar

#endif // GREENGAGESPAR_ROUTE_QUEUE_H
