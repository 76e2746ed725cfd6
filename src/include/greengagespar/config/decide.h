/// \file
/// How one process comes to the newest accepted settings: the decisions, free
/// of input and output. spec/settings.pml models these functions. Pure; thread
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

/// Times of the decisions.
struct ConfigLimits {
  /// A starting process that has settings waits for better ones this long.
  std::chrono::milliseconds Gather{1000};
  /// Without any word from a peer for this long, a process that does not watch
  /// the platform reads it.
  std::chrono::milliseconds Isolated{15000};
};

/// What one process knows about the settings.
struct ConfigState {
  ConfigLimits Limits;
  bool Watches = false; ///< This process watches the platform.
  Clock::time_point StartedAt;
  std::optional<Generation> Installed; ///< In force here; only goes up.
  Generation Known;           ///< Highest that this process has heard of.
  std::set<Address> Ahead;    ///< Peers that mentioned Known.
  std::set<Address> Asked;    ///< Peers with a pull in progress.
  bool Reading = false;       ///< A read of the platform is in progress.
  Clock::time_point NextRead; ///< No read of the platform before this.
  /// Peers have failed it since it fell behind: the platform is read then.
  std::optional<Clock::time_point> ReadDue;
  Clock::time_point LastWord;    ///< Last message from a peer or the platform.
  bool PlatformAnswered = false; ///< Since the start.
};

/// A peer's message carried its generation.
struct PeerMentioned {
  Address Peer;
  Generation At;
};
/// The platform's watch showed an index.
struct IndexSeen {
  Generation At;
};
/// Settings that are complete have come in.
struct SnapshotRead {
  std::optional<Address> Peer; ///< Empty: from the platform.
  Generation At;
  /// How long the platform is left alone if this was less than is known.
  Clock::duration Delay{};
};
/// A pull failed, or the peer is gone.
struct PullFailed {
  Address Peer;
  /// How long the platform is left alone, so that other peers are asked first.
  Clock::duration Delay{};
};
/// A read of the platform failed; the next one not before a delay.
struct ReadFailed {
  Clock::duration Delay{};
};
/// Time went by. Send one a few times a second.
struct ConfigTick {};

/// Everything that a process reacts to.
using ConfigEvent = std::variant<PeerMentioned, IndexSeen, SnapshotRead,
                                 PullFailed, ReadFailed, ConfigTick>;

/// Ask a peer for its settings.
struct PullFromPeer {
  Address Peer;
};
/// Read the index and the settings that it refers to.
struct ReadPlatform {};
/// Put the settings that have just come in in force.
struct InstallSettings {
  Generation At;
};

/// Everything that the decisions ask for.
using ConfigAction = std::variant<PullFromPeer, ReadPlatform, InstallSettings>;

/// Decides on \p event at \p now.
std::vector<ConfigAction> decideConfig(ConfigState &state,
                                       const ConfigEvent &event,
                                       Clock::time_point now);

/// Whether this process may serve: it has settings, and either the platform
/// has answered or it has waited long enough for peers with newer ones.
bool isReady(const ConfigState &state, Clock::time_point now);

/// What an endpoint process does with a call that carries a generation.
enum class Fence {
  Run,
  Refuse,    ///< StaleSettings, "not run", with this process's generation.
  PullFirst, ///< The sender knows more: pull from it, then decide again.
};

/// Decides on a call under \p call at a process that holds the settings of
/// \p mine. A generation that a peer mentioned but whose settings have not come
/// in does not count: if they are lost for the length of an outage, calls go on
/// under the newest settings that there are. A process without settings pulls
/// first.
Fence decideFence(Generation call, std::optional<Generation> mine);

} // namespace greengagespar

#endif // GREENGAGESPAR_CONFIG_DECIDE_H
