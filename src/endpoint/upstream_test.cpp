#include "upstream.h"

#include "../store/endless_server.h"
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
  /// False: the bytes might still come to an answer, and the request ends when
  /// it is cancelled at its deadline.
  bool IsRefused;
};

const EndlessCase Cases[] = {
    {"noise instead of a head", "", "zx9", true},
    {"headers without end", "HTTP/1.1 200 OK\r\n", "X-More: a\r\n", true},
    {"a header without end", "HTTP/1.1 200 OK\r\nX: ", "a", true},
    {"a body without a length", "HTTP/1.1 200 OK\r\n\r\n", "noise", true},
    {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
     "5\r\nnoise\r\n", true},
    {"a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
     "X-More: a\r\n", true},
    {"a chunk extension",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", "x", false},
};

} // namespace

BOOST_AUTO_TEST_SUITE(Upstreams)

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
      UpstreamId id = upstream.start(Get, std::move(events));
      server.runUntil([&] { return outcome.has_value(); }, 2s);
      BOOST_TEST(outcome.has_value() == each.IsRefused);
      if (outcome)
        BOOST_TEST((*outcome == UpstreamOutcome::Incomplete));
      else
        upstream.cancel(id);
      BOOST_TEST(server.runUntil([&] { return server.Closed > 0; }, 2s));
      BOOST_TEST(server.BytesSent < MaxBytesTaken);
    }
}

BOOST_AUTO_TEST_SUITE_END()
