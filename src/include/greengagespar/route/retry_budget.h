/// \file
/// Limits on retries and hedges (a hedge is a second copy of a call, sent to
/// another server). Each takes a token from a token bucket, and the first
/// attempt of each call adds a fraction of a token. This keeps the number of
/// attempts below a fixed multiple of the number of calls, however many servers
/// fail at once (the retry budget of "Site Reliability Engineering", Beyer and
/// others, 2016, chapter 21). The functions change only the budget passed to
/// them; each budget is used by one event loop.
#ifndef GREENGAGESPAR_ROUTE_RETRY_BUDGET_H
#define GREENGAGESPAR_ROUTE_RETRY_BUDGET_H

#include "greengagespar/base/clock.h"
#include "greengagespar/base/errors.h"
#include <chrono>
#include <cstdint>

namespace greengagespar {

/// The token bucket that limits the retries and hedges of one group or service.
/// Retries + Hedges never exceeds Share * FirstAttempts + InitialTokens by more
/// than Overdraft; only retries that resume a stream may use Overdraft.
struct RetryBudget {
  static constexpr double InitialTokens = 2;
  bool HasPart = true;   ///< See RetryAllowance::ExtraPart.
  double Share = 0.18;   ///< Tokens that each first attempt adds.
  double MaxTokens = 20; ///< Greatest number of tokens in the bucket.
  /// How far below zero resumed streams may bring Tokens.
  double Overdraft = 10;
  double Tokens = InitialTokens; ///< Retries and hedges that may be made now.
  std::uint64_t FirstAttempts = 0;
  std::uint64_t Retries = 0;
  std::uint64_t Hedges = 0;
  int HedgesInFlight = 0; ///< Hedges that have not ended.
};

/// Most tokens in the bucket of an entry that has no part of the extra retries.
inline constexpr double TokensWithoutPart = 1;

/// What all entries together may send as retries of one service, and this
/// entry's part of it.
struct RetryAllowance {
  double Share = 0.2; ///< Retries for each request.
  /// This entry's part of the retries beyond Share in any window; 0: none yet.
  double ExtraPart = 0;
};

/// Sets the bounds of \p budget so that in any window its retries stay within
/// \p allowance, with a margin. An entry whose part begins gets the tokens of
/// a window at once. After its part has ended or become smaller it never has
/// more tokens than the smaller part allows.
void applyAllowance(RetryBudget &budget, const RetryAllowance &allowance);

/// A failed attempt to run a call.
struct FailedAttempt {
  ErrorKind Kind = ErrorKind::LinkDown;
  Ran CallRan = Ran::Unknown; ///< Whether the call ran in this attempt.
  /// Whether it is safe to run the call more than once.
  bool Repeatable = false;
  bool Resumes = false; ///< The call is a stream that has produced tokens.
  int Attempts = 1;     ///< Attempts made so far, this attempt included.
  /// There is a server on which the call has not failed.
  bool OtherServers = true;
  Clock::duration TimeLeft{0}; ///< Time left until the call's deadline.
  Clock::duration Needed{0};   ///< Expected duration of another attempt.
};

/// Why a failed call is or isn't retried.
enum class RetryReason {
  Allowed,
  PermanentError,  ///< Another attempt would fail in the same way.
  MayHaveRun,      ///< The call may have run and may not be repeated.
  NoTime,          ///< The deadline leaves no time for another attempt.
  TooManyAttempts, ///< The call reached the limit on attempts.
  BudgetExhausted, ///< The token bucket has no token left for a retry.
};

/// Whether to retry a failed call.
struct RetryDecision {
  RetryReason Reason = RetryReason::PermanentError;
  std::chrono::milliseconds Backoff{0}; ///< Wait before the next attempt.
};

/// Records the first attempt of a call and adds its share of a token to
/// \p budget.
void recordFirstAttempt(RetryBudget &budget);

/// Decides whether to retry the call of \p failed, and takes a token from
/// \p budget when the retry is allowed. \p draw is a random number from 0 to 1
/// that adds jitter to the backoff. There is no backoff while there are servers
/// on which the call has not failed.
RetryDecision decideRetry(RetryBudget &budget, const FailedAttempt &failed,
                          double draw);

/// Takes the token for one retry that the caller decided on. When \p resumes,
/// the retry resumes a stream and may use Overdraft. Returns false, and takes
/// no token, when the budget allows no retry now.
bool spendRetryToken(RetryBudget &budget, bool resumes);

/// Whether spendRetryToken() would return true.
bool hasRetryToken(const RetryBudget &budget, bool resumes);

/// A call in flight that might be sent to a second server.
struct HedgeCandidate {
  /// Whether it is safe to run the call more than once.
  bool Repeatable = false;
  bool Hedged = false;       ///< It was already sent to a second server.
  Clock::duration Waited{0}; ///< Time since the call was sent.
  /// 95th percentile of the time to the first answer.
  Clock::duration FirstAnswerP95{0};
  Clock::duration TimeLeft{0}; ///< Time left until the call's deadline.
  Clock::duration Needed{0};   ///< Expected duration of another attempt.
  int InFlight = 0; ///< Calls of the group in flight from this entry.
  int Limit = 0;    ///< Calls that the entry may have on all servers.
};

/// Decides whether to send a hedge (a second copy of the call to another
/// server), and takes a token from \p budget when it is allowed. No hedge is
/// sent when the servers are nearly full, because it would delay other calls.
bool decideHedge(RetryBudget &budget, const HedgeCandidate &call);

/// Records that a hedge ended.
void recordHedgeEnd(RetryBudget &budget);

} // namespace greengagespar

#endif // GREENGAGESPAR_ROUTE_RETRY_BUDGET_H
