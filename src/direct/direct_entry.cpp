#include "greengagespar/direct/direct_entry.h"

#include "greengagespar/base/hash.h"
#include "greengagespar/base/log.h"
#include "greengagespar/base/log_output.h"
#include "greengagespar/direct/digest_messages.h"
#include "greengagespar/direct/entry_memory.h"
#include <algorithm>
#include <event2/event.h>

namespace greengagespar {

namespace {

using std::chrono::milliseconds;

// A starting entry drives no switch of an expert map for this long, in which it
// finds its peers.
constexpr milliseconds PeerDiscoveryTime{2000};

// A starting entry sends nothing to cold servers for this long: the entry
// before it at its address may have used its part in the same second.
constexpr milliseconds ColdStartGrace{1000};

// Interval between two checks of waiting calls and old connections: while calls
// wait or the entry leaves, and otherwise.
constexpr milliseconds BusyTick{20};
constexpr milliseconds IdleTick{200};

// A leaving entry still keeps its connections for this long: peers and look-ups
// need that time to learn that it leaves. It accepts new ones for as long after
// that as callers may keep its address.
constexpr milliseconds LeaveLinger{1200};
// Idle connections of a leaving entry are closed after this long.
constexpr milliseconds IdleLinger{300};
// A leaving entry ends its calls this long before the grace time is over, and
// its loop when their answers have had LastAnswersTime to be written.
constexpr milliseconds GraceMargin{400};
constexpr milliseconds LastAnswersTime{150};

// Largest number of addresses in one answer, from the platform's pages.
constexpr std::size_t MaxAddresses = 64;

constexpr int StatusOk = 200;
constexpr int StatusBadRequest = 400;
constexpr int StatusUnauthorized = 401;
constexpr int StatusNotFound = 404;
constexpr int StatusUnavailable = 503;

// Time allowed to a request that names none.
constexpr milliseconds DefaultTimeLeft{30000};

// Time after which a caller may try an entry again that is not ready: a
// starting entry has its configuration by then.
constexpr milliseconds NotReadyRetryAfter{500};
// Time after which a caller may try another entry when this one leaves.
constexpr milliseconds OtherEntryRetryAfter{50};

// An entry counts as unresponsive when its peers have received nothing from it
// for this long, so that callers are not sent to an entry that has been down
// for seconds. Four heartbeats may be lost before.
constexpr milliseconds UnresponsiveAfter{2000};
// The entry exchanges membership directly with up to this many entries of other
// data centres, as it does with those of its own.
constexpr std::size_t FarPartners = 8;

LinkIdentity identityOf(const DirectSettings &settings) {
  return {settings.Name, newIncarnation(), Generation{}};
}

MemberView viewOf(const DirectSettings &settings) {
  MemberView view;
  view.Self = settings.Link;
  view.DataCentre = settings.DataCentre;
  view.Limits.NearTimeout = UnresponsiveAfter;
  view.Limits.FarTimeout = UnresponsiveAfter;
  return view;
}

PartnerLimits partnerLimits() {
  PartnerLimits limits;
  limits.Far = FarPartners;
  return limits;
}

HttpFields jsonFields() { return {{"Content-Type", "application/json"}}; }

} // namespace

DirectEntry::DirectEntry(event_base *loop, zmq::context_t &context,
                         const DirectSettings &settings,
                         const SiteDialect &dialect)
    : Loop(loop), Settings(settings), Dialect(dialect),
      Self(identityOf(settings)),
      Site(loop, settings.Store, dialect, Self.ProcessIncarnation.Value,
           {[this](const std::shared_ptr<const RouteTable> &it) {
              onConfiguration(it);
            },
            [this](const ServerChanges &it) { onServers(it); },
            [this] { return pollSlot(); },
            [this](const OrderReport &it) { onOrders(it); }}),
      Peers(loop, context, Self, viewOf(settings), peerHooks(),
            partnerLimits()),
      Pulls(loop,
            [this](const Address &peer, wire::Envelope &envelope) {
              return Peers.send(peer, envelope);
            }),
      Maps(loop, context, Self, *dialect.Ranks, mapHooks()),
      RequestListener(
          loop, {},
          [this](HttpRequestMessage request, std::shared_ptr<HttpReply> reply) {
            onRequest(std::move(request), std::move(reply));
          }),
      ReadyListener(loop, {},
                    [this](const HttpRequestMessage &request,
                           const std::shared_ptr<HttpReply> &reply) {
                      if (request.Head.Target == "/metrics")
                        return sendMetrics(*reply, renderMetrics());
                      answerQuery(Dialect.ClassifyCall(request.Head), reply);
                    }),
      MetricsExporter(loop, [this] { return renderMetrics(); }),
      DirectoryListener(loop, {},
                        [this](const HttpRequestMessage &request,
                               const std::shared_ptr<HttpReply> &reply) {
                          answerQuery(Dialect.ClassifyCall(request.Head),
                                      reply);
                        }),
      Random(Self.ProcessIncarnation.Value), Ticker(loop, [this] { tick(); }),
      DestructionTimer(loop, [this] { EndedExchanges.clear(); }),
      EndChecks(loop, [this](const ServerRecord &it) {
        reportServerEnd(Shared.Guard, it, Clock::now());
      }) {
  Context.Loop = loop;
  Context.Dialect = &Dialect;
  Context.Counters = &Counters;
  Context.Guard = &Shared.Guard;
  boundMemory();
  Shared.Guard.MayTry = [this](PromptPartId part) {
    return isTrialEntry(Peers.view(), part);
  };
  Shared.Guard.OnNews = [this] { Peers.announceNews(); };
  Shared.Guard.CheckServer = [this](const ServerRecord &it) {
    EndChecks.start(it);
  };
  Context.OnRateLimit = [this](const ServerRecord &server,
                               std::optional<double> perSecond) {
    onRateLimit(server, perSecond);
  };
  Context.OnCold = [this](const ServerRecord &server, milliseconds remaining) {
    onCold(server, remaining);
  };
  Context.OnNotice = [this](const ServerRecord &server, NoticeKind kind,
                            std::string_view requestId) {
    onNotice(server, kind, requestId);
  };
  Context.OnEnded = [this](CallId id) { scheduleDestruction(id); };
}

void DirectEntry::boundMemory() {
  MemoryPlan plan = planMemory(Settings.MemoryMegabytes);
  Context.Buffers.Limit = plan.Buffers;
  Context.Answers.Limit = plan.Answers;
  RequestListener.boundMemory(
      Context.Buffers, [this](const HttpHead &head, std::size_t size) {
        return refuseBody(Dialect, Counters, Context.Buffers, head, size);
      });
}

PeerLinksHooks DirectEntry::peerHooks() {
  PeerLinksHooks hooks;
  hooks.OwnRow = [this] { return ownRow(); };
  hooks.OnGeneration = [this](const Address &peer, Generation at) {
    pullFrom(peer, at);
  };
  hooks.Serve = [this](Generation since) { return Site.snapshotSince(since); };
  hooks.OnSettings = [this](const Address &peer, const wire::Settings &it) {
    Pulls.handleAnswer(peer, it);
  };
  hooks.OnChange = [this] { shareRetries(); };
  hooks.OnLaterIncarnation = [this](Incarnation life) {
    Self.ProcessIncarnation = {life.Value + 1};
  };
  hooks.AddToDigest = [this](wire::Members &digest) {
    writeShared(Shared, digest, Clock::now());
    writeStoreNews(Site.news(Clock::now()), digest);
    writeColdRows(coldRows(), digest);
  };
  hooks.OnDigest = [this](const wire::Members &digest) {
    Site.expect(readStoreNews(digest));
    for (auto &[service, pool] : Pools)
      pool->recordToldCold(readColdRows(digest), Clock::now());
    bool isNews = mergeShared(Shared, digest, Clock::now());
    if (isNews)
      applyNotices();
    return isNews;
  };
  return hooks;
}

void DirectEntry::onRateLimit(const ServerRecord &server,
                              std::optional<double> perSecond) {
  auto now = Clock::now();
  if (!recordRateLimit(Shared, server, perSecond, Self.ProcessIncarnation, now))
    return;
  shareLimits(now);
  Peers.announce();
}

void DirectEntry::onCold(const ServerRecord &server, milliseconds remaining) {
  if (poolOf(server.Service).recordCold(server, remaining))
    shareLimits(Clock::now());
}

// Returns the entries that share what cold servers bear, where `sharers` share
// the servers' own limits.
ColdSharers DirectEntry::coldSharers(const std::vector<LimitSharer> &sharers,
                                     Clock::time_point now) const {
  ColdSharers all;
  for (const LimitSharer &it : sharers)
    all.Entries.push_back(it.Entry);
  all.Known = std::max(sharers.size(), Peers.view().Members.size());
  bool hasPeers = !Settings.Peers.empty();
  all.IsAlone = hasPeers && all.Known <= 1;
  all.IsStarting = hasPeers && now - StartedAt < ColdStartGrace;
  return all;
}

void DirectEntry::onNotice(const ServerRecord &server, NoticeKind kind,
                           std::string_view requestId) {
  if (kind == NoticeKind::Gone)
    reportServerEnd(Shared.Guard, server, Clock::now());
  if (!recordServerNotice(Shared, server, kind, requestId, Clock::now()))
    return;
  applyNotices();
  Peers.announceNews();
}

void DirectEntry::onOrders(const OrderReport &report) {
  if (!recordStoreOrders(Shared, report, Clock::now()))
    return;
  applyNotices();
  Peers.announce();
}

// Whether a server or an entry of \p dataCentre is known.
bool DirectEntry::knowsDataCentre(const DataCentreId &dataCentre) const {
  return std::ranges::any_of(Peers.view().Members,
                             [&](const auto &it) {
                               return it.second.Row.DataCentre == dataCentre;
                             }) ||
         std::ranges::any_of(Pools, [&](const auto &it) {
           return it.second->hasServersIn(dataCentre);
         });
}

// Applies the setting that says whether there are orders to take data centres
// out of service. Without it, those that are known end.
void DirectEntry::followOrders() {
  Shared.Orders.IsOn = Settings.OutOfServiceTime > milliseconds::zero();
  Site.setOutOfServiceTime(Settings.OutOfServiceTime);
  if (Shared.Orders.IsOn)
    return;
  Shared.Orders.DataCentres.clear();
  applyNotices();
}

// Returns what this entry itself has learned about cold servers, in the next
// digest from another one on, so that all take turns.
std::vector<ColdRow> DirectEntry::coldRows() {
  std::vector<ColdRow> rows;
  for (const auto &[service, pool] : Pools)
    pool->addColdRows(rows, Clock::now());
  if (rows.size() <= MaxColdRows)
    return rows;
  auto first = static_cast<std::ptrdiff_t>(NextColdRow % rows.size());
  std::rotate(rows.begin(), rows.begin() + first, rows.end());
  NextColdRow += MaxColdRows;
  return rows;
}

void DirectEntry::applyNotices() {
  for (auto &[service, pool] : Pools)
    pool->applyNotices();
  if (!Shared.Notices.Servers.empty())
    Site.findElsewhere([this](const ServerRecord &it) {
      return isGone(Shared.Notices, incarnationIdOf(it.Id, it.StartedMs));
    });
}

// Sets each pool's parts of the rate limits of its servers and of the room of
// its group.
void DirectEntry::shareLimits(Clock::time_point now) {
  LimitsSharedAt = now;
  for (auto &[service, pool] : Pools) {
    bool isLimited = !Shared.Limits.Servers.empty() || pool->isRateLimited() ||
                     pool->hasCold(now);
    if (!isLimited && !pool->sharesRoom())
      continue;
    std::vector<LimitSharer> sharers =
        limitSharers(Peers.view(), service, pool->reportedDemand(), now);
    if (isLimited)
      pool->shareLimits(Shared.Limits, Settings.Link, sharers,
                        coldSharers(sharers, now));
    pool->shareRoom(Settings.Link, sharers);
  }
}

MapCoordinatorHooks DirectEntry::mapHooks() {
  MapCoordinatorHooks hooks;
  hooks.Position = [this] {
    bool takesPart =
        !LeavingSince && Clock::now() - StartedAt > PeerDiscoveryTime;
    return positionAmong(Peers.view(), Self.ProcessIncarnation, takesPart);
  };
  hooks.Entries = [this] { return liveEntries(); };
  hooks.SiteEntries = [this] { return Peers.view().Members.size(); };
  hooks.OnRankOpen = [this](const Address &agent, bool isOpen) {
    recordRankState(agent, isOpen);
  };
  hooks.OnRankLoad = [this](const Address &agent, const LoadReport &load) {
    recordRankLoad(agent, load);
  };
  hooks.ServerOf = [this](const Address &agent) -> std::optional<Address> {
    const EndpointView *server = serverOnHostOf(agent);
    return server ? std::optional(server->Target.Endpoint) : std::nullopt;
  };
  return hooks;
}

// Returns the server on the host of the rank agent at \p agent; null when no
// server of that host is known.
const EndpointView *DirectEntry::serverOnHostOf(const Address &agent) const {
  std::string host = agent.Value.substr(0, agent.Value.rfind(':') + 1);
  for (const auto &[id, pool] : Pools)
    for (const EndpointView &it : pool->views())
      if (it.Target.Endpoint.Value.starts_with(host))
        return &it;
  return nullptr;
}

// Reports to the pools whether the group of the server on the host of \p agent
// accepts work.
void DirectEntry::recordRankState(const Address &agent, bool isOpen) {
  if (const EndpointView *server = serverOnHostOf(agent)) {
    ServerId id = server->Target.Id;
    for (auto &[service, pool] : Pools)
      pool->recordGroupOpen(id, isOpen);
  }
}

// Passes the load of the server on the host of \p agent on to its pool.
void DirectEntry::recordRankLoad(const Address &agent, const LoadReport &load) {
  if (const EndpointView *server = serverOnHostOf(agent)) {
    ServerId id = server->Target.Id;
    for (auto &[service, pool] : Pools)
      pool->recordServerLoad(id, load);
  }
}

// Updates the addresses of the rank agents. Each runs on the host of its rank's
// server.
void DirectEntry::updateRankAgents() {
  auto table = Site.table();
  if (!table || Settings.RankPort == 0)
    return;
  std::vector<Address> agents;
  EngineProfile engine;
  for (const auto &[id, backend] : table->Site.Backends) {
    if (!backend.Engine || backend.Engine->Experts == 0)
      continue;
    engine = *backend.Engine;
    for (const EndpointView &it : poolOf(id).views()) {
      std::string host = it.Target.Endpoint.Value;
      host = host.substr(0, host.rfind(':') + 1);
      agents.push_back({host + std::to_string(Settings.RankPort)});
    }
  }
  Maps.setAgents(agents, engine);
}

MemberRow DirectEntry::ownRow() const {
  MemberRow row;
  row.Host = Settings.Name;
  row.Link = Settings.Link;
  row.Callers = Settings.Listen;
  row.DataCentre = Settings.DataCentre;
  row.ProcessIncarnation = Self.ProcessIncarnation;
  row.Leaving = LeavingSince.has_value();
  row.Settings = Self.Settings;
  for (const auto &[service, pool] : Pools)
    if (pool->isRateLimited() || pool->sharesRoom())
      row.Demands.push_back(demandRow(service, pool->reportedDemand()));
  return row;
}

Result<void> DirectEntry::start() {
  StartedAt = Clock::now();
  Site.setRegistrationHeartbeat(Settings.RegistrationHeartbeat);
  Site.setChangeTime(Settings.ChangeTime);
  followOrders();
  BOOST_LEAF_CHECK(RequestListener.listen(Settings.Listen));
  BOOST_LEAF_CHECK(ReadyListener.listen(Settings.Ready));
  MetricsExporter.listen(Settings.Metrics);
  BOOST_LEAF_CHECK(DirectoryListener.listen(Settings.Directory));
  Peers.addSeeds(Settings.Peers);
  BOOST_LEAF_CHECK(Peers.start());
  Site.start();
  tick();
  logInfo(Part::Entry, LogLine("start")
                           .add("name", Settings.Name.Value)
                           .add("listen", Settings.Listen.Value)
                           .add("store", Settings.Store.Value)
                           .text());
  return {};
}

void DirectEntry::reload(const DirectSettings &settings) {
  Settings.Grace = settings.Grace;
  Settings.AddressKeep = settings.AddressKeep;
  Settings.RetryShare = settings.RetryShare;
  Settings.ExtraRetries = settings.ExtraRetries;
  Settings.ShareRoom = settings.ShareRoom;
  Settings.RetryWindow = settings.RetryWindow;
  Settings.ColdOverage = settings.ColdOverage;
  Settings.ColdSlack = settings.ColdSlack;
  for (auto &[id, pool] : Pools)
    pool->setColdBound(Settings.ColdOverage, Settings.ColdSlack);
  Settings.Peers = settings.Peers;
  Settings.OutOfServiceTime = settings.OutOfServiceTime;
  Site.setRegistrationHeartbeat(settings.RegistrationHeartbeat);
  Site.setChangeTime(settings.ChangeTime);
  followOrders();
  Peers.addSeeds(settings.Peers);
  shareRetries();
  logInfo(Part::Entry, "reload");
}

void DirectEntry::leave() {
  if (LeavingSince)
    return;
  LeavingSince = Clock::now();
  logInfo(Part::Entry, LogLine("stop_asked")
                           .add("in_progress",
                                static_cast<std::int64_t>(OpenExchanges.size()))
                           .text());
  Peers.announce();
}

// Returns when a leaving entry ends at the latest.
// Precondition: the entry is leaving.
Clock::time_point DirectEntry::endsAt() const {
  return *LeavingSince + (Settings.Grace - GraceMargin);
}

// Returns when a leaving entry accepts no connections any more. Those accepted
// last still have time to become idle before the entry ends.
// Precondition: the entry is leaving.
Clock::time_point DirectEntry::acceptsUntil() const {
  return std::min(*LeavingSince + LeaveLinger + Settings.AddressKeep,
                  endsAt() - IdleLinger * 2);
}

void DirectEntry::tickLeaving(Clock::time_point now) {
  auto since = now - *LeavingSince;
  if (!IsDraining && (since > LeaveLinger || now >= acceptsUntil())) {
    IsDraining = true;
    RequestListener.drain(IdleLinger);
  }
  if (now >= endsAt() && !LastCallsEnded)
    endLastCalls();
  auto isQuiet = [this] {
    return OpenExchanges.empty() && RequestListener.connections() == 0;
  };
  // This may accept connections, whose requests are answered first.
  if (IsDraining && (isQuiet() || now >= acceptsUntil()))
    RequestListener.stopAccepting();
  bool hasEnded = IsDraining && isQuiet();
  if (!hasEnded && now < endsAt() + LastAnswersTime)
    return;
  logInfo(Part::Entry,
          LogLine("stop")
              .addMs("after_ms", since)
              .add("cut", static_cast<std::int64_t>(LastCallsEnded.value_or(0)))
              .text());
  event_base_loopbreak(Loop);
}

// Answers the calls that are still open, as their connections would otherwise
// end without an answer.
void DirectEntry::endLastCalls() {
  std::vector<Exchange *> last;
  for (const auto &[id, exchange] : OpenExchanges)
    last.push_back(exchange.get());
  LastCallsEnded = last.size();
  // The end of a call at a server could start one that waits.
  std::partition(last.begin(), last.end(),
                 [](auto *it) { return !it->isAtServer(); });
  for (Exchange *it : last)
    it->stop();
}

void DirectEntry::tick() {
  auto now = Clock::now();
  Site.tick(now);
  expireEvidence(Shared.Guard.Evidence, now);
  expireLimits(Shared.Limits, now);
  if (expireNotices(Shared.Notices, now))
    applyNotices();
  if (endOrders(Shared, now))
    applyNotices();
  logUnknownOrders(
      Shared, [this](const DataCentreId &it) { return knowsDataCentre(it); },
      now);
  // Each tick would be too often on a large site while calls wait.
  if (now - LimitsSharedAt >= IdleTick / 2)
    shareLimits(now);
  shareRetries();
  bool isWaiting = LeavingSince.has_value();
  for (auto &[id, pool] : Pools) {
    pool->tick(now);
    isWaiting = isWaiting || pool->waiting() > 0;
  }
  if (LeavingSince)
    tickLeaving(now);
  Ticker.start(isWaiting ? BusyTick : IdleTick);
}

void DirectEntry::scheduleDestruction(CallId id) {
  auto node = OpenExchanges.extract(id);
  if (!node)
    return;
  // The exchange calls this function and is still running: a separate event
  // destroys it.
  EndedExchanges.push_back(std::move(node.mapped()));
  DestructionTimer.start(milliseconds{0});
}

ServerPool &DirectEntry::poolOf(const ServiceId &service) {
  auto &pool = Pools[service];
  if (!pool) {
    pool = std::make_unique<ServerPool>(Loop, service, Shared.Notices,
                                        Shared.Orders, Random());
    pool->setColdBound(Settings.ColdOverage, Settings.ColdSlack);
    shareRetries();
  }
  return *pool;
}

// Returns the number of entries that accept work.
std::size_t DirectEntry::liveEntries() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(Peers.view().Members, [](const auto &it) {
        return acceptsWork(it.second);
      }));
}

