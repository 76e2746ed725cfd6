/// \file
/// Tells a rank that stalls from one that has died, by evidence rather than by
/// one timeout. Pure functions, thread safe.
#ifndef GREENGAGESPAR_GROUP_LIVENESS_H
#define GREENGAGESPAR_GROUP_LIVENESS_H

#include "greengagespar/base/ids.h"
#include "greengagespar/group/rank.h"
#include <chrono>

namespace greengagespar {

/// What is known of one rank.
struct RankEvidence {
  Incarnation JoinedAs;         ///< Engine incarnation that joined the group.
  Incarnation Engine;           ///< Engine incarnation reported last.
  SteadyTime ProcessHeardAt{};  ///< Last message of its endpoint process.
  SteadyTime EngineHeardAt{};   ///< Last answer of its engine to the process.
  SteadyTime StepChangedAt{};   ///< When its step number last went up.
  bool EngineRefuses = false;   ///< The engine's port refuses connections.
  bool HostGone = false;        ///< The host list says so; lags.
  bool FreshLinkFailed = false; ///< A new connection got no answer either.
  bool OthersWaitForIt = false; ///< All other ranks have finished the step.
};

/// Bounds of the verdict. Death is certain within DeadAfter.
struct LivenessLimits {
  std::chrono::milliseconds StallAfter{300};  ///< About four steps.
  std::chrono::milliseconds SilentAfter{500}; ///< Try a fresh connection.
  std::chrono::milliseconds DeadAfter{2000};  ///< Silent on fresh ones too.
};

/// The verdict on one rank.
enum class RankHealth {
  Healthy,   ///< Steps go up.
  Waiting,   ///< Its step stands still since another rank's does.
  Stalled,   ///< It is there and answers, but its step stands still.
  Suspected, ///< Silent; a fresh connection must be tried.
  Dead,      ///< The group must be formed anew without it.
};

/// Judges one rank. Dead needs one of: the engine was replaced since it joined
/// (its state is gone); its port refuses connections; its process is silent on
/// a fresh connection too for DeadAfter, or for SilentAfter when the host list
/// also says that the host is gone; its process answers, but the engine has not
/// for DeadAfter. A stall alone is never death.
RankHealth judgeRank(const RankEvidence &evidence, const LivenessLimits &limits,
                     SteadyTime now);

} // namespace greengagespar

#endif // GREENGAGESPAR_GROUP_LIVENESS_H
