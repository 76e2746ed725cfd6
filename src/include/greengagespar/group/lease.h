/// \file
/// The lease of a group's driver on the platform object
/// /system/leases/<group>: a pure state machine. The lease only chooses who
/// drives; safety rests on ballots, see driver.h.
///
/// Clocks are never compared between hosts: a candidate takes a lease over
/// once it has seen the same object version for the whole term on its own
/// steady clock, and a holder counts its term from before it sent the write.
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
  ServerId Holder;           ///< Whose endpoint process holds it.
  Incarnation Process;       ///< That process.
  FencingNumber Number;      ///< Counted up at each take-over.
  std::uint64_t Renewal = 0; ///< Counted up at each write of the holder.

  bool operator==(const LeaseRecord &) const = default;
};

/// Times of a lease.
struct LeaseLimits {
  std::chrono::milliseconds Term{5000};       ///< Of each renewal.
  std::chrono::milliseconds RenewEvery{1500}; ///< Must be below the term.
  std::chrono::milliseconds ReadEvery{1000};  ///< Of candidates.
  /// A call without an answer is given up, its outcome unknown.
  std::chrono::milliseconds CallTimeout{1000};
  /// The holder stops this long before the end of its term.
  std::chrono::milliseconds Margin{500};
};

/// The state of one process as candidate or holder.
struct LeaseState {
  ServerId Self;
  Incarnation Process;
  LeaseLimits Limits;
  std::optional<LeaseRecord> Seen;     ///< Latest record read or written.
  std::uint64_t SeenVersion = 0;       ///< Its object version; 0: no object.
  SteadyTime SeenSince{};              ///< When that version was first read.
  bool HasRead = false;                ///< Any read has been answered.
  bool CallOpen = false;               ///< A read or write awaits its answer.
  SteadyTime CallAt{};                 ///< When the latest call was sent.
  std::optional<LeaseRecord> Written;  ///< Sent by a write without answer yet.
  SteadyTime WrittenAt{};              ///< When it was sent.
  std::optional<SteadyTime> HeldUntil; ///< Empty unless it holds the lease.
};

/// The object was read; \p Record is empty when there is none.
struct LeaseRead {
  std::optional<LeaseRecord> Record;
  std::uint64_t Version = 0;
};
/// The write was answered with success.
struct LeaseWritten {
  std::uint64_t Version = 0;
};
/// The call failed or its answer was lost; a write may have taken effect.
struct LeaseCallFailed {};
/// Time went on.
struct LeaseTick {};
using LeaseEvent =
    std::variant<LeaseRead, LeaseWritten, LeaseCallFailed, LeaseTick>;

/// Read the object.
struct ReadLease {};
/// Write the object if it still has this version.
struct WriteLease {
  LeaseRecord Record;
  std::uint64_t IfVersion = 0;
};
using LeaseAction = std::variant<ReadLease, WriteLease>;

/// Takes one event and returns the call to make, if any. At most one call is
/// open at a time. Not thread safe for one state.
std::optional<LeaseAction> decideLease(LeaseState &state,
                                       const LeaseEvent &event, SteadyTime now);

/// Returns the end of the time in which the process may drive; empty when it
/// holds no lease at \p now. Thread safe.
std::optional<SteadyTime> drivesUntil(const LeaseState &state, SteadyTime now);

} // namespace greengagespar

#endif // GREENGAGESPAR_GROUP_LEASE_H
