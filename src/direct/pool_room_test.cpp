#include "greengagespar/direct/pool_room.h"

#include <boost/test/unit_test.hpp>

using namespace greengagespar;
using namespace std::chrono_literals;

namespace {

/// An entry with one of 33 equal parts of a group of 64 servers with 10 slots.
struct PoolRoomFixture {
  Clock::time_point Now = Clock::time_point{} + 1h;
  PoolRoom Room;
  std::vector<EndpointView> Views{64};
  int Own = 0;

  PoolRoomFixture() {
    EngineProfile engine;
    engine.Slots = 10;
    engine.StepMs = 5;
    engine.PerRequestMs = 1;
    engine.StepsPerPass = 5;
    engine.ReadTokensPerMs = 60;
    engine.UsualPromptTokens = 900;
    engine.UsualAnswerTokens = 100;
    Room.Model = passModelOf(engine);
    Room.IsInForce = true;
    Room.EntryHash = 17;
    Room.Share = 1.0 / 33;
    Room.Targets = {150ms, 8000ms};
    for (EndpointView &it : Views)
      it.Slots = 10;
  }

  void report(int running, double pace = 1) {
    for (EndpointView &it : Views) {
      it.Report = LoadReport{running, 0, 10, Now - 200ms};
      it.Report->Pace = pace;
    }
  }

  std::optional<int> allowed() {
    Now += 100ms;
    reviewRoom(Room, Views, Own, Now);
    return streamsAllowed(Room, Now);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PoolRooms, PoolRoomFixture)

BOOST_AUTO_TEST_CASE(streams_roomFull_areTheEntrysPart) {
  report(10);
  auto it = allowed();
  BOOST_REQUIRE(it.has_value());
  BOOST_TEST((*it == 19 || *it == 20));
}

BOOST_AUTO_TEST_CASE(streams_freePlaces_areMoreThanThePart) {
  report(3);
  BOOST_TEST(*allowed() > 20);
}

BOOST_AUTO_TEST_CASE(streams_notInForce_areNotLimitedByTheRoom) {
  report(10);
  Room.IsInForce = false;
  BOOST_TEST(!allowed().has_value());
}

// One failure: the ranks' agents fall silent.
BOOST_AUTO_TEST_CASE(streams_agentsSilent_areNotLimitedByTheRoom) {
  report(10);
  BOOST_TEST(allowed().has_value());
  Now += MaxReportAge;
  BOOST_TEST(!allowed().has_value());
}

// One failure: this entry stands still for three seconds, in which its
// knowledge grows old. Requests that have gathered meanwhile get its part and
// no more.
BOOST_AUTO_TEST_CASE(streams_afterFreeze_areHardlyMoreThanThePart) {
  report(5);
  int before = *allowed();
  Now += 3s;
  int after = *allowed();
  BOOST_TEST(after < before);
  BOOST_TEST(after <= 22);
}

// The load: a rank becomes twelve times slow.
BOOST_AUTO_TEST_CASE(room_rankSlow_isKnownWithTheFirstReport) {
  report(5);
  allowed();
  double starts = Room.Room->StartsPerSecond;
  report(5);
  Views[7].Report->Pace = 12;
  allowed();
  BOOST_TEST(!Room.Room->IsInTime);
  BOOST_TEST(Room.Room->StartsPerSecond < starts / 5);
}

// The load: a slow rank that has little work, so that passes are short with it.
BOOST_AUTO_TEST_CASE(room_rankSlowButPassesShort_isInTimeAgain) {
  report(3, 12);
  allowed();
  BOOST_TEST(!Room.Room->IsInTime);
  for (int i = 0; i < 40; ++i) {
    Now += 50ms;
    recordPass(Room.Passes, 50ms, 150ms, Now);
    report(3, 12);
    reviewRoom(Room, Views, Own, Now);
  }
  BOOST_TEST(Room.Room->IsInTime);
}

// The load: a burst begins, and pauses show it before the reports do.
BOOST_AUTO_TEST_CASE(room_reportsBehindPauses_isThatOfTheOwnStreams) {
  auto roomWith = [&](int own) {
    Own = own;
    for (int i = 0; i < 60; ++i) {
      Now += 60ms;
      recordPass(Room.Passes, 70ms, 150ms, Now);
      report(0);
      reviewRoom(Room, Views, Own, Now);
    }
    return Room.Room->Streams;
  };
  double behind = roomWith(0);
  BOOST_TEST(roomWith(12) > 1.2 * behind);
}

// The load: first events take most of the objective, as in a crest.
BOOST_AUTO_TEST_CASE(latestStart_slowFirstEvents_leavesTimeForThem) {
  auto start = [&] {
    return latestStart(Room, Now + 500ms, Now + 300ms, Now) - Now;
  };
  BOOST_TEST((start() == 300ms));
  for (int i = 0; i < 200; ++i)
    recordFirstEvent(Room, 350ms);
  BOOST_TEST((start() > 140ms && start() <= 150ms));
  for (int i = 0; i < 200; ++i)
    recordFirstEvent(Room, 900ms);
  BOOST_TEST((start() == 75ms));
  Room.IsInForce = false;
  BOOST_TEST((start() == 300ms));
}

BOOST_AUTO_TEST_CASE(retry_refusedOfBurst_isSpreadWithinHonouredTime) {
  report(10);
  allowed();
  auto first = retryTime(Room, {0}, 1500ms, 7500ms, Now);
  auto second = retryTime(Room, {0}, 1500ms, 7500ms, Now);
  BOOST_TEST((first == 1500ms));
  BOOST_TEST((second > first));
  for (int i = 0; i < 50; ++i)
    BOOST_TEST((retryTime(Room, {1}, 1500ms, 7500ms, Now) <= 2500ms));
}

BOOST_AUTO_TEST_CASE(retry_littleTimeLeft_isTheEarliest) {
  BOOST_TEST((retryTime(Room, {0}, 1500ms, 900ms, Now) == 1500ms));
}

BOOST_AUTO_TEST_SUITE_END()
