/// \file
/// Seeded, simulated drift of expert popularity for measurements of the
/// planner.
#ifndef GREENGAGESPAR_TESTSUITE_MAP_DRIFT_H
#define GREENGAGESPAR_TESTSUITE_MAP_DRIFT_H

#include "greengagespar/group/shape.h"
#include <random>
#include <string_view>
#include <vector>

namespace greengagespar::testing {

/// How the popularity of experts changes over time.
enum class DriftKind {
  SlowRotation, ///< Rotates with a period of one day.
  SuddenJump,   ///< Half of the experts change, at 1/3 and 2/3 of the run.
  NoiseOnly,    ///< Popularity stays; only counts fluctuate.
};

/// Returns the name of \p kind in reports.
std::string_view driftName(DriftKind kind);

/// Parameters of a drift.
struct DriftOptions {
  DriftKind Kind = DriftKind::SlowRotation;
  std::size_t Periods = 96;
  double PeriodSeconds = 300;
  double StepSeconds = 0.074;
  double TokensPerRankStep = 512;  ///< Expert tokens of a rank and layer.
  double PopularitySpread = 0.6;   ///< Standard deviation of log popularity.
  double PeriodFluctuation = 0.03; ///< The same, added in each period.
  std::uint64_t Seed = 1;
};

/// The current popularity of all experts, by layer then expert. Not thread
/// safe.
struct Drift {
  GroupShape Shape;
  DriftOptions Options;
  std::mt19937_64 Random;
  std::vector<double> LogCos; ///< Log popularity at the start.
  std::vector<double> LogSin; ///< Log popularity a quarter of a day later.
  std::vector<double> Rates;  ///< Expected tokens per step in this period.
};

/// Returns a drift in its state before the first period.
Drift makeDrift(const GroupShape &shape, const DriftOptions &options);

/// Starts period \p period, counted from 0, and sets Rates for it.
void startPeriod(Drift &drift, std::size_t period);

/// Draws the token counts of one step, by layer then expert.
std::vector<double> drawStep(Drift &drift);

/// Draws the token counts of the whole current period, by layer then expert.
std::vector<double> drawPeriod(Drift &drift);

} // namespace greengagespar::testing

#endif // GREENGAGESPAR_TESTSUITE_MAP_DRIFT_H
