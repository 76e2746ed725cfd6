#include "greengagespar/store/backoff.h"

#include <boost/test/unit_test.hpp>

using namespace greengagespar;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(BackoffDelays)

BOOST_AUTO_TEST_CASE(nextDelay_manyFailures_staysInsideItsBound) {
  std::mt19937_64 rng(1);
  Backoff backoff{{.Base = 100ms, .Cap = 1000ms}};
  auto bound = 100ms;
  for (int i = 0; i < 100; ++i) {
    auto delay = nextDelay(backoff, rng);
    BOOST_TEST((delay >= 0ms && delay <= bound));
    bound = std::min(bound * 2, 1000ms);
  }
}

// When an outage of an hour (20 failures) ends, fewer than 100 of 1000
// processes may retry within the same second.
BOOST_AUTO_TEST_CASE(nextDelay_afterLongOutage_spreadsReturn) {
  std::mt19937_64 rng(1);
  int inOneSecond = 0;
  for (int i = 0; i < 1000; ++i) {
    Backoff backoff{{.Base = 200ms, .Cap = 20000ms}, 20};
    inOneSecond += nextDelay(backoff, rng) < 1000ms ? 1 : 0;
  }
  BOOST_TEST(inOneSecond < 100);
}

BOOST_AUTO_TEST_CASE(reset_afterFailures_startsFromTheBase) {
  std::mt19937_64 rng(1);
  Backoff backoff{{.Base = 100ms, .Cap = 1000ms}, 9};
  reset(backoff);
  BOOST_TEST((nextDelay(backoff, rng) <= 100ms));
}

BOOST_AUTO_TEST_SUITE_END()
