/// \file
/// HTTP server towards callers: evhttp with limits on headers, bodies,
/// connections and on the time that a request may take to arrive. Not thread
/// safe: used from the loop's thread only.
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
  std::size_t MaxHeaderBytes = 16 << 10;
  std::size_t MaxBodyBytes = 1 << 20;
  int MaxConnections = 4096;
  std::chrono::milliseconds ArrivalTimeout{10000}; ///< First byte to last.
  std::chrono::milliseconds IdleTimeout{60000};    ///< Without any byte.
};

/// Listens for callers and hands on each whole request.
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

  /// Connections open now.
  std::size_t connections() const { return Guards.size(); }
  /// Whether an answer waits to be sent on some connection.
  bool hasOutput() const;
  /// Connections closed because their request took too long to arrive, or
  /// because there were too many.
  std::uint64_t closed() const { return Closed; }

private:
  /// Watches one connection from accept to close.
  struct Guard {
    HttpServer *Owner = nullptr;
    std::optional<Clock::time_point> RequestBegan;
    bool IsAnswering = false; ///< A request has arrived and is not answered.
    bool IsRefused = false;
  };

  static bufferevent *onConnection(event_base *base, void *self);
  static void onInput(evbuffer *buf, const evbuffer_cb_info *info, void *guard);
  static void onRequest(evhttp_request *request, void *self);
  static void onAnswered(evhttp_request *request, void *guard);
  static void onSweep(int, short, void *self);
  void sweep();

  event_base *Base;
  HttpLimits Limits;
  Handler Handle;
  evhttp *Http;
  event *Sweeper;
  std::unordered_map<bufferevent *, Guard> Guards;
  std::uint64_t Closed = 0;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_ENTRY_HTTP_SERVER_H
