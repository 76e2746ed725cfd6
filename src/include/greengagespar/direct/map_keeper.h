/// \file
/// Keeps the expert maps of a site's groups in step with what is in demand. One
/// entry at a time drives: the first live one in order of address. The others
/// only settle a switch whose driver has died. Not thread safe: belongs to the
/// thread of its loop.
#ifndef GREENGAGESPAR_DIRECT_MAP_KEEPER_H
#define GREENGAGESPAR_DIRECT_MAP_KEEPER_H

#include "greengagespar/base/clock.h"
#include "greengagespar/direct/map_messages.h"
#include "greengagespar/direct/rank_server_client.h"
#include "greengagespar/direct/site.h"
#include "greengagespar/group/driver.h"
#include "greengagespar/group/planner.h"
#include "greengagespar/link/link.h"
#include "greengagespar/store/timer.h"
#include <functional>
#include <map>
#include <memory>

namespace greengagespar {

/// What is known of one rank.
struct KnownRank {
  Address Agent; ///< The process beside it.
  Clock::time_point HeardAt;
  bool IsOpen = false;
  MapNumber InUse;
  std::vector<std::uint64_t> Counts;       ///< The latest ones.
  std::vector<std::vector<Expert>> Places; ///< Layer by layer.
  MapNumber PlacesOf;                      ///< The map that they belong to.
};

/// One group and its switch.
struct KeptGroup {
  std::uint64_t Epoch = 0;
  EngineProfile Engine;
  std::vector<KnownRank> Ranks;
  std::optional<DriverState> Driver;
  std::optional<Clock::time_point> SettleWanted;
  Clock::time_point NotBefore{}; ///< No new driver before.
  LoadTable Loads;
  std::vector<double> PeriodCounts; ///< Since the last period's end.
  Clock::time_point PeriodFrom{};
  RankPlaces NextPlaces;        ///< The map that a switch leads to.
  Clock::time_point SwitchAt{}; ///< When the last switch began.
  /// The server of HoldingRank. The driver gives the order to hold itself: a
  /// host that stands still right after it gave an order can't hold its group.
  std::unique_ptr<RankServerClient> Holder;
  MapNumber HoldAsked;    ///< The map whose step was asked to be held last.
  bool IsHolding = false; ///< That order has not been answered yet.
};

/// What the keeper needs of its owner.
struct MapKeeperHooks {
  /// Position of this entry among the live ones; 0 drives.
  std::function<std::size_t()> Position;
  /// A rank told how busy its server is.
  std::function<void(const Address &agent, const wire::RankState &)> OnState;
  /// The server beside which the process at \p agent runs, if it is known.
  std::function<std::optional<Address>(const Address &agent)> ServerOf;
};

/// The keeper of one process.
class MapKeeper {
public:
  /// Precondition: all arguments outlive the keeper.
  MapKeeper(event_base *loop, zmq::context_t &context, const LinkIdentity &self,
            const RankDialect &dialect, MapKeeperHooks hooks);

  /// Takes the processes beside the servers of groups. \p engine: how these
  /// servers work.
  void setAgents(const std::vector<Address> &agents,
                 const EngineProfile &engine);

private:
  void tick();
  void ask(Clock::time_point now);
  void onEnvelope(const Address &agent, const wire::Envelope &envelope);
  void onState(const Address &agent, const wire::RankState &state);
  void onReport(const wire::MapReport &message);
  void drive(const std::string &name, KeptGroup &group, Clock::time_point now);
  void apply(const std::string &name, KeptGroup &group,
             const std::vector<DriverAction> &actions);
  void send(const std::string &name, KeptGroup &group, const MapOrder &order);
  void holdThenSend(const std::string &name, KeptGroup &group,
                    const MapOrder &order);
  void pass(const KeptGroup &group, const MapOrder &order);
  void resume(KeptGroup &group);
  void endPeriod(const std::string &name, KeptGroup &group,
                 Clock::time_point now);
  void plan(const std::string &name, KeptGroup &group);

  event_base *Loop;
  zmq::context_t &Context;
  const LinkIdentity &Self;
  const RankDialect &Dialect;
  MapKeeperHooks Hooks;
  EngineProfile Engine;
  std::map<Address, std::unique_ptr<LinkClient>> Agents;
  std::map<std::string, KeptGroup> Groups;
  std::uint64_t HighestLease = 0;
  Clock::time_point NextAsk{};
  Timer Ticker;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_DIRECT_MAP_KEEPER_H
