/// \file
/// Votes on idempotency keys: which endpoint process may run the call of a
/// key.
///
/// Three endpoint processes are the holders of a key. They keep their votes on
/// it in memory only. The endpoint process that wants to run the call, its
/// runner, claims the key and may run the call when a majority of the holders
/// has granted its claim. At most one runner gets a majority, for these
/// reasons:
///
/// - A holder grants a key to one claim at a time, and two majorities of the
///   same holders have a holder in common.
/// - A restarted holder has lost its votes. It grants no vote on a key until
///   its memory of the key is complete again: the other holders of the key have
///   sent it their votes, or it has been up for the longest window, after which
///   its lost votes no longer matter. If the received votes are for different
///   claims, it can't know which one it had voted for, and grants the key to
///   neither.
/// - A vote that a holder sent before its restart may arrive late, together
///   with votes cast after the restart. A restarted holder announces its new
///   incarnation when it asks the other holders for their votes. They list it
///   in each later vote, and a runner never counts such a vote and the late one
///   in the same majority.
/// - A claim belongs to one incarnation of its runner. After a restart the
///   runner's new claim loses to its earlier one, which may have run.
/// - A runner releases a claim only if its call did not run and never will. It
///   claims a key only while it has no record of a call with that key
///   (src/endpoint/endpoint_keys.cpp).
/// - After a change of the servers, a claim needs a majority of the earlier
///   holders, too, for as long as their votes matter.
///
/// The functions are pure and work on plain structs; they are thread safe as
/// long as one memory is used by one thread. spec/key.pml models the same
/// rules.
#ifndef GREENGAGESPAR_CALL_KEY_VOTES_H
#define GREENGAGESPAR_CALL_KEY_VOTES_H

