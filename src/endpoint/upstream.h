/// \file
/// HTTP client for the engine or plain service behind an endpoint process.
/// Not thread safe: used from the loop's thread only.
#ifndef GREENGAGESPAR_ENDPOINT_UPSTREAM_H
#define GREENGAGESPAR_ENDPOINT_UPSTREAM_H

#include "greengagespar/base/ids.h"
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

struct event_base;

namespace greengagespar {

/// One request to the server behind this process.
struct UpstreamRequest {
  std::string Method; ///< In capitals, as GET.
  std::string Path;   ///< With the query.
  std::string ContentType;
  std::string IdempotencyKey; ///< Sent as a header; empty: no header.
  std::string Body;
  /// Longest time without any byte of the answer.
  std::chrono::milliseconds Timeout{0};
};

/// How a request ended.
enum class UpstreamOutcome {
  NotSent,    ///< No connection was made, so the server never saw the request.
  Incomplete, ///< The connection ended before the answer did, or the bytes are
              ///< no answer.
  Complete,   ///< The whole answer arrived.
};

/// The result of a request.
struct UpstreamResult {
  UpstreamOutcome Outcome = UpstreamOutcome::Incomplete;
  int Status = 0;
  std::string ContentType;
  std::string Body; ///< Empty when OnData received it.
  /// Whether an Incomplete answer ended because the server closed the
  /// connection.
  bool IsServerEnd = false;
};

/// Functions that are called as a request proceeds.
struct UpstreamEvents {
  /// Called with parts of the body as they arrive; may be empty.
  std::function<void(std::string_view)> OnData;
  /// Called once, unless the request was cancelled.
  std::function<void(const UpstreamResult &)> OnDone;
};

/// Handle of a request in progress.
using UpstreamId = NumberId<struct UpstreamTag>;

/// Sends requests to one server, each on a connection of its own. A server may
/// send an answer more than once, and answers do not state their request, so
/// only the first answer on a connection is known to fit.
class Upstream {
public:
  /// Precondition: \p base outlives this object. An answer of more than
  /// \p maxAnswerBytes counts as incomplete.
  Upstream(event_base *base, const Address &server, std::size_t maxAnswerBytes);
  ~Upstream();
  Upstream(const Upstream &) = delete;
  Upstream &operator=(const Upstream &) = delete;

  /// Starts a request. OnDone is never called before this returns.
  UpstreamId start(const UpstreamRequest &request, UpstreamEvents events);

  /// Closes the request's connection; its events are not called any more.
  void cancel(UpstreamId id);

private:
  struct Exchange;

  void receive(Exchange &exchange, std::string_view piece);
  void finish(UpstreamId id, UpstreamOutcome outcome);

  event_base *Base;
  Address Server;
  std::size_t MaxAnswerBytes;
  std::uint64_t Next = 1;
  /// Shared with the events of the connections, which may cancel a request
  /// while they run.
  std::unordered_map<UpstreamId, std::shared_ptr<Exchange>> Exchanges;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_ENDPOINT_UPSTREAM_H
