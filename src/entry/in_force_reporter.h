/// \file
/// Writes to each team's status on how many nodes its settings are in force,
/// for operators to read.
#ifndef GREENGAGESPAR_ENTRY_IN_FORCE_REPORTER_H
#define GREENGAGESPAR_ENTRY_IN_FORCE_REPORTER_H

#include "greengagespar/base/clock.h"
#include "greengagespar/config/snapshot.h"
#include "greengagespar/contract/status.h"
#include "greengagespar/host/member.h"
#include "greengagespar/store/backoff.h"
#include "greengagespar/store/guard.h"
#include "greengagespar/store/object_client.h"
#include <functional>
#include <map>
#include <optional>
#include <random>

namespace greengagespar {

/// The progress of the reports on one team's settings.
struct InForceReport {
  Generation At;           ///< Generation of the settings.
  Clock::time_point Since; ///< When this process first saw them.
  bool IsWritten = false;  ///< A report was written.
  bool IsComplete = false; ///< A report was written that counts all nodes.
};

/// How long settings may spread before a report names lagging nodes.
inline constexpr std::chrono::milliseconds SpreadTime{2000};

/// Returns how many processes of \p view have the settings of generation \p at
/// in force, and which ones lag. Pure; thread safe.
InForceStatus inForceStatus(const MemberView &view, Generation at);

/// Returns whether \p status should be written now. A complete status is
/// written at once, an incomplete one only once, after SpreadTime. Each change
/// of a team therefore causes at most two writes. Pure; thread safe.
bool isReportDue(const InForceReport &report, const InForceStatus &status,
                 Clock::time_point now);

/// Writes the reports, one at a time. Not thread safe: used from the loop's
/// thread only.
class InForceReporter {
public:
  /// Precondition: \p client outlives the reporter.
  InForceReporter(ObjectClient &client, std::uint64_t seed);

  /// Checks the teams of \p held against the processes of \p view and begins to
  /// write at most one report. Only teams for which \p isFirst returns true are
  /// reported by this process.
  void review(const Snapshot &held, const MemberView &view,
              const std::function<bool(const TeamId &)> &isFirst);

  /// Forgets which reports are written, since the platform may have lost them.
  void reportAgain() { Reports.clear(); }

private:
  void write(const TeamId &team, const InForceStatus &status);
  void writeIfNewer(const TeamId &team, const InForceStatus &status,
                    const Object &present);
  void finish(const TeamId &team, const InForceStatus &status, bool isWritten);

  ObjectClient &Client;
  std::map<TeamId, InForceReport> Reports;
  bool IsWriting = false;
  Clock::time_point NextTry;
  Backoff Delay;
  std::mt19937_64 Rng;
  Guard CallbackGuard;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_ENTRY_IN_FORCE_REPORTER_H
