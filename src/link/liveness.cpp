#include "greengagespar/link/liveness.h"

namespace greengagespar {

namespace {

// Returns how long an answer may be outstanding in the link's phase.
std::chrono::milliseconds answerTimeout(const Liveness &link,
                                        const LivenessLimits &limits) {
  switch (link.Phase) {
  case LinkPhase::Up:
    return limits.ReopenAfter;
  case LinkPhase::Reopened:
    return limits.LostAfter;
  default:
    return limits.LostRetryInterval;
  }
}

// Moves the link to its next phase after answerTimeout().
LinkStep handleTimeout(Liveness &link, Clock::time_point now) {
  link.UnansweredSince = now;
  link.LastProbeAt = now;
  if (link.Phase == LinkPhase::Up) {
    link.Phase = LinkPhase::Reopened;
    return LinkStep::Reopen;
  }
  if (link.Phase == LinkPhase::Reopened) {
    link.Phase = LinkPhase::Lost;
    return LinkStep::DeclareLost;
  }
  return LinkStep::Reopen;
}

} // namespace

LinkStep decideLink(Liveness &link, const LivenessLimits &limits, bool isBusy,
                    Clock::time_point now) {
  if (link.UnansweredSince &&
      now - *link.UnansweredSince >= answerTimeout(link, limits))
    return handleTimeout(link, now);
  if (link.UnansweredSince) {
    if (now - link.LastProbeAt < limits.ProbeRetryDelay)
      return LinkStep::Nothing;
  } else {
    auto probeDelay = isBusy ? limits.BusyProbeDelay : limits.IdleProbeDelay;
    if (now - link.LastReceivedAt < probeDelay)
      return LinkStep::Nothing;
    link.UnansweredSince = now;
  }
  link.LastProbeAt = now;
  return LinkStep::Probe;
}

bool recordReceived(Liveness &link, Clock::time_point now) {
  bool wasDown = link.Phase != LinkPhase::Up;
  link.Phase = LinkPhase::Up;
  link.LastReceivedAt = now;
  link.UnansweredSince.reset();
  return wasDown;
}

void recordNoConnection(Liveness &link, Clock::time_point now) {
  if (link.Phase != LinkPhase::Up)
    return;
  link.Phase = LinkPhase::Reopened;
  link.UnansweredSince = now;
}

} // namespace greengagespar
