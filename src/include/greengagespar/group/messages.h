/// \file
/// Messages of a map switch, in which all ranks of a group change from one
/// expert map to the next at the same step. A driver, see driver.h, sends
/// orders to the endpoint processes of the ranks, see rank.h; they answer with
/// reports. Plain values, safe to copy between threads.
///
/// The steps of a switch:
/// - prepare: each rank's engine fetches the expert weights of the new map;
/// - arm: the engine will not enter a given step before it receives the
///   outcome, so that no rank can run that step with the wrong map;
/// - decide: the engine receives the outcome. A release lets it enter the step
///   with the new map, a cancellation lets it go on with its present map.
///
/// A settlement resolves a switch whose outcome is unknown, for example because
/// its driver was lost. A settler is a process that runs a settlement alone.
#ifndef GREENGAGESPAR_GROUP_MESSAGES_H
#define GREENGAGESPAR_GROUP_MESSAGES_H

#include "greengagespar/base/ids.h"
#include "greengagespar/group/shape.h"
#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>

namespace greengagespar {

/// Number of an expert map. Each attempt to switch uses a new, higher number; 0
/// is the map that a group starts with.
using MapNumber = NumberId<struct MapTag>;
/// Number of a step that all ranks of a group run in lock-step.
using StepNumber = NumberId<struct StepTag>;

/// A ballot number, which puts all drivers and settlers of a group in a total
/// order; the fields are compared from first to last. A driver uses the fencing
/// number of its lease, or without a lease one more than the highest that it
/// has seen. A settler, which has no lease, uses the highest fencing number
/// that it has seen, and a higher round.
struct Ballot {
  FencingNumber Lease;     ///< Of the lease on the platform.
  std::uint32_t Round = 0; ///< Raised by each further settlement.
  Rank Owner{};            ///< The rank whose process uses the ballot.
  Incarnation Process;     ///< Of that process; it never reuses a ballot.
  auto operator<=>(const Ballot &) const = default;
};

/// Returns a fencing number that grows with lease, round and owner of the
/// ballot, for engines that check fencing numbers. Precondition: lease and
/// round are below 2^24.
constexpr FencingNumber engineFencing(const Ballot &ballot) {
  return {(ballot.Lease.Value << 40) |
          (static_cast<std::uint64_t>(ballot.Round) << 16) |
          indexOf(ballot.Owner)};
}

/// The outcome of an attempt to switch.
enum class Decision {
  Cancel,  ///< All ranks keep the map that is in force.
  Release, ///< All ranks use the new map from the armed step on.
};

/// What a driver or settler requests of a rank.
enum class OrderKind {
  Promise, ///< Promise to refuse lower ballots, and report the map state.
  Prepare, ///< Fetch the weights of the map.
  Arm,     ///< Do not enter the step before the outcome is received.
  Decide,  ///< Apply the outcome.
};

/// Returns the name of \p kind for logs, such as "arm". Thread safe.
std::string_view orderKindName(OrderKind kind);

/// An order to the endpoint process of one rank. All kinds are idempotent.
struct MapOrder {
  OrderKind Kind = OrderKind::Promise;
  Ballot Number; ///< A rank refuses a ballot that is lower than its promise.
  Rank To{};     ///< The rank that the order is for.
  /// The process that answered the Promise order under this ballot; any other
  /// process refuses the order. Unused by Promise.
  Incarnation Process;
  MapNumber Map;                       ///< Unused by Promise.
  StepNumber Step;                     ///< First step with Map; used by Arm.
  Decision Outcome = Decision::Cancel; ///< Used by Decide.

  bool operator==(const MapOrder &) const = default;
};

/// How far a rank's engine has got with the pending map of a switch.
enum class MapStage {
  None,     ///< The engine has no pending map.
  Prepared, ///< The engine has all weights of the map.
  Armed,    ///< The engine will not enter the armed step without an outcome.
};

/// The map state of an engine as read back from it.
struct EngineMap {
  MapNumber InForce; ///< The map in use, or the released one used from Step on.
  MapNumber Pending; ///< Meaningless while Stage is None.
  MapStage Stage = MapStage::None; ///< Of Pending.
  StepNumber Step;                 ///< First step with the armed map.
  StepNumber Current;              ///< The step that the engine is in.
  /// Stage is Armed because the engine holds Step, but no map is armed. A
  /// settlement cancels the pending map; an order to arm is not done yet.
  bool IsHoldOnly = false;

  bool operator==(const EngineMap &) const = default;
};

/// The outcome of a switch that a rank has applied.
struct AppliedDecision {
  MapNumber Map;
  Decision Outcome = Decision::Cancel;
  bool operator==(const AppliedDecision &) const = default;
};

/// The answer of a rank to an order of any kind.
struct RankReport {
  Rank From{};
  Incarnation Process;
  OrderKind InReplyTo = OrderKind::Promise;
  Ballot Number; ///< The ballot of the order.
  MapNumber Map; ///< The map of the order; one ballot may switch several maps.
  bool Accepted = false; ///< False: the rank refused the order.
  Ballot Promised;       ///< The highest ballot that the rank has promised.
  EngineMap Engine;      ///< All zero if the engine was not read back yet.
  /// The latest decision that the process has applied; empty if none.
  std::optional<AppliedDecision> LastDecision;
  /// The highest map that the process has begun to prepare; zero: none. The
  /// engine does not show a map before its weights have been copied.
  MapNumber HighestPrepared;

  bool operator==(const RankReport &) const = default;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_GROUP_MESSAGES_H
