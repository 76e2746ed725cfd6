/// \file
/// Time: the clock that all decisions use, deadlines, and incarnations.
#ifndef GREENGAGESPAR_BASE_CLOCK_H
#define GREENGAGESPAR_BASE_CLOCK_H

#include "greengagespar/base/ids.h"
#include <chrono>

namespace greengagespar {

/// The clock of every decision: never set back and unrelated to other hosts.
using Clock = std::chrono::steady_clock;

/// The moment after which an answer is of no use. Between processes only the
/// time left is sent, so that clocks need not agree.
struct Deadline {
  Clock::time_point At;
  auto operator<=>(const Deadline &) const = default;
};

/// Returns the deadline \p left after \p now. Thread safe.
inline Deadline deadlineAfter(Clock::duration left, Clock::time_point now) {
  return {now + left};
}

/// Returns the time left at \p now in whole milliseconds, rounded down and
/// zero once the deadline has passed. Thread safe.
inline std::chrono::milliseconds timeLeft(Deadline deadline,
                                          Clock::time_point now) {
  if (deadline.At <= now)
    return std::chrono::milliseconds::zero();
  return std::chrono::duration_cast<std::chrono::milliseconds>(deadline.At -
                                                               now);
}

/// Whether \p deadline has passed at \p now. Thread safe.
inline bool hasPassed(Deadline deadline, Clock::time_point now) {
  return deadline.At <= now;
}

/// Returns a new incarnation: the wall-clock time in microseconds since the
/// epoch, and higher than any that this process returned before. Thread safe.
Incarnation newIncarnation();

} // namespace greengagespar

#endif // GREENGAGESPAR_BASE_CLOCK_H
