/// \file
/// The shapes that callers send and receive: completions, chat completions,
/// plain services, errors. Pure functions; thread safe.
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

/// How a draft's answer is shaped.
enum class DraftShape {
  Completion, ///< POST /v1/completions
  Chat,       ///< POST /v1/chat/completions
};

/// A caller's request for a draft.
struct DraftRequest {
  DraftShape Shape = DraftShape::Completion;
  std::string Model;
  std::string Prompt; ///< Chat messages are joined, one line each.
  std::uint32_t MaxTokens = 0;
  bool Stream = false;
  std::string CacheKey; ///< Identifies a shared prefix; may be empty.
};

/// Largest and default number of tokens of one draft.
inline constexpr std::uint32_t MaxDraftTokens = 32768;
inline constexpr std::uint32_t DefaultDraftTokens = 256;

/// Parses the body of a request for a draft. Fails with BadRequest and a
/// message that names the member that is wrong.
Result<DraftRequest> parseDraft(DraftShape shape, std::string_view body);

/// What the shapes of an answer have in common.
struct DraftAnswer {
  std::string Id;
  std::string Model;
  std::string Text;   ///< The whole text, or one part of it when streamed.
  std::string Finish; ///< Why the draft ended; empty for a part.
  std::uint32_t PromptTokens = 0;
  std::uint32_t Tokens = 0;
};

/// Renders a whole answer as JSON.
std::string renderWhole(DraftShape shape, const DraftAnswer &answer);

/// Renders one server-sent event with a part of the answer.
std::string renderPart(DraftShape shape, const DraftAnswer &part);

/// The server-sent event that ends a whole stream.
inline constexpr std::string_view StreamEnd = "data: [DONE]\n\n";

/// Renders an error as the one JSON shape of all refusals. \p entries are the
/// addresses that a caller should use instead, where there are any.
std::string renderError(const Error &error, Ran ran,
                        const std::vector<Address> &entries = {});

/// Parses the header X-Deadline-Ms. Fails with BadRequest when it is not a
/// whole number of milliseconds, and with DeadlineTooShort when it is not
/// over zero.
Result<std::chrono::milliseconds> parseDeadline(std::string_view text);

/// The parts of /v1/services/<name>/<path>.
struct ServiceTarget {
  ServiceId Service;
  std::string Path; ///< Begins with '/'; with the query.
};

/// Splits the target of a service call. Fails with NotFound.
Result<ServiceTarget> parseServiceTarget(std::string_view uri);

/// Whether \p text may stand in a header or identifier: visible ASCII only, at
/// most \p maxBytes.
bool isPlainText(std::string_view text, std::size_t maxBytes);

} // namespace greengagespar

#endif // GREENGAGESPAR_ENTRY_API_H
