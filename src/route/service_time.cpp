#include "greengagespar/route/service_time.h"

#include <algorithm>
#include <cmath>

namespace greengagespar {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds FirstClassLimit{250};
constexpr double MeanWeight = 0.02;
constexpr double MaxDeadlineShare = 0.5;
constexpr int SampleCap = 1000;

double toMs(Clock::duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

Clock::duration fromMs(double ms) {
  return std::chrono::duration_cast<Clock::duration>(
      std::chrono::duration<double, std::milli>(ms));
}

} // namespace

void addSample(SampleWindow &window, double ms) {
  window.Samples[window.Next] = static_cast<float>(ms);
  window.Next = (window.Next + 1) % SampleWindow::Capacity;
  window.Count = std::min(window.Count + 1, SampleWindow::Capacity);
}

double quantileOf(const SampleWindow &window, double quantile) {
  if (window.Count == 0)
    return 0;
  std::array<float, SampleWindow::Capacity> sorted = window.Samples;
  auto rank = std::lround(quantile * static_cast<double>(window.Count - 1));
  auto end = sorted.begin() + static_cast<std::ptrdiff_t>(window.Count);
  auto nth = sorted.begin() + rank;
  std::nth_element(sorted.begin(), nth, end);
  return *nth;
}

std::size_t deadlineClass(Clock::duration allowed) {
  std::size_t n = 0;
  Clock::duration upTo = FirstClassLimit;
  while (n + 1 < ServiceTimes::DeadlineClasses && allowed > upTo) {
    upTo *= 2;
    ++n;
  }
  return n;
}

void recordServiceTime(ServiceTimes &times, Clock::duration allowed,
                       Clock::duration took) {
  double ms = toMs(took);
  updateDecayedMean(times.MeanMs, times.Samples, ms, MeanWeight);
  addSample(times.ByDeadline[deadlineClass(allowed)], ms);
}

Clock::duration expectedService(const ServiceTimes &times,
                                Clock::duration allowed, double quantile) {
  double ms = quantileOf(times.ByDeadline[deadlineClass(allowed)], quantile);
  return fromMs(std::min(ms, MaxDeadlineShare * toMs(allowed)));
}

void updateDecayedMean(double &mean, int &samples, double sample,
                       double weight) {
  samples = std::min(samples + 1, SampleCap);
  mean += std::max(weight, 1.0 / samples) * (sample - mean);
}

} // namespace greengagespar
