/// \file
/// An HTTP/1.1 server on bufferevents. It passes complete requests to its
/// handler, one at a time for each connection, and sends answers complete or
/// in pieces. Not thread safe: everything belongs to the thread of its loop.
#ifndef GREENGAGESPAR_HTTP_SERVER_H
#define GREENGAGESPAR_HTTP_SERVER_H

#include "greengagespar/base/errors.h"
#include "greengagespar/base/ids.h"
#include "greengagespar/http/buffer_memory.h"
#include "greengagespar/http/message.h"
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct event_base;

namespace greengagespar {

/// Limits on what callers send and on how long they take.
struct HttpServerLimits {
  MessageLimits Message;
  /// Longest time from the first byte of a request's head to its last.
  std::chrono::milliseconds HeadTimeout{10000};
  /// Longest time between requests, and between two pieces of a body.
  std::chrono::milliseconds IdleTimeout{60000};
  /// Open connections; the server closes any further one at once.
  int MaxConnections = 3000;
  /// Answer bytes buffered for a caller that does not read. When there are
  /// more, the server closes the connection.
  std::size_t MaxUnsentBytes = std::size_t{1} << 20;
};

/// A complete request as it arrived.
struct HttpRequestMessage {
  HttpHead Head;
  std::string Body;
  /// What Body takes of the memory for all bodies; null: it is not bounded.
  std::shared_ptr<BodyShare> Memory = nullptr;
};

/// The status and the fields of an answer without a body.
struct HttpRefusal {
  int Status = 0;
  HttpFields Fields;
};

/// Answers a request whose body is not read, as there is no memory for it. The
/// body has \p size bytes; if its length is not known, it has more.
using BodyRefusal =
    std::function<HttpRefusal(const HttpHead &, std::size_t size)>;

namespace detail {
class ServerConnection;
struct ServerState;
} // namespace detail

/// Sends the answer to one request. All functions do nothing once the caller's
/// connection is closed.
class HttpReply {
public:
  explicit HttpReply(std::weak_ptr<detail::ServerConnection> connection);

  /// Whether the caller's connection is open and the answer has not ended.
  bool isOpen() const;
  /// Returns how many bytes the caller has not taken yet, without those that
  /// the kernel holds.
  std::size_t unsentBytes() const;
  /// Calls \p callback each time that the caller has taken all bytes. A later
  /// call replaces the function of an earlier one.
  void onDrained(std::function<void()> callback);
  /// Calls \p callback once if the caller's connection closes before the answer
  /// has ended. A later call replaces the function of an earlier one.
  void onDisconnect(std::function<void()> callback);
  /// Sends a complete answer. Content-Length is added.
  void sendWhole(int status, HttpFields fields, std::string_view body);
  /// Sends the head of an answer whose body follows in pieces.
  void begin(int status, HttpFields fields);
  /// Sends a piece of the body. \pre begin() was called.
  void sendPiece(std::string_view piece);
  /// Ends the body, which completes the answer.
  void end();
  /// Closes the connection, so that the caller sees the answer as incomplete.
  void abort();

private:
  std::weak_ptr<detail::ServerConnection> Connection;
};

/// A listening address and its connections.
class HttpListener {
public:
  using Handler =
      std::function<void(HttpRequestMessage, std::shared_ptr<HttpReply>)>;

  /// Precondition: \p loop outlives this object.
  HttpListener(event_base *loop, HttpServerLimits limits, Handler handler);
  ~HttpListener();
  HttpListener(const HttpListener &) = delete;
  HttpListener &operator=(const HttpListener &) = delete;

  /// Listens on \p address. Fails with BadSettings if \p address is not valid
  /// and with LinkDown and the reason if it can't be bound.
  Result<void> listen(const Address &address);
  /// Sets the limits for requests that begin after this call.
  void setLimits(const HttpServerLimits &limits);
  /// Counts what callers make this listener keep in \p memory and bounds it. A
  /// request without room is answered by \p refuse before its body is read, and
  /// its connection is closed. Call it before listen(). Precondition: \p memory
  /// outlives this object.
  void boundMemory(BufferMemory &memory, BodyRefusal refuse);
  /// From now on closes each connection after its current or next answer, and
  /// closes idle connections that receive no request within \p linger. New
  /// connections are still accepted.
  void drain(std::chrono::milliseconds linger);
  /// Accepts the connections that the kernel has established, and refuses later
  /// ones. Does nothing if that was done before.
  void stopAccepting();
  /// Returns the number of open connections.
  std::size_t connections() const;

private:
  std::unique_ptr<detail::ServerState> S;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_HTTP_SERVER_H
