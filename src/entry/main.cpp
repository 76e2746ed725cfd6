/// \file
/// The program greengagespar-entry.

#include "entry.h"

#include "greengagespar/base/event_loop.h"
#include "greengagespar/base/log.h"
#include "greengagespar/base/program.h"
#include "greengagespar/entry/entry_settings.h"
#include <iostream>

using namespace greengagespar;

namespace {

ExitCode run(const EntrySettings &settings) {
  EventLoop loop;
  zmq::context_t context(1);
  Entry entry(loop.base(), context, settings);
  bool isStarted = recoverFrom(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(entry.start());
        return true;
      },
      [](const Error &e) {
        logError(Part::Entry, e.Message);
        return false;
      });
  if (!isStarted)
    return ExitCode::CannotStart;
  loop.onTermination([&] { entry.leave(); });
  loop.run();
  return ExitCode::Ok;
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
