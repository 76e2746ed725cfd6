#include "greengagespar/base/clock.h"

#include <boost/test/unit_test.hpp>

using namespace greengagespar;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(ClockSuite)

BOOST_AUTO_TEST_CASE(timeLeft_beforeAtAndAfterDeadline_neverNegative) {
  Clock::time_point now = Clock::now();
  Deadline d = deadlineAfter(10ms, now);
  BOOST_TEST((timeLeft(d, now) == 10ms));
  BOOST_TEST((timeLeft(d, now + 9500us) == 0ms));
  BOOST_TEST(!hasPassed(d, now + 9500us));
  BOOST_TEST(hasPassed(d, now + 10ms));
  BOOST_TEST((timeLeft(d, now + 1h) == 0ms));
}

BOOST_AUTO_TEST_CASE(newIncarnation_calledAgain_isHigher) {
  Incarnation last = newIncarnation();
  for (int i = 0; i < 1000; ++i) {
    Incarnation next = newIncarnation();
    BOOST_REQUIRE((next > last));
    last = next;
  }
}

BOOST_AUTO_TEST_SUITE_END()
