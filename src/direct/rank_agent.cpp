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

// The server is on the same host and answers in a few ms; an order without an
// answer by then is looked for in its state.
constexpr milliseconds CallTimeout{100};
constexpr milliseconds ConnectTimeout{100};

// An entry that has not asked for so long is told nothing any more.
constexpr milliseconds WatcherKept{5000};

// A hold whose map was cancelled is dropped by then, or settled once more.
constexpr milliseconds ResumeWithin{1000};

// A switch waits for its outcome for this long before entries are asked to
// settle it; a driver that lives needs a few ms.
constexpr milliseconds SettleAfter{500};

constexpr int StatusOk = 200;
constexpr int StatusAccepted = 202;
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
  RankLimits limits;
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
    : Loop(loop), Settings(settings),
      Dialect(dialect), Self{settings.Name, newIncarnation(), Generation{}},
      Link(loop, context, Self,
           [this](const PeerId &from, const wire::Envelope &envelope) {
             onEnvelope(from, envelope);
           }),
      Poll(loop, [this] { poll(); }), CallLimit(loop, [this] { endCall(0); }) {}

Result<void> RankAgent::start() {
  BOOST_LEAF_CHECK(Link.bind(Settings.Link));
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
  if (Settings.Server != settings.Server)
    Connection.reset();
  Settings.Server = settings.Server;
  logInfo(Part::Group,
          LogLine("reload").add("server", Settings.Server.Value).text());
}

// Calls of the server.

void RankAgent::get(const std::string &target,
                    std::function<void(int, std::string)> done) {
  call({"GET " + target + " HTTP/1.1\r\nHost: " + Settings.Server.Value +
            "\r\n\r\n",
        std::move(done)});
}

void RankAgent::call(ServerCall call) {
  Calls.push_back(std::move(call));
  startCall();
}

void RankAgent::startCall() {
  if (IsCalling || Calls.empty())
    return;
  IsCalling = true;
  Body.clear();
  Status = 0;
  bool isUsable = Connection && Connection->isReusable() &&
                  Clock::now() < Connection->usableUntil();
  if (!isUsable)
    Connection = std::make_unique<HttpClientConnection>(Loop, Settings.Server,
                                                        ConnectTimeout);
  ExchangeEvents events;
  events.OnHead = [this](const HttpHead &head) {
    Status = head.Status;
    return true;
  };
  events.OnBody = [this](std::string_view piece) { Body.append(piece); };
  events.OnEnd = [this](ExchangeEnd how, std::string_view) {
    endCall(how == ExchangeEnd::Complete ? Status : 0);
  };
  Connection->send(Calls.front().Text, false, std::move(events));
  CallLimit.start(CallTimeout);
}

void RankAgent::endCall(int status) {
  if (!IsCalling)
    return;
  CallLimit.stop();
  IsCalling = false;
  if (status == 0)
    Connection.reset();
  ServerCall done = std::move(Calls.front());
  Calls.pop_front();
  done.Done(status, std::move(Body));
  startCall();
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
  bool isBusy =
      Work || (Switch && Switch->InProgress) ||
      (Server && (Server->Armed || Server->Held)) ||
      (Server && Server->Prepared != PrepareSent && PrepareSent > Cancelled);
  Poll.start(isBusy ? BusyPoll : IdlePoll);
}

void RankAgent::readState(std::function<void()> done) {
  get(Dialect.StateTarget,
      [this, done = std::move(done)](int status, std::string body) {
        recoverFrom(
            [&]() -> Result<void> {
              if (status != StatusOk)
                return fail(ErrorKind::EndpointFailed,
                            "the server's state can't be read, status " +
                                std::to_string(status));
              BOOST_LEAF_AUTO(state, Dialect.ReadState(body));
              takeState(state);
              return {};
            },
            [&](const Error &e) {
              logDebug(Part::Group, e.Message);
              IsFresh = false;
            });
        done();
      });
}

void RankAgent::takeState(const RankServerState &state) {
  bool isOther = !Server || Server->BornMs != state.BornMs ||
                 Server->Epoch != state.Epoch || Server->Self != state.Self;
  bool isTurned = Server && Server->IsOpen != state.IsOpen;
  Server = state;
  IsFresh = true;
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
    Cancelled = {};
    LastStep = {};
    OwnPlaces.clear();
  }
  if (IsFirstRead)
    LastStep = lastStepBefore(state);
  IsFirstRead = false;
  if (!Switch || Work)
    return;
  if (OwnPlaces.empty() || OwnPlacesOf != state.InUse)
    readOwnPlaces();
  Work = releaseAgain(Switch->Taken, state);
  if (Work)
    return stepWork();
  if (Switch->InProgress)
    return;
  act(decideRank(*Switch, EngineRead{engineMapOf(state, Cancelled), false},
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
    Cancelled = {};
  }
}

