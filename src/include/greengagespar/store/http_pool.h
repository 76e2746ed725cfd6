/// \file
/// A small pool of HTTP connections to one address, on evhttp.
#ifndef GREENGAGESPAR_STORE_HTTP_POOL_H
#define GREENGAGESPAR_STORE_HTTP_POOL_H

#include "greengagespar/base/ids.h"
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

struct event_base;

namespace greengagespar {

namespace detail {
struct PoolState;
} // namespace detail

/// The methods that the pool sends.
enum class HttpMethod { Get, Put, Delete };

/// Which limit on concurrency a request counts against.
enum class HttpLane {
  Ordinary, ///< Answered as soon as possible.
  Waiting,  ///< A long poll, which holds its connection while it waits.
};

/// One request to be sent.
struct HttpRequest {
  HttpMethod Method = HttpMethod::Get;
  std::string Target;                ///< Encoded path and query.
  std::string Body;                  ///< JSON text; empty for none.
  std::chrono::milliseconds Timeout; ///< From the start of sending.
  HttpLane Lane = HttpLane::Ordinary;
};

/// What became of a request.
struct HttpAnswer {
  int Status = 0;      ///< 0: no answer; the effect of the request is unknown.
  bool Sent = true;    ///< False: the request never left this process.
  std::string Body;    ///< The body of the answer.
  std::string Failure; ///< Why there is no answer; empty when there is one.
};

/// TCP keep-alive of a pool's connections. Something between the two ends may
/// lose track of a connection; without probes a long poll would not notice.
struct HttpKeepAlive {
  bool On = false;
  std::chrono::seconds Idle{1};     ///< Quiet time before the first probe.
  std::chrono::seconds Interval{1}; ///< Between probes.
  int Probes = 2;                   ///< Unanswered probes that end it.
};

/// Limits of a pool.
struct HttpPoolOptions {
  Address Server;              ///< IP address and port.
  int MaxOrdinary = 4;         ///< Ordinary requests in progress.
  int MaxWaiting = 4;          ///< Long polls in progress.
  std::size_t MaxQueued = 256; ///< Requests that wait for a connection.
  /// A connection that was idle for longer is closed, not used again, because
  /// something between the two ends may have forgotten it.
  std::chrono::milliseconds MaxIdle{5000};
  std::size_t MaxAnswerBytes =
      std::size_t{16} * 1024 * 1024; ///< Largest answer body.
  HttpKeepAlive KeepAlive = {};
};

/// Sends requests over a bounded number of connections and reuses them. After
/// a timeout all idle connections are closed, so that the next request goes
/// over a fresh one. Never retries. Not thread safe: belongs to the thread of
/// its loop.
class HttpPool {
public:
  /// Receives the answer, always from the loop and never inside `send`.
  using Callback = std::function<void(HttpAnswer)>;

  /// Precondition: \p loop outlives the pool.
  HttpPool(event_base *loop, HttpPoolOptions options);
  /// Drops all requests in progress; their callbacks are not called.
  /// Precondition: not called from inside a callback.
  ~HttpPool();
  HttpPool(const HttpPool &) = delete;
  HttpPool &operator=(const HttpPool &) = delete;

  /// Sends \p request as soon as its lane allows. \p done is called exactly
  /// once unless the pool is destroyed before.
  void send(HttpRequest request, Callback done);

private:
  std::unique_ptr<detail::PoolState> S;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_STORE_HTTP_POOL_H
