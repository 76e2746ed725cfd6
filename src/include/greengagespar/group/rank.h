/// \file
/// The map switch as seen by the endpoint process of one rank: a pure state
/// machine. Modelled as proctype RankProcess in spec/map.pml.
///
/// Rules that keep all ranks on one map:
/// - it promises each ballot that it answers and refuses lower ones, also on
///   behalf of engines that ignore fencing numbers;
/// - it takes orders only if they name its incarnation, so that an order given
///   to a process before its restart can't reach the one after it;
/// - it reports only after an order in progress at the engine has been read
///   back, so that a report never hides an outcome that comes into force later.
#ifndef GREENGAGESPAR_GROUP_RANK_H
#define GREENGAGESPAR_GROUP_RANK_H

#include "greengagespar/group/messages.h"
#include <chrono>
#include <optional>
#include <variant>
#include <vector>

namespace greengagespar {

/// Times on the process's steady clock.
using SteadyTime = std::chrono::steady_clock::time_point;

/// Bounds of a rank's waiting.
struct RankLimits {
  /// An armed rank without an outcome starts a settlement after this time and
  /// this much more for each rank before it, so that few start at once.
  std::chrono::milliseconds SettleAfter{50};
  std::chrono::milliseconds SettleStagger{10};
  /// An order to the engine without an answer is read back after this time.
  std::chrono::milliseconds ReadBackAfter{20};
  /// A cancellation goes for all maps up to its own: the engine of a rank that
  /// was cancelled before tells the number of its fence.
  bool CancelsEarlier = false;
};

/// The state of a rank's endpoint process. All is lost when it restarts.
struct RankState {
  Rank Self{};
  Incarnation Process;
  RankLimits Limits;
  Ballot Promised;                    ///< Highest ballot answered.
  std::optional<EngineMap> Engine;    ///< Empty until read back.
  std::optional<TakenDecision> Taken; ///< Latest decision of this process.
  std::optional<MapOrder> InProgress; ///< At the engine, not read back yet.
  std::optional<MapOrder> WaitingAsk; ///< Answered after the read back.
  SteadyTime EngineAskedAt{};         ///< When the engine was last asked.
  SteadyTime ArmedAt{};               ///< When the engine became armed.
};

/// An order came in.
struct OrderCame {
  MapOrder Order;
};
/// The engine's map state was read back. \p Refused: it did not carry out the
/// order in progress and never will.
struct EngineRead {
  EngineMap Map;
  bool Refused = false;
};
/// Time went on.
struct RankTick {};
using RankEvent = std::variant<OrderCame, EngineRead, RankTick>;

/// Send to whoever uses the ballot of the report.
struct SendReport {
  RankReport Report;
};
/// Carry out an order at the engine, then read its map state back.
struct OrderEngine {
  MapOrder Order;
  FencingNumber Fencing;
};
/// Read the engine's map state.
struct ReadEngine {};
/// Start a settlement with this ballot, see makeSettler.
struct StartSettlement {
  Ballot Number;
};
using RankAction =
    std::variant<SendReport, OrderEngine, ReadEngine, StartSettlement>;

/// Returns the state of a process that has just started.
RankState makeRank(Rank self, Incarnation process, const RankLimits &limits);

/// Takes one event and returns what to do. Not thread safe for one state.
std::vector<RankAction> decideRank(RankState &state, const RankEvent &event,
                                   SteadyTime now);

} // namespace greengagespar

#endif // GREENGAGESPAR_GROUP_RANK_H
