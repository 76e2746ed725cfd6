#include "api.h"

#include "greengagespar/contract/repeat_rule.h"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>

namespace greengagespar {

namespace json = boost::json;

namespace {

constexpr std::string_view ServicePrefix = "/v1/services/";

boost::leaf::error_id badRequest(std::string message) {
  return fail(ErrorKind::BadRequest, std::move(message));
}

Result<std::string> stringMember(const json::object &object, const char *name) {
  const json::value *value = object.if_contains(name);
  if (!value)
    return badRequest(std::string(name) + " is missing");
  if (!value->is_string())
    return badRequest(std::string(name) + " is not a string");
  return std::string(value->get_string());
}

Result<std::uint32_t> tokenLimit(const json::object &object) {
  const json::value *value = object.if_contains("max_tokens");
  if (!value)
    value = object.if_contains("max_completion_tokens");
  if (!value || value->is_null())
    return DefaultDraftTokens;
  if (!value->is_int64() || value->get_int64() < 1 ||
      value->get_int64() > MaxDraftTokens)
    return badRequest("max_tokens is not a whole number from 1 to " +
                      std::to_string(MaxDraftTokens));
  return static_cast<std::uint32_t>(value->get_int64());
}

Result<bool> boolMember(const json::object &object, const char *name) {
  const json::value *value = object.if_contains(name);
  if (!value || value->is_null())
    return false;
  if (!value->is_bool())
    return badRequest(std::string(name) + " is not true or false");
  return value->get_bool();
}

Result<std::string> joinMessages(const json::object &object) {
  const json::value *value = object.if_contains("messages");
  if (!value || !value->is_array() || value->get_array().empty())
    return badRequest("messages is not a list with at least one message");
  std::string prompt;
  for (const json::value &it : value->get_array()) {
    if (!it.is_object())
      return badRequest("a message is not an object");
    BOOST_LEAF_AUTO(role, stringMember(it.get_object(), "role"));
    BOOST_LEAF_AUTO(content, stringMember(it.get_object(), "content"));
    prompt.append(role).append(": ").append(content).append("\n");
  }
  return prompt;
}

json::object answerObject(const DraftAnswer &answer, const char *object) {
  json::object out;
  out["id"] = answer.Id;
  out["object"] = object;
  out["model"] = answer.Model;
  return out;
}

json::value finishReasonValue(const DraftAnswer &answer) {
  if (answer.FinishReason.empty())
    return nullptr;
  return json::value(answer.FinishReason);
}

json::object usageOf(const DraftAnswer &answer) {
  json::object usage;
  usage["prompt_tokens"] = answer.PromptTokens;
  usage["completion_tokens"] = answer.Tokens;
  usage["total_tokens"] = answer.PromptTokens + answer.Tokens;
  return usage;
}

} // namespace

Result<DraftRequest> parseDraft(DraftShape shape, std::string_view body) {
  boost::system::error_code ec;
  json::value value = json::parse(body, ec);
  if (ec)
    return badRequest("the body is not JSON: " + ec.message());
  const json::object *object = value.if_object();
  if (!object)
    return badRequest("the body is not a JSON object");
  DraftRequest request;
  request.Shape = shape;
  BOOST_LEAF_ASSIGN(request.Model, stringMember(*object, "model"));
  if (shape == DraftShape::Chat) {
    BOOST_LEAF_ASSIGN(request.Prompt, joinMessages(*object));
  } else {
    BOOST_LEAF_ASSIGN(request.Prompt, stringMember(*object, "prompt"));
  }
  BOOST_LEAF_ASSIGN(request.MaxTokens, tokenLimit(*object));
  BOOST_LEAF_ASSIGN(request.Stream, boolMember(*object, "stream"));
  if (object->contains("prompt_cache_key")) {
    BOOST_LEAF_ASSIGN(request.CacheKey,
                      stringMember(*object, "prompt_cache_key"));
  }
  return request;
}

std::string renderWhole(DraftShape shape, const DraftAnswer &answer) {
  bool isChat = shape == DraftShape::Chat;
  json::object choice;
  choice["index"] = 0;
  if (isChat)
    choice["message"] =
        json::object{{"role", "assistant"}, {"content", answer.Text}};
  else
    choice["text"] = answer.Text;
  choice["finish_reason"] = finishReasonValue(answer);
  json::object out =
      answerObject(answer, isChat ? "chat.completion" : "text_completion");
  out["choices"] = json::array{std::move(choice)};
  out["usage"] = usageOf(answer);
  return json::serialize(out);
}

std::string renderPart(DraftShape shape, const DraftAnswer &part) {
  bool isChat = shape == DraftShape::Chat;
  json::object choice;
  choice["index"] = 0;
  if (isChat)
    choice["delta"] = part.Text.empty() ? json::object{}
                                        : json::object{{"content", part.Text}};
  else
    choice["text"] = part.Text;
  choice["finish_reason"] = finishReasonValue(part);
  json::object out =
      answerObject(part, isChat ? "chat.completion.chunk" : "text_completion");
  out["choices"] = json::array{std::move(choice)};
  if (!part.FinishReason.empty())
    out["usage"] = usageOf(part);
  std::string event = "data: ";
  event += json::serialize(out);
  event += "\n\n";
  return event;
}

std::string renderError(const Error &error, Ran ran,
                        const std::vector<Address> &entries) {
  const AnswerRow &row = answerRow(error.Kind);
  json::object inner;
  inner["kind"] = row.Name;
  inner["message"] = error.Message;
  inner["ran"] = ranName(ran);
  inner["retry_after_ms"] = row.RetryAfter.count();
  json::array others;
  for (const Address &it : entries)
    others.emplace_back(it.Value);
  if (!others.empty())
    inner["entries"] = std::move(others);
  return json::serialize(json::object{{"error", std::move(inner)}});
}

Result<std::chrono::milliseconds> parseDeadline(std::string_view text) {
  std::int64_t ms = 0;
  auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), ms);
  if (ec != std::errc() || end != text.data() + text.size())
    return badRequest("X-Deadline-Ms is not a whole number of milliseconds");
  if (ms <= 0)
    return fail(ErrorKind::DeadlineTooShort,
                "X-Deadline-Ms is not over zero: the deadline has passed");
  return std::chrono::milliseconds(ms);
}

Result<ServiceTarget> parseServiceTarget(std::string_view uri) {
  if (!uri.starts_with(ServicePrefix))
    return fail(ErrorKind::NotFound, "not a service path");
  if (!isRequestTarget(uri))
    return badRequest("the path is not printable ASCII without spaces");
  std::string_view rest = uri.substr(ServicePrefix.size());
  auto end = rest.find_first_of("/?");
  if (end == std::string_view::npos)
    end = rest.size();
  if (end == 0)
    return fail(ErrorKind::NotFound, "the path names no service");
  ServiceTarget target;
  target.Service = {std::string(rest.substr(0, end))};
  std::string_view path = rest.substr(end);
  if (!path.starts_with('/'))
    target.Path += '/';
  target.Path += path;
  return target;
}

bool isPlainText(std::string_view text, std::size_t maxBytes) {
  auto isVisible = [](char c) { return c >= 0x20 && c < 0x7f; };
  return text.size() <= maxBytes && std::ranges::all_of(text, isVisible);
}

} // namespace greengagespar
