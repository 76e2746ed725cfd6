/// \file
/// An event-driven HTTP client for load and tests: evhttp on the caller's
/// loop, with kept connections. Not thread safe; all calls and callbacks run on
/// the loop's thread.
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

/// A request.
struct HttpRequest {
  std::string Method = "GET";
  std::string Target = "/"; ///< Path and query, encoded.
  std::vector<Header> Headers;
  std::string Body;
  std::chrono::milliseconds Timeout{30000}; ///< For the whole answer.
};

/// How an exchange ended.
enum class HttpEnd {
  Whole,    ///< The answer arrived to its end.
  Broken,   ///< No connection, or it ended before the answer did.
  TimedOut, ///< The request's time passed.
};

/// An answer, or what arrived of it.
struct HttpAnswer {
  HttpEnd End = HttpEnd::Broken;
  int Status = 0; ///< 0: no answer began.
  std::vector<Header> Headers;
  std::string Body; ///< Without the parts that were handed on.
};

/// Returns the value of header \p name, any case; empty when there is none.
std::string headerValue(const HttpAnswer &answer, std::string_view name);

/// Called with each part of a body with status 200 as it arrives; bodies of
/// other answers are always collected.
using OnPart = std::function<void(std::string_view)>;

/// Called once at the end of each exchange.
using OnAnswer = std::function<void(const HttpAnswer &)>;

/// A client of one server.
class HttpClient {
public:
  /// Precondition: \p server is an IP address with a port, and \p base outlives
  /// the client.
  HttpClient(event_base *base, Address server);

  /// Closes all connections; open exchanges end without a callback.
  ~HttpClient();

  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Sends \p request on an idle connection or a new one. With \p onPart the
  /// body is handed on in parts, else it is collected. \p onAnswer is called
  /// once, from the loop, never from inside this call.
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
