#include "greengagespar/direct/server_pool.h"

#include <algorithm>
#include <utility>

namespace greengagespar {

namespace {

// Calls that one server is given beyond its slots by this entry: they wait in
// the server's own queue, which all entries share and which keeps its slots
// full.
constexpr int QueuedAtServer = 2;

// Every server is compared at each choice: the few of a site cost little, and
// the ranks of a group run in step, so that the fullest one sets the pace.
constexpr std::size_t CompareAll = 1024;

// Retries that the whole system may make beyond the share of first attempts;
// from the bounds of the platform's pages, divided among its entries.
constexpr double InitialRetries = 10;

// A broken group is told of each second; one that is not told of any more may
// have lost the process that tells.
constexpr std::chrono::milliseconds ClosedKept{3000};

// Crests last for some seconds, and a broken group forms anew within a few.
constexpr std::chrono::milliseconds StreamRetry{1500};

ChoiceOptions choiceOptions() {
  ChoiceOptions options;
  options.Draws = CompareAll;
  return options;
}

AdmissionOptions admissionOptions() {
  AdmissionOptions options;
  // The caller gives the latest useful start itself.
  options.MaxWaitShare = 1;
  options.MaxQueueShare = 1;
  return options;
}

} // namespace

ServerPool::ServerPool(event_base *loop, ServiceId service, std::uint64_t seed)
    : Loop(loop), Service(std::move(service)), Random(seed) {
  Gate.Options = admissionOptions();
  Retries.Tokens = InitialRetries;
}

void ServerPool::configure(const Backend &backend) {
  Declared = backend;
  for (EndpointView &it : Views)
    if (auto found = Servers.find(it.Target.Id); found != Servers.end())
      it.Slots = slotsOfServer(found->second.Record);
  sharePace();
}

int ServerPool::slotsOfServer(const ServerRecord &record) const {
  return Declared.Engine ? Declared.Engine->Slots : record.Slots;
}

void ServerPool::notePause(Clock::duration pause,
                           std::chrono::milliseconds longest) {
  greengagespar::notePause(Pace, pause, longest,
                           static_cast<int>(Started.size()), Clock::now());
}

void ServerPool::noteOpen(const ServerId &id, bool isOpen) {
  bool wasOpen = !Closed.contains(id);
  EndpointView *view = viewOf(id);
  if (isOpen)
    Closed.erase(id);
  else if (view)
    Closed[id] = Clock::now();
  if (isOpen == wasOpen || !view)
    return;
  view->Target.Leaving = !isOpen || Servers[id].Record.Leaving;
  sharePace();
  startWaiting(Clock::now());
}

// A stream that is refused is late whenever it comes back, so its caller is
// told to come when the crest or the group's break is likely to be over.
Refusal ServerPool::refusalOf(const Refusal &why) const {
  Refusal refusal = why;
  if (Declared.Engine)
    refusal.RetryAfter = std::max(refusal.RetryAfter, StreamRetry);
  return refusal;
}

void ServerPool::noteEvent() { noteProgress(Progress, Clock::now()); }

// Whether one more call may be started, on any server.
bool ServerPool::hasRoom(Clock::time_point now) const {
  auto inFlight = static_cast<int>(Started.size());
  if (inFlight >= allowedStreams(Pace))
    return false;
  return !Declared.Engine || maySend(Progress, inFlight, now);
}

void ServerPool::setEntries(std::size_t entries) {
  Entries = std::max<std::size_t>(1, entries);
  sharePace();
}

// The most that this entry may have on a group without long pauses: its part
// of all slots, and half as much again, as demand is not even.
void ServerPool::sharePace() {
  if (!Declared.Engine)
    return;
  constexpr double uneven = 1.5;
  double slots = 0;
  for (const EndpointView &it : Views)
    slots += it.Target.Leaving ? 0 : it.Slots;
  setMost(Pace, uneven * slots / static_cast<double>(Entries));
}

Capacity ServerPool::capacity() const {
  Capacity all = capacityOf(Views);
  all.Limit = std::min(all.Limit, allowedStreams(Pace));
  // A call that arrives during a stall finds no free slot.
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
  bool isOther =
      kept.Record.BornMs != record.BornMs || kept.Record.At != record.At;
  if (isOther)
    kept.Idle.clear();
  kept.Record = record;
  EndpointView *view = viewOf(record.Id);
  if (!view) {
    view = &Views.emplace_back();
    isOther = true;
  }
  if (isOther) {
    // A new life says nothing about the old one, and the other way round.
    int inFlight = view->InFlight;
    *view = {};
    view->InFlight = inFlight;
    int slots = slotsOfServer(record);
    double limit = slots + QueuedAtServer;
    view->Limit = {limit, limit, Clock::now()};
  }
  view->Target = {record.Id, record.At, record.DataCentre, false,
                  record.Leaving || Closed.contains(record.Id)};
  view->Slots = slotsOfServer(record);
  sharePace();
  startWaiting(Clock::now());
}

void ServerPool::remove(const ServerId &id) {
  std::erase_if(Views,
                [&](const EndpointView &view) { return view.Target.Id == id; });
  Servers.erase(id);
  Closed.erase(id);
  sharePace();
}

bool ServerPool::hasServers() const {
  return std::ranges::any_of(
      Views, [](const EndpointView &view) { return !view.Target.Leaving; });
}

void ServerPool::submit(PoolCall call) {
  auto now = Clock::now();
  ArrivingCall arriving;
  arriving.Id = call.Id;
  arriving.Workspace = call.Workspace;
  arriving.Due = {call.StartBy};
  arriving.ExpectedService = Clock::duration::zero();
  Workspace workspace;
  workspace.Id = call.Workspace;
  AdmissionDecision decision =
      offer(Gate, arriving, workspace, capacity(), now);
  if (decision.Refused)
    return call.OnRefused(refusalOf(*decision.Refused));
  Waiting.emplace(call.Id, std::move(call));
  for (const RefusedCall &it : decision.Evicted)
    if (auto node = Waiting.extract(it.Call.Id))
      node.mapped().OnRefused(refusalOf(it.Why));
  startWaiting(now);
}

void ServerPool::withdraw(CallId id) {
  if (Waiting.erase(id) > 0)
    greengagespar::remove(Gate.Queue, id);
}

std::optional<std::size_t> ServerPool::choose(const QueuedCall &call,
                                              Clock::time_point now) {
  static const ChoiceOptions options = choiceOptions();
  ChoiceRequest request;
  if (auto it = Waiting.find(call.Id); it != Waiting.end())
    request.Exclude = it->second.Exclude;
  request.MeanCall =
      std::chrono::milliseconds(static_cast<int>(Gate.Times.MeanMs));
  auto choice = chooseEndpoint(Views, request, options, now, Random);
  return choice ? std::optional(choice->Index) : std::nullopt;
}

void ServerPool::startWaiting(Clock::time_point now) {
  // A call that starts may fail at once and come back here.
  if (IsStarting)
    return;
  IsStarting = true;
  reviewStanding(Views, now);
  while (hasRoom(now)) {
    auto placed = placeNext(
        Gate, [&](const QueuedCall &call) { return choose(call, now); }, true,
        now);
    if (!placed)
      break;
    CallId id = placed->Call.Call.Id;
    auto node = Waiting.extract(id);
    EndpointView &view = Views[placed->Server];
    noteSent(view);
    noteCallSent(Progress, static_cast<int>(Started.size()), now);
    Started.emplace(id, placed->Call);
    ServerRecord record = Servers[view.Target.Id].Record;
    node.mapped().OnStart(record);
  }
  IsStarting = false;
}

void ServerPool::finished(CallId id, const ServerId &server,
                          const PoolOutcome &outcome) {
  auto now = Clock::now();
  if (auto node = Started.extract(id))
    finish(Gate, node.mapped(), !outcome.Failure && !outcome.IsAbandoned, now);
  if (EndpointView *view = viewOf(server)) {
    if (outcome.IsAbandoned)
      noteAbandoned(*view);
    else if (outcome.Failure)
      noteFailure(*view, *outcome.Failure, now);
    else {
      noteAnswer(*view, outcome.Latency, now);
      noteProgress(Progress, now);
      // Additive increase after the decrease of a refusal.
      view->Limit.Value = std::min(view->Limit.Initial,
                                   view->Limit.Value + 1 / view->Limit.Value);
    }
  }
  startWaiting(now);
}

std::unique_ptr<HttpClientConnection>
ServerPool::connect(const ServerRecord &server, bool mayReuse) {
  auto now = Clock::now();
  auto it = Servers.find(server.Id);
  while (mayReuse && it != Servers.end() && !it->second.Idle.empty()) {
    auto connection = std::move(it->second.Idle.back());
    it->second.Idle.pop_back();
    if (connection->isReusable() && now < connection->usableUntil())
      return connection;
  }
  ++Opened;
  return std::make_unique<HttpClientConnection>(Loop, server.At,
                                                ServerConnectTimeout);
}

void ServerPool::keep(const ServerId &server,
                      std::unique_ptr<HttpClientConnection> connection) {
  auto it = Servers.find(server);
  if (it != Servers.end() && connection->isReusable())
    it->second.Idle.push_back(std::move(connection));
}

void ServerPool::tick(Clock::time_point now) {
  std::vector<ServerId> untold;
  for (const auto &[id, at] : Closed)
    if (now - at > ClosedKept)
      untold.push_back(id);
  for (const ServerId &id : untold)
    noteOpen(id, true);
  for (const RefusedCall &it : expire(Gate, capacity(), now))
    if (auto node = Waiting.extract(it.Call.Id))
      node.mapped().OnRefused(refusalOf(it.Why));
  for (auto &[id, kept] : Servers)
    std::erase_if(kept.Idle, [&](const auto &it) {
      return !it->isReusable() || now >= it->usableUntil();
    });
  startWaiting(now);
}

} // namespace greengagespar
