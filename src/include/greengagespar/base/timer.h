/// \file
/// A one-shot timer on the event loop.
#ifndef GREENGAGESPAR_BASE_TIMER_H
#define GREENGAGESPAR_BASE_TIMER_H

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
  std::function<void()> Task;
  std::unique_ptr<event, detail::EventDeleter> Event;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_BASE_TIMER_H
