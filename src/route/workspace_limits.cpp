#include "greengagespar/route/workspace_limits.h"

#include "greengagespar/route/service_time.h"
#include <algorithm>

namespace greengagespar {

namespace {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

constexpr double CallTimeWeight = 0.05;
constexpr milliseconds MinRetryAfter{50};
constexpr milliseconds MaxRetryAfter{30000};

milliseconds boundRetry(Seconds time) {
  return boundRetryAfter(std::chrono::duration_cast<Clock::duration>(time));
}

// The token bucket holds the calls of one second, and at least one call.
double bucketSize(double perSecond) { return std::max(1.0, perSecond); }

void refill(WorkspaceUse &use, double perSecond, Clock::time_point now) {
  if (use.RefilledAt == Clock::time_point{})
    use.RateTokens = bucketSize(perSecond);
  else
    use.RateTokens += perSecond * Seconds(now - use.RefilledAt).count();
  use.RateTokens = std::min(use.RateTokens, bucketSize(perSecond));
  use.RefilledAt = now;
}

} // namespace

milliseconds boundRetryAfter(Clock::duration time) {
  auto ms = std::chrono::ceil<milliseconds>(time);
  return std::clamp(ms, MinRetryAfter, MaxRetryAfter);
}

std::optional<Refusal> checkLimits(WorkspaceUses &uses,
                                   const Workspace &workspace,
                                   Clock::time_point now) {
  WorkspaceUse &use = uses.ByWorkspace[workspace.Id];
  if (use.InProgress >= workspace.MaxInFlight) {
    Seconds gap(use.MeanCallMs / 1000.0 / std::max(1, use.InProgress));
    return Refusal{ErrorKind::WorkspaceLimit, boundRetry(gap)};
  }
  if (!workspace.RatePerSecond)
    return std::nullopt;
  refill(use, *workspace.RatePerSecond, now);
  if (use.RateTokens >= 1.0)
    return std::nullopt;
  Seconds missing((1.0 - use.RateTokens) / *workspace.RatePerSecond);
  return Refusal{ErrorKind::WorkspaceLimit, boundRetry(missing)};
}

void recordCallAccepted(WorkspaceUses &uses, const Workspace &workspace) {
  WorkspaceUse &use = uses.ByWorkspace[workspace.Id];
  ++use.InProgress;
  if (workspace.RatePerSecond)
    use.RateTokens -= 1.0;
}

void recordCallEnded(WorkspaceUses &uses, const WorkspaceId &workspace,
                     Clock::duration took) {
  WorkspaceUse &use = uses.ByWorkspace[workspace];
  use.InProgress = std::max(0, use.InProgress - 1);
  double ms = std::chrono::duration<double, std::milli>(took).count();
  updateDecayedMean(use.MeanCallMs, use.Samples, ms, CallTimeWeight);
}

} // namespace greengagespar
