/// \file
/// One entry's view of one server: the entry's own calls in flight, the last
/// load report, and statistics of latency and failures. The state is plain data
/// and free functions record events in it; they get the time as an argument and
/// do no input or output. Not thread safe: one event loop owns each view.
#ifndef GREENGAGESPAR_ROUTE_ENDPOINT_VIEW_H
#define GREENGAGESPAR_ROUTE_ENDPOINT_VIEW_H

#include "greengagespar/base/clock.h"
#include "greengagespar/base/errors.h"
#include "greengagespar/contract/contract.h"
#include "greengagespar/route/concurrency.h"
#include "greengagespar/route/priority.h"
#include "greengagespar/route/rate_limit.h"
#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace greengagespar {

/// The load that a server's endpoint process reported. It includes the calls of
/// all entries.
struct LoadReport {
  int Running = 0; ///< Calls that the engine or service processes.
  int Waiting = 0; ///< Calls in the queue of the engine or service.
  int Slots = 0;   ///< Calls that it processes at a time.
  /// When the load was measured: the time of receipt minus the report's age.
  Clock::time_point AsOf;
  std::uint64_t Step = 0; ///< The last pass that was begun; 0: not stated.
  double Pace = 1;        ///< Over 1: the server is slow.
};

/// Whether the entry sends calls to a server.
enum class HealthState {
  Healthy, ///< The server takes part in the choice.
  Ejected, ///< The server gets no calls until EndpointView::EjectedUntil.
  Probing, ///< It gets one call at a time until enough of them succeed.
};

/// One server as seen from one entry.
struct EndpointView {
  Server Target;         ///< The server and its endpoint's address.
  bool OwnCentre = true; ///< The server runs in the entry's own data centre.
  /// One-way network latency to the server.
  std::chrono::microseconds OneWayLatency{0};
  /// Slots declared in the contract, used without a load report.
  int Slots = 16;
  int InFlight = 0;      ///< This entry's calls on the server.
  int LongInFlight = 0;  ///< Those of them that are long (see isLong()).
  bool Preempts = false; ///< See ServerSlots::Preempts.
  /// Limit on this entry's calls on the server.
  ConcurrencyLimit Limit{16, 16};
  /// This entry's part of the rate that the server takes; empty: no limit.
  std::optional<RateShare> Rate;
  /// Until when the server wants no calls of this entry; empty: it takes them.
  std::optional<Clock::time_point> PausedUntil;
  /// The newest load report; empty before the first.
  std::optional<LoadReport> Report;
  /// Decayed mean of the other entries' calls on the server.
  double OtherEntriesCalls = 0;
  /// Decayed mean of answer latency; valid if Samples > 0.
  double LatencyMs = 0;
  int Samples = 0;             ///< Answers counted in LatencyMs, capped.
  double FailureShare = 0;     ///< Decayed share of failed calls, 0 to 1.
  int Outcomes = 0;            ///< Outcomes counted in FailureShare, capped.
  int ConsecutiveFailures = 0; ///< Failures since the last answer.
  /// The link to the server is down or misses heartbeats.
  bool Unresponsive = false;
  HealthState State = HealthState::Healthy;
  /// When the ejection ends and probing begins.
  Clock::time_point EjectedUntil;
  /// Ejections since the server was last healthy.
  int ConsecutiveEjections = 0;
  int ProbesAnswered = 0; ///< Answers since probing began.
  int ProbesInFlight = 0; ///< Calls in flight that were sent while probing.
  /// When this entry sent its last calls to the server, oldest first; see
  /// recordSendTime().
  std::vector<Clock::time_point> RecentSends;
};

/// Records that a call was sent to the server of \p view, and uses a token of
/// its rate limit up.
void recordSentCall(EndpointView &view);

/// Most times kept in EndpointView::RecentSends.
inline constexpr std::size_t MaxRecentSends = 32;

/// Records when a call was sent to the server of \p view, for choices that
/// count the calls sent since a load report. Forgets the oldest when there are
/// more than MaxRecentSends.
void recordSendTime(EndpointView &view, Clock::time_point now);

/// Records that a call was answered. \p latency is a time that is comparable
/// between the servers of one group, such as the time between tokens or the
/// answer time of a service.
void recordAnsweredCall(EndpointView &view, std::chrono::microseconds latency,
                        Clock::time_point now);

/// Records that a call failed with \p kind. Only the kinds for which
/// isServerFault() is true count as failures of the server. Overloaded lowers
/// the limit and counts as a report of a full server.
void recordFailedCall(EndpointView &view, ErrorKind kind,
                      Clock::time_point now);

/// Records that a call ended without an outcome that counts for or against the
/// server, for example because its caller closed the connection.
void recordAbandonedCall(EndpointView &view);

/// Stores a load report and adjusts the entry's limit to it. A report that is
/// older than the stored one is discarded.
void recordLoadReport(EndpointView &view, const LoadReport &report,
                      Clock::time_point now);

/// Stores a load report and leaves the entry's limit as it is: for servers on
/// which the entry's own calls are too few to be limited one server at a time.
/// A report that is older than the stored one is discarded.
void recordKnownLoad(EndpointView &view, const LoadReport &report);

/// Records whether the server is unresponsive: its link is down or misses
/// heartbeats. Calls in flight are not ended by this function; the
/// failure of each is recorded on its own.
void setUnresponsive(EndpointView &view, bool unresponsive);

/// Ejects the server of \p view at \p now: it gets no calls for a time that
/// doubles with each consecutive ejection, up to a maximum.
void eject(EndpointView &view, Clock::time_point now);

/// Longest time for which a server may ask for a pause.
inline constexpr std::chrono::hours MaxPause{1};

/// Records that the server wants no calls of this entry for \p time, at most
/// MaxPause. A pause that ends later stays as it is.
void pauseCalls(EndpointView &view, std::chrono::milliseconds time,
                Clock::time_point now);

/// Ends the pauses that are over at \p now.
void endPauses(std::vector<EndpointView> &views, Clock::time_point now);

/// Returns how long all servers that do not leave want no calls; empty if any
/// takes calls, or all leave.
std::optional<Clock::duration>
timeToFirstPauseEnd(const std::vector<EndpointView> &views,
                    Clock::time_point now);

/// Whether new calls may be sent to the server.
inline bool takesCalls(const EndpointView &view) {
  return !view.Target.Leaving && !view.PausedUntil;
}

/// Starts probing the servers whose ejection time has passed, and ejects those
/// whose latency is far above the median of the others. Call it before a choice
/// or on a timer. \p views are the servers of one group or service.
void updateHealthStates(std::vector<EndpointView> &views,
                        Clock::time_point now);

/// Adds \p change to the number of this entry's long streams on \p view. It is
/// positive when streams became long and negative when long streams ended.
void recordLongStreams(EndpointView &view, int change);

/// Returns this entry's limit and calls on the server of \p view.
ServerSlots slotsOf(const EndpointView &view);

/// Whether the server's rate limit allows this entry one more call now.
bool hasToken(const EndpointView &view);

/// Whether \p kind indicates a fault of the server or of the link to it.
bool isServerFault(ErrorKind kind);

} // namespace greengagespar

#endif // GREENGAGESPAR_ROUTE_ENDPOINT_VIEW_H
