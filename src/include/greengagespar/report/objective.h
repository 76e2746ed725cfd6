/// \file
/// Whether a finished call met an objective of its group or service, and what
/// was to blame when it did not. Pure functions; thread safe.
#ifndef GREENGAGESPAR_REPORT_OBJECTIVE_H
#define GREENGAGESPAR_REPORT_OBJECTIVE_H

#include "greengagespar/base/clock.h"
#include "greengagespar/base/errors.h"
#include "greengagespar/contract/contract.h"
#include <array>
#include <optional>
#include <string_view>

namespace greengagespar {

/// What an objective measures.
enum class Measure { Answer, FirstToken, BetweenTokens };

/// Returns the measure by its name in settings; empty when there is none.
std::optional<Measure> measureByName(std::string_view name);

/// Returns the name of \p measure in settings.
std::string_view measureName(Measure measure);

/// What made a call miss its objective.
enum class BurnCause {
  Queue,    ///< It waited too long at an entry.
  Endpoint, ///< The server, its engine or the link was too slow or failed.
  Refused,  ///< It was refused on arrival.
  Unknown,  ///< Its outcome is unknown, or a fault in the system.
};

/// Number of causes.
inline constexpr std::size_t BurnCauseCount = 4;

/// Returns the name of \p cause in reports.
std::string_view burnCauseName(BurnCause cause);

/// How a call ended.
struct CallOutcome {
  std::optional<ErrorKind> Failed; ///< Empty: it was answered.
  bool CallerGone = false;         ///< The caller went away before the end.
  Clock::duration QueueWait{0};    ///< Time that it waited at the entry.
  Clock::duration Answer{0};       ///< Time to the end of the answer.
  /// Time to the first token; empty when there was none.
  std::optional<Clock::duration> FirstToken = std::nullopt;
  /// Mean time between tokens; empty with fewer than two.
  std::optional<Clock::duration> BetweenTokens = std::nullopt;
};

/// Whether a call met an objective.
struct Judgement {
  bool Good = true;
  BurnCause Cause = BurnCause::Unknown; ///< Holds only when not Good.
};

/// Judges \p outcome by \p objective. Empty when it says nothing about the
/// service: the caller erred or went away, or there is nothing to measure.
std::optional<Judgement> judge(const Objective &objective,
                               const CallOutcome &outcome);

} // namespace greengagespar

#endif // GREENGAGESPAR_REPORT_OBJECTIVE_H
