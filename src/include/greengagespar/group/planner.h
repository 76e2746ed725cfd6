/// \file
/// The incremental planner: it plans few fetches of expert weights that lower
/// step-time skew, see placement.h. It plans none if the skew may be sampling
/// noise or if the time saved is less than the cost. Pure functions, thread
/// safe.
#ifndef GREENGAGESPAR_GROUP_PLANNER_H
#define GREENGAGESPAR_GROUP_PLANNER_H

#include "greengagespar/group/loads.h"
#include "greengagespar/group/placement.h"
#include <chrono>
#include <cstdint>
#include <string_view>
#include <vector>

namespace greengagespar {

/// When the planner changes a map and how much it may change.
struct PlanLimits {
  /// The planner acts only if the lower confidence bound of the skew is over
  /// this.
  double TriggerSkew = 1.02;
  /// The planner adds no more moves once the predicted skew is at most this.
  double TargetSkew = 1.015;
  /// Probability that one plan acts on noise alone: over 0, below 1.
  double FalseAlarm = 0.001;
  std::size_t MinPeriods = 3; ///< Periods of counts needed for any plan.
  /// Maximum number of fetches of one rank in one plan.
  std::size_t StagingSlots = 32;
  /// Maximum number of those in one layer.
  std::size_t StagingSlotsPerLayer = SIZE_MAX;
  std::uint64_t MaxBytes = UINT64_MAX;  ///< Maximum bytes fetched in one plan.
  std::uint64_t ExpertBytes = 20 << 20; ///< Weights of one expert of one layer.
  double FetchBytesPerSecond = 2e9;     ///< Limited rate of all ranks together.
  double FetchShare = 0.02; ///< Share of step time lost while ranks fetch.
  std::chrono::milliseconds SwitchPause{74}; ///< Pause of one map switch.
  /// Time over which the planner counts the step time that a plan saves.
  std::chrono::seconds Horizon{900};
  /// If true, the engines can only split an expert's tokens evenly over its
  /// replicas.
  bool EvenShares = false;
};

/// One replacement: expert Load gets the slot of expert Drop. It needs one
/// fetch, unless it clears the slot.
struct Move {
  Layer InLayer{};
  Rank OnRank{};
  Expert Drop = NoExpert; ///< NoExpert: the slot was empty.
  Expert Load = NoExpert; ///< NoExpert: the slot becomes empty.

  bool operator==(const Move &) const = default;
};

/// The reason for the result of a plan.
enum class PlanReason {
  TooFewCounts, ///< Fewer periods than MinPeriods.
  WithinBound,  ///< Estimated skew is not over the trigger.
  WithinNoise,  ///< Over the trigger, but perhaps by sampling noise.
  NoGain,       ///< No allowed change lowers the skew.
  DoesNotPay,   ///< Time saved within the horizon is less than the cost.
  SharesOnly,   ///< New shares lower skew, without moves.
  Moved,        ///< The plan has moves.
};

/// Returns a stable name for logs and reports.
std::string_view planReasonName(PlanReason reason);

/// A plan: moves and shares to apply as one new map.
struct Plan {
  PlanReason Reason = PlanReason::WithinBound;
  std::vector<Move> Moves; ///< Empty: no weights are fetched.
  /// The map to switch to, with fitted shares; the present one if Reason says
  /// that there is no change.
  Placement Next;
  std::uint64_t Bytes = 0;  ///< Weights that the moves fetch.
  double SkewBefore = 1;    ///< Estimated from the counts as they are.
  double SkewBeforeLow = 1; ///< Lower confidence bound of SkewBefore.
  double SkewAfter = 1;     ///< Predicted for the same counts.
};

/// Estimated skew of a placement.
struct SkewEstimate {
  double Value = 1;
  double Low = 1; ///< Lower confidence bound.
};

/// Estimates the skew under decayed counts. The maximum of R noisy rank loads
/// with standard deviation s exceeds the true maximum on average by at most s
/// times the expected maximum of R standard normal variables (Blom's
/// approximation), and its variance is at most the largest s^2 (Borell-TIS
/// inequality). The lower bound subtracts both and assumes that layers are
/// independent. \p falseAlarm is the probability that the bound is over the
/// true skew.
SkewEstimate estimateSkew(const LoadTable &loads, const Placement &placement,
                          double falseAlarm);

/// Plans a change of shares alone if that brings the predicted skew to the
/// target, otherwise moves with new shares. In each layer a greedy search
/// picks, step by step, the replacement (one fetch) or exchange (two fetches)
/// at the slowest rank with the largest decrease, for each fetch, of the
/// squared excess of rank loads. Over all layers, the planner first uses the
/// steps with the largest decrease of step time for each fetch, until the
/// predicted skew is at the target. Precondition: \p placement is valid, shapes
/// are equal.
Plan planIncremental(const LoadTable &loads, const Placement &placement,
                     const PlanLimits &limits);

/// Returns \p placement after \p moves, applied in order, with even shares.
/// Error: Conflict if a rank does not hold the expert that a move drops, or if
/// the result is not valid.
Result<Placement> applyMoves(const Placement &placement,
                             const std::vector<Move> &moves);

} // namespace greengagespar

#endif // GREENGAGESPAR_GROUP_PLANNER_H
