#include "greengagespar/route/retry_budget.h"

#include <boost/test/unit_test.hpp>
#include <vector>

using namespace greengagespar;
using namespace std::chrono_literals;

namespace {

FailedAttempt linkDown() {
  FailedAttempt failed;
  failed.Repeatable = true;
  failed.TimeLeft = 10s;
  failed.Needed = 1s;
  return failed;
}

struct RetryCase {
  const char *Name;
  void (*Change)(FailedAttempt &);
  RetryReason Expected;
};

const std::vector<RetryCase> RetryCases = {
    {"repeatable", [](FailedAttempt &) {}, RetryReason::Allowed},
    {"bad request", [](FailedAttempt &f) { f.Kind = ErrorKind::BadRequest; },
     RetryReason::PermanentError},
    {"may have run", [](FailedAttempt &f) { f.Repeatable = false; },
     RetryReason::MayHaveRun},
    {"did not run",
     [](FailedAttempt &f) {
       f.Repeatable = false;
       f.CallRan = Ran::No;
     },
     RetryReason::Allowed},
    {"too little time left", [](FailedAttempt &f) { f.TimeLeft = 900ms; },
     RetryReason::NoTime},
    {"too many attempts", [](FailedAttempt &f) { f.Attempts = 4; },
     RetryReason::TooManyAttempts},
};

HedgeCandidate slowCall() {
  HedgeCandidate call;
  call.Repeatable = true;
  call.Waited = 600ms;
  call.FirstAnswerP95 = 500ms;
  call.TimeLeft = 10s;
  call.Needed = 1s;
  call.InFlight = 20;
  call.Limit = 40;
  return call;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Retries)

BOOST_AUTO_TEST_CASE(decideRetry_eachCase_hasItsReason) {
  for (const RetryCase &it : RetryCases) {
    RetryBudget budget;
    FailedAttempt failed = linkDown();
    it.Change(failed);
    BOOST_TEST((decideRetry(budget, failed, 0.5).Reason == it.Expected),
               it.Name);
  }
}

BOOST_AUTO_TEST_CASE(decideRetry_everyAttemptFails_staysInsideTheBound) {
  RetryBudget budget;
  constexpr int calls = 1000;
  for (int n = 0; n < calls; ++n) {
    recordFirstAttempt(budget);
    for (FailedAttempt it = linkDown(); it.Attempts < 4; ++it.Attempts)
      decideRetry(budget, it, 0.5);
  }
  BOOST_TEST(calls + budget.Retries <= 1.2 * calls);
}

BOOST_AUTO_TEST_CASE(decideRetry_exhaustedBudget_stillResumesStreams) {
  RetryBudget budget;
  budget.Tokens = 0;
  FailedAttempt failed = linkDown();
  BOOST_TEST(
      (decideRetry(budget, failed, 0).Reason == RetryReason::BudgetExhausted));
  failed.Resumes = true;
  int resumed = 0;
  for (int n = 0; n < 20; ++n)
    if (decideRetry(budget, failed, 0).Reason == RetryReason::Allowed)
      ++resumed;
  BOOST_TEST(resumed == 10);
}

BOOST_AUTO_TEST_CASE(decideRetry_noOtherServer_backsOffLonger) {
  RetryBudget budget;
  FailedAttempt failed = linkDown();
  failed.OtherServers = false;
  auto first = decideRetry(budget, failed, 0.5).Backoff;
  failed.Attempts = 3;
  BOOST_TEST((decideRetry(budget, failed, 0.5).Backoff > first));
}

BOOST_AUTO_TEST_CASE(decideHedge_onlySlowRepeatableCallWithFreeSlots_isSent) {
  RetryBudget budget;
  HedgeCandidate call = slowCall();
  call.Waited = 400ms;
  BOOST_TEST(!decideHedge(budget, call));
  call = slowCall();
  call.Repeatable = false;
  BOOST_TEST(!decideHedge(budget, call));
  call = slowCall();
  call.InFlight = 35;
  BOOST_TEST(!decideHedge(budget, call));
  BOOST_TEST(decideHedge(budget, slowCall()));
  BOOST_TEST(!decideHedge(budget, slowCall()));
  recordHedgeEnd(budget);
  BOOST_TEST(decideHedge(budget, slowCall()));
}

BOOST_AUTO_TEST_SUITE_END()
