/// \file
/// The code that all programs share: command line, settings file, logging and
/// exit codes.
#ifndef GREENGAGESPAR_BASE_PROGRAM_H
#define GREENGAGESPAR_BASE_PROGRAM_H

#include "greengagespar/base/event_loop.h"
#include "greengagespar/base/log.h"
#include "greengagespar/base/schema.h"
#include <functional>
#include <iosfwd>
#include <optional>
#include <string>

namespace greengagespar {

/// Exit codes of the programs.
enum class ExitCode {
  Ok = 0,             ///< Ended as requested.
  RunFailed = 1,      ///< Failed at run time.
  BadCommandLine = 2, ///< The command line can't be understood.
  BadSettings = 3,    ///< The settings file is missing or refused.
  CannotStart = 4,    ///< Could not bind an address or start a part.
};

/// Name and purpose of a program, shown by --help.
struct ProgramInfo {
  std::string Name;
  std::string Description;
  Part LogPart; ///< Log prefix of the messages written here.
};

/// The parsed command line.
struct CommandLine {
  std::optional<ExitCode> Exit; ///< Set when the process is to exit now.
  std::string SettingsFile;
  bool Check = false;         ///< Check the settings and exit.
  bool PrintSettings = false; ///< Print default settings and exit.
  LogOptions Log;
};

/// Parses the command line. Writes help and version to \p out, errors to
/// \p err. Thread safe.
CommandLine parseCommandLine(const ProgramInfo &info, int argc,
                             const char *const *argv, std::ostream &out,
                             std::ostream &err);

/// Returns the version of the project, for example "0.1.0". Thread safe.
std::string_view programVersion();

/// A program with settings of struct S.
template <class S> struct Program {
  ProgramInfo Info;
  Schema<S> Table;
  S Defaults; ///< Default values, and an example value for required keys.
  /// Fills in keys that default to others and checks keys against each other.
  void (*Complete)(S &settings, Findings &findings) = nullptr;
  /// Runs the program until it is requested to stop. Logging is set up before
  /// the call.
  std::function<ExitCode(const S &)> Run;
};

/// Reads and checks the settings file at \p path. Fails with BadSettings and a
/// message that lists every finding.
template <class S>
Result<S> loadSettings(const Program<S> &program, const std::string &path) {
  Result<std::string> text = readDocumentFile(path);
  if (!text)
    return text.error();
  Result<S> parsed = parseSettings(program.Table, *text, path);
  if (!parsed)
    return parsed.error();
  S settings = std::move(*parsed);
  Findings findings;
  if (program.Complete)
    program.Complete(settings, findings);
  if (findings.empty())
    return settings;
  Error error = settingsError(path, findings);
  return fail(error.Kind, error.Message);
}

namespace detail {

/// Calls \p run and turns an exception into ExitCode::RunFailed with a log
/// message of \p part.
ExitCode runGuarded(Part part, const std::function<ExitCode()> &run);

} // namespace detail

/// Calls start() of \p process and runs \p loop until it is stopped. On a
/// termination signal, leave() of \p process is called, which stops the loop
/// when the process has left. If start() fails, the error is logged with prefix
/// \p part and CannotStart is returned. Call once, from a program's Run.
template <class Process>
ExitCode runProcess(Process &process, EventLoop &loop, Part part) {
  bool isStarted = recoverFrom(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(process.start());
        return true;
      },
      [&](const Error &e) {
        logError(part, e.Message);
        return false;
      });
  if (!isStarted)
    return ExitCode::CannotStart;
  loop.onTermination([&] { process.leave(); });
  loop.run();
  return ExitCode::Ok;
}

/// Runs \p program as the command line requests, and returns the exit code of
/// the process. Writes printed settings and the result of a check to \p out,
/// and errors to \p err. Call once, from main.
template <class S>
int runProgram(const Program<S> &program, int argc, const char *const *argv,
               std::ostream &out, std::ostream &err) {
  CommandLine line = parseCommandLine(program.Info, argc, argv, out, err);
  if (line.Exit)
    return static_cast<int>(*line.Exit);
  if (line.PrintSettings) {
    out << printSettings(program.Table, "Settings of " + program.Info.Name,
                         program.Defaults);
    return static_cast<int>(ExitCode::Ok);
  }
  auto refuse = [&](const Error &error) -> std::optional<S> {
    err << program.Info.Name << ": " << error.Message << '\n';
    return std::nullopt;
  };
  std::optional<S> settings = recoverFrom(
      [&]() -> Result<std::optional<S>> {
        Result<S> loaded = loadSettings(program, line.SettingsFile);
        if (!loaded)
          return loaded.error();
        return std::optional<S>(std::move(*loaded));
      },
      refuse);
  if (!settings)
    return static_cast<int>(ExitCode::BadSettings);
  if (line.Check) {
    out << line.SettingsFile << " is valid\n";
    return static_cast<int>(ExitCode::Ok);
  }
  initLogging(line.Log);
  ExitCode code = detail::runGuarded(program.Info.LogPart,
                                     [&] { return program.Run(*settings); });
  return static_cast<int>(code);
}

} // namespace greengagespar

#endif // GREENGAGESPAR_BASE_PROGRAM_H
