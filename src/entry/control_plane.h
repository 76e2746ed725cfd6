/// \file
/// What an entry does apart from calls: it knows the other entries, keeps the
/// newest settings, passes them on and reports on them. Not thread safe: used
/// from the loop's thread only.
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

/// Most entries that a caller is told.
inline constexpr std::size_t MaxEntriesTold = 8;

/// An entry as callers are told of it.
struct EntryAddress {
  Address Callers;
  DataCentreId DataCentre;
};

/// What the owner is told and asked.
struct ControlPlaneHooks {
  /// New settings are in force.
  std::function<void(std::shared_ptr<const Contract>)> OnContract;
  /// The endpoint processes whose links are up.
  std::function<std::vector<MemberRow>()> Endpoints;
};

/// Membership, settings and status of one entry.
class ControlPlane {
public:
  /// Precondition: \p base, \p context and \p self outlive this object. \p self
  /// gets a later life when peers remember one of this address.
  ControlPlane(event_base *base, zmq::context_t &context,
               const EntrySettings &settings, LinkIdentity &self,
               ControlPlaneHooks hooks);

  /// Listens for peers, then finds them and the settings. Fails with LinkDown
  /// when the address can't be bound.
  Result<void> start();

  /// Tells the peers that this entry is leaving.
  void leave();

  /// The entries for a caller; \p caller spreads callers over them. Needs no
  /// platform.
  std::vector<EntryAddress> entriesFor(std::string_view caller) const;

  /// A message of \p peer carried \p at.
  void peerMentioned(const Address &peer, Generation at);

  /// The settings newer than \p since, for a process that asks.
  std::string serve(Generation since) const { return Follower.serve(since); }

  /// Whether the settings are good enough to serve.
  bool ready() const { return Follower.ready(); }

  /// Entries that take work, this one included.
  std::size_t liveEntries() const;

  const PeerCounts &peerCounts() const { return Peers.counts(); }
  const CallCounts &platformCounts() const { return Platform.counts(); }

private:
  PeerLinksHooks peerHooks();
  ConfigFollowerHooks followerHooks();
  MemberRow ownRow() const;
  void review();
  void reviewRole();
  std::size_t turnOf(const TeamId &team) const;
  MemberView allNodes() const;
  void takeLaterLife(Incarnation known);

  EntrySettings Settings;
  LinkIdentity &Self;
  ControlPlaneHooks Hooks;
  bool Leaving = false;
  bool Watches = false; ///< This entry watches the platform.
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
