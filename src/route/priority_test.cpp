#include "greengagespar/route/priority.h"

#include <boost/test/unit_test.hpp>

using namespace greengagespar;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(Priorities)

BOOST_AUTO_TEST_CASE(priorityFor_moreTokens_isLater) {
  int last = -1;
  for (int tokens : {0, 100, 500, 5000}) {
    int value = priorityFor(tokens, 30s, 0ms).Value;
    BOOST_TEST(value > last);
    last = value;
  }
}

BOOST_AUTO_TEST_CASE(priorityFor_slackUsedUp_isThatOfShortWork) {
  BOOST_TEST((priorityFor(5000, 500ms, 0ms) == priorityFor(0, 30s, 0ms)));
}

BOOST_AUTO_TEST_CASE(priorityFor_stalledStream_passesNewWorkInBoundedTime) {
  for (int tokens : {0, 100, 500, 5000}) {
    int steps = static_cast<int>(lengthClass(tokens)) + 1;
    auto stalled = priorityFor(tokens, 30s, AgingStep * steps);
    BOOST_TEST((stalled < priorityFor(0, 30s, 0ms)));
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ReservedSlots)

BOOST_AUTO_TEST_CASE(admitToServer_longWork_leavesReservedSlots) {
  ServerSlots slots{16, 12, 12};
  BOOST_TEST(!admitToServer(slots, LengthClass::Long));
  BOOST_TEST(admitToServer(slots, LengthClass::Short));
  BOOST_TEST(!admitToServer({16, 16, 0}, LengthClass::Short));
  BOOST_TEST(admitToServer({1, 0, 0}, LengthClass::Straggler));
}

BOOST_AUTO_TEST_CASE(chooseToPark_shortWaits_parksLongestUpToReserve) {
  std::vector<StreamProgress> streams;
  streams.reserve(16);
  for (int i = 0; i < 16; ++i)
    streams.push_back({CallId{Incarnation{1}, static_cast<std::uint64_t>(i)},
                       300 + i, 5s, 5s, 0s, 30s});
  ServerSlots slots{16, 16, 16};
  auto parked = chooseToPark(streams, slots, 10);
  BOOST_REQUIRE(parked.size() == 4);
  BOOST_TEST(parked[0].Number == 15);
  BOOST_TEST(chooseToPark(streams, slots, 1).size() == 1);
  BOOST_TEST(chooseToPark(streams, slots, 0).empty());
  BOOST_TEST(chooseToPark(streams, {16, 12, 12}, 9).empty());
}

BOOST_AUTO_TEST_CASE(chooseToPark_constantShortDemand_boundsLongDraft) {
  StreamProgress draft{CallId{Incarnation{1}, 1}, 300, 1s, 1s, 0s, 60s};
  while (draft.Run < 30s) {
    if (!chooseToPark({draft}, {2, 2, 2}, 5).empty()) {
      draft.Parked += ParkTime;
      draft.ThisRun = 0s;
    }
    draft.Run += 100ms;
    draft.ThisRun += 100ms;
  }
  std::chrono::duration<double> total = draft.Run + draft.Parked;
  BOOST_TEST(draft.Parked > 0s);
  BOOST_TEST(total / draft.Run <= 1 + MaxParkedShare);
}

BOOST_AUTO_TEST_CASE(chooseToPark_littleSlack_isLeftRunning) {
  StreamProgress draft{CallId{Incarnation{1}, 1}, 300, 9s, 9s, 0s, 1s};
  BOOST_TEST(chooseToPark({draft}, {2, 2, 2}, 5).empty());
}

BOOST_AUTO_TEST_SUITE_END()
