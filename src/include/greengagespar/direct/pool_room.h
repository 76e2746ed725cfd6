/// \file
/// Admission of one entry to a model group whose load it knows from reports and
/// not from its own calls: the state behind the room of the group
/// (group_room.h), this entry's part of it, and when refused callers should
/// return. In force where there are more entries than a server has slots, so
/// that an entry's own calls say little about the group. Not thread safe: one
/// event loop owns each state.
#ifndef GREENGAGESPAR_DIRECT_POOL_ROOM_H
#define GREENGAGESPAR_DIRECT_POOL_ROOM_H

#include "greengagespar/direct/site.h"
#include "greengagespar/report/metrics.h"
#include "greengagespar/route/group_room.h"
#include "greengagespar/route/retry_spread.h"

namespace greengagespar {

/// Counts of the calls of one level of urgency since the process started.
struct UrgencyOutcomes {
  std::uint64_t Started = 0; ///< Sent to a server, second attempts included.
  std::uint64_t Refused = 0;
};

/// The room of one pool's group as this entry knows it.
struct PoolRoom {
  /// The entries are more than the slots of a server, and the settings allow
  /// it; see the file comment.
  bool IsInForce = false;
  std::uint64_t EntryHash = 0; ///< Of this entry; see wholeStreams().
  double Share = 1;            ///< This entry's part of the demand, 0 to 1.
  PassModel Model;
  ObservedPasses Passes;
  RoomTargets Targets;
  GroupLoad Load;
  std::optional<GroupRoom> Room; ///< Empty: too little is known.
  Clock::time_point ReviewedAt{};
  RetrySpread Retries;
  std::array<UrgencyOutcomes, UrgencyLevels> Outcomes{};
  Clock::time_point LoggedAt{}; ///< See logRoom().
  /// Decayed mean of this entry's streams, over the same time as that of
  /// Passes.
  double OwnStreams = 0;
  /// Since when a server has been reported as slow; empty: none is.
  std::optional<Clock::time_point> SlowSince;
  /// Decayed mean of the time from a send to the first event, and of its
  /// distance from that mean; 0: none was observed.
  double FirstEventMs = 0;
  double FirstEventVariesMs = 0;
};

/// Returns the speed of the servers of \p engine.
PassModel passModelOf(const EngineProfile &engine);

/// Records that a caller allows \p time for a whole answer.
void recordAllowedTime(PoolRoom &room, Clock::duration time);

/// Records the time from a send to the first event of a stream.
void recordFirstEvent(PoolRoom &room, std::chrono::microseconds took);

/// Returns when a call should start at the latest whose first event is wanted
/// at \p firstEventBy and which starts by \p startBy in any case: as much
/// earlier as first events usually take.
Clock::time_point latestStart(const PoolRoom &room,
                              Clock::time_point firstEventBy,
                              Clock::time_point startBy, Clock::time_point now);

/// Estimates the room anew from the reports in \p views and the \p inFlight
/// streams of this entry. Does nothing when this was done a moment ago, or when
/// \p room is not in force.
void reviewRoom(PoolRoom &room, const std::vector<EndpointView> &views,
                int inFlight, Clock::time_point now);

/// Logs the room of the group \p service and what it was estimated from, at
/// most once a second, while this entry has \p inFlight streams and these are
/// most of those that it may have.
void logRoom(PoolRoom &room, const ServiceId &service, int inFlight,
             Clock::time_point now);

/// Returns how many streams this entry may have now; empty when the room is not
/// in force or not known, and the entry's own limit applies.
std::optional<int> streamsAllowed(const PoolRoom &room, Clock::time_point now);

/// Returns when a caller should return whose call is refused and who would wait
/// for \p left longer: not before \p earliest, and within the part of \p left
/// for which callers do as they are told.
std::chrono::milliseconds retryTime(PoolRoom &room, Urgency urgency,
                                    std::chrono::milliseconds earliest,
                                    Clock::duration left,
                                    Clock::time_point now);

/// Sets the gauges about \p room of the group \p service.
void recordMetrics(const PoolRoom &room, const ServiceId &service,
                   Metrics &counters);

} // namespace greengagespar

#endif // GREENGAGESPAR_DIRECT_POOL_ROOM_H
