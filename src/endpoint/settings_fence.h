/// \file
/// The endpoint process's settings: learnt from entries, read from the platform
/// only when none is heard, and compared with those of each call. Not thread
/// safe: used from the loop's thread only.
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

/// How long a call waits for the settings that it was sent under.
inline constexpr std::chrono::milliseconds HoldTime{500};

/// Most bytes of calls that wait for settings.
inline constexpr std::size_t MaxHeldBytes = std::size_t{4} << 20;

/// A call that waits for settings. It has not run.
struct HeldRun {
  PeerId Peer;
  wire::Envelope Message;
  Clock::time_point Since;
};

/// What the owner of the fence does.
struct SettingsFenceHooks {
  /// Sends to a peer; false when it can't be sent.
  std::function<bool(const PeerId &, wire::Envelope &)> Send;
  /// New settings are in force.
  std::function<void(std::shared_ptr<const Contract>)> OnContract;
  /// A held call is to be looked at again: settings have come, and its time
  /// left is shortened by its wait.
  std::function<void(const HeldRun &)> OnReleased;
  /// A held call has waited too long; it has not run.
  std::function<void(const HeldRun &)> OnExpired;
};

/// Keeps the settings of an endpoint process and fences calls by them.
class SettingsFence {
public:
  /// Precondition: \p base outlives the fence.
  SettingsFence(event_base *base, const EndpointSettings &settings,
                std::uint64_t seed, SettingsFenceHooks hooks);

  /// Starts to follow the settings.
  void start() { Follower.start(); }

  /// Notes what \p envelope tells about settings. Returns whether it was about
  /// nothing else.
  bool take(const PeerId &peer, const wire::Envelope &envelope);

  /// Decides on a call that has not run here.
  Fence decide(const wire::Envelope &run) const;

  /// Keeps a call until the settings that it was sent under are here. Returns
  /// false when there is no room.
  bool hold(const PeerId &peer, const wire::Envelope &run);

  /// Whether \p call is held; its messages go to \p peer from now on.
  bool redirect(const CallId &call, const PeerId &peer);

  /// Gives up calls that have waited too long.
  void tick(Clock::time_point now);

private:
  ConfigFollowerHooks followerHooks();
  void release();

  SettingsFenceHooks Hooks;
  ObjectClient Platform;
  SettingsPulls Pulls;
  ConfigFollower Follower;
  std::unordered_map<CallId, HeldRun> Held;
  std::size_t HeldBytes = 0;
  Timer Release;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_ENDPOINT_SETTINGS_FENCE_H
