/// \file
/// Greedy search for replacements of experts in one layer; a part of the
/// planner.
#ifndef GREENGAGESPAR_GROUP_LAYER_SEARCH_H
#define GREENGAGESPAR_GROUP_LAYER_SEARCH_H

#include "greengagespar/group/shape.h"
#include <cstdint>
#include <span>
#include <vector>

namespace greengagespar::detail {

/// The state of the search in one layer. An empty slot counts as a replica of
/// an extra expert without tokens, whose index is one past the last expert:
/// Experts. Not thread safe.
struct LayerSearch {
  std::size_t Ranks = 0;
  std::size_t Experts = 0;
  std::size_t SlotsPerRank = 0;
  std::vector<std::size_t> Slots; ///< Expert index, by rank then slot.
  std::vector<double> Tokens;     ///< By expert; 0 for the extra one.
  std::vector<std::vector<std::size_t>> Holders; ///< Ranks, by expert.
  /// 1 if the rank holds the expert, else 0; by rank then expert.
  std::vector<std::uint8_t> Holds;
  std::vector<double> Slowness; ///< By rank; see LoadTable::Slowness.
  /// Time of each rank, by rank: its tokens multiplied by its slowness.
  std::vector<double> Load;
  double Limit = 0; ///< Load of a rank up to which it has no excess.
  std::vector<std::size_t> DropCandidates; ///< Experts that may lose a replica.
  /// Ranks with which the slowest rank may exchange a replica.
  std::vector<std::size_t> ExchangeCandidates;
  /// Steps since the candidates were selected.
  std::size_t StepsSinceRefresh = 0;
  std::size_t FullSearches = 0; ///< Searches over all candidates so far.
};

/// Returns the state for \p slots, by rank then slot, \p tokens, by expert, and
/// \p slowness, by rank. A rank with a load of at most \p limit has no excess.
LayerSearch makeLayerSearch(const GroupShape &shape,
                            std::span<const Expert> slots,
                            std::span<const double> tokens,
                            std::span<const double> slowness, double limit);

/// One step of the search: rank OnRank replaces expert Drop by expert Load. In
/// an exchange, rank ExchangeRank replaces Load by Drop as well. If the step
/// clears a slot, Load is the extra expert.
struct LayerStep {
  std::size_t OnRank = 0;
  std::size_t Drop = 0;
  std::size_t Load = 0;
  bool Exchange = false;
  bool Clears = false;          ///< The slot of Drop becomes empty.
  std::size_t ExchangeRank = 0; ///< Meaningful for an exchange only.
  /// Decrease of the sum of squared excess loads, in tokens squared, for each
  /// fetch, or for a step without any; 0 if no step helps.
  double Gain = 0;
};

/// Returns the number of fetches that \p step needs.
inline std::size_t fetchesOf(const LayerStep &step) {
  if (step.Clears)
    return 0;
  return step.Exchange ? 2 : 1;
}

/// Finds the step with the largest gain that takes load off the slowest rank.
/// The gain is 0 if no step helps. Every few steps, the function selects the
/// candidates again.
LayerStep findStep(LayerSearch &search);

/// Applies a step that findStep() returned for the same state.
void applyStep(LayerSearch &search, const LayerStep &step);

/// Returns the load of the slowest rank, in tokens of a sound rank.
double slowestLoad(const LayerSearch &search);

} // namespace greengagespar::detail

#endif // GREENGAGESPAR_GROUP_LAYER_SEARCH_H