#include "greengagespar/base/clock.h"
#include "greengagespar/base/ids.h"
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace greengagespar {

/// An idempotency key of a caller and the scope inside which it is unique.
struct ScopedKey {
  std::string Scope;
  std::string Key;
  auto operator<=>(const ScopedKey &) const = default;
};

/// A claim of one endpoint process on a key.
struct KeyClaim {
  ScopedKey Key;
  ServerId Runner;               ///< The server that would run the call.
  Incarnation RunnerIncarnation; ///< Of the runner's endpoint process.
  std::uint64_t Attempt = 0;     ///< Counts the claims of one incarnation.
  std::chrono::milliseconds Window{0}; ///< How long the key is remembered.
  auto operator<=>(const KeyClaim &) const = default;
};

/// The servers whose endpoint processes hold votes, the present set first. For
/// a key's window after a change the earlier sets still count: a claim needs a
/// majority in each of them.
struct VoteSets {
  std::vector<std::vector<ServerId>> Sets;
};

/// How many holders a key has in each set.
inline constexpr std::size_t HoldersPerKey = 3;

/// Returns the holders of \p key among \p servers, by rendezvous hash.
std::vector<ServerId> holdersOf(const ScopedKey &key,
                                const std::vector<ServerId> &servers);

/// The latest incarnation of a server's endpoint process that a holder knows.
struct KnownIncarnation {
  ServerId Server;
  Incarnation Latest;
};

/// A holder's answer to a claim.
struct CastVote {
  ServerId Holder;
  Incarnation HolderIncarnation; ///< Of the holder's endpoint process.
  bool Granted = false;          ///< The claim has the holder's vote.
  /// The holder's memory of the key is complete; the vote counts only then.
  bool IsMemoryComplete = false;
  /// The claim that has the vote instead, when the vote is not granted. Empty
  /// when no claim has it.
  std::optional<KeyClaim> CurrentClaim;
  /// Latest incarnations of the key's other holders; a holder is missing if
  /// its incarnation is not known.
  std::vector<KnownIncarnation> Known;
};

/// What a holder knows of another one.
struct PeerMemory {
  Incarnation LatestIncarnation; ///< The latest one that it reported.
  /// The peer has sent its votes to this incarnation of the holder.
  bool HasAnswered = false;
  /// The peer's memory of all keys was complete when it sent them.
  bool IsComplete = false;
  /// The servers that had by then sent all their votes to the peer.
  std::set<ServerId> Recovered;
};

/// A vote that a holder has granted, or that other holders reported to it.
struct HeldVote {
  KeyClaim Claim;
  Clock::time_point RecordedAt;
  /// After a restart the other holders reported different claims. The vote that
  /// this holder lost may have decided between them, so no claim gets it.
  bool IsContested = false;
};

/// What a holder remembers.
struct HolderMemory {
  ServerId Self;
  Incarnation SelfIncarnation;
  /// This is the first incarnation of the process, so it has lost no votes.
  bool IsFirstIncarnation = false;
  Clock::time_point StartedAt;
  /// Longest KeyClaim::Window of all services.
  std::chrono::milliseconds LongestWindow{0};
  std::map<ScopedKey, HeldVote> Votes;
  std::map<ServerId, PeerMemory> Peers;
};

/// Returns whether the memory of \p key is complete: \p memory has every vote
/// that this holder granted on the key in any incarnation that still matters.
bool isCompleteForKey(const HolderMemory &memory, const ScopedKey &key,
                      const VoteSets &sets, Clock::time_point now);

/// Handles a claim and returns the holder's vote on it. A claim of a runner's
/// incarnation that has the vote already gets it again. A holder whose memory
/// of the key is not complete grants no new vote.
CastVote voteOnClaim(HolderMemory &memory, const KeyClaim &claim,
                     const VoteSets &sets, Clock::time_point now);

/// Withdraws the vote for a claim whose call did not run and never will.
void withdrawVote(HolderMemory &memory, const KeyClaim &claim);

/// A vote that one holder reports to another one.
struct ReportedVote {
  KeyClaim Claim;
  bool IsContested = false; ///< As HeldVote::IsContested.
};

/// A holder's answer to another one that requests its votes after a restart.
struct RecoveryAnswer {
  ServerId From;
  Incarnation FromIncarnation;
  Incarnation RequesterIncarnation; ///< The incarnation that sent the request.
  std::vector<ReportedVote> Votes;  ///< On keys that the requester holds, too.
  bool IsComplete = false;          ///< As PeerMemory::IsComplete.
  std::set<ServerId> Recovered;     ///< As PeerMemory::Recovered.
};

/// Answers a request for votes of \p requester's incarnation
/// \p requesterIncarnation. From now on each vote of this holder on a key that
/// both hold reports that incarnation to the runner.
RecoveryAnswer answerRecovery(HolderMemory &memory, const ServerId &requester,
                              Incarnation requesterIncarnation,
                              const VoteSets &sets, Clock::time_point now);

/// Handles the answer to this holder's own request. Discards an answer to a
/// request of an earlier incarnation.
void recordRecovery(HolderMemory &memory, const RecoveryAnswer &answer,
                    const VoteSets &sets, Clock::time_point now);

/// Returns the servers that have not sent all their votes to this incarnation
/// yet. Empty when the memory is complete.
std::vector<ServerId> notRecoveredFrom(const HolderMemory &memory,
                                       const VoteSets &sets,
                                       Clock::time_point now);

/// Forgets votes whose key's window has passed.
void forgetVotes(HolderMemory &memory, Clock::time_point now);

/// The votes on one claim that its runner has received.
struct ClaimTally {
  KeyClaim Claim;
  std::map<ServerId, CastVote> Votes; ///< By holder.
};

/// What the votes so far mean.
enum class TallyOutcome {
  Pending, ///< More votes are needed.
  Won,     ///< The runner may run the call; no other runner ever may.
  Lost,    ///< The claim can't win while the votes for its rivals exist.
};

/// Records a vote on \p tally's claim. Discards the vote if the recorded vote
/// of the same holder was cast by a later incarnation.
void recordVote(ClaimTally &tally, const CastVote &vote);

/// Decides on \p tally. A claim wins when, in each set, a majority of the key's
/// holders granted it with a complete memory, none of them knowing of a later
/// incarnation of another.
TallyOutcome decideTally(const ClaimTally &tally, const VoteSets &sets);

/// Returns the claim that has a vote instead of \p tally's claim; empty when
/// there is none.
std::optional<KeyClaim> rivalOf(const ClaimTally &tally);

} // namespace greengagespar

#endif // GREENGAGESPAR_CALL_KEY_VOTES_H
