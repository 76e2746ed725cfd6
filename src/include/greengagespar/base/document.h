/// \file
/// Reads settings documents: JSON with comments and trailing commas, bounded
/// in size and depth.
#ifndef GREENGAGESPAR_BASE_DOCUMENT_H
#define GREENGAGESPAR_BASE_DOCUMENT_H

#include "greengagespar/base/finding.h"
#include "greengagespar/base/units.h"
#include <boost/json/value.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace greengagespar {

/// Largest settings document in bytes.
inline constexpr std::size_t MaxDocumentBytes = MiB;

/// Deepest nesting of objects and lists.
inline constexpr std::size_t MaxDocumentDepth = 32;

/// Parses \p text. Adds a finding for each fault (empty, too large, not text,
/// not JSON with line and column, nested too deep, a key given twice) and
/// returns no value if there was any. Thread safe.
std::optional<boost::json::value> parseDocument(std::string_view text,
                                                Findings &findings);

/// Reads the file at \p path, at most one byte over MaxDocumentBytes of it.
/// Fails with BadSettings if it can't be read. Thread safe.
Result<std::string> readDocumentFile(const std::string &path);

} // namespace greengagespar

#endif // GREENGAGESPAR_BASE_DOCUMENT_H
