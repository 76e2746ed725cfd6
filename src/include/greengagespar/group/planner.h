/// \file
/// The incremental planner: the fewest fetches of expert weights that bring
/// step-time skew down, and none for what may be sampling noise or does not
/// pay. Pure functions, thread safe.
#ifndef GREENGAGESPAR_GROUP_PLANNER_H
#define GREENGAGESPAR_GROUP_PLANNER_H

#include "greengagespar/group/loads.h"
#include "greengagespar/group/placement.h"
#include <chrono>
#include <cstdint>
#include <string_view>
#include <vector>

namespace greengagespar {

/// What the planner may do and when it acts.
struct PlanLimits {
  double TriggerSkew = 1.02;     ///< Acts only when skew is surely over this.
  double TargetSkew = 1.015;     ///< Stops once predicted skew is at most this.
  double FalseAlarm = 0.001;     ///< Chance to act on noise alone, each plan.
  std::size_t MinPeriods = 3;    ///< Counts needed before any plan.
  std::size_t StagingSlots = 32; ///< Fetches of one rank in one plan.
  std::uint64_t MaxBytes = UINT64_MAX;  ///< Bytes fetched in one plan.
  std::uint64_t ExpertBytes = 20 << 20; ///< Weights of one expert, one layer.
  double FetchBytesPerSecond = 2e9;     ///< All ranks together, paced.
  double FetchShare = 0.02; ///< Share of step time lost while fetching.
  std::chrono::milliseconds SwitchPause{74}; ///< Pause of one map switch.
  std::chrono::seconds Horizon{900};         ///< How long a gain is counted.
  bool EvenShares = false; ///< The engines split an expert's tokens evenly.
};

/// One replacement: \p Load takes the slot of \p Drop. Needs one fetch.
struct Move {
  Layer InLayer{};
  Rank OnRank{};
  Expert Drop = NoExpert; ///< NoExpert: the slot was empty.
  Expert Load = NoExpert;

  bool operator==(const Move &) const = default;
};

/// Why a plan is as it is.
enum class PlanReason {
  TooFewCounts, ///< Fewer periods than MinPeriods.
  WithinBound,  ///< Estimated skew is not over the trigger.
  WithinNoise,  ///< Over the trigger, but that may be sampling noise.
  NoGain,       ///< No allowed change lowers the skew.
  DoesNotPay,   ///< Time saved within the horizon is less than the cost.
  SharesOnly,   ///< New shares bring skew to the target; no moves.
  Moved,        ///< The plan has moves.
};

/// Returns a stable name for logs and reports.
std::string_view planReasonName(PlanReason reason);

/// A plan: moves to apply as one new map.
struct Plan {
  PlanReason Reason = PlanReason::WithinBound;
  std::vector<Move> Moves;
  Placement Next; ///< The map to switch to, with fitted shares.
  std::uint64_t Bytes = 0;
  double SkewBefore = 1;    ///< Estimated from the counts as they are.
  double SkewBeforeLow = 1; ///< Lower confidence bound of SkewBefore.
  double SkewAfter = 1;     ///< Predicted for the same counts.
};

/// Estimated skew of a placement and its lower confidence bound.
struct SkewEstimate {
  double Value = 1;
  double Low = 1;
};

/// Estimates the skew under decayed counts. The maximum of R noisy rank loads
/// with deviation s is on average over the true maximum by at most s times the
/// expected maximum of R standard normal variables (Blom's approximation), and
/// its variance is at most the largest s^2 (Borell-TIS inequality). Both are
/// taken off for the lower bound, layers being taken as independent;
/// \p falseAlarm is the chance that the bound is over the true skew.
SkewEstimate estimateSkew(const LoadTable &loads, const Placement &placement,
                          double falseAlarm);

/// Plans a change of shares alone if that brings predicted skew to the target,
/// otherwise moves with new shares. Greedy in each layer: the replacement (one
/// fetch) or exchange (two fetches) at the slowest rank with the largest fall,
/// for each fetch, of the squared excess of rank loads. Over layers: those with
/// the largest fall of step time for each fetch come first, until predicted
/// skew is at target. Precondition: \p placement is whole, shapes are equal.
Plan planIncremental(const LoadTable &loads, const Placement &placement,
                     const PlanLimits &limits);

/// Applies \p moves in order; the result has even shares. Error: Conflict when
/// a move does not fit the placement.
Result<Placement> applyMoves(const Placement &placement,
                             const std::vector<Move> &moves);

} // namespace greengagespar

#endif // GREENGAGESPAR_GROUP_PLANNER_H
