/// \file
/// Measures the planner under seeded drift: the step-time skew and the bytes
/// moved by each rebalancing method, and the time of one plan. All methods see
/// the same counts, and their maps are in use from the start of the next
/// period. This favours the full re-pack, whose fetches take longest. The last
/// line is one JSON object. The pause of a switch and the recovery time need
/// real processes and are null.
#include "drift.h"
#include "greengagespar/group/planner.h"
#include <CLI/CLI.hpp>
#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <chrono>
#include <cmath>
#include <iostream>
#include <limits>
#include <numeric>
#include <vector>

using namespace greengagespar;
using namespace greengagespar::testing;

namespace {

// The first periods only provide the first placement and are not measured.
constexpr std::size_t WarmUpPeriods = 4;
constexpr GroupShape TargetShape{256, 64, 60, 2};
constexpr std::size_t StepsPerPeriod = 8;
// Number of groups, each with all popularities changed, that the time of a plan
// is measured with.
constexpr std::size_t PlanGroups = 5;
// Each plan is timed this often and the shortest time counts, because other
// programs may use the machine at the same time.
constexpr std::size_t TimingRepeats = 3;

enum Method : std::size_t {
  Never,
  FullRepack,
  Incremental,
  LowerBound,
  MethodCount
};

constexpr std::array<const char *, MethodCount> MethodNames = {
    "never", "full_repack", "ours", "lower_bound"};

// The results of one method under one drift.
struct MethodRecord {
  Placement Current;
  std::vector<double> Skews;
  std::uint64_t Bytes = 0;
  std::size_t Switches = 0;
};

using MethodRecords = std::array<MethodRecord, MethodCount>;

struct PlanTimes {
  double WorstMs = 0;
};

double elapsedMs(std::chrono::steady_clock::time_point since) {
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now() - since)
      .count();
}

Plan timedPlan(const LoadTable &loads, const Placement &placement,
               const PlanLimits &limits, PlanTimes &times) {
  Plan plan;
  double leastMs = std::numeric_limits<double>::max();
  for (std::size_t i = 0; i < TimingRepeats; ++i) {
    auto start = std::chrono::steady_clock::now();
    plan = planIncremental(loads, placement, limits);
    leastMs = std::min(leastMs, elapsedMs(start));
  }
  times.WorstMs = std::max(times.WorstMs, leastMs);
  return plan;
}

void switchTo(MethodRecord &record, Placement next, const PlanLimits &limits) {
  std::size_t fetches = countFetches(record.Current, next);
  record.Bytes += fetches * limits.ExpertBytes;
  ++record.Switches;
  record.Current = std::move(next);
}

void rebalance(MethodRecords &records, const LoadTable &loads,
               const PlanLimits &limits, PlanTimes &times) {
  switchTo(records[FullRepack], packLongestFirst(loads), limits);
  Plan plan = timedPlan(loads, records[Incremental].Current, limits, times);
  bool changes =
      plan.Reason == PlanReason::SharesOnly || plan.Reason == PlanReason::Moved;
  if (changes)
    switchTo(records[Incremental], std::move(plan.Next), limits);
}

void measureSteps(MethodRecords &records, Drift &drift) {
  for (std::size_t s = 0; s < StepsPerPeriod; ++s) {
    std::vector<double> tokens = drawStep(drift);
    for (std::size_t w = 0; w < LowerBound; ++w)
      records[w].Skews.push_back(stepSkew(records[w].Current, tokens));
    // With a perfectly divisible load the slowest rank equals the mean rank.
    records[LowerBound].Skews.push_back(1);
  }
}

MethodRecords runDrift(const GroupShape &shape, const DriftOptions &options,
                       const PlanLimits &limits, std::chrono::seconds halfLife,
                       PlanTimes &times) {
  Drift drift = makeDrift(shape, options);
  LoadTable loads = makeLoadTable(shape, halfLife);
  std::chrono::milliseconds length(
      static_cast<long>(options.PeriodSeconds * 1000));
  MethodRecords records;
  for (std::size_t p = 0; p < options.Periods; ++p) {
    startPeriod(drift, p);
    if (p >= WarmUpPeriods)
      measureSteps(records, drift);
    addPeriod(loads, drawPeriod(drift), length);
    if (p + 1 < WarmUpPeriods)
      continue;
    if (p + 1 == WarmUpPeriods)
      for (MethodRecord &it : records)
        it.Current = packLongestFirst(loads);
    rebalance(records, loads, limits, times);
  }
  return records;
}

double meanOf(const std::vector<double> &values) {
  return std::accumulate(values.begin(), values.end(), 0.0) /
         static_cast<double>(values.size());
}

