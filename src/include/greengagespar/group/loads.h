/// \file
/// Expert loads: exponentially decayed token counts of each expert, and the
/// sampling noise of these counts.
#ifndef GREENGAGESPAR_GROUP_LOADS_H
#define GREENGAGESPAR_GROUP_LOADS_H

#include "greengagespar/group/shape.h"
#include <array>
#include <chrono>
#include <vector>

namespace greengagespar {

/// Tokens sent to one expert of one layer.
struct ExpertLoad {
  double Tokens = 0;   ///< Decayed sum of the counts of all periods.
  double Variance = 0; ///< Variance of Tokens if counts were Poisson.
  double Last = 0;     ///< Count of the latest period.
};

/// Number of latest periods whose dispersions a LoadTable keeps.
inline constexpr std::size_t DispersionWindow = 5;

/// Loads of all experts of a group. Not thread safe while it is updated.
struct LoadTable {
  GroupShape Shape;
  /// The weight of a count halves in this time.
  std::chrono::milliseconds HalfLife{300000};
  std::vector<ExpertLoad> Loads; ///< By layer, then by expert.
  std::size_t Periods = 0;       ///< Periods added so far.
  /// Variance over mean of period counts, by period modulo DispersionWindow.
  std::array<double, DispersionWindow> Dispersions{};
  /// By rank, how many times as long as a sound rank it takes for a token, at
  /// least 1. Empty: all ranks are sound.
  std::vector<double> Slowness = {};
};

/// Returns the slowness of \p rank. Thread safe.
inline double slownessOf(const LoadTable &table, std::size_t rank) {
  return rank < table.Slowness.size() ? table.Slowness[rank] : 1;
}

/// Returns how many sound ranks compute as fast as all ranks of \p table
/// together. Thread safe.
double soundRanks(const LoadTable &table);

/// Returns a table without counts. Precondition: \p halfLife is over 0.
LoadTable makeLoadTable(const GroupShape &shape,
                        std::chrono::milliseconds halfLife);

/// Adds the token counts of one period of length \p period, by layer then by
/// expert. Older counts are multiplied by 2^(-period/HalfLife).
/// Precondition: as many counts as the shape has experts in all layers.
void addPeriod(LoadTable &table, const std::vector<double> &counts,
               std::chrono::milliseconds period);

/// Returns the load of \p expert in \p layer.
inline const ExpertLoad &loadOf(const LoadTable &table, Layer layer,
                                Expert expert) {
  return table.Loads[indexOf(layer) * table.Shape.Experts + indexOf(expert)];
}

/// Returns the dispersion of the counts of a period: variance over mean, at
/// least 1, the value of a Poisson distribution. It is the median over the last
/// DispersionWindow periods of the median over experts of (n1-n0)^2/(n1+n0),
/// divided by the median of the chi-squared distribution with one degree of
/// freedom; n0 and n1 are the counts of two successive periods. Their
/// difference cancels slow drift, and the outer median ignores one sudden jump.
double dispersionOf(const LoadTable &table);

} // namespace greengagespar

#endif // GREENGAGESPAR_GROUP_LOADS_H
