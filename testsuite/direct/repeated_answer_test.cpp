#include "site.h"

#include <boost/test/unit_test.hpp>

using namespace greengagespar;
using namespace greengagespar::site;
using namespace std::chrono_literals;

// Real faults that are listed in KNOWN-RED.txt.
BOOST_FIXTURE_TEST_SUITE(RepeatedAnswers, SiteFixture)

// Guards against a HEAD request that fails because a repeated answer with a
// body comes first on a kept connection.
BOOST_AUTO_TEST_CASE(head_behindARepeatedAnswerWithABody_getsItsAnswer) {
  Settings.ExtraRetries = 0;
  Settings.RetryShare = 0;
  const std::string body = "0123456789";
  std::string first;
  FakeServer *server = nullptr;
  server = &addServer("ledger", [&](const HttpRequestMessage &it) {
    std::string answer = signedAnswer(it, 200, body);
    if (it.Head.Method != "HEAD")
      return FakeAnswer{first = answer};
    server->sendMoreOnFirst(first);
    answer.resize(answer.size() - body.size());
    return FakeAnswer{answer};
  });
  startEntry();
  BOOST_TEST(sendAndWait("GET", "/status/1").Head.Status == 200);
  BOOST_TEST(sendAndWait("HEAD", "/status/1").Head.Status == 200);
}

// Guards against evidence of a crash from a whole answer that ends with its
// connection: the entry then opens another one to see whether the server ended.
BOOST_AUTO_TEST_CASE(booking_refusedWithoutProofOrLength_isNoBrokenConnection) {
  FakeServer &server = addServer("ledger", [](const HttpRequestMessage &it) {
    return FakeAnswer{.Bytes = "HTTP/1.1 503 X\r\nX-Request-Id: " +
                               *findField(it.Head.Fields, "X-Request-Id") +
                               "\r\nX-Server-Signature: sig\r\n\r\nbusy",
                      .Closes = true};
  });
  startEntry();
  BOOST_TEST(sendAndWait("POST", "/book/1").Head.Status == 502);
  runFor(300ms);
  BOOST_TEST(server.Connections == 1);
}

BOOST_AUTO_TEST_SUITE_END()
