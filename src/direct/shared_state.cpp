#include "greengagespar/direct/shared_state.h"

#include "greengagespar/base/hash.h"
#include "greengagespar/base/log.h"
#include "greengagespar/base/log_output.h"
#include "greengagespar/direct/digest_messages.h"
#include <algorithm>

namespace greengagespar {

namespace {

// Time for which a silent entry keeps its parts of rate limits: that of a
// freeze or a cut that ends again.
constexpr std::chrono::milliseconds ShareHoldTime{8000};

void logOrder(const OrderChange &change) {
  const DataCentreOrder &it = change.Order;
  LogLine line(it.IsOut ? "data_centre_out" : "data_centre_back");
  line.add("data_centre", change.DataCentre.Value);
  line.add("from", it.Source == OrderSource::Store ? "store" : "peer");
  line.add("timeline", static_cast<std::int64_t>(it.At.Timeline.Value));
  line.add("revision", static_cast<std::int64_t>(it.At.Value));
  logInfo(Part::Route, line.text());
}

bool logOrders(const std::vector<OrderChange> &changes) {
  for (const OrderChange &it : changes)
    logOrder(it);
  return !changes.empty();
}

// Logs each order that the store doesn't hold any more and that stays in force
// for a time.
void logHeldOrders(const OutOfService &orders, const OrderReport &report) {
  for (const auto &[id, it] : orders.DataCentres)
    if (report.IsSnapshot && it.EndsAt)
      logWarning(Part::Route, LogLine("data_centre_order_lost")
                                  .add("data_centre", id.Value)
                                  .addMs("held_ms", orders.HoldAfterRestore)
                                  .text());
}

} // namespace

void writeShared(SharedState &state, wire::Members &digest,
                 Clock::time_point now) {
  writeEvidence(takeEvidenceRows(state.Guard.Evidence, MaxEvidenceRows, now),
                digest);
  writeLimits(takeLimitRows(state.Limits, MaxLimitRows, now), digest);
  writeNotices(noticeRows(state.Notices, MaxNoticeRows, now), digest);
  writeOrders(orderRows(state.Orders, MaxOrderRows), digest);
}

bool mergeShared(SharedState &state, const wire::Members &digest,
                 Clock::time_point now) {
  bool isNews = false;
  for (const EvidenceRow &it : readEvidence(digest))
    isNews = mergeEvidence(state.Guard.Evidence, it, now) || isNews;
  for (const LimitRow &it : readLimits(digest))
    isNews = mergeLimit(state.Limits, it, now) || isNews;
  for (const NoticeRow &it : readNotices(digest))
    isNews = mergeNotice(state.Notices, it, now) || isNews;
  for (const OrderRow &it : readOrders(digest))
    if (auto change = mergeOrder(state.Orders, it, now)) {
      logOrder(*change);
      isNews = true;
    }
  return isNews;
}

bool recordRateLimit(SharedState &state, const ServerRecord &server,
                     std::optional<double> perSecond, Incarnation self,
                     Clock::time_point now) {
  ServerIncarnationId id = incarnationIdOf(server.Id, server.StartedMs);
  ObservationId observation{
      mixBits(self.Value ^ mixBits(++state.NextObservation))};
  if (!recordStatedLimit(state.Limits, id, perSecond, observation, now))
    return false;
  LogLine line("server_limit");
  line.add("server", server.Id.Value);
  line.add("per_s", perSecond ? std::to_string(*perSecond) : "none");
  logInfo(Part::Route, line.text());
  return true;
}

bool recordServerNotice(SharedState &state, const ServerRecord &server,
                        NoticeKind kind, std::string_view requestId,
                        Clock::time_point now) {
  if (!recordNotice(state.Notices, incarnationIdOf(server.Id, server.StartedMs),
                    kind, now))
    return false;
  logInfo(Part::Route,
          LogLine("server_notice")
              .add("id", requestId)
              .add("server", server.Id.Value)
              .add("at", server.At.Value)
              .add("says", kind == NoticeKind::Gone ? "gone" : "leaving")
              .text());
  return true;
}

bool recordStoreOrders(SharedState &state, const OrderReport &report,
                       Clock::time_point now) {
  bool isChanged = logOrders(recordOrders(state.Orders, report, now));
  logHeldOrders(state.Orders, report);
  return isChanged;
}

bool endOrders(SharedState &state, Clock::time_point now) {
  return logOrders(expireOrders(state.Orders, now));
}

void logUnknownOrders(SharedState &state,
                      const std::function<bool(const DataCentreId &)> &isKnown,
                      Clock::time_point now) {
  for (const DataCentreId &it : takeUnknown(state.Orders, isKnown, now))
    logWarning(
        Part::Route,
        LogLine("data_centre_unknown").add("data_centre", it.Value).text());
}

bool isTrialEntry(const MemberView &members, PromptPartId part) {
  std::vector<Address> entries;
  for (const auto &[address, it] : members.Members)
    if (acceptsWork(it))
      entries.push_back(address);
  auto order = rendezvousOrder(std::to_string(part.Value), entries);
  return !order.empty() && order.front() == members.Self;
}

std::vector<LimitSharer> limitSharers(const MemberView &members,
                                      const ServiceId &service,
                                      double ownDemand, Clock::time_point now) {
  std::uint64_t hash = stableHash(service.Value);
  std::vector<LimitSharer> sharers{{members.Self, ownDemand}};
  for (const auto &[address, it] : members.Members) {
    bool isSharer = it.State != MemberState::Leaving &&
                    now - it.LastReceivedAt <= ShareHoldTime;
    if (address == members.Self || !isSharer)
      continue;
    LimitSharer &sharer = sharers.emplace_back(LimitSharer{address, {}});
    auto demand =
        std::ranges::find(it.Row.Demands, hash, &ServiceDemand::Service);
    if (demand != it.Row.Demands.end())
      sharer.Demand = demand->PerSecond;
  }
  return sharers;
}

double extraRetryPart(const MemberView &members, const SharedRetries &shared,
                      Clock::time_point now) {
  std::size_t known = members.Members.size();
  bool isAlone = known <= 1 && shared.HasPeers;
  if (isAlone || known == 0 || now - shared.StartedAt < shared.Window)
    return 0;
  auto holders = std::ranges::count_if(members.Members, [&](const auto &it) {
    const Member &member = it.second;
    return !member.Row.Leaving || now - member.LastReceivedAt <= shared.Window;
  });
  return shared.Extra /
         static_cast<double>(std::max<std::ptrdiff_t>(1, holders));
}

ServiceDemand demandRow(const ServiceId &service, double perSecond) {
  return {stableHash(service.Value), perSecond};
}

void recordMetrics(const SharedState &state, Metrics &counters,
                   Clock::time_point now) {
  setGauge(counters, {"greengagespar_parts_with_crashes"},
           static_cast<double>(state.Guard.Evidence.Parts.size()));
  setGauge(counters, {"greengagespar_parts_blocked"},
           static_cast<double>(blockedParts(state.Guard.Evidence, now)));
  setGauge(counters, {"greengagespar_server_notices"},
           static_cast<double>(state.Notices.Servers.size()));
  setGauge(counters, {"greengagespar_data_centres_out"},
           static_cast<double>(countOutOfService(state.Orders)));
  auto limited = std::ranges::count_if(state.Limits.Servers, [](auto &it) {
    return it.second.PerSecond.has_value();
  });
  setGauge(counters, {"greengagespar_limited_servers"},
           static_cast<double>(limited));
}

} // namespace greengagespar
