#include "greengagespar/direct/map_coordinator.h"

#include "greengagespar/base/log.h"
#include "greengagespar/base/log_output.h"
#include "greengagespar/direct/rank_polling.h"
#include "greengagespar/direct/switch_plan.h"
#include <algorithm>
#include <utility>

namespace greengagespar {

namespace {

using std::chrono::milliseconds;

// How often the state machines run during a switch, and otherwise.
constexpr milliseconds SwitchTick{10};
constexpr milliseconds IdleTick{100};

constexpr RankPollOptions PollOptions;

// How often an entry that may have to settle a switch requests all states.
constexpr milliseconds SettlingInterval{1000};

// A rank that has sent no state for this long is unresponsive, and its group is
// not ready for a driver.
constexpr milliseconds RankUnresponsiveAfter{2500};

// A request for a settlement expires when it is not repeated within this time.
constexpr milliseconds SettlementRequestKept{8000};

// The demand for experts drifts within seconds.
constexpr milliseconds DemandHalfLife{300};

// A live driver settles a switch itself within DriverSettleTime, even when half
// of its orders remain without an answer. After that, each entry waits for
// SettleStagger times its position before it settles the switch.
constexpr milliseconds DriverSettleTime{1000};
constexpr milliseconds SettleStagger{500};

// A driver that was deposed or has failed waits for this long before it tries
// again.
constexpr milliseconds DriverRetryDelay{1000};

// Probability of a false alarm at which an estimate has no margin.
constexpr double EvenOdds = 0.5;

DriverLimits driverLimits(Incarnation process, MapNumber used) {
  DriverLimits limits = mapDriverLimits(process, used);
  limits.ResendAfter = milliseconds{60};
  limits.PrepareWithin = milliseconds{8000};
  limits.ArmWithin = milliseconds{600};
  limits.UnresponsiveAfter = milliseconds{3000};
  return limits;
}

GroupShape shapeOf(const CoordinatedGroup &group) {
  return {group.Ranks.size(), group.Engine.Experts, group.Engine.Layers,
          group.Engine.SlotsPerLayer};
}

// Returns whether the states of all ranks are recent and show an open group.
bool isGroupReady(const CoordinatedGroup &group, Clock::time_point now) {
  return !group.Ranks.empty() &&
         std::ranges::all_of(group.Ranks, [&](const KnownRank &it) {
           return it.IsOpen && now - it.LastReceivedAt < RankUnresponsiveAfter;
         });
}

// Returns the map in use; empty unless all ranks have reported the same one.
std::optional<Placement> placementOf(const CoordinatedGroup &group) {
  Placement placement{shapeOf(group), {}, {}};
  placement.Slots.assign(placement.Shape.Layers * slotsOfLayer(placement.Shape),
                         NoExpert);
  for (std::size_t r = 0; r < group.Ranks.size(); ++r) {
    const KnownRank &rank = group.Ranks[r];
    bool isCurrent = rank.PlacesMap >= rank.InUse &&
                     rank.PlacesMap == group.Ranks[0].PlacesMap &&
                     rank.Places.size() == placement.Shape.Layers;
    if (!isCurrent)
      return std::nullopt;
    for (std::size_t l = 0; l < rank.Places.size(); ++l) {
      if (rank.Places[l].size() > placement.Shape.SlotsPerLayer)
        return std::nullopt;
      std::size_t at =
          (l * placement.Shape.Ranks + r) * placement.Shape.SlotsPerLayer;
      std::ranges::copy(rank.Places[l], placement.Slots.begin() +
                                            static_cast<std::ptrdiff_t>(at));
    }
  }
  return greengagespar::isValidPlacement(placement) ? std::optional(placement)
                                                    : std::nullopt;
}

// Returns the slowness of each rank.
std::vector<double> slownessOfRanks(const CoordinatedGroup &group) {
  std::vector<double> slowness;
  slowness.reserve(group.Ranks.size());
  for (const KnownRank &it : group.Ranks)
    slowness.push_back(it.Slowness);
  return slowness;
}

// Forgets all but the addresses of the agents.
void resetRanks(std::vector<KnownRank> &ranks, std::size_t size) {
  ranks.resize(size);
  for (KnownRank &it : ranks) {
    Address agent = std::move(it.Agent);
    it = {};
    it.Agent = std::move(agent);
  }
}

RankPlaces placesOf(const Placement &placement) {
  const GroupShape &shape = placement.Shape;
  RankPlaces places(shape.Layers,
                    std::vector<std::vector<Expert>>(shape.Ranks));
  for (std::size_t l = 0; l < shape.Layers; ++l)
    for (std::size_t r = 0; r < shape.Ranks; ++r)
      for (std::size_t s = 0; s < shape.SlotsPerLayer; ++s) {
        Expert it =
            placement.Slots[(l * shape.Ranks + r) * shape.SlotsPerLayer + s];
        if (it != NoExpert)
          places[l][r].push_back(it);
      }
  return places;
}

std::vector<std::vector<Expert>> readPlaces(const wire::RankState &state) {
  std::vector<std::vector<Expert>> places;
  int next = 0;
  for (std::uint32_t n : state.places_in_layer()) {
    auto &layer = places.emplace_back();
    for (std::uint32_t i = 0; i < n && next < state.places_size(); ++i)
      layer.push_back(Expert(state.places(next++)));
  }
  return places;
}

// Records the places of a map that has been released on all ranks. It is in use
// from its step on, a few steps later.
void recordPlaces(CoordinatedGroup &group, MapNumber map) {
  for (std::size_t r = 0; r < group.Ranks.size(); ++r) {
    KnownRank &rank = group.Ranks[r];
    rank.PlacesMap = map;
    rank.Places.clear();
    for (const auto &layer : group.NextPlaces)
      rank.Places.push_back(layer[r]);
  }
}

bool isDriving(const CoordinatedGroup &group) {
  return group.Driver && !group.Driver->IsSettler &&
         group.Driver->Phase != DriverPhase::Stopped;
}

// Returns whether \p report, received from \p agent, is about a rank of
// \p group. Settlements of several groups by one entry can have the same
// ballot, and a report doesn't name its group.
bool isReportOf(const CoordinatedGroup &group, const Address &agent,
                const DirectMapReport &report) {
  std::size_t rank = indexOf(report.Report.From);
  return report.Epoch == group.Epoch && rank < group.Ranks.size() &&
         group.Ranks[rank].Agent == agent;
}

bool needsPlaces(const KnownRank &rank) {
  return rank.Places.empty() || rank.PlacesMap < rank.InUse;
}

// Returns the indices of \p ranks, separated by commas.
std::string joinRanks(const std::vector<Rank> &ranks) {
  std::string text;
  for (Rank it : ranks) {
    if (!text.empty())
      text += ',';
    text += std::to_string(indexOf(it));
  }
  return text;
}

// Returns whether the entry at \p position may soon have to settle a switch of
// \p group: it needs recent states of all ranks for that.
bool isSettlementNear(const CoordinatedGroup &group, std::size_t position,
                      Clock::time_point now) {
  if (!group.SettlementRequestedAt)
    return false;
  auto waited = now - *group.SettlementRequestedAt;
  return waited < SettlementRequestKept &&
         waited >= SettleStagger * static_cast<int>(position);
}

bool isSteady(const CoordinatedGroup &group) {
  return isDriving(group) && group.Driver->Phase == DriverPhase::Steady;
}

} // namespace

MapCoordinator::MapCoordinator(event_base *loop, zmq::context_t &context,
                               const LinkIdentity &self,
                               const RankDialect &dialect,
                               MapCoordinatorHooks hooks)
    : Loop(loop), Context(context), Self(self), Dialect(dialect),
      Hooks(std::move(hooks)), Ticker(loop, [this] { tick(); }) {
  Ticker.start(IdleTick);
}

void MapCoordinator::setAgents(const std::vector<Address> &agents,
                               const EngineProfile &engine) {
  Engine = engine;
  std::erase_if(Agents, [&](const auto &it) {
    return std::ranges::find(agents, it.first) == agents.end();
  });
  for (const Address &it : agents) {
    auto &client = Agents[it];
    if (!client)
      client = std::make_unique<LinkClient>(
          Loop, Context, Self, it, [this, it](const wire::Envelope &envelope) {
            onEnvelope(it, envelope);
          });
  }
}

void MapCoordinator::tick() {
  auto now = Clock::now();
  std::size_t position = Hooks.Position();
  bool isDriver = position == 0;
  // The states and counts of before are too old for a switch.
  if (isDriver != std::exchange(WasDriver, isDriver))
    NextRequestAt = {};
  bool isSettling = std::ranges::any_of(Groups, [&](const auto &it) {
    return isSettlementNear(it.second, position, now);
  });
  if (isSettling)
    NextRequestAt = std::min(NextRequestAt, LastRequestAt + SettlingInterval);
  if (now >= NextRequestAt)
    requestStates(isDriver, now);
  bool isBusy = false;
  for (auto &[name, group] : Groups) {
    drive(name, group, now);
    // One switch seldom reaches the plan's target, as a rank fetches only a few
    // experts in it.
    if (std::exchange(group.IsPlanDue, false) && isSteady(group))
      plan(name, group);
    isBusy = isBusy || (group.Driver && !isSteady(group) &&
                        group.Driver->Phase != DriverPhase::Stopped);
  }
  Ticker.start(isBusy ? SwitchTick : IdleTick);
}

// The driver requests the counts of one sample of the ranks after the other;
// all samples make a period. Any other entry requests the states of all, which
// makes it known to the agents.
void MapCoordinator::requestStates(bool isDriver, Clock::time_point now) {
  LastRequestAt = now;
  NextRequestAt =
      now + (isDriver ? PollOptions.CountInterval
                      : presenceInterval(PollOptions, Hooks.Entries()));
  std::size_t samples = isDriver ? sampleCount(PollOptions, Agents.size()) : 1;
  NextSample %= samples;
  std::size_t i = 0;
  for (auto &[address, client] : Agents)
    if (isInSample(i++, NextSample, samples))
      requestState(address, *client, isDriver);
  ++NextSample;
  if (!isDriver || NextSample < samples)
    return;
  for (auto &[name, group] : Groups)
    endPeriod(name, group, now);
}

void MapCoordinator::requestState(const Address &agent, LinkClient &client,
                                  bool isDriver) {
  wire::Envelope envelope;
  envelope.mutable_rank_ask()->set_with_counts(isDriver);
  envelope.mutable_rank_ask()->set_asked_at_ms(writeAskTime(Clock::now()));
  client.send(envelope);
  if (!isDriver)
    return;
  for (const auto &[name, group] : Groups)
    for (const KnownRank &it : group.Ranks)
      if (it.Agent == agent && needsPlaces(it)) {
        wire::Envelope places;
        places.mutable_rank_ask()->set_with_places(true);
        client.send(places);
      }
}

void MapCoordinator::onEnvelope(const Address &agent,
                                const wire::Envelope &envelope) {
  if (envelope.has_rank_state())
    onState(agent, envelope.rank_state());
  else if (envelope.has_map_report())
    onReport(agent, envelope.map_report());
}

void MapCoordinator::onState(const Address &agent,
                             const wire::RankState &state) {
  auto now = Clock::now();
  if (std::optional<LoadReport> load = readLoadReport(state, now))
    Hooks.OnRankLoad(agent, *load);
  if (state.group().empty() || state.rank() >= state.size() ||
      Engine.Experts == 0)
    return Hooks.OnRankOpen(agent, state.open());
  CoordinatedGroup &group = Groups[state.group()];
  recordReportedStanding(group, agent, state, now);
  if (state.epoch() < group.Epoch)
    return;
  if (state.epoch() > group.Epoch || group.Ranks.size() != state.size()) {
    group.Epoch = state.epoch();
    group.Engine = Engine;
    resetRanks(group.Ranks, state.size());
    group.Driver.reset();
    group.HoldingServer.reset();
    group.IsHoldPending = false;
    group.SettlementRequestedAt.reset();
    group.Loads = makeLoadTable(shapeOf(group), DemandHalfLife);
    group.PeriodCounts.assign(group.Loads.Loads.size(), 0);
    group.PeriodStart = now;
  }
  KnownRank &rank = group.Ranks[state.rank()];
  rank.Agent = agent;
  rank.LastReceivedAt = now;
  rank.IsOpen = state.open();
  rank.InUse = {state.map()};
  recordSpeed(state.group(), group, rank, state.pace());
  bool isAlreadyRequested =
      group.SettlementRequestedAt &&
      now - *group.SettlementRequestedAt < SettlementRequestKept;
  if (state.wants_settlement() && !isAlreadyRequested)
    group.SettlementRequestedAt = now;
  if (state.places_in_layer_size() > 0 && needsPlaces(rank)) {
    rank.Places = readPlaces(state);
    rank.PlacesMap = rank.InUse;
  }
  if (std::cmp_not_equal(state.new_counts_size(), group.PeriodCounts.size()))
    return;
  for (int i = 0; i < state.new_counts_size(); ++i)
    group.PeriodCounts[static_cast<std::size_t>(i)] += state.new_counts(i);
}

// Passes on whether the ranks of \p group accept work.
void MapCoordinator::recordReportedStanding(CoordinatedGroup &group,
                                            const Address &agent,
                                            const wire::RankState &state,
                                            Clock::time_point now) {
  StandingNews news =
      recordStanding(group.Standing, state.epoch(), state.open(), now);
  if (state.epoch() == group.Standing.Epoch)
    Hooks.OnRankOpen(agent, !group.Standing.IsBroken);
  if (news == StandingNews::None)
    return;
  for (const KnownRank &it : group.Ranks)
    if (!it.Agent.Value.empty() && it.Agent != agent)
      Hooks.OnRankOpen(it.Agent, news == StandingNews::Formed);
}

void MapCoordinator::onReport(const Address &agent,
                              const wire::MapReport &message) {
  recoverFrom(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(report, readMapReport(message));
        HighestLease =
            std::max(HighestLease, report.Report.Promised.Lease.Value);
        for (auto &[name, group] : Groups)
          if (group.Driver && isReportOf(group, agent, report)) {
            if (!report.Report.Accepted)
              logRefusal(name, group, report.Report);
            performActions(name, group,
                           decideDriver(*group.Driver,
                                        ReportReceived{report.Report},
                                        Clock::now()));
          }
        return {};
      },
      [](const Error &e) { logWarning(Part::Group, e.Message); });
}

