#include "greengagespar/route/concurrency.h"

#include <boost/test/unit_test.hpp>
#include <numeric>
#include <vector>

using namespace greengagespar;

namespace {

constexpr int Slots = 16;

// Entries with unlimited demand that share one server. They receive its load
// reports one after the other; calls end at once when a limit falls.
struct Entries {
  std::vector<ConcurrencyLimit> Limits;
  Clock::time_point Now{};

  int total() const {
    int sum = 0;
    for (const ConcurrencyLimit &it : Limits)
      sum += allowedCalls(it);
    return sum;
  }

  void report(int times) {
    for (int n = 0; n < times; ++n)
      for (ConcurrencyLimit &it : Limits) {
        Now += std::chrono::milliseconds(100);
        int load = total();
        adjustLimit(it,
                    {std::min(load, Slots), std::max(0, load - Slots), Slots,
                     allowedCalls(it), Now},
                    Now);
      }
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(ConcurrencyLimits)

BOOST_AUTO_TEST_CASE(limits_oneBackloggedEntry_getsAllSlotsWithinFewReports) {
  Entries one{{initialLimit(Slots, 6)}};
  one.report(4);
  BOOST_TEST(one.total() >= Slots);
  BOOST_TEST(one.total() <= Slots + 3);
}

BOOST_AUTO_TEST_CASE(limits_backloggedEntries_fillSlotsWithoutLongQueue) {
  Entries six{std::vector<ConcurrencyLimit>(6, initialLimit(Slots, 6))};
  for (int n = 0; n < 50; ++n) {
    six.report(1);
    BOOST_TEST(six.total() <= Slots + 4);
  }
  BOOST_TEST(six.total() >= Slots);
}

BOOST_AUTO_TEST_CASE(limits_unequalStart_convergeTowardsEqualParts) {
  Entries two{{{14, 8}, {2, 8}}};
  two.report(200);
  BOOST_TEST(allowedCalls(two.Limits[1]) * 2 >= allowedCalls(two.Limits[0]));
}

BOOST_AUTO_TEST_CASE(limits_loadFromBeforeAChange_isNotCountedAgain) {
  Clock::time_point now{std::chrono::hours(1)};
  ConcurrencyLimit limit{8, 8};
  ServerLoad overfull{Slots, 16, Slots, 8, now - std::chrono::seconds(1)};
  adjustLimit(limit, overfull, now);
  double once = limit.Value;
  adjustLimit(limit, overfull, now);
  BOOST_TEST(once < 8);
  BOOST_TEST(limit.Value == once);
}

BOOST_AUTO_TEST_CASE(limits_unused_returnToInitial) {
  ConcurrencyLimit limit{16, 4};
  for (int n = 0; n < 300; ++n)
    adjustLimit(limit, {0, 0, Slots, 0}, {});
  BOOST_TEST(allowedCalls(limit) <= 5);
}

BOOST_AUTO_TEST_CASE(limits_refusals_neverFallUnderOne) {
  ConcurrencyLimit limit{4, 4};
  for (int n = 0; n < 20; ++n)
    lowerLimit(limit, 1);
  BOOST_TEST(allowedCalls(limit) == 1);
}

BOOST_AUTO_TEST_SUITE_END()
