/// \file
/// The HTTP server that all stand-ins share: an evhttp server with its event
/// loop, requests as plain values, JSON answers and timers. Not thread safe;
/// all handlers and tasks run on the server's loop.
#ifndef GREENGAGESPAR_STANDINS_HTTP_SERVER_H
#define GREENGAGESPAR_STANDINS_HTTP_SERVER_H

#include <boost/json.hpp>
#include <chrono>
#include <cstdint>
#include <event2/event.h>
#include <event2/http.h>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace greengagespar::standin {

/// One request. \c Raw stays valid until the request is answered, also when the
/// caller has closed its connection. The handler must answer or drop each
/// request exactly once.
struct Request {
  evhttp_request *Raw = nullptr;
  std::string Method; ///< In capitals.
  std::string Path;   ///< Decoded, without the query.
  std::map<std::string, std::string> Query;
  std::string Body;
};

/// Returns the value of query key \p key as a number, or \p fallback when the
/// key is missing or its value isn't a number.
std::uint64_t queryNumber(const Request &req, const std::string &key,
                          std::uint64_t fallback);

/// Answers with status \p status and a JSON body.
void sendJson(const Request &req, int status, const boost::json::value &body);

/// Answers with \p body unchanged. When \p contentType is null, the answer has
/// no content type.
void sendText(const Request &req, int status, std::string_view body,
              const char *contentType);

/// Closes the request's connection without an answer.
void drop(const Request &req);

/// Parses the body. Returns an empty object when the body isn't a JSON object.
boost::json::object bodyObject(const Request &req);

/// Returns member \p key of \p object as a number, or \p fallback when it is
/// missing or isn't a number.
double numberOr(const boost::json::object &object, std::string_view key,
                double fallback);

/// Returns member \p key of \p object as text, or an empty text when it is
/// missing or isn't a string.
std::string textOr(const boost::json::object &object, std::string_view key);

/// An HTTP server on 127.0.0.1 with its own event loop.
class HttpServer {
public:
  using Handler = std::function<void(Request)>;

  /// Listens on \p port; 0 picks a free one. Throws std::runtime_error when
  /// the port can't be bound.
  HttpServer(int port, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Prints "ready port=N" and serves until SIGTERM or SIGINT. Then ends the
  /// process with status 0 and doesn't return.
  int run();

  /// Returns the server's event loop.
  event_base *base();

  /// Runs \p task once on the loop after \p delay.
  void after(std::chrono::microseconds delay, std::function<void()> task);

  /// Calls \p onDisconnect once when the request's caller closes its connection
  /// before the answer has ended, or at once when the connection is closed
  /// already. The handler must still answer or drop the request after that.
  void whenCallerDisconnects(const Request &req,
                             std::function<void()> onDisconnect);

private:
  struct Impl;
  std::unique_ptr<Impl> Self;
};

} // namespace greengagespar::standin

#endif // GREENGAGESPAR_STANDINS_HTTP_SERVER_H
