/// \file
/// Schedule of fetches at limited rates: when each rank fetches which expert's
/// weights, from the weight store or from a peer rank. Pure functions, thread
/// safe.
#ifndef GREENGAGESPAR_GROUP_PACING_H
#define GREENGAGESPAR_GROUP_PACING_H

#include "greengagespar/group/placement.h"
#include "greengagespar/group/planner.h"
#include <chrono>
#include <optional>
#include <vector>

namespace greengagespar {

/// Rate limits of fetches.
struct FetchLimits {
  std::uint64_t ExpertBytes = 20 << 20; ///< Weights of one expert of one layer.
  double StoreBytesPerSecond = 1e9;     ///< The store's rate for this group.
  double LinkBytesPerSecond = 25e9;     ///< A rank's link to peers, each way.
  /// Share of a rank's link that fetches may use, each way.
  /// A step that only waits for its link becomes longer by no more than this
  /// share.
  double LinkShare = 0.02;
};

/// One fetch of a schedule.
struct Fetch {
  Move ForMove;                           ///< The move that needs the fetch.
  std::optional<Rank> From;               ///< A peer; empty: weight store.
  std::chrono::duration<double> Start{0}; ///< From the schedule's start.
  std::chrono::duration<double> End{0};
};

/// Schedules the fetches of \p moves in their order. Each fetch uses the source
/// from which it ends first: the store, which serves one fetch at a time at its
/// rate, or a peer that holds the expert in \p placement. One fetch at a time
/// uses the link share of a peer or rank in each direction. If a peer and the
/// store end at the same time, the fetch uses the peer, since the store's rate
/// is shared with other groups.
/// Precondition: rates and share are over 0.
std::vector<Fetch> scheduleFetches(const std::vector<Move> &moves,
                                   const Placement &placement,
                                   const FetchLimits &limits);

} // namespace greengagespar

#endif // GREENGAGESPAR_GROUP_PACING_H
