/// \file
/// The choice of a server for one call. Pure functions over EndpointView.
///
/// A few servers are drawn at random and the cheapest is taken (Mitzenmacher,
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
  std::chrono::milliseconds ReportHalfLife{1000};
  /// Servers drawn at random, of which the cheapest is taken.
  std::size_t Draws = 3;
  /// Bound of a prefix's servers: load at most this many times the mean.
  double AffinityLoadBound = 1.25;
  /// Bound of the same: cost at most this many times that of the cheapest
  /// drawn.
  double AffinityCostBound = 1.5;
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
  /// Servers that the call already failed on, avoided while there are others.
  std::vector<ServerId> Exclude = {};
  LengthClass Length = LengthClass::Short; ///< By the tokens it has produced.
  /// Mean time that a call occupies a slot, as Admission measures it.
  std::chrono::milliseconds MeanCall{500};
  bool MayProbe = true; ///< It may be sent to a server that is being probed.
};

/// Why a server was chosen.
enum class ChoiceReason {
  Probe,    ///< To find out whether it has recovered.
  Affinity, ///< It probably holds the prompt prefix.
  Cheapest, ///< The cheapest drawn in the own data centre.
  Spill,    ///< Another data centre is quicker, or the own one has none.
  AllSick,  ///< All look sick, so none is put aside.
};

/// A chosen server.
struct Choice {
  std::size_t Index = 0; ///< Position in the views.
  ChoiceReason Reason = ChoiceReason::Cheapest;
};

/// Estimates the calls on each server, of this entry and all others, at \p now.
/// Of a difference between servers in the calls of others an entry levels out
/// its own share of all calls, since the other entries see it too and do the
/// same. As a report ages its server moves to the mean of all, so that one
/// without fresh reports attracts no rush.
std::vector<double> estimateLoads(const std::vector<EndpointView> &views,
                                  const ChoiceOptions &options,
                                  Clock::time_point now);

/// Times in milliseconds that the cost of a choice is made of.
struct TypicalTimes {
  double LatencyMs = 0; ///< Latency of servers that have not answered yet.
  double CallMs = 0;    ///< Mean time that a call occupies a slot.
};

/// Estimates the time in milliseconds that one more call would lose on \p view
/// when it has \p load calls: the network round trip, latency that grows as its
/// slots fill, and the wait for a slot when they are full.
double estimateCost(const EndpointView &view, double load,
                    const TypicalTimes &typical);

/// Returns the slots behind a queue: limits and calls of the servers that take
/// calls now, or of all that are not leaving when every one of them looks sick.
Capacity capacityOf(const std::vector<EndpointView> &views);

/// Chooses a server for \p request, or none when all are leaving or at
/// this entry's limit.
/// When every server is put aside or silent, all take part. Call
/// reviewStanding before it and noteSent after it.
std::optional<Choice> chooseEndpoint(const std::vector<EndpointView> &views,
                                     const ChoiceRequest &request,
                                     const ChoiceOptions &options,
                                     Clock::time_point now, Rng &rng);

} // namespace greengagespar

#endif // GREENGAGESPAR_ROUTE_CHOOSE_H
