#include "greengagespar/route/priority.h"

#include <boost/test/unit_test.hpp>

using namespace greengagespar;
using namespace std::chrono_literals;

namespace {

constexpr LengthClass Classes[] = {LengthClass::Short, LengthClass::Medium,
                                   LengthClass::Long, LengthClass::VeryLong};

StreamProgress longStream(std::uint64_t id, Clock::duration run,
                          Clock::duration slack) {
  StreamProgress stream;
  stream.Id = {Incarnation{1}, id};
  stream.Tokens = 300 + static_cast<int>(id);
  stream.Length = LengthClass::Long;
  stream.Run = stream.ThisRun = run;
  stream.Slack = slack;
  return stream;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Priorities)

BOOST_AUTO_TEST_CASE(classifyLength_fewShortAmongLong_followsTheShort) {
  LengthScale scale;
  for (int n = 0; n < 100; ++n)
    recordLength(scale, n % 4 == 0 ? 20 : 600);
  BOOST_TEST((classifyLength(20, scale) == LengthClass::Short));
  BOOST_TEST(isLong(classifyLength(100, scale)));
  BOOST_TEST((classifyLength(700, scale) == LengthClass::VeryLong));
}

BOOST_AUTO_TEST_CASE(classifyLength_similarLengths_noneIsLong) {
  LengthScale scale;
  for (int n = 0; n < 100; ++n)
    recordLength(scale, 200 + n);
  BOOST_TEST(!isLong(classifyLength(300, scale)));
}

BOOST_AUTO_TEST_CASE(priorityFor_longerStream_isLater) {
  int last = -1;
  for (LengthClass it : Classes) {
    int value = priorityFor(it, 30s, 0ms).Value;
    BOOST_TEST(value > last);
    last = value;
  }
}

BOOST_AUTO_TEST_CASE(priorityFor_slackUsedUp_isThatOfShortWork) {
  BOOST_TEST((priorityFor(LengthClass::VeryLong, 500ms, 0ms) ==
              priorityFor(LengthClass::Short, 30s, 0ms)));
}

BOOST_AUTO_TEST_CASE(priorityFor_stalledStream_passesNewWorkInBoundedTime) {
  for (LengthClass it : Classes) {
    int steps = static_cast<int>(it) + 1;
    auto stalled = priorityFor(it, 30s, AgingStep * steps);
    BOOST_TEST((stalled < priorityFor(LengthClass::Short, 30s, 0ms)));
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ReservedSlots)

BOOST_AUTO_TEST_CASE(admitToServer_longWork_leavesReservedSlots) {
  ServerSlots slots{16, 12, 12};
  BOOST_TEST(!admitToServer(slots, LengthClass::Long));
  BOOST_TEST(admitToServer(slots, LengthClass::Short));
  BOOST_TEST(!admitToServer({16, 16, 0}, LengthClass::Short));
  BOOST_TEST(admitToServer({1, 0, 0}, LengthClass::VeryLong));
}

BOOST_AUTO_TEST_CASE(admitToServer_preemptingEngine_takesShortBeyondTheLimit) {
  BOOST_TEST(admitToServer({16, 19, 16, true}, LengthClass::Short));
  BOOST_TEST(!admitToServer({16, 20, 16, true}, LengthClass::Short));
  BOOST_TEST(!admitToServer({16, 16, 8, true}, LengthClass::Long));
}

BOOST_AUTO_TEST_CASE(chooseToPark_shortWaits_parksLongestUpToReserve) {
  std::vector<StreamProgress> streams;
  streams.reserve(16);
  for (std::uint64_t i = 0; i < 16; ++i)
    streams.push_back(longStream(i, 5s, 30s));
  ServerSlots held{16, 16, 16};
  auto parked = chooseToPark(streams, held, 10);
  BOOST_REQUIRE(parked.size() == 4);
  BOOST_TEST(parked[0].Number == 15);
  BOOST_TEST(chooseToPark(streams, held, 1).size() == 1);
  BOOST_TEST(chooseToPark(streams, held, 0).empty());
  BOOST_TEST(chooseToPark(streams, {16, 16, 12}, 9).empty());
}

BOOST_AUTO_TEST_CASE(chooseToPark_constantShortDemand_boundsLongDraft) {
  StreamProgress draft = longStream(1, 1s, 60s);
  // The parked draft gets a slot only after twice the planned time.
  constexpr Clock::duration resumedAfter = 2 * MaxParkTime;
  while (draft.Run < 30s) {
    if (!chooseToPark({draft}, {2, 2, 2}, 5).empty()) {
      draft.Parked += resumedAfter;
      draft.ThisRun = 0s;
    }
    draft.Run += 100ms;
    draft.ThisRun += 100ms;
  }
  std::chrono::duration<double> total = draft.Run + draft.Parked - MaxParkTime;
  BOOST_TEST(draft.Parked > 0s);
  BOOST_TEST(total / draft.Run <= 1 + MaxParkedShare);
}

BOOST_AUTO_TEST_CASE(chooseToPark_littleSlack_isLeftRunning) {
  BOOST_TEST(chooseToPark({longStream(1, 9s, 1s)}, {2, 2, 2}, 5).empty());
}

BOOST_AUTO_TEST_SUITE_END()
