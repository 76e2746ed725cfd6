/// \file
/// The choice of a server for one call. Pure functions over EndpointView.
///
/// Two servers are drawn at random and the cheaper one is taken (Mitzenmacher,
/// "The Power of Two Choices in Randomized Load Balancing", IEEE TPDS 12(10),
/// 2001): unlike the least reported load, this does not send every entry to
/// the same server while reports lag. Calls with a common prompt prefix go to
/// the prefix's first servers in rendezvous order whose load is bounded
/// (Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with Bounded
/// Loads", SODA 2018).
#ifndef GREENGAGESPAR_ROUTE_CHOOSE_H
#define GREENGAGESPAR_ROUTE_CHOOSE_H

#include "greengagespar/route/endpoint_view.h"
#include <cstddef>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace greengagespar {

/// The generator of random draws. Seeded by its owner.
using Rng = std::mt19937_64;

/// Tuning of the choice.
struct ChoiceOptions {
  /// Age at which half of what a load report says is forgotten.
  std::chrono::milliseconds ReportHalfLife{500};
  /// Bound of a prefix's servers: load at most this many times the mean.
  double AffinityLoadBound = 1.25;
  /// Servers tried in the prefix's rendezvous order before it is given up.
  std::size_t AffinityTries = 3;
  /// Another data centre is used when its cost is below this share of the own
  /// one's.
  double SpillCostShare = 0.7;
  /// Latency assumed when no server has answered yet.
  std::chrono::milliseconds AssumedLatency{50};
};

/// One call that needs a server.
struct ChoiceRequest {
  std::string PrefixKey = {}; ///< Key of the prompt prefix; empty: no affinity.
  /// Servers that a cache event said to hold the prefix. A hint that may be
  /// late or wrong: such a server is tried first, under the same load bound.
  std::vector<ServerId> PrefixHolders = {};
  std::vector<ServerId> Exclude = {}; ///< Servers this call already failed on.
  bool MayProbe = true; ///< It may be sent to a server that is being probed.
};

/// Why a server was chosen.
enum class ChoiceReason {
  Probe,    ///< To find out whether it has recovered.
  Affinity, ///< It probably holds the prompt prefix.
  Cheapest, ///< The cheaper of two drawn in the own data centre.
  Spill,    ///< Another data centre is quicker, or the own one has none.
  AllSick,  ///< All look sick, so none is put aside.
};

/// A chosen server.
struct Choice {
  std::size_t Index = 0; ///< Position in the views.
  ChoiceReason Reason = ChoiceReason::Cheapest;
};

/// Estimates the calls on each server, of this entry and all others, at \p now.
/// Calls of others are taken from the report; as it ages they move to the mean
/// of all servers, so that a server without fresh reports attracts no rush.
std::vector<double> estimateLoads(const std::vector<EndpointView> &views,
                                  const ChoiceOptions &options,
                                  Clock::time_point now);

/// Estimates the time in milliseconds until \p view would answer one more call
/// when it has \p load calls: network round trip and latency that grows with
/// the filling of its slots and with the calls that wait for one.
double estimateCost(const EndpointView &view, double load,
                    double typicalLatencyMs);

/// Chooses a server for \p request, or none when all are leaving or excluded.
/// When every server is put aside or silent, all take part. Call
/// reviewStanding before it and noteSent after it.
std::optional<Choice> chooseEndpoint(const std::vector<EndpointView> &views,
                                     const ChoiceRequest &request,
                                     const ChoiceOptions &options,
                                     Clock::time_point now, Rng &rng);

} // namespace greengagespar

#endif // GREENGAGESPAR_ROUTE_CHOOSE_H
