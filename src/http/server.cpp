#include "greengagespar/http/server.h"

#include "server_connection.h"
#include <event2/event.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <utility>

namespace greengagespar {

namespace {

constexpr int ListenBacklog = 1024;

} // namespace

HttpReply::HttpReply(std::weak_ptr<detail::ServerConnection> connection)
    : Connection(std::move(connection)) {}

bool HttpReply::isOpen() const { return !Connection.expired(); }

std::size_t HttpReply::unsentBytes() const {
  auto it = Connection.lock();
  return it ? it->unsentBytes() : 0;
}

void HttpReply::onDrained(std::function<void()> callback) {
  if (auto it = Connection.lock())
    it->OnDrained = std::move(callback);
}

void HttpReply::onDisconnect(std::function<void()> callback) {
  if (auto it = Connection.lock())
    it->OnDisconnect = std::move(callback);
}

void HttpReply::sendWhole(int status, HttpFields fields,
                          std::string_view body) {
  if (auto it = Connection.lock())
    it->send(status, fields, body);
  Connection.reset();
}

void HttpReply::begin(int status, HttpFields fields) {
  if (auto it = Connection.lock())
    it->begin(status, fields);
}

void HttpReply::sendPiece(std::string_view piece) {
  if (auto it = Connection.lock())
    it->sendPiece(piece);
}

void HttpReply::end() {
  if (auto it = Connection.lock())
    it->endAnswer();
  Connection.reset();
}

void HttpReply::abort() {
  if (auto it = Connection.lock()) {
    it->OnDisconnect = nullptr;
    it->close();
  }
  Connection.reset();
}

namespace {

void addConnection(detail::ServerState &server, evutil_socket_t fd) {
  if (std::cmp_greater_equal(server.Open.size(),
                             server.Limits.MaxConnections)) {
    evutil_closesocket(fd);
    return;
  }
  auto connection = std::make_shared<detail::ServerConnection>(server, fd);
  server.Open.emplace(connection.get(), connection);
}

void onAccept(evconnlistener *, evutil_socket_t fd, sockaddr *, int,
              void *arg) {
  addConnection(*static_cast<detail::ServerState *>(arg), fd);
}

} // namespace

HttpListener::HttpListener(event_base *loop, HttpServerLimits limits,
                           Handler handler)
    : S(std::make_unique<detail::ServerState>()) {
  S->Loop = loop;
  S->Limits = limits;
  S->Handle = std::move(handler);
}

HttpListener::~HttpListener() {
  if (S->Listener)
    evconnlistener_free(S->Listener);
  auto open = std::move(S->Open);
  S->Open.clear();
}

Result<void> HttpListener::listen(const Address &address) {
  sockaddr_storage name{};
  int size = sizeof(name);
  if (evutil_parse_sockaddr_port(address.Value.c_str(),
                                 reinterpret_cast<sockaddr *>(&name),
                                 &size) != 0)
    return fail(ErrorKind::BadSettings, "not an address: " + address.Value);
  S->Listener = evconnlistener_new_bind(
      S->Loop, onAccept, S.get(),
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
      ListenBacklog, reinterpret_cast<sockaddr *>(&name), size);
  if (!S->Listener)
    return fail(ErrorKind::LinkDown,
                "can't listen on " + address.Value + ": " +
                    evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
  return {};
}

void HttpListener::setLimits(const HttpServerLimits &limits) {
  S->Limits = limits;
}

void HttpListener::boundMemory(BufferMemory &memory, BodyRefusal refuse) {
  S->Memory = &memory;
  S->RefuseBody = std::move(refuse);
}

void HttpListener::drain(std::chrono::milliseconds linger) {
  S->Draining = true;
  S->Linger = linger;
  for (auto &[raw, connection] : S->Open)
    if (connection->isIdle())
      connection->startTimeout(linger);
}

// The kernel resets the connections that wait to be accepted when the socket
// is closed, with the requests that may have arrived on them.
void HttpListener::stopAccepting() {
  if (!S->Listener)
    return;
  evutil_socket_t listener = evconnlistener_get_fd(S->Listener);
  for (int i = 0; i < ListenBacklog; ++i) {
    int fd = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0)
      break;
    addConnection(*S, fd);
  }
  evconnlistener_free(std::exchange(S->Listener, nullptr));
}

std::size_t HttpListener::connections() const { return S->Open.size(); }

} // namespace greengagespar
