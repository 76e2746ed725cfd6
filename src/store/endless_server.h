/// \file
/// Test support: a server on a free port that answers each connection with
/// bytes that never end, or after which it ends the connection.
#ifndef GREENGAGESPAR_STORE_ENDLESS_SERVER_H
#define GREENGAGESPAR_STORE_ENDLESS_SERVER_H

#include "greengagespar/base/clock.h"
#include "greengagespar/base/ids.h"
#include "greengagespar/base/timer.h"
#include <arpa/inet.h>
#include <csignal>
#include <cstddef>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <functional>
#include <memory>
#include <string>
#include <sys/socket.h>
#include <vector>

namespace greengagespar {

/// An event loop and the server on it. Once bytes of a request have arrived on
/// a connection, the server sends Begin, and then Piece until the client closes
/// the connection. If Piece is empty, the server ends the connection after
/// Begin. It reads nothing else and has a small receive buffer, so a request of
/// some megabytes is still being sent then.
struct EndlessServer {
  std::unique_ptr<event_base, decltype(&event_base_free)> Loop{
      event_base_new(), &event_base_free};
  std::unique_ptr<evconnlistener, decltype(&evconnlistener_free)> Listener{
      nullptr, &evconnlistener_free};
  Address At;
  std::string Begin;
  std::string Piece;
  bool Resets = false; ///< Whether the server's end is a reset.
  /// Time from Begin to the server's end.
  std::chrono::milliseconds EndDelay{0};
  std::size_t BytesSent = 0; ///< On all connections.
  int Closed = 0;            ///< Connections that the client closed.

  EndlessServer(std::string begin, std::string piece)
      : Begin(std::move(begin)), Piece(std::move(piece)) {
    std::signal(SIGPIPE, SIG_IGN);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    Listener.reset(evconnlistener_new_bind(
        Loop.get(), onAccept, this, LEV_OPT_CLOSE_ON_FREE, -1,
        reinterpret_cast<sockaddr *>(&name), sizeof(name)));
    evutil_socket_t fd = evconnlistener_get_fd(Listener.get());
    int receiveBuffer = 1; // The kernel takes its minimum.
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer,
               sizeof(receiveBuffer));
    socklen_t size = sizeof(name);
    getsockname(fd, reinterpret_cast<sockaddr *>(&name), &size);
    At.Value = "127.0.0.1:";
    At.Value.append(std::to_string(ntohs(name.sin_port)));
  }

  /// Runs the loop until \p done returns true. Returns false if that takes
  /// longer than \p timeout.
  bool runUntil(const std::function<bool()> &done,
                std::chrono::milliseconds timeout) const {
    auto end = Clock::now() + timeout;
    while (!done() && Clock::now() < end) {
      timeval slice{0, 5000};
      event_base_loopexit(Loop.get(), &slice);
      event_base_loop(Loop.get(), 0);
    }
    return done();
  }

private:
  std::vector<std::unique_ptr<Timer>> EndTimers;

  static void onAccept(evconnlistener *, evutil_socket_t fd, sockaddr *, int,
                       void *arg) {
    auto *self = static_cast<EndlessServer *>(arg);
    bufferevent *stream =
        bufferevent_socket_new(self->Loop.get(), fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(stream, onRead, nullptr, onEvent, self);
    bufferevent_enable(stream, EV_READ | EV_WRITE);
  }

  static void onRead(bufferevent *stream, void *arg) {
    auto *self = static_cast<EndlessServer *>(arg);
    evbuffer *in = bufferevent_get_input(stream);
    evbuffer_drain(in, evbuffer_get_length(in));
    bufferevent_write(stream, self->Begin.data(), self->Begin.size());
    bufferevent_setcb(stream, nullptr, onWritten, onEvent, self);
    bufferevent_disable(stream, EV_READ);
    if (!self->Piece.empty() || self->Begin.empty())
      onWritten(stream, arg);
  }

  static void onRest(bufferevent *stream, void *) {
    evbuffer *in = bufferevent_get_input(stream);
    evbuffer_drain(in, evbuffer_get_length(in));
  }

  static void onWritten(bufferevent *stream, void *arg) {
    constexpr std::size_t burstBytes = std::size_t{64} * 1024;
    auto *self = static_cast<EndlessServer *>(arg);
    if (self->Piece.empty())
      return self->endLater(stream);
    for (std::size_t n = 0; n < burstBytes; n += self->Piece.size())
      bufferevent_write(stream, self->Piece.data(), self->Piece.size());
    self->BytesSent += burstBytes;
  }

  void endLater(bufferevent *stream) {
    if (evbuffer_get_length(bufferevent_get_output(stream)) > 0)
      return;
    bufferevent_setcb(stream, nullptr, nullptr, nullptr, nullptr);
    EndTimers.push_back(
        std::make_unique<Timer>(Loop.get(), [this, stream] { end(stream); }));
    EndTimers.back()->start(EndDelay);
  }

  void end(bufferevent *stream) {
    evutil_socket_t fd = bufferevent_getfd(stream);
    if (!Resets) {
      // Closing would reset the connection if bytes of the request are unread.
      shutdown(fd, SHUT_WR);
      bufferevent_setcb(stream, onRest, nullptr, onEvent, this);
      bufferevent_enable(stream, EV_READ);
      return;
    }
    linger value{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &value, sizeof(value));
    bufferevent_free(stream);
  }

  static void onEvent(bufferevent *stream, short, void *arg) {
    ++static_cast<EndlessServer *>(arg)->Closed;
    bufferevent_free(stream);
  }
};

} // namespace greengagespar

#endif // GREENGAGESPAR_STORE_ENDLESS_SERVER_H
