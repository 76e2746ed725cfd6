/// \file
/// One rank of a group as its server shows it, and the orders that bring its
/// map where a decision wants it. Pure; thread safe.
///
/// The server knows a map that is armed for a step, and a hold that keeps the
/// whole group from beginning a step. The switch of decideRank and
/// decideDriver wants "armed, and does not enter the step until told" of each
/// rank: here a rank that is armed for a step and holds it too. Released, it
/// drops its hold; cancelled, it disarms and then drops its hold. The step
/// begins once no rank holds it, so every rank has its outcome by then.
///
/// An order without an answer may be carried out seconds later. Every order
/// names the number of orders that the server has accepted; a server refuses
/// one whose number has passed, so an order that comes late can only be the
/// next one or none. An order is done only when the server's own state shows
/// it.
#ifndef GREENGAGESPAR_DIRECT_RANK_SERVER_H
#define GREENGAGESPAR_DIRECT_RANK_SERVER_H

#include "greengagespar/base/errors.h"
#include "greengagespar/group/messages.h"
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace greengagespar {

/// A map that is armed.
struct ArmedMap {
  MapNumber Map;
  StepNumber Step; ///< The first step with it.
};

/// The state of a rank's server.
struct RankServerState {
  std::string Group; ///< Empty: it is in none.
  std::uint64_t Epoch = 0;
  Rank Self{};
  std::size_t Size = 0; ///< Ranks of the group.
  bool IsOpen = false;
  std::uint64_t BornMs = 0;
  std::uint64_t Accepted = 0; ///< Orders accepted in this life.
  StepNumber Step;            ///< The last one that was begun.
  MapNumber InUse;
  std::optional<MapNumber> Prepared; ///< All weights are there.
  std::optional<ArmedMap> Armed;
  std::optional<StepNumber> Held;
  int Running = 0;
  int Waiting = 0;
  double Pace = 1; ///< Over 1: the server is slow.
};

/// The experts of each rank, layer by layer.
using RankPlaces = std::vector<std::vector<std::vector<Expert>>>;

/// The orders that a server takes.
enum class ServerMapOrder { Prepare, Arm, Disarm, Hold, Go };

/// One order to the server.
struct RankServerOrder {
  ServerMapOrder Kind = ServerMapOrder::Go;
  std::uint64_t Epoch = 0;
  std::uint64_t Accepted = 0; ///< Refused when the server has another number.
  MapNumber Map;              ///< Of Prepare, Arm and Disarm.
  StepNumber Step;            ///< Of Arm, Hold and Go.
};

/// An order of a switch that is being carried out at the server.
struct RankWork {
  MapOrder Goal;
  bool IsUndoing = false; ///< It was refused; its hold is taken back.
  bool IsFence = false;   ///< Makes late orders of an earlier life harmless.
  int Orders = 0;         ///< Given to the server so far.
};

/// Orders given for one step of a switch before it counts as refused. Up to
/// half of them may be left without an answer.
inline constexpr int MaxOrdersOfWork = 16;

/// What to do next for an order of a switch.
struct RankServerStep {
  enum class Kind {
    Done,    ///< The server's state shows it.
    Refused, ///< It can't be done any more.
    Send,    ///< Give the order, then read the state back.
  };
  Kind What = Kind::Done;
  RankServerOrder Order;
};

/// Decides the next step of \p work from the state that was read after its last
/// order ended; empty when it can't be read. Refused and Done end the work.
RankServerStep decideRankServer(RankWork &work,
                                const std::optional<RankServerState> &state);

/// Returns the order that makes late orders of an earlier process harmless: a
/// rank that is armed and holds its step is disarmed, so that a late release
/// is refused. Empty when there is none to fear.
std::optional<RankServerOrder>
fenceEarlierProcess(const RankServerState &state);

/// Returns the state as decideRank wants it. \p cancelled: the highest map that
/// this process has cancelled; the server keeps its weights.
EngineMap engineMapOf(const RankServerState &state, MapNumber cancelled);

/// How a platform spells the calls of a rank's server. All functions are pure
/// and thread safe.
struct RankDialect {
  std::string StateTarget;  ///< GET of a RankServerState.
  std::string CountsTarget; ///< GET of the counts.
  std::string PlacesTarget; ///< GET of this rank's experts.
  std::string OrderTarget;  ///< POST of an order.
  Result<RankServerState> (*ReadState)(std::string_view body);
  Result<std::vector<std::uint64_t>> (*ReadCounts)(std::string_view body);
  /// This rank's experts in the map in use, layer by layer.
  Result<std::vector<std::vector<Expert>>> (*ReadPlaces)(std::string_view body);
  /// \p places is used by Prepare.
  std::string (*WriteOrder)(const RankServerOrder &order,
                            const RankPlaces &places);
};

} // namespace greengagespar

#endif // GREENGAGESPAR_DIRECT_RANK_SERVER_H