// The counts of all layers tell how many experts there are.
void RankAgent::readExperts() {
  get(Dialect.CountsTarget, [this](int status, const std::string &body) {
    recoverFrom(
        [&]() -> Result<void> {
          if (status != StatusOk || OwnPlaces.empty())
            return {};
          BOOST_LEAF_AUTO(counts, Dialect.ReadCounts(body));
          Experts = counts.size() / OwnPlaces.size();
          return {};
        },
        [](const Error &e) { logWarning(Part::Group, e.Message); });
  });
}

void RankAgent::readOwnPlaces() {
  OwnPlacesOf = Server->InUse;
  get(Dialect.PlacesTarget, [this](int status, const std::string &body) {
    recoverFrom(
        [&]() -> Result<void> {
          if (status != StatusOk)
            return fail(ErrorKind::EndpointFailed, "own experts unknown");
          BOOST_LEAF_ASSIGN(OwnPlaces, Dialect.ReadPlaces(body));
          if (Experts == 0)
            readExperts();
          return {};
        },
        [&](const Error &e) {
          OwnPlaces.clear();
          logWarning(Part::Group, e.Message);
        });
  });
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
        bool isHeldBefore = order.Order.Kind == OrderKind::Arm &&
                            order.Order.Step <= LastStep &&
                            !(Server->Held == order.Order.Step);
        if (isHeldBefore)
          return {};
        if (order.Order.Kind == OrderKind::Arm)
          LastStep = std::max(LastStep, order.Order.Step);
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
  std::string body = Dialect.WriteOrder(order, places);
  std::string text = "POST " + Dialect.OrderTarget +
                     " HTTP/1.1\r\nHost: " + Settings.Server.Value +
                     "\r\nContent-Type: application/json\r\nContent-Length: " +
                     std::to_string(body.size()) + "\r\n\r\n" + body;
  auto sentAt = Clock::now();
  call(
      {std::move(text), [this, order, sentAt](int status, const std::string &) {
         logInfo(Part::Group,
                 LogLine("map_order")
                     .add("order", static_cast<std::int64_t>(order.Kind))
                     .add("map", static_cast<std::int64_t>(order.Map.Value))
                     .add("step", static_cast<std::int64_t>(order.Step.Value))
                     .add("epoch", static_cast<std::int64_t>(order.Epoch))
                     .add("status", status)
                     .addMs("took_ms", Clock::now() - sentAt)
                     .text());
         if (!Work)
           return;
         bool isPrepare = order.Kind == ServerMapOrder::Prepare;
         bool isTaken = status == StatusOk || status == StatusAccepted;
         if (isPrepare && isTaken) {
           // The copy takes a while; its end shows in the state.
           PrepareSent = order.Map;
           return endWork(false);
         }
         readState([this] { stepWork(); });
       }});
}

void RankAgent::endWork(bool refused) {
  RankWork ended = *Work;
  Work.reset();
  if (ended.Task == RankTask::Resume || ended.IsAgain)
    return;
  if (ended.Task == RankTask::Cancel && !refused && Server)
    Cancelled = std::max(
        {Cancelled, ended.Goal.Map, Server->Prepared.value_or(MapNumber{})});
  if (!Server || !Switch)
    return;
  act(decideRank(*Switch, EngineRead{engineMapOf(*Server, Cancelled), refused},
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
  if (ask.with_places()) {
    get(Dialect.PlacesTarget, [this, to](int status, const std::string &body) {
      recoverFrom(
          [&]() -> Result<void> {
            if (status != StatusOk)
              return {};
            BOOST_LEAF_AUTO(places, Dialect.ReadPlaces(body));
            sendState(to, {}, places);
            return {};
          },
          [](const Error &e) { logWarning(Part::Group, e.Message); });
    });
    return;
  }
  if (!ask.with_counts())
    return sendState(to, {}, {});
  get(Dialect.CountsTarget, [this, to](int status, const std::string &body) {
    recoverFrom(
        [&]() -> Result<void> {
          if (status != StatusOk)
            return {};
          BOOST_LEAF_AUTO(counts, Dialect.ReadCounts(body));
          sendState(to, counts, {});
          return {};
        },
        [](const Error &e) { logWarning(Part::Group, e.Message); });
  });
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
