/// \file
/// Parsing and rendering of what callers send and receive: completions, chat
/// completions, plain services, errors. Pure functions; thread safe.
#ifndef GREENGAGESPAR_ENTRY_API_H
#define GREENGAGESPAR_ENTRY_API_H

#include "greengagespar/base/errors.h"
#include "greengagespar/base/ids.h"
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace greengagespar {

/// The format of a request for a draft and of its answer.
enum class DraftShape {
  Completion, ///< POST /v1/completions
  Chat,       ///< POST /v1/chat/completions
};

/// A caller's request for a draft.
struct DraftRequest {
  DraftShape Shape = DraftShape::Completion;
  std::string Model;
  /// The text to continue. Chat messages are joined, each as "role: content"
  /// and a line end.
  std::string Prompt;
  std::uint32_t MaxTokens = 0;
  bool Stream = false;
  std::string CacheKey; ///< Identifies a shared prefix; empty: none.
};

/// Largest number of tokens that a draft may request, and the number of a draft
/// that requests none.
inline constexpr std::uint32_t MaxDraftTokens = 32768;
inline constexpr std::uint32_t DefaultDraftTokens = 256;

/// Parses the body of a request for a draft. Fails with BadRequest and a
/// message that names the invalid member.
Result<DraftRequest> parseDraft(DraftShape shape, std::string_view body);

/// The answer to a request for a draft, or one part of it, in no particular
/// format.
struct DraftAnswer {
  std::string Id;
  std::string Model;
  std::string Text; ///< The whole text, or one part of it when streamed.
  std::string FinishReason; ///< Why the draft ended; empty: it goes on.
  std::uint32_t PromptTokens = 0;
  std::uint32_t Tokens = 0;
};

/// Renders a whole answer as JSON.
std::string renderWhole(DraftShape shape, const DraftAnswer &answer);

/// Renders one server-sent event with a part of the answer. A part with a
/// FinishReason includes the token counts.
std::string renderPart(DraftShape shape, const DraftAnswer &part);

/// The server-sent event that ends a complete stream.
inline constexpr std::string_view StreamEnd = "data: [DONE]\n\n";

/// Renders \p error as JSON, in the format that all refusals share. \p entries
/// are the addresses that a caller should use instead; empty: the answer names
/// none.
std::string renderError(const Error &error, Ran ran,
                        const std::vector<Address> &entries = {});

/// Parses the header X-Deadline-Ms. Fails with BadRequest when it is not a
/// whole number of milliseconds, and with DeadlineTooShort when it is zero or
/// less.
Result<std::chrono::milliseconds> parseDeadline(std::string_view text);

/// The parts of /v1/services/<name>/<path>.
struct ServiceTarget {
  ServiceId Service;
  std::string Path; ///< Begins with '/' and includes the query.
};

/// Splits the target of a service call. Fails with NotFound when it names no
/// service, and with BadRequest when it holds anything but printable ASCII
/// without spaces.
Result<ServiceTarget> parseServiceTarget(std::string_view uri);

/// Returns whether \p text may be used in a header or identifier: it holds
/// printable ASCII only, spaces included, and at most \p maxBytes bytes.
bool isPlainText(std::string_view text, std::size_t maxBytes);

} // namespace greengagespar

#endif // GREENGAGESPAR_ENTRY_API_H
