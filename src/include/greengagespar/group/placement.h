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
/// tokens of an expert are split over its replicas by the map's shares. The
/// model leaves out the time outside of the experts, so the skew of a whole
/// step is no higher than the model's.
#ifndef GREENGAGESPAR_GROUP_PLACEMENT_H
#define GREENGAGESPAR_GROUP_PLACEMENT_H

#include "greengagespar/base/errors.h"
#include "greengagespar/group/loads.h"
#include "greengagespar/group/shape.h"
#include <span>
#include <vector>

namespace greengagespar {

/// Which expert each slot holds. Precondition of functions that accept one: it
/// is valid, which means that each expert of each layer is in at least one slot
/// and at most once on a rank.
struct Placement {
  GroupShape Shape;
  std::vector<Expert> Slots; ///< By layer, then rank, then slot.
  /// The part of its expert's tokens that each slot computes, in the order of
  /// Slots; the shares of one expert in one layer sum to 1. Empty: even shares.
  /// See shares.h.
  std::vector<double> Shares;

  bool operator==(const Placement &) const = default;
};

/// Returns the slots of \p layer, by rank then slot.
inline std::span<const Expert> layerSlots(const Placement &placement,
                                          Layer layer) {
  std::size_t n = slotsOfLayer(placement.Shape);
  return std::span(placement.Slots).subspan(indexOf(layer) * n, n);
}

/// Returns the number of replicas of each expert in \p layer.
std::vector<std::size_t> replicaCounts(const Placement &placement, Layer layer);

/// Returns whether the placement is valid: each expert has a replica in each
/// layer, and no rank holds an expert of a layer twice. Thread safe.
bool isValidPlacement(const Placement &placement);

/// Time of one layer in the step-time model, in tokens of the slowest rank and
/// in mean tokens of a rank.
struct LayerTime {
  double Slowest = 0;
  double Mean = 0;
};

/// Returns the time of \p layer for \p tokens, by expert.
LayerTime layerTime(const Placement &placement, Layer layer,
                    std::span<const double> tokens);

/// Returns the skew of a step with \p tokens, by layer then expert; 1 if there
/// are no tokens. Thread safe.
double stepSkew(const Placement &placement, std::span<const double> tokens);

/// Places all experts anew, without regard to an earlier placement. The
/// function assigns spare slots one at a time to the expert with the most
/// tokens per replica. It then places replicas in falling order of tokens on
/// the least loaded rank with a free slot (longest processing time first,
/// Graham 1969).
Placement packLongestFirst(const LoadTable &loads);

/// Returns the number of fetches that a switch from \p before to \p next needs:
/// the slots of \p next with an expert that the same rank does not hold in the
/// same layer in \p before. Precondition: equal shapes.
std::size_t countFetches(const Placement &before, const Placement &next);

/// Returns a placement without rank \p lost; the indices of the ranks after it
/// go down by one, and shares are even. An expert whose only replica was on the
/// lost rank gets an empty slot, if there is one, or else the slot of the
/// expert with the fewest tokens per replica among those with several replicas.
/// Error: Conflict if the remaining slots cannot hold all experts.
Result<Placement> placeWithout(const Placement &placement, Rank lost,
                               const LoadTable &loads);

} // namespace greengagespar

#endif // GREENGAGESPAR_GROUP_PLACEMENT_H
