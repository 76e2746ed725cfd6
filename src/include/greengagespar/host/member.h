/// \file
/// The processes of the system as this one knows them: which of them are live,
/// leaving, unresponsive or replaced. All functions are pure and thread safe on
/// separate values.
#ifndef GREENGAGESPAR_HOST_MEMBER_H
#define GREENGAGESPAR_HOST_MEMBER_H

#include "greengagespar/base/clock.h"
#include "greengagespar/base/ids.h"
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace greengagespar {

/// Which program a process runs.
enum class MemberRole { Entry, Endpoint };

/// Whether a process can accept work.
enum class MemberState {
  Live, ///< Its rows arrive in time; it accepts work.
  /// It finishes its calls and accepts no new work. It never becomes live
  /// again; only another incarnation at its address does.
  Leaving,
  Unresponsive, ///< No newer row of it arrived in time.
};

/// How many calls for a service arrive at an entry.
struct ServiceDemand {
  std::uint64_t Service = 0; ///< stableHash() of the service's name.
  double PerSecond = 0;      ///< Over zero.
};

/// What a process reports about itself and other processes pass on. Of two rows
/// for one address the one with the higher incarnation is newer, and at the
/// same incarnation the one with the higher heartbeat.
struct MemberRow {
  HostId Host;
  MemberRole Role = MemberRole::Entry;
  Address Link;    ///< For other processes of the system.
  Address Callers; ///< For callers; empty for an endpoint.
  DataCentreId DataCentre;
  Incarnation ProcessIncarnation;
  std::uint64_t Heartbeat = 0; ///< The process itself raises it.
  bool Leaving = false;
  Generation Settings; ///< Of the settings in force at the process.
  /// Demand for the services whose servers have rate limits, and for the groups
  /// whose room the entries share.
  std::vector<ServiceDemand> Demands = {};
  /// The row does not renew the process: its sender reports that this is the
  /// last row it knows, and that no newer one arrived in time.
  bool IsSilent = false;
};

/// The newest row of one process and when it arrived.
struct Member {
  MemberRow Row;
  MemberState State = MemberState::Live;
  Clock::time_point LastReceivedAt; ///< When Row arrived.
  /// Since when the process has been a partner, which sends a row in each
  /// round; empty: it is none.
  std::optional<Clock::time_point> PartnerSince = std::nullopt;
};

/// Timeouts of rows.
struct MemberLimits {
  /// A process of the own data centre, where heartbeats arrive directly, is
  /// unresponsive when no newer row arrived for this long.
  std::chrono::milliseconds NearTimeout{3000};
  /// The same for other data centres, whose rows other processes pass on.
  std::chrono::milliseconds FarTimeout{15000};
  /// Added to both timeouts for each other process beyond DigestRows, because
  /// the more processes there are the less often the row of each is sent. Not
  /// added for a process that has been a partner for the whole timeout.
  std::chrono::milliseconds TimeoutPerMember{0};
  /// Rows of other processes in one digest.
  std::size_t DigestRows = 0;
  /// A process is removed from the view when no newer row arrived for this
  /// long.
  std::chrono::milliseconds ForgetAfter{120000};
  /// How far the platform's host list may be behind.
  std::chrono::milliseconds HostListLag{60000};
};

/// All processes that this one knows, including itself.
struct MemberView {
  Address Self; ///< Link address of this process.
  DataCentreId DataCentre;
  MemberLimits Limits;
  std::map<Address, Member> Members; ///< By link address.
  /// The last row that the previous digest looked at; the next one continues
  /// after it. Empty before the first digest.
  std::optional<Address> Cursor;
};

/// What a received row changed in the view.
enum class MergeOutcome {
  Ignored, ///< Not newer than the known row, or about this process.
  Added,   ///< The process was not known before.
  /// The row is newer, but brings none of the changes that the later
  /// enumerators name.
  Renewed,
  /// The process is leaving; before this row it was live or unresponsive.
  StartedLeaving,
  /// Another process reports that it received no newer row in time; before that
  /// the process was live or leaving.
  FellSilent,
  Returned, ///< The process was unresponsive and no longer is.
  Replaced, ///< The address has a later incarnation; the old one has ended.
};

/// Merges a row received at \p now into the view. A row about this process that
/// was sent by another process does not change the view: the outcome is
/// Replaced when the row is of a later incarnation, and Ignored otherwise. A
/// silent row marks the process as unresponsive unless a newer row is known.
MergeOutcome mergeMember(MemberView &view, const MemberRow &row,
                         Clock::time_point now);

/// Records in the view which processes are partners from \p now on.
void recordPartners(MemberView &view, const std::vector<Address> &partners,
                    Clock::time_point now);

/// What a sweep changed in the view.
struct SweepOutcome {
  std::vector<Address> Unresponsive; ///< Became unresponsive.
  std::vector<Address> Forgotten;    ///< Removed from the view.
};

/// Marks the processes whose rows did not arrive in time as unresponsive, and
/// removes those without a newer row for MemberLimits::ForgetAfter.
SweepOutcome sweepMembers(MemberView &view, Clock::time_point now);

/// Replaces this process's row in the view by \p own with the next heartbeat. A
/// process that is leaving in the view stays leaving.
void advanceHeartbeat(MemberView &view, MemberRow own, Clock::time_point now);

/// One host of the platform's host list.
struct HostHint {
  HostId Host;
  bool Leaving = false;
};

/// Applies the platform's host list, which is only a hint because it may be
/// behind. A live process becomes leaving when its host is listed as leaving
/// and the process started more than MemberLimits::HostListLag before
/// \p listedAt (wall clock); for a younger process the list may describe an
/// earlier one. A host that is not listed changes nothing. Returns the
/// processes that became leaving.
std::vector<Address> applyHostHints(MemberView &view,
                                    const std::vector<HostHint> &hosts,
                                    std::chrono::microseconds listedAt);

/// Returns this process's own row and at most \p max rows of others that are
/// not unresponsive. It continues where the last digest ended, so that every
/// row is sent once in (members / max) digests.
std::vector<MemberRow> nextDigest(MemberView &view, std::size_t max);

/// Returns whether \p member accepts new work.
inline bool acceptsWork(const Member &member) {
  return member.State == MemberState::Live;
}

/// Returns MemberRow::Callers of at most \p max live entries, those of
/// \p dataCentre first. Within a data centre \p callerHash decides the order,
/// so that callers are spread evenly.
std::vector<Address> entriesForCaller(const MemberView &view,
                                      const DataCentreId &dataCentre,
                                      std::uint64_t callerHash,
                                      std::size_t max);

/// How many entries of a data centre are watchers of the platform.
inline constexpr std::size_t WatchersPerDataCentre = 2;

/// Returns the watchers of the platform in \p dataCentre: its first two live
/// entries in the order of a rendezvous hash. While the views of processes
/// differ, there may be more or fewer watchers in all, which is harmless.
std::vector<Address> watchersOf(const DataCentreId &dataCentre,
                                const MemberView &view);

/// Returns all watchers of all data centres in the order in which they act on
/// changes of \p team: the first one at once, the others later if it is still
/// necessary.
std::vector<Address> watcherOrder(const TeamId &team, const MemberView &view);

/// Returns the position of this entry among the live ones in the order of their
/// start: the number of live entries that have run for longer than this one,
/// which started as the incarnation \p life. Once all views agree, exactly one
/// entry is at 0, and an entry that starts changes no other's position. With
/// \p takesPart false, for example while this entry starts or leaves, its
/// position is after all others and never 0.
std::size_t positionAmong(const MemberView &view, Incarnation life,
                          bool takesPart);

/// How many processes have a generation of the settings in force.
struct InForce {
  Generation At;           ///< The generation that was counted.
  std::size_t Nodes = 0;   ///< Live and leaving processes, called nodes.
  std::size_t Current = 0; ///< Nodes with At or a later generation in force.
  /// Hosts of the first MaxLaggingNamed lagging nodes.
  std::vector<HostId> Lagging;
  std::size_t LaggingTotal = 0; ///< Nodes with an earlier generation than At.
};

/// How many lagging nodes a status names.
inline constexpr std::size_t MaxLaggingNamed = 20;

/// Counts the processes that have \p generation or a later one in force.
InForce countInForce(const MemberView &view, Generation generation);

} // namespace greengagespar

#endif // GREENGAGESPAR_HOST_MEMBER_H
