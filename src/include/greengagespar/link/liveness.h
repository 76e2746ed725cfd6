/// \file
/// Detects whether the process at the other end of a link answers. A connection
/// can become unresponsive for good while new connections to the same process
/// work, so an unresponsive link is reopened before its peer counts as lost.
/// Pure functions over a plain struct; thread safe as long as one state is used
/// by one thread.
#ifndef GREENGAGESPAR_LINK_LIVENESS_H
#define GREENGAGESPAR_LINK_LIVENESS_H

#include "greengagespar/base/clock.h"
#include <optional>

namespace greengagespar {

/// When a link is probed, reopened and declared lost.
struct LivenessLimits {
  /// A link with calls is probed when no data was received for this long.
  std::chrono::milliseconds BusyProbeDelay{100};
  /// A link without calls is probed when no data was received for this long.
  std::chrono::milliseconds IdleProbeDelay{500};
  /// A probe is repeated when it has not been answered for this long.
  std::chrono::milliseconds ProbeRetryDelay{50};
  /// A link that is up is reopened when the peer has not answered for this
  /// long, counted from the first unanswered probe.
  std::chrono::milliseconds ReopenAfter{300};
  /// The peer is declared lost when it has not answered on the new connection
  /// for this long.
  std::chrono::milliseconds LostAfter{300};
  /// While a peer does not answer at all, its link is reopened at this
  /// interval.
  std::chrono::milliseconds LostRetryInterval{1000};
};

/// Whether the peer answers, as far as is known.
enum class LinkPhase {
  Connecting, ///< The peer has not yet sent anything on this link.
  Up,         ///< The peer answers.
  Reopened,   ///< The connection failed or got no answer; a new one is tried.
  Lost,       ///< No answer on the new connection either.
};

/// The state of one link.
struct Liveness {
  LinkPhase Phase = LinkPhase::Connecting;
  Clock::time_point LastReceivedAt;
  Clock::time_point LastProbeAt;
  /// When the first probe that is still unanswered was sent, the link was
  /// reopened or declared lost, or its connection failed, whichever was last.
  /// Empty when no answer is outstanding.
  std::optional<Clock::time_point> UnansweredSince;
};

/// What the owner of a link has to do now.
enum class LinkStep {
  Nothing,
  Probe,      ///< Send a probe.
  Reopen,     ///< Open a new connection, then send a probe.
  DeclareLost ///< Resolve the calls on this link without its peer.
};

/// Decides what to do at \p now and updates \p link. \p isBusy: calls are in
/// progress on the link.
LinkStep decideLink(Liveness &link, const LivenessLimits &limits, bool isBusy,
                    Clock::time_point now);

/// Records that a message was received from the peer. Returns true when the
/// link was not up before, so that calls on it must be resumed.
bool recordReceived(Liveness &link, Clock::time_point now);

/// Records that a message could not be sent because there is no connection.
void recordNoConnection(Liveness &link, Clock::time_point now);

} // namespace greengagespar

#endif // GREENGAGESPAR_LINK_LIVENESS_H
