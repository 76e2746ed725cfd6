/// \file
/// A one-shot timer on the event loop.
#ifndef GREENGAGESPAR_BASE_TIMER_H
#define GREENGAGESPAR_BASE_TIMER_H

#include "greengagespar/base/clock.h"
#include <chrono>
#include <functional>
#include <memory>

struct event;
struct event_base;

namespace greengagespar {

namespace detail {
/// Frees a libevent event.
struct EventDeleter {
  void operator()(event *it) const;
};
} // namespace detail

/// Calls a function once after a delay. The destructor stops the timer. Not
/// thread safe: it belongs to the thread of its loop.
///
/// A timer that ends late, because the process stood still, lets the loop first
/// handle the input that arrived meanwhile. A task that finds out whether
/// something has arrived in time therefore sees it.
class Timer {
public:
  /// Precondition: \p loop outlives the timer.
  Timer(event_base *loop, std::function<void()> task);
  Timer(const Timer &) = delete;
  Timer &operator=(const Timer &) = delete;

  /// Runs the task \p delay from now. Replaces an earlier start.
  void start(std::chrono::milliseconds delay);
  /// Cancels an earlier start.
  void stop();

private:
  static void onExpiry(int, short, void *self);
  void addEvent(std::chrono::milliseconds delay);

  std::function<void()> Task;
  Clock::time_point EndsAt{}; ///< When the task is due.
  int TurnsLeft = 0;          ///< Turns that a late timer still lets pass.
  std::unique_ptr<event, detail::EventDeleter> Event;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_BASE_TIMER_H
