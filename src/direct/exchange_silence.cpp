// How an exchange leaves a server that sends nothing for another one.
#include "exchange_log.h"
#include "greengagespar/direct/exchange.h"
#include <algorithm>

namespace greengagespar {

namespace {

using std::chrono::milliseconds;

// The exchange leaves a server that has sent nothing of a stream for this long.
// A stalled group of the platform gives its work up after 1.5 s, so the server
// probably sends nothing any more; callers close the connection after 2 s
// without data.
constexpr milliseconds StreamInactivityLimit{1700};
// The exchange sends a repeatable request for a whole answer to another server
// after this many times its route's objective without data.
constexpr double WholeAnswerInactivityFactor = 3;
// While the exchange keeps a server that sends nothing, it looks for another
// one at this interval.
constexpr milliseconds SwitchRetryInterval{100};

} // namespace

// Returns the longest time without data from the server.
Clock::duration Exchange::inactivityLimit() const {
  if (Call.MatchedRoute->Kind == RequestKind::Stream)
    return StreamInactivityLimit;
  return std::chrono::duration_cast<Clock::duration>(
      WholeAnswerInactivityFactor *
      std::chrono::duration<double, std::milli>(Call.MatchedRoute->Objective));
}

// Whether the exchange leaves the server for another one when the server
// becomes unresponsive. It does so once.
bool Exchange::watchesInactivity() const {
  return CurrentAttempt && !CurrentAttempt->IsPaused && isRepeatable() &&
         !HasSwitchedServer && Runs < Call.MatchedRoute->Attempts;
}

// Returns why the exchange keeps a server that sends nothing; empty: another
// one would take the request at once. A stream whose caller has a part of it
// would otherwise be cut, though the rest may still come; a request of which
// the caller has nothing is answered 502 and may be sent again.
std::string_view Exchange::whyKeepServer(Clock::time_point now) {
  if (!HasSentHead)
    return {};
  NextDecision next = decideNext(history(now), AttemptEnd::Lost);
  if (next.Step != NextStep::SendAgain)
    return next.Reason;
  if (!hasRetryToken(Pool.budget(), HasSentHead))
    return "retry_budget";
  PartDecision parts = decideParts(Context.Guard->Evidence, Parts.Ids, now);
  if (parts.State != PartState::Clear)
    return "suspect_part";
  std::vector<ServerId> exclude = TriedServers;
  exclude.push_back(CurrentAttempt->Server.Id);
  std::int64_t tokens =
      tokensOf(Call.Facts.PromptTokens, Call.Facts.MaxAnswerTokens);
  return Pool.canStartElsewhere(exclude, tokens) ? "" : "no_server";
}

// Sends the request to another server, unless the present one, which sends
// nothing, is kept.
void Exchange::onInactivity(Clock::time_point now) {
  std::string_view why = whyKeepServer(now);
  if (why.empty()) {
    HasSwitchedServer = true;
    return endAttempt(AttemptEnd::Lost, "silent");
  }
  if (!CurrentAttempt->SwitchAt)
    logServerKept(Call, *CurrentAttempt, Stream, why);
  CurrentAttempt->SwitchAt = now + SwitchRetryInterval;
  armTimer();
}

// Returns when the exchange looks for another server if the present one sends
// nothing until then.
Clock::time_point Exchange::switchAt() const {
  auto at = CurrentAttempt->LastReceivedAt + inactivityLimit();
  return std::max(at, CurrentAttempt->SwitchAt.value_or(at));
}

} // namespace greengagespar
