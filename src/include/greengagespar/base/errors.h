/// \file
/// The closed list of error kinds, and the table that maps each kind to an
/// answer. Every refusal that a caller, an operator or a peer receives is one
/// of these kinds.
#ifndef GREENGAGESPAR_BASE_ERRORS_H
#define GREENGAGESPAR_BASE_ERRORS_H

#include <boost/leaf.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace greengagespar {

/// Every kind of error in the system.
enum class ErrorKind {
  BadRequest,       ///< The request is malformed.
  TooLarge,         ///< The request is over a size limit.
  NotFound,         ///< No such path, object or answer.
  UnknownWorkspace, ///< No accepted settings declare the workspace.
  UnknownGroup,     ///< No accepted settings declare the model or service.
  DeadlineTooShort, ///< The deadline has passed or can't be met.
  DeadlineExceeded, ///< The deadline passed while the call was running.
  Overloaded,       ///< No capacity in time; retry later.
  WorkspaceLimit,   ///< The workspace is over its declared limit.
  NoEndpoint,       ///< No live endpoint serves the group or service.
  Leaving,          ///< This process is leaving; use another address.
  NotReady,         ///< This process has no settings yet.
  StaleSettings,    ///< The sender's settings are older than the receiver's.
  IdempotencyKeyNeeded, ///< The call may not be repeated and has no key.
  KeyConflict,          ///< The same key was used for another request.
  KeyHeld,              ///< Another server holds the call with the key.
  OutcomeUnknown,       ///< The call may or may not have run.
  EndpointFailed,      ///< The engine or plain service answered with a failure.
  LinkDown,            ///< A link to another process is down or unresponsive.
  PlatformUnavailable, ///< The platform does not answer.
  Conflict,            ///< A conditional update found another version.
  BadSettings,         ///< Settings are malformed or out of range.
  StaleFencingNumber,  ///< An order carries an old fencing number.
  Internal,            ///< A fault in this program.
  PromptBlocked,       ///< A part of the prompt crashes servers.
};

/// Number of error kinds. The answer table has one row for each.
inline constexpr int ErrorKindCount =
    static_cast<int>(ErrorKind::PromptBlocked) + 1;

/// Whether a refused or failed call ran.
enum class Ran {
  No,      ///< It did not run and never will.
  Unknown, ///< It may have run or may still run.
};

/// One row of the answer table.
struct AnswerRow {
  ErrorKind Kind;                       ///< The kind that this row is for.
  std::string_view Name;                ///< Stable name on the wire.
  int HttpStatus;                       ///< HTTP status sent to callers.
  Ran DefaultRan;                       ///< Sent unless the sender knows more.
  std::chrono::milliseconds RetryAfter; ///< Zero: do not retry unchanged.
};

/// Returns the row for \p kind. Never fails. Thread safe.
const AnswerRow &answerRow(ErrorKind kind);

/// Finds a kind by its wire name. Returns an empty optional for any other name.
/// Thread safe.
std::optional<ErrorKind> errorKindByName(std::string_view name);

/// Returns "no" or "unknown". Thread safe.
std::string_view ranName(Ran ran);

/// An error kind with a message for people.
struct Error {
  ErrorKind Kind = ErrorKind::Internal;
  std::string Message;
};

/// The result of an operation that can fail.
template <class T> using Result = boost::leaf::result<T>;

/// Makes a failed result. \p message is one short sentence for people.
inline boost::leaf::error_id fail(ErrorKind kind, std::string message) {
  return boost::leaf::new_error(Error{kind, std::move(message)});
}

/// Runs \p attempt, which returns a Result<R>, and turns a failure into an R by
/// calling \p recover with the Error. Thread safe if both functions are.
template <class Attempt, class Recover>
auto recoverFrom(Attempt &&attempt, Recover &&recover) {
  return boost::leaf::try_handle_all(
      std::forward<Attempt>(attempt),
      [&](const Error &e) { return recover(e); },
      [&] {
        return recover(Error{ErrorKind::Internal, "unknown error"});
      });
}

} // namespace greengagespar

#endif // GREENGAGESPAR_BASE_ERRORS_H
