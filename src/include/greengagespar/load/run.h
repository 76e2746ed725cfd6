/// \file
/// An open-loop load run. Calls arrive by a seeded Poisson process, whether or
/// not earlier calls were answered. Not thread safe.
#ifndef GREENGAGESPAR_LOAD_RUN_H
#define GREENGAGESPAR_LOAD_RUN_H

#include "greengagespar/base/ids.h"
#include "greengagespar/load/calls.h"
#include <boost/json.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace greengagespar::load {

/// A period of a run with a constant rate of calls.
struct Phase {
  double CallsPerSecond = 100;
  std::chrono::milliseconds Duration{10000};
};

/// The mix of calls. Drafts, Bookings and Status are relative weights.
struct Mix {
  double Drafts = 0.5;
  double Bookings = 0.2;
  double Status = 0.3;
  double Streamed = 0.5;         ///< Share of drafts that are streamed.
  std::uint64_t ShortTokens = 8; ///< Tokens of the shortest draft.
  /// Tokens of the longest draft that is not long-running.
  std::uint64_t LongTokens = 24;
  double LongRunning = 0; ///< Share of drafts that are long-running.
  std::uint64_t LongRunningTokens = 400; ///< Tokens of a long-running draft.
};

/// The parameters of a run.
struct LoadPlan {
  std::vector<Address> Targets; ///< Entries or engines, used in turn.
  CallTarget TargetKind = CallTarget::Entry;
  std::vector<Phase> Phases = {Phase{}};
  Mix Calls;
  std::vector<std::string> Workspaces = {"members", "clerks"}; ///< In turn.
  std::string Model = "order-helper";        ///< Model of the drafts.
  std::string Service = "ledger";            ///< Service of the bookings.
  std::chrono::milliseconds Deadline{10000}; ///< Of each call.
  std::uint64_t Seed = 1;                    ///< Of the arrivals and calls.
  std::string RunId; ///< Prefix that keeps orders and keys of runs apart.
  /// Most calls in progress. Further calls are not sent but counted in
  /// LoadReport::NotSent.
  std::size_t MaxInFlight = 20000;
};

/// Percentiles of a set of times, in milliseconds.
struct Percentiles {
  double P50 = 0;
  double P95 = 0;
  double P99 = 0;
};

/// Returns the percentiles of \p times by the nearest-rank method. All are zero
/// if \p times is empty. Sorts \p times.
Percentiles percentilesOf(std::vector<Clock::duration> &times);

/// The results of a run.
struct LoadReport {
  std::uint64_t Sent = 0;
  std::uint64_t NotSent = 0; ///< Calls not sent because of MaxInFlight.
  std::uint64_t Ok = 0;
  std::uint64_t Wrong = 0;
  std::uint64_t Truncated = 0;
  std::uint64_t Unknown = 0;
  std::map<std::string, std::uint64_t> Refused; ///< By error kind.
  /// Calls that ended as Truncated or Unknown, by error kind.
  std::map<std::string, std::uint64_t> Failed;
  std::vector<Clock::duration> FirstTokens; ///< Of streamed drafts that are Ok.
  std::vector<Clock::duration> AnswerTimes; ///< Times to the end of Ok answers.
  std::chrono::milliseconds Duration{0}; ///< Time during which calls arrived.
};

/// Called at the end of each call.
using OnOutcome = std::function<void(const CallSpec &, const CallOutcome &)>;

/// Generates the calls of a plan one after another. The same seed yields the
/// same calls.
class CallSource {
public:
  /// Preconditions: the plan has a workspace and a share over 0, and outlives
  /// this object.
  explicit CallSource(const LoadPlan &plan);
  ~CallSource();
  CallSource(const CallSource &) = delete;
  CallSource &operator=(const CallSource &) = delete;

  /// Returns the next call.
  CallSpec next();

  /// Returns the time to the next arrival at a mean rate of \p callsPerSecond.
  Clock::duration nextGap(double callsPerSecond);

private:
  struct Impl;
  std::unique_ptr<Impl> Self;
};

/// Runs \p plan on an event loop of its own and blocks until its last call has
/// ended. Calls \p onOutcome at the end of each call and \p onTick about once a
/// second with the report so far; both may be null. Returns an empty report if
/// the plan has no target or no phase.
LoadReport
runLoad(const LoadPlan &plan, const OnOutcome &onOutcome = nullptr,
        const std::function<void(const LoadReport &)> &onTick = nullptr);

/// Returns the report as the load tool prints it. Sorts the report's times.
boost::json::object reportJson(LoadReport &report);

} // namespace greengagespar::load

#endif // GREENGAGESPAR_LOAD_RUN_H
