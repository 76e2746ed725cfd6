#include "greengagespar/route/stall.h"

#include <boost/test/unit_test.hpp>

using namespace greengagespar;
using namespace std::chrono_literals;

namespace {

/// A group that many callers ask in vain.
struct StallFixture {
  StallState State;
  Clock::time_point Now = Clock::now();
  int InFlight = 0;
  int Sent = 0;

  StallFixture() { noteProgress(State, Now); }

  // Callers ask every 10 ms for \p time.
  void ask(std::chrono::milliseconds time) {
    for (auto end = Now + time; Now < end; Now += 10ms) {
      if (!maySend(State, InFlight, Now))
        continue;
      noteCallSent(State, InFlight, Now);
      ++InFlight;
      ++Sent;
    }
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Stall, StallFixture)

BOOST_AUTO_TEST_CASE(group_withoutPasses_getsFewCallsOnly) {
  ask(700ms);
  int before = Sent;
  ask(4000ms);
  // One each 400 ms.
  BOOST_TEST(Sent - before <= 11);
}

BOOST_AUTO_TEST_CASE(group_thatGoesOn_getsAllCallsAtOnce) {
  ask(3000ms);
  noteProgress(State, Now);
  int before = Sent;
  ask(100ms);
  BOOST_TEST(Sent - before == 10);
}

BOOST_AUTO_TEST_CASE(group_idleForLong_isNotStalled) {
  Now += 1min;
  ask(100ms);
  BOOST_TEST(Sent == 10);
}

BOOST_AUTO_TEST_CASE(group_withOneSlowCall_isNotStalled) {
  InFlight = 1;
  Now += 2s;
  BOOST_TEST(maySend(State, InFlight, Now));
}

BOOST_AUTO_TEST_SUITE_END()
