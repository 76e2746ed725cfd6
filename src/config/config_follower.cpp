#include "greengagespar/config/config_follower.h"

#include "greengagespar/base/log.h"
#include <utility>

namespace greengagespar {

namespace {

constexpr std::chrono::milliseconds TickInterval{250};

PrefixWatchOptions watchOptions(const ConfigFollowerOptions &options,
                                const ConfigFollowerHooks &hooks,
                                const char *prefix,
                                std::chrono::milliseconds wait) {
  PrefixWatchOptions watch;
  watch.Prefix = prefix;
  watch.Spread.Wait = wait;
  watch.Slot = hooks.Slot;
  watch.Retry = options.Retry;
  return watch;
}

} // namespace

ConfigFollower::ConfigFollower(event_base *loop, ObjectClient &client,
                               ConfigFollowerOptions options,
                               ConfigFollowerHooks hooks)
    : Loop(loop), Client(client), Options(options), Hooks(std::move(hooks)),
      Rng(options.Seed), ReadDelay{options.Retry}, Reader(client),
      IndexWatch(
          loop, client,
          watchOptions(options, Hooks, IndexPath, options.IndexWait),
          options.Seed + 1,
          [this](const PrefixChange &change) { indexChanged(change); },
          nullptr),
      TeamsWatch(
          loop, client,
          watchOptions(options, Hooks, TeamsPrefix, options.TeamsWait),
          options.Seed + 2,
          [this](const PrefixChange &change) {
            if (Acceptor)
              Acceptor->teamsChanged(change);
          },
          nullptr),
      Tick(loop, [this] { tick(); }) {
  State.Limits = Options.Limits;
}

void ConfigFollower::start() {
  Clock::time_point now = Clock::now();
  State.StartedAt = now;
  State.LastContact = now;
  if (Hooks.Pull)
    State.EarliestRead = now + randomDelay(Options.StartSpread);
  applyRole();
  tick();
}

void ConfigFollower::setRole(ConfigRole role) {
  if (role == Options.Role)
    return;
  Options.Role = role;
  applyRole();
}

void ConfigFollower::applyRole() {
  State.Watches = Options.Role != ConfigRole::Follows;
  if (State.Watches)
    IndexWatch.start();
  else
    IndexWatch.stop();
  if (Options.Role != ConfigRole::Accepts) {
    TeamsWatch.stop();
    Acceptor.reset();
    return;
  }
  if (Acceptor)
    return;
  TeamAcceptorHooks hooks;
  hooks.OnIndex = [this](const IndexObject &index) {
    updateNewestIndex(index);
  };
  hooks.Turn = Hooks.Turn;
  hooks.HighestKnown = [this] { return State.HighestKnown; };
  Acceptor = std::make_unique<TeamAcceptor>(Loop, Client, Options.Acceptor,
                                            std::move(hooks));
  if (NewestIndex)
    Acceptor->indexReceived(*NewestIndex);
  // A new acceptor needs all objects that teams have written.
  TeamsWatch.listAgain();
  TeamsWatch.start();
}

void ConfigFollower::tick() {
  handle(ConfigTick{});
  Tick.start(TickInterval);
}

void ConfigFollower::onPeerGeneration(const Address &peer, Generation at) {
  handle(PeerGenerationReceived{peer, at});
}

std::string ConfigFollower::serve(Generation since) const {
  return State.Installed ? serializeSnapshot(Held, since) : std::string();
}

void ConfigFollower::handle(const ConfigEvent &event) {
  for (const ConfigAction &action : decideConfig(State, event, Clock::now()))
    std::visit([this](const auto &it) { act(it); }, action);
}

void ConfigFollower::act(const PullFromPeer &action) {
  auto done = [this, peer = action.Peer](Result<std::string> result) {
    handlePullResult(peer, std::move(result));
  };
  if (Hooks.Pull)
    Hooks.Pull(action.Peer, Held.At, CallbackGuard.wrap(done));
  else
    handle(PullFailed{action.Peer, Clock::duration::zero()});
}

void ConfigFollower::act(const ReadPlatform &) {
  auto done = [this](Result<Snapshot> result) {
    handleReadResult(std::move(result));
  };
  bool indexIsNewer = NewestIndex && NewestIndex->Value.At > Held.At;
  if (indexIsNewer)
    Reader.readAccepted(Held, NewestIndex->Value, CallbackGuard.wrap(done));
  else
    Reader.read(Held, CallbackGuard.wrap(done));
}

void ConfigFollower::act(const InstallSettings &action) {
  Held = std::move(Candidate);
  // Generation 0 means that no settings have been accepted yet.
  if (action.At.Value > 0)
    logInfo(Part::Contract, "settings of generation " +
                                std::to_string(action.At.Value) +
                                " are in force");
  Hooks.OnContract(contractOf(Held));
}

void ConfigFollower::handlePullResult(const Address &peer,
                                      Result<std::string> result) {
  recoverFrom(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(text, std::move(result));
        BOOST_LEAF_ASSIGN(Candidate, parseSnapshot(Held, text));
        handle(SnapshotReceived{peer, Candidate.At,
                                randomDelay(Options.PeerGrace)});
        return {};
      },
      [&](const Error &) {
        handle(PullFailed{peer, randomDelay(Options.PeerGrace)});
      });
}

void ConfigFollower::handleReadResult(Result<Snapshot> result) {
  recoverFrom(
      [&]() -> Result<void> {
        BOOST_LEAF_ASSIGN(Candidate, std::move(result));
        reset(ReadDelay);
        bool indexIsNewer = NewestIndex && NewestIndex->Value.At > Candidate.At;
        Clock::duration delay{};
        if (!indexIsNewer)
          delay = randomDelay(Options.PeerGrace);
        handle(SnapshotReceived{{}, Candidate.At, delay});
        return {};
      },
      [&](const Error &) { handle(ReadFailed{nextDelay(ReadDelay, Rng)}); });
}

void ConfigFollower::indexChanged(const PrefixChange &change) {
  if (!change.IsSnapshot && change.Objects.empty()) {
    handle(IndexReceived{Held.At});
    return;
  }
  IndexObject index;
  for (const Object &object : change.Objects)
    if (object.Path == IndexPath) {
      bool valid = recoverFrom(
          [&]() -> Result<bool> {
            BOOST_LEAF_ASSIGN(index.Value, readIndex(object.Value));
            index.Version = object.Version;
            return true;
          },
          [](const Error &e) {
            logError(Part::Contract, "the index is malformed; this process "
                                     "keeps its settings: " +
                                         e.Message);
            return false;
          });
      if (!valid)
        return;
    }
  updateNewestIndex(index);
}

void ConfigFollower::updateNewestIndex(const IndexObject &index) {
  if (NewestIndex && index.Version <= NewestIndex->Version)
    return;
  NewestIndex = index;
  if (Acceptor)
    Acceptor->indexReceived(index);
  handle(IndexReceived{index.Value.At});
}

Clock::duration ConfigFollower::randomDelay(std::chrono::milliseconds within) {
  std::uniform_int_distribution<std::int64_t> pick(0, within.count());
  return std::chrono::milliseconds(pick(Rng));
}

} // namespace greengagespar
