/// \file
/// Rate limits that servers state for all entries together, and this entry's
/// part of each.
///
/// Each limit is a token bucket that is divided between some of the entries,
/// its holders (distributed rate limiting by demand; Raghavan and others,
/// "Cloud Control with Distributed Rate Limiting", SIGCOMM 2007). The holders
/// of a server are the first in its rendezvous order, weighted by the demand
/// that each entry reports. There are only so many that each may send a request
/// every few seconds: a limit of one request a second that is divided between
/// 46 entries would let each of them save one up, and all send it at once.
///
/// With k holders that agree on each other, a server gets at most k + T * limit
/// requests in T seconds, and k is at most limit / MinHolderRate.
///
/// The functions change only the state passed to them and do no input or
/// output. Not thread safe: one event loop owns each state.
#ifndef GREENGAGESPAR_ROUTE_RATE_LIMIT_H
#define GREENGAGESPAR_ROUTE_RATE_LIMIT_H

#include "greengagespar/base/clock.h"
#include "greengagespar/base/ids.h"
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace greengagespar {

/// Identifies one observation of a limit, unique among all entries.
using ObservationId = NumberId<struct ObservationTag>;

/// What a server last stated.
struct StatedLimit {
  /// Requests a second from all entries together; empty: the server states no
  /// limit any more.
  std::optional<double> PerSecond;
  Clock::time_point At;   ///< When an entry received the statement.
  ObservationId Id;       ///< Of that statement.
  std::uint64_t Sent = 0; ///< Rows with this limit sent to other entries.
};

/// The limits that an entry knows of.
struct RateLimits {
  /// A limit lapses when no entry has received it for this long: its server
  /// answers nobody, or has ended.
  std::chrono::seconds KeepFor{30};
  /// Most limits kept; further ones replace those received longest ago.
  std::size_t MaxServers = 1024;
  std::unordered_map<ServerIncarnationId, StatedLimit> Servers;
};

/// A limit as entries exchange it.
struct LimitRow {
  ServerIncarnationId Server;
  std::optional<double> PerSecond;
  std::chrono::milliseconds Age{0};
  ObservationId Id;
};

/// Records what an answer of \p server states. Returns whether other entries
/// should know at once.
bool recordStatedLimit(RateLimits &limits, ServerIncarnationId server,
                       std::optional<double> perSecond, ObservationId id,
                       Clock::time_point now);

/// Returns at most \p most rows for other entries, those sent least often since
/// they changed first, and counts them as sent.
std::vector<LimitRow> takeLimitRows(RateLimits &limits, std::size_t most,
                                    Clock::time_point now);

/// Takes over what \p row says if it was received later than what is known.
/// Returns whether the limit changed.
bool mergeLimit(RateLimits &limits, const LimitRow &row, Clock::time_point now);

/// Forgets limits that have lapsed.
void expireLimits(RateLimits &limits, Clock::time_point now);

/// Returns the limit of \p server; empty: none.
std::optional<double> limitOf(const RateLimits &limits,
                              ServerIncarnationId server);

/// The demand of one entry for one service.
struct DemandRate {
  double PerSecond = 0; ///< Decayed mean of the last seconds.
  Clock::time_point UpdatedAt{};
  double Reported = 0; ///< See reportedDemand().
};

/// Counts one call.
void recordDemand(DemandRate &rate, Clock::time_point now);

/// Returns the calls a second at \p now.
double demandAt(const DemandRate &rate, Clock::time_point now);

/// Returns the demand that the entry reports to others and itself goes by: the
/// calls a second rounded to a power of two. It changes only when the demand
/// has clearly left its range, so that holders seldom change.
double reportedDemand(DemandRate &rate, Clock::time_point now);

/// One of the entries that share limits.
struct LimitSharer {
  Address Entry;
  /// Its reported demand for the service; empty: not known, taken as the mean
  /// of the known ones.
  std::optional<double> Demand;
};

/// The least rate of a holder, in requests a second.
inline constexpr double MinHolderRate = 0.5;

/// Returns how many requests a second the entry \p self may send to \p server,
/// whose limit for all of \p sharers is \p perSecond; zero if it is no holder.
/// Precondition: \p self is one of \p sharers.
double partOfLimit(double perSecond, ServerIncarnationId server,
                   const Address &self,
                   const std::vector<LimitSharer> &sharers);

/// A division of a limit into equal parts.
struct EqualParts {
  double PerSecond = 0;       ///< Requests of all holders together.
  std::size_t Holders = 1;    ///< Most entries that have a part.
  std::size_t LeastParts = 1; ///< Parts are no larger than for so many holders.
};

/// Returns how many requests a second the entry \p self may send to \p server
/// if the first \p parts.Holders of \p entries in the server's rendezvous order
/// have equal parts; zero if it is none of them. Other than with partOfLimit()
/// demand plays no role, so that entries which know the same others agree at
/// once. Precondition: \p self is one of \p entries.
double equalPartOfLimit(const EqualParts &parts, ServerIncarnationId server,
                        const Address &self,
                        const std::vector<Address> &entries);

/// A share saves tokens up for this long, but at least one token.
inline constexpr std::chrono::duration<double> TokenSaveTime{0.2};
/// Returns the part of the demand of all of \p sharers that is that of the
/// entry \p self, above 0 and at most 1. Precondition: \p self is one of \p
/// sharers.
double demandShare(const Address &self,
                   const std::vector<LimitSharer> &sharers);

/// This entry's part of one server's limit.
struct RateShare {
  double PerSecond = 0; ///< Requests that this entry may send.
  double Tokens = 0;    ///< Requests that it may send now.
  Clock::time_point UpdatedAt{};
};

/// Adds the tokens that are due at \p now. A share holds few, so that little is
/// saved up while there is no demand.
void updateRateShare(RateShare &rate, Clock::time_point now);

} // namespace greengagespar

#endif // GREENGAGESPAR_ROUTE_RATE_LIMIT_H
