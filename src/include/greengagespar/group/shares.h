/// \file
/// Uneven shares of an expert's tokens between its replicas. They are a part of
/// the expert map; changing them moves no weights.
#ifndef GREENGAGESPAR_GROUP_SHARES_H
#define GREENGAGESPAR_GROUP_SHARES_H

#include "greengagespar/group/loads.h"
#include "greengagespar/group/placement.h"

namespace greengagespar {

/// Sets the shares of \p placement so that rank loads become as even as its
/// slots allow. In turn, each expert's tokens are poured over its ranks up to
/// one level (water-filling), given the loads of all others; the sum of squared
/// rank loads falls with each turn. Precondition: \p placement is whole.
void fitShares(Placement &placement, const LoadTable &loads);

/// Returns the share of each slot's expert that the slot computes, by rank then
/// slot; 1 / replicas when the placement has no shares.
std::vector<double> layerShares(const Placement &placement, Layer layer);

} // namespace greengagespar

#endif // GREENGAGESPAR_GROUP_SHARES_H
