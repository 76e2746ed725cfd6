/// \file
/// Decides what the entry does with a request after an attempt on a server
/// ended without an answer to forward. A request that may run only once is sent
/// again only after a proof that it did not run. Pure and thread safe.
#ifndef GREENGAGESPAR_DIRECT_ATTEMPTS_H
#define GREENGAGESPAR_DIRECT_ATTEMPTS_H

#include "greengagespar/base/clock.h"
#include "greengagespar/direct/site.h"
#include <cstdint>
#include <string_view>

namespace greengagespar {

/// How an attempt ended without an answer to forward.
enum class AttemptEnd {
  NotConnected, ///< No connection was made: the request was not sent.
  DidNotRun,    ///< The server reported that it did not run the request.
  Lost,         ///< No complete, usable answer arrived: it may have run.
  Failed,       ///< The server ran it and answered with a failure.
};

/// What the entry knows of a request when an attempt has ended.
struct AttemptHistory {
  bool IsRepeatable = false; ///< The request may run more than once.
  int AllowedRuns = 1;       ///< Number of servers that may run it.
  int Runs = 0;     ///< Attempts that may have run, the last one included.
  int Refusals = 0; ///< Attempts that provably did not run.
  Clock::duration TimeLeft{0}; ///< Until the request's deadline.
};

/// What the entry does next.
enum class NextStep {
  SendAgain,     ///< Send the request to another server.
  Refuse,        ///< It has not run and never will: report that to the caller.
  FailUnknown,   ///< It may have run: report a failure that says nothing of it.
  ForwardAnswer, ///< Forward the server's own failure to the caller.
};

/// A step and its reason, one word for the log.
struct NextDecision {
  NextStep Step = NextStep::FailUnknown;
  std::string_view Reason;
};

/// Number of attempts that did not run after which the entry refuses a request.
inline constexpr int MaxRefusals = 4;

/// Least time that another attempt needs.
inline constexpr std::chrono::milliseconds MinAttemptTime{20};

/// Decides what follows an attempt that ended with \p end.
NextDecision decideNext(const AttemptHistory &history, AttemptEnd end);

/// Time that a usual stream needs from its request to its end while the system
/// is busy.
inline constexpr std::chrono::milliseconds StreamDuration{4800};

/// Returns whether an entry that ends in \p untilEnd can still serve a new
/// request of \p kind that has \p left until its deadline. If not, another
/// entry should. A request for a whole answer has its answer, if only that of
/// its deadline, before the entry ends, however slow its server is. The
/// deadline of streams is many times as long as most of them take.
bool canServeBeforeEnd(RequestKind kind, Clock::duration left,
                       Clock::duration untilEnd);

} // namespace greengagespar

#endif // GREENGAGESPAR_DIRECT_ATTEMPTS_H
