#include "greengagespar/call/call_state.h"

#include <utility>

namespace greengagespar {

namespace {

using Actions = std::vector<CallAction>;

Actions refuse(CallState &state, Error reason, Ran ran) {
  state.Phase = CallPhase::Done;
  if (ran == Ran::No && state.MayHaveRun)
    ran = Ran::Unknown;
  return {RefuseCaller{std::move(reason), ran}};
}

Actions dispatchAgain(CallState &state, const Error &reason, bool isRetry) {
  if (state.Attempts >= MaxAttempts)
    return refuse(state, reason, Ran::No);
  state.Phase = CallPhase::Waiting;
  return {Dispatch{state.Server, isRetry, {}}};
}

// Returns whether another server, or the same one later, may accept a call that
// was refused for this reason.
bool mayTryElsewhere(ErrorKind kind) {
  switch (kind) {
  case ErrorKind::Leaving:
  case ErrorKind::LinkDown:
  case ErrorKind::Overloaded:
  case ErrorKind::EndpointFailed:
  case ErrorKind::NotFound:
  case ErrorKind::NotReady:
  case ErrorKind::NoEndpoint:
  case ErrorKind::StaleSettings:
    return true;
  default:
    return false;
  }
}

// Returns whether an attempt that failed with `kind` used capacity of a server.
// Sending the call again then counts as a retry.
bool usedServerCapacity(ErrorKind kind) {
  return kind == ErrorKind::EndpointFailed || kind == ErrorKind::Overloaded;
}

bool isAtEndpoint(const CallState &state) {
  return state.Phase == CallPhase::Sent || state.Phase == CallPhase::Running ||
         state.Phase == CallPhase::Revoking;
}

Actions on(CallState &state, const Dispatched &event) {
  state.Phase = CallPhase::Sent;
  state.Server = event.Server;
  state.EndpointIncarnation = event.EndpointIncarnation;
  ++state.Attempts;
  return {};
}

Actions on(CallState &state, const NotDispatched &event) {
  return refuse(state, event.Reason, Ran::No);
}

Actions on(CallState &state, const Acknowledged &) {
  if (state.Phase == CallPhase::Sent)
    state.Phase = CallPhase::Running;
  return {};
}

Actions on(CallState &state, const TokensArrived &event) {
  if (!isAtEndpoint(state))
    return {};
  if (event.Offset > state.ReceivedTokens)
    return {RequestResume{}};
  std::uint32_t skip = state.ReceivedTokens - event.Offset;
  if (skip >= event.Count)
    return {};
  state.ReceivedTokens += event.Count - skip;
  return {DeliverTokens{skip}};
}

Actions on(CallState &state, const Ended &event) {
  if (!isAtEndpoint(state))
    return {};
  if (event.Tokens > state.ReceivedTokens)
    return {RequestResume{}};
  state.Phase = CallPhase::Done;
  return {Complete{}, SendCancel{}};
}

// Sends the call to the server that has claimed its key. That server has an
// earlier attempt with the same key, which may have run.
Actions dispatchToKeyOwner(CallState &state, const Refused &event) {
  state.MayHaveRun = true;
  if (state.Attempts >= MaxAttempts)
    return refuse(state, {ErrorKind::OutcomeUnknown, event.Reason.Message},
                  Ran::Unknown);
  state.Phase = CallPhase::Waiting;
  return {Dispatch{{}, false, event.KeyOwner}};
}

Actions on(CallState &state, const Refused &event) {
  if (!isAtEndpoint(state))
    return {};
  if (event.Reason.Kind == ErrorKind::KeyHeld)
    return dispatchToKeyOwner(state, event);
  if (!event.DidNotRun)
    state.MayHaveRun = true;
  bool mayRunAgain = !event.MayCrashServers &&
                     (event.DidNotRun || state.Repeatable == Repeat::Allowed);
  if (mayRunAgain && mayTryElsewhere(event.Reason.Kind))
    return dispatchAgain(state, event.Reason,
                         usedServerCapacity(event.Reason.Kind));
  if (event.DidNotRun)
    return refuse(state, event.Reason, Ran::No);
  if (state.Repeatable == Repeat::Allowed)
    return refuse(state, event.Reason, Ran::Unknown);
  return refuse(state, {ErrorKind::OutcomeUnknown, event.Reason.Message},
                Ran::Unknown);
}

Actions on(CallState &state, const RevokeAnswered &event) {
  if (state.Phase != CallPhase::Revoking || !event.Revoked)
    return {};
  return refuse(state,
                {ErrorKind::DeadlineExceeded,
                 "the endpoint did not start the call in time"},
                Ran::No);
}

Actions on(CallState &state, const LinkReopened &) {
  if (state.Phase == CallPhase::Revoking)
    return {SendRevoke{}};
  // The endpoint process may never have received a call that it has not
  // acknowledged.
  if (state.Phase == CallPhase::Sent && state.Repeatable != Repeat::Never)
    return {SendAgain{}};
  if (isAtEndpoint(state))
    return {RequestResume{}};
  return {};
}

Actions on(CallState &state, const EndpointLost &) {
  if (!isAtEndpoint(state))
    return {};
  state.MayHaveRun = true;
  if (state.Repeatable == Repeat::Never)
    return refuse(state,
                  {ErrorKind::OutcomeUnknown,
                   "the endpoint process was lost while it had the call"},
                  Ran::Unknown);
  // A keyed call may be sent to another server, because the votes on its key
  // let only one server run it.
  return dispatchAgain(
      state, {ErrorKind::LinkDown, "the endpoint process was lost"}, true);
}

Actions on(CallState &state, const DeadlineNear &) {
  if (state.Repeatable == Repeat::Allowed || !isAtEndpoint(state))
    return {};
  state.Phase = CallPhase::Revoking;
  return {SendRevoke{}};
}

Actions on(CallState &state, const DeadlineReached &) {
  bool isKeyed = state.Repeatable == Repeat::Keyed;
  if (!isAtEndpoint(state) && isKeyed && state.MayHaveRun)
    return refuse(state,
                  {ErrorKind::OutcomeUnknown,
                   "the endpoint that had the call did not come back in time"},
                  Ran::Unknown);
  if (!isAtEndpoint(state))
    return refuse(state,
                  {ErrorKind::DeadlineExceeded, "no endpoint was free in time"},
                  Ran::No);
  ErrorKind kind = state.Repeatable == Repeat::Allowed
                       ? ErrorKind::DeadlineExceeded
                       : ErrorKind::OutcomeUnknown;
  Actions actions =
      refuse(state, {kind, "the deadline passed while the call was running"},
             Ran::Unknown);
  actions.emplace_back(SendCancel{});
  return actions;
}

Actions on(CallState &state, const CallerDisconnected &) {
  bool cancel = isAtEndpoint(state);
  state.Phase = CallPhase::Done;
  if (cancel)
    return {SendCancel{}};
  return {};
}

} // namespace

std::vector<CallAction> decideCall(CallState &state, const CallEvent &event) {
  if (state.Phase == CallPhase::Done)
    return {};
  return std::visit([&](const auto &it) { return on(state, it); }, event);
}

} // namespace greengagespar
