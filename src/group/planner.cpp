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

// The planner does not try new shares alone if the skew is over this, to save
// planning time.
constexpr double MaxSkewForShares = 1.2;

// Estimated times of one layer, in tokens.
struct LayerEstimate {
  double Slowest = 0; // Largest estimated time of a rank.
  // Slowest, corrected for the bias of a maximum of noisy loads; at least Mean.
  double SlowestLow = 0;
  double Mean = 0;      // Time of each rank with perfect balance.
  double Deviation = 0; // Largest standard deviation of a rank's time.
};

std::vector<double> layerTokens(const LoadTable &loads, Layer layer) {
  std::vector<double> tokens(loads.Shape.Experts);
  for (std::size_t e = 0; e < tokens.size(); ++e)
    tokens[e] = loadOf(loads, layer, Expert(e)).Tokens;
  return tokens;
}

// Returns the expected maximum of n standard normal variables (Blom 1958).
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
    double slowness = slownessOf(loads, r);
    double time = slowness * tokens;
    double deviation = slowness * std::sqrt(variance);
    estimate.Slowest = std::max(estimate.Slowest, time);
    estimate.SlowestLow =
        std::max(estimate.SlowestLow, time - bias * deviation);
    estimate.Deviation = std::max(estimate.Deviation, deviation);
  }
  std::vector<double> tokens = layerTokens(loads, layer);
  estimate.Mean =
      std::accumulate(tokens.begin(), tokens.end(), 0.0) / soundRanks(loads);
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

// The first steps of a layer's greedy search, which a plan may use without the
// rest.
struct StepPrefix {
  std::size_t Steps = 0;   // Number of steps.
  std::size_t Fetches = 0; // Fetches of these steps.
  double Slowest = 0;      // Load of the slowest rank after these steps.
};

// The greedy search of one layer and the part of it that the plan uses.
struct LayerSearchResult {
  std::size_t LayerIndex = 0;
  LayerSearch Start;
  std::vector<LayerStep> Steps;
  // Prefixes of Steps, each with a lower load of the slowest rank than the one
  // before. The first one has no steps.
  std::vector<StepPrefix> Prefixes;
  std::size_t Chosen = 0; // Index of the prefix that the plan uses.
};

// Searches one layer until no rank's load is over limit, no step helps or the
// steps need maxFetches fetches.
LayerSearchResult searchLayer(const LoadTable &loads,
                              const Placement &placement, std::size_t layer,
                              double limit, std::size_t maxFetches) {
  LayerSearchResult result;
  result.LayerIndex = layer;
  std::vector<double> slowness(placement.Shape.Ranks, 1);
  for (std::size_t r = 0; r < slowness.size(); ++r)
    slowness[r] = slownessOf(loads, r);
  result.Start = detail::makeLayerSearch(
      placement.Shape, layerSlots(placement, Layer(layer)),
      layerTokens(loads, Layer(layer)), slowness, limit);
  result.Prefixes.push_back({0, 0, detail::slowestLoad(result.Start)});
  LayerSearch search = result.Start;
  std::size_t fetches = 0;
  while (fetches < maxFetches && detail::slowestLoad(search) > search.Limit) {
    LayerStep step = detail::findStep(search);
    if (step.Gain <= 0)
      break;
    detail::applyStep(search, step);
    result.Steps.push_back(step);
    fetches += detail::fetchesOf(step);
    double slowest = detail::slowestLoad(search);
    if (slowest < result.Prefixes.back().Slowest)
      result.Prefixes.push_back({result.Steps.size(), fetches, slowest});
  }
  return result;
}

// A longer prefix than the chosen one, and the decrease of the slowest rank's
// load for each further fetch.
struct NextPrefix {
  std::size_t Index = 0;
  double FallPerFetch = 0;
};

// Returns the longer prefix with the largest decrease for each fetch; the
// decrease is 0 if there is none.
NextPrefix bestNextPrefix(const LayerSearchResult &result) {
  NextPrefix best;
  const StepPrefix &from = result.Prefixes[result.Chosen];
  for (std::size_t i = result.Chosen + 1; i < result.Prefixes.size(); ++i) {
    const StepPrefix &to = result.Prefixes[i];
    std::size_t fetches = std::max<std::size_t>(1, to.Fetches - from.Fetches);
    double fall = (from.Slowest - to.Slowest) / static_cast<double>(fetches);
    if (fall > best.FallPerFetch)
      best = {i, fall};
  }
  return best;
}

