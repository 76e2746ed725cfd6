/// \file
/// Callers of a whole system under faults. They send drafts, bookings and
/// status checks at a steady rate and retry each one with the same identity at
/// another entry until it has a final answer. The report compares the answers
/// with the ledgers' own counts. Not thread safe.
#ifndef GREENGAGESPAR_CALLS_CALL_BENCH_H
#define GREENGAGESPAR_CALLS_CALL_BENCH_H

#include "cluster.h"
#include "greengagespar/load/run.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace greengagespar::harness {

/// A change to the system at a time of the run, such as a kill or a restart.
struct FaultStep {
  std::chrono::milliseconds At; ///< Since the start of the run.
  std::function<void(Cluster &)> Apply;
};

/// The calls of a run and the faults during it.
struct BenchPlan {
  double CallsPerSecond = 100;
  std::chrono::milliseconds Duration{5000};
  std::chrono::milliseconds CallerTimeout{8000}; ///< For all its tries.
  int MaxTries = 20;
  std::uint64_t Seed = 1;
  load::Mix Calls;
  std::vector<FaultStep> Faults; ///< Sorted by At.
};

/// The results of a run.
struct BenchReport {
  std::uint64_t Calls = 0;
  std::uint64_t Bookings = 0;
  std::uint64_t Answered = 0;
  std::uint64_t Doubled = 0;     ///< Orders that a ledger ran more than once.
  std::uint64_t FalseNotRun = 0; ///< Refused as "not run" at each try, but ran.
  std::uint64_t FalseAnswered = 0; ///< Answered bookings that never ran.
  std::uint64_t WrongAnswers = 0;
  std::uint64_t UnknownBookings = 0; ///< Final outcome: may have run or not.
  std::uint64_t RefusedBookings = 0; ///< Final outcome: not run.
  std::uint64_t NotAnswered = 0;     ///< Idempotent calls without an answer.
  /// Final errors of the calls not answered, by kind.
  std::map<std::string, std::uint64_t> LastErrors;
  /// Errors of first tries, by kind.
  std::map<std::string, std::uint64_t> FirstErrors;
  std::vector<load::Clock::duration> Times; ///< Of answered calls, all tries.
};

/// Runs \p plan against \p cluster, which must have been started.
BenchReport runBench(Cluster &cluster, const BenchPlan &plan);

/// Returns steps that kill one process in each interval \p every and start it
/// again after \p downtime, within \p duration. The processes are drawn from
/// \p names with \p seed.
std::vector<FaultStep> killsAndRestarts(const std::vector<std::string> &names,
                                        std::chrono::milliseconds duration,
                                        std::chrono::milliseconds every,
                                        std::chrono::milliseconds downtime,
                                        std::uint64_t seed);

} // namespace greengagespar::harness

#endif // GREENGAGESPAR_CALLS_CALL_BENCH_H
