#include "greengagespar/base/event_loop.h"
#include "greengagespar/base/timer.h"

#include <boost/test/unit_test.hpp>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace greengagespar;
using namespace std::chrono_literals;

namespace {

/// A loop with a connection whose input is read through a buffer, and whose
/// callbacks libevent defers to the end of a turn.
struct TimerFixture {
  EventLoop Loop;
  std::array<int, 2> Ends{};
  bufferevent *Stream = nullptr;
  bool HasInput = false;

  TimerFixture() {
    socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, Ends.data());
    Stream =
        bufferevent_socket_new(Loop.base(), Ends[0], BEV_OPT_DEFER_CALLBACKS);
    bufferevent_setcb(
        Stream,
        [](bufferevent *, void *self) {
          static_cast<TimerFixture *>(self)->HasInput = true;
        },
        nullptr, nullptr, this);
    bufferevent_enable(Stream, EV_READ);
  }
  ~TimerFixture() {
    bufferevent_free(Stream);
    close(Ends[0]);
    close(Ends[1]);
  }
  TimerFixture(const TimerFixture &) = delete;
  TimerFixture &operator=(const TimerFixture &) = delete;

  void sendInput() const { BOOST_REQUIRE(write(Ends[1], "x", 1) == 1); }
  void runTurns(int n) const {
    for (int i = 0; i < n; ++i)
      event_base_loop(Loop.base(), EVLOOP_ONCE | EVLOOP_NONBLOCK);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TimerSuite, TimerFixture)

// Guards against a time limit that is judged before the input which arrived
// while the process stood still.
BOOST_AUTO_TEST_CASE(task_dueWhileTheProcessStoodStill_runsAfterTheInput) {
  int runs = 0;
  bool hadInput = false;
  Timer timer(Loop.base(), [&] {
    ++runs;
    hadInput = HasInput;
  });
  runTurns(1);
  timer.start(10ms);
  sendInput();
  std::this_thread::sleep_for(100ms);
  runTurns(5);
  BOOST_TEST(runs == 1);
  BOOST_TEST(hadInput);
}

// Guards against a time limit that begins with the turn of the loop instead of
// the call, so that it has passed at once after a stop in that turn.
BOOST_AUTO_TEST_CASE(start_lateInATurn_countsFromTheCall) {
  auto startedAt = Clock::now();
  Clock::duration waited{};
  Timer limit(Loop.base(), [&] { waited = Clock::now() - startedAt; });
  Timer turn(Loop.base(), [&] {
    std::this_thread::sleep_for(100ms);
    startedAt = Clock::now();
    limit.start(50ms);
  });
  turn.start(1ms);
  while (waited == Clock::duration::zero())
    event_base_loop(Loop.base(), EVLOOP_ONCE);
  BOOST_TEST((waited >= 45ms));
}

BOOST_AUTO_TEST_CASE(stop_whileALateTimerWaitsForInput_cancelsTheTask) {
  int runs = 0;
  Timer timer(Loop.base(), [&] { ++runs; });
  runTurns(1);
  timer.start(1ms);
  std::this_thread::sleep_for(100ms);
  runTurns(1);
  timer.stop();
  runTurns(5);
  BOOST_TEST(runs == 0);
}

BOOST_AUTO_TEST_SUITE_END()
