/// \file
/// The part of a map switch that the endpoint process of one rank (in direct
/// mode its rank agent) performs: a pure state machine. It handles the orders
/// of drivers and settlers (prepare, arm, release or cancel; see messages.h)
/// and starts a settlement, which resolves a switch of unknown outcome, if its
/// armed engine waits too long. Modelled as proctype RankProcess in
/// spec/map.pml.
///
/// Rules that keep all ranks on one map:
/// - The process promises each ballot that it accepts and refuses lower ones,
///   also on behalf of engines that ignore fencing numbers.
/// - The process accepts an order only if the order names its incarnation, so
///   that an order sent to a process before its restart cannot take effect
///   through the process after the restart.
/// - The process reports its map state only after it has read back the result
///   of an order in progress at the engine, so that a report never hides an
///   outcome that comes into force later.
/// - The process reports the highest map that it has begun to prepare, so that
///   a driver with the promises of all ranks gives no number to a second map:
///   no rank begins to prepare a map under an earlier ballot any more.
#ifndef GREENGAGESPAR_GROUP_RANK_H
#define GREENGAGESPAR_GROUP_RANK_H

#include "greengagespar/group/messages.h"
#include <chrono>
#include <optional>
#include <variant>
#include <vector>

namespace greengagespar {

/// A time on the steady clock of the process.
using SteadyTime = std::chrono::steady_clock::time_point;

/// Timeouts and options of a rank's process.
struct RankLimits {
  /// A rank that is armed and has no outcome starts a settlement after
  /// SettleAfter plus SettleStagger for each rank of a lower index, so that few
  /// ranks start one at the same time.
  std::chrono::milliseconds SettleAfter{50};
  std::chrono::milliseconds SettleStagger{10};
  /// The process sends an order or a read to the engine again if the result was
  /// not read back within this time.
  std::chrono::milliseconds ReadBackAfter{20};
  /// If true, a cancellation covers all maps up to its own number. A rank that
  /// was cancelled before has another map prepared in its engine as a fence,
  /// and the engine reports the number of that map as pending.
  bool CancelsEarlierMaps = false;
};

/// The state of a rank's endpoint process. It is lost when the process
/// restarts.
struct RankState {
  Rank Self{};
  Incarnation Process;
  RankLimits Limits;
  Ballot Promised;                 ///< Highest ballot accepted.
  std::optional<EngineMap> Engine; ///< Empty until read back.
  /// Latest decision that this process has applied; empty if none.
  std::optional<AppliedDecision> LastDecision;
  MapNumber HighestPrepared;          ///< Highest map that was to be prepared.
  std::optional<MapOrder> InProgress; ///< At the engine; result unknown.
  /// A Promise order that is answered once the engine has been read back; empty
  /// if none.
  std::optional<MapOrder> WaitingPromise;
  SteadyTime EngineCalledAt{}; ///< When an order or read was last sent to it.
  /// When the engine became armed, or when the latest settlement was started.
  SteadyTime ArmedAt{};
};

/// Event: an order was received.
struct OrderReceived {
  MapOrder Order;
};
/// Event: the engine's map state was read back.
struct EngineRead {
  EngineMap Map;
  /// The engine did not carry out the order in progress and never will.
  bool Refused = false;
};
/// Event: time has passed.
struct RankTick {};
using RankEvent = std::variant<OrderReceived, EngineRead, RankTick>;

/// Action: send the report to the process that uses its ballot.
struct SendReport {
  RankReport Report;
};
/// Action: carry out an order at the engine, then read back its map state.
struct OrderEngine {
  MapOrder Order;
  FencingNumber Fencing; ///< For engines that check fencing numbers.
};
/// Action: read the engine's map state.
struct ReadEngine {};
/// Action: start a settlement with this ballot, see makeSettler().
struct StartSettlement {
  Ballot Number;
};
using RankAction =
    std::variant<SendReport, OrderEngine, ReadEngine, StartSettlement>;

/// Returns the state of a process that has just started. The engine's map
/// state is unknown until it has been read.
RankState makeRank(Rank self, Incarnation process, const RankLimits &limits);

/// Handles one event and returns the actions to perform. Calls with the same
/// state must not run concurrently.
std::vector<RankAction> decideRank(RankState &state, const RankEvent &event,
                                   SteadyTime now);

} // namespace greengagespar

#endif // GREENGAGESPAR_GROUP_RANK_H