PollSlot DirectEntry::pollSlot() const {
  return {positionAmong(Peers.view(), Self.ProcessIncarnation, !LeavingSince),
          liveEntries()};
}

// Sets each pool's retry budget to this entry's part of the retries that all
// entries may make.
void DirectEntry::shareRetries() {
  SharedRetries shared{Settings.ExtraRetries, Settings.RetryWindow, StartedAt,
                       !Settings.Peers.empty()};
  RetryAllowance allowance{Settings.RetryShare,
                           extraRetryPart(Peers.view(), shared, Clock::now())};
  for (auto &[id, pool] : Pools) {
    pool->setEntries(liveEntries(), Peers.view().Members.size());
    pool->allowSharedRoom(Settings.ShareRoom);
    applyAllowance(pool->budget(), allowance);
  }
}

void DirectEntry::onConfiguration(
    const std::shared_ptr<const RouteTable> &table) {
  Self.Settings = table->Site.Version;
  for (const auto &[id, backend] : table->Site.Backends)
    poolOf(id).configure(backend);
  // The servers may have been known before, and some of them be cold.
  shareLimits(Clock::now());
  RequestListener.setLimits(table->Site.Limits);
  updateRankAgents();
}

void DirectEntry::onServers(const ServerChanges &changes) {
  for (const ServerRecord &it : changes.Removed)
    poolOf(it.Service).remove(it.Id);
  for (const ServerRecord &it : changes.Updated) {
    reportServerStart(Shared.Guard, it, Clock::now());
    poolOf(it.Service).update(it);
  }
  for (const ServerRecord &it : changes.Cold)
    poolOf(it.Service).recordCold(it, *it.ColdRemaining);
  shareLimits(Clock::now());
  updateRankAgents();
}

