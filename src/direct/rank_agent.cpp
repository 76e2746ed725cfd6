#include "greengagespar/direct/rank_agent.h"

#include "greengagespar/base/log.h"
#include "greengagespar/base/log_output.h"
#include <algorithm>
#include <event2/event.h>
#include <utility>

namespace greengagespar {

namespace {

using std::chrono::milliseconds;

// How often the rank's state is read. It is read more often during a switch,
// because a switch holds the group.
constexpr milliseconds IdlePoll{300};
constexpr milliseconds BusyPoll{25};

// An entry that has not requested the state for this long receives no
// notifications any more. Entries may ask only every
// RankPollOptions::MaxPresenceInterval, and one request may be lost.
constexpr milliseconds WatcherTimeout{15000};

// How often the agent notifies the entries while its group is broken: an entry
// forgets a broken group of which it hears nothing any more.
constexpr milliseconds BrokenGroupInterval{1000};

// The hold of a cancelled map must be released within this time. Otherwise the
// agent requests another settlement.
constexpr milliseconds ResumeTimeout{1000};

// An armed rank waits for the outcome for this long before it requests a
// settlement from the entries. A live driver needs a few ms.
constexpr milliseconds SettleAfter{500};

constexpr std::size_t MaxMapsKept = 4;

// Returns the number of experts of a layer. Each expert is on some rank.
std::size_t countExperts(const std::vector<std::vector<Expert>> &ranks) {
  std::size_t n = 0;
  for (const auto &rank : ranks)
    for (Expert it : rank)
      n = std::max(n, indexOf(it) + 1);
  return n;
}

RankLimits rankLimits() {
  RankLimits limits = rankServerLimits();
  limits.SettleAfter = SettleAfter;
  limits.SettleStagger = milliseconds{0};
  limits.ReadBackAfter = BusyPoll;
  return limits;
}

Schema<RankAgentSettings> makeSchema() {
  using S = RankAgentSettings;
  return {{
      field("name", &S::Name, identifier<HostId>("a host"), Presence::Required,
            "Name of this process, unique among all processes."),
      field("link", &S::Link, ipPort(), Presence::Required,
            "Address that entries connect to."),
      field("server", &S::Server, ipPort(), Presence::Required,
            "Address of the rank's server on this host."),
      field("metrics", &S::Metrics, ipPort(), Presence::Optional,
            "Address that shows this process's metrics."),
      field("log_lines_per_second", &S::LogLinesPerSecond,
            wholeNumber("lines", {1, 100000}), Presence::Optional,
            "Most log lines in a second; more are counted and left out."),
  }};
}

} // namespace

const Schema<RankAgentSettings> &rankAgentSettingsSchema() {
  static const Schema<RankAgentSettings> schema = makeSchema();
  return schema;
}

RankAgentSettings defaultRankAgentSettings() {
  RankAgentSettings settings;
  settings.Name = {"rank-1"};
  settings.Link = {"127.0.0.1:7101"};
  settings.Server = {"127.0.0.1:8101"};
  return settings;
}

RankAgent::RankAgent(event_base *loop, zmq::context_t &context,
                     const RankAgentSettings &settings,
                     const RankDialect &dialect)
    : Loop(loop),
      Settings(settings), Self{settings.Name, newIncarnation(), Generation{}},
      MetricsExporter(loop, [this] { return renderMetrics(); }),
      Link(loop, context, Self,
           [this](const PeerId &from, const wire::Envelope &envelope) {
             onEnvelope(from, envelope);
           }),
      Client(loop, settings.Server, dialect), Poll(loop, [this] { poll(); }) {}

Result<void> RankAgent::start() {
  BOOST_LEAF_CHECK(Link.bind(Settings.Link));
  MetricsExporter.listen(Settings.Metrics);
  poll();
  logInfo(Part::Group, LogLine("start")
                           .add("name", Settings.Name.Value)
                           .add("server", Settings.Server.Value)
                           .text());
  return {};
}

void RankAgent::leave() {
  logInfo(Part::Group, "stop");
  event_base_loopbreak(Loop);
}

void RankAgent::reload(const RankAgentSettings &settings) {
  Client.setServer(settings.Server);
  logInfo(Part::Group,
          LogLine("reload").add("server", settings.Server.Value).text());
}

// Reading the rank's state.

void RankAgent::poll() {
  if (!IsPolling && !Work) {
    IsPolling = true;
    readState([this] { IsPolling = false; });
  }
  checkHoldTimeout(Clock::now());
  if (Server && IsFresh && !Server->IsOpen &&
      Clock::now() - NotifiedAt >= BrokenGroupInterval)
    notifyWatchers(false);
  if (Switch)
    performActions(decideRank(*Switch, RankTick{}, Clock::now()));
  bool isBusy = Work || (Switch && Switch->InProgress) ||
                (Server && (Server->Armed || Server->Held)) ||
                (Server && Server->Prepared != PreparingMap &&
                 PreparingMap > History.Cancelled);
  Poll.start(isBusy ? BusyPoll : IdlePoll);
}

void RankAgent::readState(std::function<void()> done) {
  Client.readState([this, begunAt = Clock::now(), done = std::move(done)](
                       const std::optional<RankServerState> &state) {
    IsFresh = state.has_value();
    if (state)
      ReadAt = begunAt;
    countUp(Counters, {"greengagespar_server_reads_total",
                       {{"read", IsFresh ? "yes" : "no"}}});
    if (state)
      handleState(*state);
    done();
  });
}

void RankAgent::handleState(const RankServerState &state) {
  bool isNewServer = !Server || Server->StartedMs != state.StartedMs ||
                     Server->Epoch != state.Epoch || Server->Self != state.Self;
  bool hasOpenChanged = Server && Server->IsOpen != state.IsOpen;
  Server = state;
  if (hasOpenChanged)
    notifyWatchers(false);
  if (isNewServer && !state.Group.empty()) {
    logInfo(Part::Group,
            LogLine("rank")
                .add("group", state.Group)
                .add("epoch", static_cast<std::int64_t>(state.Epoch))
                .add("rank", static_cast<std::int64_t>(indexOf(state.Self)))
                .add("map", static_cast<std::int64_t>(state.InUse.Value))
                .text());
    // Promises and tasks of an earlier epoch or server process are void.
    Switch = makeRank(state.Self, newIncarnation(), rankLimits());
    Work.reset();
    Maps.clear();
    PreparingMap = {};
    History = {};
    LastArm = {};
    OwnPlaces.clear();
  }
  if (IsFirstRead)
    LastArm.Step = lastStepOfEarlierProcess(state);
  IsFirstRead = false;
  recordState(History, state);
  if (!Switch || Work)
    return;
  if (OwnPlaces.empty() || OwnPlacesMap != state.InUse)
    readOwnPlaces();
  Work = releaseAgain(History.Released, state);
  if (Work)
    return continueWork();
  if (Switch->InProgress)
    return;
  performActions(decideRank(
      *Switch, EngineRead{engineMapOf(state, History), false}, Clock::now()));
}

// Handling the orders of a switch.

void RankAgent::onEnvelope(const PeerId &from, const wire::Envelope &envelope) {
  if (envelope.has_rank_ask())
    return answerState(from, envelope.rank_ask());
  if (envelope.has_map_order())
    return handleMapOrder(from, envelope.map_order());
  if (envelope.has_map_resume())
    handleResume(envelope.map_resume());
}

// Releases the hold of a cancelled map. All ranks were cancelled under the
// ballot that this one has promised last, so none can be armed any more. A
// delayed message of an earlier ballot is ignored.
void RankAgent::handleResume(const wire::MapResume &message) {
  bool isCurrent = Switch && Server && Server->Epoch == message.epoch() &&
                   readBallot(message.ballot()) == Switch->Promised;
  if (!isCurrent || Work || !Server->Held)
    return;
  Work = RankWork{RankTask::Resume, {}, 0};
  readState([this] { continueWork(); });
}

// Forgets the cancellation when no MapResume has released the hold of the
// cancelled map in time, because the driver died before it sent the message.
// engineMapOf() then reports the hold as armed, so that a settlement releases
// it.
void RankAgent::checkHoldTimeout(Clock::time_point now) {
  bool isHeld = Server && Server->Held && !Server->Armed && !Work;
  if (!isHeld)
    UnarmedHoldSince.reset();
  else if (!UnarmedHoldSince)
    UnarmedHoldSince = now;
  else if (now - *UnarmedHoldSince > ResumeTimeout) {
    UnarmedHoldSince = now;
    History.Cancelled = {};
  }
}

void RankAgent::readOwnPlaces() {
  OwnPlacesMap = Server->InUse;
  OwnPlaces.clear();
  Client.readPlaces([this](const std::vector<std::vector<Expert>> &places) {
    OwnPlaces = places;
    if (ExpertsPerLayer == 0)
      readExpertCount();
  });
}

// Derives the number of experts from the number of counts of all layers.
void RankAgent::readExpertCount() {
  Client.readCounts([this](const std::vector<std::uint64_t> &counts) {
    if (!OwnPlaces.empty())
      ExpertsPerLayer = counts.size() / OwnPlaces.size();
  });
}

// Logs that the agent ignores an order to arm a map, because an earlier order
// may already have held the engine before the same step (see mayHaveBeenHeld).
Result<void> RankAgent::logIgnoredArm(const MapOrder &order) const {
  logWarning(
      Part::Group,
      LogLine("arm_passed_over")
          .add("why", "its step may have been held before")
          .add("map", static_cast<std::int64_t>(order.Map.Value))
          .add("step", static_cast<std::int64_t>(order.Step.Value))
          .add("last_step", static_cast<std::int64_t>(LastArm.Step.Value))
          .text());
  return {};
}

void RankAgent::handleMapOrder(const PeerId &from,
                               const wire::MapOrder &message) {
  recoverFrom(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(order, readMapOrder(message));
        bool isCurrent = Switch && Server && Server->Epoch == order.Epoch;
        if (!isCurrent)
          return {};
        bool isPrepare = order.Order.Kind == OrderKind::Prepare;
        if (mayHaveBeenHeld(order.Order, LastArm, *Server))
          return logIgnoredArm(order.Order);
        if (order.Order.Kind == OrderKind::Arm)
          LastArm = {order.Order.Map, std::max(LastArm.Step, order.Order.Step)};
        Requesters[order.Order.Number] = from;
        if (isPrepare) {
          for (const auto &ranks : order.Places)
            ExpertsPerLayer = countExperts(ranks);
          Maps[order.Order.Map] = std::move(order.Places);
        }
        while (Maps.size() > MaxMapsKept)
          Maps.erase(Maps.begin());
        performActions(
            decideRank(*Switch, OrderReceived{order.Order}, Clock::now()));
        Poll.start(BusyPoll);
        return {};
      },
      [](const Error &e) { logWarning(Part::Group, e.Message); });
}

