/// \file
/// Runs the programs in direct mode: sends their log to standard output and
/// reloads their settings on SIGHUP.
#ifndef GREENGAGESPAR_DIRECT_DIRECT_PROGRAM_H
#define GREENGAGESPAR_DIRECT_DIRECT_PROGRAM_H

#include "greengagespar/base/log_output.h"
#include "greengagespar/base/program.h"
#include "greengagespar/base/timer.h"
#include <iostream>
#include <unistd.h>
#include <zmq.hpp>

namespace greengagespar {

/// Interval at which log lines are written.
inline constexpr std::chrono::milliseconds LogInterval{100};

namespace detail {

/// Reloads the settings. Keeps those in force and logs an error when the new
/// ones are refused.
template <class S, class Process>
void reloadSettings(const Program<S> &program, const std::string &path,
                    Process &process) {
  recoverFrom(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(settings, loadSettings(program, path));
        process.reload(settings);
        return {};
      },
      [&](const Error &e) {
        logError(program.Info.LogPart, "settings not reloaded: " + e.Message);
      });
}

} // namespace detail

/// Runs \p program. \p make returns its process, given a loop, a ZeroMQ context
/// and the settings. Call once, from main.
template <class S, class Make>
int runDirectProgram(Program<S> program, int argc, const char *const *argv,
                     Make make) {
  CommandLine line =
      parseCommandLine(program.Info, argc, argv, std::cout, std::cerr);
  program.Run = [&](const S &settings) {
    LogOutput output(STDOUT_FILENO,
                     {.LinesPerSecond = settings.LogLinesPerSecond});
    initLogging(line.Log, &output);
    EventLoop loop;
    zmq::context_t context(1);
    auto process = make(loop.base(), context, settings);
    loop.onReload(
        [&] { detail::reloadSettings(program, line.SettingsFile, *process); });
    Timer flush(loop.base(), [&] {
      output.writeBuffered();
      flush.start(LogInterval);
    });
    flush.start(LogInterval);
    ExitCode code = runProcess(*process, loop, program.Info.LogPart);
    output.writeBuffered();
    initLogging(line.Log);
    return code;
  };
  return runProgram(program, argc, argv, std::cout, std::cerr);
}

} // namespace greengagespar

#endif // GREENGAGESPAR_DIRECT_DIRECT_PROGRAM_H
