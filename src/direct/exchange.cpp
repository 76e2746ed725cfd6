#include "greengagespar/direct/exchange.h"

#include "greengagespar/base/log.h"
#include "greengagespar/base/log_output.h"
#include <algorithm>

namespace greengagespar {

namespace {

using std::chrono::milliseconds;

// Part of its objective that a stream may wait for a server: the rest is for
// reading the prompt and the first pass.
constexpr double StreamWaitShare = 0.6;
// Part of its objective that a whole answer may wait for a server.
constexpr double WholeWaitShare = 3;

// A server that has been quiet for longer than a stalled group of the platform
// takes to give its work up (1.5 s) will not speak again; callers leave after
// 2 s of silence.
constexpr milliseconds StreamSilence{1700};
// A whole answer that may be repeated is asked for elsewhere after this many
// times its objective.
constexpr double WholeSilenceShare = 3;

// The deadline that a server is told ends this much earlier, for the way back.
constexpr milliseconds WayBack{5};

// Largest answer that is kept back until it is whole; a larger one is passed on
// as it comes and can't be asked for again.
constexpr std::size_t MaxHeldAnswer = std::size_t{256} * 1024;

// A refused caller is told to wait at least this long: a server's queue moves
// on by then.
constexpr milliseconds ShortestRetry{50};

constexpr int StatusOk = 200;
constexpr int FirstFailure = 500;
constexpr int StatusBadGateway = 502;
constexpr int StatusUnavailable = 503;
constexpr int StatusGatewayTimeout = 504;

std::string_view nameOf(RequestKind kind) {
  switch (kind) {
  case RequestKind::Idempotent:
    return "idempotent";
  case RequestKind::AtMostOnce:
    return "at_most_once";
  case RequestKind::Stream:
    return "stream";
  }
  return "";
}

} // namespace

Exchange::Exchange(ExchangeContext &context, ServerPool &pool,
                   AcceptedCall call, HttpRequestMessage request,
                   std::shared_ptr<HttpReply> reply)
    : Context(context), Pool(pool), Call(std::move(call)),
      Request(std::move(request)), Reply(std::move(reply)),
      Limit(context.Loop, [this] { onTimer(); }) {
  Stream.Last = Call.Facts.LastEventId;
  Reply->whenGone([this] { onGone(); });
}

Exchange::~Exchange() {
  if (!HasEnded)
    Pool.withdraw(Call.Id);
}

bool Exchange::isRepeatable() const {
  return Call.Way->Kind == RequestKind::Idempotent ||
         (Call.Way->Kind == RequestKind::Stream && Call.Way->Resumable);
}

void Exchange::start() {
  noteFirstAttempt(Pool.budget());
  armTimer();
  submit();
}

void Exchange::submit() {
  auto now = Clock::now();
  double share =
      Call.Way->Kind == RequestKind::Stream ? StreamWaitShare : WholeWaitShare;
  auto wait = std::chrono::duration_cast<Clock::duration>(
      share * std::chrono::duration<double, std::milli>(Call.Way->Objective));
  // A request that was sent before has waited already; what is left of its
  // work is worth as much as any other's.
  PoolCall call;
  call.Id = Call.Id;
  call.Workspace = Call.Workspace;
  call.StartBy = std::min(Call.Due.At, now + wait);
  call.Exclude = Tried;
  call.OnStart = [this](const ServerRecord &server) { send(server); };
  call.OnRefused = [this](const Refusal &why) { refuse(why, "no_room"); };
  Pool.submit(std::move(call));
}

std::optional<std::uint64_t> Exchange::resumeAfter() const {
  return Stream.Events > 0 ? Stream.Last : std::nullopt;
}

std::string Exchange::requestText(const ServerRecord &server) const {
  SendFacts facts;
  facts.Server = server.Id;
  facts.Workspace = Call.Workspace;
  facts.TimeLeft =
      std::max(milliseconds{1}, timeLeft(Call.Due, Clock::now()) - WayBack);
  facts.LastEventId = resumeAfter();
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

void Exchange::send(const ServerRecord &server) {
  auto now = Clock::now();
  Now.emplace();
  Now->Server = server;
  Now->SentAt = now;
  Now->HeardAt = now;
  Now->Connection = Pool.connect(server, true);
  ++Runs;
  LogLine line("send");
  line.add("id", Call.Facts.RequestId)
      .add("route", Call.Way->Name)
      .add("config", static_cast<std::int64_t>(Call.Table->Site.Version.Value))
      .add("server", server.Id.Value)
      .add("at", server.At.Value)
      .add("run", Runs)
      .addMs("waited_ms", now - Call.Arrived)
      .addMs("left_ms", Call.Due.At - now);
  if (auto last = resumeAfter())
    line.add("after_event", static_cast<std::int64_t>(*last));
  logInfo(Part::Route, line.text());
  ExchangeEvents events;
  events.OnHead = [this](const HttpHead &head) { return onHead(head); };
  events.OnBody = [this](std::string_view piece) { onBody(piece); };
  events.OnEnd = [this](ExchangeEnd how, std::string_view why) {
    onEnd(how, why);
  };
  Now->Connection->send(requestText(server), Request.Head.Method == "HEAD",
                        std::move(events));
  armTimer();
}

bool Exchange::onHead(const HttpHead &head) {
  AnswerFacts facts = Context.Dialect->ReadAnswer(head);
  // An answer to an earlier request on the connection may come late.
  if (!facts.RequestId.empty() && facts.RequestId != Call.Facts.RequestId)
    return false;
  Now->HeardAt = Clock::now();
  Now->Head = head;
  Now->Answer = facts;
  Now->HasHead = true;
  Now->Relays = head.Status == StatusOk && facts.IsEventStream &&
                facts.IsSigned && Call.Way->Kind == RequestKind::Stream;
  return true;
}

void Exchange::onBody(std::string_view piece) {
  Now->HeardAt = Clock::now();
  if (Now->Relays)
    return relay(piece);
  Now->Body.append(piece);
  if (Now->Body.size() > MaxHeldAnswer)
    endAttempt(AttemptEnd::Lost, "the answer is too large");
}

void Exchange::relay(std::string_view piece) {
  std::string events = takeEvents(Stream, piece);
  if (Stream.IsTooLong)
    return endAttempt(AttemptEnd::Lost, "an event is too large");
  if (events.empty())
    return;
  auto now = Clock::now();
  Pool.noteEvent();
  // Only pauses of one server's work; what several events bring is one pass.
  if (Now->EventAt)
    Pool.notePause(now - *Now->EventAt, Call.Way->LongestPause);
  Now->EventAt = now;
  if (!HasBegun) {
    HasBegun = true;
    FirstEventAt = now;
    HttpFields fields = Now->Head.Fields;
    removeHopByHopFields(fields);
    Reply->begin(Now->Head.Status, std::move(fields));
  }
  Reply->sendPiece(events);
}

void Exchange::onEnd(ExchangeEnd how, std::string_view why) {
  switch (how) {
  case ExchangeEnd::Complete:
    return onWhole();
  case ExchangeEnd::NotConnected:
    return endAttempt(AttemptEnd::NotConnected, why);
  case ExchangeEnd::Broken:
    return endAttempt(AttemptEnd::Lost, why);
  }
}

void Exchange::onWhole() {
  if (Now->Answer.DidNotRun)
    return endAttempt(AttemptEnd::DidNotRun, Now->Answer.IsOtherServer
                                                 ? "another server is there"
                                                 : "refused by the server");
  bool isSuccess = Now->Head.Status < 300;
  if (isSuccess && !Now->Answer.IsSigned)
    return endAttempt(AttemptEnd::Lost, "the answer is not signed");
  if (Now->Head.Status >= FirstFailure)
    return endAttempt(AttemptEnd::Failed, "failed by the server");
  if (HasBegun && !Now->Relays)
    return endAttempt(AttemptEnd::Lost, "the stream can't go on there");
  passOn();
}

// Settles the attempt in progress with its server.
void Exchange::release(const PoolOutcome &outcome) {
  auto connection = std::move(Now->Connection);
  ServerRecord server = Now->Server;
  Now.reset();
  Pool.keep(server.Id, std::move(connection));
  Pool.finished(Call.Id, server.Id, outcome);
}

void Exchange::endAttempt(AttemptEnd end, std::string_view why) {
  auto now = Clock::now();
  ServerRecord server = Now->Server;
  bool neverRan =
      end == AttemptEnd::NotConnected || end == AttemptEnd::DidNotRun;
  if (neverRan) {
    --Runs;
    ++Refusals;
  }
  AttemptHistory history;
  history.IsRepeatable = isRepeatable();
  history.AllowedRuns = std::max(1, Call.Way->Attempts);
  history.Runs = Runs;
  history.Refusals = Refusals;
  history.TimeLeft = Call.Due.At - now;
  NextDecision next = decideNext(history, end);
  // A connection that was never made brought no request to any server.
  bool isPaid = end == AttemptEnd::NotConnected;
  if (next.Step == NextStep::SendAgain && !isPaid &&
      !payForRetry(Pool.budget(), HasBegun)) {
    history.AllowedRuns = 0;
    next = decideNext(history, end);
    next.Reason = "retry_budget";
  }
  LogLine line("attempt_ended");
  line.add("id", Call.Facts.RequestId)
      .add("server", server.Id.Value)
      .add("why", why)
      .add("status", Now->Head.Status)
      .addMs("took_ms", now - Now->SentAt)
      .add("runs", Runs)
      .add("events", static_cast<std::int64_t>(Stream.Events))
      .add("next", next.Reason);
  logInfo(Part::Route, line.text());
  countUp(*Context.Numbers,
          {"greengagespar_attempts_failed_total", {{"why", std::string(why)}}});
  if (next.Step == NextStep::PassItOn && !HasBegun)
    return passOn();
  PoolOutcome outcome;
  outcome.Failure = end == AttemptEnd::DidNotRun && !Now->Answer.IsOtherServer
                        ? ErrorKind::Overloaded
                    : end == AttemptEnd::Failed ? ErrorKind::EndpointFailed
                                                : ErrorKind::LinkDown;
  Tried.push_back(server.Id);
  beginNextServer(Stream);
  release(outcome);
  switch (next.Step) {
  case NextStep::SendAgain:
    return submit();
  case NextStep::RefuseIt:
    return refuse({ErrorKind::Overloaded,
                   answerRow(ErrorKind::Overloaded).RetryAfter, Ran::No},
                  next.Reason);
  case NextStep::FailIt:
  case NextStep::PassItOn:
    return failUnknown(next.Reason);
  }
}

// Gives the caller the server's own answer.
void Exchange::passOn() {
  auto now = Clock::now();
  int status = Now->Head.Status;
  Clock::duration took = (HasBegun ? FirstEventAt : now) - Now->SentAt;
  if (HasBegun) {
    Reply->sendPiece(Stream.Partial);
    Reply->end();
  } else {
    HttpFields fields = Now->Head.Fields;
    removeHopByHopFields(fields);
    Reply->sendWhole(status, std::move(fields), Now->Body);
  }
  PoolOutcome outcome;
  if (status >= FirstFailure)
    outcome.Failure = ErrorKind::EndpointFailed;
  outcome.Latency = std::chrono::duration_cast<std::chrono::microseconds>(took);
  finish(status, "answered", "server");
  release(outcome);
}

void Exchange::refuse(const Refusal &why, std::string_view reason) {
  if (HasEnded)
    return;
  // Once an attempt may have run, or a part of the answer has left, a refusal
  // would not be true.
  if (Runs > 0 || HasBegun)
    return failUnknown(reason);
  milliseconds retry = std::max(why.RetryAfter, ShortestRetry);
  Reply->sendWhole(StatusUnavailable,
                   Context.Dialect->WriteOwnAnswer(Call.Facts.RequestId, retry),
                   "");
  finish(StatusUnavailable, "refused", reason);
}

// Ends a request that may have run.
void Exchange::failUnknown(std::string_view reason) {
  if (HasEnded)
    return;
  if (HasBegun) {
    Reply->abort();
    return finish(0, "cut", reason);
  }
  bool isLate = hasPassed(Call.Due, Clock::now());
  int status = isLate ? StatusGatewayTimeout : StatusBadGateway;
  Reply->sendWhole(status,
                   Context.Dialect->WriteOwnAnswer(Call.Facts.RequestId,
                                                   milliseconds::zero()),
                   "");
  finish(status, "failed", reason);
}

void Exchange::onGone() {
  // What may run once is not broken off: it counts as done where the caller
  // left after it was booked.
  bool runsOn = Now && Call.Way->Kind == RequestKind::AtMostOnce;
  if (HasEnded || runsOn)
    return;
  finish(0, "caller_gone", Now ? "cancelled" : "withdrawn");
  if (!Now)
    return Pool.withdraw(Call.Id);
  PoolOutcome outcome;
  outcome.IsAbandoned = true;
  release(outcome);
}

Clock::duration Exchange::silenceAllowed() const {
  if (Call.Way->Kind == RequestKind::Stream)
    return StreamSilence;
  return std::chrono::duration_cast<Clock::duration>(
      WholeSilenceShare *
      std::chrono::duration<double, std::milli>(Call.Way->Objective));
}

// Whether a silent server is to be left for another one.
bool Exchange::watchesSilence() const {
  return Now && isRepeatable() && !SwitchedOnce && Runs < Call.Way->Attempts;
}

void Exchange::armTimer() {
  auto at = Call.Due.At;
  if (watchesSilence())
    at = std::min(at, Now->HeardAt + silenceAllowed());
  auto wait = std::chrono::ceil<milliseconds>(at - Clock::now());
  Limit.start(std::max(milliseconds{1}, wait));
}

void Exchange::onTimer() {
  if (HasEnded)
    return;
  auto now = Clock::now();
  if (hasPassed(Call.Due, now))
    return onDeadline();
  if (watchesSilence() && now - Now->HeardAt >= silenceAllowed()) {
    SwitchedOnce = true;
    return endAttempt(AttemptEnd::Lost, "silent");
  }
  armTimer();
}

void Exchange::onDeadline() {
  if (!Now) {
    Pool.withdraw(Call.Id);
    return refuse({ErrorKind::DeadlineTooShort}, "deadline");
  }
  PoolOutcome outcome;
  outcome.IsAbandoned = true;
  release(outcome);
  failUnknown("deadline");
}

void Exchange::finish(int status, std::string_view outcome,
                      std::string_view reason) {
  if (HasEnded)
    return;
  HasEnded = true;
  Limit.stop();
  auto now = Clock::now();
  LogLine line("answer");
  line.add("id", Call.Facts.RequestId)
      .add("route", Call.Way->Name)
      .add("kind", nameOf(Call.Way->Kind))
      .add("outcome", outcome)
      .add("reason", reason)
      .add("status", status)
      .add("runs", Runs)
      .add("events", static_cast<std::int64_t>(Stream.Events))
      .addMs("took_ms", now - Call.Arrived);
  if (HasBegun)
    line.addMs("first_event_ms", FirstEventAt - Call.Arrived);
  logInfo(Part::Call, line.text());
  countUp(*Context.Numbers, {"greengagespar_requests_total",
                             {{"kind", std::string(nameOf(Call.Way->Kind))},
                              {"outcome", std::string(outcome)},
                              {"reason", std::string(reason)}}});
  double ms =
      std::chrono::duration<double, std::milli>(now - Call.Arrived).count();
  observe(*Context.Numbers,
          {"greengagespar_request_ms",
           {{"kind", std::string(nameOf(Call.Way->Kind))}}},
          ms, now);
  Context.OnEnded(Call.Id);
}

} // namespace greengagespar
