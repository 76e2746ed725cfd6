#include "greengagespar/store/object_client.h"

#include "endless_server.h"
#include <boost/test/unit_test.hpp>
#include <optional>

using namespace greengagespar;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(OddStatuses)

// Guards against a store in trouble whose answer, with a status that is none,
// is taken for the result of the call.
BOOST_AUTO_TEST_CASE(put_answeredWithOddStatus_hasUnknownOutcome) {
  for (const char *status : {"000", "099", "600", "999"})
    for (const char *framing : {"Content-Length: 2\r\n\r\n{}", "\r\n{}"})
      BOOST_TEST_CONTEXT(status << " " << framing) {
        EndlessServer server(
            std::string("HTTP/1.1 ") + status + " Odd\r\n" + framing, "");
        HttpPoolOptions options;
        options.Server = server.At;
        HttpPool pool(server.Loop.get(), options);
        std::optional<HttpAnswer> answer;
        HttpRequest request{HttpMethod::Put, "/a", "{}", 2s};
        pool.send(std::move(request),
                  [&](const HttpAnswer &it) { answer = it; });
        BOOST_REQUIRE(server.runUntil([&] { return answer.has_value(); }, 4s));
        BOOST_TEST(answer->Status == 0);
        BOOST_TEST(answer->Sent);
        BOOST_TEST(answer->Failure != "");
      }
}

BOOST_AUTO_TEST_SUITE_END()
