#include "greengagespar/call/key_votes.h"

#include "greengagespar/base/hash.h"
#include <algorithm>

namespace greengagespar {

namespace {

bool contains(const std::vector<ServerId> &servers, const ServerId &id) {
  return std::find(servers.begin(), servers.end(), id) != servers.end();
}

bool isSameLife(const KeyClaim &a, const KeyClaim &b) {
  return a.Runner == b.Runner && a.Life == b.Life;
}

// Whether a peer's answer tells all that the peer ever voted on a key with
// these holders.
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

// The holders of a key in all sets.
std::set<ServerId> allHolders(const ScopedKey &key, const VoteSets &sets) {
  std::set<ServerId> all;
  for (const auto &servers : sets.Sets)
    for (const ServerId &it : holdersOf(key, servers))
      all.insert(it);
  return all;
}

// Whether a peer's answer tells all that the peer ever voted on any key.
bool hasToldAll(const PeerMemory &peer, const ServerId &peerId,
                const VoteSets &sets) {
  return std::ranges::all_of(sets.Sets, [&](const auto &servers) {
    return coversKey(peer, peerId, servers);
  });
}

bool isComplete(const HolderMemory &memory, Clock::time_point now) {
  return memory.IsFirstLife || now - memory.Began >= memory.LongestWindow;
}

// Takes over a claim that another holder told of.
void adopt(HolderMemory &memory, const ToldVote &told, Clock::time_point now) {
  auto [it, isNew] =
      memory.Votes.try_emplace(told.Claim.Key, HeldVote{told.Claim, now});
  if (told.IsContested || (!isNew && !isSameLife(it->second.Claim, told.Claim)))
    it->second.IsContested = true;
}

std::size_t majorityOf(std::size_t n) { return n / 2 + 1; }

// Whether neither vote's holder knows of a later life of the other one.
bool agree(const CastVote &a, const CastVote &b) {
  auto knowsLater = [](const CastVote &knower, const CastVote &other) {
    return std::ranges::any_of(knower.Known, [&](const KnownLife &it) {
      return it.Server == other.Holder && it.Life > other.Life;
    });
  };
  return !knowsLater(a, b) && !knowsLater(b, a);
}

std::vector<const CastVote *> countedVotes(const ClaimTally &tally,
                                           const std::vector<ServerId> &from) {
  std::vector<const CastVote *> counted;
  for (const ServerId &it : from) {
    auto vote = tally.Votes.find(it);
    if (vote != tally.Votes.end() && vote->second.Granted && vote->second.Sure)
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
    against += vote != tally.Votes.end() && vote->second.Present ? 1 : 0;
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

bool isSure(const HolderMemory &memory, const ScopedKey &key,
            const VoteSets &sets, Clock::time_point now) {
  if (isComplete(memory, now))
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
  // Asked under settings that this holder does not have yet.
  return isHolder;
}

CastVote noteClaim(HolderMemory &memory, const KeyClaim &claim,
                   const VoteSets &sets, Clock::time_point now) {
  CastVote vote;
  vote.Holder = memory.Self;
  vote.Life = memory.Life;
  vote.Sure = isSure(memory, claim.Key, sets, now);
  auto it = memory.Votes.find(claim.Key);
  bool isFree = it == memory.Votes.end();
  bool isOwn =
      !isFree && !it->second.IsContested && isSameLife(it->second.Claim, claim);
  vote.Granted = isOwn || (isFree && vote.Sure);
  if (vote.Granted)
    memory.Votes[claim.Key] = {claim, now};
  else if (!isFree)
    vote.Present = it->second.Claim;
  for (const ServerId &it : allHolders(claim.Key, sets)) {
    auto peer = memory.Peers.find(it);
    if (peer != memory.Peers.end())
      vote.Known.push_back({it, peer->second.Life});
  }
  return vote;
}

void noteRelease(HolderMemory &memory, const KeyClaim &claim) {
  auto it = memory.Votes.find(claim.Key);
  if (it != memory.Votes.end() && isSameLife(it->second.Claim, claim) &&
      it->second.Claim.Attempt == claim.Attempt)
    memory.Votes.erase(it);
}

RecoveryAnswer answerRecovery(HolderMemory &memory, const ServerId &asker,
                              Incarnation askerLife, const VoteSets &sets,
                              Clock::time_point now) {
  PeerMemory &peer = memory.Peers[asker];
  peer.Life = std::max(peer.Life, askerLife);
  RecoveryAnswer answer;
  answer.From = memory.Self;
  answer.FromLife = memory.Life;
  answer.AskerLife = askerLife;
  answer.IsComplete = isComplete(memory, now);
  for (const auto &[server, it] : memory.Peers)
    if (hasToldAll(it, server, sets))
      answer.Recovered.insert(server);
  for (const auto &[key, vote] : memory.Votes)
    if (allHolders(key, sets).contains(asker))
      answer.Votes.push_back({vote.Claim, vote.IsContested});
  return answer;
}

void noteRecovered(HolderMemory &memory, const RecoveryAnswer &answer,
                   const VoteSets &sets, Clock::time_point now) {
  if (answer.AskerLife != memory.Life)
    return;
  // A vote on a key that this holder is sure of stands.
  for (const ToldVote &it : answer.Votes)
    if (!isSure(memory, it.Claim.Key, sets, now))
      adopt(memory, it, now);
  PeerMemory &peer = memory.Peers[answer.From];
  peer.Life = std::max(peer.Life, answer.FromLife);
  peer.HasAnswered = true;
  peer.IsComplete = answer.IsComplete;
  peer.Recovered = answer.Recovered;
}

std::vector<ServerId> notRecoveredFrom(const HolderMemory &memory,
                                       const VoteSets &sets,
                                       Clock::time_point now) {
  std::set<ServerId> missing;
  if (isComplete(memory, now))
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
    return it.second.At + it.second.Claim.Window < now;
  });
}

void noteVote(ClaimTally &tally, const CastVote &vote) {
  auto it = tally.Votes.find(vote.Holder);
  if (it == tally.Votes.end() || it->second.Life <= vote.Life)
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
    if (vote.Present)
      return vote.Present;
  return std::nullopt;
}

} // namespace greengagespar
