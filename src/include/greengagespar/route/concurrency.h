/// \file
/// How many calls one entry may have on one server. Several entries share the
/// server's slots and no state; each learns its part from the load reports.
/// Free slots are taken, and waiting calls given up, in proportion to the
/// entry's own part of the load, plus a small equal step up and a step down by
/// a factor, which lets the parts converge (Chiu and Jain, "Analysis of the
/// Increase and Decrease Algorithms for Congestion Avoidance in Computer
/// Networks", 1989). Pure functions; not thread safe.
#ifndef GREENGAGESPAR_ROUTE_CONCURRENCY_H
#define GREENGAGESPAR_ROUTE_CONCURRENCY_H

#include "greengagespar/base/clock.h"

namespace greengagespar {

/// One entry's limit on one server.
struct ConcurrencyLimit {
  double Value = 4;              ///< Calls allowed; its whole part counts.
  double Initial = 4;            ///< Where an unused limit goes back to.
  Clock::time_point ChangedAt{}; ///< When it last grew or shrank.
};

/// Slots behind the queue, from the servers that take calls now.
struct Capacity {
  int Limit = 0;    ///< Calls that this entry may have on all servers.
  int InFlight = 0; ///< Calls that it has there.
  int Servers = 0;  ///< Servers that may take calls, when they have room.
};

/// Load of a server, and this entry's part of it.
struct ServerLoad {
  int Running = 0;          ///< Calls of all entries that are worked on.
  int Waiting = 0;          ///< Calls of all entries in the server's own queue.
  int Slots = 0;            ///< Calls that it works on at a time.
  int Own = 0;              ///< This entry's calls on it.
  Clock::time_point AsOf{}; ///< When the load was so.
};

/// Returns the limit to begin with when \p entries share \p slots.
ConcurrencyLimit initialLimit(int slots, int entries);

/// Adjusts \p limit to a new load report. Call it once for each report. A load
/// from before the last change says nothing about it and changes nothing, so
/// that a lag between the two does not make the limit swing.
void adjustLimit(ConcurrencyLimit &limit, const ServerLoad &load,
                 Clock::time_point now);

/// Lowers \p limit because the server refused a call for load while this entry
/// had \p own calls there.
void lowerLimit(ConcurrencyLimit &limit, int own);

/// Returns the calls allowed, at least one.
int allowedCalls(const ConcurrencyLimit &limit);

} // namespace greengagespar

#endif // GREENGAGESPAR_ROUTE_CONCURRENCY_H
