#include "greengagespar/base/document.h"

#include <algorithm>
#include <boost/json.hpp>
#include <boost/json/basic_parser_impl.hpp>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <memory>
#include <set>

namespace greengagespar {

namespace {

namespace json = boost::json;
using ErrorCode = boost::system::error_code;

json::parse_options documentOptions() {
  json::parse_options options;
  options.max_depth = MaxDocumentDepth;
  options.allow_comments = true;
  options.allow_trailing_commas = true;
  return options;
}

// Handler for Boost.JSON's basic_parser, which prescribes the member names.
// Reports keys that occur twice in one object, because the document parser
// would silently keep the last one.
// NOLINTBEGIN(readability-identifier-naming)
struct DuplicateKeyHandler {
  static constexpr std::size_t max_object_size = -1;
  static constexpr std::size_t max_array_size = -1;
  static constexpr std::size_t max_key_size = -1;
  static constexpr std::size_t max_string_size = -1;

  struct Scope {
    std::set<std::string> Keys;
    std::string Key;
  };
  std::vector<Scope> Scopes;
  std::string Part;
  Findings *Report = nullptr;

  std::string path() const {
    std::string out;
    for (const Scope &it : Scopes)
      if (!it.Key.empty())
        out += (out.empty() ? "" : ".") + it.Key;
    return out;
  }

  bool on_document_begin(ErrorCode &) { return true; }
  bool on_document_end(ErrorCode &) { return true; }
  bool on_object_begin(ErrorCode &) {
    Scopes.emplace_back();
    return true;
  }
  bool on_object_end(std::size_t, ErrorCode &) {
    Scopes.pop_back();
    return true;
  }
  bool on_array_begin(ErrorCode &) { return true; }
  bool on_array_end(std::size_t, ErrorCode &) { return true; }
  bool on_key_part(json::string_view s, std::size_t, ErrorCode &) {
    Part.append(s.data(), s.size());
    return true;
  }
  bool on_key(json::string_view s, std::size_t, ErrorCode &) {
    Part.append(s.data(), s.size());
    Scope &scope = Scopes.back();
    scope.Key = std::move(Part);
    Part.clear();
    if (!scope.Keys.insert(scope.Key).second)
      addFinding(*Report, path(), "the key twice", "each key once");
    return true;
  }
  bool on_string_part(json::string_view, std::size_t, ErrorCode &) {
    return true;
  }
  bool on_string(json::string_view, std::size_t, ErrorCode &) { return true; }
  bool on_number_part(json::string_view, ErrorCode &) { return true; }
  bool on_int64(std::int64_t, json::string_view, ErrorCode &) { return true; }
  bool on_uint64(std::uint64_t, json::string_view, ErrorCode &) { return true; }
  bool on_double(double, json::string_view, ErrorCode &) { return true; }
  bool on_bool(bool, ErrorCode &) { return true; }
  bool on_null(ErrorCode &) { return true; }
  bool on_comment_part(json::string_view, ErrorCode &) { return true; }
  bool on_comment(json::string_view, ErrorCode &) { return true; }
};
// NOLINTEND(readability-identifier-naming)

void findDuplicateKeys(std::string_view text, Findings &findings) {
  json::basic_parser<DuplicateKeyHandler> parser(documentOptions());
  parser.handler().Report = &findings;
  ErrorCode ec;
  parser.write_some(false, text.data(), text.size(), ec);
}

bool isTextByte(char c) {
  return static_cast<unsigned char>(c) >= 0x20 || c == '\n' || c == '\t' ||
         c == '\r';
}

std::string position(std::string_view text, std::size_t offset) {
  std::string_view before = text.substr(0, offset);
  auto line = std::count(before.begin(), before.end(), '\n') + 1;
  std::size_t newline = before.rfind('\n');
  std::size_t column =
      newline == std::string_view::npos ? offset + 1 : offset - newline;
  return "line " + std::to_string(line) + ", column " + std::to_string(column);
}

bool checkBytes(std::string_view text, Findings &findings) {
  if (text.size() > MaxDocumentBytes) {
    addFinding(findings, "", "more than 1 MiB", "at most 1 MiB of JSON");
    return false;
  }
  auto isSpace = [](char c) { return c == ' ' || (isTextByte(c) && c < 0x20); };
  if (std::all_of(text.begin(), text.end(), isSpace)) {
    addFinding(findings, "", "an empty document", "a JSON object");
    return false;
  }
  auto it = std::find_if_not(text.begin(), text.end(), isTextByte);
  if (it != text.end()) {
    addFinding(findings, "",
               "a binary byte at " + position(text, it - text.begin()),
               "JSON text");
    return false;
  }
  return true;
}

} // namespace

std::optional<json::value> parseDocument(std::string_view text,
                                         Findings &findings) {
  if (!checkBytes(text, findings))
    return std::nullopt;
  json::parser parser({}, documentOptions());
  ErrorCode ec;
  std::size_t n = parser.write(text.data(), text.size(), ec);
  if (ec == json::error::too_deep) {
    addFinding(findings, "", "more than 32 levels of nesting",
               "at most 32 levels");
    return std::nullopt;
  }
  if (ec) {
    addFinding(findings, "",
               ec.message() + " at " + position(text, std::min(n, text.size())),
               "JSON, comments allowed");
    return std::nullopt;
  }
  std::size_t before = findings.size();
  findDuplicateKeys(text, findings);
  if (findings.size() > before)
    return std::nullopt;
  return parser.release();
}

Result<std::string> readDocumentFile(const std::string &path) {
  auto unreadable = [&] {
    return fail(ErrorKind::BadSettings,
                path + " can't be read: " + std::strerror(errno));
  };
  struct Closer {
    void operator()(std::FILE *file) const { std::fclose(file); }
  };
  std::unique_ptr<std::FILE, Closer> file(std::fopen(path.c_str(), "rb"));
  if (!file)
    return unreadable();
  std::string text(MaxDocumentBytes + 1, '\0');
  std::size_t n = std::fread(text.data(), 1, text.size(), file.get());
  if (std::ferror(file.get()))
    return unreadable();
  text.resize(n);
  return text;
}

} // namespace greengagespar
