/// \file
/// The log lines and counters of one request. Private to the package.
#ifndef GREENGAGESPAR_DIRECT_EXCHANGE_LOG_H
#define GREENGAGESPAR_DIRECT_EXCHANGE_LOG_H

#include "greengagespar/direct/exchange.h"

namespace greengagespar {

/// Logs that \p call is sent to the server of \p attempt for the \p run th
/// time, and why its server was \p chosen. \p after is the event after which a
/// stream is resumed.
void logSend(const AcceptedCall &call, const detail::Attempt &attempt,
             const ChosenServer &chosen, int run,
             std::optional<std::uint64_t> after);

/// Logs and counts that \p call got an answer with \p head on the connection of
/// \p attempt that names the request \p named, and skips it.
void logSkippedAnswer(Metrics &counters, const AcceptedCall &call,
                      const detail::Attempt &attempt, const HttpHead &head,
                      std::string_view named);

/// How another attempt is paid for.
enum class RetryPayment {
  None,    ///< No other attempt is wanted.
  Token,   ///< By a token of the retry budget.
  Free,    ///< It needs none, as the last attempt reached no server.
  Refused, ///< The budget has no token.
};

/// Logs and counts that \p attempt ended because of \p why. \p next says what
/// follows, \p payment how it is paid for; \p tokens are left in the budget.
void logAttemptEnd(Metrics &counters, const AcceptedCall &call,
                   const detail::Attempt &attempt, const EventRelay &stream,
                   const PromptParts &parts, int runs, std::string_view why,
                   std::string_view next, RetryPayment payment, double tokens);

/// Logs that the server of \p attempt sends nothing and is kept because of
/// \p why.
void logServerKept(const AcceptedCall &call, const detail::Attempt &attempt,
                   const EventRelay &stream, std::string_view why);

/// What the caller of a request got.
struct FinalAnswer {
  int Status = 0; ///< 0: the connection was closed.
  std::string_view Outcome;
  std::string_view Reason;
  int Runs = 0;
  std::uint64_t Events = 0;
  /// When the caller was sent the first event; empty: it was sent none.
  std::optional<Clock::time_point> FirstEventAt;
  Refusal Refused = {}; ///< Its RetryAfter is zero unless the call was refused.
};

/// Logs and counts that \p call has ended with \p answer.
void logAnswer(Metrics &counters, const AcceptedCall &call,
               const FinalAnswer &answer);

} // namespace greengagespar

#endif // GREENGAGESPAR_DIRECT_EXCHANGE_LOG_H
