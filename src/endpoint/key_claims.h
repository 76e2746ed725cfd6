/// \file
/// How one endpoint process takes part in the votes on idempotency keys: it
/// requests votes for the calls that it wants to run, and grants its own vote
/// to other processes. This file exchanges the messages; call/key_votes.h has
/// the rules and explains the terms. Not thread safe: used from the loop's
/// thread only.
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

/// Functions that the owner of the claims provides.
struct KeyClaimHooks {
  /// Answers a message that was received on the process's own link.
  std::function<void(const PeerId &, wire::Envelope &)> Send;
  /// Called once for a claim that has won: its call may run.
  std::function<void(const KeyClaim &)> OnWon;
  /// Called when a claim can't win, after its release. \p rival is the claim
  /// that has votes instead.
  std::function<void(const KeyClaim &, const KeyClaim &rival)> OnLost;
};

/// The claims and votes of one endpoint process.
class KeyClaims {
public:
  /// Precondition: \p base, \p context and \p self outlive this object.
  KeyClaims(event_base *base, zmq::context_t &context, const LinkIdentity &self,
            ServerId server, KeyClaimHooks hooks);

  /// Uses the servers of \p contract as holders. Votes of replaced servers are
  /// still needed until the longest window has passed.
  void setContract(const Contract &contract);

  /// Records that this is the first incarnation of the process, so its memory
  /// of votes is complete.
  void setFirstIncarnation() { Memory.IsFirstIncarnation = true; }

  /// Claims \p key; OnWon or OnLost follow, unless the claim is released.
  /// Neither is called before this returns.
  KeyClaim claim(const ScopedKey &key, std::chrono::milliseconds window);

  /// Gives up a claim whose call did not run and never will. Returns whether
  /// the runner received no vote for another claim. If it received one, another
  /// server may have run the call.
  bool release(const KeyClaim &claim);

  /// Handles a message about claims or votes from another endpoint process.
  /// Returns false for a message of another kind.
  bool handleMessage(const PeerId &peer, const wire::Envelope &envelope);

  /// Sends open claims again, requests lost votes after a restart, and forgets
  /// old votes.
  void tick(Clock::time_point now);

private:
  /// A link to another holder.
  struct HolderLink {
    std::unique_ptr<LinkClient> Client;
    /// When the request was sent that has no answer yet; empty for none.
    std::optional<Clock::time_point> AwaitingSince;
  };
  /// A claim that waits for votes.
  struct OpenClaim {
    ClaimTally Tally;
    Clock::time_point RequestedAt;
  };
  /// A set of servers that was replaced.
  struct ReplacedSet {
    std::vector<ServerId> Servers;
    Clock::time_point ReplacedAt;
  };

  void rebuildSets();
  void requestVotes(OpenClaim &claim, Clock::time_point now);
  void decideClaims();
  void requestRecovery(Clock::time_point now);
  void sendTo(const ServerId &server, wire::Envelope &envelope);
  void onHolderMessage(const ServerId &server, const wire::Envelope &envelope);
  void onClaim(const PeerId &peer, const wire::Claim &claim);
  void onRecover(const PeerId &peer, const wire::Envelope &envelope);
  void reopenUnresponsiveLinks(Clock::time_point now);

  event_base *Base;
  zmq::context_t &Context;
  const LinkIdentity &Self;
  KeyClaimHooks Hooks;
  HolderMemory Memory;
  VoteSets Sets;
  std::vector<ServerId> Servers;
  std::vector<ReplacedSet> ReplacedSets;
  std::map<ServerId, Address> Addresses;
  std::map<ServerId, HolderLink> Links;
  std::map<ScopedKey, OpenClaim> Open;
  std::uint64_t NextAttempt = 1;
  Clock::time_point RecoverySentAt;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_ENDPOINT_KEY_CLAIMS_H