void RankAgent::performActions(const std::vector<RankAction> &actions) {
  for (const RankAction &it : actions) {
    if (const auto *report = std::get_if<SendReport>(&it))
      sendReport(report->Report);
    else if (const auto *order = std::get_if<OrderEngine>(&it))
      startWork(order->Order);
    else if (std::get_if<StartSettlement>(&it) != nullptr)
      notifyWatchers(true);
  }
}

// Logs a report with the server's state that decided it.
void RankAgent::logReport(const RankReport &report) const {
  LogLine line("map_report");
  line.add("to", orderKindName(report.InReplyTo))
      .add("accepted", report.Accepted ? "yes" : "no")
      .add("map", static_cast<std::int64_t>(report.Map.Value))
      .add("lease", static_cast<std::int64_t>(report.Number.Lease.Value));
  if (Server) {
    auto numberOf = [](const auto &it) {
      return it ? std::to_string(it->Value) : "none";
    };
    line.add("at_step", static_cast<std::int64_t>(Server->Step.Value))
        .add("map_in_use", static_cast<std::int64_t>(Server->InUse.Value))
        .add("prepared_map", numberOf(Server->Prepared))
        .add("armed_map",
             Server->Armed ? std::to_string(Server->Armed->Map.Value) : "none")
        .add("held_step", numberOf(Server->Held))
        .add("fresh", IsFresh ? "yes" : "no");
  }
  logInfo(Part::Group, line.text());
}

