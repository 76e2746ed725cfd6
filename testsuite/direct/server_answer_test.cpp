#include "entries_site.h"

#include <array>
#include <boost/test/unit_test.hpp>

using namespace greengagespar;
using namespace greengagespar::site;
using namespace std::chrono_literals;

namespace {

/// Servers of the service "ledger" that say in their answers what they want.
struct ServerAnswerFixture : EntriesFixture {
  FakeServer &addLedger(const std::string &fields) {
    return addServer("ledger", [fields](const HttpRequestMessage &it) {
      return FakeAnswer{signedAnswer(it, 200, "done", fields)};
    });
  }

  // Adds a server that turns each request away.
  FakeServer &addRefusing(const std::string &fields) {
    return addServer("ledger", [fields](const HttpRequestMessage &it) {
      return FakeAnswer{
          signedAnswer(it, 503, "", "X-Not-Executed: 1\r\n" + fields)};
    });
  }

  // Sends \p count requests via the entry and returns how many are served.
  int serve(int count) {
    int served = 0;
    for (int i = 0; i < count; ++i)
      served += sendAndWait("GET", "/status/1").Head.Status == 200 ? 1 : 0;
    return served;
  }

  // Sends requests until one has reached \p server.
  void reach(const FakeServer &server) {
    for (int i = 0; i < 50 && server.Requests.empty(); ++i)
      serve(1);
    BOOST_REQUIRE(!server.Requests.empty());
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ServerAnswers, ServerAnswerFixture)

// Guards against work for a server that says in its answers that it leaves,
// while the store says nothing of it.
BOOST_AUTO_TEST_CASE(server_leavingByItsAnswer_getsNoFurtherRequests) {
  FakeServer &leaving = addLedger("Server-Leaving: 1\r\n");
  addLedger("");
  startEntry();
  Objects.IsUnavailable = true;
  reach(leaving);
  auto before = leaving.Requests.size();
  BOOST_TEST(serve(30) == 30);
  BOOST_TEST(leaving.Requests.size() == before);
}

BOOST_AUTO_TEST_CASE(server_withOtherValueOfLeaving_isUsed) {
  FakeServer &server = addLedger("Server-Leaving: 0\r\n");
  startEntry();
  BOOST_TEST(serve(5) == 5);
  BOOST_TEST(server.Requests.size() == 5);
}

BOOST_AUTO_TEST_CASE(server_startedAgainAfterLeaving_isUsed) {
  FakeServer &server = addLedger("Server-Leaving: 1\r\n");
  startEntry();
  BOOST_TEST(serve(2) == 1);
  server.Respond = [](const HttpRequestMessage &it) {
    return FakeAnswer{signedAnswer(it, 200, "done")};
  };
  server.StartedMs = 7;
  Objects.put("servers", server.id(), server.entry("ledger"));
  runFor(300ms);
  BOOST_TEST(serve(5) == 5);
}

BOOST_AUTO_TEST_CASE(server_leavingByAnswerToAnotherEntry_getsNoRequests) {
  FakeServer &leaving = addLedger("Server-Leaving: 1\r\n");
  addLedger("");
  startEntries(2);
  Objects.IsUnavailable = true;
  Settings.Listen = Entries[0].Settings.Listen;
  reach(leaving);
  runFor(400ms);
  auto before = leaving.Requests.size();
  Settings.Listen = Entries[1].Settings.Listen;
  BOOST_TEST(serve(20) == 20);
  BOOST_TEST(leaving.Requests.size() == before);
}

// Guards against requests to a server that has turned one away and named the
// time for which it wants none.
BOOST_AUTO_TEST_CASE(server_thatNamesAPause_getsNothingUntilItsEnd) {
  FakeServer &pausing = addRefusing("Retry-After: 1.5\r\n");
  addLedger("");
  startEntry();
  reach(pausing);
  auto at = Clock::now();
  auto before = pausing.Requests.size();
  while (Clock::now() < at + 1400ms)
    BOOST_TEST(serve(1) == 1);
  BOOST_TEST(pausing.Requests.size() == before);
  pausing.Respond = [](const HttpRequestMessage &it) {
    return FakeAnswer{signedAnswer(it, 200, "done")};
  };
  runFor(200ms);
  serve(60);
  BOOST_TEST(pausing.Requests.size() > before);
}

// A shorter pause, and an answer to a request that was sent before, do not end
// a longer one.
BOOST_AUTO_TEST_CASE(server_thatNamesAShorterPauseLater_keepsTheLongerOne) {
  FakeServer &pausing = addServer("ledger", [](const HttpRequestMessage &) {
    return FakeAnswer{.SendsNothing = true};
  });
  startEntry();
  auto first = send("GET", "/status/1");
  auto second = send("GET", "/status/1");
  auto third = send("GET", "/status/1");
  BOOST_REQUIRE(runUntil([&] { return pausing.Requests.size() == 3; }));
  int n = 0;
  pausing.answerPending([&](const HttpRequestMessage &it) {
    static const std::array<const char *, 2> pauses = {"2", "0.1"};
    if (n == 2)
      return FakeAnswer{signedAnswer(it, 200, "done")};
    return FakeAnswer{signedAnswer(it, 503, "",
                                   std::string("X-Not-Executed: 1\r\n"
                                               "Retry-After: ") +
                                       pauses.at(n++) + "\r\n")};
  });
  runFor(400ms);
  BOOST_TEST(serve(3) == 0);
  BOOST_TEST(pausing.Requests.size() == 3);
}

// Guards against callers that wait for servers of which none takes requests.
BOOST_AUTO_TEST_CASE(request_whileAllServersPause_isRefusedWithTheLeastTime) {
  addRefusing("Retry-After: 3\r\n");
  addRefusing("Retry-After: 2\r\n");
  startEntry();
  for (int i = 0; i < 4; ++i)
    serve(1);
  auto at = Clock::now();
  Reply response = sendAndWait("GET", "/status/1");
  BOOST_TEST(response.Head.Status == 503);
  BOOST_TEST((Clock::now() - at < 100ms));
  const std::string *after = findField(response.Head.Fields, "Retry-After");
  BOOST_REQUIRE(after);
  BOOST_TEST(std::stod(*after) > 1);
  BOOST_TEST(std::stod(*after) <= 2);
}

BOOST_AUTO_TEST_SUITE_END()
