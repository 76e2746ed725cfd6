#include "greengagespar/report/burn.h"

#include <algorithm>
#include <numeric>

namespace greengagespar {

namespace {

using std::chrono::seconds;

// A source that a later incarnation has replaced is kept for this time after
// its last snapshot.
constexpr seconds ReplacedSourceGrace = std::chrono::minutes(10);
// The period of the error budget.
constexpr seconds Period = std::chrono::hours(72);

// Positions in BurnWindows.
constexpr std::size_t FiveMinutes = 0;
constexpr std::size_t HalfHour = 1;
constexpr std::size_t Hour = 2;
constexpr std::size_t SixHours = 3;
constexpr std::size_t ThreeDays = 4;

// Every objective is treated as if it allowed at least this share of bad
// events, so that the burn rate is finite for one that allows none.
constexpr double MinAllowedBadShare = 1e-6;

// An objective that allows many bad events cannot reach the workbook's rates.
// Its rules therefore apply from this share of its maximum burn rate.
constexpr double MaxAlertRateShare = 0.5;

// Fewer events than this in the long window raise no alert.
constexpr std::uint64_t MinAlertEvents = 20;

// An alert rule, which applies if the burn rate of both windows is at least
// Rate. Long and Short are positions in BurnWindows.
struct AlertRule {
  std::size_t Long;
  std::size_t Short;
  double Rate;
  BurnAlert Alert;
};

// The rates are from table 5-8 of the workbook. The most severe rules come
// first.
constexpr std::array<AlertRule, 3> Rules = {{
    {Hour, FiveMinutes, 14.4, BurnAlert::Page},
    {SixHours, HalfHour, 6.0, BurnAlert::Page},
    {ThreeDays, SixHours, 1.0, BurnAlert::Ticket},
}};

std::int64_t bucketIndex(WallTime now, seconds width) {
  return std::chrono::floor<seconds>(now).time_since_epoch() / width;
}

template <std::size_t N>
void addTo(std::array<BurnBucket, N> &buckets, std::int64_t index,
           const EventCounts &counts) {
  BurnBucket &bucket = buckets[static_cast<std::size_t>(index) % N];
  if (bucket.Index != index)
    bucket = BurnBucket{index, {}};
  add(bucket.Counts, counts);
}

template <std::size_t N>
EventCounts sumFrom(const std::array<BurnBucket, N> &buckets,
                    std::int64_t first, std::int64_t last) {
  EventCounts sum;
  for (const BurnBucket &it : buckets)
    if (it.Index >= first && it.Index <= last)
      add(sum, it.Counts);
  return sum;
}

// Returns the events in `now` that are not in `before`. Counters never decrease
// within one incarnation, so a lower value is an older snapshot and counts as
// no events.
EventCounts difference(const EventCounts &now, const EventCounts &before) {
  auto minus = [](std::uint64_t a, std::uint64_t b) {
    return a > b ? a - b : 0;
  };
  EventCounts more;
  more.Good = minus(now.Good, before.Good);
  for (std::size_t i = 0; i < BurnCauseCount; ++i)
    more.Bad[i] = minus(now.Bad[i], before.Bad[i]);
  return more;
}

bool isEmpty(const EventCounts &counts) {
  return counts.Good == 0 && totalBad(counts) == 0;
}

// Returns whether the ledger holds a later incarnation of the same entry.
bool isReplaced(const BurnLedger &ledger, const BurnSource &source) {
  auto next = ledger.Sources.upper_bound(source);
  return next != ledger.Sources.end() && next->first.Entry == source.Entry;
}

// Returns the burn rate if every event is bad.
double maxBurnRate(double share) {
  return 1 / std::max(MinAllowedBadShare, 1 - share);
}

BurnAlert alertOf(const ObjectiveBurn &burn) {
  for (const AlertRule &it : Rules) {
    const WindowBurn &longer = burn.Windows[it.Long];
    const WindowBurn &shorter = burn.Windows[it.Short];
    if (longer.Good + longer.Bad < MinAlertEvents)
      continue;
    double rate =
        std::min(it.Rate, MaxAlertRateShare * maxBurnRate(burn.Key.Share));
    if (longer.Rate >= rate && shorter.Rate >= rate)
      return it.Alert;
  }
  return BurnAlert::None;
}

} // namespace

std::uint64_t totalBad(const EventCounts &counts) {
  return std::accumulate(counts.Bad.begin(), counts.Bad.end(),
                         std::uint64_t{0});
}

void add(EventCounts &counts, const EventCounts &more) {
  counts.Good += more.Good;
  for (std::size_t i = 0; i < BurnCauseCount; ++i)
    counts.Bad[i] += more.Bad[i];
}

void recordOutcome(BurnCounters &counters, TargetKind kind,
                   const std::string &target, const CallClassId &callClass,
                   const std::vector<Objective> &objectives,
                   const CallOutcome &outcome) {
  for (const Objective &it : objectives) {
    auto evaluation = evaluate(it, outcome);
    if (!evaluation)
      continue;
    SeriesKey key{kind,
                  target,
                  callClass,
                  *measureByName(it.Measure),
                  it.Within.count(),
                  it.Share};
    EventCounts &counts = counters.Series[key];
    if (evaluation->Good)
      ++counts.Good;
    else
      ++counts.Bad[static_cast<std::size_t>(evaluation->Cause)];
  }
}

void addEvents(BurnRing &ring, const EventCounts &counts, WallTime now) {
  addTo(ring.Fine, bucketIndex(now, BurnRing::FineWidth), counts);
  addTo(ring.Coarse, bucketIndex(now, BurnRing::CoarseWidth), counts);
}

EventCounts eventsOf(const BurnRing &ring, seconds window, WallTime now) {
  bool fine = window <= std::chrono::hours(1);
  seconds width = fine ? BurnRing::FineWidth : BurnRing::CoarseWidth;
  std::int64_t last = bucketIndex(now, width);
  std::int64_t first = last - window / width;
  return fine ? sumFrom(ring.Fine, first, last)
              : sumFrom(ring.Coarse, first, last);
}

void merge(BurnLedger &ledger, const BurnSnapshot &snapshot, WallTime now) {
  auto record = ledger.Sources.find(snapshot.Source);
  if (record == ledger.Sources.end()) {
    if (isReplaced(ledger, snapshot.Source))
      return;
    record = ledger.Sources.emplace(snapshot.Source, SourceRecord{}).first;
  }
  record->second.LastReceivedAt = std::max(record->second.LastReceivedAt, now);
  for (const auto &[key, counts] : snapshot.Counters.Series) {
    EventCounts &before = record->second.Counters.Series[key];
    EventCounts more = difference(counts, before);
    if (isEmpty(more))
      continue;
    addEvents(ledger.Rings[key], more, now);
    add(before, more);
  }
}

void prune(BurnLedger &ledger, WallTime now) {
  for (auto it = ledger.Sources.begin(); it != ledger.Sources.end();) {
    auto sinceReceived = now - it->second.LastReceivedAt;
    bool replaced =
        isReplaced(ledger, it->first) && sinceReceived > ReplacedSourceGrace;
    it = replaced || sinceReceived > Period ? ledger.Sources.erase(it)
                                            : std::next(it);
  }
  std::erase_if(ledger.Rings, [&](const auto &ring) {
    return isEmpty(eventsOf(ring.second, Period, now));
  });
}

std::string_view burnAlertName(BurnAlert alert) {
  constexpr std::array<std::string_view, 3> names = {"none", "ticket", "page"};
  return names[static_cast<std::size_t>(alert)];
}

double burnRate(const EventCounts &counts, double share) {
  auto bad = static_cast<double>(totalBad(counts));
  double total = bad + static_cast<double>(counts.Good);
  return total > 0 ? bad / total * maxBurnRate(share) : 0;
}

ObjectiveBurn burnOf(const SeriesKey &key, const BurnRing &ring, WallTime now) {
  ObjectiveBurn burn;
  burn.Key = key;
  for (std::size_t i = 0; i < BurnWindows.size(); ++i) {
    EventCounts counts = eventsOf(ring, BurnWindows[i], now);
    burn.Windows[i] = {BurnWindows[i], counts.Good, totalBad(counts),
                       burnRate(counts, key.Share)};
  }
  burn.BudgetLeft = 1 - burn.Windows[ThreeDays].Rate;
  burn.Causes = eventsOf(ring, Period, now).Bad;
  burn.Alert = alertOf(burn);
  return burn;
}

std::vector<ObjectiveBurn> burnsOf(const BurnLedger &ledger, TargetKind kind,
                                   const std::string &target, WallTime now) {
  std::vector<ObjectiveBurn> burns;
  for (const auto &[key, ring] : ledger.Rings)
    if (key.Kind == kind && key.Target == target)
      burns.push_back(burnOf(key, ring, now));
  return burns;
}

} // namespace greengagespar
