/// \file
/// How many streams one entry may have on a group so that their pauses stay
/// short. Pattern: servers that work in lock-step, where each further stream
/// makes every pass longer, under demand that swings within seconds. The time
/// between the events of any stream is the time of a pass, so each entry sees
/// the same signal without asking; limits grow by a step and shrink by a
/// factor, which lets the entries' parts converge (Chiu and Jain, "Analysis of
/// the Increase and Decrease Algorithms for Congestion Avoidance in Computer
/// Networks", 1989). Pure functions; not thread safe.
#ifndef GREENGAGESPAR_ROUTE_PACE_LIMIT_H
#define GREENGAGESPAR_ROUTE_PACE_LIMIT_H

#include "greengagespar/base/clock.h"

namespace greengagespar {

/// Tuning of the limit.
struct PaceOptions {
  /// Part of the longest pause at which passes are long enough: passes that
  /// read long prompts take up to half as long again as the mean.
  double BusyShare = 0.85;
  /// Weight of a new pause in the mean.
  double Weight = 0.08;
  /// Factor of a decrease, and the step of an increase.
  double Decrease = 0.92;
  double Increase = 1.0;
  /// Time between two changes: a change shows once some streams have ended.
  std::chrono::milliseconds Every{250};
  double Least = 3; ///< The limit never falls below.
};

/// One entry's limit on one group.
struct PaceLimit {
  PaceOptions Options;
  double Most = 0;  ///< Limit without long pauses; 0: no limit at all.
  double Value = 0; ///< Streams allowed; its whole part counts.
  double MeanPauseMs = 0;
  std::chrono::milliseconds LongestPause{0}; ///< Wanted by the routes.
  Clock::time_point ChangedAt{};
};

/// Sets the limit without long pauses; the present one stays where it fits.
void setMost(PaceLimit &limit, double most);

/// Notes the pause before an event of a stream whose route wants none over
/// \p longest. \p inFlight: streams of this entry on the group.
void notePause(PaceLimit &limit, Clock::duration pause,
               std::chrono::milliseconds longest, int inFlight,
               Clock::time_point now);

/// Returns the streams allowed.
int allowedStreams(const PaceLimit &limit);

} // namespace greengagespar

#endif // GREENGAGESPAR_ROUTE_PACE_LIMIT_H
