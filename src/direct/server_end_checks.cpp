#include "greengagespar/direct/server_end_checks.h"

#include "greengagespar/base/log.h"
#include "greengagespar/base/log_output.h"
#include <algorithm>
#include <cerrno>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <iterator>
#include <netinet/in.h>
#include <sys/socket.h>
#include <utility>

namespace greengagespar {

namespace {

using std::chrono::milliseconds;

// Time after a break until the check: a process that ends closes its
// connections and its listening socket in any order.
constexpr milliseconds CheckDelay{50};
// A server that has not accepted a connection in this time tells nothing.
constexpr milliseconds CheckTimeout{600};

} // namespace

namespace detail {

/// One check. It begins with a delay, after which it connects.
struct ServerEndCheck {
  ServerEndCheck(ServerEndChecks &owner, event_base *loop, ServerRecord server)
      : Owner(owner), Loop(loop), Server(std::move(server)), Step(loop, [this] {
          Stream ? Owner.finish(*this, false) : connect();
        }) {
    Step.start(CheckDelay);
  }
  ~ServerEndCheck() {
    if (Stream)
      bufferevent_free(Stream);
  }
  ServerEndCheck(const ServerEndCheck &) = delete;
  ServerEndCheck &operator=(const ServerEndCheck &) = delete;

  void connect() {
    Stream = bufferevent_socket_new(
        Loop, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    bufferevent_setcb(Stream, nullptr, nullptr, onEvent, this);
    sockaddr_storage name{};
    int size = sizeof(name);
    auto *address = reinterpret_cast<sockaddr *>(&name);
    Step.start(CheckTimeout);
    // Without a socket the time limit ends the check.
    if (evutil_parse_sockaddr_port(Server.At.Value.c_str(), address, &size) ==
        0)
      bufferevent_socket_connect(Stream, address, size);
  }

  static void onEvent(bufferevent *, short what, void *arg) {
    int ec = EVUTIL_SOCKET_ERROR(); // Valid until the next call.
    auto &check = *static_cast<ServerEndCheck *>(arg);
    bool isRefused = (what & BEV_EVENT_ERROR) && ec == ECONNREFUSED;
    check.Owner.finish(check, isRefused);
  }

  ServerEndChecks &Owner;
  event_base *Loop;
  ServerRecord Server;
  bufferevent *Stream = nullptr; ///< Null during the delay.
  Timer Step;
};

} // namespace detail

ServerEndChecks::ServerEndChecks(
    event_base *loop, std::function<void(const ServerRecord &)> onEnded)
    : Loop(loop), OnEnded(std::move(onEnded)),
      Cleanup(loop, [this] { Finished.clear(); }) {}

ServerEndChecks::~ServerEndChecks() = default;

void ServerEndChecks::start(const ServerRecord &server) {
  bool isInProgress = std::ranges::any_of(Checks, [&](const auto &it) {
    return it.Server.Id == server.Id && it.Server.StartedMs == server.StartedMs;
  });
  if (!isInProgress && Checks.size() < MaxChecks)
    Checks.emplace_back(*this, Loop, server);
}

void ServerEndChecks::finish(detail::ServerEndCheck &check, bool hasEnded) {
  auto it = std::ranges::find_if(
      Checks, [&](const auto &other) { return &other == &check; });
  if (it == Checks.end())
    return;
  // The check runs now, so that a separate event frees it.
  Finished.splice(Finished.end(), Checks, it);
  check.Step.stop();
  Cleanup.start(milliseconds{0});
  logInfo(Part::Route, LogLine("server_checked")
                           .add("server", check.Server.Id.Value)
                           .add("ended", hasEnded ? "yes" : "no")
                           .text());
  if (hasEnded)
    OnEnded(check.Server);
}

} // namespace greengagespar
