/// \file
/// A small pool of HTTP connections to one address.
#ifndef GREENGAGESPAR_STORE_HTTP_POOL_H
#define GREENGAGESPAR_STORE_HTTP_POOL_H

#include "greengagespar/base/ids.h"
#include "greengagespar/http/client.h"
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

/// Selects the concurrency limit that a request counts against.
enum class HttpRequestKind {
  Ordinary, ///< The server answers as soon as it can.
  LongPoll, ///< A long poll: holds its connection while it waits.
};

/// A request to send.
struct HttpRequest {
  HttpMethod Method = HttpMethod::Get;
  std::string Target; ///< Encoded path and query.
  std::string Body;   ///< JSON text; empty for none.
  /// Longest time from the start of sending to the answer.
  std::chrono::milliseconds Timeout;
  HttpRequestKind Kind = HttpRequestKind::Ordinary;
};

/// Identifies a request of a pool. 0 identifies none.
using HttpRequestNumber = NumberId<struct HttpRequestNumberTag>;

/// The answer to a request, or why there is none.
struct HttpAnswer {
  /// 0: no answer. If Sent, the effect of the request is then unknown.
  int Status = 0;
  bool Sent = true; ///< False: the request never left this process.
  std::string Body; ///< The body of the answer.
  /// Value of the header HttpPoolOptions::Header; empty if there is none.
  std::string Header;
  std::string Failure; ///< Why there is no answer; empty when there is one.
};

/// Limits of a pool.
struct HttpPoolOptions {
  Address Server;              ///< IP address and port.
  int MaxOrdinary = 4;         ///< Ordinary requests in progress.
  int MaxLongPolls = 4;        ///< Long polls in progress.
  std::size_t MaxQueued = 256; ///< Requests that wait for a connection.
  /// A connection that was idle for longer is closed instead of reused, because
  /// a device on the path may have forgotten it.
  std::chrono::milliseconds MaxIdle{5000};
  std::size_t MaxAnswerBytes =
      std::size_t{16} * 1024 * 1024; ///< Largest answer body.
  HttpKeepAlive KeepAlive = {};      ///< Of the pool's connections.
  std::string Header; ///< Name of the header that answers keep; empty: none.
};

/// Sends requests over a bounded number of connections and reuses them. After
/// a timeout the pool closes all idle connections, so that the next request
/// opens a new one. It never retries. Not thread safe: it belongs to the thread
/// of its loop.
class HttpPool {
public:
  /// Receives the answer. The loop calls it, never `send`.
  using Callback = std::function<void(HttpAnswer)>;

  /// Precondition: \p loop outlives the pool.
  HttpPool(event_base *loop, HttpPoolOptions options);
  /// Cancels all requests in progress without calling their callbacks.
  /// Precondition: not called from inside a callback.
  ~HttpPool();
  HttpPool(const HttpPool &) = delete;
  HttpPool &operator=(const HttpPool &) = delete;

  /// Sends \p request as soon as the limit of its kind allows. \p done is
  /// called exactly once, unless the pool is destroyed before.
  HttpRequestNumber send(HttpRequest request, Callback done);

  /// Gives up the request \p number: closes its connection, and its callback
  /// receives a failed answer from the loop. Does nothing if the request has
  /// ended.
  void cancel(HttpRequestNumber number);

  /// Calls \p done, from the loop, with an answer that says that the request
  /// was not sent because of \p why.
  void refuse(std::string why, Callback done);

private:
  std::unique_ptr<detail::PoolState> S;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_STORE_HTTP_POOL_H
