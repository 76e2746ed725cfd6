#include "greengagespar/route/retry_budget.h"

#include <algorithm>

namespace greengagespar {

namespace {

using std::chrono::milliseconds;

constexpr int MaxAttempts = 4;
constexpr milliseconds FirstBackoff{50};
constexpr milliseconds LongestBackoff{1000};

constexpr double MaxHedgeShare = 0.05;
constexpr double MaxHedgeLoad = 0.7;

bool isFinal(ErrorKind kind) {
  switch (kind) {
  case ErrorKind::Overloaded:
  case ErrorKind::NoEndpoint:
  case ErrorKind::Leaving:
  case ErrorKind::NotReady:
  case ErrorKind::StaleSettings:
  case ErrorKind::OutcomeUnknown:
  case ErrorKind::EndpointFailed:
  case ErrorKind::LinkDown:
    return false;
  default:
    return true;
  }
}

milliseconds backoffFor(const FailedAttempt &failed, double draw) {
  if (failed.OtherServers)
    return milliseconds{0};
  milliseconds wait = FirstBackoff;
  for (int i = 1; i < failed.Attempts; ++i)
    wait *= 2;
  wait = std::min(wait, LongestBackoff);
  return std::chrono::duration_cast<milliseconds>(wait * (0.5 + draw / 2));
}

bool spend(RetryBudget &budget, double floor) {
  if (budget.Tokens - 1 < floor)
    return false;
  budget.Tokens -= 1;
  return true;
}

} // namespace

void noteFirstAttempt(RetryBudget &budget) {
  ++budget.FirstAttempts;
  budget.Tokens = std::min(budget.Tokens + budget.Share, budget.MaxTokens);
}

RetryDecision decideRetry(RetryBudget &budget, const FailedAttempt &failed,
                          double draw) {
  if (isFinal(failed.Kind))
    return {RetryReason::KindIsFinal};
  if (failed.CallRan != Ran::No && !failed.Repeatable)
    return {RetryReason::MayHaveRun};
  if (failed.Attempts >= MaxAttempts)
    return {RetryReason::TooManyTries};
  milliseconds backoff = backoffFor(failed, draw);
  if (failed.TimeLeft <= failed.Needed + backoff)
    return {RetryReason::NoTime};
  if (!payForRetry(budget, failed.Resumes))
    return {RetryReason::BudgetSpent};
  return {RetryReason::Allowed, backoff};
}

bool payForRetry(RetryBudget &budget, bool resumes) {
  if (!spend(budget, resumes ? -budget.Overdraft : 0))
    return false;
  ++budget.Retries;
  return true;
}

bool decideHedge(RetryBudget &budget, const HedgeCandidate &call) {
  if (!call.Repeatable || call.Hedged || call.Waited < call.UsualFirst)
    return false;
  if (call.TimeLeft <= call.Needed)
    return false;
  if (call.InFlight > MaxHedgeLoad * call.Limit)
    return false;
  int allowed = std::max(1, static_cast<int>(MaxHedgeShare * call.InFlight));
  if (budget.HedgesInFlight >= allowed || !spend(budget, 0))
    return false;
  ++budget.Hedges;
  ++budget.HedgesInFlight;
  return true;
}

void noteHedgeEnded(RetryBudget &budget) {
  budget.HedgesInFlight = std::max(0, budget.HedgesInFlight - 1);
}

} // namespace greengagespar
