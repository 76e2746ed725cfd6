/// \file
/// What an entry does about one call as events arrive: dispatch, resume,
/// revoke, deliver, refuse. Pure functions over plain structs; thread safe as
/// long as one state is used by one thread. spec/call.pml models the same
/// rules.
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
  Allowed, ///< Idempotent, or a draft that resumes at an offset.
  Never,   ///< Not declared, but not idempotent: sent again only if it did
           ///< not run.
  Keyed,   ///< At most once; the caller's idempotency key identifies it.
};

/// Where a call stands at its entry.
enum class CallPhase {
  Waiting,  ///< Not at any endpoint process.
  Sent,     ///< Sent to an endpoint process; no acknowledgement yet.
  Running,  ///< Acknowledged by an endpoint process.
  Revoking, ///< The endpoint process was asked to make sure it never runs.
  Done,     ///< The caller has its answer or refusal, or has gone.
};

/// The state of one call at its entry.
struct CallState {
  Repeat Repeatable = Repeat::Allowed;
  Deadline Expires;
  CallPhase Phase = CallPhase::Waiting;
  ServerId Server;            ///< Where it was sent last.
  Incarnation Endpoint;       ///< That endpoint process's life.
  std::uint32_t Received = 0; ///< Tokens delivered to the caller.
  int Attempts = 0;           ///< Times it was sent.
  /// An attempt may have run, or may still run, without an answer.
  bool MayHaveRun = false;
};

/// The call was sent to an endpoint process.
struct Dispatched {
  ServerId Server;
  Incarnation Endpoint;
};
/// No endpoint process could be chosen before the deadline.
struct NotDispatched {
  Error Reason;
};
/// The endpoint process has the call.
struct Acknowledged {};
/// Tokens arrived, the first at Offset.
struct TokensArrived {
  std::uint32_t Offset = 0;
  std::uint32_t Count = 0;
};
/// The call is complete; Tokens counts the whole stream.
struct Ended {
  std::uint32_t Tokens = 0;
};
/// The endpoint process refused the call or failed to run it.
struct Refused {
  Error Reason;
  bool DidNotRun = false;
  ServerId Holder; ///< The server that has the call's key, with KeyHeld.
};
/// The answer to a revoke.
struct RevokeAnswered {
  bool Revoked = false;
};
/// The link was opened afresh; what was under way on the old one may be lost.
struct LinkReopened {};
/// The endpoint process can't be reached, or a new life of it has begun.
struct EndpointLost {};
/// The deadline is so near that the call must be settled now.
struct DeadlineNear {};
/// The deadline has passed.
struct DeadlineReached {};
/// The caller closed its connection.
struct CallerGone {};

using CallEvent =
    std::variant<Dispatched, NotDispatched, Acknowledged, TokensArrived, Ended,
                 Refused, RevokeAnswered, LinkReopened, EndpointLost,
                 DeadlineNear, DeadlineReached, CallerGone>;

/// Choose an endpoint process and send the call, resuming after Received.
/// Avoid names the server that just failed.
struct Dispatch {
  ServerId Avoid;
  bool IsRetry = false; ///< Counts against the retry budget.
  ServerId Only;        ///< Not empty: send it to this server only.
};
/// Send the call to the same life of the same endpoint process again, which
/// knows it by its identity if it has it already.
struct SendAgain {};
/// Ask the endpoint process for the messages from Received on.
struct AskResume {};
/// Ask the endpoint process to make sure that the call never runs.
struct SendRevoke {};
/// Tell the endpoint process that the answer is no longer wanted.
struct SendCancel {};
/// Deliver the arrived tokens without the first Skip.
struct DeliverTokens {
  std::uint32_t Skip = 0;
};
/// Complete the caller's answer.
struct Complete {};
/// Refuse the call; a caller that has part of its answer is cut off instead.
struct RefuseCaller {
  Error Reason;
  Ran DidRun = Ran::Unknown;
};

using CallAction =
    std::variant<Dispatch, SendAgain, AskResume, SendRevoke, SendCancel,
                 DeliverTokens, Complete, RefuseCaller>;

/// How often a call is sent at the most.
inline constexpr int MaxAttempts = 5;

/// Decides what to do about \p event and updates \p state. After Complete or
/// RefuseCaller the phase is Done, and further events give no actions.
std::vector<CallAction> decideCall(CallState &state, const CallEvent &event);

} // namespace greengagespar

#endif // GREENGAGESPAR_CALL_CALL_STATE_H
