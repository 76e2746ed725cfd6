/// \file
/// The limits of a workspace on calls in progress and on calls per second. They
/// apply to all groups and services of one entry together. Not thread safe.
#ifndef GREENGAGESPAR_ROUTE_WORKSPACE_LIMITS_H
#define GREENGAGESPAR_ROUTE_WORKSPACE_LIMITS_H

#include "greengagespar/base/clock.h"
#include "greengagespar/base/errors.h"
#include "greengagespar/contract/contract.h"
#include <map>
#include <optional>

namespace greengagespar {

/// Why a call was refused. A refused call did not run.
struct Refusal {
  ErrorKind Kind = ErrorKind::Overloaded;
  /// Time until the call would be accepted.
  std::chrono::milliseconds RetryAfter{0};
  Ran CallRan = Ran::No;
  /// What there was no room for or why, for the log; a constant. Empty: nothing
  /// that the kind does not say.
  std::string_view Why = {};
};

/// Returns \p time as a retry time, rounded up to milliseconds and clamped to
/// the bounds of the retry times of all refusals. Thread safe.
std::chrono::milliseconds boundRetryAfter(Clock::duration time);

/// The load that one workspace puts on this entry.
struct WorkspaceUse {
  int InProgress = 0; ///< Calls that wait or run.
  /// Decayed mean time from acceptance to the end of a call.
  double MeanCallMs = 0;
  int Samples = 0;       ///< Calls counted in MeanCallMs, capped.
  double RateTokens = 0; ///< Tokens left; each accepted call takes one.
  /// When RateTokens was last refilled; default: never.
  Clock::time_point RefilledAt{};
};

/// The load that all workspaces put on this entry.
struct WorkspaceUses {
  std::map<WorkspaceId, WorkspaceUse> ByWorkspace;
};

/// Returns a refusal when one more call of \p workspace would exceed its
/// limits. The retry time is the time until its rate allows the next call, or
/// the mean time until one of its calls ends.
std::optional<Refusal> checkLimits(WorkspaceUses &uses,
                                   const Workspace &workspace,
                                   Clock::time_point now);

/// Records that a call passed checkLimits() and was accepted.
void recordCallAccepted(WorkspaceUses &uses, const Workspace &workspace);

/// Records that an accepted call ended, \p took after it was accepted.
void recordCallEnded(WorkspaceUses &uses, const WorkspaceId &workspace,
                     Clock::duration took);

} // namespace greengagespar

#endif // GREENGAGESPAR_ROUTE_WORKSPACE_LIMITS_H
