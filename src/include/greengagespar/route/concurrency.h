/// \file
/// Adaptive limit on the calls that one entry may have on one server. Several
/// entries share the server's slots but no state; each entry derives its part
/// from the load reports. When slots are free the limit grows, and when too
/// many calls wait it shrinks, in proportion to the entry's own part of the
/// load. An additional additive increase and multiplicative decrease (AIMD)
/// make the entries' parts converge (Chiu and Jain, "Analysis of the Increase
/// and Decrease Algorithms for Congestion Avoidance in Computer Networks",
/// 1989). Pure functions; not thread safe.
#ifndef GREENGAGESPAR_ROUTE_CONCURRENCY_H
#define GREENGAGESPAR_ROUTE_CONCURRENCY_H

#include "greengagespar/base/clock.h"
#include <limits>

namespace greengagespar {

/// One entry's limit on one server.
struct ConcurrencyLimit {
  double Value = 4;   ///< Calls allowed; the fraction is dropped.
  double Initial = 4; ///< Value to which an unused limit returns.
  /// When adjustLimit() last changed the number of calls allowed.
  Clock::time_point ChangedAt{};
};

/// Total capacity of the servers that serve a queue.
struct Capacity {
  int Limit = 0;    ///< Calls that this entry may have on all servers together.
  int InFlight = 0; ///< Calls that this entry has on them.
  int Servers = 0;  ///< Servers that may be chosen, full ones included.
  /// Calls a second that this entry may start on them where each of them has a
  /// rate limit; otherwise infinite.
  double StartsPerSecond = std::numeric_limits<double>::infinity();
};

/// Load of a server, and this entry's part of the load.
struct ServerLoad {
  int Running = 0;          ///< Calls of all entries that the server processes.
  int Waiting = 0;          ///< Calls of all entries in the server's own queue.
  int Slots = 0;            ///< Calls that the server processes at a time.
  int Own = 0;              ///< This entry's calls on the server.
  Clock::time_point AsOf{}; ///< When the load was measured.
};

/// Returns the initial limit when \p entries entries share \p slots slots. The
/// limit is at least one call.
ConcurrencyLimit initialLimit(int slots, int entries);

/// Adjusts \p limit to a new load report. Call it once for each report. A load
/// that was measured before the last change of the limit doesn't show the
/// effect of that change. It is ignored, so that the delay of reports doesn't
/// make the limit oscillate.
void adjustLimit(ConcurrencyLimit &limit, const ServerLoad &load,
                 Clock::time_point now);

/// Lowers \p limit after the server refused a call because of overload while
/// this entry had \p own calls on it.
void lowerLimit(ConcurrencyLimit &limit, int own);

/// Returns the number of calls allowed, at least one.
int allowedCalls(const ConcurrencyLimit &limit);

} // namespace greengagespar

#endif // GREENGAGESPAR_ROUTE_CONCURRENCY_H
