/// \file
/// The entry's links to other entries: heartbeats, membership, and settings for
/// those that ask. Not thread safe: used from the loop's thread only.
///
/// Messages and bytes do not grow with the number of entries n beyond the
/// bounds of PartnerLimits. With p partners (p = min(n of the own data centre,
/// Mesh or Near) + Far) an entry sends p digests and, on average, p answers
/// each HeartbeatInterval: 4 p messages a second, each of at most
/// 1 + DigestRows rows. docs/design/03-membership.md gives the figures.
#ifndef GREENGAGESPAR_PEERS_PEER_LINKS_H
#define GREENGAGESPAR_PEERS_PEER_LINKS_H

#include "greengagespar/host/member.h"
#include "greengagespar/host/partners.h"
#include "greengagespar/link/link.h"
#include "greengagespar/store/timer.h"
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace greengagespar {

/// Time between two rounds of heartbeats.
inline constexpr std::chrono::milliseconds HeartbeatInterval{500};
/// Most rows of others in one message.
inline constexpr std::size_t DigestRows = 6;
/// Most processes that an entry keeps in mind, and most seeds.
inline constexpr std::size_t MaxMembers = 4096;
inline constexpr std::size_t MaxSeeds = 1024;

/// What the owner of the links is told and asked.
struct PeerLinksHooks {
  /// This process's row; heartbeat and link address are filled in.
  std::function<MemberRow()> OwnRow;
  /// A message of \p peer carried its generation.
  std::function<void(const Address &peer, Generation at)> OnMentioned;
  /// The settings newer than a generation, for a peer that asks.
  std::function<std::string(Generation since)> Serve;
  /// A peer's answer to a pull.
  std::function<void(const Address &peer, const wire::Settings &)> OnSettings;
  /// A process came, left, fell silent or returned.
  std::function<void()> OnChange;
  /// Peers remember \p life of this address, which does not lie before this
  /// process's own: it must take a later one.
  std::function<void(Incarnation life)> OnOutlived;
};

/// Counters of the traffic between entries.
struct PeerCounts {
  std::uint64_t Messages = 0; ///< Sent.
  std::uint64_t Bytes = 0;    ///< Sent, without TCP's own.
};

/// All links of an entry to other entries.
class PeerLinks {
public:
  /// Precondition: \p base, \p context and \p self outlive this object.
  PeerLinks(event_base *base, zmq::context_t &context, const LinkIdentity &self,
            MemberView view, PeerLinksHooks hooks,
            const PartnerLimits &limits = {});

  /// Listens and begins the heartbeats. Fails with LinkDown when the address
  /// can't be bound.
  Result<void> start();

  /// Adds link addresses from which other entries may be found.
  void addSeeds(const std::vector<Address> &seeds);

  /// Sends a round at once, for example because this process is leaving.
  void announce();

  /// Sends \p envelope to the entry at \p peer, over a new link if there is
  /// none. Returns false when it was not sent.
  bool send(const Address &peer, wire::Envelope &envelope);

  const MemberView &view() const { return View; }
  const PeerCounts &counts() const { return Counts; }

private:
  struct Peer {
    std::unique_ptr<LinkClient> Client;
    Clock::time_point LastHeard;
    Clock::time_point LastUsed;
  };

  void tick();
  void round();
  void sweep(Clock::time_point now);
  bool sendDigest(const Address &partner);
  void fillDigest(wire::Members &message, bool wantsAnswer);
  Peer &open(const Address &address);
  void closeUnused(Clock::time_point now);
  void onRequest(const PeerId &from, const wire::Envelope &envelope);
  void onAnswer(const Address &peer, const wire::Envelope &envelope);
  void take(const wire::Envelope &envelope);
  bool merge(const MemberRow &row);
  void answerDigest(const PeerId &to, const wire::Members &asked);
  void answerPull(const PeerId &to, const wire::PullSettings &pull);
  void count(const wire::Envelope &envelope);

  event_base *Base;
  zmq::context_t &Context;
  const LinkIdentity &Self;
  MemberView View;
  PeerLinksHooks Hooks;
  PartnerLimits Limits;
  LinkServer Server;
  std::map<Address, Peer> Peers;
  std::set<Address> Seeds;
  std::vector<Address> Partners;
  std::vector<Address> Unsent; ///< Partners that this round has not reached.
  std::set<Address> Urgent;    ///< Whose rows go into the next round's digests.
  std::uint64_t Rounds = 0;
  Clock::time_point NextRound;
  PeerCounts Counts;
  std::mt19937_64 Rng;
  Timer Tick;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_PEERS_PEER_LINKS_H
