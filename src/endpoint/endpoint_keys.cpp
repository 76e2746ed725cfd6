// How the endpoint process runs calls with an idempotency key at most once:
//
// - The first call with a key creates an execution in Table.ByKey and claims
//   the key. The call runs only if the claim wins, which call/key_votes.h
//   allows to one runner only, also across restarts.
// - Later calls with the key join that execution and get its outcome. They are
//   refused if their request differs from the first one.
// - The execution remains until the key's window has passed since it finished.
//   It is removed earlier only if its claim did not win, or if the service
//   never received the request. The claim is then released.
// - If the claim loses to another server, the entry is referred to that server.
//   If it loses to an earlier incarnation of this process, the outcome is
//   unknown, because the lost record may have held a call that ran.

#include "endpoint.h"

#include "greengagespar/base/log.h"

namespace greengagespar {

KeyClaimHooks Endpoint::claimHooks() {
  KeyClaimHooks hooks;
  hooks.Send = [this](const PeerId &peer, wire::Envelope &envelope) {
    Server.send(peer, envelope);
  };
  hooks.OnWon = [this](const KeyClaim &claim) { onClaimWon(claim); };
  hooks.OnLost = [this](const KeyClaim &claim, const KeyClaim &rival) {
    onClaimLost(claim, rival);
  };
  return hooks;
}

void Endpoint::runKeyed(const PeerId &peer, const wire::Run &run) {
  ScopedKey key = keyOf(run);
  if (auto it = Table.ByKey.find(key); it != Table.ByKey.end())
    return joinKeyed(peer, run, it->second);
  if (KeptBytes >= Settings.DedupeMemoryBytes)
    return refuse(peer, run.call(), ErrorKind::Overloaded,
                  "the memory for idempotency keys is full", true);
  ExecutionPtr execution = makeExecution(peer, run);
  execution->Key = key;
  execution->Fingerprint = fingerprintOf(run.service());
  execution->State = ExecutionState::Claiming;
  Table.ByKey[key] = execution;
  Table.ByCall[callOf(run.call())] = execution;
  execution->Claim = Claims.claim(
      key, std::chrono::milliseconds(run.service().dedupe_window_ms()));
}

void Endpoint::joinKeyed(const PeerId &peer, const wire::Run &run,
                         const ExecutionPtr &execution) {
  if (execution->Fingerprint != fingerprintOf(run.service()))
    return refuse(peer, run.call(), ErrorKind::KeyConflict,
                  "the idempotency key was used for another request", true);
  Table.ByCall[callOf(run.call())] = execution;
  setListener(*execution, {callOf(run.call()), peer, 0});
  flush(*execution);
}

ExecutionPtr Endpoint::findClaiming(const KeyClaim &claim) {
  auto it = Table.ByKey.find(claim.Key);
  if (it == Table.ByKey.end())
    return nullptr;
  const ExecutionPtr &execution = it->second;
  bool isSame = execution->State == ExecutionState::Claiming &&
                execution->Claim && *execution->Claim == claim;
  return isSame ? execution : nullptr;
}

void Endpoint::onClaimWon(const KeyClaim &claim) {
  ExecutionPtr execution = findClaiming(claim);
  if (!execution)
    return;
  // The deadline may have passed: this process may have been paused since it
  // received the call.
  if (hasPassed(execution->Expires, Clock::now()))
    return giveUpClaim(*execution);
  begin(execution);
}

void Endpoint::onClaimLost(const KeyClaim &claim, const KeyClaim &rival) {
  ExecutionPtr execution = findClaiming(claim);
  if (!execution)
    return;
  execution->Claim.reset();
  if (rival.Runner != Settings.Server) {
    failWith(*execution, ErrorKind::KeyHeld,
             "another server has the call of this key", true, rival.Runner);
  } else {
    failWith(*execution, ErrorKind::OutcomeUnknown,
             "an earlier incarnation of this process claimed the call's key",
             false);
  }
  removeKey(*execution);
}

void Endpoint::giveUpClaim(Execution &execution) {
  bool isUnopposed = Claims.release(*execution.Claim);
  execution.Claim.reset();
  failWith(execution,
           isUnopposed ? ErrorKind::DeadlineExceeded
                       : ErrorKind::OutcomeUnknown,
           "the call's key could not be claimed in time", isUnopposed);
  removeKey(execution);
}

void Endpoint::removeKey(Execution &execution) {
  if (execution.Claim)
    Claims.release(*execution.Claim);
  execution.Claim.reset();
  auto it = Table.ByKey.find(*execution.Key);
  if (it != Table.ByKey.end() && it->second.get() == &execution)
    Table.ByKey.erase(it);
}

} // namespace greengagespar
