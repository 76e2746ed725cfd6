#include "greengagespar/store/object_client.h"

#include "endless_server.h"
#include <boost/test/unit_test.hpp>
#include <optional>

using namespace greengagespar;
using namespace std::chrono_literals;

namespace {

// The largest answer that the client accepts, and what the kernel's socket
// buffers hold.
const std::size_t MaxBytesTaken =
    HttpPoolOptions().MaxAnswerBytes + (std::size_t{10} << 20);

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
    {"a chunk extension",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", "x"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(EndlessAnswers)

// Guards against a platform, or something in its place, whose answer never
// ends: it must not use up the memory of the process.
BOOST_AUTO_TEST_CASE(answer_withoutEnd_failsWithBoundedMemory) {
  for (const EndlessCase &each : Cases)
    BOOST_TEST_CONTEXT(each.Name) {
      EndlessServer server(each.Begin, each.Piece);
      ObjectClientOptions options{.Platform = server.At, .RequestTimeout = 2s};
      ObjectClient client(server.Loop.get(), options);
      std::optional<bool> hasObject;
      client.get("/a", [&](const Result<Object> &result) {
        hasObject = result.has_value();
      });
      BOOST_TEST(server.runUntil([&] { return hasObject.has_value(); }, 4s));
      BOOST_TEST(!hasObject.value_or(true));
      BOOST_TEST(server.runUntil([&] { return server.Closed > 0; }, 2s));
      BOOST_TEST(server.BytesSent < MaxBytesTaken);
    }
}

BOOST_AUTO_TEST_SUITE_END()
