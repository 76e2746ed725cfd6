/// \file
/// A pure state machine for the process that leads a map switch: the driver of
/// a group, or a settler (see messages.h). Modelled as proctypes Driver and
/// Settler in spec/map.pml.
///
/// The driver is the process that holds the lease, see lease.h, or in direct
/// mode an entry that needs no lease, see map_coordinator.h. It has all
/// ranks prepare a new map, which fetches the weights, then arm it, so that no
/// rank enters the armed step without an outcome, and then sends the outcome:
/// a release, with which all ranks enter the step with the new map, or a
/// cancellation. See messages.h.
///
/// Each ballot (one numbered attempt of a driver or settler) begins with a
/// settlement, which resolves an earlier switch whose outcome is unknown: all
/// ranks promise to follow no lower ballot and report their state. If a rank
/// has applied a decision on an armed map, the settlement sends the same
/// decision to all ranks. Otherwise it cancels the map, or, if the owner holds
/// the step for all ranks (DriverLimits::OwnerHoldsStep) and one is armed, arms
/// the others too and releases the map. Only then may the
/// driver prepare, arm and decide a new map. A settler stops after the
/// settlement. The protocol is safe because of the promises of all ranks; it
/// does not depend on the lease or on clocks.
#ifndef GREENGAGESPAR_GROUP_DRIVER_H
#define GREENGAGESPAR_GROUP_DRIVER_H

#include "greengagespar/group/messages.h"
#include "greengagespar/group/rank.h"
#include <chrono>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace greengagespar {

/// Timeouts and options of a driver or settler.
struct DriverLimits {
  /// An order without an answer is sent again after this time.
  std::chrono::milliseconds ResendAfter{20};
  /// The driver cancels a map that is not prepared on all ranks in this time.
  std::chrono::milliseconds PrepareWithin{120000};
  /// The driver cancels a map if the ranks do not all confirm that they answer,
  /// or are not all armed, in this time; it counts for each phase.
  std::chrono::milliseconds ArmWithin{200};
  /// The driver reports that the group has failed if a rank does not answer for
  /// this time in the phase Settling or Deciding.
  std::chrono::milliseconds UnresponsiveAfter{1000};
  /// The armed step is this many steps after the latest step of any rank.
  std::uint64_t StepsAhead = 3;
  /// The driver numbers its maps with multiples of this, each plus the offset
  /// below; ranks may use the numbers in between. Over 0.
  std::uint64_t MapStride = 1;
  /// Offset added to each multiple, so that drivers of two processes seldom use
  /// the same number even when no rank reports it.
  std::uint64_t MapOffset = 0;
  /// Map numbers of this driver are higher than this; 0 sets no bound. Without
  /// the bound, a delayed order of an earlier driver could prepare another map
  /// under a number that this driver uses too.
  MapNumber FirstMap;
  /// If true, the rank of the ballot's owner holds the step for the whole
  /// group. The driver then arms that rank before any other, once all ranks
  /// have answered again after preparation, which shows that no process is
  /// paused. Once that rank is armed, the switch is not cancelled any more, by
  /// no driver: its engine keeps the decision although all processes may end.
  /// The driver releases that rank after half of the others.
  bool OwnerHoldsStep = false;
};

/// What a driver or settler is doing.
enum class DriverPhase {
  Settling,  ///< All ranks promise the ballot and report their map state.
  Steady,    ///< All ranks use the same map; a switch may start.
  Preparing, ///< Ranks fetch the weights of the new map.
  /// All ranks promise the ballot once more: a rank whose process is paused now
  /// does not answer, and the map is cancelled before any rank is armed.
  Confirming,
  Arming,   ///< Ranks agree not to enter the step before the outcome.
  Deciding, ///< Ranks apply the outcome, which no longer changes.
  Stopped,  ///< The driver sends no more orders.
};

/// Returns the name of \p phase for logs and metrics, such as "arming". Thread
/// safe.
std::string_view driverPhaseName(DriverPhase phase);

/// What a driver knows of a rank.
struct RankView {
  bool HasAnswered = false; ///< The rank has accepted the order of this phase.
  /// When the latest order of this phase was sent; empty if none.
  std::optional<SteadyTime> SentAt;
  RankReport Report; ///< Latest one accepted under the ballot.
};

/// The state of a driver or settler.
struct DriverState {
  Ballot Number;
  bool IsSettler = false;
  DriverLimits Limits;
  /// A driver sends no order from this time on; the maximum in direct mode, and
  /// unused by a settler.
  SteadyTime LeaseEnd{};
  DriverPhase Phase = DriverPhase::Settling;
  SteadyTime PhaseSince{}; ///< When Phase began.
  /// A settler sends no order before this time. Set after a refusal that starts
  /// a new settlement.
  SteadyTime BackOffUntil{};
  std::vector<RankView> Ranks; ///< By rank.
  MapNumber Map;   ///< The map that is being switched to or settled.
  StepNumber Step; ///< First step with Map; set when arming starts.
  Decision Outcome = Decision::Cancel; ///< Constant in a Deciding phase.
  MapNumber HighestMap;                ///< Highest number used or reported.
  bool FailureReported = false; ///< GroupFailed was returned in this phase.
};

/// Event: a report of a rank was received.
struct ReportReceived {
  RankReport Report;
};
/// Event: the planner wants a new map. Ignored unless the phase is Steady.
struct SwitchWanted {};
/// Event: the lease was renewed.
struct LeaseRenewed {
  SteadyTime LeaseEnd;
};
/// Event: time has passed.
struct DriverTick {};
using DriverEvent =
    std::variant<ReportReceived, SwitchWanted, LeaseRenewed, DriverTick>;

/// Action: send the order to the endpoint process of its rank.
struct SendOrder {
  MapOrder Order;
};
/// Action: record that all ranks have applied the outcome.
struct SwitchEnded {
  MapNumber Map;
  Decision Outcome;
};
/// Action: form the group anew without these ranks, which do not answer or use
/// another map than the first rank.
struct GroupFailed {
  std::vector<Rank> Ranks;
};
using DriverAction = std::variant<SendOrder, SwitchEnded, GroupFailed>;

/// Returns the state of a driver that has just acquired the lease; the first
/// DriverTick starts its settlement. \p leaseEnd is the end of the lease on the
/// steady clock of this process.
DriverState makeDriver(const Ballot &number, std::size_t ranks,
                       SteadyTime leaseEnd, const DriverLimits &limits,
                       SteadyTime now);

/// Returns the state of a settler, which needs no lease.
DriverState makeSettler(const Ballot &number, std::size_t ranks,
                        const DriverLimits &limits, SteadyTime now);

/// Whether the driver knows from the owner's latest report that its engine is
/// armed with the map of the switch. Thread safe.
bool isOwnerArmed(const DriverState &state);

/// Handles one event and returns the actions to perform. Calls with the same
/// state must not run concurrently.
std::vector<DriverAction>
decideDriver(DriverState &state, const DriverEvent &event, SteadyTime now);

} // namespace greengagespar

#endif // GREENGAGESPAR_GROUP_DRIVER_H
