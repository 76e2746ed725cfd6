/// \file
/// Seeded drift of expert popularity, for measurements of the planner.
#ifndef GREENGAGESPAR_TESTSUITE_MAP_DRIFT_H
#define GREENGAGESPAR_TESTSUITE_MAP_DRIFT_H

#include "greengagespar/group/shape.h"
#include <random>
#include <string_view>
#include <vector>

namespace greengagespar::testing {

/// How popularity changes.
enum class DriftKind {
  SlowRotation, ///< Turns through a day.
  SuddenJump,   ///< Half of the experts change at one and two thirds.
  NoiseOnly,    ///< Stays the same.
};

/// Returns the name used in reports.
std::string_view driftName(DriftKind kind);

/// What a drift is made of.
struct DriftOptions {
  DriftKind Kind = DriftKind::SlowRotation;
  std::size_t Periods = 96;
  double PeriodSeconds = 300;
  double StepSeconds = 0.074;
  double TokensPerRankStep = 512;  ///< Expert tokens of a rank and layer.
  double PopularitySpread = 0.6;   ///< Deviation of the log of popularity.
  double PeriodFluctuation = 0.03; ///< Deviation of the log, each period.
  std::uint64_t Seed = 1;
};

/// Popularity and its changes. Not thread safe.
struct Drift {
  GroupShape Shape;
  DriftOptions Options;
  std::mt19937_64 Random;
  std::vector<double> LogCos; ///< Log popularity at the start.
  std::vector<double> LogSin; ///< Log popularity a quarter of a day later.
  std::vector<double> Rates;  ///< Tokens a step, in the current period.
};

/// Makes a drift before its first period.
Drift makeDrift(const GroupShape &shape, const DriftOptions &options);

/// Starts period \p period: sets Rates.
void startPeriod(Drift &drift, std::size_t period);

/// Draws the counts of one step, by layer then expert.
std::vector<double> drawStep(Drift &drift);

/// Draws the counts of the whole current period.
std::vector<double> drawPeriod(Drift &drift);

} // namespace greengagespar::testing

#endif // GREENGAGESPAR_TESTSUITE_MAP_DRIFT_H
