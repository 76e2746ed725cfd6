#include "greengagespar/store/prefix_watch.h"

#include "scripted_server.h"
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

using namespace greengagespar;
using namespace std::chrono_literals;

namespace {

ScriptedAnswer listing(int revision) {
  return {200, R"({"revision":)" + std::to_string(revision) +
                   R"(,"objects":[{"path":"/p/a","version":1,"value":1}]})"};
}

ScriptedAnswer change(int revision) {
  return {200, R"({"revision":)" + std::to_string(revision) +
                   R"(,"objects":[],"deleted":["/p/a"]})"};
}

/// Answers requests one by one from a script, then repeats its last answer.
struct WatchFixture {
  ScriptedServer Server;
  ObjectClient Client{Server.Loop.get(),
                      {.Platform = Server.At, .RequestTimeout = 100ms}};
  std::vector<ScriptedAnswer> Script;
  std::vector<PrefixChange> Changes;
  int Failures = 0;
  PrefixWatch Watch{Server.Loop.get(),
                    Client,
                    {.Prefix = "/p/",
                     .Wait = 50ms,
                     .Pause = 1ms,
                     .Grace = {.Min = 50ms, .Max = 200ms},
                     .Retry = {.Base = 1ms, .Cap = 4ms}},
                    1,
                    [this](const PrefixChange &c) { Changes.push_back(c); },
                    [this](const Error &) { ++Failures; }};

  WatchFixture() {
    Server.Answer = [this](auto &) {
      return Script.at(std::min(Server.Requests.size(), Script.size()) - 1);
    };
  }
  void runScript() {
    Watch.start();
    Server.runUntil([&] {
      return Server.Requests.size() >= Script.size() && !Changes.empty() &&
             Changes.size() + Failures >= Script.size();
    });
  }
  bool lists(std::size_t i) const {
    return Server.Requests.at(i).Target.starts_with("/v1/list");
  }
  bool watchesAfter(std::size_t i, const std::string &revision) const {
    return Server.Requests.at(i).Target.find("after=" + revision + "&") !=
           std::string::npos;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(WatchedPrefix, WatchFixture)

BOOST_AUTO_TEST_CASE(watch_changes_areReportedInOrder) {
  Script = {listing(5), change(6), change(8)};
  runScript();
  BOOST_TEST(lists(0));
  BOOST_TEST(Changes.at(0).IsSnapshot);
  BOOST_TEST(watchesAfter(1, "5"));
  BOOST_TEST(watchesAfter(2, "6"));
  BOOST_TEST(Changes.at(2).Revision.Value == 8);
}

BOOST_AUTO_TEST_CASE(watch_outageAndTimeout_continueAfterLastRevision) {
  Script = {listing(5), {503, ""}, {0, ""}, {-1, ""}, change(7)};
  runScript();
  BOOST_TEST(Failures == 3);
  BOOST_TEST(watchesAfter(4, "5"));
  BOOST_TEST(Changes.back().Revision.Value == 7);
}

// The platform's answers become slow (5 s), then fast again. The grace must
// follow, so that the watch soon detects an unresponsive connection again.
BOOST_AUTO_TEST_CASE(grace_afterLostAndLateAnswers_staysInBounds) {
  const GraceOptions options{.Min = 1500ms, .Max = 8000ms};
  auto grace = options.Min;
  int lost = 0;
  while (grace < 5000ms) {
    grace = graceAfterLoss(grace, options);
    ++lost;
  }
  BOOST_TEST(lost == 2);
  BOOST_TEST((graceAfterAnswer(5000ms, options) == options.Max));
  BOOST_TEST((graceAfterAnswer(10ms, options) == options.Min));
  BOOST_TEST((graceAfterAnswer(-900ms, options) == options.Min));
  BOOST_TEST((graceAfterLoss(options.Max, options) == options.Max));
}

BOOST_AUTO_TEST_CASE(watch_revisionTooOld_listsAgain) {
  Script = {listing(5), {410, ""}, listing(30)};
  Watch.start();
  Server.runUntil([&] { return Changes.size() == 2; });
  BOOST_TEST(lists(2));
  BOOST_TEST(Changes.at(1).IsSnapshot);
}

BOOST_AUTO_TEST_CASE(listAgain_staleRead_isNotReported) {
  Script = {listing(5), change(9), listing(6), listing(10)};
  Watch.start();
  Server.runUntil([&] { return Changes.size() == 2; });
  Watch.listAgain();
  Server.runUntil([&] { return Changes.size() == 3; });
  BOOST_TEST(Failures == 1);
  BOOST_TEST(Changes.at(2).Revision.Value == 10);
}

BOOST_AUTO_TEST_SUITE_END()
