/// \file
/// Keeps one process at the newest accepted settings, which it reads from the
/// platform or pulls from peers. In the role Accepts it also accepts the
/// settings that teams write.
#ifndef GREENGAGESPAR_CONFIG_CONFIG_FOLLOWER_H
#define GREENGAGESPAR_CONFIG_CONFIG_FOLLOWER_H

#include "greengagespar/base/timer.h"
#include "greengagespar/config/decide.h"
#include "greengagespar/config/platform_reader.h"
#include "greengagespar/config/snapshot.h"
#include "greengagespar/config/team_acceptor.h"
#include "greengagespar/store/object_client.h"
#include "greengagespar/store/prefix_watch.h"
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace greengagespar {

/// The part that a process plays in accepting and distributing settings.
enum class ConfigRole {
  Follows, ///< Pulls from peers; reads the platform if that fails.
  Watches, ///< Watches the index on the platform; its peers pull from it.
  Accepts, ///< Watches the index and accepts the settings that teams write.
};

/// Options of ConfigFollower.
struct ConfigFollowerOptions {
  ConfigRole Role = ConfigRole::Watches;
  ConfigLimits Limits;
  /// Longest wait of one poll of the index. It is short because the process
  /// detects an unresponsive connection only after this wait.
  std::chrono::milliseconds IndexWait{2000};
  /// Longest wait of one poll of the objects that teams write.
  std::chrono::milliseconds TeamsWait{4000};
  BackoffOptions Retry; ///< Delays after a failed read of the platform.
  /// After a failed pull, the process reads the platform within this time,
  /// unless another peer sends the settings first. The delay is random.
  std::chrono::milliseconds PeerGrace{10000};
  /// A starting process that can pull from peers waits a random time up to this
  /// before it reads the platform, so that processes that start together do not
  /// all read at once.
  std::chrono::milliseconds StartSpread{200};
  TeamAcceptorOptions Acceptor;
  std::uint64_t Seed = 1; ///< Seed of the random delays.
};

/// Callbacks to the owner of a ConfigFollower.
struct ConfigFollowerHooks {
  using PullAnswer = std::function<void(Result<std::string>)>;

  /// Called when new settings are in force. Generations only increase.
  std::function<void(std::shared_ptr<const Contract>)> OnContract;
  /// Requests the settings accepted after \p since from \p peer, which answers
  /// with ConfigFollower::serve(since). Must call \p done exactly once, with a
  /// failure when its own timeout expires. Empty: there are no peers.
  std::function<void(const Address &peer, Generation since, PullAnswer done)>
      Pull;
  /// Same as TeamAcceptorHooks::Turn.
  std::function<std::size_t(const TeamId &)> Turn;
  /// Returns the place of this process among those that watch the platform;
  /// empty: it is the only one.
  std::function<PollSlot()> Slot = {};
};

/// Keeps the newest accepted settings in force in this process. Not thread
/// safe: used on the thread of its loop only.
class ConfigFollower {
public:
  /// Precondition: \p loop and \p client outlive the follower.
  ConfigFollower(event_base *loop, ObjectClient &client,
                 ConfigFollowerOptions options, ConfigFollowerHooks hooks);

  /// Starts to read and to watch, as the role says. Call once.
  void start();
  /// Changes the role, which starts or stops the watches of the platform. Call
  /// it when a change of membership moves a role to or from this process.
  void setRole(ConfigRole role);

  /// Handles the generation \p at that a message of \p peer carried. Cheap when
  /// the generation is not new.
  void onPeerGeneration(const Address &peer, Generation at);

  /// Returns the text to send to a peer whose settings are of generation
  /// \p since. Empty while this process has no settings.
  std::string serve(Generation since) const;

  /// Returns the generation in force in this process; empty if there is none.
  std::optional<Generation> generation() const { return State.Installed; }
  /// Returns the settings in force in this process; without teams if there are
  /// none.
  const Snapshot &held() const { return Held; }
  /// Returns whether this process may serve calls with its settings, see
  /// isReady.
  bool ready() const { return isReady(State, Clock::now()); }

private:
  void tick();
  void handle(const ConfigEvent &event);
  void act(const PullFromPeer &action);
  void act(const ReadPlatform &action);
  void act(const InstallSettings &action);
  void handlePullResult(const Address &peer, Result<std::string> result);
  void handleReadResult(Result<Snapshot> result);
  void indexChanged(const PrefixChange &change);
  void updateNewestIndex(const IndexObject &index);
  void applyRole();
  Clock::duration randomDelay(std::chrono::milliseconds within);

  event_base *Loop;
  ObjectClient &Client;
  ConfigFollowerOptions Options;
  ConfigFollowerHooks Hooks;
  std::mt19937_64 Rng;
  Backoff ReadDelay;
  ConfigState State;
  Snapshot Held;      ///< Settings in force.
  Snapshot Candidate; ///< Received last; put in force if it is newer.
  /// Newest index that the watch or the acceptor reported.
  std::optional<IndexObject> NewestIndex;
  PlatformReader Reader;
  PrefixWatch IndexWatch;
  PrefixWatch TeamsWatch;
  std::unique_ptr<TeamAcceptor> Acceptor;
  Timer Tick;
  Guard CallbackGuard;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_CONFIG_CONFIG_FOLLOWER_H
