#include "greengagespar/direct/attempts.h"

namespace greengagespar {

namespace {

// Returns how the entry answers the caller when it makes no other attempt.
NextStep finalStep(const AttemptHistory &history, AttemptEnd end) {
  if (end == AttemptEnd::Failed)
    return NextStep::ForwardAnswer;
  return history.Runs > 0 ? NextStep::FailUnknown : NextStep::Refuse;
}

} // namespace

NextDecision decideNext(const AttemptHistory &history, AttemptEnd end) {
  NextStep last = finalStep(history, end);
  if (history.Runs > 0 && !history.IsRepeatable)
    return {last, "may_have_run"};
  if (history.Runs >= history.AllowedRuns)
    return {last, "attempts_used"};
  if (history.Refusals >= MaxRefusals)
    return {last, "no_server_takes_it"};
  if (history.TimeLeft < MinAttemptTime)
    return {last, "no_time"};
  return {NextStep::SendAgain, "again"};
}

bool canServeBeforeEnd(RequestKind kind, Clock::duration left,
                       Clock::duration untilEnd) {
  return untilEnd >= (kind == RequestKind::Stream ? StreamDuration : left);
}

} // namespace greengagespar
