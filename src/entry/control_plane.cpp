#include "control_plane.h"

#include "greengagespar/base/hash.h"
#include "greengagespar/base/log.h"
#include <algorithm>
#include <utility>

namespace greengagespar {

namespace {

// Time between two checks of this entry's role and of the reports to write.
constexpr std::chrono::milliseconds ReviewInterval{500};

// A starting entry does not watch the platform until it has had time to
// discover its peers. Otherwise all entries that start at the same time would
// watch it.
constexpr std::chrono::milliseconds PeerDiscoveryTime{1500};

// A starting entry reports nothing until its links to all processes have had
// time to come up.
constexpr std::chrono::seconds LinkSetupTime{4};

// An entry that knows no other entry lists the entries again after this time.
constexpr std::chrono::seconds RelistInterval{30};

ConfigFollowerOptions followerOptions(std::uint64_t seed) {
  ConfigFollowerOptions options;
  options.Role = ConfigRole::Follows;
  options.Seed = seed;
  options.Acceptor.Seed = seed + 1;
  return options;
}

MemberView emptyView(const EntrySettings &settings) {
  MemberView view;
  view.Self = settings.Link;
  view.DataCentre = settings.DataCentre;
  return view;
}

MemberRow directoryRow(const EntrySettings &settings) {
  MemberRow row;
  row.Host = settings.Name;
  row.Link = settings.Link;
  row.Callers = settings.Advertise;
  row.DataCentre = settings.DataCentre;
  return row;
}

} // namespace

ControlPlane::ControlPlane(event_base *base, zmq::context_t &context,
                           const EntrySettings &settings, LinkIdentity &self,
                           ControlPlaneHooks hooks)
    : Settings(settings), Self(self), Hooks(std::move(hooks)),
      Platform(base, clientOptionsFor(settings.Platform)),
      Peers(base, context, self, emptyView(settings), peerHooks()),
      Pulls(base,
            [this](const Address &peer, wire::Envelope &envelope) {
              return Peers.send(peer, envelope);
            }),
      Follower(base, Platform, followerOptions(self.ProcessIncarnation.Value),
               followerHooks()),
      Directory(base, Platform, directoryRow(settings),
                self.ProcessIncarnation.Value,
                [this](const std::vector<Address> &found) {
                  ListedAt = Clock::now();
                  Peers.addSeeds(found);
                }),
      Reporter(Platform, self.ProcessIncarnation.Value),
      Review(base, [this] { review(); }) {
  Platform.onRestore([this](StoreTimeline before) { onRestore(before); });
}

// What this entry wrote to the platform in the last seconds may be gone.
void ControlPlane::onRestore(StoreTimeline before) {
  logWarning(Part::Platform, "the platform's store was restored: timeline " +
                                 std::to_string(Platform.timeline().Value) +
                                 " after " + std::to_string(before.Value));
  Directory.start();
  Reporter.reportAgain();
}

PeerLinksHooks ControlPlane::peerHooks() {
  PeerLinksHooks hooks;
  hooks.OwnRow = [this] { return ownRow(); };
  hooks.OnGeneration = [this](const Address &peer, Generation at) {
    onPeerGeneration(peer, at);
  };
  hooks.Serve = [this](Generation since) { return serve(since); };
  hooks.OnSettings = [this](const Address &peer, const wire::Settings &it) {
    Pulls.handleAnswer(peer, it);
  };
  hooks.OnChange = [this] { reviewRole(); };
  hooks.AddToDigest = Hooks.AddToDigest;
  hooks.OnDigest = Hooks.OnDigest;
  hooks.OnLaterIncarnation = [this](Incarnation life) {
    raiseIncarnation(life);
  };
  return hooks;
}

ConfigFollowerHooks ControlPlane::followerHooks() {
  ConfigFollowerHooks hooks;
  hooks.OnContract = [this](std::shared_ptr<const Contract> contract) {
    Hooks.OnContract(std::move(contract));
  };
  hooks.Pull = [this](const Address &peer, Generation since,
                      ConfigFollowerHooks::PullAnswer done) {
    Pulls.pull(peer, since, std::move(done));
  };
  hooks.Turn = [this](const TeamId &team) { return watcherPosition(team); };
  hooks.Slot = [this] {
    auto watchers = watcherOrder({}, Peers.view());
    auto it = std::ranges::find(watchers, Settings.Link);
    return PollSlot{static_cast<std::size_t>(it - watchers.begin()),
                    watchers.size()};
  };
  return hooks;
}

Result<void> ControlPlane::start() {
  StartedAt = Clock::now();
  Peers.addSeeds(Settings.Peers);
  BOOST_LEAF_CHECK(Peers.start());
  Directory.start();
  Follower.start();
  review();
  return {};
}

void ControlPlane::leave() {
  Leaving = true;
  Peers.announce();
}

MemberRow ControlPlane::ownRow() const {
  MemberRow row = directoryRow(Settings);
  row.ProcessIncarnation = Self.ProcessIncarnation;
  row.Leaving = Leaving;
  row.Settings = Self.Settings;
  return row;
}

std::vector<EntryAddress>
ControlPlane::entriesFor(std::string_view caller) const {
  const MemberView &view = Peers.view();
  std::vector<EntryAddress> out;
  for (const Address &it : entriesForCaller(
           view, Settings.DataCentre, stableHash(caller), MaxEntriesListed))
    for (const auto &[link, member] : view.Members)
      if (member.Row.Callers == it && acceptsWork(member)) {
        out.push_back({it, member.Row.DataCentre});
        break;
      }
  return out;
}

std::size_t ControlPlane::liveEntries() const {
  const auto &members = Peers.view().Members;
  return static_cast<std::size_t>(std::ranges::count_if(
      members, [](const auto &it) { return acceptsWork(it.second); }));
}

void ControlPlane::onPeerGeneration(const Address &peer, Generation at) {
  if (at.Value > 0)
    Follower.onPeerGeneration(peer, at);
}

void ControlPlane::review() {
  auto now = Clock::now();
  reviewRole();
  if (IsWatcher && now - StartedAt > LinkSetupTime)
    Reporter.review(Follower.held(), allNodes(), [this](const TeamId &team) {
      return watcherPosition(team) == 0;
    });
  if (Peers.view().Members.size() < 2 && now - ListedAt > RelistInterval)
    Directory.start();
  Review.start(ReviewInterval);
}

void ControlPlane::reviewRole() {
  if (Clock::now() - StartedAt < PeerDiscoveryTime)
    return;
  auto watchers = watchersOf(Settings.DataCentre, Peers.view());
  IsWatcher = std::ranges::count(watchers, Settings.Link) > 0;
  Follower.setRole(IsWatcher ? ConfigRole::Accepts : ConfigRole::Follows);
}

std::size_t ControlPlane::watcherPosition(const TeamId &team) const {
  auto order = watcherOrder(team, Peers.view());
  auto it = std::ranges::find(order, Settings.Link);
  return static_cast<std::size_t>(it - order.begin());
}

MemberView ControlPlane::allNodes() const {
  MemberView all = Peers.view();
  for (MemberRow &it : Hooks.Endpoints()) {
    Address link = it.Link;
    all.Members[link] = {std::move(it), MemberState::Live, {}};
  }
  return all;
}

void ControlPlane::raiseIncarnation(Incarnation known) {
  logWarning(Part::Host,
             "peers remember a later life of this address, so its clock "
             "stands back; taking a life after that one");
  Self.ProcessIncarnation = {known.Value + 1};
}

} // namespace greengagespar
