/// \file
/// What entries learn from each other beside membership and settings: evidence
/// about parts of prompts that crash servers, rate limits of servers, notices
/// about servers, and orders about data centres. All travel in the digests of
/// the membership. Not thread safe: belongs to the thread of its loop.
#ifndef GREENGAGESPAR_DIRECT_SHARED_STATE_H
#define GREENGAGESPAR_DIRECT_SHARED_STATE_H

#include "greengagespar/direct/out_of_service.h"
#include "greengagespar/direct/part_guard.h"
#include "greengagespar/host/member.h"
#include "greengagespar/link/link.pb.h"
#include "greengagespar/report/metrics.h"
#include "greengagespar/route/rate_limit.h"
#include "greengagespar/route/server_notice.h"

namespace greengagespar {

/// The state that one entry shares with the others.
struct SharedState {
  PartGuard Guard;
  RateLimits Limits;
  ServerNotices Notices;
  std::uint64_t NextObservation = 0;
  OutOfService Orders;
};

/// Adds \p state to a digest for another entry.
void writeShared(SharedState &state, wire::Members &digest,
                 Clock::time_point now);

/// Merges what another entry's digest holds. Returns whether it was news, which
/// should be passed on at once.
bool mergeShared(SharedState &state, const wire::Members &digest,
                 Clock::time_point now);

/// Records and logs the rate limit that an answer of \p server states; empty:
/// none. \p self is the incarnation of this entry. Returns whether other
/// entries should know at once.
bool recordRateLimit(SharedState &state, const ServerRecord &server,
                     std::optional<double> perSecond, Incarnation self,
                     Clock::time_point now);

/// Records and logs a notice about \p server, which an answer to the request
/// \p requestId gave. Returns whether other entries should know.
bool recordServerNotice(SharedState &state, const ServerRecord &server,
                        NoticeKind kind, std::string_view requestId,
                        Clock::time_point now);

/// Records and logs what the store reports about data centres out of service.
/// Returns whether it changes which servers get new work.
bool recordStoreOrders(SharedState &state, const OrderReport &report,
                       Clock::time_point now);

/// Ends orders whose time is over, and logs them. Returns whether there were
/// any.
bool endOrders(SharedState &state, Clock::time_point now);

/// Logs the data centres out of service that \p isKnown doesn't know; see
/// takeUnknown().
void logUnknownOrders(SharedState &state,
                      const std::function<bool(const DataCentreId &)> &isKnown,
                      Clock::time_point now);

/// Whether this entry is the one of all that may try requests with a suspect
/// \p part: the first in the rendezvous order of the part.
bool isTrialEntry(const MemberView &members, PromptPartId part);

/// Returns the entries that share the rate limits of the servers of \p service:
/// this one, whose demand is \p ownDemand, and all that do not leave and were
/// heard of during the last seconds. An entry that has become silent may only
/// be cut off from this one, so it keeps its part for that time.
std::vector<LimitSharer> limitSharers(const MemberView &members,
                                      const ServiceId &service,
                                      double ownDemand, Clock::time_point now);

/// The retries that all entries share.
struct SharedRetries {
  double Extra = 0; ///< In any Window, beyond a share of the requests.
  std::chrono::milliseconds Window{0};
  Clock::time_point StartedAt; ///< When this entry started.
  bool HasPeers = false;       ///< The settings name other entries.
};

/// Returns this entry's part of the extra retries of \p shared. All known
/// entries have equal parts. One that leaves, is silent or has ended keeps its
/// part as long as it may have used it in the last window; a silent one may
/// only be cut off, so it keeps its part until the membership forgets it. An
/// entry that has just started has none: the entry before it at its address may
/// have used that part in the same window, and it doesn't know all others yet.
double extraRetryPart(const MemberView &members, const SharedRetries &shared,
                      Clock::time_point now);

/// Returns the demand \p perSecond for \p service as a member row carries it.
ServiceDemand demandRow(const ServiceId &service, double perSecond);

/// Sets the gauges about \p state.
void recordMetrics(const SharedState &state, Metrics &counters,
                   Clock::time_point now);

} // namespace greengagespar

#endif // GREENGAGESPAR_DIRECT_SHARED_STATE_H
