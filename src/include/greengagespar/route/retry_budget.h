/// \file
/// Limits on retries and hedges. Both draw on one token bucket that each first
/// attempt fills by a share of a token, so that attempts on servers stay under
/// a fixed multiple of calls however many servers fail at once (the retry
/// budget of "Site Reliability Engineering", Beyer and others, 2016,
/// chapter 21). Pure functions; one loop owns each budget.
#ifndef GREENGAGESPAR_ROUTE_RETRY_BUDGET_H
#define GREENGAGESPAR_ROUTE_RETRY_BUDGET_H

#include "greengagespar/base/clock.h"
#include "greengagespar/base/errors.h"
#include <chrono>
#include <cstdint>

namespace greengagespar {

/// The retries that one group or service may still make.
///
/// Bound: Retries + Hedges is at most Share * FirstAttempts + InitialTokens,
/// and Overdraft more for streams that are resumed.
struct RetryBudget {
  static constexpr double InitialTokens = 2;
  double Share = 0.18;   ///< Tokens that each first attempt adds.
  double MaxTokens = 20; ///< Tokens kept at most.
  double Overdraft = 10; ///< Tokens that resumed streams may go below zero.
  double Tokens = InitialTokens; ///< Retries that may be made now.
  std::uint64_t FirstAttempts = 0;
  std::uint64_t Retries = 0;
  std::uint64_t Hedges = 0;
  int HedgesInFlight = 0; ///< Hedges that have not ended.
};

/// An attempt that failed.
struct FailedAttempt {
  ErrorKind Kind = ErrorKind::LinkDown;
  Ran CallRan = Ran::Unknown; ///< What is known about this attempt.
  bool Repeatable = false;    ///< The call may run more than once.
  bool Resumes = false;       ///< A stream that has produced tokens already.
  int Attempts = 1;           ///< Attempts made so far, this one included.
  bool OtherServers = true;   ///< A server is left that has not failed it.
  Clock::duration TimeLeft{0};
  Clock::duration Needed{0}; ///< Time expected for another attempt.
};

/// Why a failed call is or isn't tried again.
enum class RetryReason {
  Allowed,
  KindIsFinal,  ///< Another attempt would fail in the same way.
  MayHaveRun,   ///< It may have run and may not be repeated.
  NoTime,       ///< The deadline leaves no time for another attempt.
  TooManyTries, ///< The call was tried often enough.
  BudgetSpent,  ///< Recent first attempts pay for no more retries.
};

/// Whether to try a failed call again.
struct RetryDecision {
  RetryReason Reason = RetryReason::KindIsFinal;
  std::chrono::milliseconds Backoff{0}; ///< Wait before the next attempt.
};

/// Notes that a call was sent for the first time.
void noteFirstAttempt(RetryBudget &budget);

/// Decides whether to try \p failed again, and pays for it out of \p budget
/// when allowed. \p draw is a random number from 0 to 1 that spreads backoffs;
/// there is no backoff while servers are left that have not failed the call.
RetryDecision decideRetry(RetryBudget &budget, const FailedAttempt &failed,
                          double draw);

/// Pays for one retry that was decided on elsewhere. Returns false, and takes
/// nothing, when recent first attempts pay for no more retries now.
bool payForRetry(RetryBudget &budget, bool resumes);

/// A call in flight that might be sent to a second server.
struct HedgeCandidate {
  bool Repeatable = false;
  bool Hedged = false;           ///< It was sent to a second one already.
  Clock::duration Waited{0};     ///< Time since it was sent.
  Clock::duration UsualFirst{0}; ///< 95th percentile of the first answer.
  Clock::duration TimeLeft{0};
  Clock::duration Needed{0}; ///< Time expected for another attempt.
  int InFlight = 0;          ///< Calls of the group on this entry.
  int Limit = 0;             ///< Calls that it may have on all servers.
};

/// Decides whether to send a second copy, and pays for it when allowed. None is
/// sent when the servers are nearly full: a hedge then delays other calls.
bool decideHedge(RetryBudget &budget, const HedgeCandidate &call);

/// Notes that a hedge ended.
void noteHedgeEnded(RetryBudget &budget);

} // namespace greengagespar

#endif // GREENGAGESPAR_ROUTE_RETRY_BUDGET_H
