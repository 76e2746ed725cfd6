#include "greengagespar/base/schema.h"

#include "greengagespar/base/address.h"
#include <algorithm>
#include <cmath>

namespace greengagespar {

namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr std::size_t MaxIdBytes = 63;

// Converts whole numbers to integers, which JSON prints without an exponent, so
// that people can read them.
json::value plainNumber(double n) {
  constexpr double exactIntegers = 9007199254740992.0;
  if (std::floor(n) == n && std::fabs(n) <= exactIntegers)
    return static_cast<std::int64_t>(n);
  return n;
}

std::string numberText(double n) { return json::serialize(plainNumber(n)); }

std::string describeNumbers(std::string_view what, Range<double> range) {
  return "a " + std::string(what) + " from " + numberText(range.Min) + " to " +
         numberText(range.Max);
}

// Returns the number in \p value; an empty optional if it is not a number in
// \p range.
std::optional<double> finiteNumberIn(const json::value &value,
                                     Range<double> range) {
  if (!value.is_number())
    return std::nullopt;
  auto n = value.to_number<double>();
  return n >= range.Min && n <= range.Max ? std::optional(n) : std::nullopt;
}

} // namespace

bool isIdText(std::string_view text) {
  auto allowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '.' ||
           c == '-';
  };
  return !text.empty() && text.size() <= MaxIdBytes &&
         std::all_of(text.begin(), text.end(), allowed);
}

namespace detail {

std::optional<std::int64_t> wholeNumberIn(const json::value &value,
                                          Range<std::int64_t> range) {
  // A double represents each whole number up to 2^53 exactly.
  constexpr double exactDoubles = 9007199254740992.0;
  std::optional<std::int64_t> n;
  if (const std::int64_t *it = value.if_int64())
    n = *it;
  const std::uint64_t *natural = value.if_uint64();
  if (natural && *natural <= INT64_MAX)
    n = static_cast<std::int64_t>(*natural);
  const double *it = value.if_double();
  if (it && std::floor(*it) == *it && std::fabs(*it) <= exactDoubles)
    n = static_cast<std::int64_t>(*it);
  if (n && (*n < range.Min || *n > range.Max))
    n.reset();
  return n;
}

std::string describeRange(std::string_view unit, Range<std::int64_t> range) {
  return "a whole number of " + std::string(unit) + " from " +
         std::to_string(range.Min) + " to " + std::to_string(range.Max);
}

std::optional<std::string> textIf(const json::value &value,
                                  bool (*check)(std::string_view)) {
  const json::string *it = value.if_string();
  if (!it || !check({it->data(), it->size()}))
    return std::nullopt;
  return std::string(it->data(), it->size());
}

bool isAddressText(std::string_view text) {
  return parseIpPort(text).has_value();
}

std::string childPath(const std::string &path, std::string_view name) {
  bool atRoot = path.empty() || path.back() == ':';
  return path + (atRoot ? "" : ".") + std::string(name);
}

void checkKeys(const json::object &object, const std::string &path,
               const std::vector<std::string> &known, Findings &findings) {
  for (const auto &it : object) {
    std::string key(it.key());
    if (std::find(known.begin(), known.end(), key) != known.end())
      continue;
    std::string name = quoted(key);
    addFinding(findings, childPath(path, name.substr(1, name.size() - 2)),
               "an unknown key",
               "a known key; the nearest is " +
                   quoted(nearestName(key, known)));
  }
}

std::string printFields(std::string_view title,
                        const std::vector<PrintedField> &fields) {
  std::string out = "// " + std::string(title) + "\n{\n";
  for (const PrintedField &it : fields) {
    bool required = it.Needed == Presence::Required;
    out += "  // " + it.Comment + "\n  // Expected: " + it.Expected +
           (required ? " (required).\n" : ".\n");
    if (it.Value.is_null()) {
      out += "  // " + json::serialize(it.Name) + " is not set.\n";
      continue;
    }
    out += "  " + json::serialize(it.Name) + ": " + json::serialize(it.Value) +
           ",\n";
  }
  return out + "}\n";
}

} // namespace detail

