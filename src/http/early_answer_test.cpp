// Answers that come, and end, while the request is still being sent.
#include "greengagespar/http/client.h"

#include "../store/endless_server.h"
#include <boost/test/unit_test.hpp>
#include <optional>

using namespace greengagespar;
using namespace std::chrono_literals;

namespace {

// More than the kernel's buffers hold.
constexpr std::size_t UploadBytes = std::size_t{8} << 20;

const std::string Upload =
    "POST /book HTTP/1.1\r\nContent-Length: " + std::to_string(UploadBytes) +
    "\r\n\r\n" + std::string(UploadBytes, 'u');

struct EndCase {
  const char *Name;
  const char *Answer;
  bool Resets;
  ExchangeEnd End;
};

constexpr auto Complete = ExchangeEnd::Complete;
constexpr auto Broken = ExchangeEnd::Broken;

const EndCase EndCases[] = {
    {"no length, reset", "HTTP/1.1 200 OK\r\n\r\nhalf", true, Broken},
    {"no length, no body, reset", "HTTP/1.1 200 OK\r\n\r\n", true, Broken},
    {"HTTP/1.0, reset", "HTTP/1.0 200 OK\r\n\r\nhalf", true, Broken},
    {"short of the length, reset",
     "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", true, Broken},
    {"no last chunk, reset",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", true,
     Broken},
    {"in its head, reset", "HTTP/1.1 200 OK\r\nX-Mo", true, Broken},
    {"no length, ended in order", "HTTP/1.1 200 OK\r\n\r\nwhole", false,
     Complete},
    {"HTTP/1.0, ended in order", "HTTP/1.0 200 OK\r\n\r\nwhole", false,
     Complete},
};

} // namespace

BOOST_AUTO_TEST_SUITE(EarlyAnswers)

// Guards against the part of an answer that came before a reset being taken for
// a whole answer: the error of the reset goes to the write that is in progress,
// and the read then sees an end.
BOOST_AUTO_TEST_CASE(answer_endedWhileRequestIsSent_isCompleteOnlyIfInOrder) {
  for (const EndCase &each : EndCases)
    for (auto delay : {0ms, 1ms, 20ms})
      BOOST_TEST_CONTEXT(each.Name << ", after " << delay.count() << " ms") {
        EndlessServer server(each.Answer, "");
        server.Resets = each.Resets;
        server.EndDelay = delay;
        HttpClientConnection connection(server.Loop.get(), server.At, 1000ms);
        std::optional<ExchangeEnd> end;
        std::string body;
        ExchangeEvents events;
        events.OnHead = [](const HttpHead &) { return true; };
        events.OnBody = [&](std::string_view piece) { body += piece; };
        events.OnEnd = [&](ExchangeEnd how, std::string_view) { end = how; };
        connection.send(Upload, false, std::move(events));
        BOOST_REQUIRE(server.runUntil([&] { return end.has_value(); }, 2s));
        BOOST_TEST((*end == each.End));
        if (*end == Complete)
          BOOST_TEST(body == "whole");
        BOOST_TEST(!connection.isReusable());
      }
}

BOOST_AUTO_TEST_SUITE_END()