void RankAgent::sendReport(const RankReport &report) {
  auto requester = Requesters.find(report.Number);
  if (requester == Requesters.end())
    return;
  logReport(report);
  wire::Envelope envelope;
  *envelope.mutable_map_report() =
      writeMapReport({report, Server ? Server->Epoch : 0});
  Link.send(requester->second, envelope);
  // An entry that has received this report never uses a lower ballot again.
  Requesters.erase(Requesters.begin(), requester);
}

void RankAgent::startWork(const MapOrder &order) {
  if (Work)
    return;
  if (order.Kind == OrderKind::Prepare && PreparingMap == order.Map)
    return;
  Work = RankWork{taskOf(order), order, 0};
  readState([this] { continueWork(); });
}

// Sends the next order of the task in progress, or ends the task.
void RankAgent::continueWork() {
  if (!Work)
    return;
  RankServerAction action = decideRankServer(
      *Work, IsFresh ? Server : std::optional<RankServerState>());
  if (action.What == RankServerAction::Kind::Send)
    return sendServerOrder(action.Order);
  endWork(action.What == RankServerAction::Kind::Refused);
}

void RankAgent::sendServerOrder(const RankServerOrder &order) {
  RankPlaces places;
  if (auto map = Maps.find(order.Map); map != Maps.end())
    places = map->second;
  else if (order.Kind == ServerMapOrder::Prepare)
    places =
        fencePlaces(OwnPlaces, Server->Self, Server->Size, ExpertsPerLayer);
  if (order.Kind == ServerMapOrder::ReleaseHold)
    recordHoldRelease(LastArm, *Work, order.Step);
  auto sentAt = Clock::now();
  Client.sendOrder(order, places, [this, order, sentAt](bool isAccepted) {
    auto now = Clock::now();
    countUp(Counters, {"greengagespar_map_orders_total",
                       {{"order", std::string(Client.nameOf(order.Kind))},
                        {"taken", isAccepted ? "yes" : "no"}}});
    observe(Counters, {"greengagespar_map_order_ms"},
            std::chrono::duration<double, std::milli>(now - sentAt).count(),
            now);
    if (!Work)
      return;
    if (order.Kind == ServerMapOrder::Prepare && isAccepted) {
      // The server copies the weights after its answer. Its state shows when
      // the copy is complete.
      PreparingMap = order.Map;
      return endWork(false);
    }
    readState([this] { continueWork(); });
  });
}

