#include "greengagespar/direct/server_pool.h"

#include "greengagespar/base/hash.h"
#include "greengagespar/base/log.h"
#include "greengagespar/base/log_output.h"
#include <algorithm>
#include <utility>

namespace greengagespar {

namespace {

// Number of calls that this entry sends to one server in addition to one per
// slot. They wait in the server's own queue, so that a free slot gets its next
// call at once; the calls of all entries share that queue.
constexpr int QueuedAtServer = 2;

// Number of servers compared for each choice, more than a site has: comparing
// all of its few servers costs little, and the ranks of a group run in step, so
// that the one with the most calls determines the speed of all.
constexpr std::size_t CompareAll = 1024;

// A rank agent reports a broken group each second. After this time without a
// report the agent may have been lost, and the pool assumes that the group
// accepts work.
constexpr std::chrono::milliseconds BrokenGroupReportLifetime{3000};

// Time after which the caller of a refused stream may try again: load peaks
// last for some seconds, and a broken group forms again within a few.
constexpr std::chrono::milliseconds StreamRetryAfter{1500};

// Time after which the caller of a service may try again whose servers are all
// in data centres out of service: servers may register elsewhere within it.
constexpr std::chrono::milliseconds OutageRetryAfter{1000};

ChoiceOptions choiceOptions() {
  ChoiceOptions options;
  options.Draws = CompareAll;
  return options;
}

AdmissionOptions admissionOptions() {
  AdmissionOptions options;
  // Exchange sets the latest useful start itself (PoolCall::StartBy).
  options.MaxWaitShare = 1;
  options.MaxQueueShare = 1;
  return options;
}

// Returns the refusal for calls while no server takes any for \p left.
Refusal refusalOfPause(Clock::duration left) {
  return {ErrorKind::Overloaded,
          std::chrono::ceil<std::chrono::milliseconds>(left), Ran::No};
}

// Returns the refusal for calls while all servers are out of service.
Refusal refusalOfOutage() {
  return {ErrorKind::Overloaded, OutageRetryAfter, Ran::No};
}

} // namespace

ServerPool::ServerPool(event_base *loop, ServiceId service,
                       const ServerNotices &notices, const OutOfService &orders,
                       std::uint64_t seed)
    : Loop(loop), Service(std::move(service)), Notices(notices), Orders(orders),
      Random(seed) {
  AdmissionControl.Options = admissionOptions();
  Retries.Tokens = 0;
  Retries.HasPart = false;
}

void ServerPool::configure(const Backend &backend) {
  Declared = backend;
  for (EndpointView &it : Views)
    if (auto found = Servers.find(it.Target.Id); found != Servers.end())
      it.Slots = slotsOfServer(found->second.Record);
  for (EndpointView &it : Views)
    it.Memory.Tokens = memoryOfServer().Tokens;
  GroupState.Model = passModelOf(backend.Engine.value_or(EngineProfile{}));
  updateStreamLimit();
}

// Returns the memory of a server without calls.
ServerMemory ServerPool::memoryOfServer() const {
  return {Declared.Engine ? Declared.Engine->MemoryTokens : 0, 0};
}

// Gives back what the call \p id takes of the memory of its server; \p view is
// null if the pool has it no more.
void ServerPool::releaseMemory(CallId id, EndpointView *view) {
  if (auto node = TokensOfStarted.extract(id); node && view)
    releaseTokens(view->Memory, node.mapped());
}

int ServerPool::slotsOfServer(const ServerRecord &record) const {
  return Declared.Engine ? Declared.Engine->Slots : record.Slots;
}

void ServerPool::recordPause(Clock::duration pause,
                             std::chrono::milliseconds longest) {
  recordPass(GroupState.Passes, pause, longest, Clock::now());
  if (longest > std::chrono::milliseconds::zero())
    GroupState.Targets.LongestPause = longest;
  greengagespar::recordPause(StreamLimit, pause, longest,
                             static_cast<int>(Started.size()), Clock::now());
}

void ServerPool::recordGroupOpen(const ServerId &id, bool isOpen) {
  bool wasOpen = !BrokenGroupReportedAt.contains(id);
  EndpointView *view = viewOf(id);
  if (isOpen)
    BrokenGroupReportedAt.erase(id);
  else if (view)
    BrokenGroupReportedAt[id] = Clock::now();
  if (isOpen == wasOpen || !view)
    return;
  view->Target.Leaving = takesNoWork(Servers[id]);
  updateStreamLimit();
  startWaiting(Clock::now());
}

bool ServerPool::hasThinKnowledge() const {
  return Declared.Engine && isWideSite(*Declared.Engine, KnownEntries);
}

void ServerPool::recordServerLoad(const ServerId &id, const LoadReport &load) {
  EndpointView *view = hasThinKnowledge() ? viewOf(id) : nullptr;
  if (!view)
    return;
  LoadReport known = load;
  known.Slots = view->Slots;
  known.AsOf -= Declared.Engine->ReportLag;
  recordKnownLoad(*view, known);
}

// Whether \p server gets no new work: it leaves, is gone, its group is broken,
// or its data centre is out of service.
bool ServerPool::takesNoWork(const KeptConnections &server) const {
  return server.Record.Leaving ||
         BrokenGroupReportedAt.contains(server.Record.Id) ||
         hasNotice(Notices, server.Incarnation) ||
         isOutOfService(Orders, server.Record.DataCentre);
}

// Whether no server takes work and one of them only because its data centre is
// out of service, which may last: calls then wait for nothing.
bool ServerPool::areLastServersOut() const {
  return !hasServers() && std::ranges::any_of(Views, [&](const auto &view) {
    return isOutOfService(Orders, view.Target.DataCentre);
  });
}

void ServerPool::applyNotices() {
  bool isChanged = false;
  for (EndpointView &view : Views) {
    KeptConnections &kept = Servers[view.Target.Id];
    bool leaves = takesNoWork(kept);
    isChanged = isChanged || leaves != view.Target.Leaving;
    bool hasReturned = view.Target.Leaving && !leaves;
    view.Target.Leaving = leaves;
    if (hasReturned)
      recordReturn(view, kept);
  }
  if (isChanged)
    updateStreamLimit();
  refuseIfOut();
}

// Refuses the calls that wait if no server is left because of an order.
void ServerPool::refuseIfOut() {
  if (Waiting.empty() || !areLastServersOut())
    return;
  for (auto &[id, call] : std::exchange(Waiting, {})) {
    greengagespar::remove(AdmissionControl.Queue, id);
    refuse(call, refusalOfOutage());
  }
}

// Returns \p why; for a model group, with a RetryAfter of at least
// StreamRetryAfter. A refused stream has missed its objective however soon it
// is sent again, so its caller should wait until the load peak has probably
// passed or the broken group has probably formed again.
//
// Where the entries share the room of the group, such callers are told times
// that differ.
Refusal ServerPool::refusalOf(const PoolCall &call, const Refusal &why) {
  auto now = Clock::now();
  Refusal refusal = why;
  refusal.Why = whyNoRoom(now);
  if (!Declared.Engine)
    return refusal;
  refusal.RetryAfter =
      GroupState.Room ? retryTime(GroupState, call.CallUrgency,
                                  StreamRetryAfter, call.AnswerBy - now, now)
                      : std::max(refusal.RetryAfter, StreamRetryAfter);
  return refusal;
}

void ServerPool::refuse(PoolCall &call, const Refusal &why) {
  auto level = static_cast<std::size_t>(call.CallUrgency.Level);
  ++GroupState.Outcomes.at(level).Refused;
  call.OnRefused(refusalOf(call, why));
}

// Says for the log what there is no room for.
std::string_view ServerPool::whyNoRoom(Clock::time_point now) const {
  auto inFlight = static_cast<int>(Started.size());
  if (!hasServers())
    return "no_servers";
  if (Declared.Engine && isStalled(Progress, inFlight, now))
    return "stalled";
  if (Declared.Engine && inFlight >= streamsAllowedNow(now))
    return GroupState.Room ? "group_full" : "pace_limit";
  return "servers_full";
}

void ServerPool::allowSharedRoom(bool isAllowed) {
  MayShareRoom = isAllowed;
  updateStreamLimit();
}

void ServerPool::shareRoom(const Address &self,
                           const std::vector<LimitSharer> &sharers) {
  GroupState.EntryHash = stableHash(self.Value);
  GroupState.Share = demandShare(self, sharers);
}

// Returns how many streams this entry may have on a group; unlimited for a
// plain service.
int ServerPool::streamsAllowedNow(Clock::time_point now) const {
  return streamsAllowed(GroupState, now).value_or(allowedStreams(StreamLimit));
}

void ServerPool::recordEvent() { recordGroupProgress(Progress, Clock::now()); }

// Whether the pool may start one more call on any server.
bool ServerPool::hasRoom(Clock::time_point now) const {
  auto inFlight = static_cast<int>(Started.size());
  if (inFlight >= streamsAllowedNow(now))
    return false;
  return !Declared.Engine || maySend(Progress, inFlight, now);
}

void ServerPool::shareLimits(const RateLimits &limits, const Address &self,
                             const std::vector<LimitSharer> &sharers,
                             const ColdSharers &coldSharers) {
  auto now = Clock::now();
  ColdStartRule rule = coldRule();
  HasRates = false;
  for (EndpointView &view : Views) {
    const KeptConnections &kept = Servers[view.Target.Id];
    ServerIncarnationId id = kept.Incarnation;
    auto limit = limitOf(limits, id);
    auto cold = coldPart(rule, kept.Cold, id, self, coldSharers, now);
    if (!limit && !cold) {
      view.Rate.reset();
      continue;
    }
    HasRates = true;
    double unlimited = std::numeric_limits<double>::infinity();
    double part = limit ? partOfLimit(*limit, id, self, sharers) : unlimited;
    part = std::min(part, cold.value_or(unlimited));
    // The holders' first requests to a cold server are spread.
    std::uniform_real_distribution<double> draw(0, 1);
    if (!view.Rate || (!limit && view.Rate->PerSecond == 0))
      view.Rate = RateShare{part, limit ? 0 : draw(Random), now};
    // A part that is taken over is no reason to send at once what the holder
    // before may have sent just now.
    if (view.Rate->PerSecond == 0)
      view.Rate->Tokens = 0;
    view.Rate->PerSecond = part;
  }
}

double ServerPool::reportedDemand() {
  return greengagespar::reportedDemand(Demand, Clock::now());
}

void ServerPool::pauseServer(const ServerRecord &server,
                             std::chrono::milliseconds time,
                             std::string_view requestId) {
  EndpointView *view = viewOf(server.Id);
  if (!view || Servers[server.Id].Record.StartedMs != server.StartedMs)
    return;
  auto now = Clock::now();
  pauseCalls(*view, time, now);
  logInfo(Part::Route, LogLine("server_pause")
                           .add("id", requestId)
                           .add("server", server.Id.Value)
                           .addMs("for_ms", *view->PausedUntil - now)
                           .text());
  if (auto left = timeToFirstPauseEnd(Views, now))
    refuseWaiting(refusalOfPause(*left));
}

void ServerPool::refuseWaiting(const Refusal &why) {
  for (auto &[id, call] : std::exchange(Waiting, {})) {
    greengagespar::remove(AdmissionControl.Queue, id);
    call.OnRefused(why);
  }
}

// Adds the tokens that are due to this entry's parts of rate limits.
void ServerPool::updateRates(Clock::time_point now) {
  if (!HasRates)
    return;
  for (EndpointView &view : Views)
    if (view.Rate)
      updateRateShare(*view.Rate, now);
}

void ServerPool::setEntries(std::size_t live, std::size_t known) {
  Entries = std::max<std::size_t>(1, live);
  KnownEntries = std::max(Entries, known);
  updateStreamLimit();
}

// Sets the number of streams that this entry may have on a group while pauses
// are short: its part of all slots, and half as much again, as the entries'
// demand is uneven.
void ServerPool::updateStreamLimit() {
  GroupState.IsInForce = MayShareRoom && hasThinKnowledge();
  AdmissionControl.Options.OnlyWaitingShare = GroupState.IsInForce;
  if (!Declared.Engine)
    return;
  constexpr double unevenDemandFactor = 1.5;
  double slots = 0;
  for (const EndpointView &it : Views)
    slots += it.Target.Leaving ? 0 : it.Slots;
  setMaxStreams(StreamLimit,
                unevenDemandFactor * slots / static_cast<double>(Entries));
}

Capacity ServerPool::capacity() const {
  Capacity all = capacityOf(Views);
  all.Limit = std::min(all.Limit, streamsAllowedNow(Clock::now()));
  // During a stall a call that arrives finds no free slot.
  bool stalls =
      Declared.Engine &&
      isStalled(Progress, static_cast<int>(Started.size()), Clock::now());
  if (stalls)
    all.Limit = std::min(all.Limit, all.InFlight);
  return all;
}

EndpointView *ServerPool::viewOf(const ServerId &id) {
  auto it = std::ranges::find_if(
      Views, [&](const EndpointView &view) { return view.Target.Id == id; });
  return it == Views.end() ? nullptr : &*it;
}

void ServerPool::update(const ServerRecord &record) {
  KeptConnections &kept = Servers[record.Id];
  bool isNewServer =
      kept.Record.StartedMs != record.StartedMs || kept.Record.At != record.At;
  if (isNewServer)
    kept.Idle.clear();
  kept.Record = record;
  kept.Incarnation = incarnationIdOf(record.Id, record.StartedMs);
  EndpointView *view = viewOf(record.Id);
  if (!view) {
    view = &Views.emplace_back();
    isNewServer = true;
  }
  if (isNewServer) {
    // What was learned about one incarnation is no evidence about another, so
    // only the number of calls in progress is kept.
    int inFlight = view->InFlight;
    std::int64_t held = view->Memory.Held;
    *view = {};
    view->InFlight = inFlight;
    view->Memory = memoryOfServer();
    view->Memory.Held = held;
    int slots = slotsOfServer(record);
    double limit = slots + QueuedAtServer;
    view->Limit = {limit, limit, Clock::now()};
  }
  bool wasLeaving = view->Target.Leaving;
  view->Target = {record.Id, record.At, record.DataCentre, false,
                  takesNoWork(kept)};
  applyColdRecord(kept, isNewServer, wasLeaving && !view->Target.Leaving);
  withholdPart(*view, kept);
  view->Slots = slotsOfServer(record);
  updateStreamLimit();
  startWaiting(Clock::now());
}

void ServerPool::remove(const ServerId &id) {
  std::erase_if(Views,
                [&](const EndpointView &view) { return view.Target.Id == id; });
  Servers.erase(id);
  BrokenGroupReportedAt.erase(id);
  updateStreamLimit();
}

bool ServerPool::hasServers() const {
  return std::ranges::any_of(
      Views, [](const EndpointView &view) { return !view.Target.Leaving; });
}

bool ServerPool::hasServersIn(const DataCentreId &dataCentre) const {
  return std::ranges::any_of(Views, [&](const EndpointView &view) {
    return view.Target.DataCentre == dataCentre;
  });
}

void ServerPool::submit(PoolCall call) {
  auto now = Clock::now();
  noticeStandstill(now);
  recordDemand(Demand, now);
  if (!canHold(memoryOfServer(), call.Tokens)) {
    ++BeyondMemory;
    return refuse(call, {ErrorKind::Overloaded});
  }
  updateRates(now);
  recordAllowedTime(GroupState, call.AnswerBy - now);
  reviewRoom(GroupState, Views, static_cast<int>(Started.size()), now);
  endPauses(Views, now);
  if (auto left = timeToFirstPauseEnd(Views, now))
    return call.OnRefused(refusalOfPause(*left));
  if (areLastServersOut())
    return refuse(call, refusalOfOutage());
  ArrivingCall arriving;
  arriving.Id = call.Id;
  arriving.Workspace = call.Workspace;
  arriving.AnswerDeadline = {
      latestStart(GroupState, call.FirstEventBy, call.StartBy, now)};
  arriving.ExpectedService = Clock::duration::zero();
  arriving.CallUrgency = call.CallUrgency;
  Workspace workspace;
  workspace.Id = call.Workspace;
  AdmissionDecision decision =
      offer(AdmissionControl, arriving, workspace, capacity(), now);
  if (decision.Refused) {
    RefusedBesideCold += hasCold(now) ? 1 : 0;
    return refuse(call, *decision.Refused);
  }
  Waiting.emplace(call.Id, std::move(call));
  for (const RefusedCall &it : decision.Evicted)
    if (auto node = Waiting.extract(it.Call.Id))
      refuse(node.mapped(), it.Reason);
  startWaiting(now);
}

void ServerPool::withdraw(CallId id) {
  if (Waiting.erase(id) > 0)
    greengagespar::remove(AdmissionControl.Queue, id);
}

bool ServerPool::canStartElsewhere(const std::vector<ServerId> &exclude,
                                   std::int64_t tokens) {
  auto now = Clock::now();
  updateRates(now);
  auto others = static_cast<int>(Started.size()) - 1;
  bool stalls = Declared.Engine &&
                isStalled(Progress, static_cast<int>(Started.size()), now);
  if (stalls || waiting() > 0 || others >= streamsAllowedNow(now))
    return false;
  ChoiceRequest request;
  request.Exclude = exclude;
  request.Tokens = tokens;
  auto choice = chooseEndpoint(Views, request, choiceOptions(), now, Random);
  return choice && std::ranges::find(exclude, Views[choice->Index].Target.Id) ==
                       exclude.end();
}

std::optional<std::size_t> ServerPool::choose(const QueuedCall &call,
                                              Clock::time_point now) {
  ChoiceOptions options = choiceOptions();
  if (hasThinKnowledge())
    options.Even = evenLoadOptions();
  ChoiceRequest request;
  if (auto it = Waiting.find(call.Id); it != Waiting.end()) {
    request.Exclude = it->second.Exclude;
    request.Tokens = it->second.Tokens;
  }
  request.MeanCall = std::chrono::milliseconds(
      static_cast<int>(AdmissionControl.Times.MeanMs));
  auto choice = chooseEndpoint(Views, request, options, now, Random);
  if (!choice)
    return std::nullopt;
  LastChoice = {choice->Reason, Views[choice->Index].Report};
  return choice->Index;
}

EvenLoadOptions ServerPool::evenLoadOptions() const {
  EvenLoadOptions options;
  if (AdmissionControl.Times.Samples > 0)
    options.MeanCall = std::chrono::milliseconds(
        static_cast<int>(AdmissionControl.Times.MeanMs));
  options.Entries = Entries;
  if (Declared.Engine && Declared.Engine->PerRequestMs > 0)
    options.IdleCalls = Declared.Engine->StepMs / Declared.Engine->PerRequestMs;
  return options;
}

// Starts as many waiting calls as the servers have room for.
void ServerPool::startWaiting(Clock::time_point now) {
  // The attempt that OnStart begins may fail at once; finished() and submit()
  // then call this function again.
  if (IsStarting)
    return;
  IsStarting = true;
  updateHealthStates(Views, now);
  endPauses(Views, now);
  updateRates(now);
  while (hasRoom(now)) {
    auto placed = placeNext(
        AdmissionControl,
        [&](const QueuedCall &call) { return choose(call, now); }, true, now);
    if (!placed)
      break;
    CallId id = placed->Call.Call.Id;
    auto node = Waiting.extract(id);
    EndpointView &view = Views[placed->Server];
    recordSentCall(view);
    if (hasThinKnowledge())
      recordSendTime(view, now);
    recordCallToGroup(Progress, static_cast<int>(Started.size()), now);
    Started.emplace(id, placed->Call);
    if (view.Memory.Tokens > 0) {
      holdTokens(view.Memory, node.mapped().Tokens);
      TokensOfStarted.emplace(id, node.mapped().Tokens);
    }
    ++GroupState.Outcomes
          .at(static_cast<std::size_t>(node.mapped().CallUrgency.Level))
          .Started;
    ServerRecord record = Servers[view.Target.Id].Record;
    node.mapped().OnStart(record);
  }
  IsStarting = false;
}

void ServerPool::finished(CallId id, const ServerId &server,
                          const PoolOutcome &outcome) {
  auto now = Clock::now();
  if (auto node = Started.extract(id))
    finish(AdmissionControl, node.mapped(),
           !outcome.Failure && !outcome.IsAbandoned, now);
  EndpointView *view = viewOf(server);
  releaseMemory(id, view);
  if (view) {
    if (outcome.IsAbandoned)
      recordAbandonedCall(*view);
    else if (outcome.Failure)
      recordFailedCall(*view, *outcome.Failure, now);
    else {
      recordAnsweredCall(*view, outcome.Latency, now);
      recordFirstEvent(GroupState, outcome.Latency);
      recordGroupProgress(Progress, now);
      // Additive increase, after a refusal has decreased the limit.
      view->Limit.Value = std::min(view->Limit.Initial,
                                   view->Limit.Value + 1 / view->Limit.Value);
    }
  }
  startWaiting(now);
}

// Removes and returns the connection of \p idle that was used last, among those
// that can be used and have not carried the request. Null: there is none.
std::unique_ptr<HttpClientConnection>
ServerPool::takeIdle(IdleConnections &idle, std::string_view requestId) {
  auto now = Clock::now();
  bool hasCarrier = false;
  for (std::size_t i = idle.size(); i-- > 0;) {
    const HttpClientConnection &it = *idle[i];
    bool isUsable = it.isReusable() && now < it.usableUntil();
    if (isUsable && it.hasCarried(requestId)) {
      hasCarrier = true;
      continue;
    }
    auto connection = std::move(idle[i]);
    idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i));
    if (isUsable)
      return connection;
  }
  if (hasCarrier)
    ++ConnectionsForRepeats;
  return nullptr;
}

