/// \file
/// Admission control for the calls of one group or service at one entry. The
/// entry refuses a call at once when it can't be answered in time; otherwise
/// the call waits in the queue until a server has a free slot. Entries share
/// servers but no state: each entry decides from its own concurrency limits.
/// Every group and every service has its own Admission, so that calls of a
/// service never wait behind drafts (streams of a group) or lose queue memory
/// to them. Not thread safe.
#ifndef GREENGAGESPAR_ROUTE_ADMISSION_H
#define GREENGAGESPAR_ROUTE_ADMISSION_H

#include "greengagespar/base/errors.h"
#include "greengagespar/contract/contract.h"
#include "greengagespar/route/concurrency.h"
#include "greengagespar/route/queue.h"
#include "greengagespar/route/service_time.h"
#include "greengagespar/route/workspace_limits.h"
#include <array>
#include <functional>
#include <map>

namespace greengagespar {

/// Parameters of admission control.
struct AdmissionOptions {
  std::size_t MaxCalls = 4000; ///< Limit on waiting calls.
  /// Limit on the bytes of waiting calls.
  std::size_t MaxBytes = std::size_t{8} << 20;
  double WaitSafety = 1.2; ///< Factor applied to the estimated wait.
  /// Longest wait as a share of the time left until the deadline.
  double MaxWaitShare = 0.5;
  /// Longest wait as a share of the shortest common deadline of the workspace.
  /// Calls with long deadlines wait no longer than others; otherwise they would
  /// fill the queue and calls with short deadlines could not enter it.
  double MaxQueueShare = 0.25;
  std::chrono::milliseconds MaxWait{0}; ///< Longest wait; zero means no bound.
  /// The estimated wait counts only the workspaces with waiting calls as those
  /// that share the starts. Otherwise those with running calls count too, which
  /// would be most of them where an entry has few slots for many workspaces.
  bool OnlyWaitingShare = false;
};

/// A call that arrives at the entry.
struct ArrivingCall {
  CallId Id;
  WorkspaceId Workspace;
  Deadline AnswerDeadline; ///< When the answer is no longer of use.
  std::size_t Bytes = 0;   ///< Memory that the call occupies in the queue.
  /// Time that the call needs once it is started, when known, for example from
  /// its token limit; empty: estimated from the service times of past calls.
  std::optional<Clock::duration> ExpectedService = std::nullopt;
  /// Class of the call by the tokens that it has produced.
  LengthClass Length = LengthClass::Short;
  Urgency CallUrgency = {}; ///< Among the calls of the same Admission.
};

/// A queued call that the entry refuses.
struct RefusedCall {
  QueuedCall Call;
  Refusal Reason;
};

/// The result of offering a call for admission.
struct AdmissionDecision {
  std::optional<Refusal> Refused; ///< Empty: the call was queued.
  /// Calls that were removed from the queue to make room for it.
  std::vector<RefusedCall> Evicted;
};

/// Arrivals of the calls whose deadlines are in one class.
struct DeadlineArrivals {
  double Count = 0; ///< Decayed number of arrivals.
  /// Decayed sum of the seconds left until their deadlines.
  double Seconds = 0;
};

/// Recent arrivals and starts of one workspace's calls at one group or service.
struct LaneStats {
  /// Arrivals by deadline class.
  std::array<DeadlineArrivals, ServiceTimes::DeadlineClasses> Arrivals{};
  double StartsPerSecond = 0; ///< Decayed rate at which its calls start.
  /// When StartsPerSecond was last updated.
  Clock::time_point StartRateUpdatedAt{};
  /// Earliest retry time of the next refused call.
  Clock::time_point NextRetry{};
};

/// Admission state of one group or service.
struct Admission {
  AdmissionOptions Options;
  CallQueue Queue;
  ServiceTimes Times;
  std::map<WorkspaceId, LaneStats> StatsByWorkspace;
};

/// A call that was removed from the queue to be sent to a server.
struct StartedCall {
  QueuedCall Call;
  Clock::time_point StartedAt;
};

/// Estimates how long a new call of \p workspace would wait in the queue. While
/// the workspace runs fewer calls than its fair share of the slots, its calls
/// start whenever any slot becomes free. Further calls start at the rate of the
/// fair share, or at the workspace's current start rate if that is higher. The
/// estimate is at least the time that the workspace's next call has waited.
/// Less urgent calls don't count as waiting before it, and only the starts that
/// more urgent levels leave (shareLeftFor()) are its own.
Clock::duration estimateWait(const Admission &admission,
                             const Workspace &workspace,
                             const Capacity &capacity, Clock::time_point now,
                             Urgency urgency = {});

/// Decides whether to accept \p call, and adds it to the queue unless it is
/// refused. It may evict waiting calls of other workspaces to make room.
AdmissionDecision offer(Admission &admission, const ArrivingCall &call,
                        const Workspace &workspace, const Capacity &capacity,
                        Clock::time_point now);

/// Puts a call that was accepted before back into the queue, to be retried or
/// resumed. The call is refused only when its deadline has passed or when no
/// server may take calls.
AdmissionDecision requeue(Admission &admission, const ArrivingCall &call,
                          const Workspace &workspace, const Capacity &capacity,
                          Clock::time_point now);

/// Returns the call to start next, or null; see peekNext(). Call expire()
/// before this function.
const QueuedCall *nextCall(const Admission &admission, Clock::time_point now,
                           bool allowLong);

/// Returns the index of the server chosen for a waiting call; empty when no
/// server that may run the call has a free slot.
using ServerChooser =
    std::function<std::optional<std::size_t>(const QueuedCall &)>;

/// A started call and the index of its server.
struct PlacedCall {
  StartedCall Call;
  std::size_t Server = 0;
};

/// Starts the next waiting call for which \p choose finds a server; empty when
/// there is none. A call without a server, for example one whose key belongs to
/// a full server, doesn't block the calls behind it; the function stops after a
/// few such calls. Call expire() first, then call this function repeatedly
/// until it returns an empty value.
std::optional<PlacedCall> placeNext(Admission &admission,
                                    const ServerChooser &choose, bool allowLong,
                                    Clock::time_point now);

/// Removes the call \p id from the queue to start it. Empty when no such call
/// waits.
std::optional<StartedCall> start(Admission &admission, CallId id,
                                 Clock::time_point now);

/// Records that a started call ended. \p completed: the call was answered or
/// reached its deadline, so that its duration is a sample of the service time.
void finish(Admission &admission, const StartedCall &call, bool completed,
            Clock::time_point now);

/// Removes and returns the waiting calls that can no longer be answered in
/// time. The entry must refuse each of them at once; none of them ran since it
/// was queued.
std::vector<RefusedCall> expire(Admission &admission, const Capacity &capacity,
                                Clock::time_point now);

} // namespace greengagespar

#endif // GREENGAGESPAR_ROUTE_ADMISSION_H
