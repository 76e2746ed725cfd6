/// \file
/// An event-driven HTTP client for load and tests. It runs on the caller's
/// event loop and reuses idle connections. Not thread safe; all calls and
/// callbacks run on the loop's thread.
#ifndef GREENGAGESPAR_LOAD_HTTP_CLIENT_H
#define GREENGAGESPAR_LOAD_HTTP_CLIENT_H

#include "greengagespar/base/ids.h"
#include <chrono>
#include <event2/event.h>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace greengagespar::load {

/// One header line.
struct Header {
  std::string Name;
  std::string Value;
};

/// An HTTP request.
struct HttpRequest {
  std::string Method = "GET";
  std::string Target = "/"; ///< Path and query, percent-encoded.
  std::vector<Header> Headers;
  std::string Body;
  std::chrono::milliseconds Timeout{30000}; ///< Until the end of the answer.
};

/// How an exchange ended.
enum class HttpEnd {
  Complete, ///< The complete answer arrived.
  Broken,   ///< No connection, or it closed before the answer ended.
  TimedOut, ///< The request's timeout passed.
};

/// An answer, or the part of it that arrived.
struct HttpAnswer {
  HttpEnd End = HttpEnd::Broken;
  int Status = 0; ///< The HTTP status. 0 if no answer began.
  std::vector<Header> Headers;
  std::string Body; ///< Without the parts that were passed to OnPart.
};

/// Returns the value of header \p name, which is compared without regard to
/// case. Empty if there is none.
std::string headerValue(const HttpAnswer &answer, std::string_view name);

/// Called with each part of a body with status 200 as it arrives. The client
/// always collects the bodies of other answers in HttpAnswer::Body.
using OnPart = std::function<void(std::string_view)>;

/// Called once at the end of each exchange.
using OnAnswer = std::function<void(const HttpAnswer &)>;

/// An HTTP client of one server.
class HttpClient {
public:
  /// Precondition: \p server is an IP address with a port, and \p base outlives
  /// the client.
  HttpClient(event_base *base, Address server);

  /// Closes all connections. Exchanges in progress end without a callback.
  ~HttpClient();

  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Sends \p request on an idle connection or a new one. If \p onPart is set,
  /// the client passes the body to it in parts, else it collects the body. The
  /// loop calls \p onAnswer once, never from inside this call.
  void send(const HttpRequest &request, OnAnswer onAnswer,
            OnPart onPart = nullptr);

  /// Returns the number of exchanges in progress.
  std::size_t inFlight() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Self;
};

} // namespace greengagespar::load

#endif // GREENGAGESPAR_LOAD_HTTP_CLIENT_H
