#include "greengagespar/http/client.h"

#include "greengagespar/base/event_loop.h"
#include "greengagespar/base/timer.h"
#include <boost/test/unit_test.hpp>
#include <event2/event.h>
#include <netinet/in.h>
#include <optional>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace greengagespar;
using namespace std::chrono_literals;

namespace {

const std::string Request = "POST /book HTTP/1.1\r\nContent-Length: 0\r\n\r\n";

/// A listening socket whose connections the kernel accepts while the loop
/// stands still, and one exchange with it.
struct ClientFixture {
  EventLoop Loop;
  int Listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  int Accepted = -1;
  Address At;
  std::unique_ptr<HttpClientConnection> Connection;
  std::optional<ExchangeEnd> End;

  ClientFixture() {
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(name);
    BOOST_REQUIRE(bind(Listener, reinterpret_cast<sockaddr *>(&name), size) ==
                  0);
    BOOST_REQUIRE(listen(Listener, 8) == 0);
    getsockname(Listener, reinterpret_cast<sockaddr *>(&name), &size);
    At = {"127.0.0.1:" + std::to_string(ntohs(name.sin_port))};
  }
  ~ClientFixture() {
    Connection.reset();
    runTurns(1);
    close(Listener);
    if (Accepted >= 0)
      close(Accepted);
  }
  ClientFixture(const ClientFixture &) = delete;
  ClientFixture &operator=(const ClientFixture &) = delete;

  void runTurns(int n) const {
    for (int i = 0; i < n; ++i)
      event_base_loop(Loop.base(), EVLOOP_ONCE | EVLOOP_NONBLOCK);
  }
  void connectAndSend(std::chrono::milliseconds timeout) {
    Connection =
        std::make_unique<HttpClientConnection>(Loop.base(), At, timeout);
    ExchangeEvents events;
    events.OnHead = [](const HttpHead &) { return true; };
    events.OnBody = [](std::string_view) {};
    events.OnEnd = [this](ExchangeEnd how, std::string_view) { End = how; };
    Connection->send(Request, false, std::move(events));
  }
  /// Returns all bytes that the server has received so far.
  std::string received() {
    if (Accepted < 0)
      Accepted = accept4(Listener, nullptr, nullptr, SOCK_NONBLOCK);
    std::string bytes(Request.size() * 2, '\0');
    auto n = recv(Accepted, bytes.data(), bytes.size(), 0);
    bytes.resize(static_cast<std::size_t>(std::max<ssize_t>(0, n)));
    return bytes;
  }
  void answer() const {
    const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    BOOST_REQUIRE(write(Accepted, text.data(), text.size()) ==
                  std::ssize(text));
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ClientSuite, ClientFixture)

// Guards against a request that is reported as not sent although the server has
// it: the process stood still while it connected, and the expired time limit
// was judged before the connection.
BOOST_AUTO_TEST_CASE(exchange_stoodStillWhileConnecting_isNotReportedAsUnsent) {
  runTurns(1);
  connectAndSend(20ms);
  std::this_thread::sleep_for(100ms);
  runTurns(5);
  BOOST_TEST(!End.has_value());
  BOOST_TEST(received() == Request);
  answer();
  std::this_thread::sleep_for(5ms);
  runTurns(5);
  BOOST_REQUIRE(End.has_value());
  BOOST_TEST(bool(*End == ExchangeEnd::Complete));
}

// Guards against the same for a connection that is opened in the rest of a turn
// in which the process stood still.
BOOST_AUTO_TEST_CASE(exchange_begunAfterAStopInTheTurn_hasItsWholeTime) {
  Timer turn(Loop.base(), [&] {
    std::this_thread::sleep_for(100ms);
    connectAndSend(50ms);
  });
  turn.start(1ms);
  std::this_thread::sleep_for(5ms);
  runTurns(5);
  BOOST_TEST(!End.has_value());
  BOOST_TEST(received() == Request);
}

// NotConnected promises that nothing was sent, whenever it is reported.
BOOST_AUTO_TEST_CASE(exchange_notConnected_hasSentNothing) {
  for (auto timeout : {0ms, 1ms, 2ms, 5ms}) {
    End.reset();
    Accepted = -1;
    connectAndSend(timeout);
    for (int i = 0; i < 20; ++i) {
      runTurns(1);
      std::this_thread::sleep_for(500us);
    }
    std::string bytes = received();
    if (End == ExchangeEnd::NotConnected)
      BOOST_TEST(bytes.empty());
    else
      BOOST_TEST(bytes == Request);
    Connection.reset();
    runTurns(1);
    if (Accepted >= 0)
      close(std::exchange(Accepted, -1));
  }
}

BOOST_AUTO_TEST_SUITE_END()
