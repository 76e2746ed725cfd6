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

// Time between two searches for slow and closed connections.
constexpr timeval SweepInterval{0, 100000};

// The kernel's send buffer for answers that a caller has not read yet, in
// bytes.
constexpr int SendBufferBytes = 256 << 10;

// Bytes allowed for line ends and chunk sizes in addition to headers and body.
constexpr std::size_t FramingBytes = 64 << 10;

// The methods that the server accepts.
constexpr ev_uint16_t AllowedMethods =
    EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
    EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH;

// Returns whether evhttp has freed the connection: it clears the callbacks
// then.
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
  evhttp_set_allowed_methods(Http, AllowedMethods);
  timeval idle{static_cast<time_t>(Limits.IdleTimeout.count() / 1000), 0};
  evhttp_set_timeout_tv(Http, &idle);
  evhttp_set_bevcb(Http, onConnection, this);
  evhttp_set_gencb(Http, onRequest, this);
  event_add(Sweeper, &SweepInterval);
}

HttpServer::~HttpServer() {
  event_free(Sweeper);
  evhttp_free(Http);
  for (auto &[connection, state] : Connections)
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
  // Accepted sockets inherit both options. TCP_NODELAY sends each part of a
  // stream at once; the fixed SO_SNDBUF keeps the kernel's buffer from growing
  // while a caller reads slowly.
  int fd = evhttp_bound_socket_get_fd(bound);
  int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &SendBufferBytes,
             sizeof SendBufferBytes);
  return {};
}

bufferevent *HttpServer::onConnection(event_base *base, void *self) {
  auto *server = static_cast<HttpServer *>(self);
  bufferevent *connection = bufferevent_socket_new(base, -1, 0);
  // The extra reference keeps the pointer valid until the next sweep.
  bufferevent_incref(connection);
  ConnectionState &state = server->Connections[connection];
  state.Owner = server;
  state.IsRefused = server->Connections.size() >
                    static_cast<std::size_t>(server->Limits.MaxConnections);
  evbuffer_add_cb(bufferevent_get_input(connection), onInput, &state);
  // evhttp continues to read while it answers. The watermark stops it after as
  // many bytes as the largest allowed request has; further bytes of the caller
  // wait in the kernel.
  bufferevent_setwatermark(connection, EV_READ, 0,
                           server->Limits.MaxHeaderBytes +
                               server->Limits.MaxBodyBytes + FramingBytes);
  return connection;
}

void HttpServer::onInput(evbuffer *, const evbuffer_cb_info *info, void *arg) {
  auto *state = static_cast<ConnectionState *>(arg);
  if (info->n_added > 0 && !state->RequestStartedAt && !state->IsAnswering)
    state->RequestStartedAt = Clock::now();
}

void HttpServer::onRequest(evhttp_request *request, void *self) {
  auto *server = static_cast<HttpServer *>(self);
  auto *connection =
      evhttp_connection_get_bufferevent(evhttp_request_get_connection(request));
  if (auto it = server->Connections.find(connection);
      it != server->Connections.end()) {
    it->second.RequestStartedAt.reset();
    it->second.IsAnswering = true;
    evhttp_request_set_on_complete_cb(request, onAnswered, &it->second);
  }
  server->Handle(request);
}

bool HttpServer::hasOutput() const {
  return std::ranges::any_of(Connections, [](const auto &it) {
    return !isFreed(it.first) &&
           evbuffer_get_length(bufferevent_get_output(it.first)) > 0;
  });
}

void HttpServer::onAnswered(evhttp_request *request, void *arg) {
  auto *state = static_cast<ConnectionState *>(arg);
  state->IsAnswering = false;
  auto *connection =
      evhttp_connection_get_bufferevent(evhttp_request_get_connection(request));
  if (evbuffer_get_length(bufferevent_get_input(connection)) > 0)
    state->RequestStartedAt = Clock::now();
}

void HttpServer::onSweep(int, short, void *self) {
  static_cast<HttpServer *>(self)->sweep();
}

void HttpServer::sweep() {
  auto now = Clock::now();
  std::erase_if(Connections, [](const auto &it) {
    if (!isFreed(it.first))
      return false;
    bufferevent_decref(it.first);
    return true;
  });
  for (auto &[connection, state] : Connections) {
    bool isSlow = state.RequestStartedAt &&
                  *state.RequestStartedAt + Limits.ArrivalTimeout < now;
    if (!isSlow && !state.IsRefused)
      continue;
    // evhttp notices that the connection is shut down and frees it.
    shutdown(bufferevent_getfd(connection), SHUT_RDWR);
    ++Closed;
  }
}

} // namespace greengagespar
