/// \file
/// The map switch as seen by the driver of a group and by a settler: a pure
/// state machine. Modelled as proctypes Driver and Settler in spec/map.pml.
///
/// Each ballot begins with a settlement: all ranks promise the ballot and
/// report. If a rank has taken a decision on an armed map, that one stands;
/// otherwise the map is cancelled. Only then may the holder of the lease
/// prepare, arm and decide a new map. A settler stops after the settlement.
/// Safety rests on the promises of all ranks, not on the lease or on clocks.
#ifndef GREENGAGESPAR_GROUP_DRIVER_H
#define GREENGAGESPAR_GROUP_DRIVER_H

#include "greengagespar/group/messages.h"
#include "greengagespar/group/rank.h"
#include <chrono>
#include <optional>
#include <variant>
#include <vector>

namespace greengagespar {

/// Bounds of a driver's waiting.
struct DriverLimits {
  std::chrono::milliseconds ResendAfter{20};       ///< Unanswered orders.
  std::chrono::milliseconds PrepareWithin{120000}; ///< Else cancelled.
  std::chrono::milliseconds ArmWithin{200};        ///< Else cancelled.
  std::chrono::milliseconds SilentAfter{1000}; ///< Else the group has failed.
  std::uint64_t StepsAhead = 3; ///< Armed step minus the current one.
  /// Numbers of maps are multiples of this; ranks may use those between.
  std::uint64_t MapStride = 1;
  /// Added to each multiple, so that two drivers never use one number.
  std::uint64_t MapSalt = 0;
  /// Numbers of maps are not lower: an order of an earlier driver that comes
  /// late must not prepare another map under the number of a later one.
  MapNumber FirstMap;
  /// The rank of the ballot's owner holds the step for the whole group: it is
  /// armed before any other, once all have shown that they don't stand still,
  /// and released after half of the others.
  bool OwnerHolds = false;
};

/// What a driver or settler is doing.
enum class DriverPhase {
  Settling,   ///< Asks all ranks.
  Steady,     ///< All ranks agree; a switch may start.
  Preparing,  ///< Ranks fetch weights.
  Confirming, ///< Asks all ranks again: one that stands still now is not armed.
  Arming,     ///< Ranks promise not to enter the step until told.
  Deciding,   ///< Ranks take the outcome, which no longer changes.
  Stopped,    ///< Gives no orders any more.
};

/// What a driver knows of a rank.
struct RankView {
  bool Answered = false;            ///< In this phase.
  std::optional<SteadyTime> SentAt; ///< Last order of this phase.
  RankReport Report;                ///< The latest one under the ballot.
};

/// The state of a driver or settler.
struct DriverState {
  Ballot Number;
  bool IsSettler = false;
  DriverLimits Limits;
  SteadyTime ActUntil{}; ///< End of the lease; unused by a settler.
  DriverPhase Phase = DriverPhase::Settling;
  SteadyTime PhaseSince{};
  SteadyTime HoldUntil{}; ///< Gives no order before; set after a refusal.
  std::vector<RankView> Ranks;
  MapNumber Map; ///< The map being switched to or settled.
  StepNumber Step;
  Decision Outcome = Decision::Cancel; ///< Set once for each Deciding phase.
  MapNumber HighestMap;                ///< Highest number heard of.
  bool FailureTold = false;            ///< GroupFailed was returned.
};

/// A report came from a rank.
struct ReportCame {
  RankReport Report;
};
/// The planner wants a new map. Ignored unless the phase is Steady.
struct SwitchWanted {};
/// The lease was renewed.
struct LeaseRenewed {
  SteadyTime ActUntil;
};
/// Time went on.
struct DriverTick {};
using DriverEvent =
    std::variant<ReportCame, SwitchWanted, LeaseRenewed, DriverTick>;

/// Send to the endpoint process of a rank.
struct SendOrder {
  MapOrder Order;
};
/// All ranks have taken the outcome.
struct SwitchEnded {
  MapNumber Map;
  Decision Outcome;
};
/// Ranks are silent or disagree; the group must be formed anew without them.
struct GroupFailed {
  std::vector<Rank> Ranks;
};
using DriverAction = std::variant<SendOrder, SwitchEnded, GroupFailed>;

/// Returns the state of a driver that has just got the lease. Ticks start it.
/// \p actUntil is the end of the lease on this process's steady clock.
DriverState makeDriver(const Ballot &number, std::size_t ranks,
                       SteadyTime actUntil, const DriverLimits &limits,
                       SteadyTime now);

/// Returns the state of a settler, which needs no lease.
DriverState makeSettler(const Ballot &number, std::size_t ranks,
                        const DriverLimits &limits, SteadyTime now);

/// Takes one event and returns what to do. Not thread safe for one state.
std::vector<DriverAction>
decideDriver(DriverState &state, const DriverEvent &event, SteadyTime now);

} // namespace greengagespar

#endif // GREENGAGESPAR_GROUP_DRIVER_H
