/// \file
/// The choice of a server for one call. Pure functions over EndpointView.
///
/// The entry draws a few servers at random and chooses the cheapest of them
/// (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", IEEE
/// TPDS 12(10), 2001). A choice by the least reported load would send the calls
/// of all entries to the same server while load reports lag. Calls with a
/// common prompt prefix go to the first server in the prefix's rendezvous order
/// whose load is within a bound (Mirrokni, Thorup and Zadimoghaddam,
/// "Consistent Hashing with Bounded Loads", SODA 2018).
#ifndef GREENGAGESPAR_ROUTE_CHOOSE_H
#define GREENGAGESPAR_ROUTE_CHOOSE_H

#include "greengagespar/route/endpoint_view.h"
#include "greengagespar/route/even_load.h"
#include <cstddef>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace greengagespar {

/// The random number generator for draws. Its owner seeds it.
using Rng = std::mt19937_64;

/// Parameters of the choice.
struct ChoiceOptions {
  /// Age at which the weight of a load report has fallen to one half.
  std::chrono::milliseconds ReportHalfLife{1000};
  /// Servers drawn at random; the cheapest of them is chosen.
  std::size_t Draws = 3;
  /// A server of the prefix is chosen only if its load is at most this many
  /// times the mean, plus one call.
  double AffinityLoadBound = 1.25;
  /// A server of the prefix is chosen only if its cost is at most this many
  /// times that of the cheapest server drawn.
  double AffinityCostBound = 1.5;
  /// Servers tried in the prefix's rendezvous order before the call goes to
  /// the cheapest server drawn.
  std::size_t AffinityTries = 3;
  /// A server of another data centre is chosen when its cost is below this
  /// share of the cost of the server drawn in the entry's own data centre.
  double SpillCostShare = 0.7;
  /// Latency assumed when no healthy server has answered yet.
  std::chrono::milliseconds AssumedLatency{50};
  /// Set where this entry's own calls say little of the servers' loads: the
  /// healthy servers are drawn by drawEvenly().
  std::optional<EvenLoadOptions> Even = {};
};

/// One call that needs a server.
struct ChoiceRequest {
  /// Key of the prompt prefix; empty: no affinity.
  std::string PrefixKey = {};
  /// Servers that hold the prefix according to cache events. The list is a hint
  /// that may be delayed or wrong: these servers are tried first, under the
  /// same load bound.
  std::vector<ServerId> PrefixHolders = {};
  /// Servers on which the call already failed. They are avoided while there are
  /// others.
  std::vector<ServerId> Exclude = {};
  /// Class of the call by the tokens that it has produced.
  LengthClass Length = LengthClass::Short;
  /// Mean time for which a call occupies a slot, as Admission measures it.
  std::chrono::milliseconds MeanCall{500};
  /// The call may be sent to a server that is being probed.
  bool MayProbe = true;
};

/// Why a server was chosen.
enum class ChoiceReason {
  Probe,    ///< The call probes whether the server has recovered.
  Affinity, ///< The server probably holds the prompt prefix.
  Cheapest, ///< Cheapest server drawn in the entry's own data centre.
  Spill,    ///< Another data centre is cheaper, or the own one has no server.
  AllUnhealthy, ///< No server is healthy, so every server takes part.
  EvenLoad,     ///< Drawn by drawEvenly().
};

/// A chosen server.
struct Choice {
  std::size_t Index = 0; ///< Index into the views.
  ChoiceReason Reason = ChoiceReason::Cheapest;
};

/// Estimates the calls of all entries on each server at \p now. When servers
/// differ in the calls of other entries, this entry compensates only its own
/// share of the difference, because the other entries see and compensate it
/// too. As a report ages, the estimate of its server approaches the mean of all
/// servers, so that the entries don't all send calls to a server without fresh
/// reports.
std::vector<double> estimateLoads(const std::vector<EndpointView> &views,
                                  const ChoiceOptions &options,
                                  Clock::time_point now);

/// Typical times, in milliseconds, from which estimateCost() computes a cost.
struct TypicalTimes {
  /// Latency assumed for servers that have not answered yet.
  double LatencyMs = 0;
  double CallMs = 0; ///< Mean time for which a call occupies a slot.
};

/// Estimates the delay in milliseconds of one more call on \p view when the
/// server has \p load calls: the network round trip, a latency that grows as
/// the slots fill, and the wait for a slot when all are occupied.
double estimateCost(const EndpointView &view, double load,
                    const TypicalTimes &typical);

/// Returns the name of \p reason in logs.
std::string_view nameOf(ChoiceReason reason);

/// Returns the sum of the limits and calls of the healthy servers, or of all
/// servers that are not leaving when none of them is healthy.
Capacity capacityOf(const std::vector<EndpointView> &views);

/// Chooses a server for \p request, or none when all servers are leaving or at
/// this entry's limit of calls or rate. When every server is ejected or
/// unresponsive, all of them take part. Update the health states of \p views
/// before this function, and record the call as sent after it.
std::optional<Choice> chooseEndpoint(const std::vector<EndpointView> &views,
                                     const ChoiceRequest &request,
                                     const ChoiceOptions &options,
                                     Clock::time_point now, Rng &rng);

} // namespace greengagespar

#endif // GREENGAGESPAR_ROUTE_CHOOSE_H
