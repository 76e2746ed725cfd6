/// \file
/// An entry in direct mode: takes callers' requests and sends them straight to
/// the servers that registered in the platform's store. Not thread safe:
/// belongs to the thread of its loop.
#ifndef GREENGAGESPAR_DIRECT_DIRECT_ENTRY_H
#define GREENGAGESPAR_DIRECT_DIRECT_ENTRY_H

#include "greengagespar/direct/direct_settings.h"
#include "greengagespar/direct/exchange.h"
#include "greengagespar/direct/map_keeper.h"
#include "greengagespar/direct/metrics_edge.h"
#include "greengagespar/direct/site_follower.h"
#include "greengagespar/link/settings_pulls.h"
#include "greengagespar/peers/peer_links.h"

namespace greengagespar {

/// The process.
class DirectEntry {
public:
  /// Precondition: all arguments outlive the entry.
  DirectEntry(event_base *loop, zmq::context_t &context,
              const DirectSettings &settings, const SiteDialect &dialect);

  /// Listens and begins to follow the store.
  Result<void> start();
  /// Takes no new connections from look-ups, finishes what is in progress and
  /// ends the loop within the grace time.
  void leave();
  /// Takes the settings that may change while the process runs.
  void reload(const DirectSettings &settings);

private:
  void onRequest(HttpRequestMessage request, std::shared_ptr<HttpReply> reply);
  void answerEdge(EdgeCall call, const std::shared_ptr<HttpReply> &reply);
  void answerAddresses(const std::shared_ptr<HttpReply> &reply);
  std::string renderMetrics();
  void reject(const CallFacts &facts, const std::shared_ptr<HttpReply> &reply,
              int status, std::string_view reason);
  std::optional<Deadline> dueOf(const CallFacts &facts, const Route &route,
                                Clock::time_point now) const;
  void onConfiguration(const std::shared_ptr<const RouteTable> &table);
  void onServers(const ServerChanges &changes);
  ServerPool &poolOf(const ServiceId &service);
  void shareRetries();
  void findAgents();
  const EndpointView *serverBeside(const Address &agent) const;
  void noteRank(const Address &agent, bool isOpen);
  MapKeeperHooks mapHooks();
  PeerLinksHooks peerHooks();
  MemberRow ownRow() const;
  void pullFrom(const Address &peer, Generation at);
  bool isReady() const;
  void tick();
  void tickLeaving(Clock::time_point now);
  void bury(CallId id);

  event_base *Loop;
  DirectSettings Settings;
  const SiteDialect &Dialect;
  LinkIdentity Self;
  Metrics Numbers;
  ExchangeContext Context;
  SiteFollower Site;
  PeerLinks Peers;
  SettingsPulls Pulls;
  MapKeeper Maps;
  HttpEdge Requests;
  HttpEdge ReadyEdge;
  MetricsEdge MetricsAddress;
  HttpEdge DirectoryEdge;
  std::map<ServiceId, std::unique_ptr<ServerPool>> Pools;
  std::unordered_map<CallId, std::unique_ptr<Exchange>> Open;
  std::vector<std::unique_ptr<Exchange>> Ended;
  std::uint64_t NextCall = 0;
  Clock::time_point StartedAt{};
  std::optional<Clock::time_point> LeavingSince;
  bool IsDraining = false;
  std::mt19937_64 Random;
  Timer Ticker;
  Timer Cleaner;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_DIRECT_DIRECT_ENTRY_H
