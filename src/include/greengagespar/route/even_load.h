/// \file
/// The choice of a server where an entry's own calls say little of the servers'
/// loads, because many entries share them: from load reports that are a little
/// old, while the other entries choose from theirs.
///
/// The least load reported is the wrong choice then: all entries would send to
/// the same servers until the next reports. Instead the servers are drawn with
/// chances by which the calls of all entries, in the time that a report is old,
/// even the reported loads out (Basic Load Interpretation; Dahlin,
/// "Interpreting Stale Load Information", IEEE TPDS 11(10), 2000; see also
/// Mitzenmacher, "How Useful Is Old Information?", IEEE TPDS 11(1), 2000).
/// No message passes for it but the reports.
///
/// Pure functions over EndpointView; not thread safe.
#ifndef GREENGAGESPAR_ROUTE_EVEN_LOAD_H
#define GREENGAGESPAR_ROUTE_EVEN_LOAD_H

#include "greengagespar/route/endpoint_view.h"
#include <cstddef>
#include <random>
#include <vector>

namespace greengagespar {

/// What the draw depends on beside the servers.
struct EvenLoadOptions {
  /// Mean time for which a call occupies a slot. A report says the less of the
  /// present load the more of the calls that it counted have ended since.
  std::chrono::milliseconds MeanCall{500};
  /// Entries that send to the servers. All may choose at one moment.
  std::size_t Entries = 1;
  /// Calls whose work takes a server as long as its work without calls.
  double IdleCalls = 0;
  /// Age from which a report says nothing.
  std::chrono::milliseconds MaxReportAge{5000};
};

/// What is expected of one server.
struct ExpectedLoad {
  double Calls = 0;        ///< Calls of all entries on it now.
  double Pace = 1;         ///< Over 1: the server is slow.
  bool IsReported = false; ///< By a report that is not too old.
};

/// Returns the load that is expected now of each server of \p views, all
/// calls of this entry since the server's report included. A server without a
/// report is expected to have the mean load.
std::vector<ExpectedLoad> expectedLoads(const std::vector<EndpointView> &views,
                                        const EvenLoadOptions &options,
                                        Clock::time_point now);

/// Returns the chance of each server in \p from (indices of \p loads), relative
/// to the others: as many calls as bring it up to the level that the
/// \p arrivals next calls reach where they even the loads out. A slow server's
/// level is lower, so that its work takes as long as that of the others.
/// Precondition: \p arrivals is over zero.
std::vector<double> evenChances(const std::vector<ExpectedLoad> &loads,
                                const std::vector<std::size_t> &from,
                                double arrivals,
                                const EvenLoadOptions &options);

/// Draws one of the servers \p from, indices of \p views. Precondition: \p from
/// is not empty.
std::size_t drawEvenly(const std::vector<EndpointView> &views,
                       const std::vector<std::size_t> &from,
                       const EvenLoadOptions &options, Clock::time_point now,
                       std::mt19937_64 &rng);

/// How even the loads are, as the reports that are not too old say.
struct LoadEvenness {
  int Reported = 0;           ///< Servers with such a report.
  double MeanAgeMs = 0;       ///< Mean age of these reports.
  double LargestOverMean = 0; ///< Largest load of a server over the mean one.
  /// Calls that wait at a server while another one has a free slot for them.
  int WaitingBesideFree = 0;
};

/// Returns how even the loads of the servers are that take calls.
LoadEvenness evennessOf(const std::vector<EndpointView> &views,
                        const EvenLoadOptions &options, Clock::time_point now);

} // namespace greengagespar

#endif // GREENGAGESPAR_ROUTE_EVEN_LOAD_H
