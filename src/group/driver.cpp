#include "greengagespar/group/driver.h"

#include <algorithm>
#include <utility>

namespace greengagespar {

namespace {

using Actions = std::vector<DriverAction>;

void enterPhase(DriverState &state, DriverPhase phase, SteadyTime now) {
  state.Phase = phase;
  state.PhaseSince = now;
  state.FailureReported = false;
  for (RankView &it : state.Ranks) {
    it.HasAnswered = false;
    it.SentAt.reset();
  }
}

// Starts a settlement under a ballot that is higher than this driver's and
// the one seen.
void restartSettlement(DriverState &state, const Ballot &seen, SteadyTime now) {
  state.Number.Lease = std::max(state.Number.Lease, seen.Lease);
  state.Number.Round = std::max(state.Number.Round, seen.Round) + 1;
  enterPhase(state, DriverPhase::Settling, now);
  // Settlers of several ranks could outbid each other without end. Each waits
  // for a different time, which depends on its rank, so that one finishes.
  if (state.IsSettler)
    state.BackOffUntil =
        now + state.Limits.ResendAfter * (1 + indexOf(state.Number.Owner));
}

void startDeciding(DriverState &state, Decision outcome, SteadyTime now) {
  state.Outcome = outcome;
  enterPhase(state, DriverPhase::Deciding, now);
}

bool allAnswered(const DriverState &state) {
  return std::all_of(state.Ranks.begin(), state.Ranks.end(),
                     [](const RankView &it) { return it.HasAnswered; });
}

OrderKind kindOf(DriverPhase phase) {
  switch (phase) {
  case DriverPhase::Preparing:
    return OrderKind::Prepare;
  case DriverPhase::Arming:
    return OrderKind::Arm;
  case DriverPhase::Deciding:
    return OrderKind::Decide;
  default:
    return OrderKind::Promise;
  }
}

MapOrder orderFor(const DriverState &state, Rank to) {
  MapOrder order;
  order.Kind = kindOf(state.Phase);
  order.Number = state.Number;
  order.To = to;
  if (order.Kind == OrderKind::Promise)
    return order;
  order.Process = state.Ranks[indexOf(to)].Report.Process;
  order.Map = state.Map;
  order.Step = state.Step;
  order.Outcome = state.Outcome;
  return order;
}

bool maySendOrders(const DriverState &state, SteadyTime now) {
  if (state.Phase == DriverPhase::Stopped || state.Phase == DriverPhase::Steady)
    return false;
  return now >= state.BackOffUntil && (state.IsSettler || now < state.LeaseEnd);
}

// Returns whether the owner's rank must accept its order before the driver
// sends any other. It promises a ballot first, so that the owner refuses lower
// ballots as long as it uses this one. If it holds the step for all ranks, its
// engine decides the switch: it is armed or cancelled first.
bool isOwnerFirst(const DriverState &state) {
  bool isCancellation =
      state.Phase == DriverPhase::Deciding && state.Outcome == Decision::Cancel;
  return state.Phase == DriverPhase::Settling ||
         (state.Limits.OwnerHoldsStep &&
          (state.Phase == DriverPhase::Arming || isCancellation));
}

// Whether the owner's rank holds the step for all and is armed, so that the
// switch must be completed.
bool isCommitted(const DriverState &state) {
  return state.Limits.OwnerHoldsStep && state.Phase == DriverPhase::Arming &&
         state.Ranks[indexOf(state.Number.Owner)].HasAnswered;
}

// Returns whether the driver must not send the release to the owner's rank yet.
// A rank that holds the step for all ranks is released once half of the others
// have applied the outcome. A settlement then finds the outcome with them even
// if the order that releases the hold is delayed.
bool isOwnerLast(const DriverState &state) {
  bool isRelease = state.Phase == DriverPhase::Deciding &&
                   state.Outcome == Decision::Release;
  if (!isRelease || !state.Limits.OwnerHoldsStep)
    return false;
  auto answered = std::ranges::count_if(state.Ranks, &RankView::HasAnswered);
  return std::cmp_less(2 * answered, state.Ranks.size() - 1);
}

// Sends the order of the phase to each rank that has not accepted it, and sends
// it again after ResendAfter.
void sendOrders(DriverState &state, SteadyTime now, Actions &actions) {
  std::size_t owner = indexOf(state.Number.Owner);
  bool ownerFirst = isOwnerFirst(state) && !state.Ranks[owner].HasAnswered;
  bool ownerLast = isOwnerLast(state);
  for (std::size_t r = 0; r < state.Ranks.size(); ++r) {
    RankView &view = state.Ranks[r];
    bool sentRecently =
        view.SentAt && now - *view.SentAt < state.Limits.ResendAfter;
    bool waits = (ownerFirst && r != owner) || (ownerLast && r == owner);
    if (view.HasAnswered || sentRecently || waits)
      continue;
    view.SentAt = now;
    actions.emplace_back(SendOrder{orderFor(state, Rank(r))});
  }
}

// Returns the outcome of the highest armed map, and records that map; empty if
// no rank is armed. If a rank has applied a decision on the map, the outcome is
// the same; otherwise it is a cancellation.
std::optional<Decision> settleArmedMap(DriverState &state) {
  bool armed = false;
  for (const RankView &it : state.Ranks)
    if (it.Report.Engine.Stage == MapStage::Armed) {
      state.Map =
          std::max(armed ? state.Map : MapNumber{}, it.Report.Engine.Pending);
      armed = true;
    }
  if (!armed)
    return std::nullopt;
  for (const RankView &it : state.Ranks) {
    if (it.Report.Engine.InForce == state.Map)
      return Decision::Release;
    if (it.Report.LastDecision && it.Report.LastDecision->Map == state.Map)
      return it.Report.LastDecision->Outcome;
  }
  return Decision::Cancel;
}

// Returns the highest map that an engine is armed with, and the step, if the
// owner holds the step for all ranks. The owner's engine is armed before all
// others and never disarmed, so that it is armed too, or uses the map already.
std::optional<EngineMap> findArmedMap(const DriverState &state) {
  std::optional<EngineMap> found;
  if (!state.Limits.OwnerHoldsStep)
    return found;
  for (const RankView &it : state.Ranks) {
    const EngineMap &map = it.Report.Engine;
    bool isArmed = map.Stage == MapStage::Armed && !map.IsHoldOnly;
    if (isArmed && (!found || map.Pending > found->Pending))
      found = map;
  }
  return found;
}

// Returns the ranks whose map in force is not that of the first rank.
std::vector<Rank> ranksWithOtherMap(const DriverState &state) {
  std::vector<Rank> ranks;
  for (const RankView &it : state.Ranks)
    if (it.Report.Engine.InForce != state.Ranks[0].Report.Engine.InForce)
      ranks.push_back(it.Report.From);
  return ranks;
}

void finishSettlement(DriverState &state, SteadyTime now, Actions &actions) {
  std::optional<Decision> outcome = settleArmedMap(state);
  std::optional<EngineMap> armed = findArmedMap(state);
  if (armed && outcome != Decision::Release) {
    state.Map = armed->Pending;
    state.Step = armed->Step;
    enterPhase(state, DriverPhase::Arming, now);
    return;
  }
  if (outcome) {
    startDeciding(state, *outcome, now);
    return;
  }
  std::vector<Rank> others = ranksWithOtherMap(state);
  if (!others.empty())
    actions.emplace_back(GroupFailed{others});
  bool done = state.IsSettler || !others.empty();
  enterPhase(state, done ? DriverPhase::Stopped : DriverPhase::Steady, now);
}

void startArming(DriverState &state, SteadyTime now) {
  StepNumber latest;
  for (const RankView &it : state.Ranks)
    latest = std::max(latest, it.Report.Engine.Current);
  state.Step = {latest.Value + state.Limits.StepsAhead};
  enterPhase(state, DriverPhase::Arming, now);
}

// Enters the next phase once all ranks have accepted the order of this one.
void advance(DriverState &state, SteadyTime now, Actions &actions) {
  if (!allAnswered(state))
    return;
  switch (state.Phase) {
  case DriverPhase::Settling:
    finishSettlement(state, now, actions);
    return;
  case DriverPhase::Preparing:
    if (state.Limits.OwnerHoldsStep)
      enterPhase(state, DriverPhase::Confirming, now);
    else
      startArming(state, now);
    return;
  case DriverPhase::Confirming:
    startArming(state, now);
    return;
  case DriverPhase::Arming:
    startDeciding(state, Decision::Release, now);
    return;
  case DriverPhase::Deciding:
    actions.emplace_back(SwitchEnded{state.Map, state.Outcome});
    enterPhase(state,
               state.IsSettler ? DriverPhase::Stopped : DriverPhase::Steady,
               now);
    return;
  default:
    return;
  }
}

// Records the highest map number, so that a new map gets a higher one.
void recordHighestMap(DriverState &state, const RankReport &report) {
  MapNumber decided =
      report.LastDecision ? report.LastDecision->Map : MapNumber{};
  state.HighestMap =
      std::max({state.HighestMap, report.Engine.InForce, report.Engine.Pending,
                report.HighestPrepared, decided});
}

void handleRefusal(DriverState &state, const RankReport &report,
                   SteadyTime now) {
  bool isDeposed = report.Promised.Lease > state.Number.Lease;
  if (isDeposed && !state.IsSettler) {
    enterPhase(state, DriverPhase::Stopped, now);
    return;
  }
  const RankView &view = state.Ranks[indexOf(report.From)];
  bool restarted = state.Phase != DriverPhase::Settling &&
                   report.Process != view.Report.Process;
  if (report.Promised > state.Number || restarted) {
    restartSettlement(state, report.Promised, now);
    return;
  }
  bool isOwner = report.From == state.Number.Owner;
  bool isCancellation =
      state.Phase == DriverPhase::Deciding && state.Outcome == Decision::Cancel;
  bool completes =
      state.Phase == DriverPhase::Arming && findArmedMap(state).has_value();
  if (state.Limits.OwnerHoldsStep && isOwner && (isCancellation || completes)) {
    // The owner's engine is armed although it was to be cancelled, or uses the
    // map already that was to be armed: a late order was carried out.
    restartSettlement(state, report.Promised, now);
    return;
  }
  // The order is sent again until it is carried out.
  if (isCommitted(state))
    return;
  // The engine cannot carry out the order: it is past the step to be armed, or
  // it has lost the weights.
  if (state.Phase == DriverPhase::Preparing ||
      state.Phase == DriverPhase::Arming)
    startDeciding(state, Decision::Cancel, now);
}

void handleReport(DriverState &state, const RankReport &report, SteadyTime now,
                  Actions &actions) {
  recordHighestMap(state, report);
  bool isPromise = kindOf(state.Phase) == OrderKind::Promise;
  bool sameMap = isPromise || report.Map == state.Map;
  bool current = report.Number == state.Number && sameMap &&
                 report.InReplyTo == kindOf(state.Phase);
  bool known = indexOf(report.From) < state.Ranks.size();
  if (!current || !known || state.Phase == DriverPhase::Steady ||
      state.Phase == DriverPhase::Stopped)
    return;
  if (!report.Accepted) {
    handleRefusal(state, report, now);
    return;
  }
  RankView &view = state.Ranks[indexOf(report.From)];
  bool hasRestarted = state.Phase == DriverPhase::Confirming &&
                      report.Process != view.Report.Process;
  if (hasRestarted) {
    restartSettlement(state, report.Promised, now);
    return;
  }
  view.HasAnswered = true;
  view.Report = report;
  advance(state, now, actions);
}

void startSwitch(DriverState &state, SteadyTime now) {
  if (state.Phase != DriverPhase::Steady || state.IsSettler)
    return;
  std::uint64_t stride = state.Limits.MapStride;
  std::uint64_t above = std::max(state.HighestMap, state.Limits.FirstMap).Value;
  state.Map = {(above / stride + 1) * stride + state.Limits.MapOffset};
  state.HighestMap = state.Map;
  enterPhase(state, DriverPhase::Preparing, now);
}

// Cancels a switch that takes too long to prepare or arm. Reports the failure
// of the group, once for each phase, if ranks do not answer while the driver
// settles or decides, or has to complete the switch.
void checkTimeouts(DriverState &state, SteadyTime now, Actions &actions) {
  auto waited = now - state.PhaseSince;
  bool isArming = state.Phase == DriverPhase::Confirming ||
                  state.Phase == DriverPhase::Arming;
  bool timedOut =
      (state.Phase == DriverPhase::Preparing &&
       waited >= state.Limits.PrepareWithin) ||
      (isArming && !isCommitted(state) && waited >= state.Limits.ArmWithin);
  if (timedOut) {
    startDeciding(state, Decision::Cancel, now);
    return;
  }
  bool waits = state.Phase == DriverPhase::Settling ||
               state.Phase == DriverPhase::Deciding || isCommitted(state);
  if (!waits || state.FailureReported ||
      waited < state.Limits.UnresponsiveAfter)
    return;
  state.FailureReported = true;
  GroupFailed failed;
  for (std::size_t r = 0; r < state.Ranks.size(); ++r)
    if (!state.Ranks[r].HasAnswered)
      failed.Ranks.push_back(Rank(r));
  actions.emplace_back(failed);
}

DriverState makeState(const Ballot &number, std::size_t ranks,
                      const DriverLimits &limits, SteadyTime now) {
  DriverState state;
  state.Number = number;
  state.Limits = limits;
  state.Ranks.resize(ranks);
  state.PhaseSince = now;
  return state;
}

} // namespace

bool isOwnerArmed(const DriverState &state) {
  const EngineMap &map = state.Ranks[indexOf(state.Number.Owner)].Report.Engine;
  return map.Stage == MapStage::Armed && !map.IsHoldOnly &&
         map.Pending == state.Map;
}

std::string_view orderKindName(OrderKind kind) {
  switch (kind) {
  case OrderKind::Promise:
    return "promise";
  case OrderKind::Prepare:
    return "prepare";
  case OrderKind::Arm:
    return "arm";
  case OrderKind::Decide:
    return "decide";
  }
  return "unknown";
}

std::string_view driverPhaseName(DriverPhase phase) {
  switch (phase) {
  case DriverPhase::Settling:
    return "settling";
  case DriverPhase::Steady:
    return "steady";
  case DriverPhase::Preparing:
    return "preparing";
  case DriverPhase::Confirming:
    return "confirming";
  case DriverPhase::Arming:
    return "arming";
  case DriverPhase::Deciding:
    return "deciding";
  case DriverPhase::Stopped:
    return "stopped";
  }
  return "unknown";
}

DriverState makeDriver(const Ballot &number, std::size_t ranks,
                       SteadyTime leaseEnd, const DriverLimits &limits,
                       SteadyTime now) {
  DriverState state = makeState(number, ranks, limits, now);
  state.LeaseEnd = leaseEnd;
  return state;
}

DriverState makeSettler(const Ballot &number, std::size_t ranks,
                        const DriverLimits &limits, SteadyTime now) {
  DriverState state = makeState(number, ranks, limits, now);
  state.IsSettler = true;
  return state;
}

std::vector<DriverAction>
decideDriver(DriverState &state, const DriverEvent &event, SteadyTime now) {
  Actions actions;
  if (const auto *report = std::get_if<ReportReceived>(&event))
    handleReport(state, report->Report, now, actions);
  else if (const auto *lease = std::get_if<LeaseRenewed>(&event))
    state.LeaseEnd = lease->LeaseEnd;
  else if (std::get_if<SwitchWanted>(&event) != nullptr)
    startSwitch(state, now);
  if (!maySendOrders(state, now))
    return actions;
  if (std::get_if<DriverTick>(&event) != nullptr)
    checkTimeouts(state, now, actions);
  sendOrders(state, now, actions);
  return actions;
}

} // namespace greengagespar