// Records the speed of a rank's server on a wide site. The next plan gives the
// rank tokens to match.
void MapCoordinator::recordSpeed(const std::string &name,
                                 CoordinatedGroup &group, KnownRank &rank,
                                 double pace) {
  constexpr RankSpeedLimits limits;
  bool isWide =
      Hooks.SiteEntries && isWideSite(group.Engine, Hooks.SiteEntries());
  double before = rank.Slowness;
  rank.Slowness = isWide ? slownessFrom(limits, before, pace) : 1;
  if ((before > 1) == (rank.Slowness > 1))
    return;
  logInfo(Part::Group, LogLine(rank.Slowness > 1 ? "rank_slow" : "rank_sound")
                           .add("group", name)
                           .add("rank", static_cast<std::int64_t>(
                                            &rank - group.Ranks.data()))
                           .add("slowness_x1000",
                                static_cast<std::int64_t>(rank.Slowness * 1000))
                           .text());
}

// Logs a refused order. The driver repeats an order that it can't give up, so
// that the lines are limited.
void MapCoordinator::logRefusal(const std::string &name,
                                const CoordinatedGroup &group,
                                const RankReport &report) {
  logLimited(
      RefusalLog, name, Clock::now(), Part::Group, LogLevel::Warning,
      LogLine("rank_refused")
          .add("group", name)
          .add("order", orderKindName(report.InReplyTo))
          .add("phase", driverPhaseName(group.Driver->Phase))
          .add("rank", static_cast<std::int64_t>(indexOf(report.From)))
          .add("map", static_cast<std::int64_t>(report.Map.Value))
          .add("lease", static_cast<std::int64_t>(report.Number.Lease.Value))
          .add("promised_lease",
               static_cast<std::int64_t>(report.Promised.Lease.Value))
          .text());
}

