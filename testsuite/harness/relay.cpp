/// \file
/// A TCP relay between two processes of a test. Its control port serves HTTP.
/// `PUT /test/mode` accepts these members:
/// - {"action":"swallow"}: the relay discards all further bytes of the existing
///   connections, which stay open; new connections work.
/// - {"action":"cut"}: the relay closes the existing connections.
/// - {"blocked":true}: the relay swallows the existing connections and each one
///   that begins before "blocked" is set to false. A swallowed connection stays
///   swallowed.
/// - {"delay_ms":N}: the relay delays every byte by N ms.
/// - {"replace":TEXT,"by":TEXT}: the relay replaces the text wherever a piece
/// of
///   the server's bytes holds it. An empty text ends that.
///
/// `GET /test/connections` returns the number of open connections.
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

// One relayed connection. Side 0 faces the caller, side 1 the server.
struct RelayedConnection {
  Relay *Owner = nullptr;
  bufferevent *Sides[2] = {nullptr, nullptr};
  bool Swallowed = false;             ///< All further bytes are discarded.
  std::deque<std::string> Delayed[2]; ///< By sender; empty text: it closed.
};

struct Relay {
  HttpServer *Server = nullptr;
  event_base *Base = nullptr;
  sockaddr_in Target{};
  milliseconds Delay{0};
  bool Blocked = false;
  std::string Replaced; ///< In the bytes of the server; empty: nothing.
  std::string Replacement;
  std::set<std::shared_ptr<RelayedConnection>> Connections;
};

// Returns the relay's reference to an open connection; null after its close.
std::shared_ptr<RelayedConnection> findShared(RelayedConnection *connection) {
  for (const auto &it : connection->Owner->Connections)
    if (it.get() == connection)
      return it;
  return nullptr;
}

void closeConnection(RelayedConnection *connection) {
  for (bufferevent *&side : connection->Sides)
    if (side)
      bufferevent_free(std::exchange(side, nullptr));
  if (auto it = findShared(connection))
    connection->Owner->Connections.erase(it);
}

// Closes the connection once all bytes for the side other than `from` have been
// sent.
void closeAfterFlush(RelayedConnection *connection, int from) {
  bufferevent *to = connection->Sides[1 - from];
  if (!to || evbuffer_get_length(bufferevent_get_output(to)) == 0)
    return closeConnection(connection);
  bufferevent_setcb(
      to, nullptr,
      [](bufferevent *, void *arg) {
        closeConnection(static_cast<RelayedConnection *>(arg));
      },
      [](bufferevent *, short, void *arg) {
        closeConnection(static_cast<RelayedConnection *>(arg));
      },
      connection);
}

// Sends bytes of side `from` to the other side. Empty bytes mean that the
// sender has closed.
void forwardNow(RelayedConnection *connection, int from,
                const std::string &bytes) {
  if (connection->Swallowed)
    return;
  if (bytes.empty())
    return closeAfterFlush(connection, from);
  if (connection->Sides[1 - from])
    bufferevent_write(connection->Sides[1 - from], bytes.data(), bytes.size());
}

// Replaces what the relay's mode says in bytes of side `from`.
void replaceText(const Relay &relay, int from, std::string &bytes) {
  if (from != 1 || relay.Replaced.empty())
    return;
  for (auto at = bytes.find(relay.Replaced); at != std::string::npos;
       at = bytes.find(relay.Replaced, at + relay.Replacement.size()))
    bytes.replace(at, relay.Replaced.size(), relay.Replacement);
}

// Forwards bytes after the relay's delay, in the order in which they arrived.
void forward(RelayedConnection *connection, int from, std::string bytes) {
  Relay &relay = *connection->Owner;
  if (relay.Delay.count() == 0 && connection->Delayed[from].empty())
    return forwardNow(connection, from, bytes);
  connection->Delayed[from].push_back(std::move(bytes));
  relay.Server->after(relay.Delay, [owned = findShared(connection), from] {
    if (!owned || owned->Delayed[from].empty())
      return;
    std::string next = std::move(owned->Delayed[from].front());
    owned->Delayed[from].pop_front();
    forwardNow(owned.get(), from, next);
  });
}

template <int From> void onBytes(bufferevent *side, void *arg) {
  evbuffer *in = bufferevent_get_input(side);
  std::string bytes(evbuffer_get_length(in), '\0');
  evbuffer_remove(in, bytes.data(), bytes.size());
  auto *connection = static_cast<RelayedConnection *>(arg);
  replaceText(*connection->Owner, From, bytes);
  forward(connection, From, std::move(bytes));
}

template <int From> void onEvent(bufferevent *, short what, void *arg) {
  if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
    forward(static_cast<RelayedConnection *>(arg), From, "");
}

bufferevent *makeSide(Relay &relay, evutil_socket_t fd) {
  return bufferevent_socket_new(relay.Base, fd, BEV_OPT_CLOSE_ON_FREE);
}

void setNoDelay(evutil_socket_t fd) {
  int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

void onAccept(evconnlistener *, evutil_socket_t fd, sockaddr *, int,
              void *arg) {
  auto &relay = *static_cast<Relay *>(arg);
  auto connection = std::make_shared<RelayedConnection>();
  connection->Owner = &relay;
  connection->Swallowed = relay.Blocked;
  connection->Sides[0] = makeSide(relay, fd);
  connection->Sides[1] = makeSide(relay, -1);
  relay.Connections.insert(connection);
  setNoDelay(fd);
  bufferevent_setcb(connection->Sides[0], onBytes<0>, nullptr, onEvent<0>,
                    connection.get());
  bufferevent_setcb(connection->Sides[1], onBytes<1>, nullptr, onEvent<1>,
                    connection.get());
  bufferevent *server = connection->Sides[1];
  if (bufferevent_socket_connect(server,
                                 reinterpret_cast<sockaddr *>(&relay.Target),
                                 sizeof relay.Target) != 0)
    return closeConnection(connection.get());
  setNoDelay(bufferevent_getfd(server));
  for (bufferevent *side : connection->Sides)
    bufferevent_enable(side, EV_READ | EV_WRITE);
}

void cutAll(Relay &relay) {
  auto connections = relay.Connections;
  for (const auto &connection : connections)
    closeConnection(connection.get());
}

void swallowAll(Relay &relay) {
  for (const auto &connection : relay.Connections)
    connection->Swallowed = true;
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
  if (body.if_contains("replace")) {
    relay.Replaced = textOr(body, "replace");
    relay.Replacement = textOr(body, "by");
  }
  relay.Delay = milliseconds(static_cast<std::int64_t>(
      numberOr(body, "delay_ms", static_cast<double>(relay.Delay.count()))));
  sendJson(req, HTTP_OK, boost::json::object());
}

void serve(Relay &relay, const Request &req) {
  if (req.Path == "/test/mode")
    return setMode(relay, req);
  if (req.Path == "/test/connections")
    return sendJson(req, HTTP_OK,
                    boost::json::object{{"open", relay.Connections.size()}});
  sendJson(req, HTTP_NOTFOUND, boost::json::object());
}

} // namespace

int main(int argc, char **argv) {
  int port = 0;
  int listenPort = 0;
  int targetPort = 0;
  CLI::App app("TCP relay for tests");
  app.add_option("--port", port, "control port; 0 picks a free one");
  app.add_option("--listen", listenPort, "port to which callers connect")
      ->required();
  app.add_option("--to", targetPort, "port of the server")->required();
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
  if (!evconnlistener_new_bind(relay.Base, onAccept, &relay, flags, -1,
                               reinterpret_cast<sockaddr *>(&name),
                               sizeof name))
    return 1;
  return server.run();
}
