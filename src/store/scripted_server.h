/// \file
/// Test support: an HTTP server on a free port that answers from a script.
#ifndef GREENGAGESPAR_STORE_SCRIPTED_SERVER_H
#define GREENGAGESPAR_STORE_SCRIPTED_SERVER_H

#include "greengagespar/base/ids.h"
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <functional>
#include <memory>
#include <string>
#include <sys/socket.h>
#include <vector>

namespace greengagespar {

/// What the server does with one request.
struct ScriptedAnswer {
  int Status = 200; ///< 0: closes the connection; -1: sends no answer.
  std::string Body;
  int Timeline = 0; ///< That the answer states; 0: the server's.
};

/// An event loop, a server on it and the requests that it received.
struct ScriptedServer {
  struct Seen {
    std::string Target;
    std::string Body;
    int ClientPort = 0;            ///< Identifies the connection.
    evhttp_request *Raw = nullptr; ///< Valid until it is answered.
  };

  std::unique_ptr<event_base, decltype(&event_base_free)> Loop{
      event_base_new(), &event_base_free};
  std::unique_ptr<evhttp, decltype(&evhttp_free)> Http{evhttp_new(Loop.get()),
                                                       &evhttp_free};
  Address At;
  std::vector<Seen> Requests;
  std::function<ScriptedAnswer(const Seen &)> Answer;
  int Timeline = 0; ///< Of the store; 0: answers state none.

  ScriptedServer() {
    evhttp_set_gencb(Http.get(), onRequest, this);
    auto *bound = evhttp_bind_socket_with_handle(Http.get(), "127.0.0.1", 0);
    sockaddr_in name{};
    socklen_t size = sizeof(name);
    getsockname(evhttp_bound_socket_get_fd(bound),
                reinterpret_cast<sockaddr *>(&name), &size);
    At.Value = "127.0.0.1:" + std::to_string(ntohs(name.sin_port));
  }

  /// Runs the loop until \p done returns true.
  void runUntil(const std::function<bool()> &done) {
    while (!done())
      event_base_loop(Loop.get(), EVLOOP_ONCE);
  }

  static void onRequest(evhttp_request *req, void *arg) {
    auto *self = static_cast<ScriptedServer *>(arg);
    Seen seen{evhttp_request_get_uri(req), {}, 0, req};
    evbuffer *buf = evhttp_request_get_input_buffer(req);
    seen.Body.resize(evbuffer_get_length(buf));
    evbuffer_remove(buf, seen.Body.data(), seen.Body.size());
    evhttp_connection *connection = evhttp_request_get_connection(req);
    char *host = nullptr;
    ev_uint16_t port = 0;
    evhttp_connection_get_peer(connection, &host, &port);
    seen.ClientPort = port;
    self->Requests.push_back(seen);
    ScriptedAnswer answer = self->Answer(seen);
    if (answer.Timeline == 0)
      answer.Timeline = self->Timeline;
    reply(req, answer);
  }

  /// Answers a request. May also be called later, for a request that status -1
  /// left unanswered.
  static void reply(evhttp_request *req, const ScriptedAnswer &answer) {
    if (answer.Status == 0)
      evhttp_connection_free(evhttp_request_get_connection(req));
    if (answer.Status <= 0)
      return;
    evbuffer_add(evhttp_request_get_output_buffer(req), answer.Body.data(),
                 answer.Body.size());
    if (answer.Timeline > 0)
      evhttp_add_header(evhttp_request_get_output_headers(req),
                        "Store-Timeline",
                        std::to_string(answer.Timeline).c_str());
    evhttp_send_reply(req, answer.Status, nullptr, nullptr);
  }
};

} // namespace greengagespar

#endif // GREENGAGESPAR_STORE_SCRIPTED_SERVER_H
