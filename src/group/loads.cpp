#include "greengagespar/group/loads.h"

#include <algorithm>
#include <cmath>

namespace greengagespar {

namespace {

// Median of the chi-squared distribution with one degree of freedom.
constexpr double ChiSquaredMedian = 0.4549364;

double medianOf(std::vector<double> values) {
  if (values.empty())
    return 0;
  auto middle = values.begin() + static_cast<long>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

// Returns the dispersion of these counts against those of the period before.
double periodDispersion(const LoadTable &table,
                        const std::vector<double> &counts) {
  std::vector<double> ratios;
  ratios.reserve(counts.size());
  for (std::size_t i = 0; i < counts.size(); ++i) {
    double sum = counts[i] + table.Loads[i].Last;
    double difference = counts[i] - table.Loads[i].Last;
    if (sum > 0)
      ratios.push_back(difference * difference / sum);
  }
  return medianOf(std::move(ratios)) / ChiSquaredMedian;
}

} // namespace

LoadTable makeLoadTable(const GroupShape &shape,
                        std::chrono::milliseconds halfLife) {
  LoadTable table;
  table.Shape = shape;
  table.HalfLife = halfLife;
  table.Loads.resize(shape.Layers * shape.Experts);
  return table;
}

void addPeriod(LoadTable &table, const std::vector<double> &counts,
               std::chrono::milliseconds period) {
  if (table.Periods > 0) {
    std::size_t slot = (table.Periods - 1) % DispersionWindow;
    table.Dispersions[slot] = periodDispersion(table, counts);
  }
  std::chrono::duration<double> length = period;
  std::chrono::duration<double> halfLife = table.HalfLife;
  double decay = std::exp2(-length / halfLife);
  for (std::size_t i = 0; i < counts.size(); ++i) {
    ExpertLoad &load = table.Loads[i];
    load.Tokens = decay * load.Tokens + counts[i];
    load.Variance = decay * decay * load.Variance + counts[i];
    load.Last = counts[i];
  }
  ++table.Periods;
}

double soundRanks(const LoadTable &table) {
  double sum = 0;
  for (std::size_t r = 0; r < table.Shape.Ranks; ++r)
    sum += 1 / slownessOf(table, r);
  return sum;
}

double dispersionOf(const LoadTable &table) {
  if (table.Periods < 2)
    return 1;
  std::size_t n = std::min(table.Periods - 1, DispersionWindow);
  std::vector<double> kept(table.Dispersions.begin(),
                           table.Dispersions.begin() + static_cast<long>(n));
  return std::max(1.0, medianOf(std::move(kept)));
}

} // namespace greengagespar
