#include "http_server.h"

#include <algorithm>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace greengagespar {

namespace {

// How often slow and closed connections are looked for.
constexpr timeval SweepInterval{0, 100000};

// Bytes that the kernel keeps of answers that a caller does not take.
constexpr int SendBuffer = 256 << 10;

// Room for line ends and chunk sizes beside headers and body.
constexpr std::size_t FramingBytes = 64 << 10;

// Every method that evhttp knows.
constexpr ev_uint16_t AllMethods =
    EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
    EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH;

// evhttp clears the callbacks of a connection when it frees it.
bool isFreed(bufferevent *connection) {
  bufferevent_event_cb onEvent = nullptr;
  bufferevent_getcb(connection, nullptr, nullptr, &onEvent, nullptr);
  return onEvent == nullptr;
}

} // namespace

HttpServer::HttpServer(event_base *base, const HttpLimits &limits,
                       Handler handler)
    : Base(base), Limits(limits), Handle(std::move(handler)),
      Http(evhttp_new(base)),
      Sweeper(event_new(base, -1, EV_PERSIST, onSweep, this)) {
  evhttp_set_max_headers_size(Http,
                              static_cast<ev_ssize_t>(Limits.MaxHeaderBytes));
  evhttp_set_max_body_size(Http, static_cast<ev_ssize_t>(Limits.MaxBodyBytes));
  evhttp_set_allowed_methods(Http, AllMethods);
  timeval idle{static_cast<time_t>(Limits.IdleTimeout.count() / 1000), 0};
  evhttp_set_timeout_tv(Http, &idle);
  evhttp_set_bevcb(Http, onConnection, this);
  evhttp_set_gencb(Http, onRequest, this);
  event_add(Sweeper, &SweepInterval);
}

HttpServer::~HttpServer() {
  event_free(Sweeper);
  evhttp_free(Http);
  for (auto &[connection, guard] : Guards)
    bufferevent_decref(connection);
}

Result<void> HttpServer::bind(const Address &address) {
  auto colon = address.Value.rfind(':');
  std::string host = address.Value.substr(0, colon);
  auto port =
      static_cast<ev_uint16_t>(std::stoi(address.Value.substr(colon + 1)));
  auto *bound = evhttp_bind_socket_with_handle(Http, host.c_str(), port);
  if (!bound)
    return fail(ErrorKind::BadRequest, "cannot listen on " + address.Value);
  // Accepted sockets inherit both: each part of a stream leaves at once, and
  // the kernel's buffer does not grow with a caller that reads slowly.
  int fd = evhttp_bound_socket_get_fd(bound);
  int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &SendBuffer, sizeof SendBuffer);
  return {};
}

bufferevent *HttpServer::onConnection(event_base *base, void *self) {
  auto *server = static_cast<HttpServer *>(self);
  bufferevent *connection = bufferevent_socket_new(base, -1, 0);
  // The extra reference keeps the pointer valid until the next sweep.
  bufferevent_incref(connection);
  Guard &guard = server->Guards[connection];
  guard.Owner = server;
  guard.IsRefused = server->Guards.size() >
                    static_cast<std::size_t>(server->Limits.MaxConnections);
  evbuffer_add_cb(bufferevent_get_input(connection), onInput, &guard);
  // evhttp goes on reading while it answers; what a caller sends then waits in
  // the kernel once one request's worth has been read.
  bufferevent_setwatermark(connection, EV_READ, 0,
                           server->Limits.MaxHeaderBytes +
                               server->Limits.MaxBodyBytes + FramingBytes);
  return connection;
}

void HttpServer::onInput(evbuffer *, const evbuffer_cb_info *info, void *arg) {
  auto *guard = static_cast<Guard *>(arg);
  if (info->n_added > 0 && !guard->RequestBegan && !guard->IsAnswering)
    guard->RequestBegan = Clock::now();
}

void HttpServer::onRequest(evhttp_request *request, void *self) {
  auto *server = static_cast<HttpServer *>(self);
  auto *connection =
      evhttp_connection_get_bufferevent(evhttp_request_get_connection(request));
  if (auto it = server->Guards.find(connection); it != server->Guards.end()) {
    it->second.RequestBegan.reset();
    it->second.IsAnswering = true;
    evhttp_request_set_on_complete_cb(request, onAnswered, &it->second);
  }
  server->Handle(request);
}

bool HttpServer::hasOutput() const {
  return std::ranges::any_of(Guards, [](const auto &it) {
    return !isFreed(it.first) &&
           evbuffer_get_length(bufferevent_get_output(it.first)) > 0;
  });
}

void HttpServer::onAnswered(evhttp_request *request, void *arg) {
  auto *guard = static_cast<Guard *>(arg);
  guard->IsAnswering = false;
  auto *connection =
      evhttp_connection_get_bufferevent(evhttp_request_get_connection(request));
  if (evbuffer_get_length(bufferevent_get_input(connection)) > 0)
    guard->RequestBegan = Clock::now();
}

void HttpServer::onSweep(int, short, void *self) {
  static_cast<HttpServer *>(self)->sweep();
}

void HttpServer::sweep() {
  auto now = Clock::now();
  std::erase_if(Guards, [](const auto &it) {
    if (!isFreed(it.first))
      return false;
    bufferevent_decref(it.first);
    return true;
  });
  for (auto &[connection, guard] : Guards) {
    bool isSlow =
        guard.RequestBegan && *guard.RequestBegan + Limits.ArrivalTimeout < now;
    if (!isSlow && !guard.IsRefused)
      continue;
    // evhttp sees the end of the connection and frees it.
    shutdown(bufferevent_getfd(connection), SHUT_RDWR);
    ++Closed;
  }
}

} // namespace greengagespar