// Fetches of each rank over all layers, while the planner chooses steps.
struct Staging {
  std::vector<std::size_t> PerRank;
  std::uint64_t Bytes = 0;
};

// Counts a fetch of rank. Returns false if there are more than most.
bool countFetch(std::vector<std::size_t> &fetches, std::size_t rank,
                std::size_t most) {
  return ++fetches[rank] <= most;
}

// Returns whether no rank has more fetches in the layer than limits allow.
bool fitsLayer(const LayerSearchResult &result, std::size_t prefix,
               const PlanLimits &limits) {
  std::vector<std::size_t> fetches(result.Start.Ranks, 0);
  std::size_t most = limits.StagingSlotsPerLayer;
  for (std::size_t i = 0; i < result.Prefixes[prefix].Steps; ++i) {
    const LayerStep &step = result.Steps[i];
    if (step.Clears)
      continue;
    if (!countFetch(fetches, step.OnRank, most) ||
        (step.Exchange && !countFetch(fetches, step.ExchangeRank, most)))
      return false;
  }
  return true;
}

// Adds the further fetches of a prefix to staging. Returns false and adds none
// if there are too few staging slots or bytes.
bool reserveStaging(const LayerSearchResult &result, std::size_t prefix,
                    const PlanLimits &limits, Staging &staging) {
  if (!fitsLayer(result, prefix, limits))
    return false;
  Staging next = staging;
  for (std::size_t i = result.Prefixes[result.Chosen].Steps;
       i < result.Prefixes[prefix].Steps; ++i) {
    const LayerStep &step = result.Steps[i];
    if (step.Clears)
      continue;
    next.Bytes += detail::fetchesOf(step) * limits.ExpertBytes;
    std::size_t most = limits.StagingSlots;
    if (!countFetch(next.PerRank, step.OnRank, most) ||
        (step.Exchange && !countFetch(next.PerRank, step.ExchangeRank, most)))
      return false;
  }
  if (next.Bytes > limits.MaxBytes)
    return false;
  staging = std::move(next);
  return true;
}

// Chooses prefixes in falling order of decrease for each fetch until the loads
// of the slowest ranks of all layers sum to no more than goal.
void choosePrefixes(std::vector<LayerSearchResult> &results, double slowest,
                    double goal, std::size_t ranks, const PlanLimits &limits) {
  Staging staging{std::vector<std::size_t>(ranks, 0), 0};
  std::vector<NextPrefix> next;
  next.reserve(results.size());
  for (const LayerSearchResult &result : results)
    next.push_back(bestNextPrefix(result));
  while (slowest > goal) {
    auto it = std::max_element(next.begin(), next.end(),
                               [](const auto &a, const auto &b) {
                                 return a.FallPerFetch < b.FallPerFetch;
                               });
    if (it == next.end() || it->FallPerFetch <= 0)
      return;
    LayerSearchResult &result =
        results[static_cast<std::size_t>(it - next.begin())];
    if (!reserveStaging(result, it->Index, limits, staging)) {
      // Longer prefixes contain these steps too, so none of them fits.
      result.Prefixes.resize(it->Index);
      *it = bestNextPrefix(result);
      continue;
    }
    slowest -= result.Prefixes[result.Chosen].Slowest -
               result.Prefixes[it->Index].Slowest;
    result.Chosen = it->Index;
    *it = bestNextPrefix(result);
  }
}

std::size_t slotIndex(const GroupShape &shape, std::size_t layer,
                      std::size_t rank) {
  return (layer * shape.Ranks + rank) * shape.SlotsPerLayer;
}

// Performs one replacement. Returns false if the rank does not hold the expert
// to drop.
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

// Appends the replacements that change the slots of one rank in a layer from
// before to after. Slots are cleared only if `clears` is set; those
// replacements come last.
void appendMoves(std::span<const Expert> before, std::span<const Expert> after,
                 Layer layer, Rank rank, std::vector<Move> &moves,
                 bool clears) {
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
  for (Expert e : dropped)
    if (clears && e != NoExpert)
      moves.push_back({layer, rank, e, NoExpert});
}

