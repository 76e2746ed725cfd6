/// \file
/// The entry's links to other entries. They carry heartbeats, membership, and
/// settings for peers that request them. Not thread safe: used from the loop's
/// thread only.
///
/// PartnerLimits bounds messages and bytes, however many entries n there are.
/// With p partners (of the n of the own data centre all if n <= Mesh, otherwise
/// Near, and Far of other data centres) an entry sends p digests and, on
/// average, p answers each HeartbeatInterval: 4 p messages a second, each of at
/// most 1 + DigestRows rows, apart from urgent rows and a row that corrects the
/// receiver. docs/design/03-membership.md gives the figures.
#ifndef GREENGAGESPAR_PEERS_PEER_LINKS_H
#define GREENGAGESPAR_PEERS_PEER_LINKS_H

#include "greengagespar/base/timer.h"
#include "greengagespar/host/member.h"
#include "greengagespar/host/partners.h"
#include "greengagespar/link/link.h"
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
/// Most rows of other processes in one digest, without urgent ones and rows
/// that correct the receiver.
inline constexpr std::size_t DigestRows = 6;
/// Most urgent rows in one digest: of processes that have just started to leave
/// or have become unresponsive.
inline constexpr std::size_t UrgentRows = 24;
/// Most processes in the view of an entry, and most seeds.
inline constexpr std::size_t MaxMembers = 4096;
inline constexpr std::size_t MaxSeeds = 1024;

/// Callbacks to the owner of the links, called from the loop's thread.
struct PeerLinksHooks {
  /// Returns this process's row; PeerLinks sets its heartbeat and link address.
  std::function<MemberRow()> OwnRow;
  /// A message of \p peer reported the generation of its settings.
  std::function<void(const Address &peer, Generation at)> OnGeneration;
  /// Returns the settings newer than a generation, for a peer that requests
  /// them.
  std::function<std::string(Generation since)> Serve;
  /// A peer's answer to a pull.
  std::function<void(const Address &peer, const wire::Settings &)> OnSettings;
  /// A process joined, started to leave, became unresponsive, returned or was
  /// replaced.
  std::function<void()> OnChange;
  /// Peers know the incarnation \p life at this address, which is later than
  /// this process's own, or equal to it with a higher heartbeat. This process
  /// must change to a later incarnation, otherwise peers ignore its rows.
  std::function<void(Incarnation life)> OnLaterIncarnation;
  /// Adds what else peers should know to a digest; may be empty.
  std::function<void(wire::Members &digest)> AddToDigest = {};
  /// Reads what AddToDigest of a peer has added. Returns whether it is news,
  /// which is then passed on at once; may be empty.
  std::function<bool(const wire::Members &digest)> OnDigest = {};
};

/// Counters of the traffic that this entry has sent to other entries.
struct PeerCounts {
  std::uint64_t Messages = 0;
  std::uint64_t Bytes = 0; ///< Of the envelopes, without the overhead of TCP.
};

/// All links of an entry to other entries.
class PeerLinks {
public:
  /// Precondition: \p base, \p context and \p self outlive this object.
  PeerLinks(event_base *base, zmq::context_t &context, const LinkIdentity &self,
            MemberView view, PeerLinksHooks hooks,
            const PartnerLimits &limits = {});

  /// Listens and starts the heartbeats. Fails with LinkDown when the address
  /// can't be bound.
  Result<void> start();

  /// Adds link addresses at which other entries may be found, up to MaxSeeds.
  void addSeeds(const std::vector<Address> &seeds);

  /// Starts a round of heartbeats at once, for example because this process is
  /// leaving.
  void announce();
  /// Starts a round of heartbeats as soon as the last one is MinRoundGap ago.
  /// Further calls until then start none of their own.
  void announceNews();

  /// Sends \p envelope to the entry at \p peer, over a new link if there is
  /// none. Returns false when it was not sent.
  bool send(const Address &peer, wire::Envelope &envelope);

  const MemberView &view() const { return View; }
  const PeerCounts &counts() const { return Counts; }

private:
  struct Peer {
    std::unique_ptr<LinkClient> Client;
    Clock::time_point LastReceivedAt;
    Clock::time_point LastUsed;
  };

  void tick();
  void startRound();
  void sweep(Clock::time_point now);
  bool sendDigest(const Address &partner);
  void fillDigest(wire::Members &message, bool wantsAnswer);
  void addUrgent(const Address &member);
  Peer &open(const Address &address);
  void closeUnused(Clock::time_point now);
  void onRequest(const PeerId &from, const wire::Envelope &envelope);
  void onAnswer(const Address &peer, const wire::Envelope &envelope);
  void handleMembers(const wire::Envelope &envelope);
  bool merge(const MemberRow &row);
  void answerDigest(const PeerId &to, const wire::Members &request);
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
  std::vector<Address> Unsent; ///< Partners without a digest in this round.
  /// Processes that have started to leave or have become unresponsive; their
  /// rows go into every digest until the next round is sent.
  std::set<Address> Urgent;
  std::uint64_t Rounds = 0;
  Clock::time_point LastRoundAt{}; ///< When the last round was started.
  Clock::time_point NextRound;
  PeerCounts Counts;
  std::mt19937_64 Rng;
  Timer NewsRound; ///< Starts the round of announceNews().
  Timer Tick;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_PEERS_PEER_LINKS_H
