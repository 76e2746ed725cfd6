#include "drift.h"

#include <cmath>
#include <numbers>

namespace greengagespar::testing {

namespace {

constexpr double SecondsOfDay = 86400;

void jump(Drift &drift) {
  std::normal_distribution<double> normal(0, drift.Options.PopularitySpread);
  std::bernoulli_distribution half(0.5);
  for (double &it : drift.LogCos)
    if (half(drift.Random))
      it = normal(drift.Random);
}

double logPopularity(const Drift &drift, std::size_t i, std::size_t period) {
  if (drift.Options.Kind != DriftKind::SlowRotation)
    return drift.LogCos[i];
  double seconds = static_cast<double>(period) * drift.Options.PeriodSeconds;
  double angle = 2 * std::numbers::pi * seconds / SecondsOfDay;
  return std::cos(angle) * drift.LogCos[i] + std::sin(angle) * drift.LogSin[i];
}

std::vector<double> drawCounts(Drift &drift, double steps) {
  std::vector<double> counts(drift.Rates.size());
  for (std::size_t i = 0; i < counts.size(); ++i) {
    std::poisson_distribution<long> poisson(drift.Rates[i] * steps);
    counts[i] = static_cast<double>(poisson(drift.Random));
  }
  return counts;
}

} // namespace

std::string_view driftName(DriftKind kind) {
  switch (kind) {
  case DriftKind::SlowRotation:
    return "slow_rotation";
  case DriftKind::SuddenJump:
    return "sudden_jump";
  case DriftKind::NoiseOnly:
    return "noise_only";
  }
  return "unknown";
}

Drift makeDrift(const GroupShape &shape, const DriftOptions &options) {
  Drift drift{shape, options, std::mt19937_64(options.Seed), {}, {}, {}};
  std::normal_distribution<double> normal(0, options.PopularitySpread);
  std::size_t n = shape.Layers * shape.Experts;
  for (std::size_t i = 0; i < n; ++i) {
    drift.LogCos.push_back(normal(drift.Random));
    drift.LogSin.push_back(normal(drift.Random));
  }
  drift.Rates.resize(n);
  return drift;
}

void startPeriod(Drift &drift, std::size_t period) {
  const DriftOptions &options = drift.Options;
  bool third = period == options.Periods / 3;
  bool twoThirds = period == options.Periods * 2 / 3;
  if (options.Kind == DriftKind::SuddenJump && (third || twoThirds))
    jump(drift);
  std::normal_distribution<double> fluctuation(0, options.PeriodFluctuation);
  std::size_t n = drift.Shape.Experts;
  for (std::size_t l = 0; l < drift.Shape.Layers; ++l) {
    double sum = 0;
    for (std::size_t i = l * n; i < (l + 1) * n; ++i) {
      double log = logPopularity(drift, i, period);
      drift.Rates[i] = std::exp(log + fluctuation(drift.Random));
      sum += drift.Rates[i];
    }
    double tokens =
        options.TokensPerRankStep * static_cast<double>(drift.Shape.Ranks);
    for (std::size_t i = l * n; i < (l + 1) * n; ++i)
      drift.Rates[i] *= tokens / sum;
  }
}

std::vector<double> drawStep(Drift &drift) { return drawCounts(drift, 1); }

std::vector<double> drawPeriod(Drift &drift) {
  return drawCounts(drift,
                    drift.Options.PeriodSeconds / drift.Options.StepSeconds);
}

} // namespace greengagespar::testing
