/// \file
/// Estimates how long a started call takes, from recent calls with similar
/// deadlines. The lengths of answers are unknown beforehand, but callers that
/// expect long answers set long deadlines. Not thread safe.
#ifndef GREENGAGESPAR_ROUTE_SERVICE_TIME_H
#define GREENGAGESPAR_ROUTE_SERVICE_TIME_H

#include "greengagespar/base/clock.h"
#include <array>
#include <chrono>
#include <cstddef>

namespace greengagespar {

/// The newest samples of one class of calls, in milliseconds, or in tokens for
/// LengthScale.
struct SampleWindow {
  static constexpr std::size_t Capacity = 128;
  std::array<float, Capacity> Samples{};
  std::size_t Count = 0; ///< Samples in the window, at most Capacity.
  std::size_t Next = 0;  ///< Index at which the next sample is written.
};

/// Adds \p ms to \p window. It replaces the oldest sample when the window is
/// full.
void addSample(SampleWindow &window, double ms);

/// Returns the \p quantile (0 to 1) of \p window; zero when it is empty.
double quantileOf(const SampleWindow &window, double quantile);

/// Service times of one group or service on this entry.
struct ServiceTimes {
  static constexpr std::size_t DeadlineClasses = 10;
  double MeanMs = 0; ///< Decayed mean of all calls; zero without samples.
  int Samples = 0;   ///< Samples in the mean, capped.
  /// Samples by deadline class.
  std::array<SampleWindow, DeadlineClasses> ByDeadline;
};

/// Returns the class of calls with \p allowed time until their deadline. Each
/// class covers deadlines up to twice as long as the class before it.
std::size_t deadlineClass(Clock::duration allowed);

/// Records that a call with \p allowed time until its deadline occupied a slot
/// for \p took.
void recordServiceTime(ServiceTimes &times, Clock::duration allowed,
                       Clock::duration took);

/// Returns the \p quantile (0 to 1) of the service time of calls with \p
/// allowed time until their deadline. The result is at most half of \p allowed:
/// otherwise a class whose recent calls took until their deadline would accept
/// no more calls. It is zero without samples.
Clock::duration expectedService(const ServiceTimes &times,
                                Clock::duration allowed, double quantile);

/// Adds \p sample to a decayed mean in which a new sample has the weight
/// \p weight. While there are few samples, \p mean is their plain mean.
/// \p samples is incremented up to a cap.
void updateDecayedMean(double &mean, int &samples, double sample,
                       double weight);

} // namespace greengagespar

#endif // GREENGAGESPAR_ROUTE_SERVICE_TIME_H
