#include "greengagespar/report/objective.h"

namespace greengagespar {

namespace {

constexpr std::array<std::string_view, 3> MeasureNames = {
    "answer", "first_token", "between_tokens"};

constexpr std::array<std::string_view, BurnCauseCount> CauseNames = {
    "queue", "endpoint", "refused", "unknown"};

// Returns the cause of a failure. Empty if the caller caused it.
std::optional<BurnCause> causeOfFailure(const CallOutcome &outcome) {
  bool waited = outcome.QueueWait > Clock::duration::zero();
  switch (*outcome.FailureKind) {
  case ErrorKind::Overloaded:
  case ErrorKind::DeadlineTooShort:
    return waited ? BurnCause::Queue : BurnCause::Refused;
  case ErrorKind::NoEndpoint:
  case ErrorKind::NotReady:
  case ErrorKind::Leaving:
  case ErrorKind::StaleSettings:
  case ErrorKind::PlatformUnavailable:
    return BurnCause::Refused;
  case ErrorKind::DeadlineExceeded:
    return 2 * outcome.QueueWait > outcome.Answer ? BurnCause::Queue
                                                  : BurnCause::Endpoint;
  case ErrorKind::EndpointFailed:
  case ErrorKind::LinkDown:
    return BurnCause::Endpoint;
  case ErrorKind::OutcomeUnknown:
  case ErrorKind::Internal:
    return BurnCause::Unknown;
  default:
    return std::nullopt;
  }
}

std::optional<Clock::duration> valueOf(Measure measure,
                                       const CallOutcome &outcome) {
  switch (measure) {
  case Measure::Answer:
    return outcome.Answer;
  case Measure::FirstToken:
    return outcome.FirstToken;
  case Measure::BetweenTokens:
    return outcome.BetweenTokens;
  }
  return std::nullopt;
}

} // namespace

std::optional<Measure> measureByName(std::string_view name) {
  for (std::size_t i = 0; i < MeasureNames.size(); ++i)
    if (MeasureNames[i] == name)
      return static_cast<Measure>(i);
  return std::nullopt;
}

std::string_view measureName(Measure measure) {
  return MeasureNames[static_cast<std::size_t>(measure)];
}

std::string_view burnCauseName(BurnCause cause) {
  return CauseNames[static_cast<std::size_t>(cause)];
}

std::optional<Evaluation> evaluate(const Objective &objective,
                                   const CallOutcome &outcome) {
  auto measure = measureByName(objective.Measure);
  if (!measure || outcome.CallerDisconnected)
    return std::nullopt;
  if (outcome.FailureKind) {
    auto cause = causeOfFailure(outcome);
    if (!cause)
      return std::nullopt;
    return Evaluation{false, *cause};
  }
  auto value = valueOf(*measure, outcome);
  if (!value)
    return std::nullopt;
  if (*value <= objective.Within)
    return Evaluation{};
  bool metWithoutQueueWait = *measure != Measure::BetweenTokens &&
                             *value - outcome.QueueWait <= objective.Within;
  return Evaluation{false, metWithoutQueueWait ? BurnCause::Queue
                                               : BurnCause::Endpoint};
}

} // namespace greengagespar
