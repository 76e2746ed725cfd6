#include "greengagespar/group/planner.h"

#include "greengagespar/group/layer_search.h"
#include "greengagespar/group/shares.h"
#include <algorithm>
#include <boost/math/distributions/normal.hpp>
#include <cmath>
#include <numeric>

namespace greengagespar {

namespace {

using detail::LayerSearch;
using detail::LayerStep;

// Over this skew new shares alone are not tried, to save planning time.
constexpr double MostSkewForShares = 1.2;

// Estimated times of one layer, in tokens.
struct LayerEstimate {
  double Slowest = 0;    // Largest estimated load of a rank.
  double SlowestLow = 0; // Without the bias of a maximum of noisy loads.
  double Mean = 0;       // Mean load of a rank.
  double Deviation = 0;  // Largest standard deviation of a rank's load.
};

std::vector<double> layerTokens(const LoadTable &loads, Layer layer) {
  std::vector<double> tokens(loads.Shape.Experts);
  for (std::size_t e = 0; e < tokens.size(); ++e)
    tokens[e] = loadOf(loads, layer, Expert(e)).Tokens;
  return tokens;
}

// Expected maximum of n standard normal variables (Blom 1958).
double expectedMaximum(std::size_t n) {
  if (n < 2)
    return 0;
  auto count = static_cast<double>(n);
  return boost::math::quantile(boost::math::normal(),
                               (count - 0.375) / (count + 0.25));
}

LayerEstimate estimateLayer(const LoadTable &loads, const Placement &placement,
                            Layer layer, double dispersion) {
  const GroupShape &shape = placement.Shape;
  double bias = expectedMaximum(shape.Ranks);
  std::vector<double> shares = layerShares(placement, layer);
  auto slots = layerSlots(placement, layer);
  LayerEstimate estimate;
  for (std::size_t r = 0; r < shape.Ranks; ++r) {
    double tokens = 0;
    double variance = 0;
    for (std::size_t s = 0; s < shape.SlotsPerLayer; ++s) {
      std::size_t i = r * shape.SlotsPerLayer + s;
      if (slots[i] == NoExpert)
        continue;
      const ExpertLoad &load = loadOf(loads, layer, slots[i]);
      tokens += load.Tokens * shares[i];
      variance += dispersion * load.Variance * shares[i] * shares[i];
    }
    double deviation = std::sqrt(variance);
    estimate.Slowest = std::max(estimate.Slowest, tokens);
    estimate.SlowestLow =
        std::max(estimate.SlowestLow, tokens - bias * deviation);
    estimate.Deviation = std::max(estimate.Deviation, deviation);
  }
  std::vector<double> tokens = layerTokens(loads, layer);
  estimate.Mean = std::accumulate(tokens.begin(), tokens.end(), 0.0) /
                  static_cast<double>(shape.Ranks);
  estimate.SlowestLow = std::max(estimate.SlowestLow, estimate.Mean);
  return estimate;
}

std::vector<LayerEstimate> estimateLayers(const LoadTable &loads,
                                          const Placement &placement) {
  double dispersion = dispersionOf(loads);
  std::vector<LayerEstimate> estimates;
  estimates.reserve(placement.Shape.Layers);
  for (std::size_t l = 0; l < placement.Shape.Layers; ++l)
    estimates.push_back(estimateLayer(loads, placement, Layer(l), dispersion));
  return estimates;
}

SkewEstimate skewOf(const std::vector<LayerEstimate> &layers,
                    double falseAlarm) {
  double slowest = 0;
  double low = 0;
  double mean = 0;
  double variance = 0;
  for (const LayerEstimate &it : layers) {
    slowest += it.Slowest;
    low += it.SlowestLow;
    mean += it.Mean;
    variance += it.Deviation * it.Deviation;
  }
  if (mean <= 0)
    return {};
  double z = boost::math::quantile(boost::math::normal(), 1 - falseAlarm);
  double lowest = (low - z * std::sqrt(variance)) / mean;
  return {slowest / mean, std::max(1.0, lowest)};
}

// A state on the way of a layer's greedy search.
struct Waypoint {
  std::size_t Steps = 0;   // Steps taken so far.
  std::size_t Fetches = 0; // Fetches of these steps.
  double Slowest = 0;      // Load of the slowest rank.
};

// The greedy search of one layer and how much of it the plan takes.
struct LayerPath {
  std::size_t LayerIndex = 0;
  LayerSearch Start;
  std::vector<LayerStep> Steps;
  std::vector<Waypoint> Waypoints; // The first one is the start.
  std::size_t Taken = 0;           // Index of the waypoint taken.
};

LayerPath searchLayer(const LoadTable &loads, const Placement &placement,
                      std::size_t layer, double limit, std::size_t maxFetches) {
  LayerPath path;
  path.LayerIndex = layer;
  path.Start = detail::makeLayerSearch(placement.Shape,
                                       layerSlots(placement, Layer(layer)),
                                       layerTokens(loads, Layer(layer)), limit);
  path.Waypoints.push_back({0, 0, detail::slowestLoad(path.Start)});
  LayerSearch search = path.Start;
  std::size_t fetches = 0;
  while (fetches < maxFetches && detail::slowestLoad(search) > search.Limit) {
    LayerStep step = detail::findStep(search);
    if (step.Gain <= 0)
      break;
    detail::applyStep(search, step);
    path.Steps.push_back(step);
    fetches += detail::fetchesOf(step);
    double slowest = detail::slowestLoad(search);
    if (slowest < path.Waypoints.back().Slowest)
      path.Waypoints.push_back({path.Steps.size(), fetches, slowest});
  }
  return path;
}

// A further waypoint of a path and the fall of step time for each fetch.
struct NextWaypoint {
  std::size_t Index = 0;
  double FallPerFetch = 0;
};

NextWaypoint bestNext(const LayerPath &path) {
  NextWaypoint best;
  const Waypoint &from = path.Waypoints[path.Taken];
  for (std::size_t i = path.Taken + 1; i < path.Waypoints.size(); ++i) {
    const Waypoint &to = path.Waypoints[i];
    double fall = (from.Slowest - to.Slowest) /
                  static_cast<double>(to.Fetches - from.Fetches);
    if (fall > best.FallPerFetch)
      best = {i, fall};
  }
  return best;
}

// Fetches of each rank, over all layers, while a plan is being put together.
struct Staging {
  std::vector<std::size_t> PerRank;
  std::uint64_t Bytes = 0;
};

// Adds the steps up to a waypoint if staging slots and bytes allow.
bool reserve(const LayerPath &path, std::size_t waypoint,
             const PlanLimits &limits, Staging &staging) {
  Staging next = staging;
  for (std::size_t i = path.Waypoints[path.Taken].Steps;
       i < path.Waypoints[waypoint].Steps; ++i) {
    const LayerStep &step = path.Steps[i];
    next.Bytes += detail::fetchesOf(step) * limits.ExpertBytes;
    if (++next.PerRank[step.OnRank] > limits.StagingSlots)
      return false;
    if (step.Exchange && ++next.PerRank[step.Partner] > limits.StagingSlots)
      return false;
  }
  if (next.Bytes > limits.MaxBytes)
    return false;
  staging = std::move(next);
  return true;
}

// Takes waypoints in falling order of gain until the slowest ranks' loads sum
// to no more than goal.
void choose(std::vector<LayerPath> &paths, double slowest, double goal,
            std::size_t ranks, const PlanLimits &limits) {
  Staging staging{std::vector<std::size_t>(ranks, 0), 0};
  std::vector<NextWaypoint> next;
  next.reserve(paths.size());
  for (const LayerPath &path : paths)
    next.push_back(bestNext(path));
  while (slowest > goal) {
    auto it = std::max_element(next.begin(), next.end(),
                               [](const auto &a, const auto &b) {
                                 return a.FallPerFetch < b.FallPerFetch;
                               });
    if (it == next.end() || it->FallPerFetch <= 0)
      return;
    LayerPath &path = paths[static_cast<std::size_t>(it - next.begin())];
    if (!reserve(path, it->Index, limits, staging)) {
      // Later waypoints hold these steps too, so none of them fits.
      path.Waypoints.resize(it->Index);
      *it = bestNext(path);
      continue;
    }
    slowest -=
        path.Waypoints[path.Taken].Slowest - path.Waypoints[it->Index].Slowest;
    path.Taken = it->Index;
    *it = bestNext(path);
  }
}

std::size_t slotIndex(const GroupShape &shape, std::size_t layer,
                      std::size_t rank) {
  return (layer * shape.Ranks + rank) * shape.SlotsPerLayer;
}

// Carries out one replacement; false when the rank holds no such expert.
bool replaceSlot(Placement &placement, const Move &move) {
  std::size_t start =
      slotIndex(placement.Shape, indexOf(move.InLayer), indexOf(move.OnRank));
  auto first = placement.Slots.begin() + static_cast<long>(start);
  auto last = first + static_cast<long>(placement.Shape.SlotsPerLayer);
  auto slot = std::find(first, last, move.Drop);
  if (slot == last)
    return false;
  *slot = move.Load;
  return true;
}

// Appends the replacements that turn one rank's slots in a layer into others.
void appendMoves(std::span<const Expert> before, std::span<const Expert> after,
                 Layer layer, Rank rank, std::vector<Move> &moves) {
  auto missing = [](std::span<const Expert> in, Expert e) {
    return std::find(in.begin(), in.end(), e) == in.end();
  };
  std::vector<Expert> dropped;
  for (Expert e : before)
    if (e == NoExpert || missing(after, e))
      dropped.push_back(e);
  for (Expert e : after) {
    if (e == NoExpert || !missing(before, e))
      continue;
    moves.push_back({layer, rank, dropped.back(), e});
    dropped.pop_back();
  }
}

void appendPath(const LayerPath &path, const GroupShape &shape,
                std::span<const Expert> before, std::vector<Move> &moves) {
  LayerSearch search = path.Start;
  for (std::size_t i = 0; i < path.Waypoints[path.Taken].Steps; ++i)
    detail::applyStep(search, path.Steps[i]);
  std::vector<Expert> after;
  for (std::size_t e : search.Slots)
    after.push_back(e == search.Experts ? NoExpert : Expert(e));
  std::size_t width = shape.SlotsPerLayer;
  for (std::size_t r = 0; r < shape.Ranks; ++r)
    appendMoves(before.subspan(r * width, width),
                std::span<const Expert>(after).subspan(r * width, width),
                Layer(path.LayerIndex), Rank(r), moves);
}

// Says whether the time saved within the horizon is over the cost: the share
// of step time lost while fetching, and the pause of the switch.
bool pays(const Plan &plan, const PlanLimits &limits) {
  double fall = plan.SkewBefore - plan.SkewAfter;
  double sure = std::min(fall, std::max(0.0, plan.SkewBeforeLow - 1));
  std::chrono::duration<double> horizon = limits.Horizon;
  std::chrono::duration<double> pause = limits.SwitchPause;
  double saved = horizon.count() * sure / plan.SkewBefore;
  double fetching =
      static_cast<double>(plan.Bytes) / limits.FetchBytesPerSecond;
  return saved > fetching * limits.FetchShare + pause.count();
}

// Finds replacements for even shares; shares are fitted to them afterwards.
std::vector<Move> findMoves(const LoadTable &loads, Placement placement,
                            const PlanLimits &limits) {
  placement.Shares.clear();
  std::vector<LayerEstimate> layers = estimateLayers(loads, placement);
  double slowest = 0;
  double mean = 0;
  std::vector<LayerPath> paths;
  // A layer gets no more than its share of the staging slots, which bounds the
  // search when all layers need many fetches.
  const GroupShape &shape = placement.Shape;
  std::size_t maxFetches = 1 + limits.StagingSlots * shape.Ranks / shape.Layers;
  for (std::size_t l = 0; l < layers.size(); ++l) {
    slowest += layers[l].Slowest;
    mean += layers[l].Mean;
    double limit = layers[l].Mean * limits.TargetSkew;
    if (layers[l].SlowestLow > limit)
      paths.push_back(searchLayer(loads, placement, l, limit, maxFetches));
  }
  choose(paths, slowest, limits.TargetSkew * mean, shape.Ranks, limits);
  std::vector<Move> moves;
  for (const LayerPath &path : paths)
    appendPath(path, shape, layerSlots(placement, Layer(path.LayerIndex)),
               moves);
  return moves;
}

// The placement after moves that findMoves returned, with fitted shares unless
// the engines know only even ones.
Placement afterMoves(const LoadTable &loads, const Placement &placement,
                     const std::vector<Move> &moves, const PlanLimits &limits) {
  Placement next = placement;
  next.Shares.clear();
  for (const Move &move : moves)
    replaceSlot(next, move);
  if (!limits.EvenShares)
    fitShares(next, loads);
  return next;
}

Plan withoutChange(Plan plan, const Placement &placement, PlanReason reason) {
  plan.Reason = reason;
  plan.Next = placement;
  plan.Moves.clear();
  plan.Bytes = 0;
  plan.SkewAfter = plan.SkewBefore;
  return plan;
}

} // namespace

std::string_view planReasonName(PlanReason reason) {
  switch (reason) {
  case PlanReason::TooFewCounts:
    return "too_few_counts";
  case PlanReason::WithinBound:
    return "within_bound";
  case PlanReason::WithinNoise:
    return "within_noise";
  case PlanReason::NoGain:
    return "no_gain";
  case PlanReason::DoesNotPay:
    return "does_not_pay";
  case PlanReason::SharesOnly:
    return "shares_only";
  case PlanReason::Moved:
    return "moved";
  }
  return "unknown";
}

SkewEstimate estimateSkew(const LoadTable &loads, const Placement &placement,
                          double falseAlarm) {
  return skewOf(estimateLayers(loads, placement), falseAlarm);
}

Plan planIncremental(const LoadTable &loads, const Placement &placement,
                     const PlanLimits &limits) {
  Plan plan;
  SkewEstimate skew = estimateSkew(loads, placement, limits.FalseAlarm);
  plan.SkewBefore = skew.Value;
  plan.SkewBeforeLow = skew.Low;
  if (loads.Periods < limits.MinPeriods)
    return withoutChange(plan, placement, PlanReason::TooFewCounts);
  if (skew.Value <= limits.TriggerSkew)
    return withoutChange(plan, placement, PlanReason::WithinBound);
  if (skew.Low <= limits.TriggerSkew)
    return withoutChange(plan, placement, PlanReason::WithinNoise);
  plan.Reason = PlanReason::SharesOnly;
  plan.SkewAfter = plan.SkewBefore;
  if (plan.SkewBefore <= MostSkewForShares && !limits.EvenShares) {
    plan.Next = afterMoves(loads, placement, {}, limits);
    plan.SkewAfter = estimateSkew(loads, plan.Next, limits.FalseAlarm).Value;
  }
  if (plan.SkewAfter > limits.TargetSkew) {
    plan.Moves = findMoves(loads, placement, limits);
    plan.Bytes = plan.Moves.size() * limits.ExpertBytes;
  }
  if (!plan.Moves.empty()) {
    plan.Reason = PlanReason::Moved;
    plan.Next = afterMoves(loads, placement, plan.Moves, limits);
    plan.SkewAfter = estimateSkew(loads, plan.Next, limits.FalseAlarm).Value;
  }
  if (plan.SkewAfter >= plan.SkewBefore)
    return withoutChange(plan, placement, PlanReason::NoGain);
  if (!pays(plan, limits))
    return withoutChange(plan, placement, PlanReason::DoesNotPay);
  return plan;
}

Result<Placement> applyMoves(const Placement &placement,
                             const std::vector<Move> &moves) {
  Placement next = placement;
  next.Shares.clear();
  for (const Move &move : moves)
    if (!replaceSlot(next, move))
      return fail(ErrorKind::Conflict, "the rank holds no such expert to drop");
  if (!isWhole(next))
    return fail(ErrorKind::Conflict, "the moves leave an expert out");
  return next;
}

} // namespace greengagespar
