/// \file
/// The settings of the endpoint process. It receives them from entries, reads
/// them from the platform only when it receives messages from no entry, and
/// compares their generation with that of each call. Not thread safe: used from
/// the loop's thread only.
#ifndef GREENGAGESPAR_ENDPOINT_SETTINGS_FENCE_H
#define GREENGAGESPAR_ENDPOINT_SETTINGS_FENCE_H

#include "greengagespar/config/config_follower.h"
#include "greengagespar/endpoint/endpoint_settings.h"
#include "greengagespar/link/link.h"
#include "greengagespar/link/settings_pulls.h"
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace greengagespar {

/// Longest time that a call waits for the settings that it was sent under.
inline constexpr std::chrono::milliseconds MaxHoldTime{500};

/// Most bytes of calls that wait for settings.
inline constexpr std::size_t MaxHeldBytes = std::size_t{4} << 20;

/// A call that waits for settings. It has not run.
struct HeldRun {
  PeerId Peer;            ///< The entry that answers go to.
  wire::Envelope Message; ///< The entry's order to run the call.
  Clock::time_point Since;
};

/// Functions that the owner of the fence provides.
struct SettingsFenceHooks {
  /// Sends a message to a peer; returns false when it can't be sent.
  std::function<bool(const PeerId &, wire::Envelope &)> Send;
  /// Called when new settings are in force.
  std::function<void(std::shared_ptr<const Contract>)> OnContract;
  /// Called to handle a held call again, since new settings are in force. Its
  /// remaining time is shortened by its wait.
  std::function<void(const HeldRun &)> OnReleased;
  /// Called when a held call has waited too long; it has not run.
  std::function<void(const HeldRun &)> OnExpired;
};

/// Keeps the settings of an endpoint process and checks each call's generation
/// of the settings against them.
class SettingsFence {
public:
  /// Precondition: \p base outlives the fence.
  SettingsFence(event_base *base, const EndpointSettings &settings,
                std::uint64_t seed, SettingsFenceHooks hooks);

  /// Starts to follow the settings.
  void start() { Follower.start(); }

  /// Handles what \p envelope contains about settings. Returns true when it
  /// contains nothing else.
  bool handleMessage(const PeerId &peer, const wire::Envelope &envelope);

  /// Decides whether a call that has not run here may run, must wait for newer
  /// settings, or is refused because its settings are older.
  Fence decide(const wire::Envelope &run) const;

  /// Holds a call until new settings are in force; OnReleased follows then.
  /// Returns false when the held calls would exceed MaxHeldBytes.
  bool hold(const PeerId &peer, const wire::Envelope &run);

  /// Returns whether \p call is held. If so, its messages go to \p peer from
  /// now on.
  bool redirect(const CallId &call, const PeerId &peer);

  /// Stops holding calls that have waited for MaxHoldTime; OnExpired follows.
  void tick(Clock::time_point now);

private:
  ConfigFollowerHooks followerHooks();
  void releaseHeldCalls();

  SettingsFenceHooks Hooks;
  ObjectClient Platform;
  SettingsPulls Pulls;
  ConfigFollower Follower;
  std::unordered_map<CallId, HeldRun> Held;
  std::size_t HeldBytes = 0;
  Timer ReleaseTimer;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_ENDPOINT_SETTINGS_FENCE_H
