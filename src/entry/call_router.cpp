#include "call_router.h"

#include "greengagespar/base/hash.h"
#include "greengagespar/base/log.h"
#include <utility>

namespace greengagespar {

namespace {

// When so little time is left before its deadline, a call that may not be
// repeated is revoked, so that its outcome is known in time.
constexpr std::chrono::milliseconds DeadlineNearMargin{150};

// Time between two checks of the callers' connections.
constexpr std::chrono::milliseconds CallerCheckInterval{100};

// How long a call waits for newer settings before it is sent without them.
constexpr std::chrono::milliseconds MaxSettingsWait{500};

// When more bytes than this wait for a caller to read them, the entry cancels
// the call and closes the connection.
constexpr std::size_t MaxUnsentBytes = 1 << 20;

// When a caller reads no byte of its stream for this long, the entry cancels
// the call and closes the connection. The limit lets a mobile connection
// recover from a gap in its coverage.
constexpr std::chrono::milliseconds MaxStall{10000};

// Returns whether the caller has closed its connection or stopped reading its
// answer.
bool hasAbandoned(CallerReply &reply, Clock::time_point now) {
  return reply.hasDisconnected() || reply.unsentBytes() > MaxUnsentBytes ||
         reply.stalledFor(now) > MaxStall;
}

CallId callOf(const wire::CallRef &ref) {
  return {{ref.entry()}, ref.number()};
}

// Returns the call that an envelope refers to; null when it refers to none.
const wire::CallRef *referencedCall(const wire::Envelope &envelope) {
  switch (envelope.body_case()) {
  case wire::Envelope::kAcknowledge:
    return &envelope.acknowledge().call();
  case wire::Envelope::kChunk:
    return &envelope.chunk().call();
  case wire::Envelope::kEnd:
    return &envelope.end().call();
  case wire::Envelope::kRefusal:
    return &envelope.refusal().call();
  case wire::Envelope::kRevokeAnswer:
    return &envelope.revoke_answer().call();
  default:
    return nullptr;
  }
}

ErrorKind kindOf(std::uint32_t number) {
  if (number >= static_cast<std::uint32_t>(ErrorKindCount))
    return ErrorKind::Internal;
  return static_cast<ErrorKind>(number);
}

std::optional<CallEvent> toEvent(const wire::Envelope &envelope) {
  switch (envelope.body_case()) {
  case wire::Envelope::kAcknowledge:
    return Acknowledged{};
  case wire::Envelope::kChunk:
    return TokensArrived{
        envelope.chunk().offset(),
        static_cast<std::uint32_t>(envelope.chunk().tokens_size())};
  case wire::Envelope::kEnd:
    return Ended{envelope.end().tokens()};
  case wire::Envelope::kRefusal:
    return Refused{
        {kindOf(envelope.refusal().kind()), envelope.refusal().message()},
        envelope.refusal().did_not_run(),
        {envelope.refusal().holder()}};
  case wire::Envelope::kRevokeAnswer:
    return RevokeAnswered{envelope.revoke_answer().revoked()};
  default:
    return std::nullopt;
  }
}

} // namespace

void sendError(CallerReply &reply, const Error &error, Ran ran,
               const std::vector<Address> &entries) {
  const AnswerRow &row = answerRow(error.Kind);
  std::vector<HttpHeader> headers;
  if (row.RetryAfter.count() > 0)
    headers.push_back({"Retry-After", "1"});
  reply.sendWhole(row.HttpStatus, "application/json",
                  renderError(error, ran, entries), headers);
}

CallRouter::CallRouter(event_base *base, zmq::context_t &context,
                       const LinkIdentity &self, PartGuard &guard,
                       DataCentreId dataCentre)
    : Self(self), Guard(guard), DataCentre(std::move(dataCentre)),
      Links(base, context, self,
            {[this](const ServerId &server, const wire::Envelope &envelope) {
               onMessage(server, envelope);
             },
             [this](const ServerId &server, const wire::Load &load) {
               onLoad(server, load);
             },
             [this](const ServerId &server) { onRestored(server); },
             [this](const ServerId &server, Incarnation endpointIncarnation) {
               onLost(server, endpointIncarnation);
             }}),
      Random(self.ProcessIncarnation.Value) {}

void CallRouter::setContract(const Contract &contract) {
  std::unordered_map<ServerId, EndpointView> old;
  for (auto &[id, views] : Pools)
    for (EndpointView &it : views)
      old[it.Target.Id] = std::move(it);
  Pools.clear();
  PoolOf.clear();
  DeclaredLeaving.clear();
  std::vector<Server> all;
  auto add = [&](const PoolId &id, const std::vector<Server> &servers,
                 int slots) {
    auto &views = Pools[id];
    for (const Server &it : servers) {
      EndpointView view = std::move(old[it.Id]);
      view.Target = it;
      view.OwnCentre = it.DataCentre == DataCentre;
      view.Slots = slots;
      views.push_back(std::move(view));
      PoolOf[it.Id] = id;
      if (it.Leaving)
        DeclaredLeaving.insert(it.Id);
      all.push_back(it);
    }
  };
  for (const auto &[id, group] : contract.Groups)
    add({PoolId::Kind::Group, group.Model}, group.Servers,
        group.SlotsPerServer);
  for (const auto &[id, service] : contract.Services)
    add({PoolId::Kind::Service, id.Value}, service.Servers,
        service.SlotsPerServer);
  Links.setServers(all);
}

EndpointView *CallRouter::findView(const ServerId &server) {
  auto pool = PoolOf.find(server);
  if (pool == PoolOf.end())
    return nullptr;
  for (EndpointView &it : Pools[pool->second])
    if (it.Target.Id == server)
      return &it;
  return nullptr;
}

void CallRouter::start(std::unique_ptr<ActiveCall> call) {
  ActiveCall &started = *call;
  ++Counters.Started;
  if (started.Draft && !started.Draft->CacheKey.empty())
    started.Parts =
        promptPartsOf({started.Pool.Name}, {started.Draft->CacheKey});
  Calls.emplace(started.Id, std::move(call));
  performDispatch(started, {});
}

// Returns whether \p call may be sent now; otherwise refuses it, as a part of
// its prompt crashes servers or may do so.
bool CallRouter::passesGuard(ActiveCall &call) {
  auto now = Clock::now();
  auto no = checkParts(Guard, call.Parts, publicId(call), now);
  if (!no)
    return true;
  Error reason = no->IsBlocked
                     ? Error{ErrorKind::PromptBlocked,
                             "servers end under drafts with this cache key"}
                     : Error{ErrorKind::Overloaded,
                             "drafts with this cache key are tried one at a "
                             "time, because a server ended under one"};
  apply(call, NotDispatched{reason});
  return false;
}

// Records that a server ended as it began to answer \p call, if \p refusal says
// so. A call whose parts may be the reason goes to no second server, any other
// one to no third.
void CallRouter::noteServerEnd(ActiveCall &call, const wire::Refusal &refusal,
                               Refused &event) {
  if (refusal.server_end() == 0)
    return;
  ++call.ServerEnds;
  BrokenAttempt attempt;
  std::string id = publicId(call);
  attempt.RequestId = id;
  attempt.Server.Id = call.State.Server;
  attempt.Server.StartedMs = refusal.server_end();
  attempt.IsDisconnected = true;
  attempt.HasBegun = true;
  reportCrash(Guard, call.Parts, attempt, Clock::now());
  event.MayCrashServers =
      call.ServerEnds > 1 || mayCrashServers(Guard, call.Parts);
}

// Records that a server has answered \p call beyond its beginning.
void CallRouter::noteTokens(ActiveCall &call) {
  bool isBeyond = call.State.ReceivedTokens >=
                      static_cast<std::uint32_t>(EventsBeyondBeginning) ||
                  call.State.Phase == CallPhase::Done;
  if (!isBeyond || call.Parts.Ids.empty())
    return;
  reportSurvival(Guard, call.Parts, Clock::now());
  leaveTrial(call);
}

void CallRouter::leaveTrial(ActiveCall &call) {
  if (std::exchange(call.IsTrial, false))
    endTrial(Guard.Evidence, call.Parts.Ids);
}

void CallRouter::apply(ActiveCall &call, const CallEvent &event) {
  for (const CallAction &it : decideCall(call.State, event))
    perform(call, it);
}

void CallRouter::perform(ActiveCall &call, const CallAction &action) {
  wire::Envelope envelope;
  if (const auto *dispatch = std::get_if<Dispatch>(&action)) {
    performDispatch(call, *dispatch);
  } else if (std::holds_alternative<SendAgain>(action)) {
    sendRun(call, call.State.Server, call.State.EndpointIncarnation);
  } else if (std::holds_alternative<RequestResume>(action)) {
    envelope.mutable_resume()->set_offset(call.State.ReceivedTokens);
    sendForCall(call, envelope);
  } else if (std::holds_alternative<SendRevoke>(action)) {
    envelope.mutable_revoke()->set_endpoint_incarnation(
        call.State.EndpointIncarnation.Value);
    sendForCall(call, envelope);
  } else if (std::holds_alternative<SendCancel>(action)) {
    envelope.mutable_cancel();
    sendForCall(call, envelope);
  } else if (const auto *tokens = std::get_if<DeliverTokens>(&action)) {
    deliver(call, tokens->Skip);
  } else if (std::holds_alternative<Complete>(action)) {
    complete(call);
  } else if (const auto *refusal = std::get_if<RefuseCaller>(&action)) {
    refuse(call, refusal->Reason, refusal->DidRun);
  }
}

void CallRouter::sendForCall(const ActiveCall &call, wire::Envelope &envelope) {
  wire::CallRef ref;
  ref.set_entry(call.Id.Entry.Value);
  ref.set_number(call.Id.Number);
  if (envelope.has_resume()) {
    *envelope.mutable_resume()->mutable_call() = ref;
    envelope.mutable_resume()->set_endpoint_incarnation(
        call.State.EndpointIncarnation.Value);
  } else if (envelope.has_revoke()) {
    *envelope.mutable_revoke()->mutable_call() = ref;
  } else {
    *envelope.mutable_cancel()->mutable_call() = ref;
  }
  // A failed send is not handled here: the liveness check later finds the link
  // unresponsive, and the call is then resumed, or its outcome is determined
  // without asking its server.
  Links.send(call.State.Server, envelope);
}

void CallRouter::performDispatch(ActiveCall &call, const Dispatch &action) {
  // A server that has newer settings than this entry has not failed, so it is
  // not avoided. tick() sends the call once these settings are in force here.
  call.AvoidedServer = call.NeededSettings ? ServerId{} : action.AvoidedServer;
  call.RequiredServer = action.RequiredServer;
  call.NeedsRetryToken = action.IsRetry;
  call.IsWaiting = call.NeededSettings || !trySend(call);
}

// Returns whether \p call needs no other try: it was sent, or refused.
bool CallRouter::trySend(ActiveCall &call) {
  if (!passesGuard(call))
    return true;
  std::optional<ServerId> server = chooseServer(call);
  if (!server)
    return false;
  std::optional<Incarnation> endpointIncarnation = Links.incarnationOf(*server);
  if (!endpointIncarnation)
    return false;
  // A retry that the budget does not allow yet waits, because it may still be
  // answered before its deadline.
  RetryBudget &budget = Budgets[call.Pool];
  if (call.NeedsRetryToken &&
      !spendRetryToken(budget, call.State.ReceivedTokens > 0))
    return false;
  call.NeedsRetryToken = false;
  if (call.State.Attempts == 0)
    recordFirstAttempt(budget);
  if (!sendRun(call, *server, *endpointIncarnation))
    return false;
  call.IsTrial = startTrial(Guard.Evidence, call.Parts.Ids, Clock::now());
  apply(call, Dispatched{*server, *endpointIncarnation});
  countSent(call);
  return true;
}

bool CallRouter::sendRun(const ActiveCall &call, const ServerId &server,
                         Incarnation endpointIncarnation) {
  wire::Envelope envelope;
  fillRun(call, Clock::now(), *envelope.mutable_run());
  envelope.mutable_run()->set_endpoint_incarnation(endpointIncarnation.Value);
  return Links.send(server, envelope);
}

std::optional<ServerId> CallRouter::chooseServer(const ActiveCall &call) {
  if (!call.RequiredServer.Value.empty())
    return call.RequiredServer;
  return call.State.Repeatable == Repeat::Keyed ? chooseKeyedServer(call)
                                                : chooseAnyServer(call);
}

std::optional<ServerId> CallRouter::chooseAnyServer(const ActiveCall &call) {
  auto pool = Pools.find(call.Pool);
  if (pool == Pools.end())
    return std::nullopt;
  ChoiceRequest request;
  if (call.Draft)
    request.PrefixKey = call.Draft->CacheKey;
  for (EndpointView &it : pool->second) {
    bool isDown = !Links.incarnationOf(it.Target.Id);
    setUnresponsive(it, isDown);
    if (isDown || it.Target.Id == call.AvoidedServer)
      request.Exclude.push_back(it.Target.Id);
  }
  auto now = Clock::now();
  updateHealthStates(pool->second, now);
  auto choice = chooseEndpoint(pool->second, request, {}, now, Random);
  if (!choice && !call.AvoidedServer.Value.empty() &&
      Links.incarnationOf(call.AvoidedServer))
    return call.AvoidedServer;
  if (!choice)
    return std::nullopt;
  return pool->second[choice->Index].Target.Id;
}

std::optional<ServerId> CallRouter::chooseKeyedServer(const ActiveCall &call) {
  auto pool = Pools.find(call.Pool);
  if (pool == Pools.end())
    return std::nullopt;
  std::vector<ServerId> ids;
  for (const EndpointView &it : pool->second)
    if (!it.Target.Leaving)
      ids.push_back(it.Target.Id);
  std::string key =
      call.Service->key_scope() + "/" + call.Service->idempotency_key();
  for (const ServerId &it : rendezvousOrder(key, ids))
    if (it != call.AvoidedServer && Links.incarnationOf(it))
      return it;
  return std::nullopt;
}

void CallRouter::countSent(ActiveCall &call) {
  ++Counters.Attempts;
  call.SentAt = Clock::now();
  call.IsCountedInFlight = true;
  if (EndpointLink *link = Links.find(call.State.Server))
    ++link->CallsOpen;
  if (EndpointView *view = findView(call.State.Server))
    recordSentCall(*view);
}

void CallRouter::countEnd(ActiveCall &call, std::optional<ErrorKind> failure) {
  if (!call.IsCountedInFlight)
    return;
  call.IsCountedInFlight = false;
  if (EndpointLink *link = Links.find(call.State.Server))
    --link->CallsOpen;
  EndpointView *view = findView(call.State.Server);
  if (!view)
    return;
  auto now = Clock::now();
  if (failure)
    recordFailedCall(*view, *failure, now);
  else if (call.State.Phase != CallPhase::Done)
    recordAbandonedCall(*view);
  else
    recordAnsweredCall(*view,
                       std::chrono::duration_cast<std::chrono::microseconds>(
                           now - call.SentAt),
                       now);
}

void CallRouter::deliver(ActiveCall &call, std::uint32_t skip) {
  noteTokens(call);
  std::string text;
  for (int i = static_cast<int>(skip); i < call.CurrentChunk->tokens_size();
       ++i)
    text += call.CurrentChunk->tokens(i);
  if (!call.Draft->Stream) {
    call.AnswerText += text;
    return;
  }
  call.Reply->beginStream("text/event-stream");
  DraftAnswer part;
  part.Id = publicId(call);
  part.Model = call.Draft->Model;
  part.Text = std::move(text);
  call.Reply->sendPart(renderPart(call.Draft->Shape, part));
}

void CallRouter::complete(ActiveCall &call) {
  ++Counters.Completed;
  countEnd(call, std::nullopt);
  noteTokens(call);
  const wire::End &end = *call.CurrentEnd;
  if (call.Service)
    return call.Reply->sendWhole(static_cast<int>(end.status()),
                                 end.content_type(), end.body());
  DraftAnswer answer;
  answer.Id = publicId(call);
  answer.Model = call.Draft->Model;
  answer.FinishReason = end.finish();
  answer.PromptTokens = end.prompt_tokens();
  answer.Tokens = call.State.ReceivedTokens;
  if (call.Draft->Stream) {
    call.Reply->beginStream("text/event-stream");
    call.Reply->sendPart(
        renderPart(call.Draft->Shape, answer).append(StreamEnd));
    return call.Reply->endStream();
  }
  answer.Text = std::move(call.AnswerText);
  call.Reply->sendWhole(200, "application/json",
                        renderWhole(call.Draft->Shape, answer));
}

void CallRouter::refuse(ActiveCall &call, const Error &error, Ran ran) {
  ++Counters.Refused[static_cast<std::size_t>(error.Kind)];
  countEnd(call, error.Kind);
  if (call.Reply->isStreaming())
    call.Reply->cut();
  else
    sendError(*call.Reply, error, ran);
}

ActiveCall *CallRouter::find(const wire::CallRef &ref, const ServerId &server) {
  auto it = Calls.find(callOf(ref));
  if (it == Calls.end() || it->second->State.Server != server)
    return nullptr;
  return it->second.get();
}

void CallRouter::onMessage(const ServerId &server,
                           const wire::Envelope &envelope) {
  const wire::CallRef *ref = referencedCall(envelope);
  std::optional<CallEvent> event = toEvent(envelope);
  if (!ref || !event)
    return;
  ActiveCall *call = find(*ref, server);
  if (!call ||
      call->State.EndpointIncarnation.Value != envelope.incarnation()) {
    ++Counters.StrayMessages;
    return;
  }
  if (auto *refused = std::get_if<Refused>(&*event)) {
    countEnd(*call, refused->Reason.Kind);
    leaveTrial(*call);
    noteServerEnd(*call, envelope.refusal(), *refused);
    if (refused->Reason.Kind == ErrorKind::StaleSettings) {
      call->NeededSettings = Generation{envelope.generation()};
      call->SettingsDeadline = Clock::now() + MaxSettingsWait;
    }
  }
  call->CurrentChunk = envelope.has_chunk() ? &envelope.chunk() : nullptr;
  call->CurrentEnd = envelope.has_end() ? &envelope.end() : nullptr;
  apply(*call, *event);
  call->CurrentChunk = nullptr;
  call->CurrentEnd = nullptr;
  if (call->State.Phase == CallPhase::Done) {
    keepUnsentAnswer(*call);
    Calls.erase(call->Id);
  }
}

void CallRouter::onLoad(const ServerId &server, const wire::Load &load) {
  EndpointView *view = findView(server);
  if (!view)
    return;
  LoadReport report;
  report.Running = static_cast<int>(load.running());
  report.Waiting = static_cast<int>(load.waiting());
  // An endpoint process that reports no slots has the number in the settings.
  report.Slots =
      load.slots() > 0 ? static_cast<int>(load.slots()) : view->Slots;
  report.AsOf = Clock::now() - std::chrono::milliseconds(load.age_ms());
  recordLoadReport(*view, report, Clock::now());
  view->Target.Leaving = load.leaving() || DeclaredLeaving.contains(server);
}

void CallRouter::onRestored(const ServerId &server) {
  for (auto &[id, call] : Calls)
    if (call->State.Server == server)
      apply(*call, LinkReopened{});
}

void CallRouter::onLost(const ServerId &server,
                        Incarnation endpointIncarnation) {
  for (auto &[id, call] : Calls) {
    if (call->State.Server != server ||
        call->State.EndpointIncarnation != endpointIncarnation)
      continue;
    countEnd(*call, ErrorKind::LinkDown);
    leaveTrial(*call);
    apply(*call, EndpointLost{});
  }
}

void CallRouter::tick() {
  auto now = Clock::now();
  Links.tick();
  for (auto &[id, call] : Calls)
    if (call->IsWaiting && call->State.Phase == CallPhase::Waiting &&
        !waitsForSettings(*call, Self.Settings, now)) {
      call->NeededSettings.reset();
      call->IsWaiting = !trySend(*call);
    }
  checkDeadlines(now);
  checkCallers(now);
  removeFinishedCalls();
}

void CallRouter::checkDeadlines(Clock::time_point now) {
  for (auto &[id, call] : Calls) {
    auto left = timeLeft(call->State.Expires, now);
    if (left.count() == 0)
      apply(*call, DeadlineReached{});
    else if (left < DeadlineNearMargin &&
             call->State.Phase != CallPhase::Revoking)
      apply(*call, DeadlineNear{});
  }
}

void CallRouter::checkCallers(Clock::time_point now) {
  if (now - CallersCheckedAt < CallerCheckInterval)
    return;
  CallersCheckedAt = now;
  for (auto &[id, call] : Calls) {
    if (call->State.Phase == CallPhase::Done ||
        !hasAbandoned(*call->Reply, now))
      continue;
    ++Counters.CallersDisconnected;
    countEnd(*call, std::nullopt);
    apply(*call, CallerDisconnected{});
  }
  std::erase_if(UnsentAnswers, [&](const auto &reply) {
    bool isOver = reply->isOver();
    bool isGone = !isOver && hasAbandoned(*reply, now);
    Counters.CallersDisconnected += isGone ? 1 : 0;
    return isOver || isGone;
  });
}

// Keeps the answer of a call that has ended until its caller has received it.
void CallRouter::keepUnsentAnswer(ActiveCall &call) {
  leaveTrial(call);
  if (!call.Reply->isOver())
    UnsentAnswers.push_back(std::move(call.Reply));
}

void CallRouter::removeFinishedCalls() {
  std::erase_if(Calls, [this](const auto &it) {
    bool isDone = it.second->State.Phase == CallPhase::Done;
    if (isDone)
      keepUnsentAnswer(*it.second);
    return isDone;
  });
}

} // namespace greengagespar
