/// \file
/// Pacing of fetches: when each rank fetches which expert's weights, from the
/// weight store or from a peer rank. Pure functions, thread safe.
#ifndef GREENGAGESPAR_GROUP_PACING_H
#define GREENGAGESPAR_GROUP_PACING_H

#include "greengagespar/group/placement.h"
#include "greengagespar/group/planner.h"
#include <chrono>
#include <optional>
#include <vector>

namespace greengagespar {

/// Rates that fetches keep to.
struct PaceLimits {
  std::uint64_t ExpertBytes = 20 << 20; ///< Weights of one expert, one layer.
  double StoreBytesPerSecond = 1e9;     ///< The store's rate for this group.
  double LinkBytesPerSecond = 25e9;     ///< A rank's link to its peers.
  /// Share of a rank's link that fetches may use, each way. A step that only
  /// waits for its link becomes longer by no more than this share.
  double LinkShare = 0.02;
};

/// One fetch of a schedule.
struct Fetch {
  Move ForMove;
  std::optional<Rank> From;               ///< A peer; empty: the weight store.
  std::chrono::duration<double> Start{0}; ///< Since the schedule's start.
  std::chrono::duration<double> End{0};
};

/// Schedules the fetches of a plan in its order. Each takes the source that
/// ends it first: the store, which serves one fetch at a time at its rate, or a
/// peer that holds the expert in \p placement, the peer's and the rank's link
/// share being in use by one fetch at a time. A peer is taken when equal, since
/// the store's rate is shared with other groups.
/// Precondition: rates and share are over 0.
std::vector<Fetch> paceFetches(const std::vector<Move> &moves,
                               const Placement &placement,
                               const PaceLimits &limits);

} // namespace greengagespar

#endif // GREENGAGESPAR_GROUP_PACING_H
