#include "greengagespar/group/liveness.h"

namespace greengagespar {

namespace {

bool isDead(const RankEvidence &evidence, const LivenessLimits &limits,
            SteadyTime now) {
  if (evidence.Engine != evidence.JoinedAs || evidence.EngineRefuses)
    return true;
  auto silent = now - evidence.ProcessHeardAt;
  if (silent < limits.SilentAfter)
    return now - evidence.EngineHeardAt >= limits.DeadAfter;
  if (!evidence.FreshLinkFailed)
    return false;
  return evidence.HostGone || silent >= limits.DeadAfter;
}

} // namespace

RankHealth judgeRank(const RankEvidence &evidence, const LivenessLimits &limits,
                     SteadyTime now) {
  if (isDead(evidence, limits, now))
    return RankHealth::Dead;
  if (now - evidence.ProcessHeardAt >= limits.SilentAfter)
    return RankHealth::Suspected;
  if (now - evidence.StepChangedAt < limits.StallAfter)
    return RankHealth::Healthy;
  return evidence.OthersWaitForIt ? RankHealth::Stalled : RankHealth::Waiting;
}

} // namespace greengagespar
