#include "greengagespar/base/timer.h"

#include <event2/event.h>
#include <utility>

namespace greengagespar {

namespace {

void onTimer(evutil_socket_t, short, void *arg) {
  (*static_cast<std::function<void()> *>(arg))();
}

} // namespace

void detail::EventDeleter::operator()(event *it) const { event_free(it); }

Timer::Timer(event_base *loop, std::function<void()> task)
    : Task(std::move(task)),
      Event(event_new(loop, -1, EV_TIMEOUT, onTimer, &Task)) {}

void Timer::start(std::chrono::milliseconds delay) {
  constexpr int millisPerSecond = 1000;
  constexpr int microsPerMilli = 1000;
  timeval wait{};
  wait.tv_sec = static_cast<time_t>(delay.count() / millisPerSecond);
  wait.tv_usec = static_cast<suseconds_t>((delay.count() % millisPerSecond) *
                                          microsPerMilli);
  event_add(Event.get(), &wait);
}

void Timer::stop() { event_del(Event.get()); }

} // namespace greengagespar
