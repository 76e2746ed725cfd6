/// \file
/// The tasks of an entry apart from calls: it tracks the other entries, keeps
/// the newest settings, passes them on and reports where they are in force. Not
/// thread safe: used from the loop's thread only.
#ifndef GREENGAGESPAR_ENTRY_CONTROL_PLANE_H
#define GREENGAGESPAR_ENTRY_CONTROL_PLANE_H

#include "entry_directory.h"
#include "greengagespar/config/config_follower.h"
#include "greengagespar/entry/entry_settings.h"
#include "greengagespar/link/settings_pulls.h"
#include "greengagespar/peers/peer_links.h"
#include "in_force_reporter.h"
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

namespace greengagespar {

/// Most entries in one answer to a caller.
inline constexpr std::size_t MaxEntriesListed = 8;

/// An entry as listed in answers to callers.
struct EntryAddress {
  Address Callers; ///< Where the entry accepts callers.
  DataCentreId DataCentre;
};

/// Functions of the owner that the control plane calls.
struct ControlPlaneHooks {
  /// Called when new settings are in force.
  std::function<void(std::shared_ptr<const Contract>)> OnContract;
  /// Returns the endpoint processes whose links are up.
  std::function<std::vector<MemberRow>()> Endpoints;
  /// What this entry adds to its digests and reads from those of others; see
  /// PeerLinksHooks.
  std::function<void(wire::Members &digest)> AddToDigest;
  std::function<bool(const wire::Members &digest)> OnDigest;
};

/// Membership, settings and status of one entry.
class ControlPlane {
public:
  /// Precondition: \p base, \p context and \p self outlive this object. \p self
  /// gets a later incarnation when peers know a row of this address that is
  /// newer than its own.
  ControlPlane(event_base *base, zmq::context_t &context,
               const EntrySettings &settings, LinkIdentity &self,
               ControlPlaneHooks hooks);

  /// Listens for peers, then finds them and the settings. Fails with LinkDown
  /// when the address can't be bound.
  Result<void> start();

  /// Notifies the peers that this entry is leaving.
  void leave();

  /// Returns at most MaxEntriesListed live entries for a caller. The hash of
  /// \p caller spreads callers over them. Works while the platform is
  /// unavailable.
  std::vector<EntryAddress> entriesFor(std::string_view caller) const;

  /// Records that a message of \p peer carried the settings generation \p at.
  /// Zero: the peer has no settings.
  void onPeerGeneration(const Address &peer, Generation at);

  /// Returns the settings newer than \p since, for a process that requests
  /// them. Empty while this entry has no settings.
  std::string serve(Generation since) const { return Follower.serve(since); }

  /// Returns whether this entry may serve calls with its settings, see isReady.
  bool ready() const { return Follower.ready(); }

  /// Returns the number of entries that accept work, this one included.
  std::size_t liveEntries() const;

  /// The processes that this entry knows of.
  const MemberView &members() const { return Peers.view(); }

  /// Sends what has changed to other entries at once.
  void announce() { Peers.announce(); }

  const PeerCounts &peerCounts() const { return Peers.counts(); }
  const CallCounts &platformCounts() const { return Platform.counts(); }

private:
  PeerLinksHooks peerHooks();
  ConfigFollowerHooks followerHooks();
  MemberRow ownRow() const;
  void onRestore(StoreTimeline before);
  void review();
  void reviewRole();
  std::size_t watcherPosition(const TeamId &team) const;
  MemberView allNodes() const;
  void raiseIncarnation(Incarnation known);

  EntrySettings Settings;
  LinkIdentity &Self;
  ControlPlaneHooks Hooks;
  bool Leaving = false;
  bool IsWatcher = false; ///< Whether this entry watches the platform.
  Clock::time_point StartedAt;
  Clock::time_point ListedAt;
  ObjectClient Platform;
  PeerLinks Peers;
  SettingsPulls Pulls;
  ConfigFollower Follower;
  EntryDirectory Directory;
  InForceReporter Reporter;
  Timer Review;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_ENTRY_CONTROL_PLANE_H
