#include "greengagespar/direct/attempts.h"

namespace greengagespar {

namespace {

// What to say when there is no other attempt.
NextStep lastWord(const AttemptHistory &history, AttemptEnd end) {
  if (end == AttemptEnd::Failed)
    return NextStep::PassItOn;
  return history.Runs > 0 ? NextStep::FailIt : NextStep::RefuseIt;
}

} // namespace

NextDecision decideNext(const AttemptHistory &history, AttemptEnd end) {
  NextStep last = lastWord(history, end);
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

} // namespace greengagespar