// Appends the replacements of the chosen prefix of a layer.
void appendLayerMoves(const LayerSearchResult &result, const GroupShape &shape,
                      std::span<const Expert> before,
                      std::vector<Move> &moves) {
  LayerSearch search = result.Start;
  for (std::size_t i = 0; i < result.Prefixes[result.Chosen].Steps; ++i)
    detail::applyStep(search, result.Steps[i]);
  std::vector<Expert> after;
  for (std::size_t e : search.Slots)
    after.push_back(e == search.Experts ? NoExpert : Expert(e));
  std::size_t width = shape.SlotsPerLayer;
  for (std::size_t r = 0; r < shape.Ranks; ++r)
    appendMoves(before.subspan(r * width, width),
                std::span<const Expert>(after).subspan(r * width, width),
                Layer(result.LayerIndex), Rank(r), moves,
                result.Start.Slowness[r] > 1);
}

// Returns whether the time saved within the horizon is over the cost: the share
// of step time lost while ranks fetch, and the pause of the switch.
bool savesTime(const Plan &plan, const PlanLimits &limits) {
  double fall = plan.SkewBefore - plan.SkewAfter;
  double certainFall = std::min(fall, std::max(0.0, plan.SkewBeforeLow - 1));
  std::chrono::duration<double> horizon = limits.Horizon;
  std::chrono::duration<double> pause = limits.SwitchPause;
  double saved = horizon.count() * certainFall / plan.SkewBefore;
  double fetching =
      static_cast<double>(plan.Bytes) / limits.FetchBytesPerSecond;
  return saved > fetching * limits.FetchShare + pause.count();
}

// Returns the replacements that are best with even shares. The caller fits the
// shares to them afterwards.
std::vector<Move> findMoves(const LoadTable &loads, Placement placement,
                            const PlanLimits &limits) {
  placement.Shares.clear();
  std::vector<LayerEstimate> layers = estimateLayers(loads, placement);
  double slowest = 0;
  double mean = 0;
  std::vector<LayerSearchResult> results;
  // The search of a layer uses no more than the layer's share of the staging
  // slots, which limits planning time if all layers need many fetches.
  const GroupShape &shape = placement.Shape;
  std::size_t maxFetches = 1 + limits.StagingSlots * shape.Ranks / shape.Layers;
  for (std::size_t l = 0; l < layers.size(); ++l) {
    slowest += layers[l].Slowest;
    mean += layers[l].Mean;
    double limit = layers[l].Mean * limits.TargetSkew;
    if (layers[l].SlowestLow > limit)
      results.push_back(searchLayer(loads, placement, l, limit, maxFetches));
  }
  choosePrefixes(results, slowest, limits.TargetSkew * mean, shape.Ranks,
                 limits);
  std::vector<Move> moves;
  for (const LayerSearchResult &result : results)
    appendLayerMoves(result, shape,
                     layerSlots(placement, Layer(result.LayerIndex)), moves);
  return moves;
}

// Returns the placement after moves that findMoves() returned, with fitted
// shares unless the engines support only even ones.
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

// Returns how many of the moves fetch weights.
std::size_t fetchesOf(const std::vector<Move> &moves) {
  return static_cast<std::size_t>(std::ranges::count_if(
      moves, [](const Move &it) { return it.Load != NoExpert; }));
}

// Returns a plan that keeps the placement, for this reason.
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
  if (plan.SkewBefore <= MaxSkewForShares && !limits.EvenShares) {
    plan.Next = afterMoves(loads, placement, {}, limits);
    plan.SkewAfter = estimateSkew(loads, plan.Next, limits.FalseAlarm).Value;
  }
  if (plan.SkewAfter > limits.TargetSkew) {
    plan.Moves = findMoves(loads, placement, limits);
    plan.Bytes = fetchesOf(plan.Moves) * limits.ExpertBytes;
  }
  if (!plan.Moves.empty()) {
    plan.Reason = PlanReason::Moved;
    plan.Next = afterMoves(loads, placement, plan.Moves, limits);
    plan.SkewAfter = estimateSkew(loads, plan.Next, limits.FalseAlarm).Value;
  }
  if (plan.SkewAfter >= plan.SkewBefore)
    return withoutChange(plan, placement, PlanReason::NoGain);
  if (!savesTime(plan, limits))
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
  if (!isValidPlacement(next))
    return fail(
        ErrorKind::Conflict,
        "after the moves an expert has no replica or a rank holds one twice");
  return next;
}

} // namespace greengagespar
