#include "greengagespar/contract/repeat_rule.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <string>

namespace greengagespar {

namespace {

constexpr std::array<std::string_view, 6> IdempotentMethods = {
    "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"};

// Decodes each %XX and keeps a '%' that two hexadecimal digits don't follow.
std::string decodePercent(std::string_view path) {
  std::string out;
  for (std::size_t i = 0; i < path.size(); ++i) {
    unsigned char byte = 0;
    const char *digits = path.data() + i + 1;
    bool triplet =
        path[i] == '%' && i + 2 < path.size() &&
        std::from_chars(digits, digits + 2, byte, 16).ptr == digits + 2;
    out += triplet ? static_cast<char>(byte) : path[i];
    i += triplet ? 2 : 0;
  }
  return out;
}

// Returns the decoded path without query, with empty and "." segments removed
// and ".." resolved.
std::string normalizePath(std::string_view path) {
  std::string text = decodePercent(path.substr(0, path.find_first_of("?#")));
  std::string out;
  std::size_t start = 0;
  while (start < text.size()) {
    std::size_t end = std::min(text.find('/', start), text.size());
    std::string segment = text.substr(start, end - start);
    start = end + 1;
    if (segment == "..")
      out.resize(out.empty() ? 0 : out.rfind('/'));
    else if (!segment.empty() && segment != ".")
      out += "/" + segment;
  }
  bool isDirectory = text.empty() || text.back() == '/';
  return isDirectory ? out + "/" : out;
}

} // namespace

RepeatRule repeatRule(const Service &service, std::string_view method,
                      std::string_view path) {
  std::string normal = normalizePath(path);
  for (const CallPattern &it : service.NonRepeatable)
    if (it.Method == method && normal.starts_with(normalizePath(it.PathPrefix)))
      return RepeatRule::AtMostOnce;
  bool idempotent =
      std::find(IdempotentMethods.begin(), IdempotentMethods.end(), method) !=
      IdempotentMethods.end();
  return idempotent ? RepeatRule::Repeatable : RepeatRule::NotRetried;
}

bool isRequestTarget(std::string_view text) {
  auto isVisible = [](char c) { return c > 0x20 && c < 0x7f; };
  return text.starts_with('/') && std::ranges::all_of(text, isVisible);
}

} // namespace greengagespar
