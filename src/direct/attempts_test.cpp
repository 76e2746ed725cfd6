#include "greengagespar/direct/attempts.h"

#include <boost/test/unit_test.hpp>

using namespace greengagespar;
using namespace std::chrono_literals;

namespace {

AttemptHistory history(bool isRepeatable, int runs, int refusals) {
  AttemptHistory it;
  it.IsRepeatable = isRepeatable;
  it.AllowedRuns = 2;
  it.Runs = runs;
  it.Refusals = refusals;
  it.TimeLeft = 1s;
  return it;
}

NextStep step(const AttemptHistory &it, AttemptEnd end) {
  return decideNext(it, end).Step;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Attempts)

BOOST_AUTO_TEST_CASE(atMostOnce_lost_isNeverSentAgain) {
  BOOST_TEST(bool(step(history(false, 1, 0), AttemptEnd::Lost) ==
                  NextStep::FailUnknown));
}

BOOST_AUTO_TEST_CASE(atMostOnce_provedNotRun_isSentAgain) {
  BOOST_TEST(bool(step(history(false, 0, 1), AttemptEnd::DidNotRun) ==
                  NextStep::SendAgain));
  BOOST_TEST(bool(step(history(false, 0, 1), AttemptEnd::NotConnected) ==
                  NextStep::SendAgain));
}

BOOST_AUTO_TEST_CASE(atMostOnce_failedByServer_isPassedOn) {
  BOOST_TEST(bool(step(history(false, 1, 0), AttemptEnd::Failed) ==
                  NextStep::ForwardAnswer));
}

BOOST_AUTO_TEST_CASE(repeatable_lost_isSentToSecondServerOnly) {
  BOOST_TEST(
      bool(step(history(true, 1, 0), AttemptEnd::Lost) == NextStep::SendAgain));
  BOOST_TEST(bool(step(history(true, 2, 0), AttemptEnd::Lost) ==
                  NextStep::FailUnknown));
}

BOOST_AUTO_TEST_CASE(anyRequest_refusedByAllServers_isRefused) {
  BOOST_TEST(bool(step(history(false, 0, MaxRefusals), AttemptEnd::DidNotRun) ==
                  NextStep::Refuse));
}

BOOST_AUTO_TEST_CASE(repeatable_refusedAfterARun_isNotReportedAsNotRun) {
  AttemptHistory it = history(true, 1, MaxRefusals);
  BOOST_TEST(bool(step(it, AttemptEnd::DidNotRun) == NextStep::FailUnknown));
}

BOOST_AUTO_TEST_CASE(anyRequest_withoutTime_isNotSentAgain) {
  AttemptHistory it = history(true, 0, 1);
  it.TimeLeft = 5ms;
  BOOST_TEST(bool(step(it, AttemptEnd::DidNotRun) == NextStep::Refuse));
}

BOOST_AUTO_TEST_CASE(leavingEntry_servesWhatEndsBeforeIt) {
  BOOST_TEST(canServeBeforeEnd(RequestKind::Stream, 8s, 7s));
  BOOST_TEST(!canServeBeforeEnd(RequestKind::Stream, 8s, 4s));
  for (RequestKind kind : {RequestKind::Idempotent, RequestKind::AtMostOnce}) {
    BOOST_TEST(canServeBeforeEnd(kind, 1200ms, 4s));
    BOOST_TEST(!canServeBeforeEnd(kind, 1200ms, 1100ms));
    BOOST_TEST(!canServeBeforeEnd(kind, 30s, 7s));
  }
}

BOOST_AUTO_TEST_SUITE_END()
