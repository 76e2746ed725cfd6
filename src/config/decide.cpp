#include "greengagespar/config/decide.h"

#include <algorithm>

namespace greengagespar {

namespace {

using Actions = std::vector<ConfigAction>;

bool isBehind(const ConfigState &state) {
  return !state.Installed || *state.Installed < state.HighestKnown;
}

void readPlatform(ConfigState &state, Clock::time_point now, Actions &actions) {
  if (state.ReadInProgress || now < state.EarliestRead)
    return;
  state.ReadInProgress = true;
  actions.emplace_back(ReadPlatform{});
}

void postponeRead(ConfigState &state, Clock::time_point until) {
  state.EarliestRead = std::max(state.EarliestRead, until);
}

/// Schedules a read of the platform after a peer has failed. Only the first
/// failure sets the time: if each one did, repeated failures would postpone the
/// read forever.
void scheduleFallbackRead(ConfigState &state, Clock::time_point deadline) {
  if (state.ReadDeadline)
    return;
  state.ReadDeadline = deadline;
  postponeRead(state, deadline);
}

/// Pulls from one peer that is ahead. Reads the platform when no peer is ahead
/// or when ReadDeadline has passed.
void catchUp(ConfigState &state, Clock::time_point now, Actions &actions) {
  if (!isBehind(state)) {
    state.ReadDeadline.reset();
    return;
  }
  if (state.ReadDeadline && *state.ReadDeadline <= now)
    readPlatform(state, now, actions);
  if (!state.PullsInProgress.empty())
    return;
  if (state.PeersAhead.empty()) {
    readPlatform(state, now, actions);
    return;
  }
  Address peer = *state.PeersAhead.begin();
  state.PullsInProgress.insert(peer);
  actions.emplace_back(PullFromPeer{peer});
}

void decide(ConfigState &state, const PeerGenerationReceived &event,
            Clock::time_point now, Actions &actions) {
  state.LastContact = now;
  if (event.At > state.HighestKnown) {
    state.HighestKnown = event.At;
    state.PeersAhead.clear();
  }
  if (event.At == state.HighestKnown && isBehind(state))
    state.PeersAhead.insert(event.Peer);
  catchUp(state, now, actions);
}

void decide(ConfigState &state, const IndexReceived &event,
            Clock::time_point now, Actions &actions) {
  state.LastContact = now;
  state.HighestKnown = std::max(state.HighestKnown, event.At);
  if (!state.Installed || *state.Installed < event.At)
    readPlatform(state, now, actions);
}

void decide(ConfigState &state, const SnapshotReceived &event,
            Clock::time_point now, Actions &actions) {
  state.LastContact = now;
  if (event.Peer) {
    state.PullsInProgress.erase(*event.Peer);
    // The peer sent less than it reported, so don't pull from it again until it
    // reports this generation once more.
    if (event.At < state.HighestKnown)
      state.PeersAhead.erase(*event.Peer);
  } else {
    state.ReadInProgress = false;
    state.PlatformAnswered = true;
  }
  state.HighestKnown = std::max(state.HighestKnown, event.At);
  // A stale read or a lagging peer must never replace newer settings.
  if (!state.Installed || event.At > *state.Installed) {
    state.Installed = event.At;
    actions.emplace_back(InstallSettings{event.At});
  }
  if (!isBehind(state))
    state.PeersAhead.clear();
  else if (event.Peer)
    scheduleFallbackRead(state, now + event.Delay);
  else
    postponeRead(state, now + event.Delay);
  catchUp(state, now, actions);
}

void decide(ConfigState &state, const PullFailed &event, Clock::time_point now,
            Actions &actions) {
  state.PullsInProgress.erase(event.Peer);
  state.PeersAhead.erase(event.Peer);
  scheduleFallbackRead(state, now + event.Delay);
  catchUp(state, now, actions);
}

void decide(ConfigState &state, const ReadFailed &event, Clock::time_point now,
            Actions &actions) {
  state.ReadInProgress = false;
  postponeRead(state, now + event.Delay);
  catchUp(state, now, actions);
}

void decide(ConfigState &state, const ConfigTick &, Clock::time_point now,
            Actions &actions) {
  catchUp(state, now, actions);
  if (!state.Watches && now - state.LastContact > state.Limits.IsolationTimeout)
    readPlatform(state, now, actions);
}

} // namespace

std::vector<ConfigAction> decideConfig(ConfigState &state,
                                       const ConfigEvent &event,
                                       Clock::time_point now) {
  Actions actions;
  std::visit([&](const auto &it) { decide(state, it, now, actions); }, event);
  return actions;
}

bool isReady(const ConfigState &state, Clock::time_point now) {
  if (!state.Installed)
    return false;
  bool waited = now - state.StartedAt >= state.Limits.GatherTime;
  return state.PlatformAnswered || waited;
}

Fence decideFence(Generation call, std::optional<Generation> mine) {
  if (!mine || call > *mine)
    return Fence::PullFirst;
  return call == *mine ? Fence::Run : Fence::Refuse;
}

} // namespace greengagespar