std::unique_ptr<HttpClientConnection>
ServerPool::connect(const ServerRecord &server, std::string_view requestId) {
  auto it = Servers.find(server.Id);
  if (it != Servers.end())
    if (auto connection = takeIdle(it->second.Idle, requestId))
      return connection;
  ++ConnectionsOpened;
  return std::make_unique<HttpClientConnection>(Loop, server.At,
                                                ServerConnectTimeout);
}

void ServerPool::keep(const ServerRecord &server,
                      std::unique_ptr<HttpClientConnection> connection) {
  auto it = Servers.find(server.Id);
  if (it == Servers.end() || !connection->isReusable())
    return;
  const ServerRecord &now = it->second.Record;
  if (now.At == server.At && now.StartedMs == server.StartedMs)
    it->second.Idle.push_back(std::move(connection));
}

void ServerPool::tick(Clock::time_point now) {
  noticeStandstill(now);
  reviewRoom(GroupState, Views, static_cast<int>(Started.size()), now);
  logRoom(GroupState, Service, static_cast<int>(Started.size()), now);
  std::vector<ServerId> expired;
  for (const auto &[id, at] : BrokenGroupReportedAt)
    if (now - at > BrokenGroupReportLifetime)
      expired.push_back(id);
  for (const ServerId &id : expired)
    recordGroupOpen(id, true);
  refuseIfOut();
  for (const RefusedCall &it : expire(AdmissionControl, capacity(), now))
    if (auto node = Waiting.extract(it.Call.Id))
      refuse(node.mapped(), it.Reason);
  for (auto &[id, kept] : Servers) {
    reportCold(kept, now);
    std::erase_if(kept.Idle, [&](const auto &it) {
      return !it->isReusable() || now >= it->usableUntil();
    });
  }
  startWaiting(now);
}