void RankAgent::endWork(bool refused) {
  RankWork ended = *Work;
  Work.reset();
  if (ended.Task == RankTask::Resume || ended.IsRepeated)
    return;
  if (ended.Task == RankTask::Cancel && !refused && Server)
    History.Cancelled = std::max({History.Cancelled, ended.Goal.Map,
                                  Server->Prepared.value_or(MapNumber{})});
  if (ended.Task == RankTask::Release && !refused)
    History.Released = std::max(History.Released, ended.Goal.Map);
  if (!Server || !Switch)
    return;
  performActions(decideRank(*Switch,
                            EngineRead{engineMapOf(*Server, History), refused},
                            Clock::now()));
}

// Sending state to the entries.

void RankAgent::answerState(const PeerId &to, const wire::RankAsk &ask) {
  auto now = Clock::now();
  std::erase_if(Watchers, [&](const Watcher &it) {
    return now - it.RequestedAt > WatcherTimeout;
  });
  Watcher *watcher = watcherAt(to);
  if (!watcher)
    watcher = &Watchers.emplace_back(Watcher{to, now, {}});
  watcher->RequestedAt = now;
  // A state that was read before the server became unreachable is outdated.
  if (!Server || !IsFresh)
    return;
  if (ask.with_places())
    return Client.readPlaces(
        [this, to, ask](const std::vector<std::vector<Expert>> &places) {
          sendState(to, ask, {}, places);
        });
  if (!ask.with_counts())
    return sendState(to, ask, {}, {});
  Client.readCounts([this, to, ask](const std::vector<std::uint64_t> &counts) {
    sendState(to, ask, newCountsFor(to, counts), {});
  });
}

RankAgent::Watcher *RankAgent::watcherAt(const PeerId &at) {
  auto it = std::ranges::find(Watchers, at, &Watcher::At);
  return it == Watchers.end() ? nullptr : &*it;
}