void DirectEntry::pullFrom(const Address &peer, Generation at) {
  if (at <= Self.Settings)
    return;
  Pulls.pull(peer, Self.Settings, [this, peer](Result<std::string> result) {
    recoverFrom(
        [&]() -> Result<void> {
          BOOST_LEAF_AUTO(text, std::move(result));
          if (!text.empty())
            Site.applySnapshot(text);
          return {};
        },
        [&](const Error &e) {
          logWarning(Part::Link, LogLine("pull_failed")
                                     .add("peer", peer.Value)
                                     .add("why", e.Message)
                                     .text());
        });
  });
}

bool DirectEntry::isReady() const { return Site.table() && !LeavingSince; }

void DirectEntry::answerQuery(CallPurpose call,
                              const std::shared_ptr<HttpReply> &reply) {
  switch (call) {
  case CallPurpose::Ready:
    return reply->sendWhole(isReady() ? StatusOk : StatusUnavailable, {}, "");
  case CallPurpose::Addresses:
    return answerAddresses(reply);
  case CallPurpose::Request:
    return reply->sendWhole(StatusNotFound, {}, "");
  }
}

void DirectEntry::answerAddresses(const std::shared_ptr<HttpReply> &reply) {
  std::vector<Address> entries = entriesForCaller(
      Peers.view(), Settings.DataCentre, Random(), MaxAddresses);
  if (entries.empty())
    return reply->sendWhole(StatusUnavailable,
                            Dialect.WriteOwnAnswer({}, NotReadyRetryAfter), "");
  reply->sendWhole(StatusOk, jsonFields(),
                   Dialect.WriteAddresses(entries, Settings.AddressKeep));
}

