#include "greengagespar/route/retry_spread.h"

#include <algorithm>

namespace greengagespar {

std::chrono::milliseconds nextRetry(RetrySpread &spread, Urgency urgency,
                                    const RetryWindow &window,
                                    Clock::time_point now) {
  auto level = static_cast<std::size_t>(urgencyAt(urgency.Level).Level);
  Clock::time_point first = now + window.Earliest;
  Clock::time_point at = first;
  for (std::size_t i = 0; i <= level; ++i)
    at = std::max(at, spread.NextAt[i]);
  if (at > now + window.Latest)
    at = first;
  std::chrono::duration<double> gap(1 / window.PerSecond);
  spread.NextAt[level] = at + std::chrono::duration_cast<Clock::duration>(gap);
  return std::chrono::ceil<std::chrono::milliseconds>(at - now);
}

} // namespace greengagespar
