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

/// Parses \p text. Adds a finding for a fault: the document is empty, too
/// large, not text, not JSON (with line and column) or nested too deep, or an
/// object has a duplicate key (one finding each). Returns an empty optional if
/// there was a fault. Thread safe.
std::optional<boost::json::value> parseDocument(std::string_view text,
                                                Findings &findings);

/// Reads the file at \p path, but at most one byte more than MaxDocumentBytes,
/// so that parseDocument can detect a file that is too large. Fails with
/// BadSettings if the file can't be read. Thread safe.
Result<std::string> readDocumentFile(const std::string &path);

} // namespace greengagespar

#endif // GREENGAGESPAR_BASE_DOCUMENT_H
