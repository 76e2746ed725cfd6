/// \file
/// The calls that the load tool sends: drafts, bookings and status checks, to
/// an entry or straight to an engine, and the check of each answer against its
/// own request. The engines must generate load::expectedText, the services
/// must answer a booking with its order. Not thread safe.
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

/// What is called.
enum class CallKind {
  Draft,   ///< A completion of a model.
  Booking, ///< A call that may not be repeated.
  Status,  ///< An idempotent check of a booking.
};

/// Returns the kind's name in reports.
std::string_view callKindName(CallKind kind);

/// Who is called.
enum class CallTarget {
  Entry,  ///< The system's API for callers.
  Engine, ///< An engine's own interface, for comparison; drafts only.
};

/// One call.
struct CallSpec {
  CallKind Kind = CallKind::Draft;
  std::string Workspace;
  std::string Model;
  std::string Service;
  std::string Prompt;
  std::uint64_t MaxTokens = 256;
  bool Stream = false; ///< Asks for the draft as server-sent events.
  bool Chat = false;   ///< Uses the chat form of the API.
  std::string Order;   ///< Of a booking or status check.
  std::string Id;      ///< The idempotency key, or an engine's stream id.
  std::chrono::milliseconds Deadline{30000};
};

/// What became of a call.
enum class Verdict {
  Ok,        ///< The whole answer to this request.
  Wrong,     ///< An answer that is not this request's.
  Refused,   ///< An error that says the call did not run.
  Truncated, ///< An answer that began and was cut, or ended with an error.
  Unknown,   ///< No answer, or an error that says it may have run.
};

/// Returns the verdict's name in reports.
std::string_view verdictName(Verdict verdict);

/// The end of a call.
struct CallOutcome {
  Verdict Result = Verdict::Unknown;
  int Status = 0;        ///< The HTTP status; 0: none.
  std::string ErrorKind; ///< The error's kind; "no_answer" when none came.
  std::optional<Clock::duration> FirstToken; ///< Of streamed drafts.
  Clock::duration Whole{};                   ///< To the end.
};

/// Reads a streamed draft, part by part.
struct StreamReader {
  CallTarget From = CallTarget::Entry;
  std::string Rest;      ///< Bytes of an unfinished line.
  std::string Text;      ///< The text so far.
  std::string ErrorKind; ///< Of an error inside the stream.
  bool Ended = false;    ///< The stream's own end mark came.
};

/// Reads the next bytes of a stream.
void readPart(StreamReader &reader, std::string_view bytes);

/// Makes the HTTP request of a call.
HttpRequest requestOf(const CallSpec &call, CallTarget target);

/// Returns the prompt that the engine is given: chat messages become lines of
/// "role: content".
std::string enginePrompt(const CallSpec &call);

/// Judges an answer; times are left empty.
CallOutcome judge(const CallSpec &call, const StreamReader &reader,
                  const HttpAnswer &answer);

/// Sends a call and judges its answer. Times count from \p due, when the call
/// should have been sent.
void sendCall(HttpClient &client, const CallSpec &call, CallTarget target,
              Clock::time_point due,
              std::function<void(const CallOutcome &)> onEnd);

} // namespace greengagespar::load

#endif // GREENGAGESPAR_LOAD_CALLS_H
