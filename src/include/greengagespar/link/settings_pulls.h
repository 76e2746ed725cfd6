/// \file
/// Requests settings from other processes and waits for the answers.
#ifndef GREENGAGESPAR_LINK_SETTINGS_PULLS_H
#define GREENGAGESPAR_LINK_SETTINGS_PULLS_H

#include "greengagespar/base/clock.h"
#include "greengagespar/base/errors.h"
#include "greengagespar/base/ids.h"
#include "greengagespar/base/timer.h"
#include "greengagespar/link/link.pb.h"
#include <functional>
#include <map>
#include <string>

namespace greengagespar {

/// How long a peer may take to answer.
inline constexpr std::chrono::milliseconds PullTimeout{1000};

/// Pulls in progress, at most one for each peer. Not thread safe: belongs to
/// the thread of its loop.
class SettingsPulls {
public:
  /// Sends an envelope to a peer. Returns false when it was not sent.
  using Send = std::function<bool(const Address &peer, wire::Envelope &)>;
  /// Receives the text of the settings or an error.
  using Done = std::function<void(Result<std::string>)>;

  /// Precondition: \p loop outlives this object.
  SettingsPulls(event_base *loop, Send send);

  /// Requests the settings newer than \p since from \p peer. Calls \p done
  /// exactly once, from the loop's thread: with the peer's text, or with
  /// LinkDown after PullTimeout or when a later pull from the same peer
  /// replaces this one. As long as the request can't be sent, it is tried
  /// again.
  void pull(const Address &peer, Generation since, Done done);

  /// Handles an answer of \p peer. It is ignored when no pull from \p peer is
  /// in progress.
  void handleAnswer(const Address &peer, const wire::Settings &settings);

private:
  struct Pull {
    Generation Since;
    Done Finish;
    Clock::time_point Expires;
    bool IsSent = false;
  };

  void tick();
  void trySend(const Address &peer, Pull &pull);

  Send SendTo;
  std::map<Address, Pull> Pending;
  Timer Tick;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_LINK_SETTINGS_PULLS_H
