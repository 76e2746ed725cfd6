#include "greengagespar/route/stall.h"

namespace greengagespar {

void recordGroupProgress(StallState &state, Clock::time_point now) {
  state.ProgressAt = now;
}

void recordCallToGroup(StallState &state, int inFlight, Clock::time_point now) {
  // Without calls in progress there is nothing to make progress on.
  if (inFlight == 0)
    state.ProgressAt = now;
  if (isStalled(state, inFlight, now))
    state.ProbeAt = now;
}

bool isStalled(const StallState &state, int inFlight, Clock::time_point now) {
  return inFlight >= state.Limits.MinInFlight &&
         now - state.ProgressAt > state.Limits.NoProgressTime;
}

bool maySend(const StallState &state, int inFlight, Clock::time_point now) {
  return !isStalled(state, inFlight, now) ||
         now - state.ProbeAt >= state.Limits.ProbeInterval;
}

} // namespace greengagespar
