#include "greengagespar/base/program.h"

#include <CLI/CLI.hpp>
#include <ostream>

namespace greengagespar {

namespace {

constexpr const char *ExitCodeHelp =
    "Exit codes: 0 ended as asked, 1 failed at run time, 2 bad command line, "
    "3 bad settings, 4 could not bind an address or start.";

} // namespace

std::string_view programVersion() { return GREENGAGESPAR_VERSION; }

CommandLine parseCommandLine(const ProgramInfo &info, int argc,
                             const char *const *argv, std::ostream &out,
                             std::ostream &err) {
  CommandLine line;
  line.Log.Program = info.Name;
  std::string level = "info";
  std::string format = "text";
  CLI::App app(info.Description, info.Name);
  app.footer(ExitCodeHelp);
  app.set_version_flag("--version",
                       info.Name + " " + std::string(programVersion()));
  auto *settings = app.add_option("--settings", line.SettingsFile,
                                  "Settings file: JSON with comments");
  settings->type_name("FILE");
  app.add_flag("--check", line.Check, "Check the settings file and end")
      ->needs(settings);
  auto *print = app.add_flag("--print-settings", line.PrintSettings,
                             "Print default settings with comments and end");
  print->excludes(settings);
  app.add_option("--log-level", level, "Lowest level that is logged")
      ->check(CLI::IsMember({"debug", "info", "warning", "error"}))
      ->capture_default_str();
  app.add_option("--log-format", format, "Format of the log")
      ->check(CLI::IsMember({"text", "json"}))
      ->capture_default_str();
  try {
    app.parse(argc, argv);
    if (line.SettingsFile.empty() && !line.PrintSettings)
      throw CLI::RequiredError("--settings FILE or --print-settings");
  } catch (const CLI::ParseError &e) {
    bool ok = app.exit(e, out, err) == 0;
    line.Exit = ok ? ExitCode::Ok : ExitCode::BadCommandLine;
    return line;
  }
  line.Log.Level = logLevelByName(level).value_or(LogLevel::Info);
  line.Log.Format = logFormatByName(format).value_or(LogFormat::Text);
  return line;
}

ExitCode detail::runGuarded(Part part, const std::function<ExitCode()> &run) {
  try {
    return run();
  } catch (const std::exception &e) {
    logError(part, std::string("ended by an exception: ") + e.what());
    return ExitCode::RunFailed;
  }
}

} // namespace greengagespar
