#include "greengagespar/route/urgency.h"

#include <algorithm>

namespace greengagespar {

namespace {

// Factor by which older calls lose weight with each arrival.
constexpr double ArrivalKeep = 1 - 1.0 / 256;

// A level counts as owed only if about this many of its calls have arrived.
// Otherwise one call of a rare kind would be taken for a level that starves.
constexpr double MinArrivals = 2;

// Factor between the shares that a level and the next less urgent one are owed,
// so that the less urgent one is not served more often.
constexpr double LessUrgentFactor = 0.95;

UrgencyCounts totalOf(const UrgencyShares &shares) {
  UrgencyCounts total;
  for (const UrgencyCounts &it : shares.Levels) {
    total.Arrived += it.Arrived;
    total.Started += it.Started;
  }
  return total;
}

UrgencyCounts &countsOf(UrgencyShares &shares, Urgency urgency) {
  return shares
      .Levels[static_cast<std::size_t>(urgencyAt(urgency.Level).Level)];
}

} // namespace

Urgency urgencyAt(int level) {
  return {std::clamp(level, 0, UrgencyLevels - 1)};
}

void recordArrival(UrgencyShares &shares, Urgency urgency) {
  for (UrgencyCounts &it : shares.Levels) {
    it.Arrived *= ArrivalKeep;
    it.Started *= ArrivalKeep;
  }
  countsOf(shares, urgency).Arrived += 1;
}

void recordStart(UrgencyShares &shares, Urgency urgency) {
  countsOf(shares, urgency).Started += 1;
}

double startedShare(const UrgencyShares &shares) {
  UrgencyCounts total = totalOf(shares);
  return total.Arrived > 0 ? std::min(1.0, total.Started / total.Arrived) : 1;
}

std::optional<Urgency> owedUrgency(const UrgencyShares &shares) {
  double bound = shares.OwedShare * startedShare(shares);
  double lowest = 1;
  std::optional<Urgency> owed;
  for (int level = 0; level < UrgencyLevels; ++level) {
    const UrgencyCounts &it = shares.Levels[static_cast<std::size_t>(level)];
    if (it.Arrived < MinArrivals)
      continue;
    double filled = it.Started / (it.Arrived * bound);
    if (filled < lowest) {
      lowest = filled;
      owed = Urgency{level};
    }
    bound *= LessUrgentFactor;
  }
  return owed;
}

double shareLeftFor(const UrgencyShares &shares, Urgency urgency) {
  UrgencyCounts total = totalOf(shares);
  if (total.Arrived <= 0 || owedUrgency(shares) == urgency)
    return 1;
  double before = 0;
  for (int level = 0; level < urgency.Level; ++level)
    before += shares.Levels[static_cast<std::size_t>(level)].Arrived;
  double started = startedShare(shares);
  if (before <= 0 || started <= 0)
    return 1;
  return std::clamp(1 - before / (started * total.Arrived), 0.0, 1.0);
}

} // namespace greengagespar
