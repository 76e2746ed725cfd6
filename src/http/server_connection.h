/// \file
/// One caller's connection, and the state of a listening address. Private to
/// the package. Not thread safe: everything belongs to the thread of its loop.
#ifndef GREENGAGESPAR_HTTP_SERVER_CONNECTION_H
#define GREENGAGESPAR_HTTP_SERVER_CONNECTION_H

#include "greengagespar/base/timer.h"
#include "greengagespar/http/server.h"
#include <algorithm>
#include <event2/util.h>
#include <unordered_map>

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;
struct evconnlistener;

namespace greengagespar::detail {

/// The state of a listening address and its connections.
struct ServerState {
  event_base *Loop = nullptr;
  HttpServerLimits Limits;
  HttpListener::Handler Handle;
  BufferMemory *Memory = nullptr; ///< Null: not bounded.
  BodyRefusal RefuseBody;
  evconnlistener *Listener = nullptr;
  std::unordered_map<ServerConnection *, std::shared_ptr<ServerConnection>>
      Open;
  bool Draining = false;
  std::chrono::milliseconds Linger{0};

  /// Returns how long a connection may wait for a request.
  std::chrono::milliseconds idleTimeout() const {
    return Draining ? std::min(Linger, Limits.IdleTimeout) : Limits.IdleTimeout;
  }
};

/// One caller's connection. ServerState keeps it alive until it is closed.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
  ServerConnection(ServerState &server, evutil_socket_t fd);
  ~ServerConnection();
  ServerConnection(const ServerConnection &) = delete;
  ServerConnection &operator=(const ServerConnection &) = delete;

  void read();
  void close();
  void send(int status, HttpFields &fields, std::string_view body);
  void begin(int status, HttpFields &fields);
  void sendPiece(std::string_view piece);
  void endAnswer();
  /// Starts the timeout: if it expires after \p wait, the connection is closed,
  /// or answers 408 if a request has begun but is not complete.
  void startTimeout(std::chrono::milliseconds wait);
  bool isIdle() const { return !InProgress && !HasBegunRequest; }
  std::size_t unsentBytes() const;

  std::function<void()> OnDisconnect;
  std::function<void()> OnDrained;

private:
  static void onRead(bufferevent *, void *self);
  static void onWrite(bufferevent *, void *self);
  static void onEvent(bufferevent *, short what, void *self);
  static void onOutputChange(evbuffer *, const evbuffer_cb_info *info,
                             void *self);
  void onTimeout();
  void readRequest();
  bool reserveBody();
  void refuseBody();
  void discard();
  void deliver();
  void refuse(int status);
  void closeIfWritten();
  void setResetOnClose(bool resets);
  void addFraming(HttpFields &fields);
  void write(std::string_view bytes);

  ServerState &Server;
  bufferevent *Stream;
  Timer Timeout;
  std::unique_ptr<RequestReader> Reader;
  std::string Body;
  std::shared_ptr<BodyShare> BodyMemory; ///< Of Body.
  bool HasBegunRequest = false;          ///< Bytes of a request were received.
  bool InProgress = false; ///< A complete request awaits the end of its answer.
  bool IsChunked = false;  ///< The answer in progress is chunked.
  bool CloseAfter = false; ///< Close once all output is written.
  bool IsDiscarding = false; ///< Reads the rest of a refused request.
  bool IsClosed = false;
  bool ResetsOnClose = false; ///< See setResetOnClose().
  bool IsHead = false;        ///< The request's method is HEAD.
  bool CanChunk = true;       ///< The caller speaks HTTP/1.1.
  bool IsReading = false;     ///< Guards against reading inside a handler.
  bool ReadAgain = false;     ///< read() was called while IsReading.
};

} // namespace greengagespar::detail

#endif // GREENGAGESPAR_HTTP_SERVER_CONNECTION_H
