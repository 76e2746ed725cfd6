#include "greengagespar/direct/rank_agent.h"

#include "greengagespar/base/log.h"
#include "greengagespar/base/log_output.h"
#include <algorithm>
#include <event2/event.h>

namespace greengagespar {

namespace {

using std::chrono::milliseconds;

// How often the rank's state is read: seldom while nothing goes on, often
// during a switch, which holds the group.
constexpr milliseconds IdlePoll{300};
constexpr milliseconds BusyPoll{25};

// An entry that has not asked for so long is told nothing any more.
constexpr milliseconds WatcherKept{5000};

// A hold whose map was cancelled is dropped by then, or settled once more.
constexpr milliseconds ResumeWithin{1000};

// A switch waits for its outcome for this long before entries are asked to
// settle it; a driver that lives needs a few ms.
constexpr milliseconds SettleAfter{500};

constexpr std::size_t MaxMapsKept = 4;

// The number of experts of a layer: each is on some rank.
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
            "Name of this process, unique among all."),
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
      MetricsAddress(loop, [this] { return renderMetrics(); }),
      Link(loop, context, Self,
           [this](const PeerId &from, const wire::Envelope &envelope) {
             onEnvelope(from, envelope);
           }),
      Calls(loop, settings.Server, dialect), Poll(loop, [this] { poll(); }) {}

Result<void> RankAgent::start() {
  BOOST_LEAF_CHECK(Link.bind(Settings.Link));
  MetricsAddress.listen(Settings.Metrics);
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
  Calls.setServer(settings.Server);
  logInfo(Part::Group,
          LogLine("reload").add("server", settings.Server.Value).text());
}

// The rank's state.

void RankAgent::poll() {
  if (!IsPolling && !Work) {
    IsPolling = true;
    readState([this] { IsPolling = false; });
  }
  reviewHold(Clock::now());
  if (Switch)
    act(decideRank(*Switch, RankTick{}, Clock::now()));
  bool isBusy = Work || (Switch && Switch->InProgress) ||
                (Server && (Server->Armed || Server->Held)) ||
                (Server && Server->Prepared != PrepareSent &&
                 PrepareSent > Deeds.Cancelled);
  Poll.start(isBusy ? BusyPoll : IdlePoll);
}

void RankAgent::readState(std::function<void()> done) {
  Calls.readState([this, done = std::move(done)](
                      const std::optional<RankServerState> &state) {
    IsFresh = state.has_value();
    countUp(Numbers, {"greengagespar_server_reads_total",
                      {{"read", IsFresh ? "yes" : "no"}}});
    if (state)
      takeState(*state);
    done();
  });
}

void RankAgent::takeState(const RankServerState &state) {
  bool isOther = !Server || Server->BornMs != state.BornMs ||
                 Server->Epoch != state.Epoch || Server->Self != state.Self;
  bool isTurned = Server && Server->IsOpen != state.IsOpen;
  Server = state;
  if (isTurned)
    tellWatchers(false);
  if (isOther && !state.Group.empty()) {
    logInfo(Part::Group,
            LogLine("rank")
                .add("group", state.Group)
                .add("epoch", static_cast<std::int64_t>(state.Epoch))
                .add("rank", static_cast<std::int64_t>(indexOf(state.Self)))
                .add("map", static_cast<std::int64_t>(state.InUse.Value))
                .text());
    // What an earlier epoch promised or began is void.
    Switch = makeRank(state.Self, newIncarnation(), rankLimits());
    Work.reset();
    Maps.clear();
    PrepareSent = {};
    Deeds = {};
    LastArm = {};
    OwnPlaces.clear();
  }
  if (IsFirstRead)
    LastArm.Step = lastStepBefore(state);
  IsFirstRead = false;
  noteState(Deeds, state);
  if (!Switch || Work)
    return;
  if (OwnPlaces.empty() || OwnPlacesOf != state.InUse)
    readOwnPlaces();
  Work = releaseAgain(Deeds.Released, state);
  if (Work)
    return stepWork();
  if (Switch->InProgress)
    return;
  act(decideRank(*Switch, EngineRead{engineMapOf(state, Deeds), false},
                 Clock::now()));
}

// Orders of a switch.

void RankAgent::onEnvelope(const PeerId &from, const wire::Envelope &envelope) {
  if (envelope.has_rank_ask())
    return answerState(from, envelope.rank_ask());
  if (envelope.has_map_order())
    return takeMapOrder(from, envelope.map_order());
  if (envelope.has_map_resume())
    takeResume(envelope.map_resume());
}

// All ranks were cancelled under the ballot that this one has promised last, so
// none can be armed by now.
void RankAgent::takeResume(const wire::MapResume &message) {
  bool isCurrent = Switch && Server && Server->Epoch == message.epoch() &&
                   readBallot(message.ballot()) == Switch->Promised;
  if (!isCurrent || Work || !Server->Held)
    return;
  Work = RankWork{RankTask::Resume, {}, 0};
  readState([this] { stepWork(); });
}

// Shows a cancelled hold that nobody drops as armed again, so that it is
// settled.
void RankAgent::reviewHold(Clock::time_point now) {
  bool isHeld = Server && Server->Held && !Server->Armed && !Work;
  if (!isHeld)
    HeldSince.reset();
  else if (!HeldSince)
    HeldSince = now;
  else if (now - *HeldSince > ResumeWithin) {
    HeldSince = now;
    Deeds.Cancelled = {};
  }
}

void RankAgent::readOwnPlaces() {
  OwnPlacesOf = Server->InUse;
  OwnPlaces.clear();
  Calls.readPlaces([this](const std::vector<std::vector<Expert>> &places) {
    OwnPlaces = places;
    if (Experts == 0)
      readExperts();
  });
}

// The counts of all layers tell how many experts there are.
void RankAgent::readExperts() {
  Calls.readCounts([this](const std::vector<std::uint64_t> &counts) {
    if (!OwnPlaces.empty())
      Experts = counts.size() / OwnPlaces.size();
  });
}

Result<void> RankAgent::passOver(const MapOrder &order) const {
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

void RankAgent::takeMapOrder(const PeerId &from,
                             const wire::MapOrder &message) {
  recoverFrom(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(order, readMapOrder(message));
        bool isCurrent = Switch && Server && Server->Epoch == order.Epoch;
        if (!isCurrent)
          return {};
        bool isPrepare = order.Order.Kind == OrderKind::Prepare;
        if (wasHeldBefore(order.Order, LastArm))
          return passOver(order.Order);
        if (order.Order.Kind == OrderKind::Arm)
          LastArm = {order.Order.Map, std::max(LastArm.Step, order.Order.Step)};
        Askers[order.Order.Number] = from;
        if (isPrepare) {
          for (const auto &ranks : order.Places)
            Experts = countExperts(ranks);
          Maps[order.Order.Map] = std::move(order.Places);
        }
        while (Maps.size() > MaxMapsKept)
          Maps.erase(Maps.begin());
        act(decideRank(*Switch, OrderCame{order.Order}, Clock::now()));
        Poll.start(BusyPoll);
        return {};
      },
      [](const Error &e) { logWarning(Part::Group, e.Message); });
}

void RankAgent::act(const std::vector<RankAction> &actions) {
  for (const RankAction &it : actions) {
    if (const auto *report = std::get_if<SendReport>(&it))
      sendReport(report->Report);
    else if (const auto *order = std::get_if<OrderEngine>(&it))
      startWork(order->Order);
    else if (std::get_if<StartSettlement>(&it) != nullptr)
      tellWatchers(true);
  }
}

void RankAgent::sendReport(const RankReport &report) {
  auto asker = Askers.find(report.Number);
  if (asker == Askers.end())
    return;
  wire::Envelope envelope;
  *envelope.mutable_map_report() =
      writeMapReport({report, Server ? Server->Epoch : 0});
  Link.send(asker->second, envelope);
  // Lower ballots are never used again by those who see this one.
  Askers.erase(Askers.begin(), asker);
}

void RankAgent::startWork(const MapOrder &order) {
  if (Work)
    return;
  if (order.Kind == OrderKind::Prepare && PrepareSent == order.Map)
    return;
  Work = RankWork{taskOf(order), order, 0};
  readState([this] { stepWork(); });
}

void RankAgent::stepWork() {
  if (!Work)
    return;
  RankServerStep step = decideRankServer(
      *Work, IsFresh ? Server : std::optional<RankServerState>());
  if (step.What == RankServerStep::Kind::Send)
    return giveOrder(step.Order);
  endWork(step.What == RankServerStep::Kind::Refused);
}

void RankAgent::giveOrder(const RankServerOrder &order) {
  RankPlaces places;
  if (auto map = Maps.find(order.Map); map != Maps.end())
    places = map->second;
  else if (order.Kind == ServerMapOrder::Prepare)
    places = fencePlaces(OwnPlaces, Server->Self, Server->Size, Experts);
  if (order.Kind == ServerMapOrder::Go)
    noteGo(LastArm, *Work, order.Step);
  auto sentAt = Clock::now();
  Calls.give(order, places, [this, order, sentAt](bool isTaken) {
    auto now = Clock::now();
    countUp(Numbers, {"greengagespar_map_orders_total",
                      {{"order", std::string(Calls.nameOf(order.Kind))},
                       {"taken", isTaken ? "yes" : "no"}}});
    observe(Numbers, {"greengagespar_map_order_ms"},
            std::chrono::duration<double, std::milli>(now - sentAt).count(),
            now);
    if (!Work)
      return;
    if (order.Kind == ServerMapOrder::Prepare && isTaken) {
      // The copy takes a while; its end shows in the state.
      PrepareSent = order.Map;
      return endWork(false);
    }
    readState([this] { stepWork(); });
  });
}

void RankAgent::endWork(bool refused) {
  RankWork ended = *Work;
  Work.reset();
  if (ended.Task == RankTask::Resume || ended.IsAgain)
    return;
  if (ended.Task == RankTask::Cancel && !refused && Server)
    Deeds.Cancelled = std::max({Deeds.Cancelled, ended.Goal.Map,
                                Server->Prepared.value_or(MapNumber{})});
  if (ended.Task == RankTask::Release && !refused)
    Deeds.Released = std::max(Deeds.Released, ended.Goal.Map);
  if (!Server || !Switch)
    return;
  act(decideRank(*Switch, EngineRead{engineMapOf(*Server, Deeds), refused},
                 Clock::now()));
}

// What entries are told.

void RankAgent::answerState(const PeerId &to, const wire::RankAsk &ask) {
  auto now = Clock::now();
  std::erase_if(Watchers, [&](const Watcher &it) {
    return it.At == to || now - it.AskedAt > WatcherKept;
  });
  Watchers.push_back({to, now});
  // What was read before the server went away says nothing of now.
  if (!Server || !IsFresh)
    return;
  if (ask.with_places())
    return Calls.readPlaces(
        [this, to](const std::vector<std::vector<Expert>> &places) {
          sendState(to, {}, places);
        });
  if (!ask.with_counts())
    return sendState(to, {}, {});
  Calls.readCounts([this, to](const std::vector<std::uint64_t> &counts) {
    sendState(to, counts, {});
  });
}

std::string RankAgent::renderMetrics() {
  setGauge(Numbers, {"greengagespar_watchers"},
           static_cast<double>(Watchers.size()));
  setGauge(Numbers, {"greengagespar_server_read_lately"}, IsFresh ? 1 : 0);
  if (Server) {
    setGauge(Numbers, {"greengagespar_group_open"}, Server->IsOpen ? 1 : 0);
    setGauge(Numbers, {"greengagespar_group_epoch"},
             static_cast<double>(Server->Epoch));
    setGauge(Numbers, {"greengagespar_step"},
             static_cast<double>(Server->Step.Value));
    setGauge(Numbers, {"greengagespar_map_in_use"},
             static_cast<double>(Server->InUse.Value));
    setGauge(Numbers, {"greengagespar_step_held"}, Server->Held ? 1 : 0);
    setGauge(Numbers, {"greengagespar_server_running"}, Server->Running);
    setGauge(Numbers, {"greengagespar_server_waiting"}, Server->Waiting);
    setGauge(Numbers, {"greengagespar_server_pace"}, Server->Pace);
  }
  return renderPrometheus(Numbers);
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
}

void RankAgent::sendState(const PeerId &to,
                          const std::vector<std::uint64_t> &counts,
                          const std::vector<std::vector<Expert>> &places) {
  if (!Server)
    return;
  wire::Envelope envelope;
  wire::RankState &out = *envelope.mutable_rank_state();
  fillState(out);
  for (std::uint64_t it : counts)
    out.add_counts(it);
  for (const auto &layer : places) {
    out.add_places_in_layer(static_cast<std::uint32_t>(layer.size()));
    for (Expert it : layer)
      out.add_places(static_cast<std::uint32_t>(indexOf(it)));
  }
  Link.send(to, envelope);
}

// Tells all entries at once what they would hear too late when they ask.
void RankAgent::tellWatchers(bool wantsSettlement) {
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
