#include "greengagespar/config/decide.h"

#include <algorithm>

namespace greengagespar {

namespace {

using Actions = std::vector<ConfigAction>;

bool isBehind(const ConfigState &state) {
  return !state.Installed || *state.Installed < state.Known;
}

void readPlatform(ConfigState &state, Clock::time_point now, Actions &actions) {
  if (state.Reading || now < state.NextRead)
    return;
  state.Reading = true;
  actions.emplace_back(ReadPlatform{});
}

void leavePlatform(ConfigState &state, Clock::time_point until) {
  state.NextRead = std::max(state.NextRead, until);
}

/// Lets a peer's failure lead to a read of the platform. Only the first one
/// sets the time: more failures must not put it off.
void promiseRead(ConfigState &state, Clock::time_point due) {
  if (state.ReadDue)
    return;
  state.ReadDue = due;
  leavePlatform(state, due);
}

/// Asks one peer that is ahead; the platform when there is none, or when peers
/// have failed for long enough.
void chase(ConfigState &state, Clock::time_point now, Actions &actions) {
  if (!isBehind(state)) {
    state.ReadDue.reset();
    return;
  }
  if (state.ReadDue && *state.ReadDue <= now)
    readPlatform(state, now, actions);
  if (!state.Asked.empty())
    return;
  if (state.Ahead.empty()) {
    readPlatform(state, now, actions);
    return;
  }
  Address peer = *state.Ahead.begin();
  state.Asked.insert(peer);
  actions.emplace_back(PullFromPeer{peer});
}

void decide(ConfigState &state, const PeerMentioned &event,
            Clock::time_point now, Actions &actions) {
  state.LastWord = now;
  if (event.At > state.Known) {
    state.Known = event.At;
    state.Ahead.clear();
  }
  if (event.At == state.Known && isBehind(state))
    state.Ahead.insert(event.Peer);
  chase(state, now, actions);
}

void decide(ConfigState &state, const IndexSeen &event, Clock::time_point now,
            Actions &actions) {
  state.LastWord = now;
  state.Known = std::max(state.Known, event.At);
  if (!state.Installed || *state.Installed < event.At)
    readPlatform(state, now, actions);
}

void decide(ConfigState &state, const SnapshotRead &event,
            Clock::time_point now, Actions &actions) {
  state.LastWord = now;
  if (event.Peer) {
    state.Asked.erase(*event.Peer);
    // A peer that gave less than it mentioned is not asked again for it.
    if (event.At < state.Known)
      state.Ahead.erase(*event.Peer);
  } else {
    state.Reading = false;
    state.PlatformAnswered = true;
  }
  state.Known = std::max(state.Known, event.At);
  // A stale read, or a peer that lags, never takes settings back.
  if (!state.Installed || event.At > *state.Installed) {
    state.Installed = event.At;
    actions.emplace_back(InstallSettings{event.At});
  }
  if (!isBehind(state))
    state.Ahead.clear();
  else if (event.Peer)
    promiseRead(state, now + event.Delay);
  else
    leavePlatform(state, now + event.Delay);
  chase(state, now, actions);
}

void decide(ConfigState &state, const PullFailed &event, Clock::time_point now,
            Actions &actions) {
  state.Asked.erase(event.Peer);
  state.Ahead.erase(event.Peer);
  promiseRead(state, now + event.Delay);
  chase(state, now, actions);
}

void decide(ConfigState &state, const ReadFailed &event, Clock::time_point now,
            Actions &actions) {
  state.Reading = false;
  leavePlatform(state, now + event.Delay);
  chase(state, now, actions);
}

void decide(ConfigState &state, const ConfigTick &, Clock::time_point now,
            Actions &actions) {
  chase(state, now, actions);
  if (!state.Watches && now - state.LastWord > state.Limits.Isolated)
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
  bool waited = now - state.StartedAt >= state.Limits.Gather;
  return state.PlatformAnswered || waited;
}

Fence decideFence(Generation call, std::optional<Generation> mine) {
  if (!mine || call > *mine)
    return Fence::PullFirst;
  return call == *mine ? Fence::Run : Fence::Refuse;
}

} // namespace greengagespar
