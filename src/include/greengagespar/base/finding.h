/// \file
/// Findings: the faults in settings, described for the operator who wrote them.
/// All functions are pure and thread safe.
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
  std::string Path;  ///< As "servers[0].endpoint"; empty: the whole document.
  std::string Found; ///< What the document has at the path.
  std::string Expected; ///< What the document must have there.
  auto operator<=>(const Finding &) const = default;
};

/// The faults of a document, in the order in which they were found.
using Findings = std::vector<Finding>;

/// Most findings of a document. Further ones are dropped, so that reports stay
/// bounded.
inline constexpr std::size_t MaxFindings = 50;

/// Longest quotation of a document in a finding, in bytes.
inline constexpr std::size_t MaxQuotedBytes = 80;

/// Adds a finding unless \p findings already holds MaxFindings.
void addFinding(Findings &findings, std::string path, std::string found,
                std::string expected);

/// Returns \p text in quotes, truncated to MaxQuotedBytes, with bytes that are
/// not printable ASCII escaped.
std::string quoted(std::string_view text);

/// Describes a value for Finding::Found, for example "number 5".
std::string describeValue(const boost::json::value &value);

/// Returns the name in \p known that is nearest to \p name by edit distance
/// (Levenshtein 1966); the first of several equally near; empty when \p known
/// is empty.
std::string nearestName(std::string_view name,
                        const std::vector<std::string> &known);

/// Returns "path: found X, expected Y".
std::string findingText(const Finding &finding);

/// Returns an error of kind BadSettings that lists all \p findings after
/// \p source, which names the document. \pre \p findings is not empty.
Error settingsError(std::string_view source, const Findings &findings);

} // namespace greengagespar

#endif // GREENGAGESPAR_BASE_FINDING_H
