/// \file
/// One HTTP/1.1 connection to a server that carries one exchange (request and
/// answer) at a time. Not thread safe: it belongs to the thread of its loop.
#ifndef GREENGAGESPAR_HTTP_CLIENT_H
#define GREENGAGESPAR_HTTP_CLIENT_H

#include "greengagespar/base/clock.h"
#include "greengagespar/base/ids.h"
#include "greengagespar/http/message.h"
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct event_base;

namespace greengagespar {

namespace detail {
struct ClientState;
} // namespace detail

/// How an exchange ended.
enum class ExchangeEnd {
  Complete,     ///< The whole answer was received.
  NotConnected, ///< No connection was established; nothing was sent.
  Broken, ///< The connection ended early, or its bytes are no HTTP answer.
};

/// Callbacks to the owner of an exchange. None is called after OnEnd.
struct ExchangeEvents {
  /// Receives the head of an answer. Returns false if the answer belongs to
  /// another request: the connection then skips this whole answer and waits
  /// for the next one.
  std::function<bool(const HttpHead &)> OnHead;
  /// Receives a piece of the body as it arrives, without its framing.
  std::function<void(std::string_view)> OnBody;
  /// Receives how the exchange ended, and the reason if it is not Complete.
  std::function<void(ExchangeEnd, std::string_view why)> OnEnd;
};

/// TCP keep-alive of a connection. A device on the path may forget a
/// connection; without probes a long poll would not detect this.
struct HttpKeepAlive {
  bool On = false;
  std::chrono::seconds Idle{1}; ///< Time without data before the first probe.
  std::chrono::seconds Interval{1}; ///< Time between probes.
  int Probes = 2; ///< Unanswered probes after which it is closed.
};

/// A connection to one server. Its destructor closes the connection, by which
/// the server learns that it may abandon the request in progress. The
/// connection may be destroyed from inside one of its own callbacks.
class HttpClientConnection {
public:
  /// How long bytes may stay unacknowledged until the kernel closes the
  /// connection, since the network path is then lost.
  static constexpr std::chrono::milliseconds DefaultUserTimeout{3000};

  /// Begins to connect. If no connection is established within
  /// \p connectTimeout, the exchange ends with NotConnected. \p userTimeout: in
  /// place of DefaultUserTimeout; zero: none, so a server may leave bytes
  /// unread for as long as the exchange takes. Precondition: \p loop outlives
  /// the connection.
  HttpClientConnection(
      event_base *loop, const Address &server,
      std::chrono::milliseconds connectTimeout,
      std::chrono::milliseconds userTimeout = DefaultUserTimeout);
  ~HttpClientConnection();
  HttpClientConnection(const HttpClientConnection &) = delete;
  HttpClientConnection &operator=(const HttpClientConnection &) = delete;

  /// Sets the keep-alive options of the connection. If an option can't be set,
  /// a connection that no longer delivers data is detected only by the timeouts
  /// of its requests.
  void setKeepAlive(const HttpKeepAlive &options);

  /// Sends \p request, a complete message. \p isHead is true for a HEAD
  /// request, whose answer has no body. \p id is what the answer repeats of the
  /// request; empty: it repeats nothing.
  /// \pre isReusable(), or nothing was sent before.
  void send(std::string_view request, bool isHead, ExchangeEvents events,
            std::string_view id = {});

  /// Stops to read, so that the server can't send more than the kernel and one
  /// buffer hold. While reading is stopped, the exchange doesn't end by itself.
  void pauseReading();
  /// Reads again after pauseReading(). May call the exchange's callbacks only
  /// after it has returned.
  void resumeReading();

  /// Whether the last answer was complete and the connection can carry another
  /// request: it is open, holds no unexpected bytes, has not carried
  /// MaxCarriedRequests requests, and the server has not announced that it will
  /// close it.
  bool isReusable() const;

  /// Whether a request with \p id was sent before. An answer that repeats \p id
  /// may then be a copy of the earlier one.
  bool hasCarried(std::string_view id) const;

  /// Number of this connection, unique in the process, for logs.
  std::uint64_t number() const;

  /// Number of exchanges on this connection that had a whole answer. Unless it
  /// is zero, bytes that come now may belong to an earlier exchange.
  std::size_t answers() const;

  /// Whether nothing listens at the address: the server's host refused the
  /// connection.
  bool isRefused() const;

  /// Whether the server closed or reset the connection.
  bool isClosedByServer() const;

  /// The time after which an idle connection must not be used again, because
  /// the server may close it. Valid once an answer was complete.
  Clock::time_point usableUntil() const;

private:
  std::shared_ptr<detail::ClientState> S;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_HTTP_CLIENT_H
