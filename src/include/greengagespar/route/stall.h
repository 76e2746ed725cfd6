/// \file
/// Notices that a group makes no passes. Pattern: servers in lock-step, where
/// one rank that is lost or held stops the work of all: a request that is sent
/// then waits with all others, and may run long after its caller has left.
/// Pure functions; not thread safe.
#ifndef GREENGAGESPAR_ROUTE_STALL_H
#define GREENGAGESPAR_ROUTE_STALL_H

#include "greengagespar/base/clock.h"

namespace greengagespar {

/// When a group counts as stalled.
struct StallLimits {
  /// Without progress for this long: several of the longest passes in time.
  std::chrono::milliseconds Silence{700};
  /// Calls in progress from which silence means something.
  int MinInFlight = 3;
  /// One call is sent each this often, to see whether the group goes on.
  std::chrono::milliseconds ProbeEvery{400};
};

/// What is known of a group's progress.
struct StallState {
  StallLimits Limits;
  Clock::time_point ProgressAt{}; ///< The last event, answer or first call.
  Clock::time_point ProbeAt{};    ///< When a call was sent during a stall.
};

/// Notes an event or an answer of any server of the group.
void noteProgress(StallState &state, Clock::time_point now);

/// Notes that a call is sent; \p inFlight: those in progress before it.
void noteCallSent(StallState &state, int inFlight, Clock::time_point now);

/// Whether the group makes no passes.
bool isStalled(const StallState &state, int inFlight, Clock::time_point now);

/// Whether one more call may be sent now.
bool maySend(const StallState &state, int inFlight, Clock::time_point now);

} // namespace greengagespar

#endif // GREENGAGESPAR_ROUTE_STALL_H
