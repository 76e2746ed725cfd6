#include "greengagespar/route/admission.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <random>

using namespace greengagespar;
using namespace std::chrono_literals;

namespace {

struct AdmissionFixture {
  Clock::time_point Now = Clock::time_point{} + 1h;
  Admission State;
  Capacity Slots{8, 0, 2};
  std::map<std::string, Workspace> Workspaces;
  std::uint64_t LastId = 0;

  Workspace &workspace(const std::string &name) {
    Workspace &it = Workspaces[name];
    it.Id = {name};
    return it;
  }

  AdmissionDecision arrive(const std::string &name, Clock::duration left,
                           std::size_t bytes = 100) {
    ArrivingCall call{CallId{Incarnation{1}, ++LastId},
                      {name},
                      deadlineAfter(left, Now),
                      bytes};
    return offer(State, call, workspace(name), Slots, Now);
  }

  // Records service times of 100 ms for calls with a deadline of one second.
  void recordTypicalServiceTimes() {
    for (int n = 0; n < 100; ++n)
      recordServiceTime(State.Times, 1s, 100ms);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Admissions, AdmissionFixture)

BOOST_AUTO_TEST_CASE(offer_freeSlot_isAccepted) {
  BOOST_TEST(!arrive("w", 1s).Refused);
  BOOST_TEST(nextCall(State, Now, true));
}

BOOST_AUTO_TEST_CASE(offer_passedDeadline_isTooShort) {
  auto refused = arrive("w", 0s).Refused;
  BOOST_REQUIRE(refused.has_value());
  BOOST_TEST((refused->Kind == ErrorKind::DeadlineTooShort));
  BOOST_TEST((refused->CallRan == Ran::No));
}

BOOST_AUTO_TEST_CASE(offer_noServer_isNoEndpoint) {
  Slots = {};
  BOOST_TEST((arrive("w", 1s).Refused->Kind == ErrorKind::NoEndpoint));
}

BOOST_AUTO_TEST_CASE(offer_longQueue_refusesAtOnceWithGrowingRetryTime) {
  recordTypicalServiceTimes();
  Slots.InFlight = 8;
  AdmissionDecision last;
  int accepted = 0;
  while (!(last = arrive("w", 1s)).Refused)
    ++accepted;
  // 80 calls start per second, and the estimated wait is at most 250 ms.
  BOOST_TEST(accepted >= 12);
  BOOST_TEST(accepted <= 20);
  BOOST_TEST((last.Refused->Kind == ErrorKind::Overloaded));
  auto first = last.Refused->RetryAfter;
  for (int n = 0; n < 80; ++n)
    last = arrive("w", 1s);
  auto later = last.Refused->RetryAfter - first;
  BOOST_TEST((later > 800ms && later < 1100ms));
}

BOOST_AUTO_TEST_CASE(offer_headOfLaneWaitedLong_refusesDespiteShortEstimate) {
  recordTypicalServiceTimes();
  Slots = {800, 800, 2};
  BOOST_TEST(!arrive("w", 1s).Refused);
  BOOST_TEST(!arrive("w", 1s).Refused);
  Now += 300ms;
  BOOST_TEST(arrive("w", 1s).Refused.has_value());
}

BOOST_AUTO_TEST_CASE(offer_fullMemoryWithEqualLanes_evictsNoCall) {
  State.Options.MaxBytes = 900;
  for (int n = 0; n < 9; ++n)
    arrive(n < 4 ? "a" : "b", 10s);
  auto decision = arrive("a", 10s);
  BOOST_TEST(decision.Refused.has_value());
  BOOST_TEST(decision.Evicted.empty());
}

BOOST_AUTO_TEST_CASE(offer_fullMemory_evictsTheLargestLaneOnly) {
  State.Options.MaxBytes = 1000;
  for (int n = 0; n < 10; ++n)
    BOOST_TEST(!arrive("flood", 10s).Refused);
  BOOST_TEST((arrive("flood", 10s).Refused->Kind == ErrorKind::Overloaded));
  auto decision = arrive("steady", 10s);
  BOOST_TEST(!decision.Refused);
  BOOST_REQUIRE(decision.Evicted.size() == 1);
  BOOST_TEST(decision.Evicted[0].Call.Workspace.Value == "flood");
  BOOST_TEST((decision.Evicted[0].Reason.CallRan == Ran::No));
  BOOST_TEST(State.Queue.Bytes <= 1000);
}

BOOST_AUTO_TEST_CASE(expire_lateCalls_areRefusedAsNotRun) {
  recordTypicalServiceTimes();
  arrive("w", 1s);
  Now += 899ms;
  BOOST_TEST(expire(State, Slots, Now).empty());
  Now += 2ms;
  auto refused = expire(State, Slots, Now);
  BOOST_REQUIRE(refused.size() == 1);
  BOOST_TEST((refused[0].Reason.CallRan == Ran::No));
  BOOST_TEST((refused[0].Reason.RetryAfter >= 50ms));
  BOOST_TEST(!nextCall(State, Now, true));
}

BOOST_AUTO_TEST_CASE(placeNext_callWithoutServer_holdsUpNoOthers) {
  arrive("w", 1s);
  arrive("w", 1s);
  std::uint64_t stuck = 1;
  auto choose = [&](const QueuedCall &call) -> std::optional<std::size_t> {
    if (call.Id.Number == stuck)
      return std::nullopt;
    return 3;
  };
  auto placed = placeNext(State, choose, true, Now);
  BOOST_REQUIRE(placed.has_value());
  BOOST_TEST(placed->Call.Call.Id.Number == 2);
  BOOST_TEST(placed->Server == 3);
  BOOST_TEST(!placeNext(State, choose, true, Now).has_value());
  BOOST_TEST(State.Queue.Calls.size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

// Outcomes of one workspace's calls.
struct Tally {
  int Sent = 0;
  int Accepted = 0;
  int InTime = 0;
  int Expired = 0;
};

// One entry in front of eight slots; calls take 100 ms, one in ten 400 ms.
struct LoadPeakFixture : AdmissionFixture {
  struct Running {
    StartedCall Call;
    Clock::time_point EndsAt;
  };
  std::map<std::string, Tally> Tallies;
  std::vector<Running> Calls;
  std::mt19937_64 Random{3};

  void endCalls() {
    std::erase_if(Calls, [&](const Running &it) {
      if (it.EndsAt > Now)
        return false;
      Tally &tally = Tallies[it.Call.Call.Workspace.Value];
      bool inTime = it.EndsAt <= it.Call.Call.AnswerDeadline.At;
      ++(inTime ? tally.InTime : tally.Expired);
      finish(State, it.Call, true, Now);
      return true;
    });
    Slots.InFlight = static_cast<int>(Calls.size());
  }

  void startCalls() {
    for (const RefusedCall &it : expire(State, Slots, Now))
      ++Tallies[it.Call.Workspace.Value].Expired;
    while (Slots.InFlight < Slots.Limit) {
      const QueuedCall *next = nextCall(State, Now, true);
      if (!next)
        return;
      auto took = Random() % 10 == 0 ? 400ms : 100ms;
      Calls.push_back({*start(State, next->Id, Now), Now + took});
      ++Slots.InFlight;
    }
  }

  void send(const std::string &name, double perSecond) {
    std::poisson_distribution<int> arrivals(perSecond / 1000);
    for (int n = arrivals(Random); n > 0; --n) {
      Tally &tally = Tallies[name];
      ++tally.Sent;
      AdmissionDecision decision = arrive(name, 1s);
      tally.Accepted += decision.Refused ? 0 : 1;
      for (const RefusedCall &it : decision.Evicted)
        --Tallies[it.Call.Workspace.Value].Accepted;
    }
  }

  // Sends at the given rates for ten seconds in steps of a millisecond.
  void run(const std::map<std::string, double> &rates) {
    for (int ms = 0; ms < 10000; ++ms) {
      Now += 1ms;
      endCalls();
      for (const auto &[name, rate] : rates)
        send(name, rate);
      startCalls();
    }
  }
};

// Calls per second that eight slots answer at a mean service time of 130 ms.
constexpr double CapacityPerSecond = 8 / 0.130;

} // namespace

BOOST_FIXTURE_TEST_SUITE(LoadPeaks, LoadPeakFixture)

BOOST_AUTO_TEST_CASE(admission_twiceCapacity_keepsGoodputAndFewExpire) {
  run({{"a", CapacityPerSecond}, {"b", CapacityPerSecond}});
  double inTime = Tallies["a"].InTime + Tallies["b"].InTime;
  double accepted = Tallies["a"].Accepted + Tallies["b"].Accepted;
  double expired = Tallies["a"].Expired + Tallies["b"].Expired;
  BOOST_TEST_MESSAGE("goodput " << inTime / (10 * CapacityPerSecond)
                                << " expired " << expired / accepted);
  BOOST_TEST(inTime >= 0.9 * 10 * CapacityPerSecond);
  BOOST_TEST(expired <= 0.01 * accepted);
}

BOOST_AUTO_TEST_CASE(admission_oneSendsFiftyTimes_othersKeepTheirService) {
  double fair = CapacityPerSecond / 4;
  run({{"a", fair * 0.8}, {"b", fair * 0.8}, {"flood", fair * 50}});
  for (const char *name : {"a", "b"})
    BOOST_TEST(Tallies[name].InTime >= 0.98 * Tallies[name].Sent - 5);
  BOOST_TEST(State.Queue.Calls.size() <= State.Options.MaxCalls);
}

BOOST_AUTO_TEST_CASE(admission_underCapacity_refusesNone) {
  run({{"a", 0.7 * CapacityPerSecond}});
  BOOST_TEST(Tallies["a"].Accepted == Tallies["a"].Sent);
}

// The load: all slots are taken by a crest. A call that is less urgent than
// most of the others is refused at once; a more urgent one waits its turn.
BOOST_AUTO_TEST_CASE(offer_lessUrgentInCrest_isRefusedAtOnce) {
  recordTypicalServiceTimes();
  Slots.InFlight = 8;
  auto arriveAt = [&](int level) {
    ArrivingCall call{
        CallId{Incarnation{1}, ++LastId}, {"w"}, deadlineAfter(300ms, Now)};
    call.CallUrgency = {level};
    return offer(State, call, workspace("w"), Slots, Now);
  };
  for (int n = 0; n < 40; ++n) {
    for (int level : {0, 0, 1})
      arriveAt(level);
    if (const QueuedCall *next = nextCall(State, Now, true))
      start(State, next->Id, Now);
  }
  while (const QueuedCall *next = nextCall(State, Now, true))
    remove(State.Queue, next->Id);
  while (auto owed = owedUrgency(State.Queue.Urgencies))
    recordStart(State.Queue.Urgencies, *owed);
  // Room for one more call before the level is owed a start again.
  recordStart(State.Queue.Urgencies, {1});
  BOOST_TEST(arriveAt(1).Refused.has_value());
  BOOST_TEST(!arriveAt(0).Refused.has_value());
}

// The load: many workspaces with one running call each, and few slots. A call
// waits for the next slot that becomes free, as no other call does.
BOOST_AUTO_TEST_CASE(
    estimatedWait_allSlotsTakenNoneWaits_isThatForTheNextSlot) {
  recordTypicalServiceTimes();
  for (const char *name : {"a", "b", "c", "d", "e", "f", "g", "h"}) {
    arrive(name, 1s);
    start(State, nextCall(State, Now, true)->Id, Now);
  }
  Slots.InFlight = 8;
  auto wait = [&] { return estimateWait(State, workspace("a"), Slots, Now); };
  BOOST_TEST((wait() > 90ms));
  State.Options.OnlyWaitingShare = true;
  BOOST_TEST((wait() < 30ms));
}

BOOST_AUTO_TEST_SUITE_END()
