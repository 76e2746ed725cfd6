// Streams whose servers send nothing for longer than an exchange waits before
// it tries another server.
#include "site.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace greengagespar;
using namespace greengagespar::site;
using namespace std::chrono_literals;

namespace {

// Longer than the exchange waits for data, and shorter than callers do.
constexpr auto Pause = 1900ms;
constexpr int Streams = 4;

/// An entry before servers that begin each stream, pause, and go on.
struct StreamPauseFixture : SiteFixture {
  std::vector<std::unique_ptr<Call>> Calls;
  Clock::time_point BegunAt;
  bool IsFull = false; ///< Servers refuse what comes from now on.

  StreamPauseFixture() {
    for (int i = 0; i < 2; ++i)
      addServer("helper",
                [this](const HttpRequestMessage &it) { return begin(it); });
  }

  FakeAnswer begin(const HttpRequestMessage &request) const {
    if (IsFull)
      return {signedAnswer(request, 503, "", "X-Not-Executed: 1\r\n")};
    return {.Bytes =
                streamHead(request) + chunk(eventText(1)) + chunk(eventText(2)),
            .IsPartial = true};
  }

  // Starts the streams and lets their servers pause.
  void pause() {
    startEntry();
    for (int i = 0; i < Streams; ++i)
      Calls.push_back(send("POST", "/draft/" + std::to_string(i)));
    BOOST_REQUIRE(runUntil([&] { return arrived() == Streams; }));
    BegunAt = Clock::now();
    IsFull = true;
    while (Clock::now() < BegunAt + Pause)
      runFor(5ms);
  }

  std::size_t arrived() const {
    std::size_t n = 0;
    for (const auto &it : Servers)
      n += it->Requests.size();
    return n;
  }

  void goOn() {
    for (auto &server : Servers)
      server->answerPending([](const HttpRequestMessage &) {
        return FakeAnswer{chunk(eventText(3)) + "0\r\n\r\n"};
      });
    runFor(300ms);
  }

  std::ptrdiff_t completed() const {
    return std::ranges::count_if(Calls, [](const auto &it) {
      return it->Response.IsDone && it->Response.End == ExchangeEnd::Complete &&
             it->Response.Body.find("id: 3\n") != std::string::npos;
    });
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StreamPauses, StreamPauseFixture)

// Guards against streams that are cut because their servers pause, and there
// are no retries left to try others.
BOOST_AUTO_TEST_CASE(streams_pausedWithoutRetries_areNotCut) {
  Settings.ExtraRetries = 0;
  pause();
  goOn();
  BOOST_TEST(completed() == Streams);
}

// The same where no server takes the stream that is to be resumed.
BOOST_AUTO_TEST_CASE(streams_pausedWhileOtherServersAreFull_areNotCut) {
  pause();
  goOn();
  BOOST_TEST(completed() == Streams);
}

BOOST_AUTO_TEST_SUITE_END()
