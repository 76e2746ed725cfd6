#include "greengagespar/direct/entry_memory.h"

#include "greengagespar/base/log.h"
#include "greengagespar/base/log_output.h"
#include <algorithm>

namespace greengagespar {

namespace {

constexpr double BytesPerMegabyte = 1024.0 * 1024;

// Part of the process's memory that requests and answers may fill.
constexpr double CallersPart = 0.5;
// Part of that for answers that are not complete, up to MaxAnswerMemory.
constexpr double AnswersPart = 0.25;

constexpr int StatusTooLarge = 413;

// Memory becomes free as requests end, a large one within about this time.
constexpr std::chrono::milliseconds MemoryRetryAfter{1000};

} // namespace

MemoryPlan planMemory(double megabytes) {
  double all = CallersPart * megabytes * BytesPerMegabyte;
  MemoryPlan plan;
  plan.Answers =
      std::min(MaxAnswerMemory, static_cast<std::size_t>(AnswersPart * all));
  plan.Buffers = static_cast<std::size_t>(all) - plan.Answers;
  return plan;
}

HttpRefusal refuseBody(const SiteDialect &dialect, Metrics &counters,
                       const BufferMemory &memory, const HttpHead &head,
                       std::size_t size) {
  CallMetadata facts = dialect.ReadCall(head);
  bool neverFits = isBeyondMemory(memory, size);
  HttpRefusal answer;
  answer.Status =
      neverFits ? StatusTooLarge : answerRow(ErrorKind::Overloaded).HttpStatus;
  answer.Fields = dialect.WriteOwnAnswer(
      facts.RequestId,
      neverFits ? std::chrono::milliseconds::zero() : MemoryRetryAfter);
  std::string_view reason = neverFits ? "body_beyond_memory" : "no_memory";
  logInfo(Part::Call,
          LogLine("answer")
              .add("id", facts.RequestId)
              .add("outcome", "rejected")
              .add("reason", reason)
              .add("status", answer.Status)
              .add("body_bytes", static_cast<std::int64_t>(size))
              .add("bodies_bytes", static_cast<std::int64_t>(memory.Bodies))
              .add("unsent_bytes", static_cast<std::int64_t>(memory.Unsent))
              .add("limit_bytes", static_cast<std::int64_t>(memory.Limit))
              .text());
  countUp(counters, {"greengagespar_requests_total",
                     {{"kind", "none"},
                      {"outcome", "rejected"},
                      {"reason", std::string(reason)}}});
  return answer;
}

void recordMemory(const BufferMemory &buffers, const AnswerMemory &answers,
                  Metrics &counters) {
  auto set = [&](const char *name, auto value) {
    setGauge(counters, {name}, static_cast<double>(value));
  };
  set("greengagespar_answer_bytes", answers.Bytes);
  set("greengagespar_body_bytes", buffers.Bodies);
  set("greengagespar_unsent_bytes", buffers.Unsent);
  set("greengagespar_buffer_limit_bytes", buffers.Limit);
  set("greengagespar_slow_callers", buffers.Readers);
  set("greengagespar_slow_callers_ended", buffers.ReadersEnded);
}

} // namespace greengagespar
