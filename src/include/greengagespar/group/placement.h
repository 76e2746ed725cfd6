/// \file
/// Placement of experts, with replicas, on the ranks of a group, and the model
/// of step-time skew.
///
/// Step-time model: in each layer every rank waits for the slowest one, since
/// the exchange of tokens between ranks (all-to-all dispatch and combine of
/// expert parallelism, as in GShard and Switch Transformer) is a barrier. With
/// L(l,r) the tokens that rank r computes in layer l, a step takes
/// sum over l of max over r of L(l,r); with perfect balance it takes
/// sum over l of mean over r of L(l,r). Skew is their ratio, at least 1. The
/// tokens of an expert are split over its replicas by the map's shares. Time
/// outside of the experts is left out, so the skew of a whole step is no
/// higher.
#ifndef GREENGAGESPAR_GROUP_PLACEMENT_H
#define GREENGAGESPAR_GROUP_PLACEMENT_H

#include "greengagespar/base/errors.h"
#include "greengagespar/group/loads.h"
#include "greengagespar/group/shape.h"
#include <span>
#include <vector>

namespace greengagespar {

/// Which expert each slot holds. Precondition where one is taken: each expert
/// of each layer is in at least one slot and at most once on a rank.
struct Placement {
  GroupShape Shape;
  std::vector<Expert> Slots; ///< By layer, then rank, then slot.
  /// The part of its expert's tokens that each slot computes; those of one
  /// expert sum to 1. Empty: even parts. See shares.h.
  std::vector<double> Shares;

  bool operator==(const Placement &) const = default;
};

/// Returns the slots of \p layer, by rank then slot.
inline std::span<const Expert> layerSlots(const Placement &placement,
                                          Layer layer) {
  std::size_t n = slotsOfLayer(placement.Shape);
  return std::span(placement.Slots).subspan(indexOf(layer) * n, n);
}

/// Returns the replicas of each expert in \p layer.
std::vector<std::size_t> replicaCounts(const Placement &placement, Layer layer);

/// Says whether each expert has a replica in each layer and no rank holds an
/// expert twice. Thread safe.
bool isWhole(const Placement &placement);

/// Tokens of the slowest rank and of the mean rank in one layer.
struct LayerTime {
  double Slowest = 0;
  double Mean = 0;
};

/// Returns the times of \p layer for \p tokens of each of its experts.
LayerTime layerTime(const Placement &placement, Layer layer,
                    std::span<const double> tokens);

/// Returns the skew of a step with \p tokens by layer then expert; 1 when
/// there are no tokens. Thread safe.
double stepSkew(const Placement &placement, std::span<const double> tokens);

/// Places all experts anew. Spare slots go, one at a time, to the expert with
/// the most tokens per replica; replicas are then placed in falling order of
/// tokens on the least loaded rank with a free slot (longest processing time
/// first, Graham 1969). Takes no notice of an earlier placement.
Placement packLongestFirst(const LoadTable &loads);

/// Returns how many slots of \p next hold an expert that the same rank did not
/// hold in the same layer in \p before: the weights that a switch must fetch.
/// Precondition: equal shapes.
std::size_t countFetches(const Placement &before, const Placement &next);

/// Re-forms a placement without rank \p lost; ranks after it move down by one.
/// An expert whose only replica was there takes the slot of the expert with
/// the fewest tokens per replica among those with several. Error: Conflict
/// when the remaining slots can't hold all experts.
Result<Placement> placeWithout(const Placement &placement, Rank lost,
                               const LoadTable &loads);

} // namespace greengagespar

#endif // GREENGAGESPAR_GROUP_PLACEMENT_H
