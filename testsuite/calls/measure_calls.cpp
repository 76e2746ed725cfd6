/// \file
/// Measures outcomes and times of calls under a seeded schedule of faults.
/// Prints progress on standard error and one JSON object on standard output.

#include "call_bench.h"

#include <CLI/CLI.hpp>
#include <cstdio>
#include <iostream>

using namespace greengagespar;
using namespace greengagespar::harness;
using std::chrono::milliseconds;

namespace {

struct Options {
  std::uint64_t Seed = 1;
  int Seconds = 10; ///< Duration of each schedule.
  double Rate = 200;
};

ClusterPlan clusterPlan() {
  ClusterPlan plan;
  plan.Helpers = 4;
  plan.Ledgers = 3;
  plan.LedgerArgs = {"--service-us", "5000"};
  return plan;
}

BenchPlan benchPlan(const Options &options) {
  BenchPlan plan;
  plan.Seed = options.Seed;
  plan.CallsPerSecond = options.Rate;
  plan.Duration = std::chrono::seconds(options.Seconds);
  plan.Calls.Drafts = 0.3;
  plan.Calls.Bookings = 0.5;
  plan.Calls.Status = 0.2;
  return plan;
}

void printProgress(const char *schedule, const BenchReport &report) {
  std::fprintf(
      stderr,
      "%s: %lu calls, %lu answered, %lu bookings, %lu unknown, %lu "
      "refused, %lu not answered, %lu doubled, %lu false not run, %lu wrong\n",
      schedule, report.Calls, report.Answered, report.Bookings,
      report.UnknownBookings, report.RefusedBookings, report.NotAnswered,
      report.Doubled, report.FalseNotRun, report.WrongAnswers);
  for (const auto &[kind, n] : report.FirstErrors)
    std::fprintf(stderr, "  first try %s: %lu\n", kind.c_str(), n);
  for (const auto &[kind, n] : report.LastErrors)
    std::fprintf(stderr, "  last try %s: %lu\n", kind.c_str(), n);
}

double p99Ms(BenchReport &report) {
  return load::percentilesOf(report.Times).P99;
}

// Kills one process each second and starts it again after half a second.
BenchReport underKills(const Options &options) {
  Cluster cluster(clusterPlan());
  cluster.start();
  BenchPlan plan = benchPlan(options);
  std::vector<std::string> names = cluster.processesOf("greengagespar-entry");
  for (const std::string &it : cluster.processesOf("greengagespar-endpoint"))
    names.push_back(it);
  plan.Faults = killsAndRestarts(names, plan.Duration, milliseconds(1000),
                                 milliseconds(500), options.Seed);
  return runBench(cluster, plan);
}

// Freezes the endpoint processes one after another, each for longer than any
// timeout.
BenchReport underFreezes(const Options &options) {
  Cluster cluster(clusterPlan());
  cluster.start();
  BenchPlan plan = benchPlan(options);
  std::vector<std::string> names =
      cluster.processesOf("greengagespar-endpoint");
  milliseconds every{3000};
  for (milliseconds at{1000}; at + every < plan.Duration; at += every) {
    std::string name =
        names[(options.Seed + at.count() / every.count()) % names.size()];
    plan.Faults.push_back(
        {at, [name](Cluster &it) { it.process(name).signal(SIGSTOP); }});
    plan.Faults.push_back({at + milliseconds(2500), [name](Cluster &it) {
                             it.process(name).signal(SIGCONT);
                           }});
  }
  return runBench(cluster, plan);
}

// Stops and restarts an entry and two endpoint processes under load, one after
// another, as a rolling restart of hosts does.
BenchReport underRollingRestart(const Options &options) {
  Cluster cluster(clusterPlan());
  cluster.start();
  BenchPlan plan = benchPlan(options);
  std::vector<std::string> names = {"entry-1", "helper-1", "ledger-1"};
  milliseconds at{500};
  milliseconds every{4500};
  for (const std::string &name : names) {
    plan.Faults.push_back(
        {at, [name](Cluster &it) { it.process(name).signal(SIGTERM); }});
    at += every;
    plan.Faults.push_back({at, [name](Cluster &it) {
                             it.process(name).wait();
                             it.start(name);
                           }});
  }
  plan.Duration = std::max(plan.Duration, at + milliseconds(1000));
  return runBench(cluster, plan);
}

// Makes the connections to one endpoint process after another unresponsive for
// good. New connections work.
BenchReport underUnresponsiveConnections(const Options &options) {
  Cluster cluster(clusterPlan());
  std::vector<std::string> names =
      cluster.processesOf("greengagespar-endpoint");
  for (const std::string &it : names)
    cluster.addRelay(it);
  cluster.start();
  BenchPlan plan = benchPlan(options);
  std::size_t i = options.Seed;
  for (milliseconds at{1000}; at < plan.Duration; at += milliseconds(500)) {
    std::string relay = names[i++ % names.size()] + "-relay";
    plan.Faults.push_back({at, [relay](Cluster &it) {
                             it.setRelayMode(relay, {{"action", "swallow"}});
                           }});
  }
  return runBench(cluster, plan);
}

// Returns the cost of an unresponsive connection: the 99th percentile over the
// calls that took longer than a link with calls may go without data before it
// is probed.
double unresponsiveCostMs(BenchReport report) {
  std::erase_if(report.Times, [](load::Clock::duration it) {
    return it < milliseconds(150);
  });
  return p99Ms(report);
}

double metricOf(Cluster &cluster, const std::string &entry,
                const std::string &name) {
  std::string text = get(cluster.address(entry), "/metrics").Body;
  std::string key = "greengagespar_" + name + " ";
  auto at = text.find(key);
  return at == std::string::npos ? 0 : std::stod(text.substr(at + key.size()));
}

// Returns the attempts on servers per call at three times the rate that the
// engines can serve, with the endpoint process of one of three engines killed
// for good.
double retryRatioAtOverload(const Options &options) {
  ClusterPlan system = clusterPlan();
  system.Helpers = 3;
  system.HelperSlots = 2;
  system.EngineArgs = {"--step-ms", "10"};
  Cluster cluster(system);
  cluster.start();
  BenchPlan plan = benchPlan(options);
  plan.Calls = {};
  plan.Calls.Drafts = 1;
  plan.Calls.Bookings = 0;
  plan.Calls.Status = 0;
  plan.MaxTries = 1;
  plan.Duration = milliseconds(6000);
  // 2 slots of 16 tokens of 10 ms on each of 3 engines give 37 calls a second.
  plan.CallsPerSecond = 112;
  plan.Faults.push_back(
      {milliseconds(2000), [](Cluster &it) { it.kill("helper-1"); }});
  BenchReport report = runBench(cluster, plan);
  printProgress("overload", report);
  double attempts = 0;
  double calls = 0;
  for (const std::string &it : cluster.processesOf("greengagespar-entry")) {
    attempts += metricOf(cluster, it, "attempts_total");
    calls += metricOf(cluster, it, "calls_started_total");
  }
  return attempts / calls;
}

} // namespace

