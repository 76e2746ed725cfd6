/// \file
/// One run of a call on the server behind this process, who listens to it, and
/// the table of runs. Plain data and free functions; not thread safe.
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

/// Where an execution stands.
enum class ExecutionState {
  Claiming, ///< Waits for votes on its key; has not run.
  Running,  ///< The server has the request, or may have it.
  Finished, ///< Has an outcome.
};

/// A call of an entry that wants the messages of an execution.
struct Listener {
  CallId Call;
  PeerId Peer;
  std::uint32_t NextOffset = 0; ///< First token it was not sent yet.
};

/// One run of a call.
struct Execution {
  ExecutionState State = ExecutionState::Running;
  wire::Run Request;
  std::optional<ScopedKey> Key;
  std::uint64_t Fingerprint = 0; ///< Hash of the request under its key.
  Deadline Expires;
  UpstreamId Sent;         ///< The request at the server, when running.
  std::string PartialLine; ///< Bytes of a stream line not complete yet.
  std::uint32_t FirstOffset = 0;
  std::vector<std::string> Tokens; ///< From FirstOffset on.
  std::optional<wire::End> Answer;
  std::optional<wire::Refusal> Failure;
  std::vector<Listener> Listeners;
  Clock::time_point FinishedAt;
  std::optional<KeyClaim> Claim; ///< On the key, while there is one.
};

using ExecutionPtr = std::shared_ptr<Execution>;

/// All executions of this process, by call and by key.
struct ExecutionTable {
  std::unordered_map<CallId, ExecutionPtr> ByCall;
  std::map<ScopedKey, ExecutionPtr> ByKey;
};

/// Returns the hash that tells whether a key is used for the same request.
std::uint64_t fingerprintOf(const wire::ServiceCall &call);

/// Whether \p execution has an outcome.
inline bool isFinished(const Execution &execution) {
  return execution.State == ExecutionState::Finished;
}

/// Returns the key of a call that may not be repeated.
inline ScopedKey keyOf(const wire::Run &run) {
  return {run.service().key_scope(), run.service().idempotency_key()};
}

/// Bytes that the kept answers of keyed calls take, without the tables.
std::size_t keptBytes(const ExecutionTable &table);

/// Number of executions that have no outcome yet.
std::size_t countUnfinished(const ExecutionTable &table);

/// Adds \p listener or replaces the one of the same call.
void setListener(Execution &execution, const Listener &listener);

/// Forgets what finished longer ago than \p callWindow (by call) and than the
/// key's own window (by key).
void forgetOld(ExecutionTable &table, Clock::time_point now,
               Clock::duration callWindow);

/// Converts between identifiers and their form on the wire.
inline CallId callOf(const wire::CallRef &ref) {
  return {{ref.entry()}, ref.number()};
}

/// Fills \p ref with \p id.
inline void setCall(wire::CallRef *ref, CallId id) {
  ref->set_entry(id.Entry.Value);
  ref->set_number(id.Number);
}

} // namespace greengagespar

#endif // GREENGAGESPAR_ENDPOINT_EXECUTION_H
