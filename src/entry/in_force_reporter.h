/// \file
/// Writes on how many nodes each team's settings are in force, for operators to
/// read under the team's status.
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

/// What was reported of one team's settings.
struct InForceReport {
  Generation At;           ///< The settings that are reported on.
  Clock::time_point Since; ///< When they were seen first.
  bool IsWritten = false;  ///< A report was written.
  bool IsComplete = false; ///< One that names all nodes was written.
};

/// How long settings may spread before a report names nodes that lag.
inline constexpr std::chrono::milliseconds SpreadTime{2000};

/// Returns the status of settings of \p at among the processes of \p view.
InForceStatus inForceStatus(const MemberView &view, Generation at);

/// Returns whether \p status should be written now: at once when it is
/// complete, once after SpreadTime when it is not. So each change of a team
/// costs at most two writes. Pure; thread safe.
bool isReportDue(const InForceReport &report, const InForceStatus &status,
                 Clock::time_point now);

/// Writes the reports, one at a time. Not thread safe: belongs to the thread of
/// its loop.
class InForceReporter {
public:
  /// Precondition: \p client outlives the reporter.
  InForceReporter(ObjectClient &client, std::uint64_t seed);

  /// Looks at the teams of \p held and begins to write at most one report, for
  /// a team for which \p isFirst says that this process reports.
  void review(const Snapshot &held, const MemberView &view,
              const std::function<bool(const TeamId &)> &isFirst);

private:
  void write(const TeamId &team, const InForceStatus &status);
  void compare(const TeamId &team, const InForceStatus &status,
               const Object &present);
  void finish(const TeamId &team, const InForceStatus &status, bool isWritten);

  ObjectClient &Client;
  std::map<TeamId, InForceReport> Reports;
  bool Busy = false;
  Clock::time_point NextTry;
  Backoff Delay;
  std::mt19937_64 Rng;
  Guard Life;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_ENTRY_IN_FORCE_REPORTER_H
