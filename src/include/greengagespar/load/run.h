/// \file
/// An open-loop load run: calls arrive by a seeded Poisson process whether or
/// not earlier ones were answered. Not thread safe.
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

/// A time of a run with one rate.
struct Phase {
  double CallsPerSecond = 100;
  std::chrono::milliseconds Duration{10000};
};

/// Which calls are made; shares are relative to each other.
struct Mix {
  double Drafts = 0.5;
  double Bookings = 0.2;
  double Status = 0.3;
  double Streamed = 0.5;         ///< Share of drafts that are streamed.
  std::uint64_t ShortTokens = 8; ///< Shortest draft.
  std::uint64_t LongTokens = 24; ///< Longest draft but for stragglers.
  double Stragglers = 0;         ///< Share of drafts that are stragglers.
  std::uint64_t StragglerTokens = 400;
};

/// A run.
struct LoadPlan {
  std::vector<Address> Targets; ///< Entries, or engines; used in turn.
  CallTarget TargetKind = CallTarget::Entry;
  std::vector<Phase> Phases = {Phase{}};
  Mix Calls;
  std::vector<std::string> Workspaces = {"members", "clerks"};
  std::string Model = "order-helper";
  std::string Service = "ledger";
  std::chrono::milliseconds Deadline{10000};
  std::uint64_t Seed = 1;
  std::string RunId;               ///< Keeps orders and keys of runs apart.
  std::size_t MaxInFlight = 20000; ///< More calls are not sent, but counted.
};

/// Percentiles of a set of times, in milliseconds.
struct Percentiles {
  double P50 = 0;
  double P95 = 0;
  double P99 = 0;
};

/// Returns the percentiles by nearest rank; zeros when there are no times.
/// Reorders \p times.
Percentiles percentilesOf(std::vector<Clock::duration> &times);

/// What a run gave.
struct LoadReport {
  std::uint64_t Sent = 0;
  std::uint64_t NotSent = 0; ///< Over MaxInFlight.
  std::uint64_t Ok = 0;
  std::uint64_t Wrong = 0;
  std::uint64_t Truncated = 0;
  std::uint64_t Unknown = 0;
  std::map<std::string, std::uint64_t> Refused; ///< By error kind.
  std::map<std::string, std::uint64_t> Failed;  ///< Kinds of the other errors.
  std::vector<Clock::duration> FirstTokens;     ///< Of right streamed drafts.
  std::vector<Clock::duration> Whole;           ///< Of right answers.
  std::chrono::milliseconds Duration{0};        ///< Of the arrivals.
};

/// Told of each call's end.
using OnOutcome = std::function<void(const CallSpec &, const CallOutcome &)>;

/// Makes the calls of a plan one after another; the same seed gives the same.
class CallSource {
public:
  /// Precondition: the plan has a workspace and a share over 0.
  explicit CallSource(const LoadPlan &plan);
  ~CallSource();
  CallSource(const CallSource &) = delete;
  CallSource &operator=(const CallSource &) = delete;

  /// Returns the next call.
  CallSpec next();

  /// Returns the time to the next arrival at a rate.
  Clock::duration nextGap(double callsPerSecond);

private:
  struct Impl;
  std::unique_ptr<Impl> Self;
};

/// Runs a plan to the end of its last call on a loop of its own. \p onTick is
/// called about once a second with the report so far.
LoadReport
runLoad(const LoadPlan &plan, const OnOutcome &onOutcome = nullptr,
        const std::function<void(const LoadReport &)> &onTick = nullptr);

/// Returns the report as the load tool prints it. Reorders the report's times.
boost::json::object reportJson(LoadReport &report);

} // namespace greengagespar::load

#endif // GREENGAGESPAR_LOAD_RUN_H