void MapCoordinator::recordMetrics(Metrics &metrics,
                                   Clock::time_point now) const {
  for (const auto &[name, group] : Groups) {
    bool isOpen = group.Driver && !isSteady(group) &&
                  group.Driver->Phase != DriverPhase::Stopped;
    setGauge(metrics, {"greengagespar_switch_phase_ms", {{"group", name}}},
             isOpen ? std::chrono::duration<double, std::milli>(
                          now - group.Driver->PhaseSince)
                          .count()
                    : 0);
    setGauge(
        metrics, {"greengagespar_slow_ranks", {{"group", name}}},
        static_cast<double>(std::ranges::count_if(
            group.Ranks, [](const KnownRank &it) { return it.Slowness > 1; })));
    for (const auto &[outcome, n] : group.SwitchesEnded)
      setGauge(metrics,
               {"greengagespar_switches",
                {{"group", name},
                 {"outcome",
                  outcome == Decision::Release ? "in_use" : "cancelled"}}},
               static_cast<double>(n));
  }
}

void MapCoordinator::drive(const std::string &name, CoordinatedGroup &group,
                           Clock::time_point now) {
  std::size_t position = Hooks.Position();
  // If a rank has remained armed although the switch has ended, a new driver
  // settles it.
  bool isSettlementRequested =
      group.SettlementRequestedAt &&
      now - *group.SettlementRequestedAt < SettlementRequestKept;
  if (isSteady(group) && (position != 0 || isSettlementRequested))
    group.Driver.reset();
  bool isStopped = !group.Driver || group.Driver->Phase == DriverPhase::Stopped;
  if (isStopped && now >= group.NextDriverAt && isGroupReady(group, now)) {
    bool shouldSettle = group.SettlementRequestedAt &&
                        now - *group.SettlementRequestedAt >=
                            DriverSettleTime + SettleStagger * position;
    DriverLimits limits =
        driverLimits(Self.ProcessIncarnation, group.HighestMap);
    Ballot ballot;
    ballot.Process = Self.ProcessIncarnation;
    ballot.Owner = HoldingRank;
    if (position == 0) {
      ballot.Lease = {++HighestLease};
      group.Driver = makeDriver(ballot, group.Ranks.size(), SteadyTime::max(),
                                limits, now);
    } else if (shouldSettle) {
      ballot.Lease = {HighestLease};
      group.Driver = makeSettler(ballot, group.Ranks.size(), limits, now);
    }
    if (group.Driver && (position == 0 || shouldSettle)) {
      group.SettlementRequestedAt.reset();
      group.NextDriverAt = now + DriverRetryDelay;
      logInfo(Part::Group,
              LogLine(position == 0 ? "drive" : "settle")
                  .add("group", name)
                  .add("epoch", static_cast<std::int64_t>(group.Epoch))
                  .add("lease", static_cast<std::int64_t>(ballot.Lease.Value))
                  .text());
    }
  }
  if (group.Driver && group.Driver->Phase != DriverPhase::Stopped)
    performActions(name, group, decideDriver(*group.Driver, DriverTick{}, now));
}