double percentile99(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() * 99 / 100];
}

double rounded(double value) { return std::round(value * 1e4) / 1e4; }

// Returns the longest time of a plan at the target size after all popularities
// changed, in ms.
double measurePlan256(std::uint64_t seed, const PlanLimits &limits,
                      std::chrono::seconds halfLife) {
  GroupShape shape = TargetShape;
  PlanTimes times;
  for (std::size_t i = 0; i < PlanGroups; ++i) {
    LoadTable loads = makeLoadTable(shape, halfLife);
    DriftOptions options;
    options.Seed = seed + 2 * i;
    Drift before = makeDrift(shape, options);
    startPeriod(before, 0);
    addPeriod(loads, drawPeriod(before), std::chrono::seconds(300));
    Placement placement = packLongestFirst(loads);
    options.Seed = seed + 2 * i + 1;
    Drift after = makeDrift(shape, options);
    loads = makeLoadTable(shape, halfLife);
    for (std::size_t p = 0; p < limits.MinPeriods; ++p) {
      startPeriod(after, 0);
      addPeriod(loads, drawPeriod(after), std::chrono::seconds(300));
    }
    Plan plan = timedPlan(loads, placement, limits, times);
    std::cout << "plan after all changed: " << planReasonName(plan.Reason)
              << ", " << plan.Moves.size() << " moves, skew " << plan.SkewBefore
              << " to " << plan.SkewAfter << "\n";
  }
  return times.WorstMs;
}

} // namespace

int main(int argc, char **argv) {
  CLI::App app{"Measures the expert-map planner under seeded drift."};
  std::uint64_t seed = 1;
  GroupShape shape = TargetShape;
  DriftOptions options;
  PlanLimits limits;
  long halfLifeSeconds = 200;
  app.add_option("--seed", seed, "Seed of the drift");
  app.add_option("--ranks", shape.Ranks, "Ranks of the group");
  app.add_option("--experts", shape.Experts, "Experts of a layer");
  app.add_option("--layers", shape.Layers, "Layers with experts");
  app.add_option("--slots", shape.SlotsPerLayer, "Slots per rank and layer");
  app.add_option("--periods", options.Periods, "Periods of each drift");
  app.add_option("--fluctuation", options.PeriodFluctuation,
                 "Deviation of log popularity between periods");
  app.add_option("--trigger", limits.TriggerSkew, "Skew that starts a plan");
  app.add_option("--target", limits.TargetSkew, "Skew that a plan aims at");
  app.add_option("--half-life", halfLifeSeconds, "Half-life of counts, in s");
  CLI11_PARSE(app, argc, argv);
  options.Seed = seed;
  std::chrono::seconds halfLife(halfLifeSeconds);

  boost::json::object means;
  boost::json::object tails;
  boost::json::object moved;
  PlanTimes times;
  for (DriftKind kind :
       {DriftKind::SlowRotation, DriftKind::SuddenJump, DriftKind::NoiseOnly}) {
    options.Kind = kind;
    MethodRecords records = runDrift(shape, options, limits, halfLife, times);
    boost::json::object mean;
    boost::json::object tail;
    boost::json::object bytes;
    for (std::size_t w = 0; w < MethodCount; ++w) {
      const MethodRecord &it = records[w];
      mean[MethodNames[w]] = rounded(meanOf(it.Skews));
      tail[MethodNames[w]] = rounded(percentile99(it.Skews));
      bytes[MethodNames[w]] = it.Bytes;
      std::cout << driftName(kind) << " " << MethodNames[w] << ": skew mean "
                << meanOf(it.Skews) << ", p99 " << percentile99(it.Skews)
                << ", bytes " << it.Bytes << ", switches " << it.Switches
                << "\n";
    }
    means[driftName(kind)] = mean;
    tails[driftName(kind)] = tail;
    moved[driftName(kind)] = bytes;
  }
  double planMs = measurePlan256(seed, limits, halfLife);
  if (shape == TargetShape)
    planMs = std::max(planMs, times.WorstMs);
  std::cout << "worst plan under drift: " << times.WorstMs << " ms\n"
            << "switch_pause_p99_ms, recover_ms: need real processes, null\n";
  boost::json::object all{
      {"mixed_steps", nullptr}, {"switch_pause_p99_ms", nullptr},
      {"skew_mean", means},     {"skew_p99", tails},
      {"bytes_moved", moved},   {"plan_ms_256", rounded(planMs)},
      {"recover_ms", nullptr},  {"seed", seed}};
  std::cout << boost::json::serialize(all) << std::endl;
  return 0;
}
