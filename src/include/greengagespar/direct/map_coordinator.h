/// \file
/// The map coordinator of an entry: adapts the expert maps of a site's groups
/// to the current demand for experts. One entry at a time is the driver of all
/// groups: the live one that has run for longest. It collects the counts of
/// all ranks, plans new maps and drives the switches to them (rank_server.h
/// describes a switch). The other entries act only when a driver has died: they
/// settle its switch, which means that they resolve a switch whose outcome is
/// unknown, so that all ranks use the same map. Not thread safe: belongs to the
/// thread of its loop.
#ifndef GREENGAGESPAR_DIRECT_MAP_COORDINATOR_H
#define GREENGAGESPAR_DIRECT_MAP_COORDINATOR_H

#include "greengagespar/base/clock.h"
#include "greengagespar/base/log.h"
#include "greengagespar/base/timer.h"
#include "greengagespar/direct/map_messages.h"
#include "greengagespar/direct/rank_server_client.h"
#include "greengagespar/direct/site.h"
#include "greengagespar/group/driver.h"
#include "greengagespar/group/planner.h"
#include "greengagespar/group/standing.h"
#include "greengagespar/link/link.h"
#include "greengagespar/report/metrics.h"
#include <functional>
#include <map>
#include <memory>

namespace greengagespar {

/// What this entry knows of one rank.
struct KnownRank {
  Address Agent;                    ///< The rank agent's address.
  Clock::time_point LastReceivedAt; ///< When its state was last received.
  bool IsOpen = false;              ///< Its group serves requests.
  MapNumber InUse;                  ///< The map that its server uses.
  std::vector<std::vector<Expert>> Places; ///< Its experts by layer.
  MapNumber PlacesMap;                     ///< The map of Places.
};

/// One group and the switch that is in progress in it.
struct CoordinatedGroup {
  GroupStanding Standing;
  std::uint64_t Epoch = 0;
  EngineProfile Engine;
  std::vector<KnownRank> Ranks;
  /// Set while this entry drives or settles a switch of the group.
  std::optional<DriverState> Driver;
  /// Highest map number that drivers of this process have used. Outlasts the
  /// drivers, since the ranks may not show the number yet.
  MapNumber HighestMap;
  /// When a rank requested a settlement; empty: none did since the last driver
  /// or settler was started.
  std::optional<Clock::time_point> SettlementRequestedAt;
  Clock::time_point NextDriverAt{}; ///< No new driver or settler before.
  LoadTable Loads;
  std::vector<double> PeriodCounts; ///< Of each expert in the current period.
  Clock::time_point PeriodStart{};
  RankPlaces NextPlaces;  ///< The map that the latest switch leads to.
  bool IsPlanDue = false; ///< A switch has ended with its map in use.
  Clock::time_point SwitchStartedAt{}; ///< When the latest switch began.
  /// Number of switches that ended here, by outcome.
  std::map<Decision, std::uint64_t> SwitchesEnded;
  /// Client of the server of HoldingRank. The driver sends the order to hold
  /// itself. If the agent sent it and its host stopped right after that, the
  /// hold would block the whole group.
  std::unique_ptr<RankServerClient> HoldingServer;
  MapNumber HoldRequestedFor; ///< Map of the latest order to hold.
  bool IsHoldPending = false; ///< That order has no answer yet.
};

/// What the coordinator needs from its owner.
struct MapCoordinatorHooks {
  /// Returns the position of this entry among the live ones. The entry at
  /// position 0 is the driver.
  std::function<std::size_t()> Position;
  /// Returns the number of live entries, this one included.
  std::function<std::size_t()> Entries;
  /// Called when a report shows whether the rank of the agent at \p agent
  /// accepts work.
  std::function<void(const Address &agent, bool isOpen)> OnRankOpen;
  /// Returns the server beside which the agent at \p agent runs; empty when it
  /// is not known.
  std::function<std::optional<Address>(const Address &agent)> ServerOf;
  /// Called with the load of the server beside which the agent at \p agent
  /// runs, when the agent has answered a request for it. Does nothing unless
  /// set.
  std::function<void(const Address &agent, const LoadReport &load)> OnRankLoad =
      [](const Address &, const LoadReport &) {};
};

/// The map coordinator of one entry.
class MapCoordinator {
public:
  /// Precondition: all arguments outlive the coordinator.
  MapCoordinator(event_base *loop, zmq::context_t &context,
                 const LinkIdentity &self, const RankDialect &dialect,
                 MapCoordinatorHooks hooks);

  /// Sets the addresses of the rank agents and connects to new ones. \p engine:
  /// the properties of the servers of these groups.
  void setAgents(const std::vector<Address> &agents,
                 const EngineProfile &engine);

  /// Sets in \p metrics, for each group, how long the phase of the switch or
  /// settlement in progress has lasted (0: none), and the numbers of switches
  /// that ended.
  void recordMetrics(Metrics &metrics, Clock::time_point now) const;

private:
  void tick();
  void requestStates(bool isDriver, Clock::time_point now);
  void requestState(const Address &agent, LinkClient &client, bool isDriver);
  void onEnvelope(const Address &agent, const wire::Envelope &envelope);
  void onState(const Address &agent, const wire::RankState &state);
  void recordReportedStanding(CoordinatedGroup &group, const Address &agent,
                              const wire::RankState &state,
                              Clock::time_point now);
  void onReport(const Address &agent, const wire::MapReport &message);
  void logRefusal(const std::string &name, const CoordinatedGroup &group,
                  const RankReport &report);
  void drive(const std::string &name, CoordinatedGroup &group,
             Clock::time_point now);
  void performActions(const std::string &name, CoordinatedGroup &group,
                      const std::vector<DriverAction> &actions);
  void send(const std::string &name, CoordinatedGroup &group,
            const MapOrder &order);
  void holdThenSend(const std::string &name, CoordinatedGroup &group,
                    const MapOrder &order);
  void forwardOrder(const CoordinatedGroup &group, const MapOrder &order);
  void sendResume(CoordinatedGroup &group);
  void endPeriod(const std::string &name, CoordinatedGroup &group,
                 Clock::time_point now);
  void plan(const std::string &name, CoordinatedGroup &group);

  event_base *Loop;
  zmq::context_t &Context;
  const LinkIdentity &Self;
  const RankDialect &Dialect;
  MapCoordinatorHooks Hooks;
  EngineProfile Engine;
  std::map<Address, std::unique_ptr<LinkClient>> Agents;
  std::map<std::string, CoordinatedGroup> Groups;
  std::uint64_t HighestLease = 0;
  LogLimiter RefusalLog{5, std::chrono::seconds(1), 64, {}}; ///< By group.
  bool WasDriver = false; ///< This entry was at position 0 at the last tick.
  Clock::time_point LastRequestAt{};
  Clock::time_point NextRequestAt{};
  std::size_t NextSample = 0; ///< Of the samples of a period, see RankPolling.
  Timer Ticker;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_DIRECT_MAP_COORDINATOR_H
