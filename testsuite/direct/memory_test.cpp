#include "../harness/process.h"
#include "site.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fcntl.h>
#include <fstream>
#include <linux/close_range.h>
#include <set>
#include <unistd.h>

using namespace greengagespar;
using namespace greengagespar::site;
using namespace std::chrono_literals;

namespace json = boost::json;

namespace {

constexpr std::size_t Megabyte = std::size_t{1024} * 1024;
constexpr std::size_t LargestBody = 4 * Megabyte;
constexpr int MemoryMegabytes = 260;
constexpr int FirstOwnFile = 3;

/// A site with one entry in a process of its own.
struct MemoryFixture : SiteFixture {
  harness::TempDir Folder;
  harness::Process Process;

  MemoryFixture() {
    json::object config = configuration(1);
    config["limits"].as_object()["maxBodyBytes"] = LargestBody;
    config["limits"].as_object()["idleTimeoutMs"] = 15000;
    for (json::value &it : config["routes"].as_array())
      it.as_object()["timeoutMs"] = 20000;
    Objects.put("config", "main", config);
  }

  void startProcess() {
    json::object settings{{"name", "entry-1"},
                          {"data_centre", "z"},
                          {"listen", Settings.Listen.Value},
                          {"ready", Settings.Ready.Value},
                          {"directory", Settings.Directory.Value},
                          {"link", Settings.Link.Value},
                          {"store", Objects.at().Value},
                          {"memory_mb", MemoryMegabytes}};
    auto file = Folder.path() / "entry.json";
    harness::writeFile(file, json::serialize(settings));
    harness::Command command;
    command.Program = "greengagespar-entry";
    command.Args = {"direct", "--settings", file.string()};
    command.OutputBase = Folder.path() / "entry";
    BOOST_REQUIRE(close_range(FirstOwnFile, ~0U, CLOSE_RANGE_CLOEXEC) == 0);
    Process = harness::Process(command);
    BOOST_REQUIRE(runUntil([&] {
      return getFrom(Settings.Ready, "/-/ready").Head.Status == 200;
    }));
  }

  // Returns the most memory that the process has had in use.
  std::size_t peakMegabytes() {
    std::ifstream in("/proc/" + std::to_string(Process.pid()) + "/status");
    for (std::string line; std::getline(in, line);)
      if (line.starts_with("VmHWM:"))
        return std::strtoul(line.c_str() + sizeof "VmHWM:" - 1, nullptr, 10) /
               1024;
    return 0;
  }

  // Returns the value of the metric \p name of the entry; 0: it has none.
  double gauge(const std::string &name) {
    std::string text = getFrom(Settings.Ready, "/metrics").Body;
    std::size_t at = text.find("\n" + name + " ");
    return at == std::string::npos
               ? 0
               : std::strtod(text.c_str() + at + name.size() + 2, nullptr);
  }

