/// \file
/// The processes of the system as this one knows them: which live, which are
/// leaving, silent or replaced. All functions are pure and thread safe on
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

/// What is known of a process.
enum class MemberState {
  Live,    ///< Heard of in time; takes work.
  Leaving, ///< Finishes what it has; takes no new work. Never live again.
  Silent,  ///< Not heard of in time.
};

/// What a process says about itself and others pass on. Of two rows for one
/// address the one with the higher incarnation, then the higher heartbeat, is
/// the newer one.
struct MemberRow {
  HostId Host;
  MemberRole Role = MemberRole::Entry;
  Address Link;    ///< Where other processes of the system reach it.
  Address Callers; ///< Where callers reach it; empty for an endpoint.
  DataCentreId DataCentre;
  Incarnation Life;
  std::uint64_t Heartbeat = 0; ///< Counted up by the process itself.
  bool Leaving = false;
  Generation Settings; ///< The settings that it has in force.
};

/// One process and when it was heard of.
struct Member {
  MemberRow Row;
  MemberState State = MemberState::Live;
  Clock::time_point HeardAt; ///< When a newer row of it came in last.
};

/// How long a process may be quiet.
struct MemberLimits {
  /// In the own data centre, where heartbeats come directly.
  std::chrono::milliseconds SilentNear{3000};
  /// In other data centres, whose rows are passed on.
  std::chrono::milliseconds SilentFar{15000};
  /// Added to both for each process beyond DigestRows: the rows of more
  /// processes come round less often.
  std::chrono::milliseconds PerMember{0};
  std::size_t DigestRows = 0;
  /// A silent process is forgotten after this.
  std::chrono::milliseconds ForgetAfter{120000};
  /// How far the platform's host list may lag.
  std::chrono::milliseconds HostListLag{60000};
};

/// All processes that this one knows, itself included.
struct MemberView {
  Address Self; ///< Link address of this process.
  DataCentreId DataCentre;
  MemberLimits Limits;
  std::map<Address, Member> Members; ///< By link address.
  std::optional<Address> Cursor;     ///< Where the next digest goes on.
};

/// What a row changed.
enum class MergeOutcome {
  Ignored,  ///< It was not newer than what is known.
  Added,    ///< The process was not known.
  Renewed,  ///< It lives on.
  Left,     ///< It says for the first time that it is leaving.
  Returned, ///< It was silent and is heard of again.
  Replaced, ///< Another incarnation stands at the address; the old one is gone.
};

/// Takes in what was heard of one process at \p now. A row about this process
/// itself from another is ignored, unless it is from a later life (then this
/// process has been replaced and the outcome says so, but the view stays).
MergeOutcome mergeMember(MemberView &view, const MemberRow &row,
                         Clock::time_point now);

/// What a sweep changed.
struct SweepOutcome {
  std::vector<Address> Silent;    ///< Became silent.
  std::vector<Address> Forgotten; ///< Removed.
};

/// Marks processes that were not heard of in time and forgets old ones.
SweepOutcome sweepMembers(MemberView &view, Clock::time_point now);

/// Writes this process's own row and counts its heartbeat up.
void beat(MemberView &view, MemberRow own, Clock::time_point now);

/// A host as the platform lists it, as far as it matters here.
struct HostHint {
  HostId Host;
  bool Leaving = false;
};

/// Takes in the platform's host list. It lags, so it is a hint only: a host
/// listed as leaving makes a process leaving if the process started longer
/// before \p listedAt (wall clock) than the list can lag, since otherwise the
/// list may speak of an earlier process. A host that is not listed changes
/// nothing. Returns the processes that became leaving.
std::vector<Address> applyHostHints(MemberView &view,
                                    const std::vector<HostHint> &hosts,
                                    std::chrono::microseconds listedAt);

/// Returns this process's own row and at most \p max rows of others that are
/// not silent, going on where the last digest ended, so that every row is sent
/// once in (members / max) digests.
std::vector<MemberRow> nextDigest(MemberView &view, std::size_t max);

/// Whether \p member takes new work.
inline bool takesWork(const Member &member) {
  return member.State == MemberState::Live;
}

/// Returns the addresses for a caller: of live entries only, those of
/// \p dataCentre first, each data centre's in an order that differs by
/// \p callerHash so that callers spread evenly. At most \p max.
std::vector<Address> entriesToAnswer(const MemberView &view,
                                     const DataCentreId &dataCentre,
                                     std::uint64_t callerHash, std::size_t max);

/// How many entries of a data centre watch the platform.
inline constexpr std::size_t WatchersPerDataCentre = 2;

/// Returns the entries of \p dataCentre that watch the platform: the first two
/// live ones by rendezvous hash. Views that differ for a while give more or
/// fewer watchers, which is harmless.
std::vector<Address> watchersOf(const DataCentreId &dataCentre,
                                const MemberView &view);

/// Returns all watchers of all data centres in the order in which they act on
/// changes of \p team: the first at once, the others later if still needed.
std::vector<Address> watcherOrder(const TeamId &team, const MemberView &view);

/// Returns how many live entries have run for longer than this one, which began
/// as \p life, so that exactly one of them is at 0 once all views agree, and
/// one that starts takes nobody's place. With \p takesPart false, as while it
/// starts or leaves, this one stands behind all others.
std::size_t positionAmong(const MemberView &view, Incarnation life,
                          bool takesPart);

/// How far the live processes have come with the settings.
struct InForce {
  Generation At;
  std::size_t Nodes = 0;        ///< Live and leaving processes.
  std::size_t Current = 0;      ///< Of these, at At or later.
  std::vector<HostId> Lagging;  ///< At most MaxLaggingNamed.
  std::size_t LaggingTotal = 0; ///< All that lag.
};

/// How many lagging hosts a status names.
inline constexpr std::size_t MaxLaggingNamed = 20;

/// Counts the processes at \p generation or later.
InForce countInForce(const MemberView &view, Generation generation);

} // namespace greengagespar

#endif // GREENGAGESPAR_HOST_MEMBER_H
