#include "greengagespar/route/queue.h"

#include "greengagespar/route/priority.h"
#include <boost/test/unit_test.hpp>

using namespace greengagespar;
using namespace std::chrono_literals;

namespace {

struct Queue {
  Clock::time_point Now = Clock::time_point{} + 1h;
  CallQueue Calls;
  std::uint64_t LastId = 0;

  CallId add(const std::string &workspace, Clock::duration latestStart = 30s,
             LengthClass length = LengthClass::Short, double weight = 1,
             int level = 0) {
    QueuedCall call;
    call.Id = {Incarnation{1}, ++LastId};
    call.Workspace = {workspace};
    call.EnqueuedAt = Now;
    call.AnswerDeadline = {Now + latestStart + 1s};
    call.LatestStart = Now + latestStart;
    call.Length = length;
    call.Bytes = 10;
    call.CallUrgency = urgencyAt(level);
    recordArrival(Calls.Urgencies, call.CallUrgency);
    push(Calls, call, weight);
    return call.Id;
  }

  QueuedCall dequeueNext(double costMs = 100, bool allowLong = true) {
    const QueuedCall *next = peekNext(Calls, Now, allowLong);
    BOOST_REQUIRE(next);
    QueuedCall call = *dequeue(Calls, next->Id, costMs);
    releaseSlot(Calls, call.Workspace, costMs);
    return call;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CallQueues, Queue)

BOOST_AUTO_TEST_CASE(queue_oneSendsFiftyTimes_otherWorkspaceStartsNext) {
  for (int i = 0; i < 50; ++i)
    add("flood");
  dequeueNext();
  CallId steady = add("steady");
  dequeueNext();
  BOOST_TEST((dequeueNext().Id == steady || !Calls.Calls.contains(steady)));
}

BOOST_AUTO_TEST_CASE(queue_weights_shareSlotTime) {
  for (int i = 0; i < 300; ++i) {
    add("three", 30s, LengthClass::Short, 3);
    add("one", 30s, LengthClass::Short, 1);
  }
  int three = 0;
  for (int i = 0; i < 200; ++i)
    three += dequeueNext().Workspace.Value == "three" ? 1 : 0;
  BOOST_TEST(std::abs(three - 150) <= 2);
}

BOOST_AUTO_TEST_CASE(queue_longCallsOfOneWorkspace_countBySlotTime) {
  for (int i = 0; i < 300; ++i) {
    add("drafts");
    add("quotes");
  }
  double spent[2] = {0, 0};
  for (int i = 0; i < 300; ++i) {
    bool drafts = peekNext(Calls, Now, true)->Workspace.Value == "drafts";
    double cost = drafts ? 400 : 100;
    spent[drafts ? 0 : 1] += cost;
    dequeueNext(cost);
  }
  BOOST_TEST(spent[0] < 1.1 * spent[1]);
  BOOST_TEST(spent[1] < 1.1 * spent[0]);
}

BOOST_AUTO_TEST_CASE(queue_idleWorkspace_accumulatesNoCredit) {
  add("late");
  dequeueNext();
  for (int i = 0; i < 100; ++i) {
    add("busy");
    dequeueNext();
  }
  int late = 0;
  for (int i = 0; i < 20; ++i) {
    add("late");
    add("busy");
  }
  for (int i = 0; i < 20; ++i)
    late += dequeueNext().Workspace.Value == "late" ? 1 : 0;
  BOOST_TEST(late <= 11);
}

BOOST_AUTO_TEST_CASE(queue_lessSlack_goesFirst) {
  add("w", 20s);
  CallId urgent = add("w", 500ms);
  BOOST_TEST((dequeueNext().Id == urgent));
}

BOOST_AUTO_TEST_CASE(queue_longDeadline_isNotStarved) {
  CallId patient = add("w", 100s);
  Now += 2100ms;
  add("w", 1s);
  BOOST_TEST((dequeueNext().Id == patient));
}

BOOST_AUTO_TEST_CASE(
    queue_resumedLongCall_startsWithLongSlotOrAtStartDeadline) {
  CallId resumed = add("w", 30s, LengthClass::Long);
  BOOST_TEST(!peekNext(Calls, Now, false));
  BOOST_TEST(peekNext(Calls, Now, true));
  Now += MaxParkTime + 1ms;
  BOOST_TEST((dequeueNext(100, false).Id == resumed));
}

BOOST_AUTO_TEST_CASE(queue_expiredCalls_areReturned) {
  CallId early = add("w", 100ms);
  CallId late = add("w", 200ms);
  BOOST_TEST((nextExpiry(Calls) == Now + 100ms));
  Now += 150ms;
  auto expired = removeExpired(Calls, Now);
  BOOST_REQUIRE(expired.size() == 1);
  BOOST_TEST((expired[0].Id == early));
  BOOST_TEST(Calls.Bytes == 10);
  BOOST_TEST(remove(Calls, late).has_value());
  BOOST_TEST(!remove(Calls, late).has_value());
  BOOST_TEST(Calls.Bytes == 0);
}

BOOST_AUTO_TEST_CASE(queue_urgentCallOfAnyWorkspace_startsFirst) {
  add("a", 1s, LengthClass::Short, 1, 1);
  CallId urgent = add("b", 2s, LengthClass::Short, 1, 0);
  CallId late = add("b", 2s, LengthClass::Short, 1, 0);
  BOOST_TEST((dequeueNext().Id == urgent));
  BOOST_TEST((dequeueNext().Id == late));
  BOOST_TEST(dequeueNext().CallUrgency.Level == 1);
}

// The load: more urgent calls than can start, and a few that are less urgent.
BOOST_AUTO_TEST_CASE(queue_lessUrgentCalls_areNotStarved) {
  for (int i = 0; i < 400; ++i) {
    add("a", 30s, LengthClass::Short, 1, 0);
    if (i % 4 == 0)
      add("b", 30s, LengthClass::Short, 1, 2);
  }
  int lessUrgent = 0;
  for (int i = 0; i < 200; ++i)
    lessUrgent += dequeueNext().CallUrgency.Level == 2 ? 1 : 0;
  BOOST_TEST(lessUrgent >= 10);
  BOOST_TEST(lessUrgent <= 40);
}

BOOST_AUTO_TEST_SUITE_END()
