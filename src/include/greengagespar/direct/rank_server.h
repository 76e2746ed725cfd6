/// \file
/// One rank of a group as its server shows it, and the orders that bring its
/// map where a decision wants it. Pure; thread safe.
///
/// The server knows a map that is armed for a step, and a hold that keeps the
/// whole group from beginning a step. The switch of decideRank and
/// decideDriver wants "armed, and does not enter the step until told" of each
/// rank. One hold does this for all: the driver has the server of HoldingRank
/// hold the step before any rank is armed for it, and that rank's process lets
/// it go once all are. A process that stands still once its rank is armed holds
/// nobody, unless it is that rank's.
///
/// An order without an answer may be carried out seconds later, and nothing in
/// the order lets the server refuse it then. So:
/// - an order is done only when the server's own state shows it, and is given
///   again until then;
/// - a cancelled rank is disarmed and then fenced: another map is prepared, so
///   that a late order to arm finds its map gone. The hold is kept until all
///   ranks have been cancelled (Resume), so that no rank can begin the step
///   while another one may still be armed for it;
/// - a map is never armed again after it was disarmed, and no step is held
///   twice, so that late orders to disarm or to go find nothing;
/// - a process that finds its server in use arms only for steps that lie beyond
///   all that the process before it can have held;
/// - no two drivers use one number for their maps.
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
  StepNumber Step; ///< The last one that was begun.
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
  MapNumber Map;   ///< Of Prepare, Arm and Disarm.
  StepNumber Step; ///< Of Arm, Hold and Go.
};

/// The rank that holds the steps of switches; the owner of all ballots.
inline constexpr Rank HoldingRank{0};

/// What a rank's process is to do at its server.
enum class RankTask {
  Prepare, ///< Have the map's weights there.
  Arm,     ///< Arm the map for the step; HoldingRank must hold it.
  Release, ///< Drop the hold of an armed rank, if it has one: it uses the map.
  Cancel,  ///< Disarm and fence; keep the hold.
  Resume,  ///< Drop the hold of a cancelled rank.
};

/// A task that is being carried out at the server.
struct RankWork {
  RankTask Task = RankTask::Prepare;
  MapOrder Goal;  ///< Unused by Resume.
  int Orders = 0; ///< Given to the server so far.
  /// Nobody waits for its end: it was done before and came undone.
  bool IsAgain = false;
};

/// Returns the task of an order of a switch, which is no Ask.
RankTask taskOf(const MapOrder &order);

/// Orders given for one task before it counts as refused. Up to half of them
/// may be left without an answer.
inline constexpr int MaxOrdersOfWork = 24;

/// Numbers of the maps of one driver lie this far apart; a rank fences with the
/// numbers that follow a cancelled map's.
inline constexpr std::uint64_t MapNumberStride = 4096;
/// Numbers between the maps of two drivers inside a stride.
inline constexpr std::uint64_t MapNumberSalt = 64;

/// Passes from the one that is under way to the first one with a new map.
inline constexpr std::uint64_t MapStepsAhead = 4;

/// Returns the limits of a driver in the process \p life. Thread safe.
DriverLimits mapDriverLimits(Incarnation life);

/// Returns the last step that an earlier process of a rank can have armed for,
/// when the rank's state was \p first at this process's first look: ranks may
/// be a pass apart when they are asked. Zero for a server that was not in use.
StepNumber lastStepBefore(const RankServerState &first);

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

/// Returns the work of a rank that has been released and holds its step again,
/// because an order to hold came late; empty when there is none. \p released:
/// the highest map that its process has released.
std::optional<RankWork> releaseAgain(MapNumber released,
                                     const RankServerState &state);

/// The limits of a process beside a rank that decideRank wants for such
/// servers; the times are left to the caller. Thread safe.
RankLimits rankServerLimits();

/// Returns a map of \p ranks ranks for the fence of rank \p self: its own
/// experts as they are, so that nothing is copied, and the others dealt in
/// turn. \pre \p own holds this rank's experts, layer by layer.
RankPlaces fencePlaces(const std::vector<std::vector<Expert>> &own, Rank self,
                       std::size_t ranks, std::size_t experts);

/// Whether orders of an earlier process may still come late at the server.
bool wasInUse(const RankServerState &state);

/// Notes that an order to drop the hold of a step is given: that step is never
/// armed for again, unless by the same map.
void noteGo(ArmedMap &last, const RankWork &work, StepNumber step);

/// Whether \p order is to arm for a step that the holding rank may have held
/// before; \p last: the latest order to arm that its process has taken. Such an
/// order is passed over: an order to drop the earlier hold may still come late.
bool wasHeldBefore(const MapOrder &order, const ArmedMap &last);

/// What a rank's process has done at its server.
struct RankDeeds {
  MapNumber Cancelled; ///< The highest map cancelled, its fence included.
  MapNumber Released;  ///< The highest map released.
};

/// Notes what \p state shows of an earlier process's deeds: a holding rank that
/// is armed and holds nothing was released. To be called for each state read.
void noteState(RankDeeds &deeds, const RankServerState &state);

/// Returns the state as decideRank wants it. The map of an armed rank is in
/// force once it has been released, which can't be undone. A hold without an
/// armed map counts as armed unless it is that of a cancelled map: it may be
/// left of a switch whose process has died, and a settlement drops it.
EngineMap engineMapOf(const RankServerState &state, const RankDeeds &deeds);

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
  /// The name of an order, also for logs and metrics.
  std::string_view (*OrderName)(ServerMapOrder order);
  /// \p places is used by Prepare.
  std::string (*WriteOrder)(const RankServerOrder &order,
                            const RankPlaces &places);
};

} // namespace greengagespar

#endif // GREENGAGESPAR_DIRECT_RANK_SERVER_H
