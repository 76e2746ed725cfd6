/// \file
/// HTTP server for callers: evhttp with limits on the size of headers and
/// bodies, on the number of connections and on the time that a request may take
/// to arrive. Not thread safe: used from the loop's thread only.
#ifndef GREENGAGESPAR_ENTRY_HTTP_SERVER_H
#define GREENGAGESPAR_ENTRY_HTTP_SERVER_H

#include "greengagespar/base/clock.h"
#include "greengagespar/base/errors.h"
#include "greengagespar/base/ids.h"
#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;
struct event;
struct event_base;
struct evhttp;
struct evhttp_request;

namespace greengagespar {

/// Limits of the server.
struct HttpLimits {
  std::size_t MaxHeaderBytes = 16 << 10; ///< Of one request.
  std::size_t MaxBodyBytes = 1 << 20;    ///< Of one request.
  int MaxConnections = 4096;             ///< Open at the same time.
  /// Time from the first byte of a request to its last.
  std::chrono::milliseconds ArrivalTimeout{10000};
  /// A connection on which no byte moves for this long is closed.
  std::chrono::milliseconds IdleTimeout{60000};
};

/// Listens for callers and passes each complete request to a handler.
class HttpServer {
public:
  using Handler = std::function<void(evhttp_request *)>;

  /// Precondition: \p base outlives the server.
  HttpServer(event_base *base, const HttpLimits &limits, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Listens on \p address. Fails with BadRequest when it can't be bound.
  Result<void> bind(const Address &address);

  /// Returns the number of open connections.
  std::size_t connections() const { return Connections.size(); }
  /// Returns whether any connection has bytes of an answer left to send.
  bool hasOutput() const;
  /// Returns how often a sweep shut down a connection because its request took
  /// too long to arrive, or because there were too many connections.
  std::uint64_t closed() const { return Closed; }

private:
  /// The state of one connection from accept to close.
  struct ConnectionState {
    HttpServer *Owner = nullptr;
    /// When the first byte of an incomplete request arrived; empty: there is no
    /// such request.
    std::optional<Clock::time_point> RequestStartedAt;
    bool IsAnswering = false; ///< A request has arrived and is not answered.
    bool IsRefused = false;   ///< It exceeds the limit on connections.
  };

  static bufferevent *onConnection(event_base *base, void *self);
  static void onInput(evbuffer *buf, const evbuffer_cb_info *info, void *state);
  static void onRequest(evhttp_request *request, void *self);
  static void onAnswered(evhttp_request *request, void *state);
  static void onSweep(int, short, void *self);
  void sweep();

  event_base *Base;
  HttpLimits Limits;
  Handler Handle;
  evhttp *Http;
  event *Sweeper;
  std::unordered_map<bufferevent *, ConnectionState> Connections;
  std::uint64_t Closed = 0;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_ENTRY_HTTP_SERVER_H
