/// \file
/// Claims on idempotency keys among endpoint processes: this process as a
/// runner that needs votes, and as a holder that gives them. The rules are in
/// call/key_votes.h; this is their input and output. Not thread safe: used
/// from the loop's thread only.
#ifndef GREENGAGESPAR_ENDPOINT_KEY_CLAIMS_H
#define GREENGAGESPAR_ENDPOINT_KEY_CLAIMS_H

#include "greengagespar/call/key_votes.h"
#include "greengagespar/contract/contract.h"
#include "greengagespar/link/link.h"
#include <functional>
#include <map>
#include <memory>
#include <optional>

struct event_base;

namespace greengagespar {

/// What the owner of the claims does.
struct KeyClaimHooks {
  /// Answers a message that came in on the process's own link.
  std::function<void(const PeerId &, wire::Envelope &)> Send;
  /// The claim has won: its call may run. Called once for a claim.
  std::function<void(const KeyClaim &)> OnWon;
  /// The claim can't win. \p rival is the claim that stands against it. The
  /// claim was released.
  std::function<void(const KeyClaim &, const KeyClaim &rival)> OnLost;
};

/// The claims and votes of one endpoint process.
class KeyClaims {
public:
  /// Precondition: \p base, \p context and \p self outlive this object.
  KeyClaims(event_base *base, zmq::context_t &context, const LinkIdentity &self,
            ServerId server, KeyClaimHooks hooks);

  /// Uses the servers of \p contract as holders.
  void setContract(const Contract &contract);

  /// Notes that this is the first life of the process, so that its memory is
  /// complete.
  void setFirstLife() { Memory.IsFirstLife = true; }

  /// Claims \p key; OnWon or OnLost follow, unless the claim is released.
  /// Neither is called before this returns.
  KeyClaim claim(const ScopedKey &key, std::chrono::milliseconds window);

  /// Gives up a claim whose call did not run and never will. Returns whether
  /// no vote spoke against it, so that nobody else can have run the key.
  bool release(const KeyClaim &claim);

  /// Handles a message from another endpoint process. Returns false when it is
  /// of another kind.
  bool take(const PeerId &peer, const wire::Envelope &envelope);

  /// Sends claims again, recovers votes, forgets old ones.
  void tick(Clock::time_point now);

private:
  /// A link to another holder.
  struct HolderLink {
    std::unique_ptr<LinkClient> Client;
    std::optional<Clock::time_point> AwaitSince;
  };
  /// A claim that waits for votes.
  struct OpenClaim {
    ClaimTally Tally;
    Clock::time_point AskedAt;
  };
  /// A set of servers that was replaced.
  struct PastSet {
    std::vector<ServerId> Servers;
    Clock::time_point ReplacedAt;
  };

  void rebuildSets();
  void ask(OpenClaim &claim, Clock::time_point now);
  void settleClaims();
  void recover(Clock::time_point now);
  void sendTo(const ServerId &server, wire::Envelope &envelope);
  void onHolderMessage(const ServerId &server, const wire::Envelope &envelope);
  void onClaim(const PeerId &peer, const wire::Claim &claim);
  void onRecover(const PeerId &peer, const wire::Envelope &envelope);
  void reopenSilent(Clock::time_point now);

  event_base *Base;
  zmq::context_t &Context;
  const LinkIdentity &Self;
  KeyClaimHooks Hooks;
  HolderMemory Memory;
  VoteSets Sets;
  std::vector<ServerId> Servers;
  std::vector<PastSet> Past;
  std::map<ServerId, Address> Addresses;
  std::map<ServerId, HolderLink> Links;
  std::map<ScopedKey, OpenClaim> Open;
  std::uint64_t NextAttempt = 1;
  Clock::time_point RecoverySentAt;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_ENDPOINT_KEY_CLAIMS_H
