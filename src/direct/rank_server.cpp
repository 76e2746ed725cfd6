#include "greengagespar/direct/rank_server.h"

#include <algorithm>
#include <utility>

namespace greengagespar {

namespace {

using Kind = RankServerAction::Kind;

RankServerAction done() { return {Kind::Done, {}}; }
RankServerAction refused() { return {Kind::Refused, {}}; }

RankServerAction send(ServerMapOrder kind, MapNumber map, StepNumber step,
                      const RankServerState &state) {
  RankServerOrder order;
  order.Kind = kind;
  order.Epoch = state.Epoch;
  order.Map = map;
  order.Step = step;
  return {Kind::Send, order};
}

bool isArmedWith(const RankServerState &state, MapNumber map) {
  return state.Armed && state.Armed->Map == map;
}

RankServerAction prepare(const MapOrder &goal, const RankServerState &state) {
  if (state.Prepared == goal.Map || isArmedWith(state, goal.Map))
    return done();
  // The server refuses to prepare a map until it has begun the step that it is
  // armed for. The driver repeats its order until then.
  if (state.Armed)
    return refused();
  return send(ServerMapOrder::Prepare, goal.Map, {}, state);
}

// HoldingRank is armed only while it holds the step, so that the step can't
// begin while ranks are being armed.
RankServerAction arm(const MapOrder &goal, const RankServerState &state) {
  bool holds = state.Held == goal.Step;
  bool isWanted = holds == (state.Self == HoldingRank);
  if (isArmedWith(state, goal.Map))
    return isWanted && state.Armed->Step == goal.Step ? done() : refused();
  bool canArm = !state.Armed && state.Prepared == goal.Map &&
                state.Step < goal.Step && isWanted;
  return canArm ? send(ServerMapOrder::Arm, goal.Map, goal.Step, state)
                : refused();
}

RankServerAction release(const MapOrder &goal, const RankServerState &state) {
  if (state.InUse == goal.Map)
    return done();
  if (!isArmedWith(state, goal.Map))
    return refused();
  return state.Held ? send(ServerMapOrder::ReleaseHold, {}, *state.Held, state)
                    : done();
}

// An armed rank is not cancelled any more: its switch must be completed.
//
// Earlier maps than the goal's are fenced too. A driver may have cancelled
// HoldingRank and died before it cancelled this rank; HoldingRank then reports
// its fence, and the settlement cancels the number of the fence.
RankServerAction cancel(const MapOrder &goal, const RankServerState &state) {
  if (state.Armed)
    return refused();
  bool canBeArmed = state.Prepared && *state.Prepared <= goal.Map;
  if (!canBeArmed)
    return done();
  return send(ServerMapOrder::Prepare, {goal.Map.Value + 1}, {}, state);
}

RankServerAction resume(const RankServerState &state) {
  if (state.Armed)
    return refused();
  return state.Held ? send(ServerMapOrder::ReleaseHold, {}, *state.Held, state)
                    : done();
}

RankServerAction nextAction(const RankWork &work,
                            const RankServerState &state) {
  switch (work.Task) {
  case RankTask::Prepare:
    return prepare(work.Goal, state);
  case RankTask::Arm:
    return arm(work.Goal, state);
  case RankTask::Release:
    return release(work.Goal, state);
  case RankTask::Cancel:
    return cancel(work.Goal, state);
  case RankTask::Resume:
    return resume(state);
  }
  return refused();
}

} // namespace

RankTask taskOf(const MapOrder &order) {
  if (order.Kind == OrderKind::Prepare)
    return RankTask::Prepare;
  if (order.Kind == OrderKind::Arm)
    return RankTask::Arm;
  return order.Outcome == Decision::Release ? RankTask::Release
                                            : RankTask::Cancel;
}

RankServerAction decideRankServer(RankWork &work,
                                  const std::optional<RankServerState> &state) {
  if (!state || work.OrdersSent >= MaxOrdersPerTask)
    return refused();
  RankServerAction action = nextAction(work, *state);
  if (action.What == Kind::Send)
    ++work.OrdersSent;
  return action;
}

std::optional<RankWork> releaseAgain(MapNumber released,
                                     const RankServerState &state) {
  bool isReleased = state.Armed && state.Armed->Map <= released;
  if (!isReleased || !state.Held)
    return std::nullopt;
  RankWork work;
  work.Task = RankTask::Release;
  work.Goal.Map = state.Armed->Map;
  work.IsRepeated = true;
  return work;
}

RankLimits rankServerLimits() {
  RankLimits limits;
  limits.CancelsEarlierMaps = true;
  return limits;
}

RankPlaces fencePlaces(const std::vector<std::vector<Expert>> &own, Rank self,
                       std::size_t ranks, std::size_t experts) {
  RankPlaces places;
  for (const std::vector<Expert> &mine : own) {
    std::vector<std::vector<Expert>> layer(ranks);
    layer[indexOf(self)] = mine;
    std::size_t next = 0;
    for (std::size_t e = 0; e < experts; ++e) {
      if (std::ranges::find(mine, Expert(e)) != mine.end())
        continue;
      if (next % ranks == indexOf(self))
        ++next;
      layer[next++ % ranks].push_back(Expert(e));
    }
    places.push_back(std::move(layer));
  }
  return places;
}

DriverLimits mapDriverLimits(Incarnation process, MapNumber used) {
  DriverLimits limits;
  limits.StepsAhead = MapStepsAhead;
  limits.MapStride = MapNumberStride;
  limits.MapOffset =
      process.Value % (MapNumberStride / MapNumberSalt) * MapNumberSalt;
  limits.FirstMap = std::max(MapNumber{process.Value}, used);
  limits.OwnerHoldsStep = true;
  return limits;
}

StepNumber lastStepOfEarlierProcess(const RankServerState &first) {
  constexpr std::uint64_t maxStepsApart = 2;
  return wasInUse(first)
             ? StepNumber{first.Step.Value + MapStepsAhead + maxStepsApart}
             : StepNumber{};
}

void recordHoldRelease(ArmedMap &last, const RankWork &work, StepNumber step) {
  if (work.Task == RankTask::Resume)
    last.Map = {};
  last.Step = std::max(last.Step, step);
}

bool mayHaveBeenHeld(const MapOrder &order, const ArmedMap &last,
                     const RankServerState &state) {
  bool isArmed = state.Armed && state.Armed->Map == order.Map &&
                 state.Armed->Step == order.Step;
  return !isArmed && order.Kind == OrderKind::Arm && order.To == HoldingRank &&
         order.Step <= last.Step && order.Map != last.Map;
}

bool wasInUse(const RankServerState &state) {
  return state.InUse.Value > 0 || state.Prepared || state.Armed || state.Held;
}

void recordState(RankHistory &history, const RankServerState &state) {
  bool isReleased = state.Self == HoldingRank && state.Armed && !state.Held;
  if (isReleased)
    history.Released = std::max(history.Released, state.Armed->Map);
}

EngineMap engineMapOf(const RankServerState &state,
                      const RankHistory &history) {
  EngineMap map;
  map.InForce = state.InUse;
  map.Current = state.Step;
  bool isReleased = state.Armed && state.Armed->Map <= history.Released;
  if (isReleased) {
    map.InForce = state.Armed->Map;
    return map;
  }
  MapNumber next{state.InUse.Value + 1};
  MapNumber pending =
      state.Armed ? state.Armed->Map : state.Prepared.value_or(next);
  bool isCancelled = !state.Armed && pending <= history.Cancelled;
  if ((state.Armed || state.Held) && !isCancelled) {
    map.Stage = MapStage::Armed;
    map.IsHoldOnly = !state.Armed;
    map.Pending = pending;
    map.Step = state.Armed ? state.Armed->Step : *state.Held;
    return map;
  }
  if (state.Prepared && *state.Prepared > state.InUse &&
      *state.Prepared > history.Cancelled) {
    map.Stage = MapStage::Prepared;
    map.Pending = *state.Prepared;
  }
  return map;
}

} // namespace greengagespar
