/// \file
/// A TCP relay between two processes of a test. Its control port is HTTP:
/// `PUT /test/mode` with {"action":"swallow"} lets the existing connections go
/// silent for good while new ones work, {"action":"cut"} closes the existing
/// ones, {"blocked":true} swallows all, also those that begin before it is set
/// to false, and {"delay_ms":N} delays every byte. `GET /test/connections`
/// counts.
#include "http_server.h"

#include <CLI/CLI.hpp>
#include <arpa/inet.h>
#include <deque>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <memory>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <set>
#include <string>
#include <sys/socket.h>
#include <utility>

using namespace greengagespar::standin;
using std::chrono::milliseconds;

namespace {

struct Relay;

// One relayed connection; side 0 is the caller's, side 1 the server's.
struct Pair {
  Relay *Owner = nullptr;
  bufferevent *Sides[2] = {nullptr, nullptr};
  bool Swallowed = false;
  std::deque<std::string> Delayed[2]; ///< From each side; empty: its end.
};

struct Relay {
  HttpServer *Server = nullptr;
  event_base *Base = nullptr;
  sockaddr_in Target{};
  milliseconds Delay{0};
  bool Blocked = false;
  std::set<std::shared_ptr<Pair>> Pairs;
};

std::shared_ptr<Pair> shared(Pair *pair) {
  for (const auto &it : pair->Owner->Pairs)
    if (it.get() == pair)
      return it;
  return nullptr;
}

void closePair(Pair *pair) {
  for (bufferevent *&side : pair->Sides)
    if (side)
      bufferevent_free(std::exchange(side, nullptr));
  if (auto it = shared(pair))
    pair->Owner->Pairs.erase(it);
}

// Closes the pair once everything for the other side was sent.
void endSide(Pair *pair, int from) {
  bufferevent *to = pair->Sides[1 - from];
  if (!to || evbuffer_get_length(bufferevent_get_output(to)) == 0)
    return closePair(pair);
  bufferevent_setcb(
      to, nullptr,
      [](bufferevent *, void *arg) { closePair(static_cast<Pair *>(arg)); },
      [](bufferevent *, short, void *arg) {
        closePair(static_cast<Pair *>(arg));
      },
      pair);
}

void pass(Pair *pair, int from, const std::string &bytes) {
  if (pair->Swallowed)
    return;
  if (bytes.empty())
    return endSide(pair, from);
  if (pair->Sides[1 - from])
    bufferevent_write(pair->Sides[1 - from], bytes.data(), bytes.size());
}

void passLater(Pair *pair, int from, std::string bytes) {
  Relay &relay = *pair->Owner;
  if (relay.Delay.count() == 0 && pair->Delayed[from].empty())
    return pass(pair, from, bytes);
  pair->Delayed[from].push_back(std::move(bytes));
  relay.Server->after(relay.Delay, [held = shared(pair), from] {
    if (!held || held->Delayed[from].empty())
      return;
    std::string next = std::move(held->Delayed[from].front());
    held->Delayed[from].pop_front();
    pass(held.get(), from, next);
  });
}

template <int From> void onBytes(bufferevent *side, void *arg) {
  evbuffer *in = bufferevent_get_input(side);
  std::string bytes(evbuffer_get_length(in), '\0');
  evbuffer_remove(in, bytes.data(), bytes.size());
  passLater(static_cast<Pair *>(arg), From, std::move(bytes));
}

template <int From> void onEvent(bufferevent *, short what, void *arg) {
  if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
    passLater(static_cast<Pair *>(arg), From, "");
}

bufferevent *makeSide(Relay &relay, evutil_socket_t fd) {
  return bufferevent_socket_new(relay.Base, fd, BEV_OPT_CLOSE_ON_FREE);
}

void setNoDelay(evutil_socket_t fd) {
  int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

void acceptOne(evconnlistener *, evutil_socket_t fd, sockaddr *, int,
               void *arg) {
  auto &relay = *static_cast<Relay *>(arg);
  auto pair = std::make_shared<Pair>();
  pair->Owner = &relay;
  pair->Swallowed = relay.Blocked;
  pair->Sides[0] = makeSide(relay, fd);
  pair->Sides[1] = makeSide(relay, -1);
  relay.Pairs.insert(pair);
  setNoDelay(fd);
  bufferevent_setcb(pair->Sides[0], onBytes<0>, nullptr, onEvent<0>,
                    pair.get());
  bufferevent_setcb(pair->Sides[1], onBytes<1>, nullptr, onEvent<1>,
                    pair.get());
  bufferevent *server = pair->Sides[1];
  if (bufferevent_socket_connect(server,
                                 reinterpret_cast<sockaddr *>(&relay.Target),
                                 sizeof relay.Target) != 0)
    return closePair(pair.get());
  setNoDelay(bufferevent_getfd(server));
  for (bufferevent *side : pair->Sides)
    bufferevent_enable(side, EV_READ | EV_WRITE);
}

void cutAll(Relay &relay) {
  auto pairs = relay.Pairs;
  for (const auto &pair : pairs)
    closePair(pair.get());
}

void swallowAll(Relay &relay) {
  for (const auto &pair : relay.Pairs)
    pair->Swallowed = true;
}

void setMode(Relay &relay, const Request &req) {
  boost::json::object body = bodyObject(req);
  std::string action = textOr(body, "action");
  if (action == "swallow")
    swallowAll(relay);
  if (action == "cut")
    cutAll(relay);
  if (const auto *it = body.if_contains("blocked"); it && it->is_bool())
    relay.Blocked = it->as_bool();
  if (relay.Blocked)
    swallowAll(relay);
  relay.Delay = milliseconds(static_cast<std::int64_t>(
      numberOr(body, "delay_ms", static_cast<double>(relay.Delay.count()))));
  sendJson(req, HTTP_OK, boost::json::object());
}

void serve(Relay &relay, const Request &req) {
  if (req.Path == "/test/mode")
    return setMode(relay, req);
  if (req.Path == "/test/connections")
    return sendJson(req, HTTP_OK,
                    boost::json::object{{"open", relay.Pairs.size()}});
  sendJson(req, HTTP_NOTFOUND, boost::json::object());
}

} // namespace

int main(int argc, char **argv) {
  int port = 0;
  int listenPort = 0;
  int targetPort = 0;
  CLI::App app("TCP relay for tests");
  app.add_option("--port", port, "control port; 0 picks a free one");
  app.add_option("--listen", listenPort, "port that is relayed")->required();
  app.add_option("--to", targetPort, "port that it is relayed to")->required();
  CLI11_PARSE(app, argc, argv);
  Relay relay;
  HttpServer server(port, [&relay](const Request &req) { serve(relay, req); });
  relay.Server = &server;
  relay.Base = server.base();
  relay.Target.sin_family = AF_INET;
  relay.Target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  relay.Target.sin_port = htons(static_cast<std::uint16_t>(targetPort));
  sockaddr_in name = relay.Target;
  name.sin_port = htons(static_cast<std::uint16_t>(listenPort));
  constexpr unsigned flags = LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE;
  if (!evconnlistener_new_bind(relay.Base, acceptOne, &relay, flags, -1,
                               reinterpret_cast<sockaddr *>(&name),
                               sizeof name))
    return 1;
  return server.run();
}
