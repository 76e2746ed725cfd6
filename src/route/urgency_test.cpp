#include "greengagespar/route/urgency.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace greengagespar;

namespace {

/// Calls of three levels of one service, of which a part can start: the most
/// urgent first, except for a level that is owed a start.
struct UrgencyFixture {
  UrgencyShares Shares;
  std::array<int, 3> Arrived{};
  std::array<int, 3> Started{};

  // In each round calls arrive at the levels by `mix`, and `starts` start.
  void rounds(int count, const std::array<int, 3> &mix, int starts) {
    for (int n = 0; n < count; ++n) {
      std::array<int, 3> waiting = mix;
      for (int level = 0; level < 3; ++level)
        for (int i = 0; i < mix[static_cast<std::size_t>(level)]; ++i) {
          recordArrival(Shares, {level});
          ++Arrived[static_cast<std::size_t>(level)];
        }
      for (int i = 0; i < starts; ++i)
        startNext(waiting);
    }
  }

  double servedShare(std::size_t level) const {
    return static_cast<double>(Started[level]) / Arrived[level];
  }

private:
  void startNext(std::array<int, 3> &waiting) {
    auto owed = owedUrgency(Shares);
    std::size_t level = 0;
    if (owed && waiting[static_cast<std::size_t>(owed->Level)] > 0)
      level = static_cast<std::size_t>(owed->Level);
    else
      while (level < 2 && waiting[level] == 0)
        ++level;
    if (waiting[level] == 0)
      return;
    --waiting[level];
    ++Started[level];
    recordStart(Shares, {static_cast<int>(level)});
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Urgencies, UrgencyFixture)

BOOST_AUTO_TEST_CASE(levels_enoughRoom_noneIsOwed) {
  rounds(100, {3, 4, 2}, 9);
  BOOST_TEST(!owedUrgency(Shares).has_value());
  for (std::size_t level = 0; level < 3; ++level)
    BOOST_TEST(servedShare(level) == 1);
}

// The load: a crest of 2.4 times the room, with three kinds of request.
BOOST_AUTO_TEST_CASE(levels_crest_urgentFirstAndNoneStarves) {
  rounds(400, {4, 5, 3}, 5);
  double all = 5.0 / 12;
  BOOST_TEST(servedShare(0) >= servedShare(1));
  BOOST_TEST(servedShare(1) >= servedShare(2));
  BOOST_TEST(servedShare(0) > 1.5 * all);
  // No level is served less than a quarter as often as all.
  BOOST_TEST(servedShare(2) > 0.25 * all);
}

BOOST_AUTO_TEST_CASE(levels_oneOnly_isNeverOwed) {
  for (int n = 0; n < 500; ++n) {
    recordArrival(Shares, {4});
    BOOST_TEST(!owedUrgency(Shares).has_value());
  }
}

BOOST_AUTO_TEST_CASE(shareLeft_crest_fallsWithUrgency) {
  rounds(200, {4, 5, 3}, 5);
  BOOST_TEST(shareLeftFor(Shares, {0}) == 1);
  BOOST_TEST(shareLeftFor(Shares, {1}) < 0.5);
}

BOOST_AUTO_TEST_CASE(urgency_outOfRange_isMovedToNearestLevel) {
  BOOST_TEST(urgencyAt(-2).Level == 0);
  BOOST_TEST(urgencyAt(40).Level == UrgencyLevels - 1);
}

BOOST_AUTO_TEST_SUITE_END()
