/// \file
/// Decides what an entry does about one call as events arrive: dispatch,
/// resume, revoke, deliver, refuse. The functions are pure and work on plain
/// structs; they are thread safe as long as one state is used by one thread.
#ifndef GREENGAGESPAR_CALL_CALL_STATE_H
#define GREENGAGESPAR_CALL_CALL_STATE_H

#include "greengagespar/base/clock.h"
#include "greengagespar/base/errors.h"
#include "greengagespar/base/ids.h"
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace greengagespar {

/// Whether the system may run a call more than once.
enum class Repeat {
  Allowed, ///< The call is idempotent, or a draft that resumes at an offset.
  Never,   ///< The call is not idempotent, and its service does not declare
           ///< it non-repeatable (such a call is Keyed). The entry sends it
           ///< again only if it did not run.
  Keyed,   ///< The call runs at most once; the caller's idempotency key
           ///< identifies it.
};

/// The phase of a call at its entry.
enum class CallPhase {
  Waiting,  ///< No endpoint process has the call.
  Sent,     ///< Sent to an endpoint process; no acknowledgement yet.
  Running,  ///< Acknowledged by an endpoint process.
  Revoking, ///< The endpoint process was requested to make sure that the call
            ///< never runs.
  Done,     ///< The caller has its answer or refusal, or has disconnected.
};

/// The state of one call at its entry.
struct CallState {
  Repeat Repeatable = Repeat::Allowed;
  Deadline Expires;
  CallPhase Phase = CallPhase::Waiting;
  ServerId Server; ///< The server that the call was sent to last.
  Incarnation
      EndpointIncarnation; ///< Incarnation of that server's endpoint process.
  std::uint32_t ReceivedTokens = 0; ///< Tokens delivered to the caller.
  int Attempts = 0;                 ///< How often the call was sent.
  /// An attempt may have run, or may still run, without an answer.
  bool MayHaveRun = false;
};

/// The call was sent to an endpoint process.
struct Dispatched {
  ServerId Server;
  Incarnation EndpointIncarnation; ///< Of that server's endpoint process.
};
/// No endpoint process could be chosen before the deadline.
struct NotDispatched {
  Error Reason;
};
/// The endpoint process acknowledged the call.
struct Acknowledged {};
/// Count tokens arrived.
struct TokensArrived {
  /// Position of the first of these tokens in the whole stream.
  std::uint32_t Offset = 0;
  std::uint32_t Count = 0;
};
/// The call is complete.
struct Ended {
  std::uint32_t Tokens = 0; ///< Tokens of the whole stream.
};
/// The endpoint process refused the call or failed to run it.
struct Refused {
  Error Reason;
  bool DidNotRun = false; ///< The call has certainly not run.
  /// The server that has claimed the call's key, with KeyHeld; empty with other
  /// reasons.
  ServerId KeyOwner = {};
  /// The server ended under the call, which may be the reason: the call is sent
  /// to no other server.
  bool MayCrashServers = false;
};
/// The answer to a revoke.
struct RevokeAnswered {
  bool Revoked = false; ///< The call has not run and never will.
};
/// The entry opened the link again; messages in transit on the old connection
/// may be lost.
struct LinkReopened {};
/// The endpoint process can't be reached, or has restarted.
struct EndpointLost {};
/// The deadline is so near that the entry must now find out whether the call
/// ran.
struct DeadlineNear {};
/// The deadline has passed.
struct DeadlineReached {};
/// The caller closed its connection.
struct CallerDisconnected {};

using CallEvent =
    std::variant<Dispatched, NotDispatched, Acknowledged, TokensArrived, Ended,
                 Refused, RevokeAnswered, LinkReopened, EndpointLost,
                 DeadlineNear, DeadlineReached, CallerDisconnected>;

/// Choose an endpoint process and send the call; its stream resumes after the
/// tokens that the caller has.
struct Dispatch {
  ServerId AvoidedServer;  ///< The server that just failed; empty for none.
  bool IsRetry = false;    ///< Counts against the retry budget.
  ServerId RequiredServer; ///< The only server to send it to; empty for any.
};
/// Send the call again to the same incarnation of the same endpoint process,
/// which recognizes the call by its identity if it has it already.
struct SendAgain {};
/// Request from the endpoint process the messages after the tokens that the
/// caller has.
struct RequestResume {};
/// Request the endpoint process to make sure that the call never runs.
struct SendRevoke {};
/// Notify the endpoint process that the answer is no longer wanted.
struct SendCancel {};
/// Deliver the arrived tokens to the caller.
struct DeliverTokens {
  /// How many of the arrived tokens, from the first on, the caller has already.
  std::uint32_t Skip = 0;
};
/// Complete the caller's answer.
struct Complete {};
/// Refuse the call. If the caller has part of its answer already, close its
/// connection instead.
struct RefuseCaller {
  Error Reason;
  Ran DidRun = Ran::Unknown;
};

using CallAction =
    std::variant<Dispatch, SendAgain, RequestResume, SendRevoke, SendCancel,
                 DeliverTokens, Complete, RefuseCaller>;

/// How often an entry sends a call at the most.
inline constexpr int MaxAttempts = 5;

/// Decides what to do about \p event and updates \p state. After Complete or
/// RefuseCaller the phase is Done, and further events cause no actions.
std::vector<CallAction> decideCall(CallState &state, const CallEvent &event);

} // namespace greengagespar

#endif // GREENGAGESPAR_CALL_CALL_STATE_H
