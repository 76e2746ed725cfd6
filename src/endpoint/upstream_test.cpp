#include "upstream.h"

#include "../store/endless_server.h"
#include "../store/scripted_server.h"
#include <boost/test/unit_test.hpp>
#include <optional>

using namespace greengagespar;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t MaxAnswerBytes = std::size_t{1} << 20;
// MaxAnswerBytes, the head, and what the kernel's socket buffers hold.
constexpr std::size_t MaxBytesTaken = std::size_t{10} << 20;

const UpstreamRequest Get{"GET", "/", {}, {}, {}, 1s};

struct EndlessCase {
  const char *Name;
  const char *Begin;
  const char *Piece;
};

const EndlessCase Cases[] = {
    {"noise instead of a head", "", "zx9"},
    {"headers without end", "HTTP/1.1 200 OK\r\n", "X-More: a\r\n"},
    {"a header without end", "HTTP/1.1 200 OK\r\nX: ", "a"},
    {"a body without a length", "HTTP/1.1 200 OK\r\n\r\n", "noise"},
    {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
     "5\r\nnoise\r\n"},
    {"a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
     "X-More: a\r\n"},
    {"a chunk extension",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", "x"},
};

struct EndCase {
  const char *Name;
  const char *Bytes;
  bool Resets;
  UpstreamOutcome Outcome;
};

constexpr auto Complete = UpstreamOutcome::Complete;
constexpr auto Incomplete = UpstreamOutcome::Incomplete;

const EndCase EndCases[] = {
    {"no length, closed", "HTTP/1.1 200 OK\r\n\r\nwhole", false, Complete},
    {"no length, reset", "HTTP/1.1 200 OK\r\n\r\nhalf", true, Incomplete},
    {"HTTP/1.0, closed", "HTTP/1.0 200 OK\r\n\r\nwhole", false, Complete},
    {"HTTP/1.0, reset", "HTTP/1.0 200 OK\r\n\r\nhalf", true, Incomplete},
    {"short of the length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
     false, Incomplete},
    {"no last chunk",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
     false, Incomplete},
    {"in its head", "HTTP/1.1 200 OK\r\nX-Mo", false, Incomplete},
    {"in its status line", "HTTP/1.1 2", false, Incomplete},
    {"without any byte", "", false, Incomplete},
    {"status 000", "HTTP/1.1 000 Odd\r\nContent-Length: 3\r\n\r\nodd", false,
     Incomplete},
    {"status 000, no length", "HTTP/1.1 000 Odd\r\n\r\nodd", false, Incomplete},
    {"status 099", "HTTP/1.1 099 Odd\r\nContent-Length: 3\r\n\r\nodd", false,
     Incomplete},
    {"status 600", "HTTP/1.1 600 Odd\r\nContent-Length: 3\r\n\r\nodd", false,
     Incomplete},
    {"status 999, no length", "HTTP/1.1 999 Odd\r\n\r\nodd", false, Incomplete},
};

} // namespace

BOOST_AUTO_TEST_SUITE(Upstreams)

// Guards against the partial answer of a service being taken for the whole one.
BOOST_AUTO_TEST_CASE(answer_brokenOff_isIncomplete) {
  for (const EndCase &each : EndCases)
    BOOST_TEST_CONTEXT(each.Name) {
      EndlessServer server(each.Bytes, "");
      server.Resets = each.Resets;
      Upstream upstream(server.Loop.get(), server.At, MaxAnswerBytes);
      std::optional<UpstreamResult> result;
      UpstreamEvents events;
      events.OnDone = [&](const UpstreamResult &it) { result = it; };
      upstream.start(Get, std::move(events));
      BOOST_REQUIRE(server.runUntil([&] { return result.has_value(); }, 2s));
      BOOST_TEST((result->Outcome == each.Outcome));
      if (each.Outcome == Complete)
        BOOST_TEST(result->Body == "whole");
    }
}

// Guards against the pieces of an answer whose status is none being passed on
// as those of a stream, before the end of the answer is seen.
BOOST_AUTO_TEST_CASE(stream_whoseStatusIsNone_passesNothingOn) {
  for (const char *status : {"000", "099", "199", "600", "999"})
    for (const char *framing :
         {"Content-Length: 3\r\n\r\nodd",
          "Transfer-Encoding: chunked\r\n\r\n3\r\nodd\r\n0\r\n\r\n"})
      BOOST_TEST_CONTEXT(status << " " << framing) {
        EndlessServer server(
            std::string("HTTP/1.1 ") + status + " Odd\r\n" + framing, "");
        Upstream upstream(server.Loop.get(), server.At, MaxAnswerBytes);
        std::optional<UpstreamResult> result;
        std::string data;
        UpstreamEvents events;
        events.OnData = [&](std::string_view piece) { data += piece; };
        events.OnDone = [&](const UpstreamResult &it) { result = it; };
        upstream.start(Get, std::move(events));
        BOOST_REQUIRE(server.runUntil([&] { return result.has_value(); }, 2s));
        BOOST_TEST((result->Outcome == Incomplete));
        BOOST_TEST(data == "");
      }
}

// Guards against a server whose answer never ends, in the head or in the body:
// it must not use up the memory of the process.
BOOST_AUTO_TEST_CASE(answer_withoutEnd_takesBoundedMemoryAndIsCut) {
  for (const EndlessCase &each : Cases)
    BOOST_TEST_CONTEXT(each.Name) {
      EndlessServer server(each.Begin, each.Piece);
      Upstream upstream(server.Loop.get(), server.At, MaxAnswerBytes);
      std::optional<UpstreamOutcome> outcome;
      UpstreamEvents events;
      events.OnDone = [&](const UpstreamResult &it) { outcome = it.Outcome; };
      upstream.start(Get, std::move(events));
      server.runUntil([&] { return outcome.has_value(); }, 2s);
      BOOST_REQUIRE(outcome.has_value());
      BOOST_TEST((*outcome == UpstreamOutcome::Incomplete));
      BOOST_TEST(server.runUntil([&] { return server.Closed > 0; }, 2s));
      BOOST_TEST(server.BytesSent < MaxBytesTaken);
    }
}

// Guards against an engine whose end counts for nothing because it has answered
// another request before.
BOOST_AUTO_TEST_CASE(end_withoutAnyByteAfterAnAnswer_isServerEnd) {
  ScriptedServer server;
  server.Answer = [&](auto &) {
    return ScriptedAnswer{server.Requests.size() == 1 ? 200 : 0, ""};
  };
  Upstream upstream(server.Loop.get(), server.At, MaxAnswerBytes);
  std::vector<UpstreamResult> results;
  for (std::size_t n = 1; n <= 2; ++n) {
    UpstreamEvents events;
    events.OnDone = [&](const UpstreamResult &it) { results.push_back(it); };
    upstream.start(Get, std::move(events));
    server.runUntil([&] { return results.size() == n; });
  }
  BOOST_TEST((results[0].Outcome == Complete));
  BOOST_TEST((results[1].Outcome == Incomplete));
  BOOST_TEST(results[1].IsServerEnd);
}

BOOST_AUTO_TEST_SUITE_END()
