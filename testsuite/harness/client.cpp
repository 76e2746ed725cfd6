#include "client.h"

#include <arpa/inet.h>
#include <array>
#include <cstdlib>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace greengagespar::harness {

namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

// How much longer call() waits than the request's timeout. The HTTP client ends
// each call at that timeout, so this only guards against a client that doesn't.
constexpr milliseconds ClientTimeoutMargin{2000};

// How long a raw connection waits for the other end to accept more bytes.
constexpr timeval SendTimeout{2, 0};

sockaddr_in socketAddress(const Address &server) {
  auto colon = server.Value.rfind(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(
      static_cast<std::uint16_t>(std::atoi(server.Value.c_str() + colon + 1)));
  inet_pton(AF_INET, server.Value.substr(0, colon).c_str(), &address.sin_addr);
  return address;
}

} // namespace

Loop::Loop() : Base(event_base_new()) {}

Loop::~Loop() { event_base_free(Base); }

bool Loop::runUntil(const std::function<bool()> &condition,
                    milliseconds timeout) {
  auto end = Clock::now() + timeout;
  while (!condition()) {
    if (Clock::now() >= end)
      return false;
    constexpr timeval checkInterval{0, 5000};
    event_base_loopexit(Base, &checkInterval);
    event_base_loop(Base, EVLOOP_ONCE);
  }
  return true;
}

HttpAnswer call(const Address &server, const HttpRequest &request,
                load::OnPart onPart) {
  Loop loop;
  load::HttpClient client(loop.base(), server);
  HttpAnswer out;
  bool done = false;
  auto timeout = request.Timeout + ClientTimeoutMargin;
  client.send(
      request,
      [&](const HttpAnswer &answer) {
        out = answer;
        done = true;
      },
      std::move(onPart));
  loop.runUntil([&] { return done; }, timeout);
  return out;
}

HttpAnswer get(const Address &server, const std::string &target) {
  HttpRequest request;
  request.Target = target;
  request.Timeout = DefaultTimeout;
  return call(server, request);
}

HttpAnswer sendJson(const Address &server, const std::string &method,
                    const std::string &target, const boost::json::value &body) {
  HttpRequest request;
  request.Method = method;
  request.Target = target;
  request.Headers = {{"Content-Type", "application/json"}};
  request.Body = boost::json::serialize(body);
  return call(server, request);
}

boost::json::value jsonOf(const HttpAnswer &answer) {
  boost::json::error_code ec;
  auto value = boost::json::parse(answer.Body, ec);
  return ec ? boost::json::value() : value;
}

RawConnection::RawConnection(const Address &server, int receiveBuffer)
    : Fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  if (receiveBuffer > 0)
    setsockopt(Fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
  setsockopt(Fd, SOL_SOCKET, SO_SNDTIMEO, &SendTimeout, sizeof SendTimeout);
  sockaddr_in address = socketAddress(server);
  if (connect(Fd, reinterpret_cast<sockaddr *>(&address), sizeof address) !=
      0) {
    ::close(Fd);
    throw std::runtime_error("can't connect to " + server.Value);
  }
}

RawConnection::~RawConnection() { close(); }

bool RawConnection::send(std::string_view bytes) {
  while (!bytes.empty()) {
    ssize_t n = ::send(Fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

std::string RawConnection::readUntil(std::string_view enough,
                                     milliseconds timeout) {
  std::string out;
  auto end = Clock::now() + timeout;
  std::array<char, 65536> buf;
  while (enough.empty() || out.find(enough) == std::string::npos) {
    auto left =
        std::chrono::duration_cast<milliseconds>(end - Clock::now()).count();
    pollfd it{Fd, POLLIN, 0};
    if (left <= 0 || poll(&it, 1, static_cast<int>(left)) <= 0)
      break;
    ssize_t n = recv(Fd, buf.data(), buf.size(), 0);
    if (n <= 0)
      break;
    out.append(buf.data(), static_cast<std::size_t>(n));
  }
  return out;
}

bool RawConnection::waitForClose(milliseconds timeout) {
  readUntil("", timeout);
  char c;
  ssize_t n = recv(Fd, &c, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN);
}

void RawConnection::close(bool reset) {
  if (Fd < 0)
    return;
  linger resetOnClose{1, 0};
  if (reset)
    setsockopt(Fd, SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof resetOnClose);
  ::close(std::exchange(Fd, -1));
}

} // namespace greengagespar::harness
