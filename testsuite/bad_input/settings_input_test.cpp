#include "cluster.h"

#include <boost/test/unit_test.hpp>

using namespace greengagespar::harness;

namespace {

constexpr int BadSettings = 3;
constexpr std::size_t TenMb = 10UL << 20;

// A message names what is wrong and doesn't repeat the file.
constexpr std::size_t MaxMessageBytes = 16UL << 10;

struct File {
  const char *What;
  std::string Text;
  const char *Message; ///< Part of the program's error message.
};

const File Files[] = {
    {"empty", "", "empty document"},
    {"blank", " \n\t", "empty document"},
    {"10 MB of space", std::string(TenMb, ' '), "more than 1 MiB"},
    {"10 MB of JSON", "{\"name\":\"" + std::string(TenMb, 'a') + "\"}",
     "more than 1 MiB"},
    {"binary",
     std::string("\x7f"
                 "ELF\0\x01\xff\xfe",
                 8),
     "byte"},
    {"broken", "{\"name\":", "line 1, column"},
    {"deep", std::string(100000, '['), "levels of nesting"},
    {"list", "[]", "object"},
    {"unknown key", "{\"listn\":1}", "listn"},
    {"wrong type", "{\"name\":{}}", "name"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(SettingsInput)

BOOST_AUTO_TEST_CASE(file_invalid_exitsWithCodeAndMessage) {
  TempDir dir;
  auto file = dir.path() / "settings.json";
  for (const char *program : {"greengagespar-entry", "greengagespar-endpoint"})
    for (const File &it : Files)
      BOOST_TEST_CONTEXT(program << ' ' << it.What) {
        writeFile(file, it.Text);
        Process process(
            {program, {"--settings", file.string()}, dir.path() / "out"});
        BOOST_TEST(process.wait().value_or(-1) == BadSettings);
        std::string text = process.errors();
        BOOST_TEST(text.find(it.Message) != std::string::npos,
                   text.substr(0, 400));
        BOOST_TEST(text.size() < MaxMessageBytes);
      }
}

BOOST_AUTO_TEST_SUITE_END()
