#include "greengagespar/route/retry_budget.h"

#include <algorithm>
#include <utility>

namespace greengagespar {

namespace {

using std::chrono::milliseconds;

constexpr int MaxAttempts = 4;
constexpr milliseconds FirstBackoff{50};
constexpr milliseconds LongestBackoff{1000};

// Part of an allowance that is used: the rest covers what entries count a
// little differently from those who judge them.
constexpr double UsedAllowance = 0.9;
// Part of the extra retries that is kept for streams to resume.
constexpr double ResumeShare = 0.4;

constexpr double MaxHedgeShare = 0.05;
constexpr double MaxHedgeLoad = 0.7;

bool isPermanent(ErrorKind kind) {
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

bool hasToken(const RetryBudget &budget, double floor) {
  return budget.Tokens - 1 >= floor;
}

bool spendToken(RetryBudget &budget, double floor) {
  if (!hasToken(budget, floor))
    return false;
  budget.Tokens -= 1;
  return true;
}

} // namespace

void recordFirstAttempt(RetryBudget &budget) {
  ++budget.FirstAttempts;
  budget.Tokens = std::min(budget.Tokens + budget.Share, budget.MaxTokens);
}

void applyAllowance(RetryBudget &budget, const RetryAllowance &allowance) {
  double extra = UsedAllowance * allowance.ExtraPart;
  bool hadPart = std::exchange(budget.HasPart, extra > 0);
  budget.Share = UsedAllowance * allowance.Share;
  budget.Overdraft = ResumeShare * extra;
  budget.MaxTokens = std::max(TokensWithoutPart, extra - budget.Overdraft);
  // What was used without a part counts against the part's first window.
  if (budget.HasPart && !hadPart)
    budget.Tokens =
        std::max(budget.Tokens, budget.MaxTokens - TokensWithoutPart);
  budget.Tokens = std::min(budget.Tokens, budget.MaxTokens);
}

RetryDecision decideRetry(RetryBudget &budget, const FailedAttempt &failed,
                          double draw) {
  if (isPermanent(failed.Kind))
    return {RetryReason::PermanentError};
  if (failed.CallRan != Ran::No && !failed.Repeatable)
    return {RetryReason::MayHaveRun};
  if (failed.Attempts >= MaxAttempts)
    return {RetryReason::TooManyAttempts};
  milliseconds backoff = backoffFor(failed, draw);
  if (failed.TimeLeft <= failed.Needed + backoff)
    return {RetryReason::NoTime};
  if (!spendRetryToken(budget, failed.Resumes))
    return {RetryReason::BudgetExhausted};
  return {RetryReason::Allowed, backoff};
}

bool hasRetryToken(const RetryBudget &budget, bool resumes) {
  return hasToken(budget, resumes ? -budget.Overdraft : 0);
}

bool spendRetryToken(RetryBudget &budget, bool resumes) {
  if (!spendToken(budget, resumes ? -budget.Overdraft : 0))
    return false;
  ++budget.Retries;
  return true;
}

bool decideHedge(RetryBudget &budget, const HedgeCandidate &call) {
  if (!call.Repeatable || call.Hedged || call.Waited < call.FirstAnswerP95)
    return false;
  if (call.TimeLeft <= call.Needed)
    return false;
  if (call.InFlight > MaxHedgeLoad * call.Limit)
    return false;
  int allowed = std::max(1, static_cast<int>(MaxHedgeShare * call.InFlight));
  if (budget.HedgesInFlight >= allowed || !spendToken(budget, 0))
    return false;
  ++budget.Hedges;
  ++budget.HedgesInFlight;
  return true;
}

void recordHedgeEnd(RetryBudget &budget) {
  budget.HedgesInFlight = std::max(0, budget.HedgesInFlight - 1);
}

} // namespace greengagespar
