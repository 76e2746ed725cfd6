#include "greengagespar/group/liveness.h"

namespace greengagespar {

namespace {

bool isDead(const RankEvidence &evidence, const RankLivenessLimits &limits,
            SteadyTime now) {
  if (evidence.Engine != evidence.JoinedAs || evidence.EngineRefusesConnections)
    return true;
  auto sinceReceived = now - evidence.ProcessLastReceivedAt;
  if (sinceReceived < limits.UnresponsiveAfter)
    return now - evidence.EngineLastReceivedAt >= limits.DeadAfter;
  if (!evidence.NewConnectionFailed)
    return false;
  return evidence.HostReportedLost || sinceReceived >= limits.DeadAfter;
}

} // namespace

RankHealth classifyRank(const RankEvidence &evidence,
                        const RankLivenessLimits &limits, SteadyTime now) {
  if (isDead(evidence, limits, now))
    return RankHealth::Dead;
  if (now - evidence.ProcessLastReceivedAt >= limits.UnresponsiveAfter)
    return RankHealth::Suspected;
  if (now - evidence.StepChangedAt < limits.StallAfter)
    return RankHealth::Healthy;
  return evidence.OthersFinishedStep ? RankHealth::Stalled
                                     : RankHealth::Waiting;
}

} // namespace greengagespar
