#include "greengagespar/peers/peer_links.h"

#include "greengagespar/base/log.h"
#include "greengagespar/link/member_message.h"
#include <algorithm>
#include <utility>

namespace greengagespar {

namespace {

// Time between two checks for a round to start or digests to send again.
constexpr std::chrono::milliseconds TickInterval{100};

// News that come in quick succession are sent in one round.
constexpr std::chrono::milliseconds MinRoundGap{10};

// A link on which no data was received for this long is reopened: a connection
// can become unresponsive for good while new ones work.
constexpr std::chrono::milliseconds ReopenAfter{1500};

// A link on which nothing was sent for this long is closed.
constexpr std::chrono::milliseconds CloseAfter{5000};

// One partner of each kind is replaced once in this many rounds.
constexpr std::uint64_t RenewEvery = 4;

bool isMembershipChange(MergeOutcome outcome) {
  return outcome != MergeOutcome::Ignored && outcome != MergeOutcome::Renewed;
}

} // namespace

PeerLinks::PeerLinks(event_base *base, zmq::context_t &context,
                     const LinkIdentity &self, MemberView view,
                     PeerLinksHooks hooks, const PartnerLimits &limits)
    : Base(base), Context(context), Self(self), View(std::move(view)),
      Hooks(std::move(hooks)), Limits(limits),
      Server(base, context, self,
             [this](const PeerId &from, const wire::Envelope &envelope) {
               onRequest(from, envelope);
             }),
      Rng(self.ProcessIncarnation.Value),
      NewsRound(base, [this] { startRound(); }),
      Tick(base, [this] { tick(); }) {
  View.Limits.DigestRows = DigestRows;
  // The timeouts allow for the time in which all rows are sent twice.
  View.Limits.TimeoutPerMember = HeartbeatInterval * 2 / DigestRows;
}

Result<void> PeerLinks::start() {
  BOOST_LEAF_CHECK(Server.bind(View.Self));
  tick();
  return {};
}

void PeerLinks::addSeeds(const std::vector<Address> &seeds) {
  for (const Address &it : seeds)
    if (Seeds.size() < MaxSeeds)
      Seeds.insert(it);
}

void PeerLinks::announce() { startRound(); }

void PeerLinks::announceNews() {
  auto since = Clock::now() - LastRoundAt;
  if (since >= MinRoundGap)
    return startRound();
  NewsRound.start(
      std::chrono::ceil<std::chrono::milliseconds>(MinRoundGap - since));
}

void PeerLinks::tick() {
  auto now = Clock::now();
  if (now >= NextRound)
    startRound();
  else
    std::erase_if(Unsent, [this](const Address &it) { return sendDigest(it); });
  Tick.start(TickInterval);
}

void PeerLinks::startRound() {
  auto now = Clock::now();
  LastRoundAt = now;
  NextRound = now + HeartbeatInterval;
  advanceHeartbeat(View, Hooks.OwnRow(), now);
  sweep(now);
  bool renew = ++Rounds % RenewEvery == 0;
  Partners = choosePartners(View, Seeds, Partners, renew, Limits, Rng);
  recordPartners(View, Partners, now);
  Unsent.clear();
  for (const Address &it : Partners)
    if (!sendDigest(it))
      Unsent.push_back(it);
  Urgent.clear();
  closeUnused(now);
}

void PeerLinks::sweep(Clock::time_point now) {
  SweepOutcome outcome = sweepMembers(View, now);
  for (const Address &it : outcome.Unresponsive) {
    logWarning(Part::Host, "entry " + View.Members[it].Row.Host.Value + " at " +
                               it.Value + " is silent");
    addUrgent(it);
  }
  // A forgotten entry becomes a seed, so that this entry continues to try it.
  addSeeds(outcome.Forgotten);
  if (!outcome.Unresponsive.empty())
    Hooks.OnChange();
}

bool PeerLinks::sendDigest(const Address &partner) {
  wire::Envelope envelope;
  fillDigest(*envelope.mutable_members(), true);
  return send(partner, envelope);
}

void PeerLinks::fillDigest(wire::Members &message, bool wantsAnswer) {
  message.set_wants_answer(wantsAnswer);
  for (const MemberRow &it : nextDigest(View, DigestRows))
    writeMember(it, *message.add_members());
  for (const Address &it : Urgent)
    if (auto found = View.Members.find(it); found != View.Members.end()) {
      MemberRow row = found->second.Row;
      row.IsSilent = found->second.State == MemberState::Unresponsive;
      writeMember(row, *message.add_members());
    }
  if (Hooks.AddToDigest)
    Hooks.AddToDigest(message);
}

// Has the row of \p member sent in all digests until the next round.
void PeerLinks::addUrgent(const Address &member) {
  if (Urgent.size() < UrgentRows)
    Urgent.insert(member);
}

bool PeerLinks::send(const Address &peer, wire::Envelope &envelope) {
  Peer &link = open(peer);
  link.LastUsed = Clock::now();
  if (!link.Client->send(envelope))
    return false;
  count(envelope);
  return true;
}

PeerLinks::Peer &PeerLinks::open(const Address &address) {
  Peer &peer = Peers[address];
  if (peer.Client)
    return peer;
  peer.LastReceivedAt = Clock::now();
  peer.Client = std::make_unique<LinkClient>(
      Base, Context, Self, address,
      [this, address](const wire::Envelope &envelope) {
        onAnswer(address, envelope);
      });
  return peer;
}

void PeerLinks::closeUnused(Clock::time_point now) {
  std::erase_if(Peers, [&](const auto &it) {
    return now - it.second.LastUsed > CloseAfter;
  });
  for (auto &[address, peer] : Peers) {
    if (now - peer.LastReceivedAt < ReopenAfter)
      continue;
    peer.Client->reopen();
    peer.LastReceivedAt = now;
  }
}

void PeerLinks::onRequest(const PeerId &from, const wire::Envelope &envelope) {
  if (envelope.has_pull_settings())
    return answerPull(from, envelope.pull_settings());
  if (!envelope.has_members())
    return;
  handleMembers(envelope);
  if (envelope.members().wants_answer())
    answerDigest(from, envelope.members());
}

void PeerLinks::onAnswer(const Address &address,
                         const wire::Envelope &envelope) {
  Peers[address].LastReceivedAt = Clock::now();
  if (envelope.has_members())
    return handleMembers(envelope);
  Hooks.OnGeneration(address, {envelope.generation()});
  if (envelope.has_settings())
    Hooks.OnSettings(address, envelope.settings());
}

void PeerLinks::handleMembers(const wire::Envelope &envelope) {
  bool changed = false;
  std::vector<MemberRow> rows = readMembers(envelope.members());
  for (const MemberRow &it : rows)
    changed = merge(it) || changed;
  if (!rows.empty() &&
      rows.front().Link.Value == envelope.members().members(0).link())
    Hooks.OnGeneration(rows.front().Link, {envelope.generation()});
  if (changed)
    Hooks.OnChange();
  if (Hooks.OnDigest && Hooks.OnDigest(envelope.members()))
    NextRound = {};
}

bool PeerLinks::merge(const MemberRow &row) {
  if (row.Role != MemberRole::Entry)
    return false;
  if (row.Link == View.Self) {
    const MemberRow &own = View.Members[View.Self].Row;
    bool sameLife = row.ProcessIncarnation == own.ProcessIncarnation &&
                    row.Heartbeat > own.Heartbeat;
    if (row.ProcessIncarnation > own.ProcessIncarnation || sameLife)
      Hooks.OnLaterIncarnation(row.ProcessIncarnation);
    return false;
  }
  if (View.Members.size() >= MaxMembers && !View.Members.contains(row.Link))
    return false;
  MergeOutcome outcome = mergeMember(View, row, Clock::now());
  if (!isMembershipChange(outcome))
    return false;
  bool isSilent = outcome == MergeOutcome::FellSilent;
  std::string_view state = isSilent      ? " is reported as silent"
                           : row.Leaving ? " is leaving"
                                         : " is live";
  logInfo(Part::Host, "entry " + row.Host.Value + " at " + row.Link.Value +
                          std::string(state));
  if (outcome != MergeOutcome::StartedLeaving && !isSilent)
    return true;
  // The row is passed on at once, so that no more callers are directed to the
  // entry.
  addUrgent(row.Link);
  NextRound = {};
  return true;
}

void PeerLinks::answerDigest(const PeerId &to, const wire::Members &request) {
  wire::Envelope envelope;
  fillDigest(*envelope.mutable_members(), false);
  // If the clock of the requesting process was set back before it started, its
  // incarnation is lower than the known one. The known row tells it to use a
  // later one.
  if (request.members_size() > 0) {
    auto known = View.Members.find({request.members(0).link()});
    if (known != View.Members.end() &&
        known->second.Row.ProcessIncarnation.Value >
            request.members(0).incarnation())
      writeMember(known->second.Row,
                  *envelope.mutable_members()->add_members());
  }
  if (Server.send(to, envelope))
    count(envelope);
}

void PeerLinks::answerPull(const PeerId &to, const wire::PullSettings &pull) {
  wire::Envelope envelope;
  envelope.mutable_settings()->set_generation(Self.Settings.Value);
  envelope.mutable_settings()->set_snapshot(Hooks.Serve({pull.newer_than()}));
  if (Server.send(to, envelope))
    count(envelope);
}

void PeerLinks::count(const wire::Envelope &envelope) {
  ++Counts.Messages;
  Counts.Bytes += envelope.ByteSizeLong();
}

} // namespace greengagespar
