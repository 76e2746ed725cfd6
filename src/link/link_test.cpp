#include "greengagespar/link/link.h"

#include "greengagespar/base/event_loop.h"
#include <boost/test/unit_test.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

using namespace greengagespar;

namespace {

struct LinkFixture {
  EventLoop Loop;
  zmq::context_t Context{1};
  LinkIdentity Self{{"entry"}, {1}, {1}};

  std::unique_ptr<LinkServer> server() {
    return std::make_unique<LinkServer>(
        Loop.base(), Context, Self,
        [](const PeerId &, const wire::Envelope &) {});
  }

  // Returns the reason why \p server can't listen; empty: it listens.
  static std::string bind(LinkServer &server, const Address &address) {
    return recoverFrom(
        [&]() -> Result<std::string> {
          BOOST_LEAF_CHECK(server.bind(address));
          return std::string();
        },
        [](const Error &e) { return e.Message; });
  }
};

/// Listens on a port that the kernel gives to no connection.
struct UsedPort {
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  Address At;

  UsedPort() {
    constexpr int firstPort = 29500;
    constexpr int ports = 500;
    int port = firstPort + getpid() % ports;
    int end = port + ports;
    while (port < end && !bindTo(port))
      ++port;
    BOOST_REQUIRE(listen(Socket, 1) == 0);
    At = {"127.0.0.1:" + std::to_string(port)};
  }
  ~UsedPort() { release(); }
  UsedPort(const UsedPort &) = delete;
  UsedPort &operator=(const UsedPort &) = delete;

  bool bindTo(int port) const {
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    name.sin_port = htons(static_cast<std::uint16_t>(port));
    return ::bind(Socket, reinterpret_cast<sockaddr *>(&name), sizeof(name)) ==
           0;
  }

  void release() {
    if (Socket >= 0)
      close(std::exchange(Socket, -1));
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LinkServers, LinkFixture)

// Guards against a process that can't start again at its address: ZeroMQ closes
// the sockets of the former one in a thread of its own, at any later time.
BOOST_AUTO_TEST_CASE(bind_atAddressOfDestroyedServer_succeeds) {
  constexpr int restarts = 200;
  UsedPort port;
  port.release();
  for (int i = 0; i < restarts; ++i) {
    auto former = server();
    BOOST_REQUIRE_EQUAL(bind(*former, port.At), "");
    // The thread has work to do before it closes the listening socket.
    LinkClient client(Loop.base(), Context, Self, port.At,
                      [](const wire::Envelope &) {});
  }
}

BOOST_AUTO_TEST_CASE(bind_atAddressInUse_namesAddressAndReason) {
  UsedPort port;
  auto server = this->server();
  std::string why = bind(*server, port.At);
  BOOST_TEST(why.find(port.At.Value) != std::string::npos, why);
  BOOST_TEST(why.find("in use") != std::string::npos, why);
}

BOOST_AUTO_TEST_SUITE_END()
