// Servers in trouble whose answers are none: in the head or the trailer, the
// name of a field is no token.
#include "../../src/http/broken_answers.h"
#include "greengagespar/direct/rank_server_client.h"
#include "platform/rank_dialect.h"
#include "site.h"

#include <boost/test/unit_test.hpp>

using namespace greengagespar;
using namespace greengagespar::site;
using namespace std::chrono_literals;

namespace {

/// Two servers, of which the one that is asked first gives a broken answer.
struct BrokenAnswerFixture : SiteFixture {
  BrokenAnswer Broken;
  int Runs = 0;

  void addServers(const std::string &service, const FakeServer::Script &sound) {
    FakeServer::Script script = [=, this](const HttpRequestMessage &it) {
      // Requests for the next broken answer may go to either server.
      if (Runs++ > 0)
        return sound(it);
      std::string bytes = Broken.Bytes;
      if (auto at = bytes.find("ID"); at != std::string::npos)
        bytes.replace(at, 2, *findField(it.Head.Fields, "X-Request-Id"));
      return FakeAnswer{.Bytes = bytes, .Closes = true};
    };
    addServer(service, script);
    addServer(service, script);
    startEntry();
  }

  // Sends a request for each broken answer and calls \p check with the reply.
  // \p fields: more lines of the head of the answers.
  template <class Check>
  void forEachBrokenAnswer(const std::string &method, const std::string &target,
                           const std::string &fields, const std::string &body,
                           Check check) {
    for (const BrokenAnswer &each : answersWithBrokenNames(
             "X-Request-Id: ID\r\nX-Server-Signature: sig\r\n" + fields, body))
      BOOST_TEST_CONTEXT(each.Name) {
        // Retries are a share of the requests.
        constexpr int soundRequests = 6;
        for (int i = 0; i < soundRequests; ++i) {
          Runs = 1;
          sendAndWait(method, target);
        }
        Broken = each;
        Runs = 0;
        check(sendAndWait(method, target));
      }
  }
};

FakeAnswer wholeAnswer(const HttpRequestMessage &request) {
  return {signedAnswer(request, 200, "whole")};
}

/// A rank's server that gives one answer to all calls and ends the connection.
struct BrokenRankFixture : SiteFixture {
  FakeAnswer Answer;
  FakeServer Server{Loop.base(), "rank",
                    [this](const HttpRequestMessage &) { return Answer; }};
  RankServerClient Client{Loop.base(), Server.at(), platformRankDialect()};

  bool hasState() {
    std::optional<bool> out;
    Client.readState([&](const auto &it) { out = it.has_value(); });
    BOOST_REQUIRE(runUntil([&] { return out.has_value(); }));
    return *out;
  }

  bool isAccepted() {
    std::optional<bool> out;
    Client.sendOrder({ServerMapOrder::Prepare, 1, {3}, {9}}, {},
                     [&](bool it) { out = it; });
    BOOST_REQUIRE(runUntil([&] { return out.has_value(); }));
    return *out;
  }
};

const std::string StateBody =
    R"({"group":{"name":"g","epoch":1,"rank":1,"state":"open"},"size":3,)"
    R"("waiting":0,"running":0,"born":1,"step":7,"map":0,"armed":null,)"
    R"("held":null,"sequence":1,"prepared":2})";

} // namespace

BOOST_FIXTURE_TEST_SUITE(BrokenAnswers, BrokenAnswerFixture)

BOOST_AUTO_TEST_CASE(idempotentRequest_answeredWithBrokenName_isSentAgain) {
  addServers("ledger", wholeAnswer);
  forEachBrokenAnswer("GET", "/status/1", "", "odd", [&](const Reply &reply) {
    BOOST_TEST(reply.Head.Status == 200);
    BOOST_TEST(reply.Body == "whole");
    BOOST_TEST(Runs == 2);
  });
}

// The answer proves nothing, whatever else its head says.
BOOST_AUTO_TEST_CASE(booking_answeredWithBrokenName_failsAndIsNotSentAgain) {
  addServers("ledger", wholeAnswer);
  for (const char *fields : {"", "X-Not-Executed: 1\r\n"})
    forEachBrokenAnswer(
        "POST", "/book/1", fields, "odd", [&](const Reply &reply) {
          BOOST_TEST(reply.Head.Status == 502);
          BOOST_TEST(!findField(reply.Head.Fields, "X-Server-Signature"));
          BOOST_TEST(reply.Body == "");
          BOOST_TEST(Runs == 1);
        });
}

BOOST_AUTO_TEST_CASE(stream_answeredWithBrokenName_isSentAgain) {
  addServers("helper", [](const HttpRequestMessage &it) {
    bool isResumed = findField(it.Head.Fields, "Last-Event-Id") != nullptr;
    return FakeAnswer{streamHead(it) +
                      chunk((isResumed ? "" : eventText(1)) + eventText(2)) +
                      "0\r\n\r\n"};
  });
  forEachBrokenAnswer("POST", "/draft/1", "Content-Type: text/event-stream\r\n",
                      eventText(1), [&](const Reply &reply) {
                        BOOST_TEST((reply.End == ExchangeEnd::Complete));
                        std::string body = reply.Body;
                        std::erase(body, '\r');
                        BOOST_TEST(body == eventText(1) + eventText(2));
                        BOOST_TEST(Runs == 2);
                      });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(BrokenRankAnswers, BrokenRankFixture)

// Guards against a broken answer of a rank's server being taken for its state,
// or for the acceptance of an order.
BOOST_AUTO_TEST_CASE(call_answeredWithBrokenName_hasNoAnswer) {
  for (const BrokenAnswer &each : answersWithBrokenNames("", StateBody))
    BOOST_TEST_CONTEXT(each.Name) {
      Answer = {.Bytes = each.Bytes, .Closes = true};
      BOOST_TEST(!hasState());
      BOOST_TEST(!isAccepted());
    }
}

BOOST_AUTO_TEST_CASE(call_answeredWithOddStatus_hasNoAnswer) {
  for (const char *status : {"000", "099", "600", "999"})
    BOOST_TEST_CONTEXT(status) {
      Answer = {.Bytes = std::string("HTTP/1.1 ") + status + " Odd\r\n\r\n" +
                         StateBody,
                .Closes = true};
      BOOST_TEST(!hasState());
      BOOST_TEST(!isAccepted());
    }
}

BOOST_AUTO_TEST_CASE(call_answeredInOrderWithoutLength_hasItsAnswer) {
  Answer = {.Bytes = "HTTP/1.1 200 OK\r\n\r\n" + StateBody, .Closes = true};
  BOOST_TEST(hasState());
  BOOST_TEST(isAccepted());
}

BOOST_AUTO_TEST_SUITE_END()
