/// \file
/// One rank of a group as its server reports it, and the orders that bring the
/// server's expert map to the state that a decision requires. Pure; thread
/// safe.
///
/// The processes of a map switch are the driver (an entry, see
/// map_coordinator.h) and one agent beside the server of each rank (see
/// rank_agent.h). The state machines decideDriver and decideRank choose the
/// orders between them; the functions here translate these orders for the
/// servers. Each agent sends orders to its own server only. A switch runs as
/// follows:
/// 1. Settle: the driver has each agent promise its ballot and report its map
///    state; from then on the agent refuses orders with a lower ballot. From
///    the reports the driver resolves an earlier switch whose outcome is
///    unknown.
/// 2. Prepare: the driver sends the map to all agents. Each agent has its
///    server copy the weights that it lacks.
/// 3. Confirm: the driver requests a report from each agent again, so that it
///    does not arm a group while one of its agents is stopped.
/// 4. Hold: the driver itself has the server of HoldingRank hold the step at
///    which the map is to come into use. While one server holds a step, no rank
///    of the group can begin it.
/// 5. Arm: the driver orders the agent of HoldingRank to arm the map for that
///    step, and after its report all other agents. An armed server uses the map
///    from the step on.
/// 6. Release: when all ranks are armed, the driver sends the outcome Release,
///    and the agent of HoldingRank releases the hold. That agent receives the
///    outcome only after half of the others have reported that they applied it.
///
/// The server of HoldingRank decides the switch. It is armed before all others,
/// and no server is disarmed: once it is armed, the switch is completed, by
/// whichever driver. Before that the driver may cancel, when a rank refuses or
/// does not answer in time: the agent of HoldingRank fences its server (see
/// below), which can't be armed from then on, and then the other agents theirs.
/// After all agents have accepted the cancellation, the driver sends MapResume
/// and the agent of HoldingRank releases the hold. Nothing of the decision is
/// kept by a process, so that all processes may die at any point.
///
/// decideRank and decideDriver require of each rank that it is armed but does
/// not enter the step before it is released. The server offers only a map that
/// is armed for a step, and a hold that keeps the whole group from beginning a
/// step. Therefore one hold does this for all ranks: it guards against a step
/// that begins while only some ranks are armed, which would mix two maps in one
/// step. An agent that stops after its rank was armed blocks no other rank,
/// unless it is the agent of HoldingRank.
///
/// If the driver dies, the agents of armed ranks request a settlement from the
/// entries, and another entry (or the next driver) settles the switch: it
/// completes one whose HoldingRank is armed, and cancels any other. If an agent
/// dies, the driver detects by the new incarnation that it restarted, and
/// settles again.
///
/// A server may carry out an order that it has not answered seconds later, and
/// nothing in the order lets the server refuse it then. Therefore:
/// - An order counts as done only when the server's own state shows it. Until
///   then it is sent again.
/// - A cancelled rank is fenced: its agent prepares another map, so that the
///   server refuses a delayed order to arm, whose map is no longer prepared.
///   The hold is kept until all ranks have been fenced (RankTask::Resume), so
///   that no rank can begin the step while another one may still be armed for
///   it.
/// - An order to release a hold is sent only once all ranks are armed, or once
///   HoldingRank is fenced: whenever it is carried out, all ranks use the same
///   map. No step is held twice.
/// - No order disarms a rank: carried out late, it would undo a switch that
///   another process completes.
/// - An agent that finds its server in use when it starts arms only for steps
///   after all those that the agent before it can have held.
/// - No two drivers use the same number for their maps. A process remembers
///   the numbers that its drivers have used. A driver's numbers are higher than
///   all that the agents were to prepare, which they report with their promise.
///   An agent that has died since reports none: then the incarnations, from
///   which the numbers are derived, mostly tell processes apart.
#ifndef GREENGAGESPAR_DIRECT_RANK_SERVER_H
#define GREENGAGESPAR_DIRECT_RANK_SERVER_H

