/// \file
/// Declarative tables of settings. Each struct has one table that declares its
/// keys, members, types, units and ranges. The functions here use it to read a
/// JSON object, to write one, and to print it with a comment on each key.
///
/// All functions are pure and thread safe; a table is immutable once built.
#ifndef GREENGAGESPAR_BASE_SCHEMA_H
#define GREENGAGESPAR_BASE_SCHEMA_H

#include "greengagespar/base/document.h"
#include "greengagespar/base/finding.h"
#include "greengagespar/base/ids.h"
#include <boost/json.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace greengagespar {

/// A range that includes Min and Max, except in decimalNumber().
template <class T> struct Range {
  T Min;
  T Max;
};

/// Reads a value of type M from JSON and writes it to JSON.
template <class M> struct Codec {
  /// What the document must have, for example "true or false".
  std::string Expected;
  /// Reads \p value, which is at \p path in the document. Where the value is
  /// not as expected, adds findings and leaves \p out unchanged.
  std::function<void(const boost::json::value &value, const std::string &path,
                     M &out, Findings &findings)>
      Read;
  /// Writes a value; null means that the key is left out.
  std::function<boost::json::value(const M &)> Write;
};

/// Whether a document must have a key.
enum class Presence { Required, Optional };

/// The table row for one key of struct S.
template <class S> struct Field {
  std::string Name;
  Presence Needed = Presence::Optional;
  std::string Comment;  ///< One line for the operator.
  std::string Expected; ///< As in Codec.
  std::function<void(const boost::json::value &, const std::string &, S &,
                     Findings &)>
      Read;
  std::function<boost::json::value(const S &)> Write;
};

/// The table of struct S.
template <class S> struct Schema { std::vector<Field<S>> Fields; };

/// Makes the row for \p member under the key \p name.
template <class S, class M>
Field<S> field(std::string name, M S::*member, Codec<M> codec, Presence needed,
               std::string comment) {
  Field<S> row{std::move(name), needed, std::move(comment),
               codec.Expected,  {},     {}};
  row.Read = [member, read = std::move(codec.Read)](
                 const boost::json::value &value, const std::string &path,
                 S &out, Findings &findings) {
    read(value, path, out.*member, findings);
  };
  row.Write = [member, write = std::move(codec.Write)](const S &in) {
    return write(in.*member);
  };
  return row;
}

/// Returns whether \p text is an identifier: 1 to 63 of a-z, 0-9, "." and "-".
bool isIdText(std::string_view text);

namespace detail {

/// Makes a codec from a function that returns an empty optional for a value
/// that is not as \p expected.
template <class M, class Parse, class Write>
Codec<M> scalarCodec(std::string expected, Parse parse, Write write) {
  Codec<M> codec{std::move(expected), {}, write};
  codec.Read = [parse, expected = codec.Expected](
                   const boost::json::value &value, const std::string &path,
                   M &out, Findings &findings) {
    std::optional<M> parsed = parse(value);
    if (parsed)
      out = std::move(*parsed);
    else
      addFinding(findings, path, describeValue(value), expected);
  };
  return codec;
}

/// Returns the whole number in \p value; an empty optional if it is not a whole
/// number in \p range. A number such as 3.0 is whole.
std::optional<std::int64_t> wholeNumberIn(const boost::json::value &value,
                                          Range<std::int64_t> range);

/// Returns a text such as "a whole number of bytes from 1 to 5".
std::string describeRange(std::string_view unit, Range<std::int64_t> range);

/// Returns the text in \p value; an empty optional if it is not text that
/// passes \p check.
std::optional<std::string> textIf(const boost::json::value &value,
                                  bool (*check)(std::string_view));

/// Returns whether \p text is an IP address with a port.
bool isAddressText(std::string_view text);

/// Returns the path of key \p name below \p path.
std::string childPath(const std::string &path, std::string_view name);

/// Adds a finding for each key of \p object that is not in \p known.
void checkKeys(const boost::json::object &object, const std::string &path,
               const std::vector<std::string> &known, Findings &findings);

/// One key of printed settings. A null value is printed as not set.
struct PrintedField {
  std::string Name;
  Presence Needed;
  std::string Comment;
  std::string Expected;
  boost::json::value Value;
};

/// Prints \p fields as a JSON object with comments.
std::string printFields(std::string_view title,
                        const std::vector<PrintedField> &fields);

} // namespace detail

