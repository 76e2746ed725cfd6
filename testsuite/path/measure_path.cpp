/// \file
/// Measures the time that the system adds to a call: sends the same calls at
/// the same rate directly to the engine stand-ins and through one entry, in
/// alternation. Then measures the highest rate that one entry sustains without
/// an error, and resident memory. Prints progress on standard error and one
/// JSON object as the last line.
#include "cluster.h"
#include "greengagespar/load/run.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <boost/json.hpp>
#include <cstdio>
#include <exception>
#include <string>
#include <vector>

using namespace greengagespar;
using namespace greengagespar::harness;
using load::CallTarget;
using load::LoadPlan;
using load::LoadReport;
using load::Percentiles;
using std::chrono::milliseconds;

namespace {

constexpr double KbPerMb = 1024;
constexpr milliseconds WarmUp{1000};
constexpr milliseconds SettleTime{500};

// A rate is sustained when no call fails and 95 in 100 answers arrive within
// this time.
constexpr double SustainedP95Ms = 250;

struct Options {
  std::uint64_t Seed = 1;
  double Rate = 400;
  int Rounds = 4;
  int RoundMs = 2500;
  int StepMs = 3000;
  std::vector<double> Ladder = {1000, 2000, 2500, 3000, 4000, 5000};
};

// The times of calls on one path: directly to the engines or through the
// system.
struct PathTimes {
  std::vector<load::Clock::duration> FirstTokens;
  std::vector<load::Clock::duration> Whole;        ///< Of non-streamed drafts.
  std::vector<load::Clock::duration> WholeStreams; ///< Of streamed drafts.
  std::uint64_t Sent = 0;
  std::uint64_t Ok = 0;
};

struct Memory {
  long EntryKb = 0;
  long EndpointKb = 0; ///< Of the largest endpoint process.
};

struct SustainedRate {
  double CallsPerSecond = 0;
  double EntryMicrosecondsPerCall = 0;
  Memory Loaded;
};

LoadPlan basePlan(const Options &options, const std::string &runId) {
  LoadPlan plan;
  plan.Seed = options.Seed;
  plan.RunId = "path-" + std::to_string(options.Seed) + "-" + runId;
  return plan;
}

std::vector<Address> addressesOf(const Cluster &cluster,
                                 const std::string &program) {
  std::vector<Address> out;
  for (const std::string &name : cluster.processesOf(program))
    out.push_back(cluster.address(name));
  return out;
}

Memory residentMemory(Cluster &cluster) {
  Memory out;
  out.EntryKb = cluster.process("entry-1").residentKb();
  for (const std::string &name : cluster.processesOf("greengagespar-endpoint"))
    out.EndpointKb =
        std::max(out.EndpointKb, cluster.process(name).residentKb());
  return out;
}

void runOnPath(PathTimes &times, const LoadPlan &plan) {
  LoadReport report = runLoad(
      plan, [&](const load::CallSpec &call, const load::CallOutcome &outcome) {
        if (outcome.Result != load::Verdict::Ok)
          return;
        if (outcome.FirstToken && call.Stream)
          times.FirstTokens.push_back(*outcome.FirstToken);
        (call.Stream ? times.WholeStreams : times.Whole)
            .push_back(outcome.TotalTime);
      });
  times.Sent += report.Sent;
  times.Ok += report.Ok;
}

// Sends the same calls at the same intervals on both paths, one after the
// other.
void compareRound(Cluster &cluster, const Options &options, int round,
                  PathTimes &direct, PathTimes &system) {
  LoadPlan plan = basePlan(options, "round-" + std::to_string(round));
  plan.Seed = options.Seed * 1000 + static_cast<std::uint64_t>(round);
  plan.Phases = {{options.Rate, milliseconds(options.RoundMs)}};
  plan.Calls.Bookings = 0;
  plan.Calls.Status = 0;
  LoadPlan enginePlan = plan;
  enginePlan.TargetKind = CallTarget::Engine;
  enginePlan.Targets = addressesOf(cluster, "standin-engine");
  plan.Targets = {cluster.address("entry-1")};
  std::fprintf(stderr, "measure-path: round %d\n", round);
  runOnPath(direct, enginePlan);
  runOnPath(system, plan);
}

bool isSustained(const LoadReport &report, const Percentiles &answer) {
  return report.Sent > 0 && report.Ok == report.Sent && report.NotSent == 0 &&
         answer.P95 <= SustainedP95Ms;
}

// Sends calls at one rate. Returns whether the entry sustained it.
bool tryRate(Cluster &cluster, const Options &options, double rate,
             SustainedRate &out) {
  LoadPlan plan =
      basePlan(options, "rate-" + std::to_string(static_cast<int>(rate)));
  plan.Phases = {{rate, milliseconds(options.StepMs)}};
  plan.Targets = {cluster.address("entry-1")};
  auto before = cluster.process("entry-1").processorTime();
  LoadReport report = runLoad(plan, nullptr, [&](const LoadReport &) {
    Memory now = residentMemory(cluster);
    out.Loaded.EntryKb = std::max(out.Loaded.EntryKb, now.EntryKb);
    out.Loaded.EndpointKb = std::max(out.Loaded.EndpointKb, now.EndpointKb);
  });
  auto used = cluster.process("entry-1").processorTime() - before;
  Percentiles answer = load::percentilesOf(report.AnswerTimes);
  bool ok = isSustained(report, answer);
  if (ok) {
    std::chrono::duration<double> seconds = report.Duration;
    out.CallsPerSecond = static_cast<double>(report.Ok) / seconds.count();
    out.EntryMicrosecondsPerCall =
        std::chrono::duration<double, std::micro>(used).count() /
        static_cast<double>(report.Sent);
  }
  std::fprintf(stderr, "measure-path: %.0f calls/s: %s\n", rate,
               boost::json::serialize(reportJson(report)).c_str());
  return ok;
}

boost::json::object percentilesJson(const Percentiles &p) {
  return {{"p50", p.P50}, {"p95", p.P95}, {"p99", p.P99}};
}

boost::json::object pathJson(PathTimes &times) {
  return {{"sent", times.Sent},
          {"ok", times.Ok},
          {"first_token_ms",
           percentilesJson(load::percentilesOf(times.FirstTokens))},
          {"whole_ms", percentilesJson(load::percentilesOf(times.Whole))},
          {"whole_stream_ms",
           percentilesJson(load::percentilesOf(times.WholeStreams))}};
}

boost::json::object memoryJson(const Memory &memory) {
  return {{"entry", static_cast<double>(memory.EntryKb) / KbPerMb},
          {"endpoint", static_cast<double>(memory.EndpointKb) / KbPerMb}};
}

ClusterPlan pathPlan() {
  ClusterPlan plan;
  plan.DataCentres = {"dc1"};
  plan.HelperSlots = 128;
  plan.EngineArgs = {"--step-ms", "2", "--queue", "20000"};
  return plan;
}

// Sends calls without measuring them, so that links and connection pools are
// open before the measurement.
void warmUp(Cluster &cluster, const Options &options) {
  LoadPlan plan = basePlan(options, "warm-up");
  plan.Phases = {{options.Rate, WarmUp}};
  plan.Targets = {cluster.address("entry-1")};
  runLoad(plan);
}

boost::json::object measure(const Options &options) {
  Cluster cluster(pathPlan());
  cluster.start();
  Loop().runUntil([] { return false; }, SettleTime);
  Memory idle = residentMemory(cluster);
  warmUp(cluster, options);
  PathTimes direct;
  PathTimes system;
  for (int i = 1; i <= options.Rounds; ++i)
    compareRound(cluster, options, i, direct, system);
  SustainedRate highest;
  for (double rate : options.Ladder)
    if (!tryRate(cluster, options, rate, highest))
      break;
  double addedFirst = load::percentilesOf(system.FirstTokens).P95 -
                      load::percentilesOf(direct.FirstTokens).P95;
  double addedWhole = load::percentilesOf(system.Whole).P95 -
                      load::percentilesOf(direct.Whole).P95;
  double addedStream = load::percentilesOf(system.WholeStreams).P95 -
                       load::percentilesOf(direct.WholeStreams).P95;
  return {
      {"measure", "path"},
      {"seed", options.Seed},
      {"rate", options.Rate},
      {"direct", pathJson(direct)},
      {"system", pathJson(system)},
      {"added_first_token_p95_ms", addedFirst},
      {"added_whole_p95_ms", addedWhole},
      {"added_whole_stream_p95_ms", addedStream},
      {"added_p95_ms", std::max({addedFirst, addedWhole, addedStream})},
      {"calls_per_s", highest.CallsPerSecond},
      {"entry_us_per_call", highest.EntryMicrosecondsPerCall},
      {"rss_mb", boost::json::object{{"idle", memoryJson(idle)},
                                     {"loaded", memoryJson(highest.Loaded)}}}};
}

} // namespace

int main(int argc, char **argv) {
  Options options;
  CLI::App app("Measures what the system adds to a call");
  app.add_option("--seed", options.Seed, "seed of arrivals and calls");
  app.add_option("--rate", options.Rate, "calls a second of the comparison");
  app.add_option("--rounds", options.Rounds, "rounds of the comparison");
  app.add_option("--round-ms", options.RoundMs, "time of a round on each path");
  app.add_option("--step-ms", options.StepMs, "time of one rate");
  app.add_option("--ladder", options.Ladder, "rates tried for calls_per_s");
  CLI11_PARSE(app, argc, argv);
  try {
    std::string line = boost::json::serialize(measure(options));
    std::printf("%s\n", line.c_str());
    return 0;
  } catch (const std::exception &e) {
    std::fprintf(stderr, "measure-path: %s\n", e.what());
    return 1;
  }
}
