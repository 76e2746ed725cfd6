#include "greengagespar/load/http_client.h"

#include "../http/broken_answers.h"
#include "../store/endless_server.h"
#include <boost/test/unit_test.hpp>
#include <optional>

using namespace greengagespar;
using namespace greengagespar::load;
using namespace std::chrono_literals;

namespace {

std::optional<load::HttpAnswer> answerOf(EndlessServer &server,
                                         const std::string &body = "") {
  load::HttpClient client(server.Loop.get(), server.At);
  std::optional<load::HttpAnswer> answer;
  client.send({"POST", "/", {}, body, 2s},
              [&](const load::HttpAnswer &it) { answer = it; });
  server.runUntil([&] { return answer.has_value(); }, 3s);
  return answer;
}

} // namespace

BOOST_AUTO_TEST_SUITE(HttpClients)

// Guards against a broken answer of an entry being counted as a whole one.
BOOST_AUTO_TEST_CASE(answer_withBrokenName_isBroken) {
  for (const BrokenAnswer &each : answersWithBrokenNames("X-A: b\r\n", "odd"))
    BOOST_TEST_CONTEXT(each.Name) {
      EndlessServer server(each.Bytes, "");
      auto answer = answerOf(server);
      BOOST_REQUIRE(answer.has_value());
      BOOST_TEST((answer->End == HttpEnd::Broken));
    }
}

BOOST_AUTO_TEST_CASE(answer_whoseStatusIsNone_isBroken) {
  for (const char *status : {"000", "099", "600", "999"})
    for (const char *framing : {"Content-Length: 3\r\n\r\nodd", "\r\nodd"})
      BOOST_TEST_CONTEXT(status << " " << framing) {
        EndlessServer server(
            std::string("HTTP/1.1 ") + status + " Odd\r\n" + framing, "");
        auto answer = answerOf(server);
        BOOST_REQUIRE(answer.has_value());
        BOOST_TEST((answer->End == HttpEnd::Broken));
        BOOST_TEST(answer->Status == 0);
        BOOST_TEST(answer->Body == "");
      }
}

BOOST_AUTO_TEST_CASE(answer_resetWhileRequestIsSent_isBroken) {
  for (auto delay : {0ms, 20ms}) {
    EndlessServer server("HTTP/1.1 200 OK\r\n\r\nhalf", "");
    server.Resets = true;
    server.EndDelay = delay;
    auto answer = answerOf(server, std::string(std::size_t{8} << 20, 'u'));
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST((answer->End == HttpEnd::Broken));
  }
}

// An answer without a length that ends in order is whole.
BOOST_AUTO_TEST_CASE(answer_withoutLengthEndedInOrder_isComplete) {
  EndlessServer server("HTTP/1.1 200 OK\r\nX-A: b\r\n\r\nwhole", "");
  auto answer = answerOf(server);
  BOOST_REQUIRE(answer.has_value());
  BOOST_TEST((answer->End == HttpEnd::Complete));
  BOOST_TEST(answer->Status == 200);
  BOOST_TEST(answer->Body == "whole");
  BOOST_TEST(headerValue(*answer, "x-a") == "b");
}

BOOST_AUTO_TEST_SUITE_END()
