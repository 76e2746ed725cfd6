#include "greengagespar/peers/peer_links.h"

#include "greengagespar/base/log.h"
#include "greengagespar/link/member_message.h"
#include <algorithm>
#include <utility>

namespace greengagespar {

namespace {

// Time between two looks at what is due.
constexpr std::chrono::milliseconds TickInterval{100};

// A link on which nothing came for this long is opened afresh: a connection can
// go silent for good while new ones work.
constexpr std::chrono::milliseconds ReopenAfter{1500};

// A link that was not used for this long is closed.
constexpr std::chrono::milliseconds CloseAfter{5000};

// One partner of each kind is replaced once in so many rounds.
constexpr std::uint64_t RenewEvery = 4;

bool isNews(MergeOutcome outcome) {
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
      Rng(self.Life.Value), Tick(base, [this] { tick(); }) {
  View.Limits.DigestRows = DigestRows;
  // Two rounds of all rows.
  View.Limits.PerMember = HeartbeatInterval * 2 / DigestRows;
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

void PeerLinks::announce() { round(); }

void PeerLinks::tick() {
  auto now = Clock::now();
  if (now >= NextRound)
    round();
  else
    std::erase_if(Unsent, [this](const Address &it) { return sendDigest(it); });
  Tick.start(TickInterval);
}

void PeerLinks::round() {
  auto now = Clock::now();
  NextRound = now + HeartbeatInterval;
  beat(View, Hooks.OwnRow(), now);
  sweep(now);
  bool renew = ++Rounds % RenewEvery == 0;
  Partners = choosePartners(View, Seeds, Partners, renew, Limits, Rng);
  Unsent.clear();
  for (const Address &it : Partners)
    if (!sendDigest(it))
      Unsent.push_back(it);
  Urgent.clear();
  closeUnused(now);
}

void PeerLinks::sweep(Clock::time_point now) {
  SweepOutcome outcome = sweepMembers(View, now);
  for (const Address &it : outcome.Silent)
    logWarning(Part::Host, "entry " + View.Members[it].Row.Host.Value + " at " +
                               it.Value + " is silent");
  // Entries that lost each other for long look for each other again.
  addSeeds(outcome.Forgotten);
  if (!outcome.Silent.empty())
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
    if (auto found = View.Members.find(it); found != View.Members.end())
      writeMember(found->second.Row, *message.add_members());
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
  peer.LastHeard = Clock::now();
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
    if (now - peer.LastHeard < ReopenAfter)
      continue;
    peer.Client->reopen();
    peer.LastHeard = now;
  }
}

void PeerLinks::onRequest(const PeerId &from, const wire::Envelope &envelope) {
  if (envelope.has_pull_settings())
    return answerPull(from, envelope.pull_settings());
  if (!envelope.has_members())
    return;
  take(envelope);
  if (envelope.members().wants_answer())
    answerDigest(from, envelope.members());
}

void PeerLinks::onAnswer(const Address &address,
                         const wire::Envelope &envelope) {
  Peers[address].LastHeard = Clock::now();
  if (envelope.has_members())
    return take(envelope);
  Hooks.OnMentioned(address, {envelope.generation()});
  if (envelope.has_settings())
    Hooks.OnSettings(address, envelope.settings());
}

void PeerLinks::take(const wire::Envelope &envelope) {
  bool changed = false;
  std::vector<MemberRow> rows = readMembers(envelope.members());
  for (const MemberRow &it : rows)
    changed = merge(it) || changed;
  if (!rows.empty() &&
      rows.front().Link.Value == envelope.members().members(0).link())
    Hooks.OnMentioned(rows.front().Link, {envelope.generation()});
  if (changed)
    Hooks.OnChange();
}

bool PeerLinks::merge(const MemberRow &row) {
  if (row.Role != MemberRole::Entry)
    return false;
  if (row.Link == View.Self) {
    const MemberRow &own = View.Members[View.Self].Row;
    bool sameLife = row.Life == own.Life && row.Heartbeat > own.Heartbeat;
    if (row.Life > own.Life || sameLife)
      Hooks.OnOutlived(row.Life);
    return false;
  }
  if (View.Members.size() >= MaxMembers && !View.Members.contains(row.Link))
    return false;
  MergeOutcome outcome = mergeMember(View, row, Clock::now());
  if (!isNews(outcome))
    return false;
  logInfo(Part::Host, "entry " + row.Host.Value + " at " + row.Link.Value +
                          (row.Leaving ? " is leaving" : " is live"));
  if (outcome != MergeOutcome::Left)
    return true;
  // Passed on at once, so that callers are not sent there any more.
  if (Urgent.size() < DigestRows)
    Urgent.insert(row.Link);
  NextRound = {};
  return true;
}

void PeerLinks::answerDigest(const PeerId &to, const wire::Members &asked) {
  wire::Envelope envelope;
  fillDigest(*envelope.mutable_members(), false);
  // Tells a process whose clock stood back that it needs a later life.
  if (asked.members_size() > 0) {
    auto known = View.Members.find({asked.members(0).link()});
    if (known != View.Members.end() &&
        known->second.Row.Life.Value > asked.members(0).incarnation())
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
