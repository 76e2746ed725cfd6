#include "greengagespar/group/rank.h"

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
  report.Taken = state.Taken;
  return report;
}

bool isPending(const EngineMap &map, MapNumber number, MapStage stage) {
  return map.Stage == stage && map.Pending == number;
}

// Says whether the engine's state shows that the order has been carried out.
bool isDone(const EngineMap &map, const MapOrder &order, bool cancelsEarlier) {
  switch (order.Kind) {
  case OrderKind::Ask:
    return true;
  case OrderKind::Prepare:
    return isPending(map, order.Map, MapStage::Prepared) ||
           isPending(map, order.Map, MapStage::Armed);
  case OrderKind::Arm:
    return isPending(map, order.Map, MapStage::Armed) && map.Step == order.Step;
  case OrderKind::Decide:
    if (order.Outcome == Decision::Release)
      return map.InForce == order.Map;
    return map.Stage == MapStage::None ||
           (cancelsEarlier ? map.Pending > order.Map
                           : map.Pending != order.Map);
  }
  return false;
}

// Says whether the engine's state allows the order.
bool isAllowed(const RankState &state, const MapOrder &order) {
  const EngineMap &map = *state.Engine;
  // A delayed order must not take up an attempt that has been decided.
  bool decided = state.Taken && state.Taken->Map >= order.Map;
  switch (order.Kind) {
  case OrderKind::Ask:
    return true;
  case OrderKind::Prepare:
    return !decided && order.Map > map.InForce && map.Stage != MapStage::Armed;
  case OrderKind::Arm:
    return !decided && isPending(map, order.Map, MapStage::Prepared) &&
           order.Step > map.Current;
  case OrderKind::Decide:
    return order.Outcome == Decision::Cancel ||
           isPending(map, order.Map, MapStage::Armed);
  }
  return false;
}

void takeOutcome(RankState &state, const MapOrder &order) {
  if (order.Kind == OrderKind::Decide)
    state.Taken = TakenDecision{order.Map, order.Outcome};
}

Actions startAtEngine(RankState &state, const MapOrder &order, SteadyTime now) {
  // Fetching weights takes long and changes no step, so an Ask need not wait
  // for it; the driver asks again until the map is prepared.
  if (order.Kind != OrderKind::Prepare) {
    state.InProgress = order;
    state.EngineAskedAt = now;
  }
  return {OrderEngine{order, engineFencing(order.Number)}};
}

Actions takeAsk(RankState &state, const MapOrder &order) {
  if (order.Number < state.Promised)
    return {SendReport{reportOf(state, order, false)}};
  state.Promised = order.Number;
  if (!state.Engine || state.InProgress) {
    state.WaitingAsk = order;
    return {};
  }
  return {SendReport{reportOf(state, order, true)}};
}

Actions takeOrder(RankState &state, const MapOrder &order, SteadyTime now) {
  if (order.To != state.Self)
    return {};
  if (order.Kind == OrderKind::Ask)
    return takeAsk(state, order);
  // A process that has not answered an Ask under this ballot, such as one that
  // has restarted since, takes no order under it.
  bool current =
      order.Process == state.Process && order.Number == state.Promised;
  if (!current || !state.Engine)
    return {SendReport{reportOf(state, order, false)}};
  if (state.InProgress)
    return {}; // It is sent again until answered.
  if (isDone(*state.Engine, order, state.Limits.CancelsEarlier)) {
    takeOutcome(state, order);
    return {SendReport{reportOf(state, order, true)}};
  }
  if (!isAllowed(state, order))
    return {SendReport{reportOf(state, order, false)}};
  return startAtEngine(state, order, now);
}

// Reports the order that was in progress, when its outcome is known.
void finishInProgress(RankState &state, bool refused, Actions &actions) {
  if (!state.InProgress)
    return;
  MapOrder order = *state.InProgress;
  bool done = isDone(*state.Engine, order, state.Limits.CancelsEarlier);
  if (!done && !refused)
    return;
  state.InProgress.reset();
  if (done)
    takeOutcome(state, order);
  actions.emplace_back(SendReport{reportOf(state, order, done)});
}

Actions takeEngineRead(RankState &state, const EngineRead &read,
                       SteadyTime now) {
  bool wasArmed = state.Engine && state.Engine->Stage == MapStage::Armed;
  state.Engine = read.Map;
  if (!wasArmed && read.Map.Stage == MapStage::Armed)
    state.ArmedAt = now;
  Actions actions;
  finishInProgress(state, read.Refused, actions);
  if (state.WaitingAsk && !state.InProgress) {
    MapOrder ask = *state.WaitingAsk;
    state.WaitingAsk.reset();
    bool accepted = ask.Number == state.Promised;
    actions.emplace_back(SendReport{reportOf(state, ask, accepted)});
  }
  return actions;
}

Ballot nextBallot(const RankState &state) {
  return {state.Promised.Lease, state.Promised.Round + 1, state.Self,
          state.Process};
}

Actions tick(RankState &state, SteadyTime now) {
  Actions actions;
  bool unread = !state.Engine || state.InProgress;
  if (unread && now - state.EngineAskedAt >= state.Limits.ReadBackAfter) {
    state.EngineAskedAt = now;
    // The order is given again, since it may not have reached the engine.
    if (state.InProgress)
      actions.emplace_back(OrderEngine{
          *state.InProgress, engineFencing(state.InProgress->Number)});
    else
      actions.emplace_back(ReadEngine{});
  }
  if (unread || state.Engine->Stage != MapStage::Armed)
    return actions;
  auto patience = state.Limits.SettleAfter +
                  state.Limits.SettleStagger * indexOf(state.Self);
  if (now - state.ArmedAt < patience)
    return actions;
  state.ArmedAt = now; // Waits as long again before the next settlement.
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
  if (const auto *order = std::get_if<OrderCame>(&event))
    return takeOrder(state, order->Order, now);
  if (const auto *read = std::get_if<EngineRead>(&event))
    return takeEngineRead(state, *read, now);
  return tick(state, now);
}

} // namespace greengagespar
