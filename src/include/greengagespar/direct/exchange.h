/// \file
/// One request from its arrival to the end of its answer. Not thread safe:
/// belongs to the thread of its loop.
#ifndef GREENGAGESPAR_DIRECT_EXCHANGE_H
#define GREENGAGESPAR_DIRECT_EXCHANGE_H

#include "greengagespar/direct/attempts.h"
#include "greengagespar/direct/event_relay.h"
#include "greengagespar/direct/route_table.h"
#include "greengagespar/direct/server_pool.h"
#include "greengagespar/report/metrics.h"
#include "greengagespar/store/timer.h"

namespace greengagespar {

/// What all exchanges of a process share. Outlives them.
struct ExchangeContext {
  event_base *Loop = nullptr;
  const SiteDialect *Dialect = nullptr;
  Metrics *Numbers = nullptr;
  /// Calls the owner once the exchange has ended; it may then be destroyed.
  std::function<void(CallId)> OnEnded;
};

/// What is decided about a request before it may be sent anywhere.
struct AcceptedCall {
  CallId Id;
  CallFacts Facts;
  std::shared_ptr<const RouteTable> Table; ///< Keeps Way alive.
  const Route *Way = nullptr;
  WorkspaceId Workspace;
  ServiceId Service;
  Clock::time_point Arrived;
  Deadline Due; ///< When the caller or the route gives up.
};

namespace detail {

/// The attempt in progress.
struct Attempt {
  ServerRecord Server;
  std::unique_ptr<HttpClientConnection> Connection;
  Clock::time_point SentAt;
  Clock::time_point HeardAt;
  std::optional<Clock::time_point> EventAt; ///< Of its last event.
  HttpHead Head;
  AnswerFacts Answer;
  bool HasHead = false;
  bool Relays = false; ///< Its events are passed on as they come.
  std::string Body;
};

} // namespace detail

/// One request on its way.
class Exchange {
public:
  /// Precondition: \p context and \p pool outlive the exchange.
  Exchange(ExchangeContext &context, ServerPool &pool, AcceptedCall call,
           HttpRequestMessage request, std::shared_ptr<HttpReply> reply);
  ~Exchange();
  Exchange(const Exchange &) = delete;
  Exchange &operator=(const Exchange &) = delete;

  /// Looks for a server. May end the exchange before it returns.
  void start();

  const AcceptedCall &call() const { return Call; }

private:
  void submit();
  void send(const ServerRecord &server);
  std::string requestText(const ServerRecord &server) const;
  bool onHead(const HttpHead &head);
  void onBody(std::string_view piece);
  void onEnd(ExchangeEnd how, std::string_view why);
  void onWhole();
  void relay(std::string_view piece);
  void endAttempt(AttemptEnd end, std::string_view why);
  void release(const PoolOutcome &outcome);
  void refuse(const Refusal &why, std::string_view reason);
  void failUnknown(std::string_view reason);
  void passOn();
  void onGone();
  void onTimer();
  void onDeadline();
  bool watchesSilence() const;
  Clock::duration silenceAllowed() const;
  void armTimer();
  void finish(int status, std::string_view outcome, std::string_view reason);
  bool isRepeatable() const;
  std::optional<std::uint64_t> resumeAfter() const;

  ExchangeContext &Context;
  ServerPool &Pool;
  AcceptedCall Call;
  HttpRequestMessage Request;
  std::shared_ptr<HttpReply> Reply;
  std::optional<detail::Attempt> Now; ///< The attempt in progress.
  std::vector<ServerId> Tried;
  EventRelay Stream;
  bool HasBegun = false; ///< The caller has the head of a stream.
  bool HasEnded = false;
  bool SwitchedOnce = false; ///< It left a silent server once already.
  int Runs = 0;
  int Refusals = 0;
  Clock::time_point FirstEventAt{};
  Timer Limit;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_DIRECT_EXCHANGE_H
