/// \file
/// A call in progress at an entry: its state, the reply to its caller, and the
/// work that is sent to an endpoint process.
#ifndef GREENGAGESPAR_ENTRY_ACTIVE_CALL_H
#define GREENGAGESPAR_ENTRY_ACTIVE_CALL_H

#include "api.h"
#include "caller_reply.h"
#include "greengagespar/call/call_state.h"
#include "greengagespar/direct/part_guard.h"
#include "greengagespar/link/link.h"
#include <memory>
#include <optional>
#include <string>

namespace greengagespar {

/// Identifies a pool of servers: the servers of one group or of one service.
struct PoolId {
  enum class Kind { Group, Service };
  Kind PoolKind = Kind::Group;
  std::string Name; ///< The model of the group, or the name of the service.
  auto operator<=>(const PoolId &) const = default;
};

/// A call in progress. Either Draft or Service holds its work.
struct ActiveCall {
  CallId Id;
  CallState State;
  PoolId Pool;
  WorkspaceId Workspace;
  std::unique_ptr<CallerReply> Reply;
  Clock::time_point ArrivedAt;

  std::optional<DraftRequest> Draft;
  std::string AnswerText; ///< The draft so far; empty when streamed.
  PromptParts Parts;    ///< Those of the draft's prompt that others may share.
  bool IsTrial = false; ///< Its suspect parts are on trial at a server.
  int ServerEnds = 0;   ///< Servers that have ended as they began it.
  std::optional<wire::ServiceCall> Service;

  /// The call waits until it can be sent to a server.
  bool IsWaiting = false;
  /// The server that the call failed on last; another one is preferred. Empty:
  /// none.
  ServerId AvoidedServer;
  /// The server that has the call's idempotency key; the call is sent to no
  /// other. Empty: any server of the pool may run the call.
  ServerId RequiredServer;
  /// Set when an endpoint process refused the call because its own settings are
  /// of this newer generation. The call waits until this entry has them in
  /// force or SettingsDeadline has passed.
  std::optional<Generation> NeededSettings;
  Clock::time_point SettingsDeadline;
  /// The next send is a retry, which the retry budget has to allow.
  bool NeedsRetryToken = false;
  bool IsCountedInFlight = false; ///< In flight on State.Server.
  Clock::time_point SentAt;       ///< When the call was sent last.
  /// The messages that are being handled; null outside of their handling.
  const wire::Chunk *CurrentChunk = nullptr;
  const wire::End *CurrentEnd = nullptr;
};

/// Returns whether \p call still waits at \p now for newer settings than
/// \p inForce.
bool waitsForSettings(const ActiveCall &call, Generation inForce,
                      Clock::time_point now);

/// Writes the work of \p call into \p run, with the time that is left at
/// \p now. A draft starts after the tokens that were already received.
void fillRun(const ActiveCall &call, Clock::time_point now, wire::Run &run);

/// Returns the identifier of \p call in the answer to its caller.
std::string publicId(const ActiveCall &call);

} // namespace greengagespar

#endif // GREENGAGESPAR_ENTRY_ACTIVE_CALL_H
