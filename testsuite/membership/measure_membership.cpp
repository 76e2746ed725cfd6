/// \file
/// Measures what membership costs an entry without calls, at several numbers of
/// entries: messages, bytes, processor time and memory. Also measures how long
/// it takes until a change of settings is in force on all entries, and until
/// the other entries of a data centre notice that one was killed. Prints one
/// JSON object as the last line.
#include "cluster.h"

#include <CLI/CLI.hpp>
#include <boost/json.hpp>
#include <cstdio>
#include <exception>
#include <string>
#include <thread>
#include <vector>

using namespace greengagespar;
using namespace greengagespar::harness;
using std::chrono::milliseconds;
using SteadyClock = std::chrono::steady_clock;

namespace {

constexpr milliseconds SettleTime{2000};
constexpr milliseconds LongTimeout{30000};

struct Options {
  std::uint64_t Seed = 1; ///< Only reported: processes seed by their clocks.
  std::vector<int> Entries = {4, 8, 16, 32};
  int DataCentres = 2;
  int SampleMs = 3000;
};

double metric(Cluster &cluster, const std::string &entry,
              const std::string &name) {
  std::string text = get(cluster.address(entry), "/metrics").Body;
  std::string key = "greengagespar_" + name + " ";
  auto at = text.find(key);
  return at == std::string::npos ? 0 : std::stod(text.substr(at + key.size()));
}

// Sums over all entries.
struct Totals {
  double Messages = 0;
  double Bytes = 0;
  double PlatformCalls = 0;
  double ProcessorMs = 0;
  double ResidentKb = 0;
};

Totals totals(Cluster &cluster, const std::vector<std::string> &entries) {
  Totals sum;
  for (const std::string &it : entries) {
    sum.Messages += metric(cluster, it, "peer_messages_total");
    sum.Bytes += metric(cluster, it, "peer_bytes_total");
    sum.PlatformCalls += metric(cluster, it, "platform_calls_total");
    Process &process = cluster.process(it);
    sum.ProcessorMs += static_cast<double>(process.processorTime().count());
    sum.ResidentKb += static_cast<double>(process.residentKb());
  }
  return sum;
}

double msSince(SteadyClock::time_point start) {
  return std::chrono::duration<double, std::milli>(SteadyClock::now() - start)
      .count();
}

// Changes the settings and returns the time in ms until the change is in force
// on all entries, or -1 if that takes too long.
double settingsSpreadMs(Cluster &cluster,
                        const std::vector<std::string> &entries) {
  std::uint64_t before = cluster.generation(entries[0]);
  cluster.putObject("/teams/umuhuza/settings/workspaces/late",
                    boost::json::object{{"weight", 2.0}});
  auto start = SteadyClock::now();
  for (const std::string &it : entries)
    if (!waitUntil([&] { return cluster.generation(it) > before; },
                   LongTimeout))
      return -1;
  return msSince(start);
}

// Returns how often the entries have logged that another entry is silent.
int countSilenceLogs(Cluster &cluster,
                     const std::vector<std::string> &entries) {
  constexpr std::string_view mark = "is silent";
  int count = 0;
  for (const std::string &it : entries) {
    std::string log = cluster.process(it).errors();
    for (auto at = log.find(mark); at != std::string::npos;
         at = log.find(mark, at + 1))
      ++count;
  }
  return count;
}

// Kills the last entry and returns the time in ms until all other entries of
// its data centre have noticed it, or -1 if that takes too long.
double killNoticeMs(Cluster &cluster, const std::vector<std::string> &entries) {
  const std::string &killed = entries.back();
  auto expected = static_cast<double>(entries.size() - 1);
  cluster.kill(killed);
  auto start = SteadyClock::now();
  for (const std::string &it : entries) {
    bool isNear =
        it != killed && cluster.dataCentre(it) == cluster.dataCentre(killed);
    if (isNear &&
        !waitUntil(
            [&] { return metric(cluster, it, "entries_live") <= expected; },
            LongTimeout))
      return -1;
  }
  return msSince(start);
}

boost::json::object measure(const Options &options, int count) {
  ClusterPlan plan;
  plan.DataCentres.clear();
  for (int i = 0; i < options.DataCentres; ++i)
    plan.DataCentres.push_back("dc" + std::to_string(i + 1));
  plan.EntriesPerDataCentre = count / options.DataCentres;
  plan.Helpers = 1;
  plan.Ledgers = 0;
  Cluster cluster(plan);
  cluster.start();
  std::vector<std::string> entries = cluster.processesOf("greengagespar-entry");
  std::this_thread::sleep_for(SettleTime);
  auto start = SteadyClock::now();
  Totals before = totals(cluster, entries);
  std::this_thread::sleep_for(milliseconds(options.SampleMs));
  Totals after = totals(cluster, entries);
  double n = static_cast<double>(entries.size());
  double seconds = msSince(start) / 1000;
  boost::json::object row;
  row["entries"] = entries.size();
  row["messages_per_s"] = (after.Messages - before.Messages) / n / seconds;
  row["bytes_per_s"] = (after.Bytes - before.Bytes) / n / seconds;
  row["entries_known"] = metric(cluster, entries[0], "entries_live");
  row["platform_calls_per_s_all"] =
      (after.PlatformCalls - before.PlatformCalls) / seconds;
  row["core_percent"] =
      (after.ProcessorMs - before.ProcessorMs) / n / seconds / 10;
  row["resident_kb"] = after.ResidentKb / n;
  row["settings_on_all_ms"] = settingsSpreadMs(cluster, entries);
  row["falsely_silent"] = countSilenceLogs(cluster, entries);
  row["killed_noticed_near_ms"] = killNoticeMs(cluster, entries);
  std::fprintf(stderr, "%s\n", boost::json::serialize(row).c_str());
  return row;
}

int run(const Options &options) {
  boost::json::array rows;
  for (int count : options.Entries)
    rows.push_back(measure(options, count));
  boost::json::object out;
  out["seed"] = options.Seed;
  out["data_centres"] = options.DataCentres;
  out["rows"] = std::move(rows);
  std::printf("%s\n", boost::json::serialize(out).c_str());
  return 0;
}

} // namespace

int main(int argc, char **argv) {
  Options options;
  CLI::App app("Measures what membership costs an entry.");
  app.add_option("--seed", options.Seed, "Named in the result.");
  app.add_option("--entries", options.Entries, "Numbers of entries.");
  app.add_option("--data-centres", options.DataCentres, "Data centres.");
  app.add_option("--sample-ms", options.SampleMs, "Time of one sample.");
  CLI11_PARSE(app, argc, argv);
  try {
    return run(options);
  } catch (const std::exception &e) {
    std::fprintf(stderr, "measure-membership: %s\n", e.what());
    return 1;
  }
}
