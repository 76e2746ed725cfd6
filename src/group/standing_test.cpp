#include "greengagespar/group/standing.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>
#include <vector>

using namespace greengagespar;
using std::chrono::milliseconds;

namespace {

// A group of 64 ranks whose agents read the state each 300 ms at different
// times and report changes, and the calls that an entry sends to it.
struct BreakingGroup {
  static constexpr int Ranks = 64;
  static constexpr milliseconds ReadInterval{300};
  Clock::time_point Start{std::chrono::hours(1)};
  GroupStanding Standing;
  std::mt19937_64 Random{3};

  struct Report {
    milliseconds At;
    std::uint64_t Epoch;
    bool IsOpen;
  };

  // The reports around a break at 1,000 ms and a new epoch at 2,200 ms.
  std::vector<Report> reports() {
    std::vector<Report> all;
    std::uniform_int_distribution<int> phase(0, 299);
    for (int r = 0; r < Ranks; ++r)
      for (milliseconds at{phase(Random)}; at < milliseconds{4000};
           at += ReadInterval)
        if (at < milliseconds{1000})
          all.push_back({at, 1, true});
        else if (at < milliseconds{2200})
          all.push_back({at, 1, false});
        else
          all.push_back({at, 2, true});
    std::ranges::sort(all, {}, &Report::At);
    return all;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(GroupStandings, BreakingGroup)

// Group-wide failure detection: calls that are sent between the break and the
// first report are refused by the ranks, later ones aren't sent.
BOOST_AUTO_TEST_CASE(group_breaksAndForms_isKnownFromTheFirstReport) {
  bool takesWork = true;
  milliseconds brokenKnown{0};
  milliseconds formedKnown{0};
  for (const Report &it : reports()) {
    StandingNews news =
        recordStanding(Standing, it.Epoch, it.IsOpen, Start + it.At);
    if (news == StandingNews::Broken && takesWork)
      brokenKnown = it.At;
    if (news == StandingNews::Formed && !takesWork)
      formedKnown = it.At;
    if (news != StandingNews::None)
      takesWork = news == StandingNews::Formed;
  }
  BOOST_TEST((brokenKnown >= milliseconds{1000}));
  BOOST_TEST((brokenKnown < milliseconds{1050}));
  BOOST_TEST((formedKnown >= milliseconds{2200}));
  BOOST_TEST((formedKnown < milliseconds{2250}));
}

BOOST_AUTO_TEST_CASE(openReport_ofEndedEpoch_isOutdated) {
  recordStanding(Standing, 4, true, Start);
  recordStanding(Standing, 4, false, Start);
  BOOST_TEST((recordStanding(Standing, 4, true, Start) == StandingNews::None));
  BOOST_TEST((recordStanding(Standing, 3, true, Start) == StandingNews::None));
  BOOST_TEST(Standing.IsBroken);
  BOOST_TEST(
      (recordStanding(Standing, 5, true, Start) == StandingNews::Formed));
  BOOST_TEST((recordStanding(Standing, 4, false, Start) == StandingNews::None));
  BOOST_TEST(!Standing.IsBroken);
}

// A group that opens again without a new epoch is not shut out for good.
BOOST_AUTO_TEST_CASE(openReports_ofBrokenEpochForAWhile_areBelieved) {
  recordStanding(Standing, 4, false, Start);
  BOOST_TEST((recordStanding(Standing, 4, true, Start + milliseconds{999}) ==
              StandingNews::None));
  BOOST_TEST((recordStanding(Standing, 4, true, Start + milliseconds{1000}) ==
              StandingNews::Formed));
  BOOST_TEST(!Standing.IsBroken);
  BOOST_TEST((recordStanding(Standing, 4, false, Start + milliseconds{1001}) ==
              StandingNews::Broken));
}

BOOST_AUTO_TEST_CASE(brokenReports_many_areSpreadOncePerInterval) {
  int spread = 0;
  for (int ms = 0; ms < 3000; ms += 5)
    if (recordStanding(Standing, 1, false, Start + milliseconds{ms}) ==
        StandingNews::Broken)
      ++spread;
  BOOST_TEST(spread == 3);
}

BOOST_AUTO_TEST_SUITE_END()
