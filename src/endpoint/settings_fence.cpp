#include "settings_fence.h"

#include "execution.h"
#include <algorithm>
#include <utility>

namespace greengagespar {

namespace {

// A starting endpoint process waits up to this long for messages from entries
// before it reads the platform, so that the processes of a restarting data
// centre do not all read it at once.
constexpr std::chrono::milliseconds StartSpread{5000};

ConfigFollowerOptions followerOptions(std::uint64_t seed) {
  ConfigFollowerOptions options;
  options.Role = ConfigRole::Follows;
  options.StartSpread = StartSpread;
  options.Seed = seed;
  return options;
}

// Returns the peer's routing id in place of its address: answers are sent to
// it.
Address addressOf(const PeerId &peer) { return {peer.Value}; }

} // namespace

SettingsFence::SettingsFence(event_base *base, const EndpointSettings &settings,
                             std::uint64_t seed, SettingsFenceHooks hooks)
    : Hooks(std::move(hooks)),
      Platform(base, clientOptionsFor(settings.Platform)),
      Pulls(base,
            [this](const Address &peer, wire::Envelope &envelope) {
              return Hooks.Send(PeerId{peer.Value}, envelope);
            }),
      Follower(base, Platform, followerOptions(seed), followerHooks()),
      ReleaseTimer(base, [this] { releaseHeldCalls(); }) {}

ConfigFollowerHooks SettingsFence::followerHooks() {
  ConfigFollowerHooks hooks;
  hooks.OnContract = [this](std::shared_ptr<const Contract> contract) {
    Hooks.OnContract(std::move(contract));
    // The loop releases the held calls later, because a message may be in the
    // middle of its handling now.
    ReleaseTimer.start({});
  };
  hooks.Pull = [this](const Address &peer, Generation since,
                      ConfigFollowerHooks::PullAnswer done) {
    Pulls.pull(peer, since, std::move(done));
  };
  return hooks;
}

bool SettingsFence::handleMessage(const PeerId &peer,
                                  const wire::Envelope &envelope) {
  if (envelope.has_settings()) {
    Pulls.handleAnswer(addressOf(peer), envelope.settings());
    return true;
  }
  if (envelope.has_pull_settings()) {
    wire::Envelope answer;
    auto *settings = answer.mutable_settings();
    settings->set_generation(Follower.held().At.Value);
    settings->set_snapshot(
        Follower.serve({envelope.pull_settings().newer_than()}));
    Hooks.Send(peer, answer);
    return true;
  }
  // Settings are pulled from the sender only if it is an entry, which answers
  // such pulls. Only entries send probes and runs.
  bool isFromEntry = envelope.has_probe() || envelope.has_run();
  if (isFromEntry && envelope.generation() > 0)
    Follower.onPeerGeneration(addressOf(peer), {envelope.generation()});
  return false;
}

Fence SettingsFence::decide(const wire::Envelope &run) const {
  return decideFence({run.generation()}, Follower.generation());
}

bool SettingsFence::hold(const PeerId &peer, const wire::Envelope &run) {
  std::size_t bytes = run.ByteSizeLong();
  if (HeldBytes + bytes > MaxHeldBytes)
    return false;
  bool isNew =
      Held.emplace(callOf(run.run().call()), HeldRun{peer, run, Clock::now()})
          .second;
  if (isNew)
    HeldBytes += bytes;
  return true;
}

bool SettingsFence::redirect(const CallId &call, const PeerId &peer) {
  auto it = Held.find(call);
  if (it == Held.end())
    return false;
  it->second.Peer = peer;
  return true;
}

void SettingsFence::releaseHeldCalls() {
  auto now = Clock::now();
  std::unordered_map<CallId, HeldRun> held = std::exchange(Held, {});
  HeldBytes = 0;
  for (auto &[id, it] : held) {
    auto waited =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - it.Since);
    std::int64_t left = it.Message.run().time_left_ms() - waited.count();
    it.Message.mutable_run()->set_time_left_ms(
        static_cast<std::uint32_t>(std::max<std::int64_t>(left, 0)));
    Hooks.OnReleased(it);
  }
}

void SettingsFence::tick(Clock::time_point now) {
  std::vector<HeldRun> expired;
  for (auto it = Held.begin(); it != Held.end();) {
    if (now - it->second.Since < MaxHoldTime) {
      ++it;
      continue;
    }
    HeldBytes -= it->second.Message.ByteSizeLong();
    expired.push_back(std::move(it->second));
    it = Held.erase(it);
  }
  for (const HeldRun &it : expired)
    Hooks.OnExpired(it);
}

} // namespace greengagespar
