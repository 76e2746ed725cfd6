/// \file
/// A call in progress at an entry: its state, its caller and its work.
#ifndef GREENGAGESPAR_ENTRY_ACTIVE_CALL_H
#define GREENGAGESPAR_ENTRY_ACTIVE_CALL_H

#include "api.h"
#include "caller_reply.h"
#include "greengagespar/call/call_state.h"
#include "greengagespar/link/link.h"
#include <memory>
#include <optional>
#include <string>

namespace greengagespar {

/// Names a pool of servers: those of a group or of a service.
struct PoolId {
  enum class Kind { Group, Service };
  Kind Of = Kind::Group;
  std::string Name;
  auto operator<=>(const PoolId &) const = default;
};

/// A call in progress.
struct ActiveCall {
  CallId Id;
  CallState State;
  PoolId Pool;
  WorkspaceId Workspace;
  std::unique_ptr<CallerReply> Reply;
  Clock::time_point Arrived;

  std::optional<DraftRequest> Draft;
  std::string Text; ///< The answer so far, unless it is streamed.
  std::optional<wire::ServiceCall> Service;

  bool IsWaiting = false; ///< For a server that can take it.
  ServerId Avoid;         ///< The server that failed it last.
  ServerId Only;          ///< Not empty: the one server that has its key.
  /// Set when an endpoint process refused the call because its own settings
  /// are of this newer generation. The call waits for them, or for a while.
  std::optional<Generation> Needs;
  Clock::time_point NeedsUntil;
  bool OwesRetry = false; ///< The retry budget has to pay for its next send.
  bool IsCounted = false; ///< Counted as in flight on State.Server.
  Clock::time_point SentAt;
  const wire::Chunk *Arriving = nullptr; ///< The chunk being handled.
  const wire::End *Ending = nullptr;     ///< The end being handled.
};

/// Whether \p call still waits for newer settings than \p inForce.
bool waitsForSettings(const ActiveCall &call, Generation inForce,
                      Clock::time_point now);

/// Writes the work of \p call, from its offset on, into \p run.
void fillRun(const ActiveCall &call, Clock::time_point now, wire::Run &run);

/// The identifier that the caller sees in its answer.
std::string publicId(const ActiveCall &call);

} // namespace greengagespar

#endif // GREENGAGESPAR_ENTRY_ACTIVE_CALL_H