void MapCoordinator::performActions(const std::string &name,
                                    CoordinatedGroup &group,
                                    const std::vector<DriverAction> &actions) {
  for (const DriverAction &it : actions) {
    if (const auto *order = std::get_if<SendOrder>(&it)) {
      send(name, group, order->Order);
    } else if (const auto *ended = std::get_if<SwitchEnded>(&it)) {
      ++group.SwitchesEnded[ended->Outcome];
      logInfo(Part::Group,
              LogLine("switch_ended")
                  .add("group", name)
                  .add("map", static_cast<std::int64_t>(ended->Map.Value))
                  .add("outcome", ended->Outcome == Decision::Release
                                      ? "in_use"
                                      : "cancelled")
                  .addMs("took_ms", Clock::now() - group.SwitchStartedAt)
                  .text());
      NextRequestAt = {};
      if (ended->Outcome == Decision::Release) {
        recordPlaces(group, ended->Map);
        group.IsPlanDue = true;
      } else {
        sendResume(group);
      }
    } else if (const auto *failed = std::get_if<GroupFailed>(&it)) {
      logWarning(
          Part::Group,
          LogLine("ranks_silent")
              .add("group", name)
              .add("phase", driverPhaseName(group.Driver->Phase))
              .add("map", static_cast<std::int64_t>(group.Driver->Map.Value))
              .add("n", static_cast<std::int64_t>(failed->Ranks.size()))
              .add("ranks", joinRanks(failed->Ranks))
              .text());
    }
  }
}

