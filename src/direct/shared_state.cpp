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

} // namespace

void writeShared(SharedState &state, wire::Members &digest,
                 Clock::time_point now) {
  writeEvidence(evidenceRows(state.Guard.Evidence, now, MaxEvidenceRows),
                digest);
  writeLimits(takeLimitRows(state.Limits, MaxLimitRows, now), digest);
  writeNotices(noticeRows(state.Notices, MaxNoticeRows, now), digest);
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
  auto limited = std::ranges::count_if(state.Limits.Servers, [](auto &it) {
    return it.second.PerSecond.has_value();
  });
  setGauge(counters, {"greengagespar_limited_servers"},
           static_cast<double>(limited));
}

} // namespace greengagespar
