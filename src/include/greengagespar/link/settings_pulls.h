/// \file
/// Asks other processes for their settings and waits for the answers.
#ifndef GREENGAGESPAR_LINK_SETTINGS_PULLS_H
#define GREENGAGESPAR_LINK_SETTINGS_PULLS_H

#include "greengagespar/base/clock.h"
#include "greengagespar/base/errors.h"
#include "greengagespar/base/ids.h"
#include "greengagespar/link/link.pb.h"
#include "greengagespar/store/timer.h"
#include <functional>
#include <map>
#include <string>

namespace greengagespar {

/// How long a peer has to answer.
inline constexpr std::chrono::milliseconds PullTimeout{1000};

/// Pulls in progress, at most one for each peer. Not thread safe: belongs to
/// the thread of its loop.
class SettingsPulls {
public:
  /// Sends to a peer; false when it can't be sent now.
  using Send = std::function<bool(const Address &peer, wire::Envelope &)>;
  using Done = std::function<void(Result<std::string>)>;

  /// Precondition: \p loop outlives this object.
  SettingsPulls(event_base *loop, Send send);

  /// Asks \p peer for what is newer than \p since. Calls \p done exactly once,
  /// from the loop: with the peer's text, or with LinkDown after PullTimeout.
  /// While there is no connection it tries again.
  void pull(const Address &peer, Generation since, Done done);

  /// Takes in an answer of \p peer. One that nobody waits for is dropped.
  void answered(const Address &peer, const wire::Settings &settings);

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
  std::map<Address, Pull> Open;
  Timer Tick;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_LINK_SETTINGS_PULLS_H
