/// \file
/// Cold servers: a server that has just started, or has lost its caches, bears
/// few requests a second for some time. What an entry knows about each server,
/// and how many requests all entries together may send to it meanwhile.
///
/// A service states the rate that a cold server bears, and the site's operator
/// a bound on the arrivals in any single second, from all entries together:
///
///   bound = PerSecond * Overage + Slack.
///
/// The rate is divided into equal token buckets (rate_limit.h) of k holders. In
/// any second a holder sends a whole number of requests, at most
///
///   m = floor(s + r), where r is its rate and s = max(1, 0.2 * r) its savings,
///
/// so m = 1 as long as r < 1, and r < min(m, (m + 1) / 1.2) in general. All
/// holders together send at most k * m. Entries may disagree on who the holders
/// are: a network that is cut in two has two sets of them, and one that changes
/// has the former and the next one. With n known entries, silent ones too:
///
/// - n <= bound / 2: all hold, with m = floor(bound / 2 / n), so that two sets
///   keep the bound;
/// - n <= bound: all hold, with m = 1. Who knows of whom plays no role then, as
///   no entry sends more than one request a second;
/// - otherwise k = floor(bound / 2) entries hold, with m = 1.
///
/// An entry that knows of no other, although the settings name some, acts as in
/// the last case. At least one entry holds, so that the server gets work. What
/// an entry sends before it learns that a server is cold isn't bounded here.
///
/// Afterwards the bound doubles in steps for WarmingTime, so that work does not
/// return from all entries at once; then it ends.
///
/// Each statement says how much longer a server is cold, and the latest end of
/// all of them counts. So old and repeated statements can only prolong the time
/// in which a server gets less, and no clock but the entry's own steady one is
/// compared.
///
/// The functions change only the state passed to them and do no input or
/// output. Not thread safe: one event loop owns each state.
#ifndef GREENGAGESPAR_ROUTE_COLD_START_H
#define GREENGAGESPAR_ROUTE_COLD_START_H

#include "greengagespar/route/rate_limit.h"

namespace greengagespar {

/// What a service and the site's operator state about cold servers.
struct ColdStartRule {
  /// Time for which a server is cold after its start.
  std::chrono::milliseconds ColdTime{0};
  /// Requests a second that a cold server bears; 0: no bound.
  double PerSecond = 0;
  double Overage = 0; ///< Factor on PerSecond; 0: no bound.
  double Slack = 0;   ///< Requests beyond that in any second.
};

/// Whether \p rule bounds the requests to cold servers.
bool isBounded(const ColdStartRule &rule);

/// Longest time for which a statement counts; a longer one is cut to it.
inline constexpr std::chrono::seconds MaxColdTime{60};

/// Time after a server's cold time in which work returns to it.
inline constexpr std::chrono::milliseconds WarmingTime{2000};

/// What an entry knows about one incarnation of a server.
struct ColdState {
  /// When the server becomes warm; empty: it was never known as cold.
  std::optional<Clock::time_point> Until;
  /// The part of that which the entry learned from the server or the store
  /// itself. Only this is told to other entries: what is passed on from entry
  /// to entry would last a little longer each time.
  std::optional<Clock::time_point> OwnUntil;
  bool IsReported = false; ///< Logged as cold, and not as warm since.
};

/// Records that the server stays cold for \p remaining from \p now on, as it or
/// the store says. Does nothing if that is not positive.
void recordCold(ColdState &state, std::chrono::milliseconds remaining,
                Clock::time_point now);

/// Records that another entry has learned that.
void recordToldCold(ColdState &state, std::chrono::milliseconds remaining,
                    Clock::time_point now);

/// Records that the server may have become cold lately without the entry's
/// knowledge: it takes part again after it got no work, or the entry itself
/// stood still. It counts as cold for the whole time that \p rule states.
void suspectCold(ColdState &state, const ColdStartRule &rule,
                 Clock::time_point now);

/// Whether the server is cold at \p now.
bool isCold(const ColdState &state, Clock::time_point now);

/// Whether requests to the server are limited at \p now: it is cold, or has
/// become warm within WarmingTime.
bool isLimited(const ColdState &state, Clock::time_point now);

/// The entries that share what cold servers bear.
struct ColdSharers {
  std::vector<Address> Entries; ///< Those that may send, this one included.
  std::size_t Known = 1;        ///< All known ones, also those silent for long.
  /// The settings name others, but this entry has heard of none.
  bool IsAlone = false;
  /// This entry has just started: the one before it at its address may have
  /// used its part within the last second.
  bool IsStarting = false;
};

/// Returns how the requests to a server of \p state are divided at \p now.
/// Precondition: \p rule is bounded, and the server is limited.
EqualParts divisionOf(const ColdStartRule &rule, const ColdState &state,
                      const ColdSharers &sharers, Clock::time_point now);

/// Returns how many requests a second the entry \p self may send to \p server
/// at \p now; empty: there is no limit. Precondition: \p self is one of \p
/// sharers.Entries.
std::optional<double> coldPart(const ColdStartRule &rule,
                               const ColdState &state,
                               ServerIncarnationId server, const Address &self,
                               const ColdSharers &sharers,
                               Clock::time_point now);

/// How long another server stays cold, as entries exchange it.
struct ColdRow {
  ServerIncarnationId Server;
  std::chrono::milliseconds Remaining{0};
};

} // namespace greengagespar

#endif // GREENGAGESPAR_ROUTE_COLD_START_H
