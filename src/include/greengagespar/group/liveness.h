/// \file
/// Distinguishes a rank that stalls from one that has died, by several kinds of
/// evidence instead of one timeout. Pure functions, thread safe.
#ifndef GREENGAGESPAR_GROUP_LIVENESS_H
#define GREENGAGESPAR_GROUP_LIVENESS_H

#include "greengagespar/base/ids.h"
#include "greengagespar/group/rank.h"
#include <chrono>

namespace greengagespar {

/// What is known of one rank.
struct RankEvidence {
  Incarnation JoinedAs; ///< Engine incarnation that joined the group.
  Incarnation Engine;   ///< Engine incarnation reported last.
  /// When the last message of its endpoint process was received.
  SteadyTime ProcessLastReceivedAt{};
  /// When its engine last answered the endpoint process.
  SteadyTime EngineLastReceivedAt{};
  SteadyTime StepChangedAt{}; ///< When its step number last went up.
  /// The engine's port refuses connections.
  bool EngineRefusesConnections = false;
  /// The host list reports that the host is lost. The list is updated late.
  bool HostReportedLost = false;
  bool NewConnectionFailed = false; ///< A new connection got no answer either.
  bool OthersFinishedStep = false;  ///< All other ranks have finished the step.
};

/// Timeouts that decide on the health of a rank. A dead rank is known as dead
/// within DeadAfter.
struct RankLivenessLimits {
  /// A step without progress for this long, about four steps, is a stall.
  std::chrono::milliseconds StallAfter{300};
  /// An endpoint process without a message for this long is suspected, and a
  /// new connection must be tried.
  std::chrono::milliseconds UnresponsiveAfter{500};
  /// A process that is unresponsive on new connections too, or an engine
  /// without an answer, for this long is dead.
  std::chrono::milliseconds DeadAfter{2000};
};

/// The health of one rank.
enum class RankHealth {
  Healthy,   ///< The step number goes up.
  Waiting,   ///< Its step makes no progress because another rank's does not.
  Stalled,   ///< It answers, but its step makes no progress.
  Suspected, ///< It is unresponsive; a new connection must be tried.
  Dead,      ///< The group must be formed anew without it.
};

/// Classifies the health of one rank. A rank is dead if one of these holds:
/// - its engine was replaced since it joined, so that the engine's state is
///   lost;
/// - its engine's port refuses connections;
/// - its process is unresponsive, on a new connection too, for DeadAfter, or
///   for UnresponsiveAfter if the host list also reports that the host is lost;
/// - its process answers, but its engine has not answered for DeadAfter.
///
/// A stall alone never makes a rank dead.
RankHealth classifyRank(const RankEvidence &evidence,
                        const RankLivenessLimits &limits, SteadyTime now);

} // namespace greengagespar

#endif // GREENGAGESPAR_GROUP_LIVENESS_H
