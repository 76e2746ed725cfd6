/// \file
/// The lease of a group's driver, the process that drives map switches, on the
/// platform object /system/leases/<group>: a pure state machine. The lease only
/// selects the driver; safety rests on ballots, see driver.h.
///
/// Clocks of different hosts are never compared. A candidate takes over a lease
/// once it has read the same object version for a whole term of its own steady
/// clock. A holder counts its term from the time before it sent the write.
#ifndef GREENGAGESPAR_GROUP_LEASE_H
#define GREENGAGESPAR_GROUP_LEASE_H

#include "greengagespar/base/ids.h"
#include "greengagespar/group/rank.h"
#include <chrono>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace greengagespar {

/// The value of the lease object.
struct LeaseRecord {
  ServerId Holder;           ///< The server whose process holds the lease.
  Incarnation Process;       ///< Of the holder.
  FencingNumber Number;      ///< Raised by 1 at each take-over.
  std::uint64_t Renewal = 0; ///< Raised by 1 at each write of a holder.

  bool operator==(const LeaseRecord &) const = default;
};

/// Durations of a lease.
struct LeaseLimits {
  std::chrono::milliseconds Term{5000};       ///< Counted from each renewal.
  std::chrono::milliseconds RenewEvery{1500}; ///< Must be below Term.
  std::chrono::milliseconds ReadEvery{1000};  ///< Interval of a candidate.
  /// A call without an answer for this long has failed; its outcome is unknown.
  std::chrono::milliseconds CallTimeout{1000};
  /// The holder stops driving this long before the end of its term.
  std::chrono::milliseconds Margin{500};
};

/// The state of one process that is a candidate for the lease or its holder.
struct LeaseState {
  ServerId Self;
  Incarnation Process;
  LeaseLimits Limits;
  std::optional<LeaseRecord> Seen; ///< Latest record read or written.
  std::uint64_t SeenVersion = 0;   ///< Object version of Seen; 0: no object.
  /// Highest number of any record read or written. A store that was restored
  /// from an older copy may show a lower one.
  FencingNumber HighestNumber;
  SteadyTime SeenSince{};  ///< When SeenVersion was first seen.
  bool HasRead = false;    ///< A read has been answered.
  bool CallOpen = false;   ///< A read or write has no answer yet.
  SteadyTime CallSentAt{}; ///< When the latest call was sent.
  /// Record of the write whose outcome is not known yet; empty if none.
  std::optional<LeaseRecord> PendingWrite;
  SteadyTime WriteSentAt{}; ///< When the latest write was sent.
  /// End of the time in which the process may drive; empty if it does not hold
  /// the lease.
  std::optional<SteadyTime> HeldUntil;
};

/// Event: a read was answered.
struct LeaseRead {
  std::optional<LeaseRecord> Record; ///< Empty if there is no object.
  std::uint64_t Version = 0;         ///< 0 if there is no object.
};
/// Event: a write succeeded.
struct LeaseWritten {
  std::uint64_t Version = 0; ///< The new version of the object.
};
/// Event: the call failed or its answer was lost. A write may have taken
/// effect nevertheless.
struct LeaseCallFailed {};
/// Event: time has passed.
struct LeaseTick {};
using LeaseEvent =
    std::variant<LeaseRead, LeaseWritten, LeaseCallFailed, LeaseTick>;

/// Action: read the object.
struct ReadLease {};
/// Action: write the object if it still has the version IfVersion.
struct WriteLease {
  LeaseRecord Record;
  std::uint64_t IfVersion = 0; ///< 0: only if there is no object.
};
using LeaseAction = std::variant<ReadLease, WriteLease>;

/// Handles one event and returns the call to send, if any. At most one call is
/// open at a time. Calls with the same state must not run concurrently.
std::optional<LeaseAction> decideLease(LeaseState &state,
                                       const LeaseEvent &event, SteadyTime now);

/// Returns the end of the time in which the process may drive; empty if it
/// does not hold the lease at \p now. Thread safe.
std::optional<SteadyTime> mayDriveUntil(const LeaseState &state,
                                        SteadyTime now);

} // namespace greengagespar

#endif // GREENGAGESPAR_GROUP_LEASE_H
