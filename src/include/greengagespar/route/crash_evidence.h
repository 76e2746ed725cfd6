/// \file
/// Finds the parts of prompts that crash servers (queries of death; "Site
/// Reliability Engineering", Beyer and others, 2016, chapter 22) and decides
/// which requests may still be sent.
///
/// When a server ends while it begins to answer a request, each part of the
/// prompt that the request shares with others becomes a suspect, unless a
/// request with that part has been answered beyond its beginning. A server that
/// ends before it has begun an answer takes with it all requests that waited
/// there, so that their parts become suspects only when this happens once more.
/// Such uncertain crashes count once if they happen together, as when many
/// servers lose their power; one under a trial is certain. Requests with
/// a suspect part are sent one at a time, by one entry only. A part under which
/// Limits.BlockAfter servers have ended, and that no request has survived, is
/// blocked. Any request with the part that is answered beyond its beginning
/// clears it: a popular part that is in progress at many unrelated crashes is
/// therefore not blocked.
///
/// Entries exchange their evidence as rows. Merging is commutative, associative
/// and idempotent, as each crash has an identifier and a cleared crash stays
/// cleared, so that rows may arrive in any order and any number of times.
///
/// The functions change only the evidence passed to them and do no input or
/// output. Not thread safe: one event loop owns each CrashEvidence.
#ifndef GREENGAGESPAR_ROUTE_CRASH_EVIDENCE_H
#define GREENGAGESPAR_ROUTE_CRASH_EVIDENCE_H

#include "greengagespar/base/clock.h"
#include "greengagespar/base/ids.h"
#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace greengagespar {

/// Thresholds and times of the decisions.
struct CrashLimits {
  /// Crashes after which a part is blocked.
  std::size_t BlockAfter = 3;
  /// Time from the last crash for which a part is blocked. It doubles with each
  /// further crash, up to MaxBlockTime; after it, one trial is sent at a time.
  std::chrono::minutes BlockTime{10};
  std::chrono::minutes MaxBlockTime{24 * 60};
  /// Evidence is forgotten this long after its last crash, or after the end of
  /// a block.
  std::chrono::minutes ForgetAfter{10};
  /// A request that was answered clears its parts for at least this long and at
  /// most twice as long.
  std::chrono::seconds SoundTime{30};
  /// Uncertain crashes within this time count as one.
  std::chrono::milliseconds SameEventTime{1000};
  /// A trial that has not ended after this time no longer holds up others.
  std::chrono::seconds MaxTrialTime{4};
  /// Bounds on memory: parts with evidence, crashes kept for each, and parts
  /// that were answered in one SoundTime.
  std::size_t MaxParts = 256;
  std::size_t MaxCrashesPerPart = 8;
  std::size_t MaxSoundParts = 4096;
  /// Digests with a part of which one uncertain crash is known. There may be
  /// many such parts, and one crash alone makes none of them a suspect.
  std::uint64_t MaxUncertainSends = 16;
};

/// What is known of one crash under a part.
struct CrashRecord {
  Clock::time_point At; ///< When the first entry to learn of it saw it.
  bool IsCleared = false;
  /// The server had not begun to answer any request with the part, and the part
  /// was not on trial there.
  bool IsUncertain = false;
};

/// The evidence about one part.
struct PartEvidence {
  std::map<ServerIncarnationId, CrashRecord> Crashes; ///< At least one.
  /// A trial by this entry is in progress until this time; empty: none is.
  std::optional<Clock::time_point> TrialUntil;
  std::uint64_t Sent = 0; ///< Digests with it since it last changed.
};

/// Everything that one entry knows about parts that may crash servers.
struct CrashEvidence {
  CrashLimits Limits;
  std::unordered_map<PromptPartId, PartEvidence> Parts;
  /// Parts of requests that were answered in this SoundTime and the one before.
  std::array<std::unordered_set<PromptPartId>, 2> Sound;
  Clock::time_point SoundSince{}; ///< Begin of this SoundTime.
};

/// One crash in a row of evidence.
struct CrashRow {
  ServerIncarnationId Id;
  std::chrono::milliseconds Age{0};
  bool IsCleared = false;
  bool IsUncertain = false; ///< See CrashRecord.
};

/// The evidence about one part, as entries exchange it.
struct EvidenceRow {
  PromptPartId Part;
  std::vector<CrashRow> Crashes;
};

/// Whether requests with a part may be sent.
enum class PartState {
  Clear,   ///< No evidence against it.
  Suspect, ///< One request with it may be sent at a time, by one entry.
  Blocked, ///< No request with it is sent.
};

/// The decision about one request.
struct PartDecision {
  PartState State = PartState::Clear;
  PromptPartId Part;       ///< The part that decided; unless Clear.
  std::size_t Crashes = 0; ///< Servers that have ended under it.
  /// Until when the part is blocked, or until when a trial of this entry holds
  /// it up; empty otherwise.
  std::optional<Clock::time_point> Until;
};

/// Returns the identifier of the part \p name of prompts for \p service.
PromptPartId promptPartOf(const ServiceId &service, std::string_view name);

/// Decides about a request with \p parts. The decision is that of the part with
/// the strongest evidence, which is the same part at all entries that have the
/// same evidence.
PartDecision decideParts(const CrashEvidence &evidence,
                         const std::vector<PromptPartId> &parts,
                         Clock::time_point now);

/// Whether requests with each of \p parts were answered of late, so that none
/// of them can have made a server end.
bool areKnownSound(const CrashEvidence &evidence,
                   const std::vector<PromptPartId> &parts);

/// Marks the suspects among \p parts as on trial. Returns whether there are
/// any.
bool startTrial(CrashEvidence &evidence, const std::vector<PromptPartId> &parts,
                Clock::time_point now);

/// Ends the trial of \p parts, however it ended.
void endTrial(CrashEvidence &evidence, const std::vector<PromptPartId> &parts);

/// Records that a server answered a request with \p parts beyond its beginning.
/// Returns whether that changed what other entries should know.
bool recordSurvival(CrashEvidence &evidence,
                    const std::vector<PromptPartId> &parts,
                    Clock::time_point now);

/// Records that the server of \p crash ended under a request with \p parts;
/// \p isUncertain: see CrashRecord. A part that is blocked already explains the
/// crash, so that no other becomes a suspect. Beyond Limits.MaxParts new
/// suspects the last ones are left out: as requests clear the others, a later
/// crash finds room for them. Returns whether that changed what other entries
/// should know.
bool recordCrash(CrashEvidence &evidence,
                 const std::vector<PromptPartId> &parts,
                 ServerIncarnationId crash, Clock::time_point now,
                 bool isUncertain = false);

/// Returns at most \p most rows for other entries: those that were sent least
/// often since they changed, and among them the ones with the newest crashes.
/// See also CrashLimits::MaxUncertainSends.
std::vector<EvidenceRow> takeEvidenceRows(CrashEvidence &evidence,
                                          std::size_t most,
                                          Clock::time_point now);

/// Adds what \p row says. Returns whether it was news.
bool mergeEvidence(CrashEvidence &evidence, const EvidenceRow &row,
                   Clock::time_point now);

/// Forgets old evidence. Call it each second or so.
void expireEvidence(CrashEvidence &evidence, Clock::time_point now);

/// Returns the number of parts that are blocked at \p now.
std::size_t blockedParts(const CrashEvidence &evidence, Clock::time_point now);

} // namespace greengagespar

#endif // GREENGAGESPAR_ROUTE_CRASH_EVIDENCE_H