/// A whole number in \p range; \p unit is for example "bytes" or "percent".
template <class M = int>
Codec<M> wholeNumber(std::string_view unit, Range<std::int64_t> range) {
  return detail::scalarCodec<M>(
      detail::describeRange(unit, range),
      [range](const boost::json::value &value) -> std::optional<M> {
        auto n = detail::wholeNumberIn(value, range);
        return n ? std::optional<M>(static_cast<M>(*n)) : std::nullopt;
      },
      [](const M &n) { return boost::json::value(n); });
}

/// A size in bytes from \p min to \p max.
Codec<std::size_t> byteCount(std::int64_t min, std::int64_t max);

/// A time in whole milliseconds from \p min to \p max.
Codec<std::chrono::milliseconds> millisecondCount(std::int64_t min,
                                                  std::int64_t max);

/// A time in \p unit of \p unitMs milliseconds, from \p range.Min to
/// \p range.Max units. Fractions are accepted and rounded to milliseconds.
Codec<std::chrono::milliseconds> duration(std::string_view unit, double unitMs,
                                          Range<double> range);

/// A number in \p range, whole or with a fraction.
Codec<double> numberIn(Range<double> range);

/// A number over range.Min, which itself is refused, and at most range.Max. If
/// \p maxIsOpen, range.Max is refused too.
Codec<double> decimalNumber(Range<double> range, bool maxIsOpen = false);

/// True or false.
Codec<bool> boolean();

/// Text that passes \p check; \p expected describes it.
Codec<std::string> text(std::string expected, bool (*check)(std::string_view));

/// One of \p choices.
Codec<std::string> choice(std::vector<std::string> choices);

/// An enumerator and its name in settings.
template <class E> struct NamedValue {
  std::string Name;
  E Value;
};

/// One of the names in \p values. \pre \p values names every enumerator.
template <class E> Codec<E> choiceOf(std::vector<NamedValue<E>> values) {
  std::vector<std::string> names;
  names.reserve(values.size());
  for (const NamedValue<E> &it : values)
    names.push_back(it.Name);
  return detail::scalarCodec<E>(
      choice(names).Expected,
      [values](const boost::json::value &value) -> std::optional<E> {
        for (const NamedValue<E> &it : values)
          if (value == boost::json::value(it.Name))
            return it.Value;
        return std::nullopt;
      },
      [values](const E &in) {
        for (const NamedValue<E> &it : values)
          if (it.Value == in)
            return boost::json::value(it.Name);
        return boost::json::value(nullptr);
      });
}

/// An IP address with a port.
Codec<Address> ipPort();

/// An IP address with a port. An empty address means that the key is not set;
/// it is not written.
Codec<Address> ipPortOrUnset();

/// An identifier that isIdText accepts. \p what names it, for example
/// "a server".
template <class Id> Codec<Id> identifier(std::string_view what) {
  return detail::scalarCodec<Id>(
      "the name of " + std::string(what) + ": 1 to 63 of a-z, 0-9, . and -",
      [](const boost::json::value &value) -> std::optional<Id> {
        auto text = detail::textIf(value, isIdText);
        return text ? std::optional<Id>(Id{*text}) : std::nullopt;
      },
      [](const Id &id) { return boost::json::value(id.Value); });
}

/// A value of \p codec for a key that may be left out; the member is then
/// empty.
template <class M> Codec<std::optional<M>> optional(Codec<M> codec) {
  Codec<std::optional<M>> out{codec.Expected, {}, {}};
  out.Read = [read = codec.Read](const boost::json::value &value,
                                 const std::string &path, std::optional<M> &to,
                                 Findings &findings) {
    M parsed{};
    std::size_t before = findings.size();
    read(value, path, parsed, findings);
    if (findings.size() == before)
      to = std::move(parsed);
  };
  out.Write = [write = codec.Write](const std::optional<M> &in) {
    return in ? write(*in) : boost::json::value(nullptr);
  };
  return out;
}

