/// \file
/// Exponential backoff with full jitter, so that many processes which lost
/// the platform at one moment do not return to it at one moment.
#ifndef GREENGAGESPAR_STORE_BACKOFF_H
#define GREENGAGESPAR_STORE_BACKOFF_H

#include <chrono>
#include <random>

namespace greengagespar {

/// Bounds of the delay between tries.
struct BackoffOptions {
  std::chrono::milliseconds Base{200};  ///< Bound of the first delay.
  std::chrono::milliseconds Cap{20000}; ///< No delay is longer.
};

/// Counts failures in a row.
struct Backoff {
  BackoffOptions Options;
  int Failures = 0;
};

/// Notes a failure and returns how long to wait before the next try: uniform
/// between 0 and min(Cap, Base * 2^failures). Thread safe on separate objects.
std::chrono::milliseconds nextDelay(Backoff &backoff, std::mt19937_64 &rng);

/// Notes a success: the next delay begins from the base again.
inline void reset(Backoff &backoff) { backoff.Failures = 0; }

} // namespace greengagespar

#endif // GREENGAGESPAR_STORE_BACKOFF_H
