/// \file
/// The limits that a workspace declares, over all groups and services of one
/// entry: calls in progress, and calls a second. Not thread safe.
#ifndef GREENGAGESPAR_ROUTE_WORKSPACE_LIMITS_H
#define GREENGAGESPAR_ROUTE_WORKSPACE_LIMITS_H

#include "greengagespar/base/clock.h"
#include "greengagespar/base/errors.h"
#include "greengagespar/contract/contract.h"
#include <map>
#include <optional>

namespace greengagespar {

/// Why a call was not taken. Such a call did not run.
struct Refusal {
  ErrorKind Kind = ErrorKind::Overloaded;
  std::chrono::milliseconds RetryAfter{0}; ///< When it would be accepted.
  Ran CallRan = Ran::No;
};

/// Returns \p time as a retry time, rounded up and kept inside the bounds that
/// every refusal keeps. Thread safe.
std::chrono::milliseconds boundRetryAfter(Clock::duration time);

/// The use that one workspace makes of this entry.
struct WorkspaceUse {
  int InProgress = 0;             ///< Calls that wait or run.
  double MeanCallMs = 0;          ///< Decayed mean time of its calls.
  int Samples = 0;                ///< Calls in MeanCallMs, capped.
  double RateTokens = 0;          ///< Calls that its rate still allows.
  Clock::time_point RefilledAt{}; ///< When RateTokens was last refilled.
};

/// The use that all workspaces make of this entry.
struct WorkspaceUses {
  std::map<WorkspaceId, WorkspaceUse> ByWorkspace;
};

/// Returns a refusal when one more call of \p workspace would be over its
/// limits. The retry time is when its rate allows the next call, or the mean
/// time until one of its calls ends.
std::optional<Refusal> checkLimits(WorkspaceUses &uses,
                                   const Workspace &workspace,
                                   Clock::time_point now);

/// Notes that a call passed checkLimits() and was accepted.
void noteAccepted(WorkspaceUses &uses, const Workspace &workspace);

/// Notes that an accepted call ended, \p took after it was accepted.
void noteEnded(WorkspaceUses &uses, const WorkspaceId &workspace,
               Clock::duration took);

} // namespace greengagespar

#endif // GREENGAGESPAR_ROUTE_WORKSPACE_LIMITS_H
