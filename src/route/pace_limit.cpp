#include "greengagespar/route/pace_limit.h"

#include <algorithm>
#include <limits>

namespace greengagespar {

void setMost(PaceLimit &limit, double most) {
  bool wasFull = limit.Value >= limit.Most;
  limit.Most = most;
  limit.Value = wasFull ? most : std::min(limit.Value, most);
}

void notePause(PaceLimit &limit, Clock::duration pause,
               std::chrono::milliseconds longest, int inFlight,
               Clock::time_point now) {
  if (longest <= std::chrono::milliseconds::zero())
    return;
  double ms = std::chrono::duration<double, std::milli>(pause).count();
  auto most = static_cast<double>(longest.count());
  // A stall of the group says nothing about how full it is.
  ms = std::min(ms, 2 * most);
  limit.LongestPause = longest;
  if (limit.MeanPauseMs == 0)
    limit.MeanPauseMs = ms;
  limit.MeanPauseMs += limit.Options.Weight * (ms - limit.MeanPauseMs);
  if (now - limit.ChangedAt < limit.Options.Every)
    return;
  limit.ChangedAt = now;
  double floor = std::min(limit.Options.Least, limit.Most);
  if (limit.MeanPauseMs > limit.Options.BusyShare * most)
    // Streams above the limit still run; what is in flight made the pause.
    limit.Value = std::max(floor, limit.Options.Decrease *
                                      std::min<double>(limit.Value, inFlight));
  else if (inFlight + 1 >= static_cast<int>(limit.Value))
    limit.Value = std::min(limit.Most, limit.Value + limit.Options.Increase);
}

int allowedStreams(const PaceLimit &limit) {
  if (limit.Most <= 0)
    return std::numeric_limits<int>::max();
  return std::max(1, static_cast<int>(limit.Value));
}

} // namespace greengagespar
