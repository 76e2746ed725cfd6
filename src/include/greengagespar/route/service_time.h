/// \file
/// Estimates of how long a started call takes, from recent calls of like
/// deadlines: lengths of answers are unknown beforehand, but callers that wait
/// for long answers set long deadlines. Not thread safe.
#ifndef GREENGAGESPAR_ROUTE_SERVICE_TIME_H
#define GREENGAGESPAR_ROUTE_SERVICE_TIME_H

#include "greengagespar/base/clock.h"
#include <array>
#include <chrono>
#include <cstddef>

namespace greengagespar {

/// The newest samples of one class of calls, in milliseconds.
struct SampleWindow {
  static constexpr std::size_t Capacity = 128;
  std::array<float, Capacity> Samples{};
  std::size_t Count = 0; ///< Samples held, at most Capacity.
  std::size_t Next = 0;  ///< Where the next sample goes.
};

/// Adds \p ms to \p window in place of its oldest sample.
void addSample(SampleWindow &window, double ms);

/// Returns the \p quantile (0 to 1) of \p window; zero when it is empty.
double quantileOf(const SampleWindow &window, double quantile);

/// Service times of one group or service on this entry.
struct ServiceTimes {
  static constexpr std::size_t DeadlineClasses = 10;
  double MeanMs = 0; ///< Decayed mean over all calls.
  int Samples = 0;   ///< Samples in the mean, capped.
  std::array<SampleWindow, DeadlineClasses> ByDeadline;
};

/// Returns the class of calls whose deadline leaves \p allowed: each class
/// covers deadlines up to twice those of the one before.
std::size_t deadlineClass(Clock::duration allowed);

/// Notes that a call with \p allowed time occupied a slot for \p took.
void noteServiceTime(ServiceTimes &times, Clock::duration allowed,
                     Clock::duration took);

/// Returns the \p quantile of the service time of calls with \p allowed time.
/// Never more than half of \p allowed, so that a class whose calls expired is
/// still tried; zero without samples.
Clock::duration expectedService(const ServiceTimes &times,
                                Clock::duration allowed, double quantile);

/// Decayed mean that follows the plain mean while there are few samples.
/// \p samples is counted up to a cap.
void noteDecayedMean(double &mean, int &samples, double sample, double weight);

} // namespace greengagespar

#endif // GREENGAGESPAR_ROUTE_SERVICE_TIME_H
