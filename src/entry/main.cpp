/// \file
/// The program greengagespar-entry. With "direct" as its first argument it
/// serves on a platform whose servers it calls itself; otherwise it speaks the
/// project's own interface and calls endpoint processes.

#include "entry.h"

#include "greengagespar/base/log_output.h"
#include "greengagespar/base/program.h"
#include "greengagespar/direct/direct_entry.h"
#include "greengagespar/entry/entry_settings.h"
#include "greengagespar/store/timer.h"
#include "platform/dialect.h"
#include <iostream>
#include <unistd.h>

using namespace greengagespar;

namespace {

// Log lines are written this often; a line of an event waits no longer.
constexpr std::chrono::milliseconds LogInterval{100};

ExitCode run(const EntrySettings &settings) {
  EventLoop loop;
  zmq::context_t context(1);
  Entry entry(loop.base(), context, settings);
  return runProcess(entry, loop, Part::Entry);
}

Program<DirectSettings> directProgram() {
  Program<DirectSettings> program;
  program.Info.Name = "greengagespar-entry direct";
  program.Info.Description =
      "Takes callers' requests and sends them to the platform's servers.";
  program.Info.LogPart = Part::Entry;
  program.Table = directSettingsSchema();
  program.Defaults = defaultDirectSettings();
  program.Complete = completeDirectSettings;
  return program;
}

// Reads the settings again; keeps those in force when they are refused.
void reloadSettings(DirectEntry &entry, const std::string &path) {
  recoverFrom(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(settings, loadSettings(directProgram(), path));
        entry.reload(settings);
        return {};
      },
      [](const Error &e) {
        logError(Part::Entry, "settings not reloaded: " + e.Message);
      });
}

int runDirect(int argc, char **argv) {
  Program<DirectSettings> program = directProgram();
  CommandLine line =
      parseCommandLine(program.Info, argc, argv, std::cout, std::cerr);
  program.Run = [&](const DirectSettings &settings) {
    LogOutput output(STDOUT_FILENO,
                     {.LinesPerSecond = settings.LogLinesPerSecond});
    initLogging(line.Log, &output);
    EventLoop loop;
    zmq::context_t context(1);
    DirectEntry entry(loop.base(), context, settings, platformDialect());
    loop.onReload([&] { reloadSettings(entry, line.SettingsFile); });
    Timer flush(loop.base(), [&] {
      output.writeWaiting();
      flush.start(LogInterval);
    });
    flush.start(LogInterval);
    ExitCode code = runProcess(entry, loop, Part::Entry);
    output.writeWaiting();
    initLogging(line.Log);
    return code;
  };
  return runProgram(program, argc, argv, std::cout, std::cerr);
}

} // namespace

int main(int argc, char **argv) {
  if (argc > 1 && std::string_view(argv[1]) == "direct")
    return runDirect(argc - 1, argv + 1);
  Program<EntrySettings> program;
  program.Info.Name = "greengagespar-entry";
  program.Info.Description =
      "Takes callers' calls and routes them to model engines and services. "
      "\"greengagespar-entry direct --help\" tells of direct mode.";
  program.Info.LogPart = Part::Entry;
  program.Table = entrySettingsSchema();
  program.Defaults = defaultEntrySettings();
  program.Complete = completeEntrySettings;
  program.Run = run;
  return runProgram(program, argc, argv, std::cout, std::cerr);
}
