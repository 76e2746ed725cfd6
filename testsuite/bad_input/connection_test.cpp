#include "bad_input.h"

#include <boost/test/unit_test.hpp>

using namespace greengagespar::harness;
using std::chrono::milliseconds;

namespace {

// A stream of so many tokens doesn't end during a test.
constexpr std::uint64_t LongStreamTokens = 32768;

// The bytes that an attack sends: well over the growth that a test allows.
constexpr std::size_t FloodBytes = 128UL << 20;

const std::string Head = "POST /v1/completions HTTP/1.1\r\n"
                         "X-Workspace: members\r\n"
                         "X-Deadline-Ms: 100000\r\n";

struct ShortTimeoutFixture : BadInputFixture {
  ShortTimeoutFixture() : BadInputFixture(shortTimeoutPlan()) {}

  static ClusterPlan shortTimeoutPlan() {
    ClusterPlan plan = smallPlan();
    plan.EntrySettings["header_timeout_ms"] = 100; // The least allowed.
    return plan;
  }
};

// A fast engine, so that an answer soon exceeds the kernel's socket buffers.
struct FastEngineFixture : BadInputFixture {
  FastEngineFixture() : BadInputFixture(fastEnginePlan()) {}

  static ClusterPlan fastEnginePlan() {
    ClusterPlan plan = smallPlan();
    plan.EngineArgs = {"--step-ms", "0.05"};
    return plan;
  }
};

std::string streamRequest(std::uint64_t tokens) {
  return bytesOf({.Headers = "X-Workspace: members\r\n"
                             "X-Deadline-Ms: 100000\r\n",
                  .Body = draftBody(tokens, true)});
}

std::size_t countOf(const std::string &text, std::string_view what) {
  std::size_t n = 0;
  for (auto at = text.find(what); at != std::string::npos;
       at = text.find(what, at + what.size()))
    ++n;
  return n;
}

// Sends copies of the piece until the peer closes the connection or FloodBytes
// are sent. Returns whether the peer closed it or stopped reading.
bool isFloodStopped(RawConnection &connection, const std::string &piece) {
  for (std::size_t sent = 0; sent < FloodBytes; sent += piece.size())
    if (!connection.send(piece))
      return true;
  return false;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(SlowArrival, ShortTimeoutFixture)

BOOST_AUTO_TEST_CASE(request_oneByteAtATime_connectionIsClosed) {
  const std::string cases[] = {
      "", "GET / HTTP/1.1\r\nX: ", Head + "Content-Length: 1000\r\n\r\n"};
  for (const std::string &begin : cases) {
    RawConnection connection(entry());
    connection.send(begin);
    BOOST_TEST(waitUntil([&] { return !connection.send("a"); }));
  }
  BOOST_TEST(waitUntil([&] { return metric("connections") <= 2; }));
}

BOOST_AUTO_TEST_CASE(request_pipelinedDuringStream_isAnsweredAfterIt) {
  RawConnection connection(entry());
  connection.send(streamRequest(300));
  std::string text = connection.readUntil("data: ");
  // This request arrives during the stream, which runs for longer than the
  // header timeout.
  connection.send("GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n");
  text += connection.readUntil("");
  BOOST_TEST(countOf(text, "data: [DONE]") == 1u);
  BOOST_TEST(text.ends_with("ok\n"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(Connections, BadInputFixture)

BOOST_AUTO_TEST_CASE(headers_endless_connectionIsClosed) {
  for (const std::string &piece :
       {"X-" + std::string(60000, 'a'), std::string("X-More: a\r\n")}) {
    RawConnection connection(entry());
    connection.send(Head);
    BOOST_TEST(isFloodStopped(connection, piece));
  }
}

BOOST_AUTO_TEST_CASE(body_endless_connectionIsClosed) {
  for (const std::string &head :
       {Head + "Content-Length: 1000000000\r\n\r\n",
        Head + "Transfer-Encoding: chunked\r\n\r\n"}) {
    RawConnection connection(entry());
    connection.send(head);
    BOOST_TEST(isFloodStopped(connection,
                              "10000\r\n" + std::string(65536, 'a') + "\r\n"));
  }
}

BOOST_AUTO_TEST_CASE(pipelined_many_areAnsweredInOrder) {
  constexpr int count = 200;
  std::string all;
  for (int i = 0; i < count; ++i)
    all += i % 2 == 0 ? "GET /healthz HTTP/1.1\r\n\r\n"
                      : bytesOf({.Body = draftBody(2)});
  all += bytesOf({.Method = "GET",
                  .Target = "/nothing",
                  .Headers = "Connection: close\r\n"});
  RawConnection connection(entry());
  connection.send(all);
  std::string text = connection.readUntil("");
  BOOST_TEST(countOf(text, "HTTP/1.1 200 OK") == std::size_t{count});
  BOOST_TEST(countOf(text, "HTTP/1.1 404 ") == 1u);
}

BOOST_AUTO_TEST_CASE(pipelined_endlessDuringStream_areNotRead) {
  RawConnection connection(entry());
  connection.send(streamRequest(LongStreamTokens));
  connection.readUntil("data: ");
  BOOST_TEST(isFloodStopped(connection, std::string(65536, 'a')));
  checkStillServing();
}

BOOST_AUTO_TEST_CASE(connection_closedInBody_isReleased) {
  for (int i = 0; i < 100; ++i) {
    RawConnection connection(entry());
    connection.send(Head + "Content-Length: 1000\r\n\r\n{\"model\"");
    connection.close(i % 2 == 0);
  }
  BOOST_TEST(waitUntil([&] { return metric("connections") <= 2; }));
}

BOOST_AUTO_TEST_CASE(connection_closedInAnswer_cancelsItsStream) {
  std::uint64_t before = metric("callers_gone_total");
  for (bool reset : {true, false}) {
    RawConnection connection(entry());
    connection.send(streamRequest(LongStreamTokens));
    BOOST_TEST(!connection.readUntil("data: ").empty());
    connection.close(reset);
  }
  // If it weren't cancelled, each stream would run for over a minute.
  BOOST_TEST(waitUntil([&] { return runningStreams() == 0; }));
  BOOST_TEST(metric("callers_gone_total") == before + 2);
}

BOOST_AUTO_TEST_CASE(connection_closedBeforeAnswer_cancelsItsStream) {
  RawConnection connection(entry());
  connection.send(bytesOf({.Body = draftBody(LongStreamTokens)}));
  BOOST_TEST(waitUntil([&] { return runningStreams() == 2; }));
  connection.close();
  BOOST_TEST(waitUntil([&] { return runningStreams() == 0; }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(UnreadAnswers, FastEngineFixture)

BOOST_AUTO_TEST_CASE(reader_readsNothing_isDisconnected) {
  constexpr milliseconds wholeAnswer{60000};
  std::uint64_t before = metric("callers_gone_total");
  RawConnection connection(entry(), RawConnection::SmallestReceiveBuffer);
  connection.send(streamRequest(LongStreamTokens));
  BOOST_TEST(waitUntil(
      [&] { return metric("callers_gone_total") == before + 1; }, wholeAnswer));
  BOOST_TEST(waitUntil([&] { return runningStreams() == 0; }));
  BOOST_TEST(connection.readUntil("[DONE]").find("[DONE]") ==
             std::string::npos);
}

// The answer ends at once and waits in the entry's buffer, below the limit of
// bytes.
BOOST_AUTO_TEST_CASE(reader_readsNothingOfEndedAnswer_isDisconnected) {
  constexpr std::uint64_t tokens = 3000;
  constexpr milliseconds stall{10000};
  std::uint64_t before = metric("callers_gone_total");
  std::uint64_t completed = metric("calls_completed_total");
  RawConnection connection(entry(), RawConnection::SmallestReceiveBuffer);
  connection.send(streamRequest(tokens));
  BOOST_REQUIRE(
      waitUntil([&] { return metric("calls_completed_total") > completed; }));
  BOOST_TEST(metric("callers_gone_total") == before);
  BOOST_TEST(waitUntil(
      [&] { return metric("callers_gone_total") == before + 1; }, 2 * stall));
}

BOOST_AUTO_TEST_SUITE_END()
