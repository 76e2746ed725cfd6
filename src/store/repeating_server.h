/// \file
/// Test support: a server on a free port that sends answers once more.
#ifndef GREENGAGESPAR_STORE_REPEATING_SERVER_H
#define GREENGAGESPAR_STORE_REPEATING_SERVER_H

#include "greengagespar/base/clock.h"
#include "greengagespar/base/ids.h"
#include <arpa/inet.h>
#include <charconv>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <functional>
#include <memory>
#include <string>
#include <sys/socket.h>
#include <unordered_map>
#include <utility>

namespace greengagespar {

/// When the copy of an answer is sent.
enum class CopyTime {
  Never,
  WithAnswer, ///< In one write with the answer.
  WhileIdle,  ///< CopyDelay later, unless the connection is closed by then.
  WithNext,   ///< In one write with the next answer of the connection, ahead of
              ///< it.
};

/// An event loop and the server on it.
struct RepeatingServer {
  static constexpr std::chrono::milliseconds CopyDelay{20};

  std::unique_ptr<event_base, decltype(&event_base_free)> Loop{
      event_base_new(), &event_base_free};
  std::unique_ptr<evconnlistener, decltype(&evconnlistener_free)> Listener{
      nullptr, &evconnlistener_free};
  Address At;
  CopyTime Time = CopyTime::Never;
  /// Returns the answer to a request, which ends with its body.
  std::function<std::string(const std::string &request)> Answer;
  int Requests = 0;
  int Connections = 0;

  RepeatingServer() {
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    Listener.reset(evconnlistener_new_bind(
        Loop.get(), onAccept, this, LEV_OPT_CLOSE_ON_FREE, -1,
        reinterpret_cast<sockaddr *>(&name), sizeof(name)));
    socklen_t size = sizeof(name);
    getsockname(evconnlistener_get_fd(Listener.get()),
                reinterpret_cast<sockaddr *>(&name), &size);
    At.Value = "127.0.0.1:";
    At.Value.append(std::to_string(ntohs(name.sin_port)));
  }

  /// Returns an answer with a length.
  static std::string answerOf(int status, const std::string &body) {
    return "HTTP/1.1 " + std::to_string(status) +
           " Some\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
  }

  /// Runs the loop until \p done returns true. Returns false if that takes
  /// longer than \p timeout.
  bool runUntil(const std::function<bool()> &done,
                std::chrono::milliseconds timeout) const {
    auto end = Clock::now() + timeout;
    while (!done() && Clock::now() < end) {
      timeval slice{0, 1000};
      event_base_loopexit(Loop.get(), &slice);
      event_base_loop(Loop.get(), EVLOOP_ONCE);
    }
    return done();
  }

private:
  // The last answer of each open connection; empty if its copy was sent.
  std::unordered_map<bufferevent *, std::string> Last;
  std::unique_ptr<event, decltype(&event_free)> CopyEvent{nullptr, &event_free};

  static void onAccept(evconnlistener *, evutil_socket_t fd, sockaddr *, int,
                       void *arg) {
    auto *self = static_cast<RepeatingServer *>(arg);
    bufferevent *stream =
        bufferevent_socket_new(self->Loop.get(), fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(stream, onRead, nullptr, onEvent, self);
    bufferevent_enable(stream, EV_READ | EV_WRITE);
    self->Last[stream];
    ++self->Connections;
  }

  // Returns the next request and removes it from \p in; empty if it has not
  // arrived whole.
  static std::string takeRequest(evbuffer *in) {
    std::string text(evbuffer_get_length(in), '\0');
    evbuffer_copyout(in, text.data(), text.size());
    auto head = text.find("\r\n\r\n");
    if (head == std::string::npos)
      return {};
    constexpr std::string_view name = "Content-Length: ";
    std::size_t bodyBytes = 0;
    if (auto at = text.find(name); at < head)
      std::from_chars(text.data() + at + name.size(), text.data() + head,
                      bodyBytes);
    std::size_t whole = head + 4 + bodyBytes;
    if (text.size() < whole)
      return {};
    evbuffer_drain(in, whole);
    return text.substr(0, whole);
  }

  static void onRead(bufferevent *stream, void *arg) {
    auto *self = static_cast<RepeatingServer *>(arg);
    std::string &last = self->Last[stream];
    evbuffer *in = bufferevent_get_input(stream);
    for (std::string request = takeRequest(in); !request.empty();
         request = takeRequest(in)) {
      ++self->Requests;
      std::string answer = self->Answer(request);
      std::string out =
          self->Time == CopyTime::WithNext ? last + answer : answer;
      if (self->Time == CopyTime::WithAnswer)
        out += answer;
      last = std::move(answer);
      bufferevent_write(stream, out.data(), out.size());
      if (self->Time == CopyTime::WhileIdle)
        self->startCopy();
    }
  }

  void startCopy() {
    CopyEvent.reset(event_new(Loop.get(), -1, 0, onCopy, this));
    timeval delay{0, std::chrono::microseconds(CopyDelay).count()};
    event_add(CopyEvent.get(), &delay);
  }

  static void onCopy(evutil_socket_t, short, void *arg) {
    for (auto &[stream, last] : static_cast<RepeatingServer *>(arg)->Last) {
      std::string copy = std::exchange(last, {});
      bufferevent_write(stream, copy.data(), copy.size());
    }
  }

  static void onEvent(bufferevent *stream, short, void *arg) {
    static_cast<RepeatingServer *>(arg)->Last.erase(stream);
    bufferevent_free(stream);
  }
};

} // namespace greengagespar

#endif // GREENGAGESPAR_STORE_REPEATING_SERVER_H
