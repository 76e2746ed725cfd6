#include "greengagespar/direct/remote_decision.h"

#include "greengagespar/base/log.h"
#include "greengagespar/base/log_output.h"

namespace greengagespar {

namespace {

// A server that can't be read is asked again after this.
constexpr std::chrono::milliseconds AskAgain{50};

} // namespace

bool goesToServer(const MapOrder &order, Clock::time_point heardAt,
                  Clock::time_point now) {
  return order.Kind == OrderKind::Decide && now - heardAt > RankProcessSilent;
}

RankReport reportOfServer(const MapOrder &order, const RankServerState &state) {
  RankReport report;
  report.From = order.To;
  report.Process = order.Process;
  report.InReplyTo = order.Kind;
  report.Number = order.Number;
  report.Map = order.Map;
  report.Accepted = true;
  report.Promised = order.Number;
  MapNumber fence{std::max(order.Map, state.Prepared.value_or(MapNumber{}))};
  report.Engine = engineMapOf(
      state, order.Outcome == Decision::Cancel ? fence : MapNumber{});
  report.Taken = TakenDecision{order.Map, order.Outcome};
  return report;
}

RemoteDecision::RemoteDecision(event_base *loop, const Address &server,
                               const RankDialect &dialect, RemoteGoal goal,
                               OnDone done)
    : Goal(std::move(goal)),
      Done(std::move(done)), Work{taskOf(Goal.Order), Goal.Order, 0},
      Calls(loop, server, dialect), Again(loop, [this] { step(); }) {
  const MapOrder &order = Goal.Order;
  logWarning(Part::Group,
             LogLine("decided_at_server")
                 .add("rank", static_cast<std::int64_t>(indexOf(order.To)))
                 .add("server", server.Value)
                 .add("map", static_cast<std::int64_t>(order.Map.Value))
                 .add("outcome", order.Outcome == Decision::Release
                                     ? "in_use"
                                     : "cancelled")
                 .text());
  step();
}

void RemoteDecision::resume() {
  if (Goal.Order.Outcome != Decision::Cancel)
    return;
  Work = RankWork{RankTask::Resume, Goal.Order, 0};
  IsAtWork = true;
  step();
}

void RemoteDecision::step() {
  Calls.readState([this](const std::optional<RankServerState> &state) {
    if (state)
      return take(*state);
    Again.start(AskAgain);
  });
}

void RemoteDecision::take(const RankServerState &state) {
  if (state.Epoch != Goal.Epoch) {
    IsAtWork = false;
    return;
  }
  RankServerStep next = decideRankServer(Work, state);
  if (next.What == RankServerStep::Kind::Send) {
    RankPlaces places;
    if (next.Order.Kind == ServerMapOrder::Prepare)
      places = fencePlaces(Goal.Own, Goal.Order.To, state.Size, Goal.Experts);
    return Calls.give(next.Order, places, [this](bool) { step(); });
  }
  IsAtWork = false;
  if (next.What == RankServerStep::Kind::Refused) {
    logWarning(Part::Group,
               LogLine("not_decided_at_server")
                   .add("server", Calls.server().Value)
                   .add("map", static_cast<std::int64_t>(Goal.Order.Map.Value))
                   .text());
    return;
  }
  if (Work.Task != RankTask::Resume)
    Done(Goal.Order, state);
}

} // namespace greengagespar
