/// \file
/// When the callers of refused calls should come back. Callers that are all
/// told the same time return together, and are refused again. Therefore each is
/// told a later time than the one before, by the rate at which calls can start,
/// and less urgent callers come after more urgent ones. Pure functions; not
/// thread safe.
#ifndef GREENGAGESPAR_ROUTE_RETRY_SPREAD_H
#define GREENGAGESPAR_ROUTE_RETRY_SPREAD_H

#include "greengagespar/base/clock.h"
#include "greengagespar/route/urgency.h"

namespace greengagespar {

/// The times that were told to callers.
struct RetrySpread {
  /// The first time that is free, by urgency.
  std::array<Clock::time_point, UrgencyLevels> NextAt{};
};

/// When callers may return.
struct RetryWindow {
  std::chrono::milliseconds Earliest{0}; ///< From now.
  std::chrono::milliseconds Latest{0};   ///< From now; at least Earliest.
  double PerSecond = 1; ///< Callers that can be served; above 0.
};

/// Returns the time after which a refused caller of \p urgency should return,
/// within \p window. When the window is full, the times begin again at its
/// start.
std::chrono::milliseconds nextRetry(RetrySpread &spread, Urgency urgency,
                                    const RetryWindow &window,
                                    Clock::time_point now);

} // namespace greengagespar

#endif // GREENGAGESPAR_ROUTE_RETRY_SPREAD_H
