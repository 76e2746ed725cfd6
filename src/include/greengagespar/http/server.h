/// \file
/// An HTTP/1.1 server on bufferevents. It hands over whole requests, one at a
/// time for each connection, and takes answers whole or piece by piece. Not
/// thread safe: everything belongs to the thread of its loop.
#ifndef GREENGAGESPAR_HTTP_SERVER_H
#define GREENGAGESPAR_HTTP_SERVER_H

#include "greengagespar/base/errors.h"
#include "greengagespar/base/ids.h"
#include "greengagespar/http/message.h"
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct event_base;

namespace greengagespar {

/// What callers may send, and how long they may take.
struct HttpServerLimits {
  MessageLimits Message;
  /// From the first byte of a request's head to its last.
  std::chrono::milliseconds HeadTimeout{10000};
  /// Between requests, and between two pieces of a body.
  std::chrono::milliseconds IdleTimeout{60000};
  int MaxConnections = 3000;
  /// Answer bytes that may wait for a caller that does not read.
  std::size_t MaxWaitingBytes = std::size_t{1} << 20;
};

/// A request as it arrived.
struct HttpRequestMessage {
  HttpHead Head;
  std::string Body;
};

namespace detail {
class ServerConnection;
struct ServerState;
} // namespace detail

/// Where the answer to one request goes. All functions do nothing once the
/// caller has gone.
class HttpReply {
public:
  explicit HttpReply(std::weak_ptr<detail::ServerConnection> connection);

  /// Whether the caller is still there.
  bool isOpen() const;
  /// Calls \p gone once when the caller closes its connection before the
  /// answer has ended. At most one function is kept.
  void whenGone(std::function<void()> gone);
  /// Sends a complete answer. Content-Length is added.
  void sendWhole(int status, HttpFields fields, std::string_view body);
  /// Begins an answer whose body follows in pieces.
  void begin(int status, HttpFields fields);
  /// Sends a piece of the body. \pre begin() was called.
  void sendPiece(std::string_view piece);
  /// Ends the body.
  void end();
  /// Closes the connection, so that the answer can't be taken for complete.
  void abort();

private:
  std::weak_ptr<detail::ServerConnection> Connection;
};

/// A listening address and its connections.
class HttpEdge {
public:
  using Handler =
      std::function<void(HttpRequestMessage, std::shared_ptr<HttpReply>)>;

  /// Precondition: \p loop outlives the edge.
  HttpEdge(event_base *loop, HttpServerLimits limits, Handler handler);
  ~HttpEdge();
  HttpEdge(const HttpEdge &) = delete;
  HttpEdge &operator=(const HttpEdge &) = delete;

  /// Listens on \p address. Fails with LinkDown when it can't be bound.
  Result<void> listen(const Address &address);
  /// Applies to requests that begin after this.
  void setLimits(const HttpServerLimits &limits);
  /// Closes each connection after the answer to its next request, and those
  /// that are idle for \p linger from now. New connections are still taken.
  void drain(std::chrono::milliseconds linger);
  /// Connections that are open.
  std::size_t connections() const;

private:
  std::unique_ptr<detail::ServerState> S;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_HTTP_SERVER_H
