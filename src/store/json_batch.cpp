#include "greengagespar/store/json_batch.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <optional>
#include <utility>

namespace greengagespar {

namespace json = boost::json;

namespace {

// Bytes of an unreadable entry in its description.
constexpr std::size_t MaxDescribedBytes = 80;

/// Finds where values begin and end, without regard to what they hold.
struct Scanner {
  std::string_view Text;
  std::size_t At = 0;

  void skipSpace() {
    while (At < Text.size() &&
           std::string_view(" \t\r\n").find(Text[At]) != std::string_view::npos)
      ++At;
  }

  // Skips \p c and the space around it. Returns false if it is not next.
  bool skip(char c) {
    skipSpace();
    if (At >= Text.size() || Text[At] != c)
      return false;
    ++At;
    skipSpace();
    return true;
  }

  bool skipString() {
    for (++At; At < Text.size(); ++At) {
      if (Text[At] == '\\')
        ++At;
      else if (Text[At] == '"')
        return ++At, true;
    }
    return false;
  }

  // Skips a value that begins with a bracket.
  bool skipNested() {
    std::size_t depth = 0;
    while (At < Text.size()) {
      char c = Text[At];
      if (c == '"') {
        if (!skipString())
          return false;
        continue;
      }
      ++At;
      if (c == '[' || c == '{')
        ++depth;
      else if ((c == ']' || c == '}') && --depth == 0)
        return true;
    }
    return false;
  }

  // Returns the text of the next value; empty if there is none that ends.
  std::optional<std::string_view> takeValue() {
    skipSpace();
    std::size_t from = At;
    bool ends = At < Text.size();
    if (!ends)
      return std::nullopt;
    if (Text[At] == '"')
      ends = skipString();
    else if (Text[At] == '[' || Text[At] == '{')
      ends = skipNested();
    else
      At = std::min(Text.find_first_of(",]} \t\r\n", At), Text.size());
    if (!ends || At == from)
      return std::nullopt;
    return Text.substr(from, At - from);
  }
};

using Member = std::pair<std::string_view, std::string_view>;

// Returns the names, with their quotes, and the values of an object's members.
std::optional<std::vector<Member>> membersOf(std::string_view object) {
  Scanner scan{object};
  std::vector<Member> members;
  if (!scan.skip('{'))
    return std::nullopt;
  if (scan.skip('}'))
    return members;
  do {
    auto name = scan.takeValue();
    if (!name || !scan.skip(':'))
      return std::nullopt;
    auto value = scan.takeValue();
    if (!value)
      return std::nullopt;
    members.emplace_back(*name, *value);
  } while (scan.skip(','));
  if (!scan.skip('}') || scan.At != object.size())
    return std::nullopt;
  return members;
}

std::optional<std::vector<std::string_view>>
elementsOf(std::string_view array) {
  Scanner scan{array};
  std::vector<std::string_view> elements;
  if (!scan.skip('['))
    return std::nullopt;
  if (scan.skip(']'))
    return elements;
  do {
    auto element = scan.takeValue();
    if (!element)
      return std::nullopt;
    elements.push_back(*element);
  } while (scan.skip(','));
  if (!scan.skip(']'))
    return std::nullopt;
  return elements;
}

json::value parseText(std::string_view text, json::error_code &ec) {
  json::parse_options options;
  options.max_depth = MaxEntryDepth;
  return json::parse({text.data(), text.size()}, ec, {}, options);
}

} // namespace

std::string describeEntry(std::string_view text, std::string_view why) {
  std::string line(why);
  line.append(": ");
  for (char c : text.substr(0, MaxDescribedBytes)) {
    bool isPrintable = c >= ' ' && c <= '~';
    line.push_back(isPrintable ? c : '?');
  }
  return line;
}

std::optional<std::string>
findText(std::string_view object,
         std::initializer_list<std::string_view> path) {
  std::string_view text = object;
  for (std::string_view name : path) {
    auto members = membersOf(text);
    if (!members)
      return std::nullopt;
    auto it = std::ranges::find_if(*members, [&](const Member &member) {
      return member.first.size() == name.size() + 2 &&
             member.first.substr(1, name.size()) == name;
    });
    if (it == members->end())
      return std::nullopt;
    text = it->second;
  }
  if (text.size() < 2 || text.front() != '"')
    return std::nullopt;
  json::error_code ec;
  json::value value = parseText(text, ec);
  if (ec)
    return std::string(text.substr(1, text.size() - 2));
  return std::string(value.get_string());
}

Result<JsonBatch> parseBatch(std::string_view body, std::string_view list) {
  auto members = membersOf(body);
  if (!members)
    return fail(ErrorKind::BadRequest, "the store's answer is no JSON object");
  JsonBatch batch;
  std::optional<std::vector<std::string_view>> elements;
  for (const auto &[name, value] : *members) {
    std::string_view bare = name.substr(1, name.size() - 2);
    json::error_code ec;
    if (bare == list)
      elements = elementsOf(value);
    else if (json::value it = parseText(value, ec); !ec)
      batch.Envelope[json::string_view(bare.data(), bare.size())] =
          std::move(it);
  }
  if (!elements)
    return fail(ErrorKind::BadRequest,
                "the store's answer has no valid list " + std::string(list));
  batch.Texts = std::move(*elements);
  for (std::string_view text : batch.Texts) {
    json::error_code ec;
    json::value value = parseText(text, ec);
    if (ec)
      batch.Unreadable.push_back(describeEntry(text, ec.message()));
    else
      batch.Entries.push_back({text, std::move(value)});
  }
  return batch;
}

} // namespace greengagespar