// Returns the part of \p counts that the entry \p to has not received yet;
// empty if that is not known.
std::vector<std::uint64_t>
RankAgent::newCountsFor(const PeerId &to,
                        const std::vector<std::uint64_t> &counts) {
  Watcher *watcher = watcherAt(to);
  if (!watcher)
    return {};
  std::vector<std::uint64_t> before =
      std::exchange(watcher->CountsSent, counts);
  if (before.size() != counts.size())
    return {};
  std::vector<std::uint64_t> fresh = counts;
  // The counts restart at zero when the server restarts.
  for (std::size_t i = 0; i < fresh.size(); ++i)
    fresh[i] -= fresh[i] >= before[i] ? before[i] : fresh[i];
  return fresh;
}

std::string RankAgent::renderMetrics() {
  setGauge(Counters, {"greengagespar_watchers"},
           static_cast<double>(Watchers.size()));
  setGauge(Counters, {"greengagespar_server_read_lately"}, IsFresh ? 1 : 0);
  if (Server) {
    setGauge(Counters, {"greengagespar_group_open"}, Server->IsOpen ? 1 : 0);
    setGauge(Counters, {"greengagespar_group_epoch"},
             static_cast<double>(Server->Epoch));
    setGauge(Counters, {"greengagespar_step"},
             static_cast<double>(Server->Step.Value));
    setGauge(Counters, {"greengagespar_map_in_use"},
             static_cast<double>(Server->InUse.Value));
    setGauge(Counters, {"greengagespar_step_held"}, Server->Held ? 1 : 0);
    setGauge(Counters, {"greengagespar_server_running"}, Server->Running);
    setGauge(Counters, {"greengagespar_server_waiting"}, Server->Waiting);
    setGauge(Counters, {"greengagespar_server_pace"}, Server->Pace);
  }
  return renderPrometheus(Counters);
}

void RankAgent::fillState(wire::RankState &out) const {
  out.set_group(Server->Group);
  out.set_epoch(Server->Epoch);
  out.set_rank(static_cast<std::uint32_t>(indexOf(Server->Self)));
  out.set_size(static_cast<std::uint32_t>(Server->Size));
  out.set_open(Server->IsOpen);
  out.set_step(Server->Step.Value);
  out.set_map(Server->InUse.Value);
  out.set_running(static_cast<std::uint32_t>(Server->Running));
  out.set_waiting(static_cast<std::uint32_t>(Server->Waiting));
  out.set_pace(Server->Pace);
  out.set_age_ms(static_cast<std::uint32_t>(
      std::chrono::ceil<milliseconds>(Clock::now() - ReadAt).count()));
}

void RankAgent::sendState(const PeerId &to, const wire::RankAsk &ask,
                          const std::vector<std::uint64_t> &counts,
                          const std::vector<std::vector<Expert>> &places) {
  if (!Server)
    return;
  wire::Envelope envelope;
  wire::RankState &out = *envelope.mutable_rank_state();
  fillState(out);
  out.set_asked_at_ms(ask.asked_at_ms());
  for (std::uint64_t it : counts)
    out.add_new_counts(it);
  for (const auto &layer : places) {
    out.add_places_in_layer(static_cast<std::uint32_t>(layer.size()));
    for (Expert it : layer)
      out.add_places(static_cast<std::uint32_t>(indexOf(it)));
  }
  Link.send(to, envelope);
}

// Notifies all entries at once of a change that they would receive too late
// with their next request.
void RankAgent::notifyWatchers(bool wantsSettlement) {
  NotifiedAt = Clock::now();
  logWarning(Part::Group,
             LogLine(wantsSettlement ? "settlement_wanted" : "group_turned")
                 .add("group", Server->Group)
                 .add("open", Server->IsOpen ? "yes" : "no")
                 .text());
  for (const Watcher &it : Watchers) {
    wire::Envelope envelope;
    fillState(*envelope.mutable_rank_state());
    envelope.mutable_rank_state()->set_wants_settlement(wantsSettlement);
    Link.send(it.At, envelope);
  }
}

} // namespace greengagespar
