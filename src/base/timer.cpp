#include "greengagespar/base/timer.h"

#include <event2/event.h>
#include <utility>

namespace greengagespar {

namespace {

// A timer that ends later than this shows that the process stood still.
constexpr std::chrono::milliseconds LateAfter{20};

// Turns of the loop that a late timer leaves to the input of the time in which
// the process stood still: one turn reads it, and the callbacks that libevent
// defers run at the end of that turn or of the next one.
constexpr int TurnsForInput = 2;

timeval timevalOf(std::chrono::milliseconds time) {
  constexpr int millisPerSecond = 1000;
  constexpr int microsPerMilli = 1000;
  timeval value{};
  value.tv_sec = static_cast<time_t>(time.count() / millisPerSecond);
  value.tv_usec = static_cast<suseconds_t>((time.count() % millisPerSecond) *
                                           microsPerMilli);
  return value;
}

} // namespace

void detail::EventDeleter::operator()(event *it) const { event_free(it); }

Timer::Timer(event_base *loop, std::function<void()> task)
    : Task(std::move(task)),
      Event(event_new(loop, -1, EV_TIMEOUT, onExpiry, this)) {}

void Timer::start(std::chrono::milliseconds delay) {
  EndsAt = Clock::now() + delay;
  TurnsLeft = TurnsForInput;
  addEvent(delay);
}

void Timer::stop() { event_del(Event.get()); }

void Timer::addEvent(std::chrono::milliseconds delay) {
  // libevent otherwise counts from the beginning of this turn of the loop.
  event_base_update_cache_time(event_get_base(Event.get()));
  timeval wait = timevalOf(delay);
  event_add(Event.get(), &wait);
}

void Timer::onExpiry(int, short, void *self) {
  auto &timer = *static_cast<Timer *>(self);
  if (timer.TurnsLeft > 0 && Clock::now() - timer.EndsAt > LateAfter) {
    --timer.TurnsLeft;
    return timer.addEvent(std::chrono::milliseconds{0});
  }
  timer.Task();
}

} // namespace greengagespar
