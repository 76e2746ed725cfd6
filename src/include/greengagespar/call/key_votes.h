/// \file
/// Votes on idempotency keys: which endpoint process may run the call of a
/// key. Three holders keep votes in memory; a runner needs a majority of votes
/// whose holders have a complete memory of the key and agree on each other's
/// lives. Pure functions over plain structs; thread safe as long as one memory
/// is used by one thread. spec/key.pml models the same rules.
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

/// A key of a caller and the scope inside which it is unique.
struct ScopedKey {
  std::string Scope;
  std::string Key;
  auto operator<=>(const ScopedKey &) const = default;
};

/// A claim of one endpoint process on a key.
struct KeyClaim {
  ScopedKey Key;
  ServerId Runner;                     ///< The server that would run the call.
  Incarnation Life;                    ///< The life of its endpoint process.
  std::uint64_t Attempt = 0;           ///< Counts the claims of one life.
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

/// The life of a server's endpoint process as somebody knows it.
struct KnownLife {
  ServerId Server;
  Incarnation Life;
};

/// A holder's answer to a claim.
struct CastVote {
  ServerId Holder;
  Incarnation Life;                ///< Of the holder.
  bool Granted = false;            ///< The claim has the holder's vote.
  bool Sure = false;               ///< Its memory of the key is complete.
  std::optional<KeyClaim> Present; ///< Who has the vote, when not granted.
  std::vector<KnownLife> Known;    ///< Lives of the key's other holders.
};

/// What a holder knows of another one.
struct PeerMemory {
  Incarnation Life;             ///< Its latest life that was heard of.
  bool HasAnswered = false;     ///< It told its votes to this life.
  bool IsComplete = false;      ///< Its memory was complete when it did.
  std::set<ServerId> Recovered; ///< Who had told it all their votes.
};

/// A vote that is held.
struct HeldVote {
  KeyClaim Claim;
  Clock::time_point At;
  /// Others told of different claims after a restart, and the vote that was
  /// lost may have decided between them: no claim gets it.
  bool IsContested = false;
};

/// What a holder remembers.
struct HolderMemory {
  ServerId Self;
  Incarnation Life;
  /// Nothing was forgotten: this is the first life of the process.
  bool IsFirstLife = false;
  Clock::time_point Began;
  std::chrono::milliseconds LongestWindow{0}; ///< Of all services.
  std::map<ScopedKey, HeldVote> Votes;
  std::map<ServerId, PeerMemory> Peers;
};

/// Whether \p memory knows every vote that this holder gave on \p key in any
/// life that still matters.
bool isSure(const HolderMemory &memory, const ScopedKey &key,
            const VoteSets &sets, Clock::time_point now);

/// Takes a claim and returns the holder's vote on it. A claim of the same life
/// that has the vote already gets it again. A holder that is not sure of the
/// key gives no vote.
CastVote noteClaim(HolderMemory &memory, const KeyClaim &claim,
                   const VoteSets &sets, Clock::time_point now);

/// Takes back the vote of a claim that did not run and never will.
void noteRelease(HolderMemory &memory, const KeyClaim &claim);

/// A vote that one holder tells another one of.
struct ToldVote {
  KeyClaim Claim;
  bool IsContested = false; ///< As HeldVote::IsContested.
};

/// What one holder tells another one that asks for its votes.
struct RecoveryAnswer {
  ServerId From;
  Incarnation FromLife;
  Incarnation AskerLife; ///< The life that asked.
  std::vector<ToldVote> Votes;
  bool IsComplete = false;
  std::set<ServerId> Recovered;
};

/// Answers a request of \p asker's life \p askerLife. From now on this holder
/// tells each runner of that life.
RecoveryAnswer answerRecovery(HolderMemory &memory, const ServerId &asker,
                              Incarnation askerLife, const VoteSets &sets,
                              Clock::time_point now);

/// Takes the answer to this holder's own request. Answers to earlier lives are
/// dropped.
void noteRecovered(HolderMemory &memory, const RecoveryAnswer &answer,
                   const VoteSets &sets, Clock::time_point now);

/// The servers that have not told all their votes to this life yet.
std::vector<ServerId> notRecoveredFrom(const HolderMemory &memory,
                                       const VoteSets &sets,
                                       Clock::time_point now);

/// Forgets votes whose key's window has passed.
void forgetVotes(HolderMemory &memory, Clock::time_point now);

/// The votes on one claim as its runner has heard them.
struct ClaimTally {
  KeyClaim Claim;
  std::map<ServerId, CastVote> Votes;
};

/// What the votes so far mean.
enum class TallyOutcome {
  Pending, ///< More votes are needed.
  Won,     ///< The runner may run the call; nobody else ever may.
  Lost,    ///< The claim can't win while the votes against it stand.
};

/// Takes a vote on \p tally's claim. Votes of earlier lives are dropped.
void noteVote(ClaimTally &tally, const CastVote &vote);

/// Decides on \p tally.
TallyOutcome decideTally(const ClaimTally &tally, const VoteSets &sets);

/// The claim that stands against \p tally; empty when there is none.
std::optional<KeyClaim> rivalOf(const ClaimTally &tally);

} // namespace greengagespar

#endif // GREENGAGESPAR_CALL_KEY_VOTES_H