// Lets HoldingRank release its hold. All ranks have accepted the cancellation,
// so that none is armed any more.
void MapCoordinator::sendResume(CoordinatedGroup &group) {
  for (const KnownRank &it : group.Ranks) {
    auto agent = Agents.find(it.Agent);
    if (agent == Agents.end())
      continue;
    wire::Envelope envelope;
    *envelope.mutable_map_resume() =
        writeMapResume(group.Epoch, group.Driver->Number);
    agent->second->send(envelope);
  }
}

// Sends an order to the agent of its rank. Before HoldingRank is armed, its
// server must hold the step: the order to hold goes first, once for each map.
// If a settlement has found it armed, it holds the step or has released it.
void MapCoordinator::send(const std::string &name, CoordinatedGroup &group,
                          const MapOrder &order) {
  bool needsHold = order.Kind == OrderKind::Arm && order.To == HoldingRank &&
                   !isOwnerArmed(*group.Driver);
  if (!needsHold)
    return forwardOrder(group, order);
  if (group.HoldRequestedFor != order.Map)
    return holdThenSend(name, group, order);
  if (!group.IsHoldPending)
    forwardOrder(group, order);
}

// Has the server of HoldingRank hold the step, then sends the order to arm to
// its agent. The agent refuses to arm if the server does not hold the step.
void MapCoordinator::holdThenSend(const std::string &name,
                                  CoordinatedGroup &group,
                                  const MapOrder &order) {
  std::optional<Address> server =
      Hooks.ServerOf(group.Ranks[indexOf(order.To)].Agent);
  if (!server)
    return;
  if (!group.HoldingServer || group.HoldingServer->server() != *server)
    group.HoldingServer =
        std::make_unique<RankServerClient>(Loop, *server, Dialect);
  group.HoldRequestedFor = order.Map;
  group.IsHoldPending = true;
  RankServerOrder hold;
  hold.Kind = ServerMapOrder::Hold;
  hold.Epoch = group.Epoch;
  hold.Step = order.Step;
  group.HoldingServer->sendOrder(hold, {}, [this, name, order](bool) {
    CoordinatedGroup &coordinated = Groups[name];
    coordinated.IsHoldPending = false;
    forwardOrder(coordinated, order);
  });
}

