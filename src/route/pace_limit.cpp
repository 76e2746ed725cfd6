#include "greengagespar/route/pace_limit.h"

#include <algorithm>
#include <limits>

namespace greengagespar {

void setMaxStreams(PaceLimit &limit, double maxStreams) {
  bool wasFull = limit.Value >= limit.MaxStreams;
  limit.MaxStreams = maxStreams;
  limit.Value = wasFull ? maxStreams : std::min(limit.Value, maxStreams);
}

void recordPause(PaceLimit &limit, Clock::duration pause,
                 std::chrono::milliseconds longest, int inFlight,
                 Clock::time_point now) {
  if (longest <= std::chrono::milliseconds::zero())
    return;
  double ms = std::chrono::duration<double, std::milli>(pause).count();
  auto longestMs = static_cast<double>(longest.count());
  // Cap the pause: a stall of the group says nothing about its load.
  ms = std::min(ms, 2 * longestMs);
  limit.LongestPause = longest;
  if (limit.MeanPauseMs == 0)
    limit.MeanPauseMs = ms;
  limit.MeanPauseMs += limit.Options.Weight * (ms - limit.MeanPauseMs);
  if (now - limit.ChangedAt < limit.Options.MinChangeInterval)
    return;
  limit.ChangedAt = now;
  double floor = std::min(limit.Options.MinStreams, limit.MaxStreams);
  if (limit.MeanPauseMs > limit.Options.BusyShare * longestMs)
    // Streams above the limit may still run. The streams in flight caused the
    // pause, so the decrease starts from their number if it is lower.
    limit.Value = std::max(floor, limit.Options.DecreaseFactor *
                                      std::min<double>(limit.Value, inFlight));
  else if (inFlight + 1 >= static_cast<int>(limit.Value))
    limit.Value =
        std::min(limit.MaxStreams, limit.Value + limit.Options.IncreaseStep);
}

int allowedStreams(const PaceLimit &limit) {
  if (limit.MaxStreams <= 0)
    return std::numeric_limits<int>::max();
  return std::max(1, static_cast<int>(limit.Value));
}

} // namespace greengagespar
