/// \file
/// One HTTP/1.1 connection to a server, for one exchange at a time. Not thread
/// safe: belongs to the thread of its loop.
#ifndef GREENGAGESPAR_HTTP_CLIENT_H
#define GREENGAGESPAR_HTTP_CLIENT_H

#include "greengagespar/base/clock.h"
#include "greengagespar/base/ids.h"
#include "greengagespar/http/message.h"
#include <chrono>
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
  Complete,     ///< The whole answer came.
  NotConnected, ///< No connection was made: the request never left.
  Broken,       ///< The connection ended, or sent what is no answer.
};

/// What the owner of an exchange hears. After OnEnd nothing follows.
struct ExchangeEvents {
  /// The head of an answer. Returns false to pass over this whole answer and
  /// wait for the next one, because it belongs to another request.
  std::function<bool(const HttpHead &)> OnHead;
  std::function<void(std::string_view)> OnBody;
  std::function<void(ExchangeEnd, std::string_view why)> OnEnd;
};

/// A connection to one server. Destroying it closes it, which tells the server
/// to drop the request in progress. It may be destroyed from inside an event.
class HttpClientConnection {
public:
  /// Begins to connect. Precondition: \p loop outlives the connection.
  HttpClientConnection(event_base *loop, const Address &server,
                       std::chrono::milliseconds connectTimeout);
  ~HttpClientConnection();
  HttpClientConnection(const HttpClientConnection &) = delete;
  HttpClientConnection &operator=(const HttpClientConnection &) = delete;

  /// Sends \p request, a whole message. \p isHead: no body follows the answer.
  /// \pre isReusable(), or nothing was sent before.
  void send(std::string_view request, bool isHead, ExchangeEvents events);

  /// Whether the last answer came whole and the connection can take another
  /// request: open, no unexpected bytes, not announced to close.
  bool isReusable() const;

  /// When an idle connection is to be given up, before the server closes it.
  Clock::time_point usableUntil() const;

private:
  std::shared_ptr<detail::ClientState> S;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_HTTP_CLIENT_H
