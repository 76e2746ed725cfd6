#include "http_server.h"

#include "greengagespar/base/http_method.h"

#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdexcept>
#include <sys/socket.h>

namespace greengagespar::standin {

namespace {

constexpr std::size_t MaxHeaderBytes = std::size_t{64} * 1024;
constexpr std::size_t MaxBodyBytes = std::size_t{64} * 1024 * 1024;

std::string decoded(const char *text) {
  std::size_t n = 0;
  char *raw = evhttp_uridecode(text, 0, &n);
  std::string out(raw, n);
  std::free(raw);
  return out;
}

Request readRequest(evhttp_request *raw) {
  Request req;
  req.Raw = raw;
  req.Method = methodName(evhttp_request_get_command(raw));
  const evhttp_uri *uri = evhttp_request_get_evhttp_uri(raw);
  if (const char *path = uri ? evhttp_uri_get_path(uri) : nullptr)
    req.Path = decoded(path);
  if (const char *query = uri ? evhttp_uri_get_query(uri) : nullptr) {
    evkeyvalq pairs;
    if (evhttp_parse_query_str(query, &pairs) == 0)
      for (evkeyval *it = pairs.tqh_first; it; it = it->next.tqe_next)
        req.Query[it->key] = it->value;
    evhttp_clear_headers(&pairs);
  }
  evbuffer *in = evhttp_request_get_input_buffer(raw);
  req.Body.resize(evbuffer_get_length(in));
  evbuffer_remove(in, req.Body.data(), req.Body.size());
  return req;
}

timeval toTimeval(std::chrono::microseconds t) {
  constexpr std::int64_t million = 1000000;
  return {static_cast<time_t>(t.count() / million),
          static_cast<suseconds_t>(t.count() % million)};
}

// Watches for the close of one request's connection. The watch exists until the
// connection is freed or the answer has ended, whichever comes first.
struct CloseWatch {
  event *Readable = nullptr;
  evhttp_request *Raw = nullptr;
  std::function<void()> OnDisconnect;
};

void notifyDisconnect(CloseWatch *watch) {
  auto onDisconnect = std::move(watch->OnDisconnect);
  watch->OnDisconnect = nullptr;
  if (onDisconnect)
    onDisconnect();
}

void endWatch(CloseWatch *watch) {
  event_free(watch->Readable);
  delete watch;
}

} // namespace

struct HttpServer::Impl {
  event_base *Base = nullptr;
  evhttp *Http = nullptr;
  event *StopSignals[2] = {nullptr, nullptr};
  int Port = 0;
  Handler OnRequest;
};

std::uint64_t queryNumber(const Request &req, const std::string &key,
                          std::uint64_t fallback) {
  auto it = req.Query.find(key);
  if (it == req.Query.end() || it->second.empty())
    return fallback;
  char *end = nullptr;
  auto n = std::strtoull(it->second.c_str(), &end, 10);
  return *end == '\0' ? n : fallback;
}

void sendText(const Request &req, int status, std::string_view body,
              const char *contentType) {
  if (contentType)
    evhttp_add_header(evhttp_request_get_output_headers(req.Raw),
                      "Content-Type", contentType);
  evbuffer *buf = evbuffer_new();
  evbuffer_add(buf, body.data(), body.size());
  evhttp_send_reply(req.Raw, status, nullptr, buf);
  evbuffer_free(buf);
}

void sendJson(const Request &req, int status, const boost::json::value &body) {
  sendText(req, status, boost::json::serialize(body), "application/json");
}

void drop(const Request &req) {
  if (auto *con = evhttp_request_get_connection(req.Raw))
    evhttp_connection_free(con);
  else
    evhttp_request_free(req.Raw);
}

boost::json::object bodyObject(const Request &req) {
  boost::json::error_code ec;
  auto value = boost::json::parse(req.Body, ec);
  return !ec && value.is_object() ? value.as_object() : boost::json::object();
}

double numberOr(const boost::json::object &object, std::string_view key,
                double fallback) {
  const auto *it = object.if_contains(key);
  return it && it->is_number() ? it->to_number<double>() : fallback;
}

std::string textOr(const boost::json::object &object, std::string_view key) {
  const auto *it = object.if_contains(key);
  return it && it->is_string() ? std::string(it->as_string()) : std::string();
}

HttpServer::HttpServer(int port, Handler handler)
    : Self(std::make_unique<Impl>()) {
  std::signal(SIGPIPE, SIG_IGN);
  event_config *config = event_config_new();
  event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
  Self->Base = event_base_new_with_config(config);
  event_config_free(config);
  Self->OnRequest = std::move(handler);
  Self->Http = evhttp_new(Self->Base);
  evhttp_set_max_headers_size(Self->Http, MaxHeaderBytes);
  evhttp_set_max_body_size(Self->Http, MaxBodyBytes);
  evhttp_set_allowed_methods(Self->Http, 0xffff);
  evhttp_set_gencb(
      Self->Http,
      [](evhttp_request *raw, void *arg) {
        static_cast<Impl *>(arg)->OnRequest(readRequest(raw));
      },
      Self.get());
  auto *bound = evhttp_bind_socket_with_handle(
      Self->Http, "127.0.0.1", static_cast<std::uint16_t>(port));
  if (!bound)
    throw std::runtime_error("port " + std::to_string(port) + " is taken");
  int fd = evhttp_bound_socket_get_fd(bound);
  // Accepted sockets inherit this option, so that each token is sent at once.
  int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  sockaddr_in name{};
  socklen_t n = sizeof name;
  getsockname(fd, reinterpret_cast<sockaddr *>(&name), &n);
  Self->Port = ntohs(name.sin_port);
}

HttpServer::~HttpServer() {
  for (event *stop : Self->StopSignals)
    if (stop)
      event_free(stop);
  evhttp_free(Self->Http);
  event_base_free(Self->Base);
}

int HttpServer::run() {
  constexpr int signals[2] = {SIGTERM, SIGINT};
  for (int i = 0; i < 2; ++i) {
    Self->StopSignals[i] = evsignal_new(
        Self->Base, signals[i],
        [](evutil_socket_t, short, void *base) {
          event_base_loopbreak(static_cast<event_base *>(base));
        },
        Self->Base);
    event_add(Self->StopSignals[i], nullptr);
  }
  std::printf("ready port=%d\n", Self->Port);
  std::fflush(stdout);
  event_base_dispatch(Self->Base);
  // Skips the destructors, since requests that are still open need no answer.
  std::_Exit(0);
}

event_base *HttpServer::base() { return Self->Base; }

void HttpServer::after(std::chrono::microseconds delay,
                       std::function<void()> task) {
  timeval tv = toTimeval(delay);
  event_base_once(
      Self->Base, -1, EV_TIMEOUT,
      [](evutil_socket_t, short, void *arg) {
        std::unique_ptr<std::function<void()>> task(
            static_cast<std::function<void()> *>(arg));
        (*task)();
      },
      new std::function<void()>(std::move(task)), &tv);
}

void HttpServer::whenCallerDisconnects(const Request &req,
                                       std::function<void()> onDisconnect) {
  auto *con = evhttp_request_get_connection(req.Raw);
  if (!con)
    return onDisconnect();
  auto *watch = new CloseWatch{nullptr, req.Raw, std::move(onDisconnect)};
  evutil_socket_t fd =
      bufferevent_getfd(evhttp_connection_get_bufferevent(con));
  // evhttp doesn't read from the connection while a request is handled, and so
  // doesn't detect its close. Reading here would consume bytes of the next
  // request, so the watch only peeks.
  watch->Readable = event_new(
      Self->Base, fd, EV_READ,
      [](evutil_socket_t fd, short, void *arg) {
        char c;
        ssize_t n = recv(fd, &c, 1, MSG_PEEK | MSG_DONTWAIT);
        if (n == 0 || (n < 0 && errno != EAGAIN))
          notifyDisconnect(static_cast<CloseWatch *>(arg));
      },
      watch);
  event_add(watch->Readable, nullptr);
  evhttp_connection_set_closecb(
      con,
      [](evhttp_connection *, void *arg) {
        auto *watch = static_cast<CloseWatch *>(arg);
        evhttp_request_set_on_complete_cb(watch->Raw, nullptr, nullptr);
        notifyDisconnect(watch);
        endWatch(watch);
      },
      watch);
  evhttp_request_set_on_complete_cb(
      req.Raw,
      [](evhttp_request *raw, void *arg) {
        if (auto *con = evhttp_request_get_connection(raw))
          evhttp_connection_set_closecb(con, nullptr, nullptr);
        endWatch(static_cast<CloseWatch *>(arg));
      },
      watch);
}

} // namespace greengagespar::standin