void ServerPool::recordMetrics(Metrics &counters) const {
  auto set = [&](const char *name, double value) {
    setGauge(counters, {name, {{"service", Service.Value}}}, value);
  };
  set("greengagespar_waiting", static_cast<double>(waiting()));
  set("greengagespar_mean_pause_ms", StreamLimit.MeanPauseMs);
  set("greengagespar_pace_limit", StreamLimit.Value);
  greengagespar::recordMetrics(GroupState, Service, counters);
  set("greengagespar_server_connections",
      static_cast<double>(ConnectionsOpened));
  set("greengagespar_server_connections_for_repeats",
      static_cast<double>(ConnectionsForRepeats));
  double held = 0;
  for (const EndpointView &it : Views)
    held = std::max(held, static_cast<double>(it.Memory.Held));
  set("greengagespar_server_tokens_held", held);
  set("greengagespar_requests_beyond_server_memory",
      static_cast<double>(BeyondMemory));
  set("greengagespar_retry_tokens", Retries.Tokens);
  set("greengagespar_retry_part", Retries.MaxTokens + Retries.Overdraft);
  set("greengagespar_retry_entries", static_cast<double>(Entries));
  recordColdMetrics(counters);
  if (!Declared.Engine)
    return;
  LoadEvenness loads = evennessOf(Views, evenLoadOptions(), Clock::now());
  set("greengagespar_load_reports", loads.Reported);
  set("greengagespar_load_report_age_ms", loads.MeanAgeMs);
  set("greengagespar_load_largest_over_mean", loads.LargestOverMean);
  set("greengagespar_load_waiting_beside_free", loads.WaitingBesideFree);
}

} // namespace greengagespar
