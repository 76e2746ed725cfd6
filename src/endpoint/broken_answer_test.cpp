// Answers of a server in trouble, which are none.
#include "upstream.h"

#include "../http/broken_answers.h"
#include "../store/endless_server.h"
#include <boost/test/unit_test.hpp>
#include <optional>

using namespace greengagespar;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t MaxAnswerBytes = std::size_t{1} << 20;

/// What came of one request.
struct Received {
  std::optional<UpstreamResult> Result;
  std::string Data; ///< Passed on before the end.
};

Received send(EndlessServer &server, const std::string &body, bool isStream) {
  Upstream upstream(server.Loop.get(), server.At, MaxAnswerBytes);
  Received received;
  UpstreamEvents events;
  if (isStream)
    events.OnData = [&](std::string_view piece) { received.Data += piece; };
  events.OnDone = [&](const UpstreamResult &it) { received.Result = it; };
  upstream.start({"POST", "/", {}, {}, body, 2s}, std::move(events));
  server.runUntil([&] { return received.Result.has_value(); }, 3s);
  return received;
}

bool isInTrailer(const BrokenAnswer &answer) {
  return answer.Name.ends_with("in a trailer");
}

} // namespace

BOOST_AUTO_TEST_SUITE(BrokenAnswers)

// Guards against an answer being passed on in whose head or trailer the name of
// a field holds a blank or a control byte. A reader that forgives such a name
// may also take a body that was not the server's.
BOOST_AUTO_TEST_CASE(answer_withBrokenName_isIncomplete) {
  for (const BrokenAnswer &each :
       answersWithBrokenNames("Content-Type: text/plain\r\n", "odd"))
    for (bool isStream : {false, true})
      BOOST_TEST_CONTEXT(each.Name << (isStream ? ", streamed" : "")) {
        EndlessServer server(each.Bytes, "");
        Received it = send(server, "", isStream);
        BOOST_REQUIRE(it.Result.has_value());
        BOOST_TEST((it.Result->Outcome == UpstreamOutcome::Incomplete));
        BOOST_TEST(it.Result->Body == "");
        // A trailer comes behind the pieces of its stream.
        BOOST_TEST(it.Data == (isStream && isInTrailer(each) ? "odd" : ""));
      }
}

// Guards against the part of an answer that came before a reset, while the
// request was still being sent, being taken for a whole answer.
BOOST_AUTO_TEST_CASE(answer_resetWhileRequestIsSent_isIncomplete) {
  for (bool isStream : {false, true})
    for (auto delay : {0ms, 20ms}) {
      EndlessServer server("HTTP/1.1 200 OK\r\n\r\nhalf", "");
      server.Resets = true;
      server.EndDelay = delay;
      std::string upload(std::size_t{8} << 20, 'u');
      Received it = send(server, upload, isStream);
      BOOST_REQUIRE(it.Result.has_value());
      BOOST_TEST((it.Result->Outcome == UpstreamOutcome::Incomplete));
      BOOST_TEST(it.Result->IsServerEnd);
    }
}

BOOST_AUTO_TEST_SUITE_END()
