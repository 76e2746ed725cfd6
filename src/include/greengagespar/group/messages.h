/// \file
/// Typed messages of the map switch between the driver or a settler and the
/// endpoint processes of the ranks. Plain values, safe to copy between threads.
#ifndef GREENGAGESPAR_GROUP_MESSAGES_H
#define GREENGAGESPAR_GROUP_MESSAGES_H

#include "greengagespar/base/ids.h"
#include "greengagespar/group/shape.h"
#include <compare>
#include <cstdint>
#include <optional>

namespace greengagespar {

/// Number of an expert map. Each attempt to switch has a new, higher one; 0 is
/// the map that a group starts with.
using MapNumber = NumberId<struct MapTag>;
/// Number of a step of the lock-step loop.
using StepNumber = NumberId<struct StepTag>;

/// Orders all drivers and settlers of a group. A driver has the fencing number
/// of its lease; a settler without the lease has the highest it has seen, and a
/// higher round.
struct Ballot {
  FencingNumber Lease;     ///< From the lease on the platform.
  std::uint32_t Round = 0; ///< Counted up by each settlement.
  Rank Owner{};            ///< Whose endpoint process uses the ballot.
  Incarnation Process;     ///< That process; it never uses a ballot twice.
  auto operator<=>(const Ballot &) const = default;
};

/// Returns a number that grows with the ballot, for engines that check fencing
/// numbers. Precondition: lease and round are below 2^24.
constexpr FencingNumber engineFencing(const Ballot &ballot) {
  return {(ballot.Lease.Value << 40) |
          (static_cast<std::uint64_t>(ballot.Round) << 16) |
          indexOf(ballot.Owner)};
}

/// The outcome of an attempt to switch.
enum class Decision {
  Cancel,  ///< All ranks keep the map that they had.
  Release, ///< All ranks use the new map from the armed step on.
};

/// What a driver or settler asks of a rank.
enum class OrderKind {
  Ask,     ///< Promise the ballot and report; starts a settlement.
  Prepare, ///< Fetch the weights of the map.
  Arm,     ///< Don't enter the step until told.
  Decide,  ///< Take the outcome.
};

/// An order to the endpoint process of one rank. All kinds are idempotent.
struct MapOrder {
  OrderKind Kind = OrderKind::Ask;
  Ballot Number;       ///< Lower ones than the promised one are refused.
  Rank To{};           ///< The rank it is for.
  Incarnation Process; ///< The process that answered the Ask under this
                       ///< ballot; any other refuses it. Unused by Ask.
  MapNumber Map;       ///< The map; unused by Ask.
  StepNumber Step;     ///< First step with the map; used by Arm.
  Decision Outcome = Decision::Cancel; ///< Used by Decide.

  bool operator==(const MapOrder &) const = default;
};

/// How far a rank's engine is with the map that it has not taken yet.
enum class MapStage {
  None,     ///< There is no such map.
  Prepared, ///< All weights are there.
  Armed,    ///< It won't enter the armed step until told.
};

/// The map state of an engine as read back from it.
struct EngineMap {
  MapNumber InForce;               ///< The map in use, or from Step on.
  MapNumber Pending;               ///< Meaningful unless Stage is None.
  MapStage Stage = MapStage::None; ///< Of Pending.
  StepNumber Step;                 ///< First step with the armed map.
  StepNumber Current;              ///< The step that the engine is in.

  bool operator==(const EngineMap &) const = default;
};

/// A decision that a rank has taken.
struct TakenDecision {
  MapNumber Map;
  Decision Outcome = Decision::Cancel;
  bool operator==(const TakenDecision &) const = default;
};

/// The answer of a rank to any order.
struct RankReport {
  Rank From{};
  Incarnation Process;
  OrderKind InReplyTo = OrderKind::Ask;
  Ballot Number; ///< The ballot of the order.
  MapNumber Map; ///< The map of the order: a ballot may use several.
  bool Accepted = false;
  Ballot Promised; ///< The highest ballot that the rank has promised.
  EngineMap Engine;
  std::optional<TakenDecision> Taken; ///< The latest one.

  bool operator==(const RankReport &) const = default;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_GROUP_MESSAGES_H