int main(int argc, char **argv) {
  Options options;
  CLI::App app("Measures calls under faults.");
  app.add_option("--seed", options.Seed, "Seed of calls and faults");
  app.add_option("--seconds", options.Seconds, "Seconds of each schedule");
  app.add_option("--rate", options.Rate, "Calls a second");
  CLI11_PARSE(app, argc, argv);

  BenchReport kills = underKills(options);
  printProgress("kills", kills);
  BenchReport freezes = underFreezes(options);
  printProgress("freezes", freezes);
  BenchReport rolling = underRollingRestart(options);
  printProgress("rolling restart", rolling);

  BenchReport silence = underUnresponsiveConnections(options);
  printProgress("silent connections", silence);

  auto sum = [&](std::uint64_t BenchReport::*member) {
    return kills.*member + freezes.*member + rolling.*member + silence.*member;
  };
  boost::json::object out;
  out["calls"] = sum(&BenchReport::Calls);
  out["bookings"] = sum(&BenchReport::Bookings);
  out["doubled"] = sum(&BenchReport::Doubled);
  out["false_not_run"] = sum(&BenchReport::FalseNotRun);
  out["wrong_answers"] =
      sum(&BenchReport::WrongAnswers) + sum(&BenchReport::FalseAnswered);
  out["unknown_share"] = static_cast<double>(kills.UnknownBookings) /
                         static_cast<double>(kills.Bookings);
  out["unknown_share_freezes"] = static_cast<double>(freezes.UnknownBookings) /
                                 static_cast<double>(freezes.Bookings);
  out["refused_booking_share"] = static_cast<double>(kills.RefusedBookings) /
                                 static_cast<double>(kills.Bookings);
  out["not_answered"] = sum(&BenchReport::NotAnswered);
  out["freeze_p99_ms"] = p99Ms(freezes);
  out["kill_p99_ms"] = p99Ms(kills);
  out["silent_cost_p99_ms"] = unresponsiveCostMs(silence);
  out["retry_ratio"] = retryRatioAtOverload(options);
  out["rolling_restart_failed"] = rolling.Calls - rolling.Answered;
  std::cout << boost::json::serialize(out) << std::endl;
  return 0;
}
