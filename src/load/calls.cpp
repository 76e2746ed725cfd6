#include "greengagespar/load/calls.h"

#include "greengagespar/load/expected_text.h"
#include <boost/json.hpp>
#include <memory>
#include <utility>

namespace greengagespar::load {

namespace {

namespace json = boost::json;

constexpr int StatusOk = 200;
constexpr std::string_view DataMark = "data: ";
constexpr std::string_view DoneMark = "[DONE]";

// The client waits longer than the call's deadline, so that the entry's error
// about the passed deadline can still arrive.
constexpr std::chrono::milliseconds AnswerMargin{2000};

json::value parsed(std::string_view text) {
  json::error_code ec;
  json::value value = json::parse(text, ec);
  return ec ? json::value() : value;
}

// Returns the string at JSON pointer `pointer`. Empty if there is none.
std::string textAt(const json::value &value, std::string_view pointer) {
  json::error_code ec;
  const json::value *found = value.find_pointer(pointer, ec);
  return found && found->is_string() ? std::string(found->as_string())
                                     : std::string();
}

std::string draftText(const json::value &value) {
  for (const char *pointer : {"/choices/0/text", "/choices/0/delta/content",
                              "/choices/0/message/content"})
    if (std::string text = textAt(value, pointer); !text.empty())
      return text;
  return {};
}

void readEvent(StreamReader &reader, std::string_view data) {
  if (data == DoneMark) {
    reader.Ended = true;
    return;
  }
  json::value value = parsed(data);
  if (std::string kind = textAt(value, "/error/kind"); !kind.empty())
    reader.ErrorKind = std::move(kind);
  reader.Text += draftText(value);
}

void readEngineLine(StreamReader &reader, std::string_view line) {
  json::value value = parsed(line);
  if (!value.is_object())
    return;
  if (value.as_object().contains("end"))
    reader.Ended = textAt(value, "/finish") != "cancelled";
  reader.Text += textAt(value, "/t");
}

void readLine(StreamReader &reader, std::string_view line) {
  if (line.ends_with('\r'))
    line.remove_suffix(1);
  if (reader.From == CallTarget::Engine)
    return readEngineLine(reader, line);
  if (line.starts_with(DataMark))
    readEvent(reader, line.substr(DataMark.size()));
}

std::string draftBody(const CallSpec &call, CallTarget target) {
  if (target == CallTarget::Engine)
    return json::serialize(json::value{{"id", call.Id},
                                       {"prompt", enginePrompt(call)},
                                       {"max_tokens", call.MaxTokens},
                                       {"priority", 0}});
  json::object body{{"model", call.Model},
                    {"max_tokens", call.MaxTokens},
                    {"stream", call.Stream}};
  if (call.Chat)
    body["messages"] =
        json::array{json::object{{"role", "user"}, {"content", call.Prompt}}};
  else
    body["prompt"] = call.Prompt;
  return json::serialize(body);
}

std::string targetPath(const CallSpec &call, CallTarget target) {
  if (target == CallTarget::Engine)
    return "/v1/streams";
  std::string service = "/v1/services/" + call.Service + "/bookings";
  switch (call.Kind) {
  case CallKind::Draft:
    return call.Chat ? "/v1/chat/completions" : "/v1/completions";
  case CallKind::Booking:
    return service;
  case CallKind::Status:
    return service + "/" + call.Order;
  }
  return service;
}

bool isExpectedAnswer(const CallSpec &call, const StreamReader &reader,
                      const std::string &body) {
  if (call.Kind != CallKind::Draft)
    return textAt(parsed(body), "/order") == call.Order;
  std::string expected = expectedText(enginePrompt(call), call.MaxTokens);
  bool streamed = call.Stream || reader.From == CallTarget::Engine;
  return expected == (streamed ? reader.Text : draftText(parsed(body)));
}

CallOutcome classifyError(const HttpAnswer &answer) {
  CallOutcome out;
  out.Status = answer.Status;
  json::value body = parsed(answer.Body);
  out.ErrorKind = textAt(body, "/error/kind");
  if (out.ErrorKind.empty())
    out.ErrorKind = "status_" + std::to_string(answer.Status);
  bool notRun = textAt(body, "/error/ran") == "no";
  out.Result = notRun ? Verdict::Refused : Verdict::Unknown;
  return out;
}

} // namespace

std::string_view callKindName(CallKind kind) {
  switch (kind) {
  case CallKind::Draft:
    return "draft";
  case CallKind::Booking:
    return "booking";
  case CallKind::Status:
    return "status";
  }
  return "";
}

std::string_view verdictName(Verdict verdict) {
  switch (verdict) {
  case Verdict::Ok:
    return "ok";
  case Verdict::Wrong:
    return "wrong";
  case Verdict::Refused:
    return "refused";
  case Verdict::Truncated:
    return "truncated";
  case Verdict::Unknown:
    return "unknown";
  }
  return "";
}

void readPart(StreamReader &reader, std::string_view bytes) {
  while (!bytes.empty()) {
    auto end = bytes.find('\n');
    if (end == std::string_view::npos) {
      reader.UnfinishedLine.append(bytes);
      return;
    }
    if (reader.UnfinishedLine.empty()) {
      readLine(reader, bytes.substr(0, end));
    } else {
      reader.UnfinishedLine.append(bytes.substr(0, end));
      readLine(reader, std::exchange(reader.UnfinishedLine, {}));
    }
    bytes.remove_prefix(end + 1);
  }
}

std::string enginePrompt(const CallSpec &call) {
  return call.Chat ? "user: " + call.Prompt + "\n" : call.Prompt;
}

HttpRequest requestOf(const CallSpec &call, CallTarget target) {
  HttpRequest out;
  out.Target = targetPath(call, target);
  out.Timeout = call.Deadline + AnswerMargin;
  out.Headers = {{"X-Workspace", call.Workspace},
                 {"X-Deadline-Ms", std::to_string(call.Deadline.count())}};
  if (call.Kind == CallKind::Status)
    return out;
  out.Method = "POST";
  out.Headers.push_back({"Content-Type", "application/json"});
  if (call.Kind == CallKind::Draft) {
    out.Body = draftBody(call, target);
  } else {
    out.Headers.push_back({"Idempotency-Key", call.Id});
    out.Body = json::serialize(json::object{{"order", call.Order}});
  }
  return out;
}

CallOutcome classifyAnswer(const CallSpec &call, const StreamReader &reader,
                           const HttpAnswer &answer) {
  CallOutcome out;
  out.Status = answer.Status;
  if (answer.Status == 0) {
    out.ErrorKind = "no_answer";
    return out;
  }
  bool complete = answer.End == HttpEnd::Complete;
  if (answer.Status != StatusOk) {
    if (complete)
      return classifyError(answer);
    out.ErrorKind = "no_answer";
    return out;
  }
  bool streamed = call.Kind == CallKind::Draft &&
                  (call.Stream || reader.From == CallTarget::Engine);
  if (!complete || (streamed && !reader.Ended)) {
    out.Result = Verdict::Truncated;
    out.ErrorKind = reader.ErrorKind.empty() ? "cut" : reader.ErrorKind;
    return out;
  }
  out.Result = isExpectedAnswer(call, reader, answer.Body) ? Verdict::Ok
                                                           : Verdict::Wrong;
  return out;
}

void sendCall(HttpClient &client, const CallSpec &call, CallTarget target,
              Clock::time_point scheduledAt,
              std::function<void(const CallOutcome &)> onEnd) {
  struct Progress {
    CallSpec Call;
    StreamReader Reader;
    std::optional<Clock::duration> FirstToken;
  };
  auto progress = std::make_shared<Progress>();
  progress->Call = call;
  progress->Reader.From = target;
  bool streamed = call.Kind == CallKind::Draft &&
                  (call.Stream || target == CallTarget::Engine);
  OnPart onPart;
  if (streamed)
    onPart = [progress, scheduledAt](std::string_view bytes) {
      readPart(progress->Reader, bytes);
      if (!progress->FirstToken && !progress->Reader.Text.empty())
        progress->FirstToken = Clock::now() - scheduledAt;
    };
  client.send(
      requestOf(call, target),
      [progress, scheduledAt,
       onEnd = std::move(onEnd)](const HttpAnswer &answer) {
        CallOutcome out =
            classifyAnswer(progress->Call, progress->Reader, answer);
        out.FirstToken = progress->FirstToken;
        out.TotalTime = Clock::now() - scheduledAt;
        onEnd(out);
      },
      std::move(onPart));
}

} // namespace greengagespar::load
