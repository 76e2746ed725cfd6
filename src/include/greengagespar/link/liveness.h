/// \file
/// Whether the process at the other end of a link answers. A connection can go
/// silent for good while new ones work, so a silent link is opened afresh
/// before its peer counts as lost. Pure functions over a plain struct; thread
/// safe as long as one state is used by one thread.
#ifndef GREENGAGESPAR_LINK_LIVENESS_H
#define GREENGAGESPAR_LINK_LIVENESS_H

#include "greengagespar/base/clock.h"
#include <optional>

namespace greengagespar {

/// Times that decide on a link.
struct LivenessLimits {
  /// A link with calls is probed when nothing was heard for this long.
  std::chrono::milliseconds ProbeBusy{100};
  /// A link without calls is probed when nothing was heard for this long.
  std::chrono::milliseconds ProbeIdle{500};
  /// A probe is repeated when it was not answered for this long.
  std::chrono::milliseconds ProbeAgain{50};
  /// A link is opened afresh when it owes an answer for this long.
  std::chrono::milliseconds Silence{300};
  /// Its peer is lost when the fresh connection is silent for this long.
  std::chrono::milliseconds FreshSilence{300};
  /// A lost peer's link is opened afresh this often.
  std::chrono::milliseconds LostRetry{1000};
};

/// What is known of the peer.
enum class LinkPhase {
  Connecting, ///< Never heard of on this link.
  Up,         ///< Answers.
  Reopened,   ///< Went silent; a fresh connection is being tried.
  Lost,       ///< Silent on the fresh connection too.
};

/// The state of one link.
struct Liveness {
  LinkPhase Phase = LinkPhase::Connecting;
  Clock::time_point LastHeard;
  Clock::time_point LastProbe;
  /// When the first probe without an answer was sent.
  std::optional<Clock::time_point> Unanswered;
};

/// What to do about a link now.
enum class LinkStep {
  Nothing,
  Probe,      ///< Send a probe.
  Reopen,     ///< Open a fresh connection, then probe.
  DeclareLost ///< Settle the calls on this link without its peer.
};

/// Decides what to do at \p now and updates \p link.
LinkStep decideLink(Liveness &link, const LivenessLimits &limits, bool isBusy,
                    Clock::time_point now);

/// Notes that something was heard from the peer. Returns true when the link
/// was not up before, so that calls on it must be resumed.
bool noteHeard(Liveness &link, Clock::time_point now);

/// Notes that a message could not be sent because there is no connection.
void noteNoConnection(Liveness &link, Clock::time_point now);

} // namespace greengagespar

#endif // GREENGAGESPAR_LINK_LIVENESS_H
