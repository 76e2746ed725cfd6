/// \file
/// Burn of service-level objectives: good and bad events of each objective over
/// sliding windows, burn rates, the remaining error budget, and the causes of
/// the bad events.
///
/// Each entry counts events since its start and sends its counters as a
/// snapshot. A ledger adds the difference to the last snapshot of the same
/// source, which is one incarnation of an entry. A snapshot that is repeated,
/// delayed or out of order therefore changes nothing, an entry that restarts
/// begins a new source, and the sums over entries stay right. The ledger is
/// stored in the team's status, from which any entry can continue it.
///
/// Burn rates and the alert rules over several windows follow Beyer and others,
/// "The Site Reliability Workbook", 2018, chapter 5, "Alerting on SLOs".
///
/// All times are wall-clock times, because ledgers pass between hosts. Clocks
/// that differ by seconds only shift events between neighbouring buckets. Not
/// thread safe.
#ifndef GREENGAGESPAR_REPORT_BURN_H
#define GREENGAGESPAR_REPORT_BURN_H

#include "greengagespar/base/ids.h"
#include "greengagespar/report/objective.h"
#include <array>
#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace greengagespar {

/// Wall-clock time.
using WallTime = std::chrono::system_clock::time_point;

/// Identifies a class of calls with its own event counts, such as "short".
using CallClassId = TextId<struct CallClassTag>;

/// The kind of object that an objective belongs to.
enum class TargetKind { Group, Service };

/// Identifies one series of events: an objective for one class of calls. A
/// changed objective begins a new series.
struct SeriesKey {
  TargetKind Kind = TargetKind::Group;
  std::string Target; ///< Id of the group or service.
  CallClassId Class;
  Measure Measured = Measure::Answer;
  std::int64_t WithinMs = 0; ///< Longest time of a good call, in milliseconds.
  double Share = 0.95;       ///< Share of calls that must be good.
  auto operator<=>(const SeriesKey &) const = default;
};

/// Numbers of good and bad events.
struct EventCounts {
  std::uint64_t Good = 0;
  std::array<std::uint64_t, BurnCauseCount> Bad{}; ///< By cause.
};

/// Returns the number of bad events in \p counts over all causes.
std::uint64_t totalBad(const EventCounts &counts);

/// Adds \p more to \p counts.
void add(EventCounts &counts, const EventCounts &more);

/// The events that one process counted since its start.
struct BurnCounters {
  std::map<SeriesKey, EventCounts> Series;
};

/// Counts a call that ended, for each of \p objectives that can be evaluated.
/// They are the objectives of the call's group or service.
void recordOutcome(BurnCounters &counters, TargetKind kind,
                   const std::string &target, const CallClassId &callClass,
                   const std::vector<Objective> &objectives,
                   const CallOutcome &outcome);

/// One incarnation of an entry.
struct BurnSource {
  HostId Entry;
  Incarnation ProcessIncarnation;
  auto operator<=>(const BurnSource &) const = default;
};

/// The counters of one entry, as the entry sends them.
struct BurnSnapshot {
  BurnSource Source;
  BurnCounters Counters;
};

/// The events of one bucket of time.
struct BurnBucket {
  /// Time since the epoch in bucket widths. -1 if the bucket is unused.
  std::int64_t Index = -1;
  EventCounts Counts;
};

/// The events of one series in ring buffers: fine buckets for the last hour and
/// coarse buckets for the last three days.
struct BurnRing {
  static constexpr std::chrono::seconds FineWidth{30};
  static constexpr std::chrono::seconds CoarseWidth{1800};
  static constexpr std::size_t FineCount = 122;
  static constexpr std::size_t CoarseCount = 146;
  std::array<BurnBucket, FineCount> Fine;
  std::array<BurnBucket, CoarseCount> Coarse;
};

/// Adds \p counts to the buckets of \p ring that contain \p now.
void addEvents(BurnRing &ring, const EventCounts &counts, WallTime now);

/// Returns the sum of the events of the last \p window, which is at most three
/// days. Windows up to an hour are exact to FineWidth, longer windows to
/// CoarseWidth.
EventCounts eventsOf(const BurnRing &ring, std::chrono::seconds window,
                     WallTime now);

/// The data that a ledger last received from one source.
struct SourceRecord {
  BurnCounters Counters;   ///< Largest counters received from it.
  WallTime LastReceivedAt; ///< When its last snapshot was received.
};

/// The events of all entries.
struct BurnLedger {
  std::map<BurnSource, SourceRecord> Sources;
  std::map<SeriesKey, BurnRing> Rings;
};

/// Adds the events that the source of \p snapshot has counted since the ledger
/// last received a snapshot of it. If the ledger does not hold the source but
/// holds a later incarnation of the same entry, ignores the snapshot: prune()
/// may have dropped the source, whose events were added before, and to add them
/// again would count them twice.
void merge(BurnLedger &ledger, const BurnSnapshot &snapshot, WallTime now);

/// Drops each source that a later incarnation has replaced, once some minutes
/// have passed since its last snapshot was received. Also drops each source
/// that has sent no snapshot for three days, and each series that has had no
/// events for three days.
void prune(BurnLedger &ledger, WallTime now);

/// The severity of the alert that a burn raises, in increasing order.
enum class BurnAlert { None, Ticket, Page };

/// Returns the name of \p alert in reports.
std::string_view burnAlertName(BurnAlert alert);

/// The burn over one window.
struct WindowBurn {
  std::chrono::seconds Window{0};
  std::uint64_t Good = 0;
  std::uint64_t Bad = 0;
  /// Share of bad events divided by the share that the objective allows. A rate
  /// of one uses up the error budget exactly in its period of three days.
  double Rate = 0;
};

/// The reported windows, shortest first.
inline constexpr std::array<std::chrono::seconds, 5> BurnWindows = {
    std::chrono::minutes(5), std::chrono::minutes(30), std::chrono::hours(1),
    std::chrono::hours(6), std::chrono::hours(72)};

/// The burn, remaining budget and alert of one objective.
struct ObjectiveBurn {
  SeriesKey Key;
  std::array<WindowBurn, BurnWindows.size()> Windows;
  /// Remaining share of the three-day error budget. Below zero if the budget is
  /// overspent, one if there were no events.
  double BudgetLeft = 1;
  /// Bad events of the last three days, by cause.
  std::array<std::uint64_t, BurnCauseCount> Causes{};
  BurnAlert Alert = BurnAlert::None;
};

/// Returns the share of bad events in \p counts divided by the share that an
/// objective allows if it requires a share of \p share good events. Zero
/// without events.
double burnRate(const EventCounts &counts, double share);

/// Computes the burn of the objective \p key from its events in \p ring.
ObjectiveBurn burnOf(const SeriesKey &key, const BurnRing &ring, WallTime now);

/// Computes the burn of all objectives of the group or service \p target.
std::vector<ObjectiveBurn> burnsOf(const BurnLedger &ledger, TargetKind kind,
                                   const std::string &target, WallTime now);

} // namespace greengagespar

#endif // GREENGAGESPAR_REPORT_BURN_H
