/// \file
/// The event loop of a process and its signal handlers.
#ifndef GREENGAGESPAR_BASE_EVENT_LOOP_H
#define GREENGAGESPAR_BASE_EVENT_LOOP_H

#include <functional>

struct event;
struct event_base;

namespace greengagespar {

/// Owns a libevent loop. Not thread safe: create and run it on one thread, and
/// only once in a process.
class EventLoop {
public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;

  /// Returns the libevent base that all work of the process runs on.
  event_base *base() const { return Base; }

  /// Calls \p leave on SIGTERM and on SIGINT.
  void onTermination(std::function<void()> leave);

  /// Calls \p reload on SIGHUP, which the process ignores otherwise.
  void onReload(std::function<void()> reload);

  /// Dispatches events until the loop is stopped.
  void run();

private:
  static void onSignal(int, short, void *self);
  static void onHangUp(int, short, void *self);

  event_base *Base;
  event *Terminate = nullptr;
  event *Interrupt = nullptr;
  event *HangUp = nullptr;
  std::function<void()> Leave;
  std::function<void()> Reload;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_BASE_EVENT_LOOP_H
