#include "judge.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace greengagespar::soak;
using namespace std::chrono_literals;

namespace {

std::string numbered(std::string text, int number) {
  return text.append(std::to_string(number));
}

/// A run with one sound booking, to which each case adds one fault.
struct JudgeFixture {
  Record Run;

  JudgeFixture() {
    Run.Length = 30000ms;
    add("a", 200);
  }

  // Adds an attempt that reached a server once and ended after 50 ms; status 0:
  // without an answer.
  void add(const std::string &id, int status, Time sentAt = 10000ms) {
    Attempt it;
    it.Id = id;
    it.IsOnKept = true;
    it.SentAt = sentAt;
    it.Deadline = 2000ms;
    it.EndedAt = sentAt + 50ms;
    it.Status = status;
    it.Named = id;
    Run.Attempts.push_back(it);
    arrive(id, sentAt + 5ms);
  }

  void arrive(const std::string &id, Time at) {
    Arrival it;
    it.Id = id;
    it.At = at;
    it.RanAt = at;
    it.DoneAt = at + 20ms;
    Run.Arrivals.push_back(it);
  }

  bool breaks(const std::string &rule) const {
    auto findings = judge(Run);
    return std::ranges::any_of(findings,
                               [&](auto &it) { return it.Rule == rule; });
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SoakJudge, JudgeFixture)

BOOST_AUTO_TEST_CASE(soundRun_breaksNoRule) { BOOST_TEST(judge(Run).empty()); }

BOOST_AUTO_TEST_CASE(refusedBooking_thatRanLater_breaksRefused) {
  add("b", 503);
  BOOST_TEST(breaks("REFUSED"));
}

BOOST_AUTO_TEST_CASE(refusedBooking_turnedAway_breaksNothing) {
  add("b", 503);
  Run.Arrivals.back().RanAt.reset();
  BOOST_TEST(judge(Run).empty());
}

BOOST_AUTO_TEST_CASE(booking_atTwoServers_breaksTwice) {
  arrive("a", 10100ms);
  BOOST_TEST(breaks("TWICE"));
}

BOOST_AUTO_TEST_CASE(request_withTheAnswerToAnother_breaksMixed) {
  Run.Attempts.back().Named.append("2");
  BOOST_TEST(breaks("MIXED"));
}

BOOST_AUTO_TEST_CASE(repeats_beyondTheShare_breakBudget) {
  for (int i = 0; i < 10; ++i)
    add(numbered("s", i), 200);
  for (Attempt &it : Run.Attempts)
    it.MayRepeat = true;
  Run.Limits.RetryShare = 0.2;
  arrive("s0", 10100ms);
  arrive("s1", 10100ms);
  BOOST_TEST(!breaks("BUDGET"));
  arrive("s2", 10100ms);
  BOOST_TEST(breaks("BUDGET"));
  Run.Limits.ExtraRetries = 1;
  BOOST_TEST(!breaks("BUDGET"));
}

BOOST_AUTO_TEST_CASE(cutRequests_ofAnEntryInTouch_breakLostAfterThree) {
  for (int i = 0; i < 3; ++i)
    add(numbered("c", i), 0);
  BOOST_TEST(!breaks("LOST"));
  add("c3", 0);
  BOOST_TEST(breaks("LOST"));
  Run.Disruptions.push_back({0, DisruptionKind::Freeze, 8000ms, 8100ms});
  BOOST_TEST(!breaks("LOST"));
}

BOOST_AUTO_TEST_CASE(cutRequest_whileEntryStops_breaksLost) {
  add("c", 0);
  Run.Disruptions.push_back({0, DisruptionKind::Stop, 9000ms, 12000ms});
  BOOST_TEST(breaks("LOST"));
  Run.Arrivals.back().ServerBroke = true;
  BOOST_TEST(!breaks("LOST"));
}

BOOST_AUTO_TEST_CASE(cutRequest_neverReadWhileEntryStops_breaksNothing) {
  add("c", 0);
  Run.Arrivals.pop_back();
  Run.Disruptions.push_back({0, DisruptionKind::Stop, 9000ms, 12000ms});
  BOOST_TEST(judge(Run).empty());
  Run.Attempts.back().EndedAt = 10300ms;
  BOOST_TEST(breaks("LOST"));
}

// A refusal is copied while its request is under way again.
BOOST_AUTO_TEST_CASE(copy_whileItsRequestIsThereAgain_isCountedByConnection) {
  Run.Arrivals.back().AnsweredAt = 10006ms;
  Run.Copies.push_back({0, 10106ms, 10106ms});
  Run.Copies.emplace_back();
  BOOST_TEST(countCopies(Run).Sent == 1U);
  BOOST_TEST(countCopies(Run).CameAgain == 0U);
  arrive("a", 10100ms);
  Arrival &again = Run.Arrivals.back();
  BOOST_TEST(countCopies(Run).CameAgain == 1U);
  BOOST_TEST(countCopies(Run).Met == 1U);
  again.Connection = 1;
  BOOST_TEST(countCopies(Run).CameAgain == 1U);
  BOOST_TEST(countCopies(Run).Met == 0U);
  again.Server = 1;
  BOOST_TEST(countCopies(Run).CameAgain == 0U);
}

BOOST_AUTO_TEST_CASE(copy_beforeOrAfterItsRequestIsThereAgain_hasNotMetIt) {
  arrive("a", 10100ms);
  Run.Arrivals.back().AnsweredAt = 10120ms;
  Run.Copies.push_back({0, 10006ms, 10006ms});
  Run.Copies.push_back({0, 10200ms, 10200ms});
  BOOST_TEST(countCopies(Run).CameAgain == 2U);
  BOOST_TEST(countCopies(Run).Met == 0U);
  // In two pieces, one before and one after.
  Run.Copies.push_back({0, 10006ms, 10200ms});
  BOOST_TEST(countCopies(Run).Met == 1U);
}

// An arrival 10005 ms after the start of the run.
BOOST_AUTO_TEST_CASE(arrival_atServerOutOfService_breaksTheRuleBeyondTheBound) {
  Run.Outages.push_back({0, 10005ms - Run.Limits.OutOfServiceTime, {}});
  BOOST_TEST(!breaks("OUTAGE"));
  Run.Outages[0].From -= 1ms;
  BOOST_TEST(breaks("OUTAGE"));
  Run.Outages[0].To = 10005ms;
  BOOST_TEST(!breaks("OUTAGE"));
  Run.Outages[0].To = 10006ms;
  BOOST_TEST(breaks("OUTAGE"));
  Run.Outages[0].Server = 1;
  BOOST_TEST(!breaks("OUTAGE"));
}

BOOST_AUTO_TEST_CASE(arrival_ofEntryOutOfTouch_breaksNoRule) {
  Run.Outages.push_back({0, 1000ms, {}});
  BOOST_TEST(breaks("OUTAGE"));
  Run.StoreTroubles.push_back({7500ms, 8000ms});
  BOOST_TEST(!breaks("OUTAGE"));
  Run.StoreTroubles.clear();
  Run.Disruptions.push_back({0, DisruptionKind::Freeze, 8000ms, 8500ms});
  BOOST_TEST(!breaks("OUTAGE"));
  Run.Disruptions[0].Entry = 1;
  BOOST_TEST(breaks("OUTAGE"));
}

BOOST_AUTO_TEST_SUITE_END()
