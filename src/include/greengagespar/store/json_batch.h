/// \file
/// Parses a JSON object with a list of entries from several writers. Each entry
/// is parsed by itself, so that one that can't be read does not cost the
/// others.
#ifndef GREENGAGESPAR_STORE_JSON_BATCH_H
#define GREENGAGESPAR_STORE_JSON_BATCH_H

#include "greengagespar/base/errors.h"
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace greengagespar {

/// Deepest nesting of an entry that is read. Lower than what the parser takes,
/// so that an entry can be sent on inside another document.
inline constexpr std::size_t MaxEntryDepth = 24;

/// One entry of a list.
struct BatchEntry {
  std::string_view Text; ///< Of the body.
  boost::json::value Value;
};

/// An object without its list, and the entries of the list.
struct JsonBatch {
  boost::json::object Envelope; ///< Members that can't be read are left out.
  std::vector<BatchEntry> Entries;
  std::vector<std::string> Unreadable; ///< See describeEntry().
  std::vector<std::string_view> Texts; ///< All entries, of the body.
};

/// Parses \p body, an object whose member \p list is an array of entries.
/// Fails with BadRequest if the object or the array doesn't end, or the array
/// is missing. The result refers to \p body. Thread safe.
Result<JsonBatch> parseBatch(std::string_view body, std::string_view list);

/// Returns the text at \p path, names of nested members, in \p object. Other
/// members may hold bytes that can't be read; a text that is no valid JSON is
/// returned as it stands. Empty if there is none. Thread safe.
std::optional<std::string>
findText(std::string_view object, std::initializer_list<std::string_view> path);

/// Returns the beginning of an entry's \p text, whatever bytes it has, and why
/// it can't be used: one line of printable characters. Thread safe.
std::string describeEntry(std::string_view text, std::string_view why);

} // namespace greengagespar

#endif // GREENGAGESPAR_STORE_JSON_BATCH_H
