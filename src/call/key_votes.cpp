#include "greengagespar/call/key_votes.h"

#include "greengagespar/base/hash.h"
#include <algorithm>

namespace greengagespar {

namespace {

bool contains(const std::vector<ServerId> &servers, const ServerId &id) {
  return std::find(servers.begin(), servers.end(), id) != servers.end();
}

bool isSameRunnerIncarnation(const KeyClaim &a, const KeyClaim &b) {
  return a.Runner == b.Runner && a.RunnerIncarnation == b.RunnerIncarnation;
}

// Returns whether a peer's answer contains each vote that the peer ever granted
// on a key with these holders.
bool coversKey(const PeerMemory &peer, const ServerId &peerId,
               const std::vector<ServerId> &holders) {
  if (!peer.HasAnswered)
    return false;
  if (peer.IsComplete)
    return true;
  return std::ranges::all_of(holders, [&](const ServerId &it) {
    return it == peerId || peer.Recovered.contains(it);
  });
}

// Returns the holders of a key in all sets.
std::set<ServerId> allHolders(const ScopedKey &key, const VoteSets &sets) {
  std::set<ServerId> all;
  for (const auto &servers : sets.Sets)
    for (const ServerId &it : holdersOf(key, servers))
      all.insert(it);
  return all;
}

// Returns whether a peer's answer contains each vote that the peer ever granted
// on any key.
bool coversAllKeys(const PeerMemory &peer, const ServerId &peerId,
                   const VoteSets &sets) {
  return std::ranges::all_of(sets.Sets, [&](const auto &servers) {
    return coversKey(peer, peerId, servers);
  });
}

// Returns whether the holder has all of its votes that still matter: it has
// lost none, or they have expired since it started.
bool isCompleteForAllKeys(const HolderMemory &memory, Clock::time_point now) {
  return memory.IsFirstIncarnation ||
         now - memory.StartedAt >= memory.LongestWindow;
}

// Records a vote that another holder reported. The vote is contested if another
// claim is recorded already.
void recordReportedVote(HolderMemory &memory, const ReportedVote &reported,
                        Clock::time_point now) {
  auto [it, isNew] = memory.Votes.try_emplace(reported.Claim.Key,
                                              HeldVote{reported.Claim, now});
  if (reported.IsContested ||
      (!isNew && !isSameRunnerIncarnation(it->second.Claim, reported.Claim)))
    it->second.IsContested = true;
}

std::size_t majorityOf(std::size_t n) { return n / 2 + 1; }

// Returns whether neither vote's holder knows of a later incarnation of the
// other one than the one that voted.
bool agree(const CastVote &a, const CastVote &b) {
  auto knowsLater = [](const CastVote &knower, const CastVote &other) {
    return std::ranges::any_of(knower.Known, [&](const KnownIncarnation &it) {
      return it.Server == other.Holder && it.Latest > other.HolderIncarnation;
    });
  };
  return !knowsLater(a, b) && !knowsLater(b, a);
}

// Returns the votes that count: granted, by a holder with a complete memory.
std::vector<const CastVote *> countedVotes(const ClaimTally &tally,
                                           const std::vector<ServerId> &from) {
  std::vector<const CastVote *> counted;
  for (const ServerId &it : from) {
    auto vote = tally.Votes.find(it);
    if (vote != tally.Votes.end() && vote->second.Granted &&
        vote->second.IsMemoryComplete)
      counted.push_back(&vote->second);
  }
  return counted;
}

bool hasMajority(const ClaimTally &tally,
                 const std::vector<ServerId> &holders) {
  std::vector<const CastVote *> counted = countedVotes(tally, holders);
  std::size_t needed = majorityOf(holders.size());
  if (needed == 1)
    return !counted.empty();
  // A majority of at most three is two.
  for (std::size_t i = 0; i < counted.size(); ++i)
    for (std::size_t j = i + 1; j < counted.size(); ++j)
      if (agree(*counted[i], *counted[j]))
        return true;
  return false;
}

bool canNotWin(const ClaimTally &tally, const std::vector<ServerId> &holders) {
  std::size_t against = 0;
  for (const ServerId &it : holders) {
    auto vote = tally.Votes.find(it);
    against += vote != tally.Votes.end() && vote->second.CurrentClaim ? 1 : 0;
  }
  return holders.size() - against < majorityOf(holders.size());
}

} // namespace

std::vector<ServerId> holdersOf(const ScopedKey &key,
                                const std::vector<ServerId> &servers) {
  std::vector<ServerId> order =
      rendezvousOrder(key.Scope + '\n' + key.Key, servers);
  if (order.size() > HoldersPerKey)
    order.resize(HoldersPerKey);
  return order;
}

bool isCompleteForKey(const HolderMemory &memory, const ScopedKey &key,
                      const VoteSets &sets, Clock::time_point now) {
  if (isCompleteForAllKeys(memory, now))
    return true;
  bool isHolder = false;
  for (const auto &servers : sets.Sets) {
    std::vector<ServerId> holders = holdersOf(key, servers);
    if (!contains(holders, memory.Self))
      continue;
    isHolder = true;
    for (const ServerId &it : holders) {
      if (it == memory.Self)
        continue;
      auto peer = memory.Peers.find(it);
      if (peer == memory.Peers.end() || !coversKey(peer->second, it, holders))
        return false;
    }
  }
  // A server that is in no set is not a holder under its own settings: the
  // runner has settings that this process doesn't have yet.
  return isHolder;
}

CastVote voteOnClaim(HolderMemory &memory, const KeyClaim &claim,
                     const VoteSets &sets, Clock::time_point now) {
  CastVote vote;
  vote.Holder = memory.Self;
  vote.HolderIncarnation = memory.SelfIncarnation;
  vote.IsMemoryComplete = isCompleteForKey(memory, claim.Key, sets, now);
  auto it = memory.Votes.find(claim.Key);
  bool isFree = it == memory.Votes.end();
  bool isOwn = !isFree && !it->second.IsContested &&
               isSameRunnerIncarnation(it->second.Claim, claim);
  vote.Granted = isOwn || (isFree && vote.IsMemoryComplete);
  if (vote.Granted)
    memory.Votes[claim.Key] = {claim, now};
  else if (!isFree)
    vote.CurrentClaim = it->second.Claim;
  for (const ServerId &it : allHolders(claim.Key, sets)) {
    auto peer = memory.Peers.find(it);
    if (peer != memory.Peers.end())
      vote.Known.push_back({it, peer->second.LatestIncarnation});
  }
  return vote;
}

void withdrawVote(HolderMemory &memory, const KeyClaim &claim) {
  auto it = memory.Votes.find(claim.Key);
  if (it != memory.Votes.end() &&
      isSameRunnerIncarnation(it->second.Claim, claim) &&
      it->second.Claim.Attempt == claim.Attempt)
    memory.Votes.erase(it);
}

RecoveryAnswer answerRecovery(HolderMemory &memory, const ServerId &requester,
                              Incarnation requesterIncarnation,
                              const VoteSets &sets, Clock::time_point now) {
  PeerMemory &peer = memory.Peers[requester];
  peer.LatestIncarnation =
      std::max(peer.LatestIncarnation, requesterIncarnation);
  RecoveryAnswer answer;
  answer.From = memory.Self;
  answer.FromIncarnation = memory.SelfIncarnation;
  answer.RequesterIncarnation = requesterIncarnation;
  answer.IsComplete = isCompleteForAllKeys(memory, now);
  for (const auto &[server, it] : memory.Peers)
    if (coversAllKeys(it, server, sets))
      answer.Recovered.insert(server);
  for (const auto &[key, vote] : memory.Votes)
    if (allHolders(key, sets).contains(requester))
      answer.Votes.push_back({vote.Claim, vote.IsContested});
  return answer;
}

void recordRecovery(HolderMemory &memory, const RecoveryAnswer &answer,
                    const VoteSets &sets, Clock::time_point now) {
  if (answer.RequesterIncarnation != memory.SelfIncarnation)
    return;
  // The answer changes no vote on a key of which the memory is complete.
  for (const ReportedVote &it : answer.Votes)
    if (!isCompleteForKey(memory, it.Claim.Key, sets, now))
      recordReportedVote(memory, it, now);
  PeerMemory &peer = memory.Peers[answer.From];
  peer.LatestIncarnation =
      std::max(peer.LatestIncarnation, answer.FromIncarnation);
  peer.HasAnswered = true;
  peer.IsComplete = answer.IsComplete;
  peer.Recovered = answer.Recovered;
}

std::vector<ServerId> notRecoveredFrom(const HolderMemory &memory,
                                       const VoteSets &sets,
                                       Clock::time_point now) {
  std::set<ServerId> missing;
  if (isCompleteForAllKeys(memory, now))
    return {};
  for (const auto &servers : sets.Sets) {
    for (const ServerId &it : servers) {
      auto peer = memory.Peers.find(it);
      bool isCovered =
          peer != memory.Peers.end() && coversKey(peer->second, it, servers);
      if (it != memory.Self && !isCovered)
        missing.insert(it);
    }
  }
  return {missing.begin(), missing.end()};
}

void forgetVotes(HolderMemory &memory, Clock::time_point now) {
  std::erase_if(memory.Votes, [&](const auto &it) {
    return it.second.RecordedAt + it.second.Claim.Window < now;
  });
}

void recordVote(ClaimTally &tally, const CastVote &vote) {
  auto it = tally.Votes.find(vote.Holder);
  if (it == tally.Votes.end() ||
      it->second.HolderIncarnation <= vote.HolderIncarnation)
    tally.Votes[vote.Holder] = vote;
}

TallyOutcome decideTally(const ClaimTally &tally, const VoteSets &sets) {
  bool hasWon = !sets.Sets.empty();
  for (const auto &servers : sets.Sets) {
    std::vector<ServerId> holders = holdersOf(tally.Claim.Key, servers);
    if (canNotWin(tally, holders))
      return TallyOutcome::Lost;
    hasWon = hasWon && hasMajority(tally, holders);
  }
  return hasWon ? TallyOutcome::Won : TallyOutcome::Pending;
}

std::optional<KeyClaim> rivalOf(const ClaimTally &tally) {
  for (const auto &[holder, vote] : tally.Votes)
    if (vote.CurrentClaim)
      return vote.CurrentClaim;
  return std::nullopt;
}

} // namespace greengagespar
