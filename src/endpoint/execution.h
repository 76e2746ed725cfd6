/// \file
/// One run of a call on the server behind this process, the calls that receive
/// its messages, and the table of runs. Plain data and free functions; not
/// thread safe.
#ifndef GREENGAGESPAR_ENDPOINT_EXECUTION_H
#define GREENGAGESPAR_ENDPOINT_EXECUTION_H

#include "greengagespar/base/clock.h"
#include "greengagespar/base/ids.h"
#include "greengagespar/call/key_votes.h"
#include "greengagespar/link/link.h"
#include "upstream.h"
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace greengagespar {

/// The phase of an execution.
enum class ExecutionState {
  Claiming, ///< Waits for votes on its key; the call has not run.
  Running,  ///< The server has the request, or may have it.
  Finished, ///< The execution has an outcome.
};

/// A call of an entry that receives the messages of an execution.
struct Listener {
  CallId Call;
  PeerId Peer;
  std::uint32_t NextOffset = 0; ///< First token not sent to it yet.
};

/// One run of a call. Calls with the same key share one execution.
struct Execution {
  ExecutionState State = ExecutionState::Running;
  wire::Run Request;
  std::optional<ScopedKey> Key;  ///< Empty for a call without a key.
  std::uint64_t Fingerprint = 0; ///< Hash of a keyed request; otherwise 0.
  Deadline Expires;
  UpstreamId RequestId;    ///< The request to the server, when running.
  std::string PartialLine; ///< Bytes of a stream line that is not complete yet.
  std::uint32_t FirstOffset = 0;   ///< Of Tokens, in the whole stream.
  std::vector<std::string> Tokens; ///< Received from FirstOffset on.
  /// Received from the engine, whose answer may still turn out to be broken.
  std::optional<wire::End> StreamEnd;
  std::optional<wire::End> Answer;      ///< Set when the call succeeded.
  std::optional<wire::Refusal> Failure; ///< Set when the call failed.
  /// Numbers the end of the server as it began to answer; zero: it did not.
  std::uint64_t ServerEnd = 0;
  std::vector<Listener> Listeners;
  Clock::time_point FinishedAt;
  /// The claim on the key; empty once it has lost or was released.
  std::optional<KeyClaim> Claim;
};

using ExecutionPtr = std::shared_ptr<Execution>;

/// All executions of this process, by call and by key.
struct ExecutionTable {
  std::unordered_map<CallId, ExecutionPtr> ByCall;
  std::map<ScopedKey, ExecutionPtr> ByKey;
};

/// Returns a hash of the request, which shows whether a later call with the
/// same key has the same request.
std::uint64_t fingerprintOf(const wire::ServiceCall &call);

/// Returns whether \p execution has an outcome.
inline bool isFinished(const Execution &execution) {
  return execution.State == ExecutionState::Finished;
}

/// Returns the idempotency key of a call and its scope.
inline ScopedKey keyOf(const wire::Run &run) {
  return {run.service().key_scope(), run.service().idempotency_key()};
}

/// Returns how many bytes the keys, requests and retained answers of keyed
/// calls use, without the overhead of the tables.
std::size_t keptBytes(const ExecutionTable &table);

/// Returns the number of executions that have no outcome yet.
std::size_t countUnfinished(const ExecutionTable &table);

/// Adds \p listener or replaces the one of the same call.
void setListener(Execution &execution, const Listener &listener);

/// Removes the entries by call whose execution finished longer ago than
/// \p outcomeRetention, and the entries by key whose execution finished longer
/// ago than the key's own window.
void removeExpired(ExecutionTable &table, Clock::time_point now,
                   Clock::duration outcomeRetention);

/// Returns the call that \p ref identifies on the wire.
inline CallId callOf(const wire::CallRef &ref) {
  return {{ref.entry()}, ref.number()};
}

/// Writes \p id to \p ref.
inline void setCall(wire::CallRef *ref, CallId id) {
  ref->set_entry(id.Entry.Value);
  ref->set_number(id.Number);
}

} // namespace greengagespar

#endif // GREENGAGESPAR_ENDPOINT_EXECUTION_H
