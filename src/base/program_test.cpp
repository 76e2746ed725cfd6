#include "greengagespar/base/program.h"

#include <boost/filesystem.hpp>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <sstream>

using namespace greengagespar;

namespace {

struct Settings {
  HostId Name;
};

// Runs a small program in this process with its own settings file.
struct ProgramFixture {
  Program<Settings> Tested{
      {"tested", "A tested program.", Part::Entry},
      {{field("name", &Settings::Name, identifier<HostId>("a host"),
              Presence::Required, "Name.")}},
      {{"a"}},
      nullptr,
      [](const Settings &) { return ExitCode::CannotStart; }};
  std::string File = (boost::filesystem::temp_directory_path() /
                      boost::filesystem::unique_path())
                         .string();
  std::ostringstream Out;
  std::ostringstream Err;

  ~ProgramFixture() { boost::filesystem::remove(File); }

  void write(const std::string &text) { std::ofstream(File) << text; }

  int run(std::vector<const char *> args) {
    args.insert(args.begin(), "tested");
    return runProgram(Tested, static_cast<int>(args.size()), args.data(), Out,
                      Err);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ProgramSuite, ProgramFixture)

BOOST_AUTO_TEST_CASE(runProgram_badCommandLine_exits2) {
  BOOST_TEST(run({}) == 2);
  BOOST_TEST(run({"--no-such-option"}) == 2);
  BOOST_TEST(run({"--settings", "x", "--log-level", "loud"}) == 2);
  BOOST_TEST(run({"--check"}) == 2);
  BOOST_TEST(!Err.str().empty());
}

BOOST_AUTO_TEST_CASE(runProgram_helpAndVersion_exit0) {
  BOOST_TEST(run({"--version"}) == 0);
  BOOST_TEST(Out.str().starts_with("tested "));
  BOOST_TEST(run({"--help"}) == 0);
  BOOST_TEST(Out.str().find("Exit codes: 0") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(runProgram_badSettingsFile_exits3) {
  BOOST_TEST(run({"--settings", "/no/such/file"}) == 3);
  BOOST_TEST(run({"--settings", "/"}) == 3);
  write("");
  BOOST_TEST(run({"--settings", File.c_str()}) == 3);
  write(R"({"nmae": 1})");
  BOOST_TEST(run({"--check", "--settings", File.c_str()}) == 3);
  BOOST_TEST(Err.str().find("the nearest is \"name\"") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(runProgram_printedSettings_passCheck) {
  BOOST_TEST(run({"--print-settings"}) == 0);
  write(Out.str());
  BOOST_TEST(run({"--check", "--settings", File.c_str()}) == 0);
}

BOOST_AUTO_TEST_CASE(runProgram_goodSettings_returnsCodeOfRun) {
  write(R"({"name": "a"})");
  BOOST_TEST(run({"--settings", File.c_str()}) == 4);
  Tested.Run = [](const Settings &) -> ExitCode {
    throw std::runtime_error("fault");
  };
  BOOST_TEST(run({"--settings", File.c_str()}) == 1);
}

BOOST_AUTO_TEST_SUITE_END()
