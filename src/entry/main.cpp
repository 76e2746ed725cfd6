/// \file
/// The program greengagespar-entry. With "direct" as its first argument it runs
/// in direct mode, on a platform whose servers it calls itself. Otherwise it
/// offers the project's own interface and calls endpoint processes.

#include "entry.h"

#include "greengagespar/base/program.h"
#include "greengagespar/direct/direct_entry.h"
#include "greengagespar/direct/direct_program.h"
#include "greengagespar/entry/entry_settings.h"
#include "platform/dialect.h"
#include <iostream>

using namespace greengagespar;

namespace {

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
      "Accepts callers' requests and sends them to the platform's servers.";
  program.Info.LogPart = Part::Entry;
  program.Table = directSettingsSchema();
  program.Defaults = defaultDirectSettings();
  program.Complete = completeDirectSettings;
  return program;
}

int runDirect(int argc, char **argv) {
  return runDirectProgram(directProgram(), argc, argv,
                          [](event_base *loop, zmq::context_t &context,
                             const DirectSettings &settings) {
                            return std::make_unique<DirectEntry>(
                                loop, context, settings, platformDialect());
                          });
}

} // namespace

int main(int argc, char **argv) {
  if (argc > 1 && std::string_view(argv[1]) == "direct")
    return runDirect(argc - 1, argv + 1);
  Program<EntrySettings> program;
  program.Info.Name = "greengagespar-entry";
  program.Info.Description =
      "Accepts callers' calls and routes them to model engines and services. "
      "\"greengagespar-entry direct --help\" describes direct mode.";
  program.Info.LogPart = Part::Entry;
  program.Table = entrySettingsSchema();
  program.Defaults = defaultEntrySettings();
  program.Complete = completeEntrySettings;
  program.Run = run;
  return runProgram(program, argc, argv, std::cout, std::cerr);
}