  // Runs the loop for up to \p time, until all of \p calls have ended.
  void waitFor(const std::vector<std::unique_ptr<Call>> &calls,
               std::chrono::seconds time) {
    auto isDone = [](const auto &it) { return it->Response.IsDone; };
    for (auto end = Clock::now() + time;
         Clock::now() < end && !std::ranges::all_of(calls, isDone);)
      runFor(5ms);
  }
};

std::ptrdiff_t countStatus(const std::vector<std::unique_ptr<Call>> &calls,
                           int status) {
  return std::ranges::count_if(calls, [&](const auto &it) {
    return it->Response.Head.Status == status;
  });
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(Memory, MemoryFixture)

// The load: many callers send the largest body at once, to servers that take
// seconds for each. Streams of another service must not notice.
BOOST_AUTO_TEST_CASE(bodies_manyLargeAtOnce_areBoundedAndSmallOnesServed) {
  constexpr int large = 200;
  constexpr int small = 100;
  constexpr int slowServers = 20;
  std::set<std::string> ran;
  for (int i = 0; i < slowServers; ++i)
    addServer("ledger", [&](const HttpRequestMessage &it) {
      ran.insert(*findField(it.Head.Fields, "X-Request-Id"));
      FakeAnswer answer;
      answer.SendsNothing = true;
      return answer;
    });
  addServer("helper", [](const HttpRequestMessage &it) {
    return FakeAnswer{streamHead(it) + chunk(eventText(1)) +
                      chunk(eventText(2)) + "0\r\n\r\n"};
  });
  startProcess();
  std::string body(LargestBody, 'x');
  std::vector<std::unique_ptr<Call>> largeCalls;
  std::vector<std::unique_ptr<Call>> smallCalls;
  for (int i = 0; i < large; ++i) {
    largeCalls.push_back(send("POST", "/book/1", "X-Api-Key: k1\r\n", body));
    runFor(5ms);
    if (i % (large / small) == 0)
      smallCalls.push_back(
          send("POST", "/draft/1", "X-Api-Key: k1\r\n", "small"));
  }
  waitFor(smallCalls, 10s);
  BOOST_TEST(countStatus(smallCalls, 200) == small);
  // By now the largest number of bodies is held.
  runFor(2s);
  for (auto &it : Servers)
    it->answerPending([](const HttpRequestMessage &request) {
      return FakeAnswer{signedAnswer(request, 200, "done")};
    });
  waitFor(largeCalls, 15s);
  auto served = countStatus(largeCalls, 200);
  auto refused = countStatus(largeCalls, 503);
  BOOST_TEST_MESSAGE("served " << served << ", refused " << refused
                               << ", peak memory " << peakMegabytes() << " MB");
  BOOST_TEST(served > 0);
  BOOST_TEST(served + refused == large);
  BOOST_TEST(peakMegabytes() < MemoryMegabytes);
  for (const auto &it : largeCalls) {
    if (it->Response.Head.Status != 503)
      continue;
    const HttpFields &fields = it->Response.Head.Fields;
    BOOST_TEST(findField(fields, "Retry-After"));
    const std::string *id = findField(fields, "X-Request-Id");
    BOOST_REQUIRE(id);
    BOOST_TEST(!ran.contains(*id));
  }
}

// A body that could never be kept is refused before a byte of it has come, also
// where the operator allows bodies of any size.
BOOST_AUTO_TEST_CASE(body_largerThanAllMemory_isRefusedFromItsHead) {
  json::object config = configuration(2);
  config["limits"].as_object()["maxBodyBytes"] = 1e15;
  Objects.put("config", "main", config);
  startProcess();
  Reply reply = sendAndWait(
      "POST", "/book/1", "X-Api-Key: k1\r\nContent-Length: 900000000000\r\n");
  BOOST_TEST(reply.Head.Status == 413);
  BOOST_TEST(!findField(reply.Head.Fields, "Retry-After"));
  BOOST_TEST(findField(reply.Head.Fields, "X-Request-Id"));
}

// The load: a caller takes nothing of a long stream for a while. Without a
// pause in reading its server, the entry would hold the stream and give the
// caller up.
BOOST_AUTO_TEST_CASE(stream_callerReadsLate_isHeldBackAndGetsWhole) {
  constexpr int events = 2000;
  constexpr std::size_t eventBytes = 4000;
  addServer("helper", [](const HttpRequestMessage &it) {
    FakeAnswer answer{streamHead(it)};
    for (int i = 1; i <= events; ++i)
      answer.Bytes += chunk("id: " + std::to_string(i) +
                            "\ndata: " + std::string(eventBytes, 'x') + "\n\n");
    answer.Bytes += "0\r\n\r\n";
    return answer;
  });
  startProcess();
  auto call = send("POST", "/draft/1");
  BOOST_REQUIRE(runUntil([&] { return !call->Response.Body.empty(); }));
  call->Connection->pauseReading();
  runFor(1s);
  BOOST_TEST(gauge("greengagespar_unsent_bytes") > 0);
  BOOST_TEST(gauge("greengagespar_unsent_bytes") < Megabyte / 2);
  BOOST_TEST(gauge("greengagespar_slow_callers") == 1);
  call->Connection->resumeReading();
  BOOST_TEST(runUntil([&] { return call->Response.IsDone; }));
  BOOST_TEST((call->Response.End == ExchangeEnd::Complete));
  BOOST_TEST(call->Response.Body.size() > events * eventBytes);
  BOOST_TEST(gauge("greengagespar_unsent_bytes") == 0);
}

BOOST_AUTO_TEST_SUITE_END()
