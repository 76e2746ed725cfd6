#include "greengagespar/direct/evidence_messages.h"

#include <algorithm>

namespace greengagespar {

namespace {

// Greatest age that is read, so that no time before the clock's range results.
constexpr std::uint64_t MaxAgeMs =
    std::chrono::milliseconds(std::chrono::hours(48)).count();

} // namespace

void writeEvidence(const std::vector<EvidenceRow> &rows,
                   wire::Members &digest) {
  for (const EvidenceRow &row : rows) {
    wire::PartEvidence &out = *digest.add_parts();
    out.set_part(row.Part.Value);
    for (const CrashRow &it : row.Crashes) {
      wire::PartCrash &crash = *out.add_crashes();
      crash.set_crash(it.Id.Value);
      crash.set_age_ms(static_cast<std::uint64_t>(
          std::max<std::int64_t>(0, it.Age.count())));
      crash.set_cleared(it.IsCleared);
    }
  }
}

std::vector<EvidenceRow> readEvidence(const wire::Members &digest) {
  std::vector<EvidenceRow> rows;
  int count = std::min(digest.parts_size(), static_cast<int>(MaxEvidenceRows));
  for (int i = 0; i < count; ++i) {
    const wire::PartEvidence &in = digest.parts(i);
    EvidenceRow &row = rows.emplace_back();
    row.Part = {in.part()};
    for (int j = 0; j < std::min(in.crashes_size(), MaxCrashesInRow); ++j) {
      const wire::PartCrash &crash = in.crashes(j);
      auto ageMs = std::min(crash.age_ms(), MaxAgeMs);
      row.Crashes.push_back(
          {{crash.crash()},
           std::chrono::milliseconds(static_cast<std::int64_t>(ageMs)),
           crash.cleared()});
    }
  }
  return rows;
}

} // namespace greengagespar
