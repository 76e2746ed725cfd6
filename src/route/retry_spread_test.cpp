#include "greengagespar/route/retry_spread.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <vector>

using namespace greengagespar;
using namespace std::chrono_literals;

namespace {

struct SpreadFixture {
  Clock::time_point Now = Clock::time_point{} + 1h;
  RetrySpread Spread;
  RetryWindow Window{1500ms, 2500ms, 5};

  std::chrono::milliseconds retry(int level) {
    return nextRetry(Spread, {level}, Window, Now);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RetrySpreads, SpreadFixture)

// The load: the refused calls of a burst, which would come back together.
BOOST_AUTO_TEST_CASE(refused_burst_isSpreadOverTheWindow) {
  std::vector<int> perPart(5, 0);
  for (int i = 0; i < 30; ++i) {
    auto at = retry(0);
    BOOST_TEST((at >= 1500ms && at <= 2500ms));
    ++perPart[static_cast<std::size_t>(
        std::min<std::int64_t>(4, (at - 1500ms) / 200ms))];
  }
  for (int it : perPart)
    BOOST_TEST(it >= 4);
}

BOOST_AUTO_TEST_CASE(refused_lessUrgent_comesAfterMoreUrgent) {
  auto urgent = retry(0);
  auto other = retry(2);
  BOOST_TEST((urgent == 1500ms));
  BOOST_TEST((other == 1700ms));
  // Less urgent callers don't delay more urgent ones.
  BOOST_TEST((retry(0) == 1700ms));
}

BOOST_AUTO_TEST_CASE(refused_seldom_isToldTheEarliestTime) {
  for (int i = 0; i < 5; ++i) {
    BOOST_TEST((retry(1) == 1500ms));
    Now += 300ms;
  }
}

BOOST_AUTO_TEST_SUITE_END()
