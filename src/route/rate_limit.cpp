#include "greengagespar/route/rate_limit.h"

#include "greengagespar/base/hash.h"
#include <algorithm>
#include <cmath>

namespace greengagespar {

namespace {

using Seconds = std::chrono::duration<double>;

// Window of the decayed mean of a demand.
constexpr Seconds DemandWindow{3.0};

// The least demand that an entry reports, in calls a second, so that it holds a
// part for its first calls.
constexpr double MinReportedDemand = 0.25;

// A reported demand changes when the demand differs from it by more than this
// many powers of two; rounding alone would change it at half of one.
constexpr double ReportHysteresis = 0.75;

// The least rate at which all entries together send to a limited server:
// otherwise nobody would learn that a limit of zero has ended.
constexpr double MinPerSecond = 0.25;

// Returns the place of `entry` in the rendezvous order of `server`, lowest
// first: an exponential variable whose rate is the entry's demand, so that the
// first place falls to each entry in proportion to its demand.
double orderKey(ServerIncarnationId server, const LimitSharer &entry,
                double meanDemand) {
  constexpr double range = 18446744073709551616.0; // 2 to the 64th.
  double draw =
      (static_cast<double>(rendezvousScore(server.Value, entry.Entry.Value)) +
       1) /
      (range + 1);
  return -std::log(draw) / entry.Demand.value_or(meanDemand);
}

// Returns the mean of the known demands; 1 if none is known.
double meanDemand(const std::vector<LimitSharer> &sharers) {
  double sum = 0;
  double known = 0;
  for (const LimitSharer &it : sharers)
    if (it.Demand) {
      sum += *it.Demand;
      known += 1;
    }
  return sum > 0 ? sum / known : 1;
}

// Returns the entry for `server`, added if there is none. The limit that was
// received longest ago makes room.
StatedLimit &findOrAdd(RateLimits &limits, ServerIncarnationId server) {
  auto &servers = limits.Servers;
  if (auto it = servers.find(server); it != servers.end())
    return it->second;
  if (servers.size() >= limits.MaxServers)
    servers.erase(std::ranges::min_element(
        servers, {}, [](const auto &it) { return it.second.At; }));
  return servers[server];
}

} // namespace

bool recordStatedLimit(RateLimits &limits, ServerIncarnationId server,
                       std::optional<double> perSecond, ObservationId id,
                       Clock::time_point now) {
  bool isKnown = limits.Servers.contains(server);
  if (!isKnown && !perSecond)
    return false;
  StatedLimit &stated = findOrAdd(limits, server);
  bool isNews = !isKnown || stated.PerSecond != perSecond;
  stated.PerSecond = perSecond;
  stated.At = now;
  stated.Id = id;
  if (isNews)
    stated.Sent = 0;
  return isNews;
}

std::vector<LimitRow> takeLimitRows(RateLimits &limits, std::size_t most,
                                    Clock::time_point now) {
  std::vector<std::pair<std::uint64_t, ServerIncarnationId>> order;
  order.reserve(limits.Servers.size());
  for (const auto &[server, stated] : limits.Servers)
    order.emplace_back(stated.Sent, server);
  std::ranges::sort(order);
  order.resize(std::min(order.size(), most));
  std::vector<LimitRow> rows;
  for (const auto &[sent, server] : order) {
    StatedLimit &stated = limits.Servers.at(server);
    ++stated.Sent;
    rows.push_back(
        {server, stated.PerSecond,
         std::chrono::duration_cast<std::chrono::milliseconds>(now - stated.At),
         stated.Id});
  }
  return rows;
}

bool mergeLimit(RateLimits &limits, const LimitRow &row,
                Clock::time_point now) {
  if (row.Age > limits.KeepFor)
    return false;
  auto it = limits.Servers.find(row.Server);
  bool isKnown = it != limits.Servers.end();
  Clock::time_point at = now - row.Age;
  // A statement that returns from a peer seems a little later each time; its
  // identifier shows that it is the same.
  if (isKnown && (it->second.Id == row.Id || at <= it->second.At))
    return false;
  if (!isKnown && !row.PerSecond)
    return false;
  StatedLimit &stated = findOrAdd(limits, row.Server);
  bool isNews = !isKnown || stated.PerSecond != row.PerSecond;
  stated.PerSecond = row.PerSecond;
  stated.At = at;
  stated.Id = row.Id;
  if (isNews)
    stated.Sent = 0;
  return isNews;
}

void expireLimits(RateLimits &limits, Clock::time_point now) {
  std::erase_if(limits.Servers, [&](const auto &it) {
    return now - it.second.At > limits.KeepFor;
  });
}

std::optional<double> limitOf(const RateLimits &limits,
                              ServerIncarnationId server) {
  auto it = limits.Servers.find(server);
  return it == limits.Servers.end() ? std::nullopt : it->second.PerSecond;
}

void recordDemand(DemandRate &rate, Clock::time_point now) {
  rate.PerSecond = demandAt(rate, now) + 1 / DemandWindow.count();
  rate.UpdatedAt = now;
}

double demandAt(const DemandRate &rate, Clock::time_point now) {
  return rate.PerSecond *
         std::exp(-Seconds(now - rate.UpdatedAt) / DemandWindow);
}

double reportedDemand(DemandRate &rate, Clock::time_point now) {
  double demand = std::max(MinReportedDemand, demandAt(rate, now));
  bool isInRange =
      rate.Reported > 0 &&
      std::abs(std::log2(demand / rate.Reported)) <= ReportHysteresis;
  if (!isInRange)
    rate.Reported = std::exp2(std::round(std::log2(demand)));
  return rate.Reported;
}

double partOfLimit(double perSecond, ServerIncarnationId server,
                   const Address &self,
                   const std::vector<LimitSharer> &sharers) {
  double limit = std::max(perSecond, MinPerSecond);
  double mean = meanDemand(sharers);
  struct Holder {
    double Key;
    double Demand;
    const Address *Entry;
  };
  std::vector<Holder> order;
  order.reserve(sharers.size());
  for (const LimitSharer &it : sharers)
    order.push_back(
        {orderKey(server, it, mean), it.Demand.value_or(mean), &it.Entry});
  auto most = static_cast<std::size_t>(std::max(1.0, limit / MinHolderRate));
  std::size_t count = std::min(order.size(), most);
  auto end = order.begin() + static_cast<std::ptrdiff_t>(count);
  std::ranges::partial_sort(order, end, [](const Holder &a, const Holder &b) {
    return a.Key != b.Key ? a.Key < b.Key : *a.Entry < *b.Entry;
  });
  double sum = 0;
  double own = 0;
  for (auto it = order.begin(); it != end; ++it) {
    sum += it->Demand;
    own = *it->Entry == self ? it->Demand : own;
  }
  return own > 0 ? limit * own / sum : 0;
}

double equalPartOfLimit(const EqualParts &parts, ServerIncarnationId server,
                        const Address &self,
                        const std::vector<Address> &entries) {
  std::uint64_t own = rendezvousScore(server.Value, self.Value);
  std::size_t before = 0;
  for (const Address &it : entries) {
    std::uint64_t score = rendezvousScore(server.Value, it.Value);
    bool isBefore = score > own || (score == own && it < self);
    if (isBefore && ++before >= parts.Holders)
      return 0;
  }
  std::size_t held = std::min(parts.Holders, entries.size());
  return parts.PerSecond / static_cast<double>(std::max<std::size_t>(
                               {1, held, parts.LeastParts}));
}

double demandShare(const Address &self,
                   const std::vector<LimitSharer> &sharers) {
  double mean = meanDemand(sharers);
  double sum = 0;
  double own = mean;
  for (const LimitSharer &it : sharers) {
    double demand = it.Demand.value_or(mean);
    sum += demand;
    own = it.Entry == self ? demand : own;
  }
  return sum > 0 ? std::min(1.0, own / sum) : 1;
}

void updateRateShare(RateShare &rate, Clock::time_point now) {
  double due = rate.PerSecond * Seconds(now - rate.UpdatedAt).count();
  double most = std::max(1.0, rate.PerSecond * TokenSaveTime.count());
  rate.Tokens = std::min(most, rate.Tokens + due);
  rate.UpdatedAt = now;
}

} // namespace greengagespar