#include "greengagespar/base/errors.h"
#include "greengagespar/group/driver.h"
#include "greengagespar/group/messages.h"
#include "greengagespar/group/rank.h"
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace greengagespar {

/// A map that a server is armed with.
struct ArmedMap {
  MapNumber Map;
  StepNumber Step; ///< The first step with it.
};

/// The state of a rank's server.
struct RankServerState {
  std::string Group;           ///< Name of its group; empty: it is in none.
  std::uint64_t Epoch = 0;     ///< Of the group.
  Rank Self{};                 ///< The server's rank in the group.
  std::size_t Size = 0;        ///< Number of ranks of the group.
  bool IsOpen = false;         ///< The group serves requests.
  std::uint64_t StartedMs = 0; ///< Start of the server process, in ms.
  /// Number of orders that the process has accepted; zero if it is not stated.
  std::uint64_t Sequence = 0;
  StepNumber Step; ///< The last step that was begun.
  MapNumber InUse;
  /// The map whose weights have all been copied; empty: none.
  std::optional<MapNumber> Prepared;
  std::optional<ArmedMap> Armed;  ///< Empty: the server is not armed.
  std::optional<StepNumber> Held; ///< The step that it holds; empty: none.
  int Running = 0;                ///< Requests in progress.
  int Waiting = 0;                ///< Requests that wait.
  double Pace = 1;                ///< Over 1: the server is slow.
};

/// The experts of each rank, layer by layer: indexed by layer, then by rank.
using RankPlaces = std::vector<std::vector<std::vector<Expert>>>;

/// The orders that a server accepts.
enum class ServerMapOrder {
  Prepare,    ///< Copy the weights of a map.
  Arm,        ///< Use the prepared map from a step on.
  Hold,       ///< Keep the whole group from beginning a step.
  ReleaseHold ///< Release the hold of a step.
};

/// One order to a server.
struct RankServerOrder {
  ServerMapOrder Kind = ServerMapOrder::ReleaseHold;
  std::uint64_t Epoch = 0;
  MapNumber Map;   ///< Used by Prepare and Arm.
  StepNumber Step; ///< Used by Arm, Hold and ReleaseHold.
};

/// The rank whose server holds the step of a switch for the whole group. It is
/// the owner of all ballots.
inline constexpr Rank HoldingRank{0};

/// What a rank's agent is to bring about at its server.
enum class RankTask {
  Prepare, ///< Copy the map's weights to the server.
  Arm,     ///< Arm the map for the step; HoldingRank must hold it.
  Release, ///< Release the hold of an armed rank, if it has one. The rank then
           ///< uses the map.
  Cancel,  ///< Fence the rank, which must not be armed; keep the hold.
  Resume,  ///< Release the hold of a cancelled rank.
};

/// A task that an agent is carrying out at its server.
struct RankWork {
  RankTask Task = RankTask::Prepare;
  MapOrder Goal;      ///< The order to carry out; unused by Resume.
  int OrdersSent = 0; ///< Orders sent to the server so far.
  /// The task was done before and its effect was undone since. No order of a
  /// driver waits for its end.
  bool IsRepeated = false;
};

/// Returns the task for an order of a switch. Precondition: the order is no
/// Promise order.
RankTask taskOf(const MapOrder &order);

/// Orders sent for one task before it counts as refused. Up to half of them
/// may remain without an answer.
inline constexpr int MaxOrdersPerTask = 24;

/// Distance between the numbers of two maps of one driver. A rank uses the
/// numbers that follow a cancelled map's number for its fences.
inline constexpr std::uint64_t MapNumberStride = 4096;
/// Distance between the numbers of the maps of two drivers within a stride.
inline constexpr std::uint64_t MapNumberSalt = 64;

/// Number of steps from the current one to the first one with a new map.
inline constexpr std::uint64_t MapStepsAhead = 4;

/// Returns the limits of a driver in the process with incarnation \p process.
/// Its map numbers are derived from the incarnation and higher than \p used,
/// the highest one that earlier drivers of this process have used for the
/// group, so that no two drivers of a process use the same number. The times
/// are left to the caller. Thread safe.
DriverLimits mapDriverLimits(Incarnation process, MapNumber used);

/// Returns the last step that an earlier agent of a rank can have armed its
/// server for. \p first: the state of the server when this agent first read it.
/// The ranks may be a step apart when they are queried. Returns zero for a
/// server that was not in use.
StepNumber lastStepOfEarlierProcess(const RankServerState &first);

/// What an agent does next for its current task.
struct RankServerAction {
  enum class Kind {
    Done,    ///< The server's state shows that the task is done.
    Refused, ///< The task can't be done any more.
    Send,    ///< Send the order, then read the state back.
  };
  Kind What = Kind::Done;
  RankServerOrder Order; ///< Used by Send.
};

/// Decides the next action of \p work. \p state: the state that was read after
/// the last order ended; empty when it can't be read, which refuses the task.
/// Refused and Done end the work.
RankServerAction decideRankServer(RankWork &work,
                                  const std::optional<RankServerState> &state);

/// Returns the work for a rank that was released and holds its step again
/// because its server carried out a delayed order to hold. Returns nothing for
/// any other rank. \p released: the highest map that its agent has released.
std::optional<RankWork> releaseAgain(MapNumber released,
                                     const RankServerState &state);

/// Returns the limits that decideRank requires for such servers. The times are
/// left to the caller. Thread safe.
RankLimits rankServerLimits();

/// Returns the map with which rank \p self is fenced. \p ranks: number of ranks
/// of the group. \p experts: number of experts of a layer. The rank keeps its
/// own experts, so that nothing is copied; the others are assigned to the other
/// ranks in round-robin order. \pre \p own holds this rank's experts, layer by
/// layer.
RankPlaces fencePlaces(const std::vector<std::vector<Expert>> &own, Rank self,
                       std::size_t ranks, std::size_t experts);

/// Returns whether delayed orders of an earlier agent may still reach the
/// server.
bool wasInUse(const RankServerState &state);

/// Records in \p last that an order to release the hold of \p step is sent for
/// \p work. No other map is armed for that step any more, and after a Resume
/// not even the same map.
void recordHoldRelease(ArmedMap &last, const RankWork &work, StepNumber step);

/// Returns whether \p order is to arm HoldingRank for a step that it may have
/// held before. \p last: the latest order to arm that its agent has accepted. A
/// server that is armed already, by \p state, may be confirmed.
/// The agent ignores such an order, since a delayed order to release the
/// earlier hold could release the new one.
bool mayHaveBeenHeld(const MapOrder &order, const ArmedMap &last,
                     const RankServerState &state);

/// What a rank's agent has completed at its server.
struct RankHistory {
  MapNumber Cancelled; ///< The highest cancelled map or fence; zero: none.
  MapNumber Released;  ///< The highest released map; zero: none.
};

/// Records what \p state shows of an earlier agent's actions: if HoldingRank is
/// armed and holds no step, it was released. Must be called for each state that
/// is read.
void recordState(RankHistory &history, const RankServerState &state);

/// Returns the server's state in the form that decideRank requires. The map of
/// an armed rank is in force once the rank has been released, which can't be
/// undone. A hold without an armed map is reported as armed with IsHoldOnly, so
/// that a settlement releases it: it may remain from a switch whose process has
/// died. The hold of a cancelled map is not reported.
EngineMap engineMapOf(const RankServerState &state, const RankHistory &history);

/// The HTTP calls of a rank's server in the form that a platform defines. All
/// functions are pure and thread safe. The Read functions fail when the body
/// is malformed.
struct RankDialect {
  std::string StateTarget;  ///< Path; GET returns the RankServerState.
  std::string CountsTarget; ///< Path; GET returns the expert counts.
  std::string PlacesTarget; ///< Path; GET returns this rank's experts.
  std::string OrderTarget;  ///< Path; POST sends an order.
  Result<RankServerState> (*ReadState)(std::string_view body);
  Result<std::vector<std::uint64_t>> (*ReadCounts)(std::string_view body);
  /// Returns this rank's experts in the map in use, layer by layer.
  Result<std::vector<std::vector<Expert>>> (*ReadPlaces)(std::string_view body);
  /// Returns the name of an order, which logs and metrics use too.
  std::string_view (*OrderName)(ServerMapOrder order);
  /// Returns the body of an order. \p places: the map; used by Prepare only.
  std::string (*WriteOrder)(const RankServerOrder &order,
                            const RankPlaces &places);
};

} // namespace greengagespar

#endif // GREENGAGESPAR_DIRECT_RANK_SERVER_H
