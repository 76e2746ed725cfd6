/// \file
/// What the stand-ins share: an evhttp server on one loop, requests as plain
/// values, JSON answers and timers. Not thread safe; everything runs on the
/// server's loop.
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

/// One request. \c Raw stays valid until it is answered, also when the caller
/// has gone; each request must be answered or dropped exactly once.
struct Request {
  evhttp_request *Raw = nullptr;
  std::string Method; ///< In capitals.
  std::string Path;   ///< Decoded, without the query.
  std::map<std::string, std::string> Query;
  std::string Body;
};

/// Returns query key \p key as a number, or \p fallback when it is missing or
/// is no number.
std::uint64_t queryNumber(const Request &req, const std::string &key,
                          std::uint64_t fallback);

/// Answers with a JSON body.
void sendJson(const Request &req, int status, const boost::json::value &body);

/// Answers with \p body as it is. A null \p contentType sends none.
void sendText(const Request &req, int status, std::string_view body,
              const char *contentType);

/// Closes the request's connection without an answer.
void drop(const Request &req);

/// Parses the body; an object is returned empty when the body is none.
boost::json::object bodyObject(const Request &req);

/// Returns member \p key of \p object as a number, or \p fallback.
double numberOr(const boost::json::object &object, std::string_view key,
                double fallback);

/// Returns member \p key of \p object as text, or an empty text.
std::string textOr(const boost::json::object &object, std::string_view key);

/// An HTTP server on 127.0.0.1 with its loop.
class HttpServer {
public:
  using Handler = std::function<void(Request)>;

  /// Listens on \p port; 0 picks a free one. Throws std::runtime_error when
  /// the port is taken.
  HttpServer(int port, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Prints "ready port=N" and serves until SIGTERM or SIGINT. Returns 0.
  int run();

  /// Returns the server's loop.
  event_base *base();

  /// Runs \p task once on the loop after \p delay.
  void after(std::chrono::microseconds delay, std::function<void()> task);

  /// Calls \p gone once when the request's caller closes its connection before
  /// the answer has ended. The request must still be answered after that.
  void whenCallerGone(const Request &req, std::function<void()> gone);

private:
  struct Impl;
  std::unique_ptr<Impl> Self;
};

} // namespace greengagespar::standin

#endif // GREENGAGESPAR_STANDINS_HTTP_SERVER_H