Codec<std::size_t> byteCount(std::int64_t min, std::int64_t max) {
  return wholeNumber<std::size_t>("bytes", {min, max});
}

Codec<std::chrono::milliseconds> millisecondCount(std::int64_t min,
                                                  std::int64_t max) {
  Range<std::int64_t> range{min, max};
  return detail::scalarCodec<milliseconds>(
      detail::describeRange("milliseconds", range),
      [range](const json::value &value) -> std::optional<milliseconds> {
        auto n = detail::wholeNumberIn(value, range);
        return n ? std::optional(milliseconds(*n)) : std::nullopt;
      },
      [](const milliseconds &time) { return json::value(time.count()); });
}

Codec<milliseconds> duration(std::string_view unit, double unitMs,
                             Range<double> range) {
  return detail::scalarCodec<milliseconds>(
      describeNumbers("number of " + std::string(unit), range),
      [unitMs, range](const json::value &value) -> std::optional<milliseconds> {
        auto n = finiteNumberIn(value, range);
        return n ? std::optional(milliseconds(std::llround(*n * unitMs)))
                 : std::nullopt;
      },
      [unitMs](const milliseconds &time) {
        return plainNumber(static_cast<double>(time.count()) / unitMs);
      });
}

Codec<double> numberIn(Range<double> range) {
  return detail::scalarCodec<double>(
      describeNumbers("number", range),
      [range](const json::value &value) {
        return finiteNumberIn(value, range);
      },
      plainNumber);
}

Codec<double> decimalNumber(Range<double> range, bool maxIsOpen) {
  std::string expected = "a number over " + numberText(range.Min) +
                         (maxIsOpen ? " and under " : " and at most ") +
                         numberText(range.Max);
  return detail::scalarCodec<double>(
      expected,
      [range, maxIsOpen](const json::value &value) -> std::optional<double> {
        if (!value.is_number())
          return std::nullopt;
        auto n = value.to_number<double>();
        bool fits =
            n > range.Min && (maxIsOpen ? n < range.Max : n <= range.Max);
        return fits ? std::optional(n) : std::nullopt;
      },
      plainNumber);
}

Codec<bool> boolean() {
  return detail::scalarCodec<bool>(
      "true or false",
      [](const json::value &value) -> std::optional<bool> {
        const bool *it = value.if_bool();
        return it ? std::optional(*it) : std::nullopt;
      },
      [](const bool &b) { return json::value(b); });
}

Codec<std::string> text(std::string expected, bool (*check)(std::string_view)) {
  return detail::scalarCodec<std::string>(
      std::move(expected),
      [check](const json::value &value) {
        return detail::textIf(value, check);
      },
      [](const std::string &s) { return json::value(s); });
}

Codec<std::string> choice(std::vector<std::string> choices) {
  std::string expected = "one of";
  for (const std::string &it : choices)
    expected += (&it == &choices.front() ? " " : ", ") + quoted(it);
  return detail::scalarCodec<std::string>(
      expected,
      [choices](const json::value &value) -> std::optional<std::string> {
        const json::string *it = value.if_string();
        if (!it)
          return std::nullopt;
        std::string s(it->data(), it->size());
        bool known =
            std::find(choices.begin(), choices.end(), s) != choices.end();
        return known ? std::optional(s) : std::nullopt;
      },
      [](const std::string &s) { return json::value(s); });
}

Codec<Address> ipPort() {
  return detail::scalarCodec<Address>(
      "an IP address and port such as \"127.0.0.1:7001\"",
      [](const json::value &value) -> std::optional<Address> {
        auto text = detail::textIf(value, detail::isAddressText);
        return text ? std::optional(Address{*text}) : std::nullopt;
      },
      [](const Address &address) { return json::value(address.Value); });
}

Codec<Address> ipPortOrUnset() {
  Codec<Address> codec = ipPort();
  codec.Write = [](const Address &address) {
    return address.Value.empty() ? json::value(nullptr)
                                 : json::value(address.Value);
  };
  return codec;
}

} // namespace greengagespar
