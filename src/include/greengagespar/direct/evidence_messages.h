/// \file
/// Converts evidence about parts of prompts to and from messages between
/// entries. Pure functions; thread safe.
#ifndef GREENGAGESPAR_DIRECT_EVIDENCE_MESSAGES_H
#define GREENGAGESPAR_DIRECT_EVIDENCE_MESSAGES_H

#include "greengagespar/link/link.pb.h"
#include "greengagespar/route/crash_evidence.h"

namespace greengagespar {

/// Most rows of evidence in one digest, and most crashes in a row. A row takes
/// at most 9 + 20 * MaxCrashesInRow bytes.
inline constexpr std::size_t MaxEvidenceRows = 16;
inline constexpr int MaxCrashesInRow = 8;

/// Adds \p rows to \p digest.
void writeEvidence(const std::vector<EvidenceRow> &rows, wire::Members &digest);

/// Reads the first MaxEvidenceRows rows of \p digest and the first
/// MaxCrashesInRow crashes of each. Ages are at most a day longer than any
/// evidence is kept.
std::vector<EvidenceRow> readEvidence(const wire::Members &digest);

} // namespace greengagespar

#endif // GREENGAGESPAR_DIRECT_EVIDENCE_MESSAGES_H
