/// \file
/// Time: the clock that all decisions use, deadlines, and incarnations.
#ifndef GREENGAGESPAR_BASE_CLOCK_H
#define GREENGAGESPAR_BASE_CLOCK_H

#include "greengagespar/base/ids.h"
#include <chrono>

namespace greengagespar {

/// The clock that all decisions use. It is monotonic, and unrelated to the
/// clocks of other hosts.
using Clock = std::chrono::steady_clock;

/// The time after which an answer is of no use. Processes send each other only
/// the remaining time, so that their clocks need not agree.
struct Deadline {
  Clock::time_point At;
  auto operator<=>(const Deadline &) const = default;
};

/// Returns the deadline that is \p remaining after \p now. Thread safe.
inline Deadline deadlineAfter(Clock::duration remaining,
                              Clock::time_point now) {
  return {now + remaining};
}

/// Returns the time that remains at \p now, in whole milliseconds, rounded
/// down; zero once the deadline has passed. Thread safe.
inline std::chrono::milliseconds timeLeft(Deadline deadline,
                                          Clock::time_point now) {
  if (deadline.At <= now)
    return std::chrono::milliseconds::zero();
  return std::chrono::duration_cast<std::chrono::milliseconds>(deadline.At -
                                                               now);
}

/// Returns whether \p deadline has passed at \p now. Thread safe.
inline bool hasPassed(Deadline deadline, Clock::time_point now) {
  return deadline.At <= now;
}

/// Returns a new incarnation: the wall-clock time in microseconds since the
/// epoch, raised if needed so that it is higher than any that this process
/// returned before. Thread safe.
Incarnation newIncarnation();

} // namespace greengagespar

#endif // GREENGAGESPAR_BASE_CLOCK_H
