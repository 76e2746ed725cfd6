#include "greengagespar/group/rank.h"

#include <algorithm>

namespace greengagespar {

namespace {

using Actions = std::vector<RankAction>;

RankReport reportOf(const RankState &state, const MapOrder &order,
                    bool accepted) {
  RankReport report;
  report.From = state.Self;
  report.Process = state.Process;
  report.InReplyTo = order.Kind;
  report.Number = order.Number;
  report.Map = order.Map;
  report.Accepted = accepted;
  report.Promised = state.Promised;
  report.Engine = state.Engine.value_or(EngineMap{});
  report.LastDecision = state.LastDecision;
  report.HighestPrepared = state.HighestPrepared;
  return report;
}

bool isPending(const EngineMap &map, MapNumber number, MapStage stage) {
  return map.Stage == stage && map.Pending == number;
}

// Returns whether the engine will not enter the order's step, because the
// order's map is armed for it or is prepared and the step is held.
bool isArmedFor(const EngineMap &map, const MapOrder &order) {
  return isPending(map, order.Map, MapStage::Armed) && map.Step == order.Step;
}

// Returns whether the engine's state shows that the order was carried out.
bool isDone(const EngineMap &map, const MapOrder &order, bool cancelsEarlier) {
  switch (order.Kind) {
  case OrderKind::Promise:
    return true;
  case OrderKind::Prepare:
    return isPending(map, order.Map, MapStage::Prepared) ||
           isPending(map, order.Map, MapStage::Armed);
  case OrderKind::Arm:
    return isArmedFor(map, order) && !map.IsHoldOnly;
  case OrderKind::Decide:
    if (order.Outcome == Decision::Release)
      return map.InForce == order.Map;
    return map.Stage == MapStage::None ||
           (cancelsEarlier ? map.Pending > order.Map
                           : map.Pending != order.Map);
  }
  return false;
}

// Returns whether the state of the rank and its engine allows the order.
bool isAllowed(const RankState &state, const MapOrder &order) {
  const EngineMap &map = *state.Engine;
  // A delayed order must not restart a switch that has been decided.
  bool decided = state.LastDecision && state.LastDecision->Map >= order.Map;
  switch (order.Kind) {
  case OrderKind::Promise:
    return true;
  case OrderKind::Prepare:
    return !decided && order.Map > map.InForce && map.Stage != MapStage::Armed;
  case OrderKind::Arm:
    return !decided && order.Step > map.Current &&
           (isPending(map, order.Map, MapStage::Prepared) ||
            (map.IsHoldOnly && isArmedFor(map, order)));
  case OrderKind::Decide:
    return order.Outcome == Decision::Cancel ||
           (isPending(map, order.Map, MapStage::Armed) && !map.IsHoldOnly);
  }
  return false;
}

void recordDecision(RankState &state, const MapOrder &order) {
  if (order.Kind == OrderKind::Decide)
    state.LastDecision = AppliedDecision{order.Map, order.Outcome};
}

Actions startAtEngine(RankState &state, const MapOrder &order, SteadyTime now) {
  // The engine takes long to fetch weights and changes no step by that, so the
  // process need not wait for it before it answers a Promise order. The driver
  // sends the Prepare order again until the map is prepared.
  if (order.Kind != OrderKind::Prepare) {
    state.InProgress = order;
    state.EngineCalledAt = now;
  } else {
    state.HighestPrepared = std::max(state.HighestPrepared, order.Map);
  }
  return {OrderEngine{order, engineFencing(order.Number)}};
}

Actions handlePromise(RankState &state, const MapOrder &order) {
  if (order.Number < state.Promised)
    return {SendReport{reportOf(state, order, false)}};
  state.Promised = order.Number;
  if (!state.Engine || state.InProgress) {
    state.WaitingPromise = order;
    return {};
  }
  return {SendReport{reportOf(state, order, true)}};
}

Actions handleOrder(RankState &state, const MapOrder &order, SteadyTime now) {
  if (order.To != state.Self)
    return {};
  if (order.Kind == OrderKind::Promise)
    return handlePromise(state, order);
  // A process that has not accepted a Promise order under this ballot, such as
  // one that has restarted since, refuses all other orders under it.
  bool current =
      order.Process == state.Process && order.Number == state.Promised;
  if (!current || !state.Engine)
    return {SendReport{reportOf(state, order, false)}};
  if (state.InProgress)
    return {}; // The sender repeats the order until it is answered.
  if (isDone(*state.Engine, order, state.Limits.CancelsEarlierMaps)) {
    recordDecision(state, order);
    return {SendReport{reportOf(state, order, true)}};
  }
  if (!isAllowed(state, order))
    return {SendReport{reportOf(state, order, false)}};
  return startAtEngine(state, order, now);
}

// Reports the order in progress at the engine, if its result is known.
void finishInProgress(RankState &state, bool refused, Actions &actions) {
  if (!state.InProgress)
    return;
  MapOrder order = *state.InProgress;
  bool done = isDone(*state.Engine, order, state.Limits.CancelsEarlierMaps);
  if (!done && !refused)
    return;
  state.InProgress.reset();
  if (done)
    recordDecision(state, order);
  actions.emplace_back(SendReport{reportOf(state, order, done)});
}

Actions handleEngineRead(RankState &state, const EngineRead &read,
                         SteadyTime now) {
  bool wasArmed = state.Engine && state.Engine->Stage == MapStage::Armed;
  state.Engine = read.Map;
  if (!wasArmed && read.Map.Stage == MapStage::Armed)
    state.ArmedAt = now;
  Actions actions;
  finishInProgress(state, read.Refused, actions);
  if (state.WaitingPromise && !state.InProgress) {
    MapOrder promise = *state.WaitingPromise;
    state.WaitingPromise.reset();
    bool accepted = promise.Number == state.Promised;
    actions.emplace_back(SendReport{reportOf(state, promise, accepted)});
  }
  return actions;
}

Ballot nextBallot(const RankState &state) {
  return {state.Promised.Lease, state.Promised.Round + 1, state.Self,
          state.Process};
}

Actions handleTick(RankState &state, SteadyTime now) {
  Actions actions;
  bool mustRead = !state.Engine || state.InProgress;
  if (mustRead && now - state.EngineCalledAt >= state.Limits.ReadBackAfter) {
    state.EngineCalledAt = now;
    // The order is sent again, since it may not have reached the engine.
    if (state.InProgress)
      actions.emplace_back(OrderEngine{
          *state.InProgress, engineFencing(state.InProgress->Number)});
    else
      actions.emplace_back(ReadEngine{});
  }
  if (mustRead || state.Engine->Stage != MapStage::Armed)
    return actions;
  auto settleAfter = state.Limits.SettleAfter +
                     state.Limits.SettleStagger * indexOf(state.Self);
  if (now - state.ArmedAt < settleAfter)
    return actions;
  // The rank waits for the same time before it starts the next settlement.
  state.ArmedAt = now;
  actions.emplace_back(StartSettlement{nextBallot(state)});
  return actions;
}

} // namespace

RankState makeRank(Rank self, Incarnation process, const RankLimits &limits) {
  RankState state;
  state.Self = self;
  state.Process = process;
  state.Limits = limits;
  return state;
}

std::vector<RankAction> decideRank(RankState &state, const RankEvent &event,
                                   SteadyTime now) {
  if (const auto *order = std::get_if<OrderReceived>(&event))
    return handleOrder(state, order->Order, now);
  if (const auto *read = std::get_if<EngineRead>(&event))
    return handleEngineRead(state, *read, now);
  return handleTick(state, now);
}

} // namespace greengagespar
