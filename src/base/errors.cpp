#include "greengagespar/base/errors.h"

#include <array>

namespace greengagespar {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds Never{0};
constexpr milliseconds Soon{100};
constexpr milliseconds Later{1000};

// One row for each kind, in the order of the enumeration.
constexpr std::array<AnswerRow, ErrorKindCount> Table = {{
    {ErrorKind::BadRequest, "bad_request", 400, Ran::No, Never},
    {ErrorKind::TooLarge, "too_large", 413, Ran::No, Never},
    {ErrorKind::NotFound, "not_found", 404, Ran::No, Never},
    {ErrorKind::UnknownWorkspace, "unknown_workspace", 403, Ran::No, Never},
    {ErrorKind::UnknownGroup, "unknown_group", 404, Ran::No, Never},
    {ErrorKind::DeadlineTooShort, "deadline_too_short", 504, Ran::No, Never},
    {ErrorKind::DeadlineExceeded, "deadline_exceeded", 504, Ran::Unknown,
     Never},
    {ErrorKind::Overloaded, "overloaded", 503, Ran::No, Later},
    {ErrorKind::WorkspaceLimit, "workspace_limit", 429, Ran::No, Later},
    {ErrorKind::NoEndpoint, "no_endpoint", 503, Ran::No, Later},
    {ErrorKind::Leaving, "leaving", 503, Ran::No, Soon},
    {ErrorKind::NotReady, "not_ready", 503, Ran::No, Soon},
    {ErrorKind::StaleSettings, "stale_settings", 503, Ran::No, Soon},
    {ErrorKind::IdempotencyKeyNeeded, "idempotency_key_needed", 428, Ran::No,
     Never},
    {ErrorKind::KeyConflict, "key_conflict", 422, Ran::No, Never},
    {ErrorKind::KeyHeld, "key_held", 409, Ran::Unknown, Soon},
    {ErrorKind::OutcomeUnknown, "outcome_unknown", 504, Ran::Unknown, Never},
    {ErrorKind::EndpointFailed, "endpoint_failed", 502, Ran::Unknown, Soon},
    {ErrorKind::LinkDown, "link_down", 502, Ran::Unknown, Soon},
    {ErrorKind::PlatformUnavailable, "platform_unavailable", 503, Ran::No,
     Later},
    {ErrorKind::Conflict, "conflict", 409, Ran::No, Soon},
    {ErrorKind::BadSettings, "bad_settings", 400, Ran::No, Never},
    {ErrorKind::StaleFencingNumber, "stale_fencing_number", 409, Ran::No,
     Never},
    {ErrorKind::Internal, "internal", 500, Ran::Unknown, Later},
    {ErrorKind::PromptBlocked, "prompt_blocked", 503, Ran::No, Never},
}};

} // namespace

const AnswerRow &answerRow(ErrorKind kind) {
  return Table[static_cast<std::size_t>(kind)];
}

std::optional<ErrorKind> errorKindByName(std::string_view name) {
  for (const AnswerRow &row : Table)
    if (row.Name == name)
      return row.Kind;
  return std::nullopt;
}

std::string_view ranName(Ran ran) { return ran == Ran::No ? "no" : "unknown"; }

} // namespace greengagespar
