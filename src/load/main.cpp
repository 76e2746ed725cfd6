/// \file
/// greengagespar-load sends an open-loop load of drafts, bookings and status
/// checks, checks each answer, and prints one JSON line. Its exit status is 0
/// if it sent every call and each answer was right; 2 if the command line is
/// bad; and 1 otherwise, also if the entry did not list its addresses.
#include "greengagespar/load/entries.h"
#include "greengagespar/load/run.h"

#include <CLI/CLI.hpp>
#include <boost/json.hpp>
#include <cstdio>
#include <string>

using namespace greengagespar;
using namespace greengagespar::load;

namespace {

std::string timeRunId() {
  auto now = std::chrono::system_clock::now().time_since_epoch();
  auto us = std::chrono::duration_cast<std::chrono::microseconds>(now);
  return std::to_string(us.count());
}

void addMixOptions(CLI::App &app, Mix &mix) {
  app.add_option("--drafts", mix.Drafts, "relative share of drafts");
  app.add_option("--bookings", mix.Bookings, "relative share of bookings");
  app.add_option("--status", mix.Status, "relative share of status checks");
  app.add_option("--streamed", mix.Streamed,
                 "share of drafts that are streamed");
  app.add_option("--short-tokens", mix.ShortTokens,
                 "tokens of the shortest draft");
  app.add_option("--long-tokens", mix.LongTokens,
                 "tokens of the longest draft that is not long-running");
  app.add_option("--stragglers", mix.LongRunning,
                 "share of drafts that are long-running");
  app.add_option("--straggler-tokens", mix.LongRunningTokens,
                 "tokens of a long-running draft");
}

// Replaces the plan's targets by the addresses that the first target lists.
// Prints the error and returns false if the query fails.
bool queryTargets(LoadPlan &plan) {
  return recoverFrom(
      [&]() -> Result<bool> {
        BOOST_LEAF_ASSIGN(plan.Targets, queryEntries(plan.Targets.front()));
        return true;
      },
      [](const Error &e) {
        std::fprintf(stderr, "%s\n", e.Message.c_str());
        return false;
      });
}

void printProgress(const LoadReport &report) {
  std::fprintf(stderr, "sent %llu, ok %llu, wrong %llu\n",
               static_cast<unsigned long long>(report.Sent),
               static_cast<unsigned long long>(report.Ok),
               static_cast<unsigned long long>(report.Wrong));
}

} // namespace

int main(int argc, char **argv) {
  LoadPlan plan;
  Phase phase;
  double seconds = 10;
  std::int64_t deadlineMs = plan.Deadline.count();
  std::vector<std::string> entries;
  std::vector<std::string> engines;
  bool queryAddresses = false;
  constexpr int badCommandLine = 2;
  CLI::App app("Sends load to entries and checks each answer");
  app.set_version_flag("--version", "0.1.0");
  app.add_option("--entry", entries, "address of an entry; repeatable");
  app.add_flag("--ask", queryAddresses,
               "ask the first entry for the addresses to use");
  app.add_option("--direct", engines,
                 "address of an engine that is called without the system");
  app.add_option("--rate", phase.CallsPerSecond, "calls a second")
      ->check(CLI::PositiveNumber);
  app.add_option("--seconds", seconds,
                 "time during which calls arrive, in seconds")
      ->check(CLI::PositiveNumber);
  app.add_option("--seed", plan.Seed, "seed of arrivals and calls");
  app.add_option("--run-id", plan.RunId, "prefix of orders and keys");
  app.add_option("--workspace", plan.Workspaces, "workspaces, used in turn");
  app.add_option("--model", plan.Model, "model of the drafts");
  app.add_option("--service", plan.Service, "service of the bookings");
  app.add_option("--deadline-ms", deadlineMs, "deadline of each call");
  app.add_option("--max-in-flight", plan.MaxInFlight, "calls open at a time");
  addMixOptions(app, plan.Calls);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError &e) {
    return app.exit(e) == 0 ? 0 : badCommandLine;
  }
  bool direct = !engines.empty();
  if (direct == !entries.empty()) {
    std::fprintf(stderr, "pass either --entry or --direct, not both\n");
    return badCommandLine;
  }
  for (const std::string &it : direct ? engines : entries)
    plan.Targets.push_back({it});
  if (queryAddresses && !direct && !queryTargets(plan))
    return 1;
  if (direct) {
    plan.TargetKind = CallTarget::Engine;
    plan.Calls.Bookings = 0;
    plan.Calls.Status = 0;
  }
  if (plan.RunId.empty())
    plan.RunId = timeRunId();
  plan.Deadline = std::chrono::milliseconds(deadlineMs);
  phase.Duration = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::duration<double>(seconds));
  plan.Phases = {phase};
  LoadReport report = runLoad(plan, nullptr, printProgress);
  std::string line = boost::json::serialize(reportJson(report));
  std::printf("%s\n", line.c_str());
  return report.Ok == report.Sent && report.NotSent == 0 ? 0 : 1;
}
