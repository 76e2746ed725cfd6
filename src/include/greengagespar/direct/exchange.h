/// \file
/// One request from its admission to the end of its answer. The exchange waits
/// in the server pool until it gets a server, sends the request there, and
/// forwards the answer. When an attempt fails, decideNext() and the retry
/// budget determine whether the exchange sends the request to another server,
/// which resumes a stream after the last event that the exchange forwarded. Not
/// thread safe: belongs to the thread of its loop.
#ifndef GREENGAGESPAR_DIRECT_EXCHANGE_H
#define GREENGAGESPAR_DIRECT_EXCHANGE_H

#include "greengagespar/base/timer.h"
#include "greengagespar/direct/answer_memory.h"
#include "greengagespar/direct/attempts.h"
#include "greengagespar/direct/event_relay.h"
#include "greengagespar/direct/part_guard.h"
#include "greengagespar/direct/route_table.h"
#include "greengagespar/direct/server_pool.h"
#include "greengagespar/report/metrics.h"
#include "greengagespar/route/server_notice.h"

namespace greengagespar {

/// What all exchanges of a process share. Outlives them.
struct ExchangeContext {
  event_base *Loop = nullptr;
  const SiteDialect *Dialect = nullptr;
  Metrics *Counters = nullptr;
  PartGuard *Guard = nullptr;
  AnswerMemory Answers; ///< What unfinished answers keep.
  BufferMemory Buffers; ///< What requests and slow callers keep.
  /// Reports the rate limit that an answer of a server states; empty: none.
  std::function<void(const ServerRecord &, std::optional<double> perSecond)>
      OnRateLimit;
  /// Reports how much longer a server is cold, as its answer says.
  std::function<void(const ServerRecord &, std::chrono::milliseconds)> OnCold;
  /// Reports what an answer to the request \p requestId says about its server.
  std::function<void(const ServerRecord &, NoticeKind,
                     std::string_view requestId)>
      OnNotice;
  /// Reports to the owner that the exchange has ended. The exchange still runs
  /// during the call; the owner may destroy it after the call has returned.
  std::function<void(CallId)> OnEnded;
};

/// A request that the entry has accepted, with what it decided about it.
struct AcceptedCall {
  CallId Id;
  CallMetadata Facts;
  std::shared_ptr<const RouteTable> Table; ///< Keeps MatchedRoute alive.
  const Route *MatchedRoute = nullptr;
  WorkspaceId Workspace; ///< Empty when the request's key names none.
  ServiceId Service;
  Clock::time_point Arrived;
  Deadline CallDeadline; ///< The earlier of the caller's and the route's.
  /// Among the requests of Service; empty: all are equally urgent.
  std::optional<Urgency> CallUrgency = std::nullopt;
};

namespace detail {

/// The attempt in progress.
struct Attempt {
  explicit Attempt(AnswerMemory &all) : Share(all) {}

  ServerRecord Server;
  std::unique_ptr<HttpClientConnection> Connection;
  Clock::time_point SentAt;
  Clock::time_point LastReceivedAt; ///< SentAt until the answer begins.
  /// When this server's last event was received; empty before its first one.
  std::optional<Clock::time_point> LastEventAt;
  /// When to look for another server again, as this one sends nothing and none
  /// took the request; empty: not looked yet.
  std::optional<Clock::time_point> SwitchAt;
  int Events = 0; ///< Events that this server has sent.
  HttpHead Head;
  AnswerMetadata Answer;
  bool HasHead = false;
  bool IsForeign = false;    ///< The answer may belong to another request.
  bool IsPaused = false;     ///< Nothing is read, as the caller is slow.
  bool RelaysEvents = false; ///< The exchange forwards events as they arrive.
  std::string Body;  ///< The answer so far; unused when RelaysEvents is set.
  AnswerShare Share; ///< Of Body, or of the event that is not complete yet.
};

} // namespace detail

/// One accepted request in progress.
class Exchange {
public:
  /// Precondition: \p context and \p pool outlive the exchange.
  Exchange(ExchangeContext &context, ServerPool &pool, AcceptedCall call,
           HttpRequestMessage request, std::shared_ptr<HttpReply> reply);
  ~Exchange();
  Exchange(const Exchange &) = delete;
  Exchange &operator=(const Exchange &) = delete;

  /// Requests a server from the pool. May end the exchange before it returns.
  void start();

  /// Ends the exchange because the entry ends: refuses a request that has
  /// reached no server, and fails any other one.
  void stop();

  /// Whether a server has the request now.
  bool isAtServer() const { return CurrentAttempt.has_value(); }

  const AcceptedCall &call() const { return Call; }

private:
  void submit();
  bool passesGuard(const ServerRecord &server, Clock::time_point now);
  void send(const ServerRecord &server);
  std::string requestText(const ServerRecord &server) const;
  bool onHead(const HttpHead &head);
  void onBody(std::string_view piece);
  void onEnd(ExchangeEnd how, std::string_view why);
  bool isBrokenOff() const;
  void onAnswerComplete();
  void relayEvents(std::string_view piece);
  void pauseIfCallerIsSlow();
  void onPauseTimer();
  void resumeReading();
  void leaveTrial();
  bool noteCrash(AttemptEnd end, Clock::time_point now);
  void endAttempt(AttemptEnd end, std::string_view why);
  void releaseServer(const PoolOutcome &outcome);
  void refuse(const Refusal &why, std::string_view reason);
  void failOutcomeUnknown(std::string_view reason);
  void forwardAnswer();
  void onCallerGone();
  void onTimer();
  void onInactivity(Clock::time_point now);
  std::string_view whyKeepServer(Clock::time_point now);
  Clock::time_point switchAt() const;
  AttemptHistory history(Clock::time_point now) const;
  void giveUp(ErrorKind kind, std::string_view reason);
  bool watchesInactivity() const;
  Clock::duration inactivityLimit() const;
  void armTimer();
  void finish(int status, std::string_view outcome, std::string_view reason);
  bool isRepeatable() const;
  std::optional<std::uint64_t> resumeAfter() const;

  ExchangeContext &Context;
  ServerPool &Pool;
  AcceptedCall Call;
  HttpRequestMessage Request;
  std::shared_ptr<HttpReply> Reply;
  PromptParts Parts;                             ///< Of Call and Request.
  std::optional<detail::Attempt> CurrentAttempt; ///< Empty while waiting.
  std::vector<ServerId> TriedServers; ///< Servers on which an attempt failed.
  EventRelay Stream;
  bool HasSentHead = false; ///< The caller was sent the head of a stream.
  bool HasEnded = false;
  bool IsTrial = false; ///< Its suspect parts are on trial at a server.
  bool HasSwitchedServer = false; ///< It has left one unresponsive server.
  int Runs = 0;                   ///< See AttemptHistory.
  int Refusals = 0;               ///< See AttemptHistory.
  Clock::time_point FirstEventAt{};
  Refusal LastRefusal; ///< That the caller was answered with, for the log.
  Timer LimitTimer;    ///< Ends at the deadline or the limit on inactivity.
  Timer PauseTimer;    ///< Ends a pause of reading.
};

} // namespace greengagespar

#endif // GREENGAGESPAR_DIRECT_EXCHANGE_H
