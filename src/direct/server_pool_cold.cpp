// What a ServerPool knows about its cold servers.
#include "greengagespar/base/log.h"
#include "greengagespar/base/log_output.h"
#include "greengagespar/direct/server_pool.h"
#include <algorithm>

namespace greengagespar {

namespace {

// An entry that has stood still for so long may have missed that servers became
// cold. Its timers run several times a second.
constexpr std::chrono::milliseconds StandstillTime{2000};

} // namespace

ColdStartRule ServerPool::coldRule() const {
  return {Declared.ColdTime, Declared.ColdPerSecond, ColdOverage, ColdSlack};
}

void ServerPool::setColdBound(double overage, double slack) {
  ColdOverage = overage;
  ColdSlack = slack;
}

// Applies what the changed record of a server says about its cold time.
// `hasReturned`: it takes work again after it took none.
void ServerPool::applyColdRecord(KeptConnections &kept, bool isNewServer,
                                 bool hasReturned) {
  auto now = Clock::now();
  if (isNewServer)
    kept.Cold = {};
  if (kept.Record.ColdRemaining)
    greengagespar::recordCold(kept.Cold, *kept.Record.ColdRemaining, now);
  bool isUnstated = isNewServer && !kept.Record.ColdRemaining;
  if (isUnstated || hasReturned)
    suspectCold(kept.Cold, coldRule(), now);
}

// Records that a server takes work again whose registration may not have
// changed: it may have become cold while it got none.
void ServerPool::recordReturn(EndpointView &view, KeptConnections &kept) {
  suspectCold(kept.Cold, coldRule(), Clock::now());
  withholdPart(view, kept);
}

// Keeps calls that wait from all starting at a server that is cold before
// shareLimits() sets this entry's part of it.
void ServerPool::withholdPart(EndpointView &view, const KeptConnections &kept) {
  auto now = Clock::now();
  if (view.Rate || !isBounded(coldRule()) || !isLimited(kept.Cold, now))
    return;
  view.Rate = RateShare{0, 0, now};
  HasRates = true;
}

bool ServerPool::recordCold(const ServerRecord &server,
                            std::chrono::milliseconds remaining) {
  auto it = Servers.find(server.Id);
  if (it == Servers.end() || it->second.Record.StartedMs != server.StartedMs)
    return false;
  auto now = Clock::now();
  bool wasCold = isCold(it->second.Cold, now);
  greengagespar::recordCold(it->second.Cold, remaining, now);
  return !wasCold && isCold(it->second.Cold, now);
}

void ServerPool::recordToldCold(const std::vector<ColdRow> &rows,
                                Clock::time_point now) {
  if (rows.empty() || !isBounded(coldRule()))
    return;
  for (auto &[id, kept] : Servers)
    for (const ColdRow &row : rows)
      if (row.Server == kept.Incarnation)
        greengagespar::recordToldCold(kept.Cold, row.Remaining, now);
}

void ServerPool::addColdRows(std::vector<ColdRow> &rows,
                             Clock::time_point now) const {
  if (!isBounded(coldRule()))
    return;
  for (const auto &[id, kept] : Servers)
    if (kept.Cold.OwnUntil && *kept.Cold.OwnUntil > now)
      rows.push_back({kept.Incarnation,
                      std::chrono::duration_cast<std::chrono::milliseconds>(
                          *kept.Cold.OwnUntil - now)});
}

bool ServerPool::hasCold(Clock::time_point now) const {
  return isBounded(coldRule()) &&
         std::ranges::any_of(Servers, [&](const auto &it) {
           return isLimited(it.second.Cold, now);
         });
}

// After the process has stood still, all servers may have become cold
// unnoticed. What arrived meanwhile is sent at once, before the next tick, so
// the parts are empty until then.
void ServerPool::noticeStandstill(Clock::time_point now) {
  auto stoodStill = now - std::exchange(AwakeAt, now);
  if (stoodStill < StandstillTime || !isBounded(coldRule()))
    return;
  for (auto &[id, kept] : Servers)
    suspectCold(kept.Cold, coldRule(), now);
  for (EndpointView &it : Views)
    it.Rate = RateShare{0, 0, now};
  HasRates = true;
  logInfo(Part::Route, LogLine("servers_maybe_cold")
                           .add("service", Service.Value)
                           .addMs("stood_still_ms", stoodStill)
                           .text());
}

// Logs that the server has become cold or is fully used again.
void ServerPool::reportCold(KeptConnections &kept,
                            Clock::time_point now) const {
  bool isKnownCold = kept.Cold.OwnUntil && now < *kept.Cold.OwnUntil;
  if (!isBounded(coldRule()) || kept.Cold.IsReported == isKnownCold)
    return;
  if (!isKnownCold && isLimited(kept.Cold, now))
    return;
  kept.Cold.IsReported = isKnownCold;
  LogLine line(isKnownCold ? "server_cold" : "server_warm");
  line.add("server", kept.Record.Id.Value);
  line.add("service", Service.Value);
  if (isKnownCold)
    line.addMs("for_ms", *kept.Cold.OwnUntil - now);
  logInfo(Part::Route, line.text());
}

void ServerPool::recordColdMetrics(Metrics &counters) const {
  if (!isBounded(coldRule()))
    return;
  auto now = Clock::now();
  auto set = [&](const char *name, double value) {
    setGauge(counters, {name, {{"service", Service.Value}}}, value);
  };
  auto count = [&](bool (*is)(const ColdState &, Clock::time_point)) {
    return static_cast<double>(std::ranges::count_if(
        Servers, [&](const auto &it) { return is(it.second.Cold, now); }));
  };
  set("greengagespar_cold_servers", count(isCold));
  set("greengagespar_cold_limited_servers", count(isLimited));
  set("greengagespar_cold_refused", static_cast<double>(RefusedBesideCold));
}

} // namespace greengagespar
