/// \file
/// Greedy search for replacements in one layer; a part of the planner.
#ifndef GREENGAGESPAR_GROUP_LAYER_SEARCH_H
#define GREENGAGESPAR_GROUP_LAYER_SEARCH_H

#include "greengagespar/group/shape.h"
#include <cstdint>
#include <span>
#include <vector>

namespace greengagespar::detail {

/// The working state of one layer. Empty slots count as replicas of an expert
/// without tokens, whose index is one past the last expert. Not thread safe.
struct LayerSearch {
  std::size_t Ranks = 0;
  std::size_t Experts = 0;
  std::size_t Width = 0;          ///< Slots of a rank.
  std::vector<std::size_t> Slots; ///< Expert index, by rank then slot.
  std::vector<double> Tokens;     ///< By expert; 0 for the empty one.
  std::vector<std::vector<std::size_t>> Holders; ///< Ranks, by expert.
  std::vector<std::uint8_t> Holds;               ///< By rank then expert.
  std::vector<double> Load;                      ///< By rank.
  double Limit = 0;                  ///< Load up to which there is no excess.
  std::vector<std::size_t> Drops;    ///< Experts that may give up a replica.
  std::vector<std::size_t> Partners; ///< Ranks that may exchange a replica.
  std::size_t StepsSinceRefresh = 0; ///< Steps since both were chosen.
  std::size_t WideSearches = 0;      ///< Searches over all candidates so far.
};

/// Makes the state. \p limit is the load of a rank that needs no relief.
LayerSearch makeLayerSearch(const GroupShape &shape,
                            std::span<const Expert> slots,
                            std::span<const double> tokens, double limit);

/// One step: rank OnRank replaces Drop by Load; for an exchange, rank Partner
/// replaces Load by Drop as well.
struct LayerStep {
  std::size_t OnRank = 0;
  std::size_t Drop = 0;
  std::size_t Load = 0;
  bool Exchange = false;
  std::size_t Partner = 0; ///< Set for an exchange only.
  double Gain = 0;         ///< Fall of squared excess for each fetch.
};

/// Returns the number of fetches that \p step needs.
inline std::size_t fetchesOf(const LayerStep &step) {
  return step.Exchange ? 2 : 1;
}

/// Finds the step with the largest gain that relieves the slowest rank. Gain
/// is 0 when none helps. Candidates are chosen anew every few steps.
LayerStep findStep(LayerSearch &search);

/// Applies a step returned by findStep for the same state.
void applyStep(LayerSearch &search, const LayerStep &step);

/// Returns the load of the slowest rank.
double slowestLoad(const LayerSearch &search);

} // namespace greengagespar::detail

#endif // GREENGAGESPAR_GROUP_LAYER_SEARCH_H
