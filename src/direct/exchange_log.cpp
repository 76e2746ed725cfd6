#include "exchange_log.h"

#include "greengagespar/base/log.h"
#include "greengagespar/base/log_output.h"

namespace greengagespar {

namespace {

std::string_view nameOf(RequestKind kind) {
  switch (kind) {
  case RequestKind::Idempotent:
    return "idempotent";
  case RequestKind::AtMostOnce:
    return "at_most_once";
  case RequestKind::Stream:
    return "stream";
  }
  return "";
}

std::string_view nameOf(RetryPayment payment) {
  switch (payment) {
  case RetryPayment::None:
    return "none";
  case RetryPayment::Token:
    return "token";
  case RetryPayment::Free:
    return "free";
  case RetryPayment::Refused:
    return "refused";
  }
  return "";
}

// Adds what tells an answer to this exchange from one to an earlier exchange on
// the same connection.
void addConnection(LogLine &line, const HttpClientConnection &connection) {
  line.add("connection", static_cast<std::int64_t>(connection.number()))
      .add("answers", static_cast<std::int64_t>(connection.answers()));
}

} // namespace

void logSend(const AcceptedCall &call, const detail::Attempt &attempt,
             const ChosenServer &chosen, int run,
             std::optional<std::uint64_t> after) {
  LogLine line("send");
  line.add("id", call.Facts.RequestId)
      .add("route", call.MatchedRoute->Name)
      .add("config", static_cast<std::int64_t>(call.Table->Site.Version.Value))
      .add("server", attempt.Server.Id.Value)
      .add("at", attempt.Server.At.Value);
  addConnection(line, *attempt.Connection);
  line.add("run", run)
      .addMs("waited_ms", attempt.SentAt - call.Arrived)
      .addMs("left_ms", call.CallDeadline.At - attempt.SentAt)
      .add("chosen", nameOf(chosen.Reason));
  if (chosen.Report)
    line.add("known_calls", chosen.Report->Running + chosen.Report->Waiting)
        .addMs("known_age_ms", attempt.SentAt - chosen.Report->AsOf);
  if (after)
    line.add("after_event", static_cast<std::int64_t>(*after));
  logInfo(Part::Route, line.text());
}

void logSkippedAnswer(Metrics &counters, const AcceptedCall &call,
                      const detail::Attempt &attempt, const HttpHead &head,
                      std::string_view named) {
  LogLine line("answer_skipped");
  line.add("id", call.Facts.RequestId)
      .add("server", attempt.Server.Id.Value)
      .add("names", named)
      .add("status", head.Status);
  addConnection(line, *attempt.Connection);
  logInfo(Part::Route, line.text());
  countUp(counters, {"greengagespar_answers_skipped_total",
                     {{"service", call.Service.Value}}});
}

void logAttemptEnd(Metrics &counters, const AcceptedCall &call,
                   const detail::Attempt &attempt, const EventRelay &stream,
                   const PromptParts &parts, int runs, std::string_view why,
                   std::string_view next, RetryPayment payment, double tokens) {
  auto now = Clock::now();
  LogLine line("attempt_ended");
  line.add("id", call.Facts.RequestId)
      .add("server", attempt.Server.Id.Value)
      .add("why", why)
      .add("status", attempt.Head.Status)
      .addMs("took_ms", now - attempt.SentAt)
      .addMs("silent_ms", now - attempt.LastReceivedAt);
  addConnection(line, *attempt.Connection);
  line.add("runs", runs)
      .add("events", static_cast<std::int64_t>(stream.EventCount))
      .add("events_here", attempt.Events)
      .add("parts", describeParts(parts))
      .add("failed_server", attempt.Answer.FailedServer.Value)
      .add("next", next)
      .add("paid", nameOf(payment))
      .add("tokens", static_cast<std::int64_t>(tokens));
  logInfo(Part::Route, line.text());
  countUp(counters,
          {"greengagespar_attempts_failed_total", {{"why", std::string(why)}}});
  if (payment != RetryPayment::None)
    countUp(counters, {"greengagespar_retries_total",
                       {{"service", call.Service.Value},
                        {"paid", std::string(nameOf(payment))}}});
}

void logServerKept(const AcceptedCall &call, const detail::Attempt &attempt,
                   const EventRelay &stream, std::string_view why) {
  LogLine line("server_kept");
  line.add("id", call.Facts.RequestId)
      .add("server", attempt.Server.Id.Value)
      .addMs("silent_ms", Clock::now() - attempt.LastReceivedAt)
      .add("events", static_cast<std::int64_t>(stream.EventCount))
      .add("why", why);
  logInfo(Part::Route, line.text());
}

void logAnswer(Metrics &counters, const AcceptedCall &call,
               const FinalAnswer &answer) {
  auto now = Clock::now();
  std::string kind(nameOf(call.MatchedRoute->Kind));
  LogLine line("answer");
  line.add("id", call.Facts.RequestId)
      .add("route", call.MatchedRoute->Name)
      .add("kind", kind)
      .add("outcome", answer.Outcome)
      .add("reason", answer.Reason)
      .add("status", answer.Status)
      .add("runs", answer.Runs)
      .add("events", static_cast<std::int64_t>(answer.Events))
      .addMs("took_ms", now - call.Arrived);
  if (answer.FirstEventAt)
    line.addMs("first_event_ms", *answer.FirstEventAt - call.Arrived);
  if (!answer.Refused.Why.empty())
    line.add("why", answer.Refused.Why);
  if (answer.Refused.RetryAfter > std::chrono::milliseconds::zero())
    line.addMs("retry_after_ms", answer.Refused.RetryAfter);
  if (call.CallUrgency)
    line.add("urgency", call.CallUrgency->Level);
  logInfo(Part::Call, line.text());
  countUp(counters, {"greengagespar_requests_total",
                     {{"kind", kind},
                      {"outcome", std::string(answer.Outcome)},
                      {"reason", std::string(answer.Reason)}}});
  std::chrono::duration<double, std::milli> took = now - call.Arrived;
  observe(counters, {"greengagespar_request_ms", {{"kind", kind}}},
          took.count(), now);
}

} // namespace greengagespar