/// A list of at most \p maxItems values of \p item.
template <class M>
Codec<std::vector<M>> listOfValues(Codec<M> item, std::size_t maxItems) {
  Codec<std::vector<M>> codec{"a list of at most " + std::to_string(maxItems) +
                                  ": " + item.Expected,
                              {},
                              {}};
  codec.Read = [read = item.Read, maxItems, expected = codec.Expected](
                   const boost::json::value &value, const std::string &path,
                   std::vector<M> &out, Findings &findings) {
    const boost::json::array *items = value.if_array();
    if (!items || items->size() > maxItems) {
      addFinding(findings, path,
                 items ? std::to_string(items->size()) + " items"
                       : describeValue(value),
                 expected);
      return;
    }
    out.assign(items->size(), M{});
    for (std::size_t i = 0; i < items->size(); ++i)
      read((*items)[i], path + "[" + std::to_string(i) + "]", out[i], findings);
  };
  codec.Write = [write = item.Write](const std::vector<M> &in) {
    boost::json::array items;
    for (const M &it : in)
      items.push_back(write(it));
    return boost::json::value(std::move(items));
  };
  return codec;
}

/// Reads \p value, which is at \p path in the document, as an object of struct
/// S into \p out. Adds a finding for each key that is unknown, missing or not
/// as expected, and continues with the next key.
template <class S>
void readObject(const Schema<S> &schema, const boost::json::value &value,
                const std::string &path, S &out, Findings &findings) {
  const boost::json::object *object = value.if_object();
  if (!object) {
    addFinding(findings, path, describeValue(value), "an object");
    return;
  }
  std::vector<std::string> known;
  known.reserve(schema.Fields.size());
  for (const Field<S> &row : schema.Fields)
    known.push_back(row.Name);
  detail::checkKeys(*object, path, known, findings);
  for (const Field<S> &row : schema.Fields) {
    std::string here = detail::childPath(path, row.Name);
    if (const boost::json::value *it = object->if_contains(row.Name))
      row.Read(*it, here, out, findings);
    else if (row.Needed == Presence::Required)
      addFinding(findings, here, "nothing", row.Expected + " (required)");
  }
}

/// Writes all keys of \p in except those whose written value is null.
template <class S>
boost::json::object writeObject(const Schema<S> &schema, const S &in) {
  boost::json::object object;
  for (const Field<S> &row : schema.Fields) {
    boost::json::value value = row.Write(in);
    if (!value.is_null())
      object[row.Name] = std::move(value);
  }
  return object;
}

/// A list of at most \p maxItems objects of struct S.
template <class S>
Codec<std::vector<S>> listOf(Schema<S> schema, std::size_t maxItems) {
  Codec<std::vector<S>> codec{
      "a list of at most " + std::to_string(maxItems) + " objects", {}, {}};
  codec.Read = [schema, maxItems, expected = codec.Expected](
                   const boost::json::value &value, const std::string &path,
                   std::vector<S> &out, Findings &findings) {
    const boost::json::array *items = value.if_array();
    if (!items || items->size() > maxItems) {
      addFinding(findings, path,
                 items ? std::to_string(items->size()) + " items"
                       : describeValue(value),
                 expected);
      return;
    }
    out.clear();
    out.reserve(items->size());
    for (std::size_t i = 0; i < items->size(); ++i)
      readObject(schema, (*items)[i], path + "[" + std::to_string(i) + "]",
                 out.emplace_back(), findings);
  };
  codec.Write = [schema](const std::vector<S> &in) {
    boost::json::array items;
    for (const S &it : in)
      items.push_back(writeObject(schema, it));
    return boost::json::value(std::move(items));
  };
  return codec;
}

/// Parses \p text as one object of struct S. Optional keys that are missing
/// keep their value from \p defaults. Fails with BadSettings and a message that
/// lists every finding and names the document as \p source.
template <class S>
Result<S> parseSettings(const Schema<S> &schema, std::string_view text,
                        std::string_view source, S defaults = {}) {
  Findings findings;
  std::optional<boost::json::value> document = parseDocument(text, findings);
  if (document)
    readObject(schema, *document, "", defaults, findings);
  if (findings.empty())
    return defaults;
  Error error = settingsError(source, findings);
  return fail(error.Kind, error.Message);
}

/// Returns \p values as a JSON document with a comment on each key.
/// parseSettings accepts the document. \p title becomes the first comment.
template <class S>
std::string printSettings(const Schema<S> &schema, std::string_view title,
                          const S &values) {
  std::vector<detail::PrintedField> fields;
  fields.reserve(schema.Fields.size());
  for (const Field<S> &row : schema.Fields)
    fields.push_back(
        {row.Name, row.Needed, row.Comment, row.Expected, row.Write(values)});
  return detail::printFields(title, fields);
}

} // namespace greengagespar

#endif // GREENGAGESPAR_BASE_SCHEMA_H
