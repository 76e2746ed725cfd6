/// \file
/// Adaptive limit on the streams that one entry may have on a group, so that
/// the pauses between the events of a stream stay short. The servers of a group
/// work in lock-step, so each additional stream makes every pass longer, and
/// demand changes within seconds. The time between the events of any stream is
/// the time of one pass. Therefore each entry observes the same signal without
/// communicating. Limits follow additive increase and multiplicative decrease
/// (AIMD), which makes the entries' parts converge (Chiu and Jain, "Analysis of
/// the Increase and Decrease Algorithms for Congestion Avoidance in Computer
/// Networks", 1989). Pure functions; not thread safe.
#ifndef GREENGAGESPAR_ROUTE_PACE_LIMIT_H
#define GREENGAGESPAR_ROUTE_PACE_LIMIT_H

#include "greengagespar/base/clock.h"

namespace greengagespar {

/// Parameters of the limit.
struct PaceOptions {
  /// The limit shrinks when the mean pause is above this share of the longest
  /// pause wanted. It is below 1 because passes that read long prompts take up
  /// to 50 % longer than the mean.
  double BusyShare = 0.85;
  /// Weight of a new pause in the decayed mean.
  double Weight = 0.08;
  /// Factor by which the limit shrinks.
  double DecreaseFactor = 0.92;
  /// Streams by which the limit grows.
  double IncreaseStep = 1.0;
  /// Shortest time between two changes. The effect of a change is visible only
  /// after some streams have ended.
  std::chrono::milliseconds MinChangeInterval{250};
  /// The limit never falls below this many streams, or below MaxStreams if that
  /// is lower.
  double MinStreams = 3;
};

/// One entry's limit on one group.
struct PaceLimit {
  PaceOptions Options;
  /// Greatest limit, in force while pauses are short; 0: unlimited.
  double MaxStreams = 0;
  double Value = 0;       ///< Streams allowed; the fraction is dropped.
  double MeanPauseMs = 0; ///< Decayed mean pause; 0: no pause recorded.
  /// Longest pause wanted by the route of the newest event.
  std::chrono::milliseconds LongestPause{0};
  Clock::time_point ChangedAt{}; ///< When Value was last reviewed.
};

/// Sets the greatest limit to \p maxStreams streams. The present limit moves
/// with it if it was at the greatest limit, and otherwise is only capped.
void setMaxStreams(PaceLimit &limit, double maxStreams);

/// Records the pause before an event of a stream whose route wants no pause
/// longer than \p longest, and adjusts the limit. Nothing is recorded when
/// \p longest is zero. \p inFlight is the number of this entry's streams on the
/// group.
void recordPause(PaceLimit &limit, Clock::duration pause,
                 std::chrono::milliseconds longest, int inFlight,
                 Clock::time_point now);

/// Returns the number of streams allowed, at least one.
int allowedStreams(const PaceLimit &limit);

} // namespace greengagespar

#endif // GREENGAGESPAR_ROUTE_PACE_LIMIT_H
