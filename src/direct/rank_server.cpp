#include "greengagespar/direct/rank_server.h"

#include <algorithm>

namespace greengagespar {

namespace {

using Kind = RankServerStep::Kind;

RankServerStep done() { return {Kind::Done, {}}; }
RankServerStep refused() { return {Kind::Refused, {}}; }

RankServerOrder orderTo(ServerMapOrder kind, const RankServerState &state) {
  RankServerOrder order;
  order.Kind = kind;
  order.Epoch = state.Epoch;
  order.Accepted = state.Accepted;
  return order;
}

RankServerStep sendMap(ServerMapOrder kind, MapNumber map, StepNumber step,
                       const RankServerState &state) {
  RankServerOrder order = orderTo(kind, state);
  order.Map = map;
  order.Step = step;
  return {Kind::Send, order};
}

RankServerStep sendStep(ServerMapOrder kind, StepNumber step,
                        const RankServerState &state) {
  return sendMap(kind, {}, step, state);
}

bool isArmedWith(const RankServerState &state, MapNumber map) {
  return state.Armed && state.Armed->Map == map;
}

RankServerStep prepare(const MapOrder &goal, const RankServerState &state) {
  if (state.Prepared == goal.Map || isArmedWith(state, goal.Map))
    return done();
  return sendMap(ServerMapOrder::Prepare, goal.Map, {}, state);
}

// Holds the step before arming, so that the step can't begin while ranks are
// being armed.
RankServerStep arm(const MapOrder &goal, const RankServerState &state) {
  bool holds = state.Held == goal.Step;
  if (isArmedWith(state, goal.Map))
    return holds && state.Armed->Step == goal.Step ? done() : refused();
  if (state.Armed || state.Prepared != goal.Map || state.Step >= goal.Step)
    return refused();
  if (holds)
    return sendMap(ServerMapOrder::Arm, goal.Map, goal.Step, state);
  if (state.Held)
    return refused();
  return sendStep(ServerMapOrder::Hold, goal.Step, state);
}

RankServerStep release(const MapOrder &goal, const RankServerState &state) {
  if (state.InUse == goal.Map)
    return done();
  if (isArmedWith(state, goal.Map))
    return state.Held ? sendStep(ServerMapOrder::Go, *state.Held, state)
                      : done();
  // Disarmed when this process took over from an earlier one.
  if (state.Held && state.Prepared == goal.Map)
    return sendMap(ServerMapOrder::Arm, goal.Map, *state.Held, state);
  return refused();
}

RankServerStep cancel(const RankServerState &state) {
  if (state.Armed && state.Held)
    return sendMap(ServerMapOrder::Disarm, state.Armed->Map, {}, state);
  if (state.Held)
    return sendStep(ServerMapOrder::Go, *state.Held, state);
  return done();
}

RankServerStep stepOf(const MapOrder &goal, const RankServerState &state) {
  switch (goal.Kind) {
  case OrderKind::Prepare:
    return prepare(goal, state);
  case OrderKind::Arm:
    return arm(goal, state);
  case OrderKind::Decide:
    return goal.Outcome == Decision::Release ? release(goal, state)
                                             : cancel(state);
  case OrderKind::Ask:
    return done();
  }
  return done();
}

// The next step of a work that has not been refused for the number of orders.
RankServerStep nextStep(RankWork &work, const RankServerState &state) {
  if (work.IsFence) {
    auto fence = fenceEarlierProcess(state);
    return fence ? RankServerStep{Kind::Send, *fence} : done();
  }
  if (work.IsUndoing) {
    RankServerStep undo = cancel(state);
    return undo.What == Kind::Done ? refused() : undo;
  }
  RankServerStep step = stepOf(work.Goal, state);
  bool leavesHold = step.What == Kind::Refused &&
                    work.Goal.Kind == OrderKind::Arm &&
                    state.Held == work.Goal.Step;
  if (!leavesHold)
    return step;
  work.IsUndoing = true;
  return nextStep(work, state);
}

} // namespace

RankServerStep decideRankServer(RankWork &work,
                                const std::optional<RankServerState> &state) {
  if (!state || work.Orders >= MaxOrdersOfWork)
    return refused();
  RankServerStep step = nextStep(work, *state);
  if (step.What == Kind::Send)
    ++work.Orders;
  return step;
}

std::optional<RankServerOrder>
fenceEarlierProcess(const RankServerState &state) {
  if (!state.Armed || !state.Held)
    return std::nullopt;
  RankServerOrder order = orderTo(ServerMapOrder::Disarm, state);
  order.Map = state.Armed->Map;
  return order;
}

EngineMap engineMapOf(const RankServerState &state, MapNumber cancelled) {
  EngineMap map;
  map.InForce = state.InUse;
  map.Current = state.Step;
  if (state.Armed && !state.Held) {
    map.InForce = state.Armed->Map;
    return map;
  }
  if (state.Armed || state.Held) {
    // A hold alone may be left of a switch whose process has died.
    MapNumber next{state.InUse.Value + 1};
    map.Stage = MapStage::Armed;
    map.Pending =
        state.Armed ? state.Armed->Map : state.Prepared.value_or(next);
    map.Step = state.Armed ? state.Armed->Step : *state.Held;
    return map;
  }
  if (state.Prepared && *state.Prepared > state.InUse &&
      *state.Prepared > cancelled) {
    map.Stage = MapStage::Prepared;
    map.Pending = *state.Prepared;
  }
  return map;
}

} // namespace greengagespar
