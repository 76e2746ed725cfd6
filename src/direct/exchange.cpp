#include "greengagespar/direct/exchange.h"

#include "exchange_log.h"
#include <algorithm>
#include <utility>

namespace greengagespar {

namespace {

using std::chrono::milliseconds;

// Part of its route's objective that a stream may wait for a server: the server
// needs the rest to process the prompt and run the first pass.
constexpr double StreamWaitFactor = 0.6;
// Number of times its route's objective that a request for a whole answer may
// wait for a server.
constexpr double WholeAnswerWaitFactor = 3;

// The deadline that a server receives is this much earlier than the request's:
// the time to return the answer.
constexpr milliseconds ReturnMargin{5};

// Largest answer that the exchange buffers until it is complete. It ends the
// attempt when an answer is larger.
constexpr std::size_t MaxBufferedAnswer = std::size_t{256} * 1024;

// A refused caller is asked to wait at least this long: a server's queue has
// advanced by then.
constexpr milliseconds MinRetryAfter{50};

constexpr int StatusOk = 200;
constexpr int FirstFailure = 500;
constexpr int StatusBadGateway = 502;
constexpr int StatusUnavailable = 503;
constexpr int StatusGatewayTimeout = 504;

PromptParts partsOf(const AcceptedCall &call,
                    const HttpRequestMessage &request) {
  RequestFingerprint whole{request.Head.Method, request.Head.Target,
                           call.Workspace, request.Body};
  bool isStream = call.MatchedRoute->Kind == RequestKind::Stream;
  if (!isStream && call.Facts.SharedParts.empty())
    return wholeRequestOf(call.Service, whole);
  return requestPartsOf(call.Service, call.Facts.SharedParts, whole);
}

} // namespace

Exchange::Exchange(ExchangeContext &context, ServerPool &pool,
                   AcceptedCall call, HttpRequestMessage request,
                   std::shared_ptr<HttpReply> reply)
    : Context(context), Pool(pool), Call(std::move(call)),
      Request(std::move(request)), Reply(std::move(reply)),
      Parts(partsOf(Call, Request)),
      LimitTimer(context.Loop, [this] { onTimer(); }),
      PauseTimer(context.Loop, [this] { onPauseTimer(); }) {
  // Parts holds them in fewer bytes.
  Call.Facts.SharedParts = {};
  Stream.LastId = Call.Facts.LastEventId;
  Reply->onDisconnect([this] { onCallerGone(); });
}

Exchange::~Exchange() {
  leaveTrial();
  if (!HasEnded)
    Pool.withdraw(Call.Id);
}

void Exchange::leaveTrial() {
  if (std::exchange(IsTrial, false))
    endTrial(Context.Guard->Evidence, Parts.Ids);
}

bool Exchange::isRepeatable() const {
  return Call.MatchedRoute->Kind == RequestKind::Idempotent ||
         (Call.MatchedRoute->Kind == RequestKind::Stream &&
          Call.MatchedRoute->Resumable);
}

void Exchange::start() {
  if (auto no =
          checkParts(*Context.Guard, Parts, Call.Facts.RequestId, Clock::now()))
    return refuse(no->Answer, no->Reason);
  recordFirstAttempt(Pool.budget());
  armTimer();
  submit();
}

void Exchange::submit() {
  auto now = Clock::now();
  double share = Call.MatchedRoute->Kind == RequestKind::Stream
                     ? StreamWaitFactor
                     : WholeAnswerWaitFactor;
  auto wait = std::chrono::duration_cast<Clock::duration>(
      share *
      std::chrono::duration<double, std::milli>(Call.MatchedRoute->Objective));
  // A request that was sent before may wait as long again as a new one, up to
  // its deadline: it has waited already, and its remaining work is worth as
  // much as any other request's.
  PoolCall call;
  call.Id = Call.Id;
  call.Workspace = Call.Workspace;
  call.StartBy = std::min(Call.CallDeadline.At, now + wait);
  call.AnswerBy = Call.CallDeadline.At;
  call.FirstEventBy = now + Call.MatchedRoute->Objective;
  call.CallUrgency = Call.CallUrgency.value_or(Urgency{});
  call.Exclude = TriedServers;
  call.Tokens = tokensOf(Call.Facts.PromptTokens, Call.Facts.MaxAnswerTokens);
  call.OnStart = [this](const ServerRecord &server) { send(server); };
  call.OnRefused = [this](const Refusal &why) { refuse(why, "no_room"); };
  Pool.submit(std::move(call));
}

// Returns the event after which the next server resumes the stream; empty when
// no event was forwarded yet.
std::optional<std::uint64_t> Exchange::resumeAfter() const {
  return Stream.EventCount > 0 ? Stream.LastId : std::nullopt;
}

std::string Exchange::requestText(const ServerRecord &server) const {
  SendMetadata facts;
  facts.Server = server.Id;
  facts.Workspace = Call.Workspace;
  facts.TimeLeft =
      std::max(milliseconds{1},
               timeLeft(Call.CallDeadline, Clock::now()) - ReturnMargin);
  facts.LastEventId = resumeAfter();
  facts.RequestUrgency = Call.CallUrgency;
  HttpFields fields = Context.Dialect->WriteSend(Request.Head.Fields, facts);
  bool hasBody =
      !Request.Body.empty() || Request.Head.IsChunked || Request.Head.Length;
  if (hasBody)
    fields.push_back({"Content-Length", std::to_string(Request.Body.size())});
  std::string out =
      Request.Head.Method + " " + Request.Head.Target + " HTTP/1.1\r\n";
  appendFields(out, fields);
  out += Request.Body;
  return out;
}

// Returns whether the request may be sent now; otherwise refuses it. Evidence
// may have come while it waited for \p server.
bool Exchange::passesGuard(const ServerRecord &server, Clock::time_point now) {
  auto no = checkParts(*Context.Guard, Parts, Call.Facts.RequestId, now);
  if (!no) {
    IsTrial = startTrial(Context.Guard->Evidence, Parts.Ids, now);
    return true;
  }
  PoolOutcome outcome;
  outcome.IsAbandoned = true;
  Pool.finished(Call.Id, server.Id, outcome);
  refuse(no->Answer, no->Reason);
  return false;
}

void Exchange::send(const ServerRecord &server) {
  auto now = Clock::now();
  if (!passesGuard(server, now))
    return;
  CurrentAttempt.emplace(Context.Answers);
  CurrentAttempt->Server = server;
  CurrentAttempt->SentAt = now;
  CurrentAttempt->LastReceivedAt = now;
  CurrentAttempt->Connection = Pool.connect(server, Call.Facts.RequestId);
  ++Runs;
  logSend(Call, *CurrentAttempt, Pool.lastChoice(), Runs, resumeAfter());
  ExchangeEvents events;
  events.OnHead = [this](const HttpHead &head) { return onHead(head); };
  events.OnBody = [this](std::string_view piece) { onBody(piece); };
  events.OnEnd = [this](ExchangeEnd how, std::string_view why) {
    onEnd(how, why);
  };
  CurrentAttempt->Connection->send(requestText(server),
                                   Request.Head.Method == "HEAD",
                                   std::move(events), Call.Facts.RequestId);
  armTimer();
}

bool Exchange::onHead(const HttpHead &head) {
  AnswerMetadata facts = Context.Dialect->ReadAnswer(head);
  // The answer to an earlier request on this connection may be delayed, or come
  // once more. On a connection that was used before, one that names no request
  // may be such an answer, and says nothing of this request.
  if (!facts.RequestId.empty() && facts.RequestId != Call.Facts.RequestId) {
    logSkippedAnswer(*Context.Counters, Call, *CurrentAttempt, head,
                     facts.RequestId);
    return false;
  }
  bool isForeign =
      facts.RequestId.empty() && CurrentAttempt->Connection->answers() > 0;
  if (isForeign)
    facts = {};
  CurrentAttempt->LastReceivedAt = Clock::now();
  CurrentAttempt->Head = head;
  CurrentAttempt->Answer = facts;
  CurrentAttempt->HasHead = true;
  CurrentAttempt->IsForeign = isForeign;
  if (facts.IsOtherServer)
    Context.OnNotice(CurrentAttempt->Server, NoticeKind::Gone,
                     Call.Facts.RequestId);
  else if (!isForeign)
    Context.OnRateLimit(CurrentAttempt->Server, facts.RateLimit);
  if (facts.ColdRemaining && !facts.IsOtherServer && !isForeign)
    Context.OnCold(CurrentAttempt->Server, *facts.ColdRemaining);
  if (facts.Pause)
    Pool.pauseServer(CurrentAttempt->Server, *facts.Pause,
                     Call.Facts.RequestId);
  if (facts.IsLeaving && !facts.IsOtherServer)
    Context.OnNotice(CurrentAttempt->Server, NoticeKind::Leaving,
                     Call.Facts.RequestId);
  CurrentAttempt->RelaysEvents = head.Status == StatusOk &&
                                 facts.IsEventStream && facts.IsSigned &&
                                 Call.MatchedRoute->Kind == RequestKind::Stream;
  return true;
}

void Exchange::onBody(std::string_view piece) {
  CurrentAttempt->LastReceivedAt = Clock::now();
  if (CurrentAttempt->RelaysEvents)
    return relayEvents(piece);
  CurrentAttempt->Body.append(piece);
  if (CurrentAttempt->Body.size() > MaxBufferedAnswer)
    return endAttempt(AttemptEnd::Lost, "the answer is too large");
  if (!CurrentAttempt->Share.keep(CurrentAttempt->Body.size()))
    endAttempt(AttemptEnd::Lost, "all answers together are too large");
}

void Exchange::relayEvents(std::string_view piece) {
  std::string events = extractNewEvents(Stream, piece);
  if (Stream.IsTooLong)
    return endAttempt(AttemptEnd::Lost, "an event is too large");
  if (!CurrentAttempt->Share.keep(Stream.Partial.size()))
    return endAttempt(AttemptEnd::Lost, "all answers together are too large");
  if (events.empty())
    return;
  auto now = Clock::now();
  Pool.recordEvent();
  // Pauses count only between events of the same server. Events that arrive in
  // one piece are the result of one pass.
  if (CurrentAttempt->LastEventAt)
    Pool.recordPause(now - *CurrentAttempt->LastEventAt,
                     Call.MatchedRoute->LongestPause);
  CurrentAttempt->LastEventAt = now;
  if (++CurrentAttempt->Events == EventsBeyondBeginning)
    reportBeginning(*Context.Guard, Parts, now);
  if (!HasSentHead) {
    HasSentHead = true;
    FirstEventAt = now;
    HttpFields fields = CurrentAttempt->Head.Fields;
    removeHopByHopFields(fields);
    Reply->begin(CurrentAttempt->Head.Status, std::move(fields));
    Reply->onDrained([this] { resumeReading(); });
  }
  Reply->sendPiece(events);
  pauseIfCallerIsSlow();
}

void Exchange::onEnd(ExchangeEnd how, std::string_view why) {
  switch (how) {
  case ExchangeEnd::Complete:
    return onAnswerComplete();
  case ExchangeEnd::NotConnected:
    return endAttempt(AttemptEnd::NotConnected, why);
  case ExchangeEnd::Broken:
    return endAttempt(AttemptEnd::Lost, why);
  }
}

// Whether the answer is a stream that was broken off although its framing says
// nothing of that. One without a length and chunks ends in the same way when
// its server ends; without any event it is no whole stream.
bool Exchange::isBrokenOff() const {
  if (!CurrentAttempt->RelaysEvents)
    return false;
  const HttpHead &head = CurrentAttempt->Head;
  bool hasFraming = head.IsChunked || head.Length;
  return endsInsideEvent(Stream) ||
         (!hasFraming && CurrentAttempt->Events == 0);
}

void Exchange::onAnswerComplete() {
  if (CurrentAttempt->IsForeign)
    return endAttempt(AttemptEnd::Lost, "the answer names no request");
  if (CurrentAttempt->Answer.DidNotRun)
    return endAttempt(AttemptEnd::DidNotRun,
                      CurrentAttempt->Answer.IsOtherServer
                          ? "another server is there"
                          : "refused by the server");
  // Only DidNotRun is a proof, so this answer would promise too much.
  if (CurrentAttempt->Answer.IsPromise && !isRepeatable())
    return endAttempt(AttemptEnd::Lost, "a refusal without proof");
  bool isSuccess = CurrentAttempt->Head.Status < 300;
  if (isSuccess && !CurrentAttempt->Answer.IsSigned)
    return endAttempt(AttemptEnd::Lost, "the answer is not signed");
  if (CurrentAttempt->Head.Status >= FirstFailure)
    return endAttempt(AttemptEnd::Failed, "failed by the server");
  if (HasSentHead && !CurrentAttempt->RelaysEvents)
    return endAttempt(AttemptEnd::Lost, "the stream can't go on there");
  if (isBrokenOff())
    return endAttempt(AttemptEnd::Lost, "the stream was broken off");
  forwardAnswer();
}

// Ends the current attempt: returns its connection to the pool and reports
// \p outcome there.
void Exchange::releaseServer(const PoolOutcome &outcome) {
  resumeReading();
  auto connection = std::move(CurrentAttempt->Connection);
  ServerRecord server = CurrentAttempt->Server;
  CurrentAttempt.reset();
  leaveTrial();
  Pool.keep(server, std::move(connection));
  Pool.finished(Call.Id, server.Id, outcome);
}

// Records what the end of the attempt says about the parts of the request.
// Returns whether the request must go to no other server.
bool Exchange::noteCrash(AttemptEnd end, Clock::time_point now) {
  BrokenAttempt attempt;
  attempt.RequestId = Call.Facts.RequestId;
  attempt.Server = CurrentAttempt->Server;
  attempt.IsDisconnected =
      end == AttemptEnd::Lost && CurrentAttempt->Connection->isClosedByServer();
  attempt.HasBegun = CurrentAttempt->HasHead;
  attempt.IsTrial = IsTrial;
  attempt.Events = CurrentAttempt->Events;
  attempt.Silence = now - CurrentAttempt->LastReceivedAt;
  if (end == AttemptEnd::NotConnected &&
      CurrentAttempt->Connection->isRefused())
    reportServerEnd(*Context.Guard, attempt.Server, now);
  bool isStream = Call.MatchedRoute->Kind == RequestKind::Stream;
  if (!isStream || !attempt.HasBegun)
    return reportBreak(*Context.Guard, Parts, attempt, now);
  return reportStreamBreak(*Context.Guard, Parts, attempt, now);
}

AttemptHistory Exchange::history(Clock::time_point now) const {
  AttemptHistory past;
  past.IsRepeatable = isRepeatable();
  past.AllowedRuns = std::max(1, Call.MatchedRoute->Attempts);
  past.Runs = Runs;
  past.Refusals = Refusals;
  past.TimeLeft = Call.CallDeadline.At - now;
  return past;
}

// Ends an attempt without an answer to forward, and then sends the request
// again, refuses it or fails it, as decideNext() and the retry budget say.
void Exchange::endAttempt(AttemptEnd end, std::string_view why) {
  auto now = Clock::now();
  ServerRecord server = CurrentAttempt->Server;
  bool neverRan =
      end == AttemptEnd::NotConnected || end == AttemptEnd::DidNotRun;
  if (neverRan) {
    --Runs;
    ++Refusals;
  }
  AttemptHistory past = history(now);
  NextDecision next = decideNext(past, end);
  // Without a connection the request reached no server, so the next attempt
  // takes nothing from the retry budget.
  bool isFree = end == AttemptEnd::NotConnected;
  bool isCrash = noteCrash(end, now);
  if (isCrash) {
    // Another server would end as well if a part of the prompt is the cause.
    past.AllowedRuns = 0;
    next = decideNext(past, end);
    next.Reason = "server_ended";
  }
  RetryPayment payment = RetryPayment::None;
  if (next.Step == NextStep::SendAgain)
    payment = isFree ? RetryPayment::Free
              : spendRetryToken(Pool.budget(), HasSentHead)
                  ? RetryPayment::Token
                  : RetryPayment::Refused;
  if (payment == RetryPayment::Refused) {
    past.AllowedRuns = 0;
    next = decideNext(past, end);
    next.Reason = "retry_budget";
  }
  logAttemptEnd(*Context.Counters, Call, *CurrentAttempt, Stream, Parts, Runs,
                why, next.Reason, payment, Pool.budget().Tokens);
  if (next.Step == NextStep::ForwardAnswer && !HasSentHead)
    return forwardAnswer();
  PoolOutcome outcome;
  outcome.Failure =
      end == AttemptEnd::DidNotRun && !CurrentAttempt->Answer.IsOtherServer
          ? ErrorKind::Overloaded
      : end == AttemptEnd::Failed ? ErrorKind::EndpointFailed
                                  : ErrorKind::LinkDown;
  TriedServers.push_back(server.Id);
  discardPartialEvent(Stream);
  releaseServer(outcome);
  switch (next.Step) {
  case NextStep::SendAgain:
    return submit();
  case NextStep::Refuse:
    return refuse({ErrorKind::Overloaded,
                   answerRow(ErrorKind::Overloaded).RetryAfter, Ran::No},
                  next.Reason);
  case NextStep::FailUnknown:
  case NextStep::ForwardAnswer:
    return failOutcomeUnknown(next.Reason);
  }
}

// Forwards the server's own answer to the caller.
void Exchange::forwardAnswer() {
  auto now = Clock::now();
  int status = CurrentAttempt->Head.Status;
  Clock::duration took =
      (HasSentHead ? FirstEventAt : now) - CurrentAttempt->SentAt;
  if (HasSentHead) {
    Reply->sendPiece(Stream.Partial);
    Reply->end();
  } else {
    HttpFields fields = CurrentAttempt->Head.Fields;
    removeHopByHopFields(fields);
    Reply->sendWhole(status, std::move(fields), CurrentAttempt->Body);
  }
  if (status < FirstFailure)
    reportSurvival(*Context.Guard, Parts, now);
  PoolOutcome outcome;
  if (status >= FirstFailure)
    outcome.Failure = ErrorKind::EndpointFailed;
  outcome.Latency = std::chrono::duration_cast<std::chrono::microseconds>(took);
  finish(status, "answered", "server");
  releaseServer(outcome);
}

void Exchange::refuse(const Refusal &why, std::string_view reason) {
  if (HasEnded)
    return;
  // A refusal says that the request did not run. That would be false once an
  // attempt may have run, or a part of the answer was sent.
  if (Runs > 0 || HasSentHead)
    return failOutcomeUnknown(reason);
  milliseconds retry = std::max(why.RetryAfter, MinRetryAfter);
  LastRefusal = why;
  LastRefusal.RetryAfter = retry;
  Reply->sendWhole(StatusUnavailable,
                   Context.Dialect->WriteOwnAnswer(Call.Facts.RequestId, retry),
                   "");
  finish(StatusUnavailable, "refused", reason);
}

// Ends a request that may have run: closes a stream that has begun, otherwise
// answers with a failure that doesn't say whether the request ran.
void Exchange::failOutcomeUnknown(std::string_view reason) {
  if (HasEnded)
    return;
  if (HasSentHead) {
    Reply->abort();
    return finish(0, "cut", reason);
  }
  bool isLate = hasPassed(Call.CallDeadline, Clock::now());
  int status = isLate ? StatusGatewayTimeout : StatusBadGateway;
  Reply->sendWhole(status,
                   Context.Dialect->WriteOwnAnswer(Call.Facts.RequestId,
                                                   milliseconds::zero()),
                   "");
  finish(status, "failed", reason);
}

void Exchange::onCallerGone() {
  // A request that may run only once is not cancelled while a server has it: if
  // the caller left after the request was booked, it counts as done.
  bool runsOn =
      CurrentAttempt && Call.MatchedRoute->Kind == RequestKind::AtMostOnce;
  if (HasEnded || runsOn)
    return;
  finish(0, "caller_gone", CurrentAttempt ? "cancelled" : "withdrawn");
  if (!CurrentAttempt)
    return Pool.withdraw(Call.Id);
  PoolOutcome outcome;
  outcome.IsAbandoned = true;
  releaseServer(outcome);
}

void Exchange::armTimer() {
  auto at = Call.CallDeadline.At;
  if (watchesInactivity())
    at = std::min(at, switchAt());
  auto wait = std::chrono::ceil<milliseconds>(at - Clock::now());
  LimitTimer.start(std::max(milliseconds{1}, wait));
}

void Exchange::onTimer() {
  if (HasEnded)
    return;
  auto now = Clock::now();
  if (hasPassed(Call.CallDeadline, now))
    return giveUp(ErrorKind::DeadlineTooShort, "deadline");
  if (watchesInactivity() && now >= switchAt())
    return onInactivity(now);
  armTimer();
}

void Exchange::stop() {
  if (!HasEnded)
    giveUp(ErrorKind::Leaving, "leaving");
}

// Ends the exchange without an answer of a server, for \p reason.
void Exchange::giveUp(ErrorKind kind, std::string_view reason) {
  if (!CurrentAttempt) {
    Pool.withdraw(Call.Id);
    return refuse({kind}, reason);
  }
  PoolOutcome outcome;
  outcome.IsAbandoned = true;
  releaseServer(outcome);
  failOutcomeUnknown(reason);
}

void Exchange::finish(int status, std::string_view outcome,
                      std::string_view reason) {
  if (HasEnded)
    return;
  HasEnded = true;
  LimitTimer.stop();
  PauseTimer.stop();
  FinalAnswer answer{status, outcome, reason, Runs, Stream.EventCount, {}};
  if (HasSentHead)
    answer.FirstEventAt = FirstEventAt;
  answer.Refused = LastRefusal;
  logAnswer(*Context.Counters, Call, answer);
  Context.OnEnded(Call.Id);
}

} // namespace greengagespar
