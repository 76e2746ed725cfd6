#include "greengagespar/route/even_load.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace greengagespar {

namespace {

using Seconds = std::chrono::duration<double>;

// Reports are renewed in turn, so that their mean age is half of the time until
// a report is replaced.
constexpr double LifetimePerMeanAge = 2;

// A load report that is not too old.
struct KnownLoad {
  double Calls;
  Seconds Age;
};

std::optional<KnownLoad> knownLoad(const EndpointView &view,
                                   const EvenLoadOptions &options,
                                   Clock::time_point now) {
  if (!view.Report || now - view.Report->AsOf >= options.MaxReportAge)
    return std::nullopt;
  return KnownLoad{
      static_cast<double>(view.Report->Running + view.Report->Waiting),
      std::max(Seconds(0), Seconds(now - view.Report->AsOf))};
}

int callsSentSince(const EndpointView &view, Clock::time_point time) {
  return static_cast<int>(std::ranges::count_if(
      view.RecentSends, [&](Clock::time_point it) { return it > time; }));
}

// Returns the calls that all entries send in the lifetime of a report, by
// Little's law, and at least one for each entry, as all may choose now.
double unseenArrivals(const std::vector<EndpointView> &views,
                      const EvenLoadOptions &options, Clock::time_point now) {
  double calls = 0;
  double ages = 0;
  double n = 0;
  for (const EndpointView &it : views)
    if (auto known = knownLoad(it, options, now)) {
      calls += known->Calls;
      ages += known->Age.count();
      ++n;
    }
  double meanCall = std::max(Seconds(options.MeanCall).count(), 0.001);
  double arrivals =
      n > 0 ? LifetimePerMeanAge * calls / meanCall * ages / n : 0;
  return std::max({1.0, static_cast<double>(options.Entries), arrivals});
}

} // namespace

std::vector<ExpectedLoad> expectedLoads(const std::vector<EndpointView> &views,
                                        const EvenLoadOptions &options,
                                        Clock::time_point now) {
  double sum = 0;
  double n = 0;
  for (const EndpointView &it : views)
    if (auto known = knownLoad(it, options, now)) {
      sum += known->Calls;
      ++n;
    }
  double mean = n > 0 ? sum / n : 0;
  std::vector<ExpectedLoad> loads;
  loads.reserve(views.size());
  for (const EndpointView &it : views) {
    auto known = knownLoad(it, options, now);
    if (!known) {
      auto since = now - options.MaxReportAge;
      loads.push_back({mean + callsSentSince(it, since), 1, false});
      continue;
    }
    double left =
        std::exp(-known->Age / std::max<Seconds>(options.MeanCall,
                                                 std::chrono::milliseconds(1)));
    loads.push_back({mean + left * (known->Calls - mean) +
                         callsSentSince(it, it.Report->AsOf),
                     std::max(1.0, it.Report->Pace), true});
  }
  return loads;
}

std::vector<double> evenChances(const std::vector<ExpectedLoad> &loads,
                                const std::vector<std::size_t> &from,
                                double arrivals,
                                const EvenLoadOptions &options) {
  // The time of a server's work with n calls is in proportion to
  // Pace * (IdleCalls + n). The level is the time that those servers reach
  // which are below it, the first in the order of their times.
  auto workOf = [&](std::size_t i) {
    return loads[i].Pace * (options.IdleCalls + loads[i].Calls);
  };
  std::vector<std::size_t> order = from;
  std::ranges::sort(order, {}, workOf);
  double calls = arrivals;
  double perLevel = 0;
  double level = 0;
  for (std::size_t it : order) {
    if (perLevel > 0 && workOf(it) >= level)
      break;
    calls += options.IdleCalls + loads[it].Calls;
    perLevel += 1 / loads[it].Pace;
    level = calls / perLevel;
  }
  std::vector<double> chances;
  chances.reserve(from.size());
  for (std::size_t it : from)
    chances.push_back(std::max(0.0, level / loads[it].Pace - options.IdleCalls -
                                        loads[it].Calls));
  return chances;
}

std::size_t drawEvenly(const std::vector<EndpointView> &views,
                       const std::vector<std::size_t> &from,
                       const EvenLoadOptions &options, Clock::time_point now,
                       std::mt19937_64 &rng) {
  std::vector<double> chances =
      evenChances(expectedLoads(views, options, now), from,
                  unseenArrivals(views, options, now), options);
  std::discrete_distribution<std::size_t> draw(chances.begin(), chances.end());
  return from[draw(rng)];
}

LoadEvenness evennessOf(const std::vector<EndpointView> &views,
                        const EvenLoadOptions &options, Clock::time_point now) {
  LoadEvenness all;
  double sum = 0;
  double largest = 0;
  double ages = 0;
  int waiting = 0;
  int free = 0;
  for (const EndpointView &it : views) {
    auto known = knownLoad(it, options, now);
    if (!known || !takesCalls(it))
      continue;
    ++all.Reported;
    sum += known->Calls;
    largest = std::max(largest, known->Calls);
    ages += known->Age.count();
    waiting += it.Report->Waiting;
    free += std::max(0, it.Report->Slots - it.Report->Running);
  }
  if (all.Reported > 0)
    all.MeanAgeMs = 1000 * ages / all.Reported;
  if (sum > 0)
    all.LargestOverMean = largest * all.Reported / sum;
  all.WaitingBesideFree = std::min(waiting, free);
  return all;
}

} // namespace greengagespar
