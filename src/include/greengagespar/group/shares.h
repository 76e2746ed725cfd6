/// \file
/// Uneven shares of an expert's tokens among its replicas. Shares are a part of
/// the expert map; a change of shares fetches no weights.
#ifndef GREENGAGESPAR_GROUP_SHARES_H
#define GREENGAGESPAR_GROUP_SHARES_H

#include "greengagespar/group/loads.h"
#include "greengagespar/group/placement.h"

namespace greengagespar {

/// Sets the shares of \p placement so that rank loads become nearly as even as
/// its slots allow. The function visits the experts in turn and splits the
/// tokens of each over its ranks by water-filling: given the loads of all other
/// experts, it fills its ranks up to one common load. The sum of squared rank
/// loads never rises. Precondition: \p placement is valid.
void fitShares(Placement &placement, const LoadTable &loads);

/// Returns the share of its expert's tokens that each slot of \p layer
/// computes, by rank then slot; 1 / replicas if the placement has no shares, 0
/// for an empty slot.
std::vector<double> layerShares(const Placement &placement, Layer layer);

} // namespace greengagespar

#endif // GREENGAGESPAR_GROUP_SHARES_H
