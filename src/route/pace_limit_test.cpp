#include "greengagespar/route/pace_limit.h"

#include <boost/test/unit_test.hpp>
#include <vector>

using namespace greengagespar;
using namespace std::chrono_literals;

namespace {

/// Entries that share one group in lock-step. A pass takes longer with each
/// stream; demand is the number of streams that each entry wants to run.
struct GroupFixture {
  static constexpr std::size_t Entries = 7;
  static constexpr double StepMs = 30;
  static constexpr double PerStreamMs = 0.9;
  std::vector<PaceLimit> Limits{Entries};
  std::vector<int> InFlight = std::vector<int>(Entries, 0);
  std::vector<double> Ending = std::vector<double>(Entries, 0);
  Clock::time_point Now = Clock::now();

  GroupFixture() {
    for (PaceLimit &it : Limits)
      setMaxStreams(it, 40);
  }

  double passMs() const {
    double streams = 0;
    for (int it : InFlight)
      streams += it;
    return StepMs + PerStreamMs * streams;
  }

  // Simulates one pass: each stream has an event, some streams end, and waiting
  // ones start.
  void pass(int wanted) {
    double ms = passMs();
    auto pause = std::chrono::duration_cast<Clock::duration>(
        std::chrono::duration<double, std::milli>(ms));
    Now += pause;
    for (std::size_t e = 0; e < Entries; ++e) {
      for (int i = 0; i < InFlight[e]; ++i)
        recordPause(Limits[e], pause, 120ms, InFlight[e], Now);
      // A stream lasts for 20 passes.
      Ending[e] += InFlight[e] / 20.0;
      int ended = static_cast<int>(Ending[e]);
      Ending[e] -= ended;
      InFlight[e] -= ended;
      while (InFlight[e] < wanted && InFlight[e] < allowedStreams(Limits[e]))
        ++InFlight[e];
    }
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PaceLimits, GroupFixture)

BOOST_AUTO_TEST_CASE(demand_underCapacity_isNotLimited) {
  for (int i = 0; i < 200; ++i)
    pass(8);
  for (int it : InFlight)
    BOOST_TEST(it >= 7);
}

BOOST_AUTO_TEST_CASE(loadPeak_overCapacity_keepsPausesShort) {
  for (int i = 0; i < 100; ++i)
    pass(8);
  for (int i = 0; i < 40; ++i)
    pass(40);
  // Once the limits have decreased, no pass exceeds the longest pause.
  for (int i = 0; i < 100; ++i) {
    pass(40);
    BOOST_TEST(passMs() < 120);
  }
}

BOOST_AUTO_TEST_CASE(loadPeak_past_limitRecoversWithinSeconds) {
  for (int i = 0; i < 200; ++i)
    pass(40);
  for (int i = 0; i < 60; ++i)
    pass(5);
  for (int i = 0; i < 60; ++i)
    pass(11);
  for (int it : InFlight)
    BOOST_TEST(it >= 10);
}

BOOST_AUTO_TEST_CASE(entries_underOverload_shareEvenly) {
  Limits[0].Value = 4;
  for (int i = 0; i < 600; ++i)
    pass(40);
  BOOST_TEST(InFlight[0] * 2 > InFlight[1]);
}

BOOST_AUTO_TEST_CASE(limit_withoutMaximum_isUnbounded) {
  PaceLimit limit;
  recordPause(limit, 500ms, 120ms, 3, Now);
  BOOST_TEST(allowedStreams(limit) > 1000000);
}

BOOST_AUTO_TEST_SUITE_END()
