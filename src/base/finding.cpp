#include "greengagespar/base/finding.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <cstdio>
#include <numeric>

namespace greengagespar {

namespace {

// Only this many leading bytes of an unknown name are compared.
constexpr std::size_t MaxComparedBytes = 64;

std::size_t editDistance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      std::size_t replace = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({replace, row[j] + 1, row[j - 1] + 1});
    }
  }
  return row.back();
}

// Formats \p n without Boost.JSON, which writes 1 as 1E0.
std::string doubleText(double n) {
  std::array<char, 32> buf{};
  std::snprintf(buf.data(), buf.size(), "%.12g", n);
  return buf.data();
}

} // namespace

void addFinding(Findings &findings, std::string path, std::string found,
                std::string expected) {
  if (findings.size() >= MaxFindings)
    return;
  findings.push_back({std::move(path), std::move(found), std::move(expected)});
}

std::string quoted(std::string_view text) {
  std::string out = "\"";
  for (char c : text.substr(0, MaxQuotedBytes)) {
    if (c >= 0x20 && c < 0x7f) {
      out += c;
      continue;
    }
    std::array<char, 8> buf{};
    std::snprintf(buf.data(), buf.size(), "\\x%02x",
                  static_cast<unsigned char>(c));
    out += buf.data();
  }
  return out + (text.size() > MaxQuotedBytes ? "...\"" : "\"");
}

std::string describeValue(const boost::json::value &value) {
  switch (value.kind()) {
  case boost::json::kind::string:
    return "text " + quoted(value.get_string());
  case boost::json::kind::object:
    return "an object";
  case boost::json::kind::array:
    return "a list";
  case boost::json::kind::null:
    return "null";
  case boost::json::kind::bool_:
    return value.get_bool() ? "true" : "false";
  case boost::json::kind::double_:
    return "number " + doubleText(value.get_double());
  default:
    return "number " + boost::json::serialize(value);
  }
}

std::string nearestName(std::string_view name,
                        const std::vector<std::string> &known) {
  std::string_view start = name.substr(0, MaxComparedBytes);
  auto closer = [&](const std::string &a, const std::string &b) {
    return editDistance(start, a) < editDistance(start, b);
  };
  auto it = std::min_element(known.begin(), known.end(), closer);
  return it == known.end() ? std::string() : *it;
}

std::string findingText(const Finding &finding) {
  std::string where = finding.Path.empty() ? "" : finding.Path + ": ";
  return where + "found " + finding.Found + ", expected " + finding.Expected;
}

Error settingsError(std::string_view source, const Findings &findings) {
  std::string message(source);
  const char *separator = ": ";
  for (const Finding &it : findings) {
    message += separator + findingText(it);
    separator = "; ";
  }
  return {ErrorKind::BadSettings, message};
}

} // namespace greengagespar