// Sends an order to the agent of its rank, with the map if it is to be
// prepared.
void MapCoordinator::forwardOrder(const CoordinatedGroup &group,
                                  const MapOrder &order) {
  const KnownRank &rank = group.Ranks[indexOf(order.To)];
  auto agent = Agents.find(rank.Agent);
  if (agent == Agents.end())
    return;
  DirectMapOrder out;
  out.Order = order;
  out.Epoch = group.Epoch;
  if (order.Kind == OrderKind::Prepare)
    out.Places = group.NextPlaces;
  wire::Envelope envelope;
  *envelope.mutable_map_order() = writeMapOrder(out);
  agent->second->send(envelope);
}

// Adds the counts of the past period to the loads. Then plans a map if this
// entry drives the group and no switch is in progress.
void MapCoordinator::endPeriod(const std::string &name, CoordinatedGroup &group,
                               Clock::time_point now) {
  auto length =
      std::chrono::duration_cast<milliseconds>(now - group.PeriodStart);
  if (length < PollOptions.CountInterval / 2)
    return;
  double sum = 0;
  for (double it : group.PeriodCounts)
    sum += it;
  if (sum > 0) {
    addPeriod(group.Loads, group.PeriodCounts, length);
    std::ranges::fill(group.PeriodCounts, 0);
  }
  group.PeriodStart = now;
  if (sum > 0 && isSteady(group))
    plan(name, group);
}

// Plans a map for the current loads and starts a switch if the plan moves
// experts.
void MapCoordinator::plan(const std::string &name, CoordinatedGroup &group) {
  std::optional<Placement> placement = placementOf(group);
  if (!placement)
    return;
  group.Loads.Slowness = slownessOfRanks(group);
  double skew = estimateSkew(group.Loads, *placement, EvenOdds).Value;
  Plan next =
      planIncremental(group.Loads, *placement,
                      switchPlanLimits(group.Engine, group.Ranks.size(), skew));
  bool isMove = next.Reason == PlanReason::Moved;
  logInfo(
      Part::Group,
      LogLine("plan")
          .add("group", name)
          .add("reason", planReasonName(next.Reason))
          .add("map", static_cast<std::int64_t>(group.Ranks[0].InUse.Value))
          .add("skew_x1000", static_cast<std::int64_t>(next.SkewBefore * 1000))
          .add("low_x1000",
               static_cast<std::int64_t>(next.SkewBeforeLow * 1000))
          .add("after_x1000", static_cast<std::int64_t>(next.SkewAfter * 1000))
          .add("moves", static_cast<std::int64_t>(next.Moves.size()))
          .text());
  if (!isMove)
    return;
  group.NextPlaces = placesOf(next.Next);
  group.SwitchStartedAt = Clock::now();
  std::vector<DriverAction> actions =
      decideDriver(*group.Driver, SwitchWanted{}, Clock::now());
  group.HighestMap = std::max(group.HighestMap, group.Driver->HighestMap);
  performActions(name, group, actions);
}

} // namespace greengagespar
