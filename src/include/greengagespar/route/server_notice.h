/// \file
/// Servers that must get no new work although the platform's store lists them:
/// one that says in its answers that it leaves, or whose address answers for
/// another server. Entries exchange such notices, so that each needs to be
/// learned only once.
///
/// Merging is commutative, associative and idempotent: a notice counts from its
/// first observation, and that a server is gone goes before that it leaves.
///
/// The functions change only the state passed to them and do no input or
/// output. Not thread safe: one event loop owns each state.
#ifndef GREENGAGESPAR_ROUTE_SERVER_NOTICE_H
#define GREENGAGESPAR_ROUTE_SERVER_NOTICE_H

#include "greengagespar/base/clock.h"
#include "greengagespar/base/ids.h"
#include <chrono>
#include <unordered_map>
#include <vector>

namespace greengagespar {

/// Why a server gets no new work; of two kinds the greater one counts.
enum class NoticeKind {
  Leaving, ///< It finishes its work and ends.
  Gone,    ///< Another server answers at its address.
};

/// What is known of one server.
struct ServerNotice {
  NoticeKind Kind = NoticeKind::Leaving;
  Clock::time_point At; ///< When an entry first observed it.
};

/// All notices that one entry knows.
struct ServerNotices {
  /// A server that is gone is tried again after this time if it is still
  /// registered: the store removes the registrations of servers that have ended
  /// within seconds.
  std::chrono::seconds GoneFor{30};
  /// A server that leaves ends within this time.
  std::chrono::minutes LeavingFor{10};
  /// Notices are sent to other entries for this long, which reaches all.
  std::chrono::seconds SpreadFor{5};
  /// Most notices kept; further ones replace the oldest.
  std::size_t MaxServers = 4096;
  std::unordered_map<ServerIncarnationId, ServerNotice> Servers;
};

/// A notice as entries exchange it.
struct NoticeRow {
  ServerIncarnationId Server;
  NoticeKind Kind = NoticeKind::Leaving;
  std::chrono::milliseconds Age{0};
};

/// Records a notice about \p server. Returns whether it is news.
bool recordNotice(ServerNotices &notices, ServerIncarnationId server,
                  NoticeKind kind, Clock::time_point now);

/// Whether there is a notice about \p server.
bool hasNotice(const ServerNotices &notices, ServerIncarnationId server);

/// Whether there is a notice that \p server is gone.
bool isGone(const ServerNotices &notices, ServerIncarnationId server);

/// Returns at most \p most rows for other entries, the newest first.
std::vector<NoticeRow> noticeRows(const ServerNotices &notices,
                                  std::size_t most, Clock::time_point now);

/// Adds what \p row says. Returns whether it is news.
bool mergeNotice(ServerNotices &notices, const NoticeRow &row,
                 Clock::time_point now);

/// Forgets notices that have lapsed. Returns whether there were any.
bool expireNotices(ServerNotices &notices, Clock::time_point now);

} // namespace greengagespar

#endif // GREENGAGESPAR_ROUTE_SERVER_NOTICE_H