std::string DirectEntry::renderMetrics() {
  setGauge(Counters, {"greengagespar_configuration_version"},
           static_cast<double>(Self.Settings.Value));
  setGauge(Counters, {"greengagespar_requests_open"},
           static_cast<double>(OpenExchanges.size()));
  recordMemory(Context.Buffers, Context.Answers, Counters);
  setGauge(Counters, {"greengagespar_connections"},
           static_cast<double>(RequestListener.connections()));
  setGauge(Counters, {"greengagespar_store_calls"},
           static_cast<double>(totalSent(Site.storeCalls())));
  setGauge(Counters, {"greengagespar_store_polls_overtaken"},
           static_cast<double>(Site.overtakenPolls()));
  setGauge(Counters, {"greengagespar_store_timeline"},
           static_cast<double>(Site.storeTimeline().Value));
  setGauge(
      Counters, {"greengagespar_store_silence_seconds"},
      std::chrono::duration<double>(Site.storeSilence(Clock::now())).count());
  recordMetrics(Shared, Counters, Clock::now());
  for (const auto &[id, pool] : Pools)
    pool->recordMetrics(Counters);
  Maps.recordMetrics(Counters, Clock::now());
  return renderPrometheus(Counters);
}

void DirectEntry::reject(const CallMetadata &facts,
                         const std::shared_ptr<HttpReply> &reply, int status,
                         std::string_view reason, milliseconds retryAfter) {
  logInfo(Part::Call,
          LogLine("answer")
              .add("id", facts.RequestId)
              .add("outcome", "rejected")
              .add("reason", reason)
              .add("status", status)
              .add("config", static_cast<std::int64_t>(Self.Settings.Value))
              .text());
  countUp(Counters, {"greengagespar_requests_total",
                     {{"kind", "none"},
                      {"outcome", "rejected"},
                      {"reason", std::string(reason)}}});
  reply->sendWhole(status, Dialect.WriteOwnAnswer(facts.RequestId, retryAfter),
                   "");
}

