/// \file
/// Exponential backoff with full jitter, so that many processes that lost the
/// platform at the same time do not all reconnect at the same time.
#ifndef GREENGAGESPAR_STORE_BACKOFF_H
#define GREENGAGESPAR_STORE_BACKOFF_H

#include <chrono>
#include <random>

namespace greengagespar {

/// Bounds of the delay between attempts.
struct BackoffOptions {
  std::chrono::milliseconds Base{200};  ///< Upper bound of the first delay.
  std::chrono::milliseconds Cap{20000}; ///< Upper bound of every delay.
};

/// Counts consecutive failures.
struct Backoff {
  BackoffOptions Options;
  int Failures = 0;
};

/// Records a failure and returns how long to wait before the next attempt: a
/// uniform random time between 0 and min(Cap, Base * 2^failures), where
/// failures counts the earlier consecutive failures. Thread safe on separate
/// objects.
std::chrono::milliseconds nextDelay(Backoff &backoff, std::mt19937_64 &rng);

/// Records a success: the bound of the next delay is Base again.
inline void reset(Backoff &backoff) { backoff.Failures = 0; }

} // namespace greengagespar

#endif // GREENGAGESPAR_STORE_BACKOFF_H
