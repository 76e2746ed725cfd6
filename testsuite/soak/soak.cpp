/// \file
/// Runs soaks by hand: one seed after the other, and prints what broke rules.
#include "soak_run.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <iostream>

using namespace greengagespar::soak;

namespace {

// Prints the figures and findings of one run. Returns the number of findings.
std::size_t report(std::uint64_t seed, const Record &record) {
  auto count = [&](auto condition) {
    return std::ranges::count_if(record.Attempts, condition);
  };
  auto findings = judge(record);
  CopyCounts copies = countCopies(record);
  std::cout << "seed " << seed << ": " << record.Attempts.size()
            << " requests, " << count([](auto &it) { return it.Status == 200; })
            << " served, " << count([](auto &it) { return it.Status == 503; })
            << " refused, " << count([](auto &it) { return it.Status == 0; })
            << " without an answer, " << cutAroundPlannedWork(record)
            << " of them around planned work, " << record.Disruptions.size()
            << " disruptions, " << record.Outages.size() << " outages, "
            << findings.size() << " findings\n"
            << "  " << copies.Sent << " copies, " << copies.CameAgain
            << " of them with a request that came to the server again, "
            << copies.Met << " met it on their connection; "
            << record.Connections << " connections to servers, "
            << static_cast<double>(record.Connections) /
                   static_cast<double>(record.Attempts.size())
            << " a request\n";
  for (const Finding &it : findings)
    std::cout << "  " << it.Rule << " " << it.What << "\n";
  std::cout << std::flush;
  return findings.size();
}

} // namespace

int main(int argc, char **argv) {
  CLI::App app{"Runs entries as processes under seeded disruptions and judges "
               "the rules BUDGET, LOST, MIXED, OUTAGE, REFUSED and TWICE."};
  SoakOptions options;
  std::uint64_t seeds = 1;
  auto seconds = options.Length.count();
  app.add_option("--seed", options.Seed, "First seed");
  app.add_option("--seeds", seeds, "Number of seeds");
  app.add_option("--seconds", seconds, "Length of a run");
  app.add_option("--entries", options.Entries, "Number of entries");
  app.add_option("--ledgers", options.Ledgers, "Number of servers");
  app.add_option("--clients", options.Clients, "Number of clients");
  app.add_flag("--clumps,!--no-clumps", options.HasClumps, "Clumps");
  app.add_flag("--freezes,!--no-freezes", options.Freezes, "Freezes");
  app.add_flag("--stops,!--no-stops", options.Stops, "Stops and reloads");
  app.add_flag("--kills,!--no-kills", options.Kills, "Kills");
  app.add_flag("--bad-servers,!--no-bad-servers", options.BadServers,
               "Servers in trouble");
  app.add_flag("--store-trouble,!--no-store-trouble", options.StoreTrouble,
               "A store in trouble");
  app.add_flag("--lone-server,!--no-lone-server", options.LoneServer,
               "Spans with one usable server");
  app.add_flag("--outages,!--no-outages", options.Outages,
               "Data centres taken out of service");
  app.add_option("--refused", options.RefusedPercent,
                 "Requests that servers refuse at random, in percent");
  app.add_option("--copied-refusals", options.CopiedRefusalPercent,
                 "Refusals that are copied, in percent");
  app.add_option("--copied-answers", options.CopiedAnswerPercent,
                 "Other answers that are copied, in percent");
  app.add_flag("--copies-at-once,!--no-copies-at-once", options.CopiesAtOnce,
               "Copies right behind their answers too");
  app.add_option("--program", options.Program, "Program of the entries");
  app.add_option("--logs", options.Logs, "Folder for the logs of entries");
  CLI11_PARSE(app, argc, argv);
  options.Length = std::chrono::seconds(seconds);
  std::size_t findings = 0;
  for (std::uint64_t i = 0; i < seeds; ++i, ++options.Seed)
    findings += report(options.Seed, runSoak(options));
  return findings == 0 ? 0 : 1;
}
