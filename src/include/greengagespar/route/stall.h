/// \file
/// Detects that a group makes no passes. The servers of a group work in
/// lock-step, so one rank that is lost or paused stops the work of all. A call
/// that is sent to a stalled group waits with all others, and may run long
/// after its caller has left. Pure functions; not thread safe.
#ifndef GREENGAGESPAR_ROUTE_STALL_H
#define GREENGAGESPAR_ROUTE_STALL_H

#include "greengagespar/base/clock.h"

namespace greengagespar {

/// Conditions under which a group counts as stalled.
struct StallLimits {
  /// Time without progress after which the group counts as stalled. It is as
  /// long as several passes of the longest duration that is still in time.
  std::chrono::milliseconds NoProgressTime{700};
  /// Number of calls in progress below which the group never counts as stalled.
  int MinInFlight = 3;
  /// While the group is stalled, one call is sent in each such interval to
  /// probe whether it makes progress again.
  std::chrono::milliseconds ProbeInterval{400};
};

/// The observed progress of a group.
struct StallState {
  StallLimits Limits;
  /// When the last event or answer came, or the last call was sent while none
  /// was in progress.
  Clock::time_point ProgressAt{};
  Clock::time_point ProbeAt{}; ///< When a call was last sent during a stall.
};

/// Records an event or an answer from any server of the group.
void recordGroupProgress(StallState &state, Clock::time_point now);

/// Records that a call is sent. \p inFlight is the number of calls in progress
/// before it.
void recordCallToGroup(StallState &state, int inFlight, Clock::time_point now);

/// Whether the group is stalled. \p inFlight is the number of calls in
/// progress.
bool isStalled(const StallState &state, int inFlight, Clock::time_point now);

/// Whether one more call may be sent now: the group is not stalled, or a probe
/// is allowed.
bool maySend(const StallState &state, int inFlight, Clock::time_point now);

} // namespace greengagespar

#endif // GREENGAGESPAR_ROUTE_STALL_H
