/// \file
/// Evaluates whether a finished call met an objective of its group or service,
/// and the cause if it did not. Pure functions; thread safe.
#ifndef GREENGAGESPAR_REPORT_OBJECTIVE_H
#define GREENGAGESPAR_REPORT_OBJECTIVE_H

#include "greengagespar/base/clock.h"
#include "greengagespar/base/errors.h"
#include "greengagespar/contract/contract.h"
#include <array>
#include <optional>
#include <string_view>

namespace greengagespar {

/// The time of a call that an objective measures.
enum class Measure { Answer, FirstToken, BetweenTokens };

/// Returns the measure with \p name in the settings. Empty if there is none.
std::optional<Measure> measureByName(std::string_view name);

/// Returns the name of \p measure in the settings.
std::string_view measureName(Measure measure);

/// The cause that made a call miss its objective.
enum class BurnCause {
  Queue,    ///< The call waited too long in an entry's queue.
  Endpoint, ///< The server, its engine or the link was too slow or failed.
  Refused,  ///< An entry refused the call on arrival.
  Unknown,  ///< The call's outcome is unknown, or the system has a fault.
};

/// Number of causes.
inline constexpr std::size_t BurnCauseCount = 4;

/// Returns the name of \p cause in reports.
std::string_view burnCauseName(BurnCause cause);

/// How a call ended.
struct CallOutcome {
  std::optional<ErrorKind> FailureKind; ///< Empty if the call was answered.
  bool CallerDisconnected = false; ///< The caller disconnected before the end.
  Clock::duration QueueWait{0};    ///< Time in the entry's queue.
  Clock::duration Answer{0};       ///< Time to the end of the answer.
  /// Time to the first token. Empty if there was none.
  std::optional<Clock::duration> FirstToken = std::nullopt;
  /// Mean time between tokens. Empty with fewer than two tokens.
  std::optional<Clock::duration> BetweenTokens = std::nullopt;
};

/// The result of evaluating a call against an objective.
struct Evaluation {
  bool Good = true;
  BurnCause Cause = BurnCause::Unknown; ///< Valid only if Good is false.
};

/// Evaluates \p outcome against \p objective. Returns nothing if the outcome
/// does not reflect on the service, because the caller made an error or
/// disconnected, or if there is no value or no known measure to compare.
std::optional<Evaluation> evaluate(const Objective &objective,
                                   const CallOutcome &outcome);

} // namespace greengagespar

#endif // GREENGAGESPAR_REPORT_OBJECTIVE_H
