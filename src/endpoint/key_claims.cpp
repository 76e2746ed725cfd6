#include "key_claims.h"

#include "greengagespar/base/log.h"
#include "vote_messages.h"
#include <algorithm>
#include <utility>

namespace greengagespar {

namespace {

// How long a runner waits for votes before it requests them again.
constexpr std::chrono::milliseconds VoteRequestInterval{50};

// How often a restarted holder requests votes from the other holders.
constexpr std::chrono::milliseconds RecoveryRequestInterval{100};

// How long a link may wait for an answer before it is opened again.
constexpr std::chrono::milliseconds HolderAnswerTimeout{300};

} // namespace

KeyClaims::KeyClaims(event_base *base, zmq::context_t &context,
                     const LinkIdentity &self, ServerId server,
                     KeyClaimHooks hooks)
    : Base(base), Context(context), Self(self), Hooks(std::move(hooks)) {
  Memory.Self = std::move(server);
  Memory.SelfIncarnation = self.ProcessIncarnation;
  Memory.StartedAt = Clock::now();
}

void KeyClaims::setContract(const Contract &contract) {
  std::map<ServerId, Address> addresses;
  auto add = [&](const std::vector<Server> &servers) {
    for (const Server &it : servers)
      addresses[it.Id] = it.Endpoint;
  };
  for (const auto &[id, group] : contract.Groups)
    add(group.Servers);
  for (const auto &[id, service] : contract.Services) {
    add(service.Servers);
    Memory.LongestWindow = std::max(Memory.LongestWindow, service.DedupeWindow);
  }
  std::erase_if(Links, [&](const auto &it) {
    auto found = addresses.find(it.first);
    return found == addresses.end() ||
           found->second != it.second.Client->address();
  });
  std::vector<ServerId> servers;
  servers.reserve(addresses.size());
  for (const auto &[id, address] : addresses)
    servers.push_back(id);
  if (!Servers.empty() && servers != Servers)
    ReplacedSets.push_back({Servers, Clock::now()});
  Servers = std::move(servers);
  Addresses = std::move(addresses);
  rebuildSets();
}

void KeyClaims::rebuildSets() {
  Sets.Sets = {Servers};
  for (const ReplacedSet &it : ReplacedSets)
    Sets.Sets.push_back(it.Servers);
}

KeyClaim KeyClaims::claim(const ScopedKey &key,
                          std::chrono::milliseconds window) {
  OpenClaim open;
  open.Tally.Claim = {key, Memory.Self, Memory.SelfIncarnation, NextAttempt++,
                      window};
  auto now = Clock::now();
  requestVotes(open, now);
  KeyClaim made = open.Tally.Claim;
  Open[key] = std::move(open);
  return made;
}

void KeyClaims::requestVotes(OpenClaim &claim, Clock::time_point now) {
  claim.RequestedAt = now;
  std::set<ServerId> holders;
  for (const auto &servers : Sets.Sets)
    for (const ServerId &it : holdersOf(claim.Tally.Claim.Key, servers))
      holders.insert(it);
  for (const ServerId &it : holders) {
    auto vote = claim.Tally.Votes.find(it);
    if (vote != claim.Tally.Votes.end() && vote->second.Granted &&
        vote->second.IsMemoryComplete)
      continue;
    if (it == Memory.Self) {
      recordVote(claim.Tally,
                 voteOnClaim(Memory, claim.Tally.Claim, Sets, now));
      continue;
    }
    wire::Envelope envelope;
    toWire(claim.Tally.Claim, *envelope.mutable_claim()->mutable_claim());
    sendTo(it, envelope);
  }
}

bool KeyClaims::release(const KeyClaim &claim) {
  bool isUnopposed = true;
  auto open = Open.find(claim.Key);
  if (open != Open.end() && open->second.Tally.Claim.Attempt == claim.Attempt) {
    isUnopposed = !rivalOf(open->second.Tally);
    Open.erase(open);
  }
  withdrawVote(Memory, claim);
  wire::Envelope envelope;
  toWire(claim, *envelope.mutable_release_claim()->mutable_claim());
  for (const auto &servers : Sets.Sets)
    for (const ServerId &it : holdersOf(claim.Key, servers))
      if (it != Memory.Self)
        sendTo(it, envelope);
  return isUnopposed;
}

void KeyClaims::sendTo(const ServerId &server, wire::Envelope &envelope) {
  auto address = Addresses.find(server);
  if (address == Addresses.end())
    return;
  HolderLink &link = Links[server];
  if (!link.Client)
    link.Client = std::make_unique<LinkClient>(
        Base, Context, Self, address->second,
        [this, server](const wire::Envelope &answer) {
          onHolderMessage(server, answer);
        });
  link.Client->send(envelope);
  if (!link.AwaitingSince && !envelope.has_release_claim())
    link.AwaitingSince = Clock::now();
}

void KeyClaims::onHolderMessage(const ServerId &server,
                                const wire::Envelope &envelope) {
  auto link = Links.find(server);
  if (link != Links.end())
    link->second.AwaitingSince.reset();
  if (envelope.has_vote()) {
    CastVote vote = fromWire(envelope.vote(), {envelope.incarnation()});
    if (vote.Holder != server)
      return;
    auto open = Open.find(keyOf(envelope.vote().claim()));
    if (open != Open.end() &&
        open->second.Tally.Claim.Attempt == envelope.vote().claim().attempt())
      recordVote(open->second.Tally, vote);
    decideClaims();
  } else if (envelope.has_recovered_votes()) {
    RecoveryAnswer answer =
        fromWire(envelope.recovered_votes(), {envelope.incarnation()});
    if (answer.From == server)
      recordRecovery(Memory, answer, Sets, Clock::now());
  }
}

bool KeyClaims::handleMessage(const PeerId &peer,
                              const wire::Envelope &envelope) {
  switch (envelope.body_case()) {
  case wire::Envelope::kClaim:
    onClaim(peer, envelope.claim());
    return true;
  case wire::Envelope::kReleaseClaim:
    withdrawVote(Memory, fromWire(envelope.release_claim().claim()));
    return true;
  case wire::Envelope::kRecoverVotes:
    onRecover(peer, envelope);
    return true;
  default:
    return false;
  }
}

void KeyClaims::onClaim(const PeerId &peer, const wire::Claim &claim) {
  CastVote vote =
      voteOnClaim(Memory, fromWire(claim.claim()), Sets, Clock::now());
  wire::Envelope envelope;
  *envelope.mutable_vote()->mutable_claim() = claim.claim();
  toWire(vote, *envelope.mutable_vote());
  Hooks.Send(peer, envelope);
}

void KeyClaims::onRecover(const PeerId &peer, const wire::Envelope &request) {
  RecoveryAnswer answer =
      answerRecovery(Memory, {request.recover_votes().server()},
                     {request.incarnation()}, Sets, Clock::now());
  wire::Envelope envelope;
  toWire(answer, *envelope.mutable_recovered_votes());
  Hooks.Send(peer, envelope);
}

void KeyClaims::decideClaims() {
  std::vector<std::pair<KeyClaim, TallyOutcome>> decided;
  std::vector<KeyClaim> rivals;
  for (const auto &[key, open] : Open) {
    TallyOutcome outcome = decideTally(open.Tally, Sets);
    if (outcome == TallyOutcome::Pending)
      continue;
    decided.emplace_back(open.Tally.Claim, outcome);
    rivals.push_back(rivalOf(open.Tally).value_or(KeyClaim{}));
  }
  for (std::size_t i = 0; i < decided.size(); ++i) {
    const auto &[claim, outcome] = decided[i];
    if (outcome == TallyOutcome::Won) {
      Open.erase(claim.Key);
      Hooks.OnWon(claim);
    } else {
      release(claim);
      Hooks.OnLost(claim, rivals[i]);
    }
  }
}

void KeyClaims::tick(Clock::time_point now) {
  auto removed = std::erase_if(ReplacedSets, [&](const ReplacedSet &it) {
    return it.ReplacedAt + Memory.LongestWindow < now;
  });
  if (removed > 0)
    rebuildSets();
  requestRecovery(now);
  for (auto &[key, open] : Open)
    if (now - open.RequestedAt >= VoteRequestInterval)
      requestVotes(open, now);
  decideClaims();
  reopenUnresponsiveLinks(now);
  forgetVotes(Memory, now);
}

void KeyClaims::requestRecovery(Clock::time_point now) {
  if (now - RecoverySentAt < RecoveryRequestInterval)
    return;
  RecoverySentAt = now;
  for (const ServerId &it : notRecoveredFrom(Memory, Sets, now)) {
    wire::Envelope envelope;
    envelope.mutable_recover_votes()->set_server(Memory.Self.Value);
    sendTo(it, envelope);
  }
}

void KeyClaims::reopenUnresponsiveLinks(Clock::time_point now) {
  for (auto &[server, link] : Links) {
    if (!link.AwaitingSince || now - *link.AwaitingSince < HolderAnswerTimeout)
      continue;
    link.Client->reopen();
    link.AwaitingSince.reset();
  }
}

} // namespace greengagespar
