/// \file
/// An entry in direct mode: accepts callers' requests and sends them directly
/// to the servers that registered in the platform's store. The entry rejects a
/// request that it can't route or admit; for any other it chooses a service and
/// starts an Exchange, which gets a server from the service's ServerPool and
/// answers the caller. Not thread safe: belongs to the thread of its loop.
#ifndef GREENGAGESPAR_DIRECT_DIRECT_ENTRY_H
#define GREENGAGESPAR_DIRECT_DIRECT_ENTRY_H

#include "greengagespar/direct/direct_settings.h"
#include "greengagespar/direct/exchange.h"
#include "greengagespar/direct/map_coordinator.h"
#include "greengagespar/direct/metrics_listener.h"
#include "greengagespar/direct/server_end_checks.h"
#include "greengagespar/direct/shared_state.h"
#include "greengagespar/direct/site_follower.h"
#include "greengagespar/link/settings_pulls.h"
#include "greengagespar/peers/peer_links.h"

namespace greengagespar {

/// The entry process.
class DirectEntry {
public:
  /// Precondition: all arguments outlive the entry.
  DirectEntry(event_base *loop, zmq::context_t &context,
              const DirectSettings &settings, const SiteDialect &dialect);

  /// Listens and begins to follow the store.
  Result<void> start();
  /// Reports that this entry leaves, so that look-ups stop naming it, finishes
  /// the requests in progress and ends the loop within the grace time. Does
  /// nothing when called again.
  void leave();
  /// Applies those of \p settings that may change while the process runs.
  void reload(const DirectSettings &settings);

private:
  void onRequest(HttpRequestMessage request, std::shared_ptr<HttpReply> reply);
  void answerQuery(CallPurpose call, const std::shared_ptr<HttpReply> &reply);
  void answerAddresses(const std::shared_ptr<HttpReply> &reply);
  std::string renderMetrics();
  void reject(const CallMetadata &facts,
              const std::shared_ptr<HttpReply> &reply, int status,
              std::string_view reason,
              std::chrono::milliseconds retryAfter = {});
  std::optional<Deadline> deadlineOf(const CallMetadata &facts,
                                     const Route &route,
                                     Clock::time_point now) const;
  void onConfiguration(const std::shared_ptr<const RouteTable> &table);
  void onServers(const ServerChanges &changes);
  ServerPool &poolOf(const ServiceId &service);
  std::size_t liveEntries() const;
  PollSlot pollSlot() const;
  void shareRetries();
  void updateRankAgents();
  const EndpointView *serverOnHostOf(const Address &agent) const;
  void recordRankState(const Address &agent, bool isOpen);
  void boundMemory();
  void recordRankLoad(const Address &agent, const LoadReport &load);
  MapCoordinatorHooks mapHooks();
  PeerLinksHooks peerHooks();
  MemberRow ownRow() const;
  void onRateLimit(const ServerRecord &server, std::optional<double> perSecond);
  void onNotice(const ServerRecord &server, NoticeKind kind,
                std::string_view requestId);
  void onCold(const ServerRecord &server, std::chrono::milliseconds remaining);
  ColdSharers coldSharers(const std::vector<LimitSharer> &sharers,
                          Clock::time_point now) const;
  std::vector<ColdRow> coldRows();
  void applyNotices();
  void onOrders(const OrderReport &report);
  void followOrders();
  bool knowsDataCentre(const DataCentreId &dataCentre) const;
  void shareLimits(Clock::time_point now);
  void pullFrom(const Address &peer, Generation at);
  bool isReady() const;
  void tick();
  Clock::time_point endsAt() const;
  Clock::time_point acceptsUntil() const;
  void tickLeaving(Clock::time_point now);
  void endLastCalls();
  void scheduleDestruction(CallId id);

  event_base *Loop;
  DirectSettings Settings;
  const SiteDialect &Dialect;
  LinkIdentity Self;
  Metrics Counters;
  SharedState Shared;
  ExchangeContext Context;
  SiteFollower Site;
  PeerLinks Peers;
  SettingsPulls Pulls;
  MapCoordinator Maps;
  HttpListener RequestListener;
  HttpListener ReadyListener;
  MetricsListener MetricsExporter;
  HttpListener DirectoryListener;
  std::map<ServiceId, std::unique_ptr<ServerPool>> Pools;
  std::unordered_map<CallId, std::unique_ptr<Exchange>> OpenExchanges;
  std::vector<std::unique_ptr<Exchange>> EndedExchanges; ///< To destroy.
  std::uint64_t NextCall = 0;
  std::size_t NextColdRow = 0; ///< See coldRows().
  Clock::time_point LimitsSharedAt{};
  Clock::time_point StartedAt{};
  std::optional<Clock::time_point> LeavingSince;
  bool IsDraining = false;
  /// Number of calls that were ended at endsAt(); empty before that.
  std::optional<std::size_t> LastCallsEnded;
  std::mt19937_64 Random;
  Timer Ticker;
  Timer DestructionTimer;
  ServerEndChecks EndChecks;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_DIRECT_DIRECT_ENTRY_H
