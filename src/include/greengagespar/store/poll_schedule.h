/// \file
/// How processes that watch the same objects spread the ends of their long
/// polls over time. Nothing shows on a connection whether the store still
/// serves a waiting poll, or has lost it in a short outage: only the end of its
/// wait does. A change releases the polls of all processes at once, so without
/// a schedule they would all wait for the same time again, and one outage would
/// leave every process without news until then. Pure functions; thread safe.
#ifndef GREENGAGESPAR_STORE_POLL_SCHEDULE_H
#define GREENGAGESPAR_STORE_POLL_SCHEDULE_H

#include <chrono>
#include <cstddef>

namespace greengagespar {

/// The place of a process among those that watch the same objects. Processes
/// whose views differ may share a place; their polls then end together.
struct PollSlot {
  std::size_t Position = 0; ///< Below Count, else the slot is the last one.
  std::size_t Count = 1;    ///< Number of processes that watch.
};

/// Times of the polls of all processes that watch the same objects.
struct PollSpread {
  /// Longest wait of one poll.
  std::chrono::milliseconds Wait{2000};
  /// Time between the ends of two processes' polls. Zero: every process waits
  /// as long as it may, and Wait is divided evenly among them.
  std::chrono::milliseconds Gap{0};
};

/// Returns the time between the ends of two polls of one process: Gap for each
/// process that watches, at most Wait.
std::chrono::milliseconds pollCycle(const PollSpread &spread,
                                    const PollSlot &slot);

/// Returns how long the first poll after a change or a failure waits, so that
/// the polls of all processes end one after the other over a cycle. Later ones
/// wait for a whole cycle.
std::chrono::milliseconds firstPollWait(const PollSpread &spread,
                                        const PollSlot &slot);

} // namespace greengagespar

#endif // GREENGAGESPAR_STORE_POLL_SCHEDULE_H
