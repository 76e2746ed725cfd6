#include "greengagespar/group/driver.h"

#include <algorithm>
#include <utility>

namespace greengagespar {

namespace {

using Actions = std::vector<DriverAction>;

void enter(DriverState &state, DriverPhase phase, SteadyTime now) {
  state.Phase = phase;
  state.PhaseSince = now;
  state.FailureTold = false;
  for (RankView &it : state.Ranks) {
    it.Answered = false;
    it.SentAt.reset();
  }
}

// Starts a settlement with a ballot over all that are known.
void settleAgain(DriverState &state, const Ballot &seen, SteadyTime now) {
  state.Number.Lease = std::max(state.Number.Lease, seen.Lease);
  state.Number.Round = std::max(state.Number.Round, seen.Round) + 1;
  enter(state, DriverPhase::Settling, now);
  // Settlers that outbid each other come apart in time.
  if (state.IsSettler)
    state.HoldUntil =
        now + state.Limits.ResendAfter * (1 + indexOf(state.Number.Owner));
}

void decide(DriverState &state, Decision outcome, SteadyTime now) {
  state.Outcome = outcome;
  enter(state, DriverPhase::Deciding, now);
}

bool allAnswered(const DriverState &state) {
  return std::all_of(state.Ranks.begin(), state.Ranks.end(),
                     [](const RankView &it) { return it.Answered; });
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
    return OrderKind::Ask;
  }
}

MapOrder orderFor(const DriverState &state, Rank to) {
  MapOrder order;
  order.Kind = kindOf(state.Phase);
  order.Number = state.Number;
  order.To = to;
  if (order.Kind == OrderKind::Ask)
    return order;
  order.Process = state.Ranks[indexOf(to)].Report.Process;
  order.Map = state.Map;
  order.Step = state.Step;
  order.Outcome = state.Outcome;
  return order;
}

bool givesOrders(const DriverState &state, SteadyTime now) {
  if (state.Phase == DriverPhase::Stopped || state.Phase == DriverPhase::Steady)
    return false;
  return now >= state.HoldUntil && (state.IsSettler || now < state.ActUntil);
}

// Whether the owner's rank is to be told before any other. It promises a ballot
// first, so that the owner refuses lower ballots as long as it uses this one. A
// rank that holds the step for all is armed first.
bool isOwnerFirst(const DriverState &state) {
  return state.Phase == DriverPhase::Settling ||
         (state.Phase == DriverPhase::Arming && state.Limits.OwnerHolds);
}

// Whether the owner's rank is not told yet. A rank that holds the step for all
// is released once half of the others know, so that a settlement
// finds the outcome though the order to drop the hold may come late.
bool isOwnerLast(const DriverState &state) {
  bool isRelease = state.Phase == DriverPhase::Deciding &&
                   state.Outcome == Decision::Release;
  if (!isRelease || !state.Limits.OwnerHolds)
    return false;
  auto told = std::ranges::count_if(state.Ranks, &RankView::Answered);
  return std::cmp_less(2 * told, state.Ranks.size() - 1);
}

// Sends what is due.
void sendDue(DriverState &state, SteadyTime now, Actions &actions) {
  std::size_t owner = indexOf(state.Number.Owner);
  bool ownerFirst = isOwnerFirst(state) && !state.Ranks[owner].Answered;
  bool ownerLast = isOwnerLast(state);
  for (std::size_t r = 0; r < state.Ranks.size(); ++r) {
    RankView &view = state.Ranks[r];
    bool sentLately =
        view.SentAt && now - *view.SentAt < state.Limits.ResendAfter;
    bool waits = (ownerFirst && r != owner) || (ownerLast && r == owner);
    if (view.Answered || sentLately || waits)
      continue;
    view.SentAt = now;
    actions.emplace_back(SendOrder{orderFor(state, Rank(r))});
  }
}

// The outcome of an armed map, if a rank is armed: one already taken stands.
std::optional<Decision> settledOutcome(DriverState &state) {
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
    if (it.Report.Taken && it.Report.Taken->Map == state.Map)
      return it.Report.Taken->Outcome;
  }
  return Decision::Cancel;
}

// Ranks whose map in force is not that of the first rank.
std::vector<Rank> otherMaps(const DriverState &state) {
  std::vector<Rank> ranks;
  for (const RankView &it : state.Ranks)
    if (it.Report.Engine.InForce != state.Ranks[0].Report.Engine.InForce)
      ranks.push_back(it.Report.From);
  return ranks;
}

void endSettlement(DriverState &state, SteadyTime now, Actions &actions) {
  if (std::optional<Decision> outcome = settledOutcome(state)) {
    decide(state, *outcome, now);
    return;
  }
  std::vector<Rank> others = otherMaps(state);
  if (!others.empty())
    actions.emplace_back(GroupFailed{others});
  bool done = state.IsSettler || !others.empty();
  enter(state, done ? DriverPhase::Stopped : DriverPhase::Steady, now);
}

void startArming(DriverState &state, SteadyTime now) {
  StepNumber latest;
  for (const RankView &it : state.Ranks)
    latest = std::max(latest, it.Report.Engine.Current);
  state.Step = {latest.Value + state.Limits.StepsAhead};
  enter(state, DriverPhase::Arming, now);
}

