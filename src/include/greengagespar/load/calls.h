/// \file
/// The calls that the load tool sends: drafts, bookings and status checks. It
/// sends them to an entry or directly to an engine, and compares each answer
/// with the request that it belongs to. Preconditions: the engines generate
/// load::expectedText, and the services answer a booking with its order. Not
/// thread safe.
#ifndef GREENGAGESPAR_LOAD_CALLS_H
#define GREENGAGESPAR_LOAD_CALLS_H

#include "greengagespar/load/http_client.h"
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace greengagespar::load {

using Clock = std::chrono::steady_clock;

/// The kind of a call.
enum class CallKind {
  Draft,   ///< A completion of a model.
  Booking, ///< A call to a service that may not be repeated.
  Status,  ///< An idempotent check of a booking.
};

/// Returns the name of \p kind in reports.
std::string_view callKindName(CallKind kind);

/// The kind of process that receives the calls.
enum class CallTarget {
  Entry,  ///< An entry, through its API for callers.
  Engine, ///< An engine's own interface, for comparison. Drafts only.
};

/// One call and its parameters.
struct CallSpec {
  CallKind Kind = CallKind::Draft;
  std::string Workspace;
  std::string Model;             ///< Id of the model. Drafts only.
  std::string Service;           ///< Id of the service. Not used by drafts.
  std::string Prompt;            ///< Drafts only.
  std::uint64_t MaxTokens = 256; ///< Most tokens of the answer. Drafts only.
  bool Stream = false;           ///< Requests the draft as server-sent events.
  bool Chat = false;             ///< Uses the chat form of the API.
  std::string Order; ///< Id of the order of a booking or status check.
  std::string Id;    ///< The idempotency key, or an engine's stream id.
  std::chrono::milliseconds Deadline{30000}; ///< From the sending.
};

/// The result of checking a call's answer.
enum class Verdict {
  Ok,        ///< The complete answer to this request arrived.
  Wrong,     ///< The answer differs from this request's.
  Refused,   ///< An error arrived that says the call did not run.
  Truncated, ///< The answer began and was cut, or ended with an error.
  Unknown,   ///< No answer, or an error that says the call may have run.
};

/// Returns the name of \p verdict in reports.
std::string_view verdictName(Verdict verdict);

/// How a call ended.
struct CallOutcome {
  Verdict Result = Verdict::Unknown;
  int Status = 0; ///< The HTTP status. 0 if no answer began.
  /// The kind of the error. "no_answer" if no complete answer arrived and
  /// "cut" if a stream ended early without an error. Empty if there was no
  /// error.
  std::string ErrorKind;
  /// Time from the scheduled start to the first token of a streamed draft.
  /// Empty for other calls, or if no token arrived.
  std::optional<Clock::duration> FirstToken;
  Clock::duration TotalTime{}; ///< Time from the scheduled start to the end.
};

/// The state of a reader that parses a streamed draft part by part.
struct StreamReader {
  CallTarget From = CallTarget::Entry; ///< The sender of the stream.
  std::string UnfinishedLine; ///< Received bytes after the last line end.
  std::string Text;           ///< The text that was read so far.
  std::string ErrorKind; ///< The kind of an error in the stream. Empty: none.
  bool Ended = false;    ///< The end mark of the stream was received.
};

/// Parses the next bytes of a stream.
void readPart(StreamReader &reader, std::string_view bytes);

/// Returns the HTTP request of \p call to \p target.
HttpRequest requestOf(const CallSpec &call, CallTarget target);

/// Returns the prompt that the engine receives. Chat messages become lines of
/// "role: content".
std::string enginePrompt(const CallSpec &call);

/// Classifies \p answer as an answer to \p call. \p reader holds the parts of
/// a streamed answer. The times in the returned outcome stay empty.
CallOutcome classifyAnswer(const CallSpec &call, const StreamReader &reader,
                           const HttpAnswer &answer);

/// Sends \p call and calls \p onEnd with the classified outcome when the call
/// ends. The times of the outcome start at \p scheduledAt, when the call should
/// have been sent.
void sendCall(HttpClient &client, const CallSpec &call, CallTarget target,
              Clock::time_point scheduledAt,
              std::function<void(const CallOutcome &)> onEnd);

} // namespace greengagespar::load

#endif // GREENGAGESPAR_LOAD_CALLS_H