std::optional<Deadline> DirectEntry::deadlineOf(const CallMetadata &facts,
                                                const Route &route,
                                                Clock::time_point now) const {
  milliseconds left = facts.TimeLeft.value_or(DefaultTimeLeft);
  if (route.Timeout > milliseconds::zero())
    left = std::min(left, route.Timeout);
  if (left <= milliseconds::zero())
    return std::nullopt;
  return deadlineAfter(left, now);
}

void DirectEntry::onRequest(HttpRequestMessage request,
                            std::shared_ptr<HttpReply> reply) {
  auto now = Clock::now();
  CallMetadata facts = Dialect.ReadCall(request.Head);
  auto table = Site.table();
  if (!table)
    return reject(facts, reply, StatusUnavailable, "no_configuration",
                  NotReadyRetryAfter);
  const Route *route = findRoute(*table, facts.Host, request.Head.Target);
  if (!route)
    return reject(facts, reply, StatusNotFound, "no_route");
  ApiKeyCheck keyCheck = checkApiKey(*table, *route, facts.ApiKey);
  if (!keyCheck.IsAllowed)
    return reject(facts, reply, StatusUnauthorized, "unknown_key");
  if (facts.RequestId.empty())
    return reject(facts, reply, StatusBadRequest, "no_request_id");
  auto deadline = deadlineOf(facts, *route, now);
  if (!deadline)
    return reject(facts, reply, StatusUnavailable, "no_time",
                  NotReadyRetryAfter);
  if (LeavingSince &&
      !canServeBeforeEnd(route->Kind, deadline->At - now, endsAt() - now))
    return reject(facts, reply, StatusUnavailable, "leaving",
                  OtherEntryRetryAfter);
  std::uniform_real_distribution<double> draw(0, 1);
  const ServiceId *service = pickService(*route, draw(Random));
  if (!service)
    return reject(facts, reply, StatusUnavailable, "no_service",
                  NotReadyRetryAfter);
  AcceptedCall call{CallId{Self.ProcessIncarnation, ++NextCall},
                    std::move(facts),
                    table,
                    route,
                    keyCheck.Owner.Workspace,
                    *service,
                    now,
                    *deadline,
                    urgencyOf(*table, *route, keyCheck.Owner, *service)};
  CallId id = call.Id;
  auto exchange =
      std::make_unique<Exchange>(Context, poolOf(*service), std::move(call),
                                 std::move(request), std::move(reply));
  Exchange &started = *exchange;
  OpenExchanges.emplace(id, std::move(exchange));
  started.start();
}

} // namespace greengagespar
