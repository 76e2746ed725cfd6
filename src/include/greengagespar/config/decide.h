/// \file
/// Decides how one process obtains the newest accepted settings. The functions
/// do no input or output; spec/settings_spread.pml models them. Pure; thread
/// safe on separate values.
#ifndef GREENGAGESPAR_CONFIG_DECIDE_H
#define GREENGAGESPAR_CONFIG_DECIDE_H

#include "greengagespar/base/clock.h"
#include "greengagespar/base/ids.h"
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace greengagespar {

/// Time limits of the decisions.
struct ConfigLimits {
  /// How long a starting process with settings from peers waits for newer ones
  /// before it may serve without an answer of the platform.
  std::chrono::milliseconds GatherTime{1000};
  /// A process that does not watch the platform reads it when it has received
  /// nothing from a peer or the platform for longer than this.
  std::chrono::milliseconds IsolationTimeout{15000};
};

/// What one process knows about the settings and their sources.
struct ConfigState {
  ConfigLimits Limits;
  bool Watches = false; ///< Whether this process watches the platform.
  Clock::time_point StartedAt;
  /// In force in this process; only increases. Empty: none.
  std::optional<Generation> Installed;
  Generation HighestKnown; ///< Highest that the platform or a peer reported.
  std::set<Address> PeersAhead;      ///< Peers that reported HighestKnown.
  std::set<Address> PullsInProgress; ///< Peers with a pull in progress.
  /// Whether a read of the platform is in progress.
  bool ReadInProgress = false;
  /// No read of the platform starts before this.
  Clock::time_point EarliestRead;
  /// When the process reads the platform even if it can still pull from peers.
  /// Set by the first pull since the process fell behind that did not bring it
  /// to HighestKnown. Empty: there was no such pull.
  std::optional<Clock::time_point> ReadDeadline;
  /// Time of the last message from a peer or the platform.
  Clock::time_point LastContact;
  /// Whether a read has succeeded since the start.
  bool PlatformAnswered = false;
};

/// A message of a peer carried the peer's generation.
struct PeerGenerationReceived {
  Address Peer;
  Generation At;
};
/// The watch of the platform reported the index, or that it is unchanged.
struct IndexReceived {
  Generation At;
};
/// The process received a complete snapshot of the settings.
struct SnapshotReceived {
  std::optional<Address> Peer; ///< The sender. Empty: read from the platform.
  Generation At;
  /// How long to wait before the next read of the platform if At is lower than
  /// the highest known generation.
  Clock::duration Delay{};
};
/// A pull failed, or the peer has disconnected.
struct PullFailed {
  Address Peer;
  /// How long to wait before a read of the platform, so that the process pulls
  /// from other peers first.
  Clock::duration Delay{};
};
/// A read of the platform failed.
struct ReadFailed {
  /// How long to wait before the next read of the platform.
  Clock::duration Delay{};
};
/// Triggers decisions that depend on time only. Send it a few times a second.
struct ConfigTick {};

/// Every event that decideConfig handles.
using ConfigEvent =
    std::variant<PeerGenerationReceived, IndexReceived, SnapshotReceived,
                 PullFailed, ReadFailed, ConfigTick>;

/// Request the newer settings from a peer.
struct PullFromPeer {
  Address Peer;
};
/// Read the index and the settings that it refers to from the platform.
struct ReadPlatform {};
/// Put the settings in force that the process received last.
struct InstallSettings {
  Generation At;
};

/// Every action that decideConfig requests.
using ConfigAction = std::variant<PullFromPeer, ReadPlatform, InstallSettings>;

/// Updates \p state for \p event at time \p now and returns the actions that
/// the caller must carry out, in order.
std::vector<ConfigAction> decideConfig(ConfigState &state,
                                       const ConfigEvent &event,
                                       Clock::time_point now);

/// Returns whether this process may serve calls: it has settings, and either
/// the platform has answered or ConfigLimits::GatherTime has passed since the
/// start, in which peers could send newer ones.
bool isReady(const ConfigState &state, Clock::time_point now);

/// What an endpoint process does with a call that carries a generation of the
/// settings.
enum class Fence {
  /// The generations are equal.
  Run,
  /// The sender's settings are older: answer StaleSettings and "not run", with
  /// this process's generation.
  Refuse,
  /// The sender's settings are newer: pull from it, then decide again.
  PullFirst,
};

/// Decides on a call of generation \p call at a process whose settings are of
/// generation \p mine; a process without settings (\p mine is empty) pulls
/// first. A generation that a peer reported does not count until its settings
/// have been received. If they are lost during an outage, calls continue with
/// the newest settings that are available.
Fence decideFence(Generation call, std::optional<Generation> mine);

} // namespace greengagespar

#endif // GREENGAGESPAR_CONFIG_DECIDE_H
