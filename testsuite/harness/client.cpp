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

// Above the request's own time: the client itself ends each call.
constexpr milliseconds Margin{2000};

// How long a raw connection waits for the other end to take more bytes.
constexpr timeval SendPatience{2, 0};

sockaddr_in socketName(const Address &server) {
  auto colon = server.Value.rfind(':');
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_port = htons(
      static_cast<std::uint16_t>(std::atoi(server.Value.c_str() + colon + 1)));
  inet_pton(AF_INET, server.Value.substr(0, colon).c_str(), &name.sin_addr);
  return name;
}

} // namespace

Loop::Loop() : Base(event_base_new()) {}

Loop::~Loop() { event_base_free(Base); }

bool Loop::runUntil(const std::function<bool()> &condition,
                    milliseconds patience) {
  auto end = Clock::now() + patience;
  while (!condition()) {
    if (Clock::now() >= end)
      return false;
    constexpr timeval turn{0, 5000};
    event_base_loopexit(Base, &turn);
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
  auto patience = request.Timeout + Margin;
  client.send(
      request,
      [&](const HttpAnswer &answer) {
        out = answer;
        done = true;
      },
      std::move(onPart));
  loop.runUntil([&] { return done; }, patience);
  return out;
}

HttpAnswer get(const Address &server, const std::string &target) {
  HttpRequest request;
  request.Target = target;
  request.Timeout = Patience;
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
  setsockopt(Fd, SOL_SOCKET, SO_SNDTIMEO, &SendPatience, sizeof SendPatience);
  sockaddr_in name = socketName(server);
  if (connect(Fd, reinterpret_cast<sockaddr *>(&name), sizeof name) != 0) {
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
                                     milliseconds patience) {
  std::string out;
  auto end = Clock::now() + patience;
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

bool RawConnection::closedByServer(milliseconds patience) {
  readUntil("", patience);
  char c;
  ssize_t n = recv(Fd, &c, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN);
}

void RawConnection::close(bool reset) {
  if (Fd < 0)
    return;
  linger hard{1, 0};
  if (reset)
    setsockopt(Fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
  ::close(std::exchange(Fd, -1));
}

} // namespace greengagespar::harness
