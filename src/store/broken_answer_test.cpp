// Answers of a store in trouble, which are none.
#include "greengagespar/store/object_client.h"

#include "../http/broken_answers.h"
#include "endless_server.h"
#include <boost/test/unit_test.hpp>
#include <optional>

using namespace greengagespar;
using namespace std::chrono_literals;

namespace {

std::optional<HttpAnswer> put(EndlessServer &server, const std::string &body) {
  HttpPoolOptions options;
  options.Server = server.At;
  options.Header = "X-Timeline";
  HttpPool pool(server.Loop.get(), options);
  std::optional<HttpAnswer> answer;
  pool.send({HttpMethod::Put, "/a", body, 2s},
            [&](const HttpAnswer &it) { answer = it; });
  server.runUntil([&] { return answer.has_value(); }, 4s);
  return answer;
}

void checkHasUnknownOutcome(const std::optional<HttpAnswer> &answer) {
  BOOST_REQUIRE(answer.has_value());
  BOOST_TEST(answer->Status == 0);
  BOOST_TEST(answer->Sent);
  BOOST_TEST(answer->Body == "");
  BOOST_TEST(answer->Header == "");
  BOOST_TEST(answer->Failure != "");
}

} // namespace

BOOST_AUTO_TEST_SUITE(BrokenAnswers)

// Guards against an answer being believed in whose head or trailer the name of
// a field holds a blank or a control byte.
BOOST_AUTO_TEST_CASE(put_answeredWithBrokenName_hasUnknownOutcome) {
  for (const BrokenAnswer &each :
       answersWithBrokenNames("X-Timeline: 7\r\n", R"({"version":3})"))
    BOOST_TEST_CONTEXT(each.Name) {
      EndlessServer server(each.Bytes, "");
      checkHasUnknownOutcome(put(server, "{}"));
    }
}

// Guards against the part of an answer that came before a reset, while the
// object was still being sent, being believed.
BOOST_AUTO_TEST_CASE(put_resetWhileObjectIsSent_hasUnknownOutcome) {
  for (auto delay : {0ms, 20ms}) {
    EndlessServer server("HTTP/1.1 200 OK\r\n\r\n{\"version\":3}", "");
    server.Resets = true;
    server.EndDelay = delay;
    checkHasUnknownOutcome(put(server, std::string(std::size_t{8} << 20, ' ')));
  }
}

BOOST_AUTO_TEST_SUITE_END()