// Goes on to the next phase once all ranks have answered.
void advance(DriverState &state, SteadyTime now, Actions &actions) {
  if (!allAnswered(state))
    return;
  switch (state.Phase) {
  case DriverPhase::Settling:
    endSettlement(state, now, actions);
    return;
  case DriverPhase::Preparing:
    if (state.Limits.OwnerHolds)
      enter(state, DriverPhase::Confirming, now);
    else
      startArming(state, now);
    return;
  case DriverPhase::Confirming:
    startArming(state, now);
    return;
  case DriverPhase::Arming:
    decide(state, Decision::Release, now);
    return;
  case DriverPhase::Deciding:
    actions.emplace_back(SwitchEnded{state.Map, state.Outcome});
    enter(state, state.IsSettler ? DriverPhase::Stopped : DriverPhase::Steady,
          now);
    return;
  default:
    return;
  }
}

void noteMaps(DriverState &state, const RankReport &report) {
  MapNumber taken = report.Taken ? report.Taken->Map : MapNumber{};
  state.HighestMap = std::max(
      {state.HighestMap, report.Engine.InForce, report.Engine.Pending, taken});
}

void takeRefusal(DriverState &state, const RankReport &report, SteadyTime now) {
  bool deposed = report.Promised.Lease > state.Number.Lease;
  if (deposed && !state.IsSettler) {
    enter(state, DriverPhase::Stopped, now);
    return;
  }
  const RankView &view = state.Ranks[indexOf(report.From)];
  bool restarted = state.Phase != DriverPhase::Settling &&
                   report.Process != view.Report.Process;
  if (report.Promised > state.Number || restarted) {
    settleAgain(state, report.Promised, now);
    return;
  }
  // The engine can't: it is past the armed step, or has lost the weights.
  if (state.Phase == DriverPhase::Preparing ||
      state.Phase == DriverPhase::Arming)
    decide(state, Decision::Cancel, now);
}

void takeReport(DriverState &state, const RankReport &report, SteadyTime now,
                Actions &actions) {
  noteMaps(state, report);
  bool isAsked = kindOf(state.Phase) == OrderKind::Ask;
  bool sameMap = isAsked || report.Map == state.Map;
  bool current = report.Number == state.Number && sameMap &&
                 report.InReplyTo == kindOf(state.Phase);
  bool known = indexOf(report.From) < state.Ranks.size();
  if (!current || !known || state.Phase == DriverPhase::Steady ||
      state.Phase == DriverPhase::Stopped)
    return;
  if (!report.Accepted) {
    takeRefusal(state, report, now);
    return;
  }
  RankView &view = state.Ranks[indexOf(report.From)];
  bool hasRestarted = state.Phase == DriverPhase::Confirming &&
                      report.Process != view.Report.Process;
  if (hasRestarted) {
    settleAgain(state, report.Promised, now);
    return;
  }
  view.Answered = true;
  view.Report = report;
  advance(state, now, actions);
}

void startSwitch(DriverState &state, SteadyTime now) {
  if (state.Phase != DriverPhase::Steady || state.IsSettler)
    return;
  std::uint64_t stride = state.Limits.MapStride;
  std::uint64_t above = std::max(state.HighestMap, state.Limits.FirstMap).Value;
  state.Map = {(above / stride + 1) * stride + state.Limits.MapSalt};
  state.HighestMap = state.Map;
  enter(state, DriverPhase::Preparing, now);
}

// Cancels what takes too long; tells when ranks stay silent.
void checkTime(DriverState &state, SteadyTime now, Actions &actions) {
  auto waited = now - state.PhaseSince;
  bool isArming = state.Phase == DriverPhase::Confirming ||
                  state.Phase == DriverPhase::Arming;
  bool late = (state.Phase == DriverPhase::Preparing &&
               waited >= state.Limits.PrepareWithin) ||
              (isArming && waited >= state.Limits.ArmWithin);
  if (late) {
    decide(state, Decision::Cancel, now);
    return;
  }
  bool waits = state.Phase == DriverPhase::Settling ||
               state.Phase == DriverPhase::Deciding;
  if (!waits || state.FailureTold || waited < state.Limits.SilentAfter)
    return;
  state.FailureTold = true;
  GroupFailed failed;
  for (std::size_t r = 0; r < state.Ranks.size(); ++r)
    if (!state.Ranks[r].Answered)
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

DriverState makeDriver(const Ballot &number, std::size_t ranks,
                       SteadyTime actUntil, const DriverLimits &limits,
                       SteadyTime now) {
  DriverState state = makeState(number, ranks, limits, now);
  state.ActUntil = actUntil;
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
  if (const auto *report = std::get_if<ReportCame>(&event))
    takeReport(state, report->Report, now, actions);
  else if (const auto *lease = std::get_if<LeaseRenewed>(&event))
    state.ActUntil = lease->ActUntil;
  else if (std::get_if<SwitchWanted>(&event) != nullptr)
    startSwitch(state, now);
  if (!givesOrders(state, now))
    return actions;
  if (std::get_if<DriverTick>(&event) != nullptr)
    checkTime(state, now, actions);
  sendDue(state, now, actions);
  return actions;
}

} // namespace greengagespar
