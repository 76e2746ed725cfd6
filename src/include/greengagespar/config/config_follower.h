/// \file
/// Keeps one process at the newest accepted settings: from the platform, from
/// peers, or both; on watchers it accepts settings too.
#ifndef GREENGAGESPAR_CONFIG_CONFIG_FOLLOWER_H
#define GREENGAGESPAR_CONFIG_CONFIG_FOLLOWER_H

#include "greengagespar/config/decide.h"
#include "greengagespar/config/platform_reader.h"
#include "greengagespar/config/snapshot.h"
#include "greengagespar/config/team_acceptor.h"
#include "greengagespar/store/object_client.h"
#include "greengagespar/store/prefix_watch.h"
#include "greengagespar/store/timer.h"
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace greengagespar {

/// What a process does for the settings of all.
enum class ConfigRole {
  Follows, ///< Learns from peers; reads the platform when it is cut off.
  Watches, ///< Watches the index, so that its peers learn from it.
  Accepts, ///< Watches, and accepts what teams write.
};

/// How settings are followed.
struct ConfigFollowerOptions {
  ConfigRole Role = ConfigRole::Watches;
  ConfigLimits Limits;
  /// Longest wait of a watch of the index. Short, because a watch that has gone
  /// silent is noticed only after it.
  std::chrono::milliseconds IndexWait{2000};
  /// Longest wait of a watch of what teams write.
  std::chrono::milliseconds TeamsWait{4000};
  BackoffOptions Retry; ///< Between reads of the platform that fail.
  /// After a failed pull, the platform is read within this time unless another
  /// peer had the settings before.
  std::chrono::milliseconds PeerGrace{10000};
  /// A starting process reads the platform within this time, so that many that
  /// start at one moment do not all read at one moment.
  std::chrono::milliseconds StartSpread{200};
  TeamAcceptorOptions Acceptor;
  std::uint64_t Seed = 1; ///< Of the random delays.
};

/// What the follower tells and asks its owner.
struct ConfigFollowerHooks {
  using PullAnswer = std::function<void(Result<std::string>)>;

  /// New settings are in force. Generations only go up.
  std::function<void(std::shared_ptr<const Contract>)> OnContract;
  /// Asks \p peer for ConfigFollower::serve(since) and hands its answer on,
  /// exactly once, a failure after a timeout of its own. Empty: no peers.
  std::function<void(const Address &peer, Generation since, PullAnswer done)>
      Pull;
  /// As TeamAcceptorHooks::Turn.
  std::function<std::size_t(const TeamId &)> Turn;
};

/// Follows the accepted settings. Not thread safe: belongs to the thread of its
/// loop.
class ConfigFollower {
public:
  /// Precondition: \p loop and \p client outlive the follower.
  ConfigFollower(event_base *loop, ObjectClient &client,
                 ConfigFollowerOptions options, ConfigFollowerHooks hooks);

  /// Starts to follow. Call once.
  void start();
  /// Takes or gives up the watching of the platform, as membership changes.
  void setRole(ConfigRole role);

  /// A message of \p peer carried \p at. Cheap when it is nothing new.
  void peerMentioned(const Address &peer, Generation at);

  /// Returns the answer to a peer that holds \p since. Empty while this process
  /// has no settings.
  std::string serve(Generation since) const;

  /// The generation in force here; empty while there is none.
  std::optional<Generation> generation() const { return State.Installed; }
  /// The settings in force here; empty while there are none.
  const Snapshot &held() const { return Held; }
  /// Whether this process has settings good enough to serve.
  bool ready() const { return isReady(State, Clock::now()); }

private:
  void tick();
  void handle(const ConfigEvent &event);
  void act(const PullFromPeer &action);
  void act(const ReadPlatform &action);
  void act(const InstallSettings &action);
  void afterPull(const Address &peer, Result<std::string> result);
  void afterRead(Result<Snapshot> result);
  void indexChanged(const PrefixChange &change);
  void indexKnown(const IndexObject &index);
  void applyRole();
  Clock::duration randomDelay(std::chrono::milliseconds within);

  event_base *Loop;
  ObjectClient &Client;
  ConfigFollowerOptions Options;
  ConfigFollowerHooks Hooks;
  std::mt19937_64 Rng;
  Backoff ReadDelay;
  ConfigState State;
  Snapshot Held;      ///< In force.
  Snapshot Candidate; ///< Came in last; put in force if it is newer.
  std::optional<IndexObject> WatchedIndex; ///< Newest that a watch showed.
  PlatformReader Reader;
  PrefixWatch IndexWatch;
  PrefixWatch TeamsWatch;
  std::unique_ptr<TeamAcceptor> Acceptor;
  Timer Tick;
  Guard Life;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_CONFIG_CONFIG_FOLLOWER_H
