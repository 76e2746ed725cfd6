#include "greengagespar/link/liveness.h"

namespace greengagespar {

namespace {

// How long the link may owe an answer in its phase.
std::chrono::milliseconds patience(const Liveness &link,
                                   const LivenessLimits &limits) {
  switch (link.Phase) {
  case LinkPhase::Up:
    return limits.Silence;
  case LinkPhase::Reopened:
    return limits.FreshSilence;
  default:
    return limits.LostRetry;
  }
}

LinkStep outOfPatience(Liveness &link, Clock::time_point now) {
  link.Unanswered = now;
  link.LastProbe = now;
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
  if (link.Unanswered && now - *link.Unanswered >= patience(link, limits))
    return outOfPatience(link, now);
  if (link.Unanswered) {
    if (now - link.LastProbe < limits.ProbeAgain)
      return LinkStep::Nothing;
  } else {
    auto quiet = isBusy ? limits.ProbeBusy : limits.ProbeIdle;
    if (now - link.LastHeard < quiet)
      return LinkStep::Nothing;
    link.Unanswered = now;
  }
  link.LastProbe = now;
  return LinkStep::Probe;
}

bool noteHeard(Liveness &link, Clock::time_point now) {
  bool wasDown = link.Phase != LinkPhase::Up;
  link.Phase = LinkPhase::Up;
  link.LastHeard = now;
  link.Unanswered.reset();
  return wasDown;
}

void noteNoConnection(Liveness &link, Clock::time_point now) {
  if (link.Phase != LinkPhase::Up)
    return;
  link.Phase = LinkPhase::Reopened;
  link.Unanswered = now;
}

} // namespace greengagespar
