/// \file
/// Service-level burn: good and bad events of each objective over sliding
/// windows, burn rates, the error budget left and what burned it.
///
/// Entries count events since their start; a ledger adds up what each (entry,
/// incarnation) counted since it was last heard. A snapshot that comes twice,
/// late or out of order changes nothing, an entry that restarts begins a new
/// source, and so sums over entries stay right. The ledger is kept in the
/// team's status, from which any entry can go on.
///
/// Burn rates and the rule over several windows follow Beyer and others, "The
/// Site Reliability Workbook", 2018, chapter 5, "Alerting on SLOs".
///
/// Time here is wall-clock time, since ledgers pass between hosts; clocks that
/// differ by seconds shift events between neighbouring buckets only. Not thread
/// safe.
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

/// A class of calls that objectives are counted for, such as "short".
using CallClassId = TextId<struct CallClassTag>;

/// What an objective belongs to.
enum class TargetKind { Group, Service };

/// Identifies one series of events: an objective for one class of calls. An
/// objective that is changed begins a new series.
struct SeriesKey {
  TargetKind Kind = TargetKind::Group;
  std::string Target; ///< Id of the group or service.
  CallClassId Class;
  Measure Measured = Measure::Answer;
  std::int64_t WithinMs = 0;
  double Share = 0.95;
  auto operator<=>(const SeriesKey &) const = default;
};

/// Good and bad events.
struct EventCounts {
  std::uint64_t Good = 0;
  std::array<std::uint64_t, BurnCauseCount> Bad{}; ///< By cause.
};

/// Returns all bad events of \p counts.
std::uint64_t badOf(const EventCounts &counts);

/// Adds \p more to \p counts.
void add(EventCounts &counts, const EventCounts &more);

/// Events that one process counted since its start.
struct BurnCounters {
  std::map<SeriesKey, EventCounts> Series;
};

/// Counts a call that ended, for each objective of its group or service.
void noteOutcome(BurnCounters &counters, TargetKind kind,
                 const std::string &target, const CallClassId &callClass,
                 const std::vector<Objective> &objectives,
                 const CallOutcome &outcome);

/// One life of an entry.
struct BurnSource {
  HostId Entry;
  Incarnation Life;
  auto operator<=>(const BurnSource &) const = default;
};

/// The counters of one entry, as it sends them.
struct BurnSnapshot {
  BurnSource Source;
  BurnCounters Counters;
};

/// Events of one bucket of time.
struct BurnBucket {
  std::int64_t Index = -1; ///< Time since the epoch in bucket widths.
  EventCounts Counts;
};

/// Events of one series: fine buckets for the last hour, coarse ones for the
/// last three days.
struct BurnRing {
  static constexpr std::chrono::seconds FineWidth{30};
  static constexpr std::chrono::seconds CoarseWidth{1800};
  static constexpr std::size_t FineCount = 122;
  static constexpr std::size_t CoarseCount = 146;
  std::array<BurnBucket, FineCount> Fine;
  std::array<BurnBucket, CoarseCount> Coarse;
};

/// Adds \p counts at \p now to \p ring.
void addEvents(BurnRing &ring, const EventCounts &counts, WallTime now);

/// Adds up the events of the last \p window, up to three days. Windows up to an
/// hour are exact to FineWidth, longer ones to CoarseWidth.
EventCounts eventsOf(const BurnRing &ring, std::chrono::seconds window,
                     WallTime now);

/// What a ledger has heard from one source.
struct HeardSource {
  BurnCounters Counters; ///< Its counters when last heard.
  WallTime At;           ///< When that was.
};

/// Events of all entries.
struct BurnLedger {
  std::map<BurnSource, HeardSource> Sources;
  std::map<SeriesKey, BurnRing> Rings;
};

/// Adds what \p snapshot has counted since its source was last heard. A source
/// older than a life of the same entry that was heard and since dropped is
/// ignored, for its events were added already.
void merge(BurnLedger &ledger, const BurnSnapshot &snapshot, WallTime now);

/// Drops replaced lives of entries some minutes after they were last heard, and
/// series and sources without events for three days.
void prune(BurnLedger &ledger, WallTime now);

/// How loudly a burn asks for attention.
enum class BurnAlert { None, Ticket, Page };

/// Returns the name of \p alert in reports.
std::string_view burnAlertName(BurnAlert alert);

/// Burn over one window.
struct WindowBurn {
  std::chrono::seconds Window{0};
  std::uint64_t Good = 0;
  std::uint64_t Bad = 0;
  /// Share of bad events over the share that the objective allows. At one the
  /// budget is used up exactly in the period.
  double Rate = 0;
};

/// The windows that are reported, shortest first.
inline constexpr std::array<std::chrono::seconds, 5> BurnWindows = {
    std::chrono::minutes(5), std::chrono::minutes(30), std::chrono::hours(1),
    std::chrono::hours(6), std::chrono::hours(72)};

/// The state of one objective.
struct ObjectiveBurn {
  SeriesKey Key;
  std::array<WindowBurn, BurnWindows.size()> Windows;
  /// Share of the three-day error budget that is left; below zero when
  /// overspent, one without events.
  double BudgetLeft = 1;
  std::array<std::uint64_t, BurnCauseCount> Causes{}; ///< Bad in three days.
  BurnAlert Alert = BurnAlert::None;
};

/// Returns the share of bad events in \p counts over the share that an
/// objective with \p share good ones allows; zero without events.
double burnRate(const EventCounts &counts, double share);

/// Computes the state of one objective.
ObjectiveBurn burnOf(const SeriesKey &key, const BurnRing &ring, WallTime now);

/// Computes the state of all objectives of one group or service.
std::vector<ObjectiveBurn> burnsOf(const BurnLedger &ledger, TargetKind kind,
                                   const std::string &target, WallTime now);

} // namespace greengagespar

#endif // GREENGAGESPAR_REPORT_BURN_H
