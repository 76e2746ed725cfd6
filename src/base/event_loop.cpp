#include "greengagespar/base/event_loop.h"

#include <csignal>
#include <event2/event.h>
#include <utility>

namespace greengagespar {

EventLoop::EventLoop() : Base(event_base_new()) {
  // A peer that closes its connection must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGHUP, SIG_IGN);
}

EventLoop::~EventLoop() {
  if (Terminate)
    event_free(Terminate);
  if (Interrupt)
    event_free(Interrupt);
  if (HangUp)
    event_free(HangUp);
  event_base_free(Base);
}

void EventLoop::onTermination(std::function<void()> leave) {
  Leave = std::move(leave);
  Terminate = evsignal_new(Base, SIGTERM, onSignal, this);
  Interrupt = evsignal_new(Base, SIGINT, onSignal, this);
  event_add(Terminate, nullptr);
  event_add(Interrupt, nullptr);
}

void EventLoop::onReload(std::function<void()> reload) {
  Reload = std::move(reload);
  HangUp = evsignal_new(Base, SIGHUP, onHangUp, this);
  event_add(HangUp, nullptr);
}

void EventLoop::run() { event_base_dispatch(Base); }

void EventLoop::onSignal(int, short, void *self) {
  static_cast<EventLoop *>(self)->Leave();
}

void EventLoop::onHangUp(int, short, void *self) {
  static_cast<EventLoop *>(self)->Reload();
}

} // namespace greengagespar
