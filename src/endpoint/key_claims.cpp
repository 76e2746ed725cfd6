#include "key_claims.h"

#include "greengagespar/base/log.h"
#include "vote_messages.h"
#include <algorithm>
#include <utility>

namespace greengagespar {

namespace {

// How long a holder may take before it is asked again.
constexpr std::chrono::milliseconds AskAgain{50};

// How often votes are asked for after a restart.
constexpr std::chrono::milliseconds RecoverAgain{100};

// A link that owes an answer for this long is opened afresh.
constexpr std::chrono::milliseconds SilenceLimit{300};

} // namespace

KeyClaims::KeyClaims(event_base *base, zmq::context_t &context,
                     const LinkIdentity &self, ServerId server,
                     KeyClaimHooks hooks)
    : Base(base), Context(context), Self(self), Hooks(std::move(hooks)) {
  Memory.Self = std::move(server);
  Memory.Life = self.Life;
  Memory.Began = Clock::now();
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
  for (const auto &[id, address] : addresses)
    servers.push_back(id);
  if (!Servers.empty() && servers != Servers)
    Past.push_back({Servers, Clock::now()});
  Servers = std::move(servers);
  Addresses = std::move(addresses);
  rebuildSets();
}

void KeyClaims::rebuildSets() {
  Sets.Sets = {Servers};
  for (const PastSet &it : Past)
    Sets.Sets.push_back(it.Servers);
}

KeyClaim KeyClaims::claim(const ScopedKey &key,
                          std::chrono::milliseconds window) {
  OpenClaim open;
  open.Tally.Claim = {key, Memory.Self, Memory.Life, NextAttempt++, window};
  auto now = Clock::now();
  ask(open, now);
  KeyClaim made = open.Tally.Claim;
  Open[key] = std::move(open);
  return made;
}

void KeyClaims::ask(OpenClaim &claim, Clock::time_point now) {
  claim.AskedAt = now;
  std::set<ServerId> asked;
  for (const auto &servers : Sets.Sets)
    for (const ServerId &it : holdersOf(claim.Tally.Claim.Key, servers))
      asked.insert(it);
  for (const ServerId &it : asked) {
    auto vote = claim.Tally.Votes.find(it);
    if (vote != claim.Tally.Votes.end() && vote->second.Granted &&
        vote->second.Sure)
      continue;
    if (it == Memory.Self) {
      noteVote(claim.Tally, noteClaim(Memory, claim.Tally.Claim, Sets, now));
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
  noteRelease(Memory, claim);
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
  if (!link.AwaitSince && !envelope.has_release_claim())
    link.AwaitSince = Clock::now();
}

void KeyClaims::onHolderMessage(const ServerId &server,
                                const wire::Envelope &envelope) {
  auto link = Links.find(server);
  if (link != Links.end())
    link->second.AwaitSince.reset();
  if (envelope.has_vote()) {
    CastVote vote = fromWire(envelope.vote(), {envelope.incarnation()});
    if (vote.Holder != server)
      return;
    auto open = Open.find(keyOf(envelope.vote().claim()));
    if (open != Open.end() &&
        open->second.Tally.Claim.Attempt == envelope.vote().claim().attempt())
      noteVote(open->second.Tally, vote);
    settleClaims();
  } else if (envelope.has_recovered_votes()) {
    RecoveryAnswer answer =
        fromWire(envelope.recovered_votes(), {envelope.incarnation()});
    if (answer.From == server)
      noteRecovered(Memory, answer, Sets, Clock::now());
  }
}

bool KeyClaims::take(const PeerId &peer, const wire::Envelope &envelope) {
  switch (envelope.body_case()) {
  case wire::Envelope::kClaim:
    onClaim(peer, envelope.claim());
    return true;
  case wire::Envelope::kReleaseClaim:
    noteRelease(Memory, fromWire(envelope.release_claim().claim()));
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
      noteClaim(Memory, fromWire(claim.claim()), Sets, Clock::now());
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

void KeyClaims::settleClaims() {
  std::vector<std::pair<KeyClaim, TallyOutcome>> settled;
  std::vector<KeyClaim> rivals;
  for (const auto &[key, open] : Open) {
    TallyOutcome outcome = decideTally(open.Tally, Sets);
    if (outcome == TallyOutcome::Pending)
      continue;
    settled.emplace_back(open.Tally.Claim, outcome);
    rivals.push_back(rivalOf(open.Tally).value_or(KeyClaim{}));
  }
  for (std::size_t i = 0; i < settled.size(); ++i) {
    const auto &[claim, outcome] = settled[i];
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
  auto past = std::erase_if(Past, [&](const PastSet &it) {
    return it.ReplacedAt + Memory.LongestWindow < now;
  });
  if (past > 0)
    rebuildSets();
  recover(now);
  for (auto &[key, open] : Open)
    if (now - open.AskedAt >= AskAgain)
      ask(open, now);
  settleClaims();
  reopenSilent(now);
  forgetVotes(Memory, now);
}

void KeyClaims::recover(Clock::time_point now) {
  if (now - RecoverySentAt < RecoverAgain)
    return;
  RecoverySentAt = now;
  for (const ServerId &it : notRecoveredFrom(Memory, Sets, now)) {
    wire::Envelope envelope;
    envelope.mutable_recover_votes()->set_server(Memory.Self.Value);
    sendTo(it, envelope);
  }
}

void KeyClaims::reopenSilent(Clock::time_point now) {
  for (auto &[server, link] : Links) {
    if (!link.AwaitSince || now - *link.AwaitSince < SilenceLimit)
      continue;
    link.Client->reopen();
    link.AwaitSince.reset();
  }
}

} // namespace greengagespar
