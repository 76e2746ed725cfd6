/// \file
/// Callers of a whole system under faults: drafts, bookings and status checks
/// at a steady rate, each tried again with the same identity at another entry
/// until it has a final answer, judged by the answers and by the ledgers' own
/// counts. Not thread safe.
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

/// Something done to the system at a time of the run.
struct FaultStep {
  std::chrono::milliseconds At;
  std::function<void(Cluster &)> Do;
};

/// What the callers do.
struct BenchPlan {
  double CallsPerSecond = 100;
  std::chrono::milliseconds Duration{5000};
  std::chrono::milliseconds Patience{8000}; ///< Of one caller, all tries.
  int MaxTries = 20;
  std::uint64_t Seed = 1;
  load::Mix Calls;
  std::vector<FaultStep> Faults; ///< In order of time.
};

/// What came of it.
struct BenchReport {
  std::uint64_t Calls = 0;
  std::uint64_t Bookings = 0;
  std::uint64_t Answered = 0;
  std::uint64_t Doubled = 0;       ///< Orders that a ledger ran more than once.
  std::uint64_t FalseNotRun = 0;   ///< Told "not run" at each try, but it ran.
  std::uint64_t FalseAnswered = 0; ///< Answered bookings that never ran.
  std::uint64_t WrongAnswers = 0;
  std::uint64_t UnknownBookings = 0; ///< Their callers never learnt.
  std::uint64_t RefusedBookings = 0; ///< Their callers learnt: not run.
  std::uint64_t NotAnswered = 0;     ///< Idempotent calls without an answer.
  std::map<std::string, std::uint64_t> LastErrors;  ///< Of calls not answered.
  std::map<std::string, std::uint64_t> FirstErrors; ///< Of first tries.
  std::vector<load::Clock::duration> Times; ///< Of answered calls, all tries.
};

/// Runs \p plan against \p cluster, which has been started.
BenchReport runBench(Cluster &cluster, const BenchPlan &plan);

/// Returns steps that kill one process after another from \p names, drawn with
/// \p seed, one in each \p every, and start each again after \p downtime.
std::vector<FaultStep> killsAndRestarts(const std::vector<std::string> &names,
                                        std::chrono::milliseconds duration,
                                        std::chrono::milliseconds every,
                                        std::chrono::milliseconds downtime,
                                        std::uint64_t seed);

} // namespace greengagespar::harness

#endif // GREENGAGESPAR_CALLS_CALL_BENCH_H
