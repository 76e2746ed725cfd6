/// \file
/// Admission in front of one group or service at one entry: a call is refused
/// at once when it can't be answered in time, otherwise it waits in the queue
/// until a server has a slot. Entries share servers and no state: each works
/// from its own concurrency limits. Every group and every service has an
/// Admission of its own, so that bookings never wait behind drafts nor lose
/// memory to them. Not thread safe.
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

/// Tuning of admission.
struct AdmissionOptions {
  std::size_t MaxCalls = 4000;                 ///< Calls that wait.
  std::size_t MaxBytes = std::size_t{8} << 20; ///< Memory of calls that wait.
  double WaitSafety = 1.2;   ///< Factor on the estimated wait.
  double MaxWaitShare = 0.5; ///< Longest wait as a share of the time left.
  /// Longest wait as a share of the shortest common deadline of the workspace.
  /// Patient calls wait no longer than others, so that they don't fill a queue
  /// that calls with short deadlines then can't enter.
  double MaxQueueShare = 0.25;
  std::chrono::milliseconds MaxWait{0}; ///< Longest wait; zero: no bound.
};

/// A call as it arrives.
struct ArrivingCall {
  CallId Id;
  WorkspaceId Workspace;
  Deadline Due;
  std::size_t Bytes = 0;
  /// Time that it needs once started, when known, as from its token limit.
  std::optional<Clock::duration> ExpectedService = std::nullopt;
  LengthClass Length = LengthClass::Short; ///< By the tokens it has produced.
};

/// A queued call that is refused.
struct RefusedCall {
  QueuedCall Call;
  Refusal Why;
};

/// What was decided on an arriving call.
struct AdmissionDecision {
  std::optional<Refusal> Refused;   ///< Empty: the call waits in the queue.
  std::vector<RefusedCall> Evicted; ///< Calls that made room for it.
};

/// Arriving calls with deadlines of one class.
struct DeadlineArrivals {
  double Count = 0;   ///< Decayed count.
  double Seconds = 0; ///< Decayed sum of the times that they left.
};

/// What one workspace sent to one group or service, and got from it, of late.
struct LanePace {
  /// Its arriving calls by their deadlines.
  std::array<DeadlineArrivals, ServiceTimes::DeadlineClasses> Arrivals{};
  double StartsPerSecond = 0;    ///< Decayed rate of its calls' starts.
  Clock::time_point StartsAt{};  ///< When StartsPerSecond was last decayed.
  Clock::time_point NextRetry{}; ///< When the next refused call may return.
};

/// Admission of one group or service.
struct Admission {
  AdmissionOptions Options;
  CallQueue Queue;
  ServiceTimes Times;
  std::map<WorkspaceId, LanePace> Paces;
};

/// A call taken out of the queue to be sent to a server.
struct StartedCall {
  QueuedCall Call;
  Clock::time_point StartedAt;
};

/// Estimates how long a new call of \p workspace would wait. Calls that fill up
/// its fair share of the slots start as any slot falls free; the rest at the
/// rate of the share, or at what the workspace gets now if that is more. It is
/// at least what its next call has waited by now.
Clock::duration estimateWait(const Admission &admission,
                             const Workspace &workspace,
                             const Capacity &capacity, Clock::time_point now);

/// Decides on \p call and, when it is not refused, puts it into the queue.
AdmissionDecision offer(Admission &admission, const ArrivingCall &call,
                        const Workspace &workspace, const Capacity &capacity,
                        Clock::time_point now);

/// Puts a call that was accepted before back into the queue, to be retried or
/// resumed. Only its deadline is checked.
AdmissionDecision offerAgain(Admission &admission, const ArrivingCall &call,
                             const Workspace &workspace,
                             const Capacity &capacity, Clock::time_point now);

/// Returns the call to start next, or null; see peekNext() of the queue. Call
/// expire() before it.
const QueuedCall *nextCall(const Admission &admission, Clock::time_point now,
                           bool allowLong);

/// Chooses a server, by its position, for a waiting call; none when no server
/// that the call may go to has room.
using ServerChooser =
    std::function<std::optional<std::size_t>(const QueuedCall &)>;

/// A call that was started and its server.
struct PlacedCall {
  StartedCall Call;
  std::size_t Server = 0;
};

/// Starts the next waiting call that \p choose finds a server for; empty when
/// there is none. A call that can't go anywhere, as one whose key has its home
/// on a full server, holds up no others; only the first few of those are tried.
/// Call expire() before it, and again until it is empty.
std::optional<PlacedCall> placeNext(Admission &admission,
                                    const ServerChooser &choose, bool allowLong,
                                    Clock::time_point now);

/// Takes the call \p id out of the queue to start it.
std::optional<StartedCall> start(Admission &admission, CallId id,
                                 Clock::time_point now);

/// Notes that a started call ended. \p completed: it was answered or ran into
/// its deadline, so that its time tells how long such calls take.
void finish(Admission &admission, const StartedCall &call, bool completed,
            Clock::time_point now);

/// Takes out the waiting calls that can no longer be answered in time. Each is
/// to be refused at once; none of them ran.
std::vector<RefusedCall> expire(Admission &admission, const Capacity &capacity,
                                Clock::time_point now);

} // namespace greengagespar

#endif // GREENGAGESPAR_ROUTE_ADMISSION_H
