/// \file
/// Converts what entries add to their digests to and from messages: evidence
/// about parts of prompts, rate limits of servers, notices about servers,
/// orders about data centres, cold servers and changes in the store. Pure
/// functions; thread safe.
#ifndef GREENGAGESPAR_DIRECT_DIGEST_MESSAGES_H
#define GREENGAGESPAR_DIRECT_DIGEST_MESSAGES_H

#include "greengagespar/direct/site_follower.h"
#include "greengagespar/link/link.pb.h"
#include "greengagespar/route/cold_start.h"
#include "greengagespar/route/crash_evidence.h"
#include "greengagespar/route/rate_limit.h"
#include "greengagespar/route/server_notice.h"

namespace greengagespar {

/// Most rows of evidence in one digest, and most crashes in a row. A row takes
/// at most 9 + 20 * MaxCrashesInRow bytes.
inline constexpr std::size_t MaxEvidenceRows = 16;
inline constexpr int MaxCrashesInRow = 8;

/// Most rate limits in one digest. A row takes at most 34 bytes.
inline constexpr std::size_t MaxLimitRows = 8;

/// Most notices in one digest. A row takes at most 17 bytes.
inline constexpr std::size_t MaxNoticeRows = 32;

/// Most orders about data centres in one digest. A row takes at most 91 bytes.
inline constexpr std::size_t MaxOrderRows = 8;

/// Adds \p rows to \p digest.
void writeEvidence(const std::vector<EvidenceRow> &rows, wire::Members &digest);

/// Reads the first MaxEvidenceRows rows of \p digest and the first
/// MaxCrashesInRow crashes of each. Ages are at most a day longer than any
/// evidence is kept.
std::vector<EvidenceRow> readEvidence(const wire::Members &digest);

/// Adds \p rows to \p digest.
void writeLimits(const std::vector<LimitRow> &rows, wire::Members &digest);

/// Reads the first MaxLimitRows limits of \p digest and leaves out those that
/// are no finite rates of zero or more.
std::vector<LimitRow> readLimits(const wire::Members &digest);

/// Most cold servers in one digest. A row takes at most 17 bytes.
inline constexpr std::size_t MaxColdRows = 16;

/// Adds the first MaxColdRows of \p rows to \p digest.
void writeColdRows(const std::vector<ColdRow> &rows, wire::Members &digest);

/// Reads the first MaxColdRows cold servers of \p digest.
std::vector<ColdRow> readColdRows(const wire::Members &digest);

/// Adds \p rows to \p digest.
void writeNotices(const std::vector<NoticeRow> &rows, wire::Members &digest);

/// Reads the first MaxNoticeRows notices of \p digest.
std::vector<NoticeRow> readNotices(const wire::Members &digest);

/// Adds \p rows to \p digest.
void writeOrders(const std::vector<OrderRow> &rows, wire::Members &digest);

/// Reads the first MaxOrderRows orders of \p digest and leaves out those whose
/// data centre has no valid name.
std::vector<OrderRow> readOrders(const wire::Members &digest);

/// Adds the revisions of \p news that are not 0 to \p digest.
void writeStoreNews(const StoreNews &news, wire::Members &digest);

/// Reads the changes in the store that the sender of \p digest knows of.
StoreNews readStoreNews(const wire::Members &digest);

} // namespace greengagespar

#endif // GREENGAGESPAR_DIRECT_DIGEST_MESSAGES_H
