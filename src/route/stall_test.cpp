#include "greengagespar/route/stall.h"

#include <boost/test/unit_test.hpp>

using namespace greengagespar;
using namespace std::chrono_literals;

namespace {

/// A group without progress to which callers keep sending calls.
struct StallFixture {
  StallState State;
  Clock::time_point Now = Clock::now();
  int InFlight = 0;
  int Sent = 0;

  StallFixture() { recordGroupProgress(State, Now); }

  // Sends a call every 10 ms for \p time, whenever one may be sent.
  void sendCalls(std::chrono::milliseconds time) {
    for (auto end = Now + time; Now < end; Now += 10ms) {
      if (!maySend(State, InFlight, Now))
        continue;
      recordCallToGroup(State, InFlight, Now);
      ++InFlight;
      ++Sent;
    }
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Stall, StallFixture)

BOOST_AUTO_TEST_CASE(group_withoutProgress_getsProbeCallsOnly) {
  sendCalls(700ms);
  int before = Sent;
  sendCalls(4000ms);
  // One probe call each 400 ms.
  BOOST_TEST(Sent - before <= 11);
}

BOOST_AUTO_TEST_CASE(group_afterProgress_getsAllCallsAtOnce) {
  sendCalls(3000ms);
  recordGroupProgress(State, Now);
  int before = Sent;
  sendCalls(100ms);
  BOOST_TEST(Sent - before == 10);
}

BOOST_AUTO_TEST_CASE(group_idleForLong_isNotStalled) {
  Now += 1min;
  sendCalls(100ms);
  BOOST_TEST(Sent == 10);
}

BOOST_AUTO_TEST_CASE(group_withOneSlowCall_isNotStalled) {
  InFlight = 1;
  Now += 2s;
  BOOST_TEST(maySend(State, InFlight, Now));
}

BOOST_AUTO_TEST_SUITE_END()
