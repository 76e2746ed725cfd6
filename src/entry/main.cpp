/// \file
/// The program greengagespar-entry.

#include "entry.h"

#include "greengagespar/base/program.h"
#include "greengagespar/entry/entry_settings.h"
#include <iostream>

using namespace greengagespar;

namespace {

ExitCode run(const EntrySettings &settings) {
  EventLoop loop;
  zmq::context_t context(1);
  Entry entry(loop.base(), context, settings);
  return runProcess(entry, loop, Part::Entry);
}

} // namespace

int main(int argc, char **argv) {
  Program<EntrySettings> program;
  program.Info.Name = "greengagespar-entry";
  program.Info.Description =
      "Takes callers' calls and routes them to model engines and services.";
  program.Info.LogPart = Part::Entry;
  program.Table = entrySettingsSchema();
  program.Defaults = defaultEntrySettings();
  program.Complete = completeEntrySettings;
  program.Run = run;
  return runProgram(program, argc, argv, std::cout, std::cerr);
}
