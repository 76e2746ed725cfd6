/// \file
/// Findings: what is wrong with settings, in words for the operator who wrote
/// them. All functions are pure and thread safe.
#ifndef GREENGAGESPAR_BASE_FINDING_H
#define GREENGAGESPAR_BASE_FINDING_H

#include "greengagespar/base/errors.h"
#include <boost/json/value.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace greengagespar {

/// One fault in a settings document.
struct Finding {
  std::string Path;     ///< Where: "servers[0].endpoint"; empty: all of it.
  std::string Found;    ///< What stands there.
  std::string Expected; ///< What has to stand there.
  auto operator<=>(const Finding &) const = default;
};

/// All faults of a document, in the order of the document.
using Findings = std::vector<Finding>;

/// Findings beyond this many are dropped, so that reports stay bounded.
inline constexpr std::size_t MaxFindings = 50;

/// Longest quotation of a document in a finding, in bytes.
inline constexpr std::size_t MaxQuotedBytes = 80;

/// Adds a finding unless there are MaxFindings.
void addFinding(Findings &findings, std::string path, std::string found,
                std::string expected);

/// Returns \p text in quotes, cut to MaxQuotedBytes, with bytes that are not
/// printable ASCII escaped.
std::string quoted(std::string_view text);

/// Describes a value for Finding::Found, for example: number 5.
std::string describeValue(const boost::json::value &value);

/// Returns the name in \p known that is nearest to \p name by edit distance
/// (Levenshtein 1966), the first of equals; empty when \p known is empty.
std::string nearestName(std::string_view name,
                        const std::vector<std::string> &known);

/// Returns "path: found X, expected Y".
std::string findingText(const Finding &finding);

/// Returns an error of kind BadSettings that lists all \p findings after
/// \p source, which names the document. \pre \p findings is not empty.
Error settingsError(std::string_view source, const Findings &findings);

} // namespace greengagespar

#endif // GREENGAGESPAR_BASE_FINDING_H
