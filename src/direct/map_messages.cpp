#include "greengagespar/direct/map_messages.h"

#include <algorithm>

namespace greengagespar {

namespace {

using std::chrono::milliseconds;

// Bounds of what a rank may state, so that sums over all ranks stay in range.
constexpr std::uint32_t MaxReportedCalls = 100000;
constexpr double MaxReportedPace = 100;

// Returns the error for a field \p what whose value is out of range.
boost::leaf::error_id outOfRange(std::string_view what) {
  return fail(ErrorKind::BadRequest,
              "map message with an unknown " + std::string(what));
}

void writeBallot(const Ballot &ballot, wire::MapBallot &out) {
  out.set_lease(ballot.Lease.Value);
  out.set_round(ballot.Round);
  out.set_owner(static_cast<std::uint32_t>(indexOf(ballot.Owner)));
  out.set_process(ballot.Process.Value);
}

Result<OrderKind> kindOf(std::uint32_t value) {
  if (value > static_cast<std::uint32_t>(OrderKind::Decide))
    return outOfRange("kind");
  return static_cast<OrderKind>(value);
}

Result<Decision> decisionOf(std::uint32_t value) {
  if (value > static_cast<std::uint32_t>(Decision::Release))
    return outOfRange("outcome");
  return static_cast<Decision>(value);
}

Result<std::vector<std::vector<Expert>>> readLayer(const wire::MapLayer &from) {
  std::vector<std::vector<Expert>> ranks;
  int next = 0;
  for (std::uint32_t n : from.experts_of_rank()) {
    auto &rank = ranks.emplace_back();
    for (std::uint32_t i = 0; i < n; ++i) {
      if (next >= from.experts_size())
        return outOfRange("number of experts");
      rank.push_back(Expert(from.experts(next++)));
    }
  }
  return ranks;
}

} // namespace

Ballot readBallot(const wire::MapBallot &from) {
  return {{from.lease()}, from.round(), Rank(from.owner()), {from.process()}};
}

wire::MapResume writeMapResume(std::uint64_t epoch, const Ballot &ballot) {
  wire::MapResume out;
  out.set_epoch(epoch);
  writeBallot(ballot, *out.mutable_ballot());
  return out;
}

wire::MapOrder writeMapOrder(const DirectMapOrder &order) {
  wire::MapOrder out;
  const MapOrder &from = order.Order;
  out.set_kind(static_cast<std::uint32_t>(from.Kind));
  writeBallot(from.Number, *out.mutable_ballot());
  out.set_to(static_cast<std::uint32_t>(indexOf(from.To)));
  out.set_process(from.Process.Value);
  out.set_map(from.Map.Value);
  out.set_step(from.Step.Value);
  out.set_outcome(static_cast<std::uint32_t>(from.Outcome));
  out.set_epoch(order.Epoch);
  for (const auto &ranks : order.Places) {
    wire::MapLayer &layer = *out.add_layers();
    for (const auto &experts : ranks) {
      layer.add_experts_of_rank(static_cast<std::uint32_t>(experts.size()));
      for (Expert it : experts)
        layer.add_experts(static_cast<std::uint32_t>(indexOf(it)));
    }
  }
  return out;
}

Result<DirectMapOrder> readMapOrder(const wire::MapOrder &message) {
  DirectMapOrder out;
  BOOST_LEAF_ASSIGN(out.Order.Kind, kindOf(message.kind()));
  BOOST_LEAF_ASSIGN(out.Order.Outcome, decisionOf(message.outcome()));
  out.Order.Number = readBallot(message.ballot());
  out.Order.To = Rank(message.to());
  out.Order.Process = {message.process()};
  out.Order.Map = {message.map()};
  out.Order.Step = {message.step()};
  out.Epoch = message.epoch();
  for (const wire::MapLayer &it : message.layers()) {
    BOOST_LEAF_AUTO(layer, readLayer(it));
    out.Places.push_back(std::move(layer));
  }
  return out;
}

wire::MapReport writeMapReport(const DirectMapReport &report) {
  wire::MapReport out;
  const RankReport &from = report.Report;
  out.set_from(static_cast<std::uint32_t>(indexOf(from.From)));
  out.set_process(from.Process.Value);
  out.set_in_reply_to(static_cast<std::uint32_t>(from.InReplyTo));
  writeBallot(from.Number, *out.mutable_ballot());
  out.set_map(from.Map.Value);
  out.set_accepted(from.Accepted);
  writeBallot(from.Promised, *out.mutable_promised());
  wire::EngineMap &engine = *out.mutable_engine();
  engine.set_in_force(from.Engine.InForce.Value);
  engine.set_pending(from.Engine.Pending.Value);
  engine.set_stage(static_cast<std::uint32_t>(from.Engine.Stage));
  engine.set_step(from.Engine.Step.Value);
  engine.set_current(from.Engine.Current.Value);
  engine.set_is_hold_only(from.Engine.IsHoldOnly);
  out.set_has_taken(from.LastDecision.has_value());
  if (from.LastDecision) {
    out.set_taken_map(from.LastDecision->Map.Value);
    out.set_taken_outcome(
        static_cast<std::uint32_t>(from.LastDecision->Outcome));
  }
  out.set_highest_prepared(from.HighestPrepared.Value);
  out.set_epoch(report.Epoch);
  return out;
}

Result<DirectMapReport> readMapReport(const wire::MapReport &message) {
  DirectMapReport out;
  RankReport &to = out.Report;
  to.From = Rank(message.from());
  to.Process = {message.process()};
  BOOST_LEAF_ASSIGN(to.InReplyTo, kindOf(message.in_reply_to()));
  to.Number = readBallot(message.ballot());
  to.Map = {message.map()};
  to.Accepted = message.accepted();
  to.Promised = readBallot(message.promised());
  const wire::EngineMap &engine = message.engine();
  if (engine.stage() > static_cast<std::uint32_t>(MapStage::Armed))
    return outOfRange("stage");
  to.Engine.InForce = {engine.in_force()};
  to.Engine.Pending = {engine.pending()};
  to.Engine.Stage = static_cast<MapStage>(engine.stage());
  to.Engine.Step = {engine.step()};
  to.Engine.Current = {engine.current()};
  to.Engine.IsHoldOnly = engine.is_hold_only();
  if (message.has_taken()) {
    AppliedDecision taken;
    taken.Map = {message.taken_map()};
    BOOST_LEAF_ASSIGN(taken.Outcome, decisionOf(message.taken_outcome()));
    to.LastDecision = taken;
  }
  to.HighestPrepared = {message.highest_prepared()};
  out.Epoch = message.epoch();
  return out;
}

std::uint64_t writeAskTime(Clock::time_point now) {
  auto time = std::chrono::duration_cast<milliseconds>(now.time_since_epoch());
  return static_cast<std::uint64_t>(time.count());
}

std::optional<LoadReport> readLoadReport(const wire::RankState &state,
                                         Clock::time_point now) {
  std::uint64_t nowMs = writeAskTime(now);
  std::uint64_t maxAgeMs = MaxReportedLoadAge.count();
  std::uint64_t askedMs = state.asked_at_ms();
  bool isAnswer = askedMs > 0 && askedMs <= nowMs;
  if (!isAnswer || !state.has_age_ms() || state.age_ms() > maxAgeMs ||
      nowMs - askedMs + state.age_ms() > maxAgeMs)
    return std::nullopt;
  auto callsOf = [](std::uint32_t n) {
    return static_cast<int>(std::min<std::uint32_t>(n, MaxReportedCalls));
  };
  LoadReport report;
  report.Running = callsOf(state.running());
  report.Waiting = callsOf(state.waiting());
  report.AsOf = now - milliseconds(nowMs - askedMs + state.age_ms());
  report.Step = state.step();
  if (state.pace() > 1)
    report.Pace = std::min(state.pace(), MaxReportedPace);
  return report;
}

} // namespace greengagespar
