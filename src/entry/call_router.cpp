#include "call_router.h"

#include "greengagespar/base/hash.h"
#include "greengagespar/base/log.h"
#include <utility>

namespace greengagespar {

namespace {

// How long before its deadline a call that may not be repeated is settled.
constexpr std::chrono::milliseconds SettleBefore{150};

// How often the callers' connections are looked at.
constexpr std::chrono::milliseconds CallerCheckInterval{100};

// How long a call waits for newer settings before it is sent without them.
constexpr std::chrono::milliseconds SettingsPatience{500};

// Bytes that a caller may leave untaken before its call is given up.
constexpr std::size_t MaxWaitingBytes = 1 << 20;

// A caller that takes no byte of its stream for so long is given up: what a
// mobile connection needs to come back after a hole in its coverage.
constexpr std::chrono::milliseconds MaxStall{10000};

// Whether the caller has closed its connection or stopped taking its answer.
bool hasLeft(CallerReply &reply, Clock::time_point now) {
  return reply.hasGone() || reply.waitingBytes() > MaxWaitingBytes ||
         reply.stalledFor(now) > MaxStall;
}

CallId callOf(const wire::CallRef &ref) {
  return {{ref.entry()}, ref.number()};
}

// The call that an envelope is about; null when it is about none.
const wire::CallRef *subject(const wire::Envelope &envelope) {
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
                       const LinkIdentity &self, DataCentreId dataCentre)
    : Self(self), DataCentre(std::move(dataCentre)),
      Links(base, context, self,
            {[this](const ServerId &server, const wire::Envelope &envelope) {
               onMessage(server, envelope);
             },
             [this](const ServerId &server, const wire::Load &load) {
               onLoad(server, load);
             },
             [this](const ServerId &server) { onRestored(server); },
             [this](const ServerId &server, Incarnation life) {
               onLost(server, life);
             }}),
      Random(self.Life.Value) {}

void CallRouter::setContract(const Contract &contract) {
  std::unordered_map<ServerId, EndpointView> old;
  for (auto &[id, views] : Pools)
    for (EndpointView &it : views)
      old[it.Target.Id] = std::move(it);
  Pools.clear();
  PoolOf.clear();
  Drained.clear();
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
        Drained.insert(it.Id);
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
  Calls.emplace(started.Id, std::move(call));
  performDispatch(started, {});
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
    sendRun(call, call.State.Server, call.State.Endpoint);
  } else if (std::holds_alternative<AskResume>(action)) {
    envelope.mutable_resume()->set_offset(call.State.Received);
    sendAbout(call, envelope);
  } else if (std::holds_alternative<SendRevoke>(action)) {
    envelope.mutable_revoke()->set_endpoint_incarnation(
        call.State.Endpoint.Value);
    sendAbout(call, envelope);
  } else if (std::holds_alternative<SendCancel>(action)) {
    envelope.mutable_cancel();
    sendAbout(call, envelope);
  } else if (const auto *tokens = std::get_if<DeliverTokens>(&action)) {
    deliver(call, tokens->Skip);
  } else if (std::holds_alternative<Complete>(action)) {
    complete(call);
  } else if (const auto *refusal = std::get_if<RefuseCaller>(&action)) {
    refuse(call, refusal->Reason, refusal->DidRun);
  }
}

void CallRouter::sendAbout(const ActiveCall &call, wire::Envelope &envelope) {
  wire::CallRef ref;
  ref.set_entry(call.Id.Entry.Value);
  ref.set_number(call.Id.Number);
  if (envelope.has_resume()) {
    *envelope.mutable_resume()->mutable_call() = ref;
    envelope.mutable_resume()->set_endpoint_incarnation(
        call.State.Endpoint.Value);
  } else if (envelope.has_revoke()) {
    *envelope.mutable_revoke()->mutable_call() = ref;
  } else {
    *envelope.mutable_cancel()->mutable_call() = ref;
  }
  // When this is not sent, the link is found silent and the call is resumed
  // or settled then.
  Links.send(call.State.Server, envelope);
}

void CallRouter::performDispatch(ActiveCall &call, const Dispatch &action) {
  // Newer settings than this entry's are no fault of the server. The next tick
  // tries again, once they are in force here.
  call.Avoid = call.Needs ? ServerId{} : action.Avoid;
  call.Only = action.Only;
  call.OwesRetry = action.IsRetry;
  call.IsWaiting = call.Needs || !trySend(call);
}

bool CallRouter::trySend(ActiveCall &call) {
  std::optional<ServerId> server = chooseServer(call);
  if (!server)
    return false;
  std::optional<Incarnation> life = Links.lifeOf(*server);
  if (!life)
    return false;
  // A retry that is not paid for waits, so that it may still be answered.
  RetryBudget &budget = Budgets[call.Pool];
  if (call.OwesRetry && !payForRetry(budget, call.State.Received > 0))
    return false;
  call.OwesRetry = false;
  if (call.State.Attempts == 0)
    noteFirstAttempt(budget);
  if (!sendRun(call, *server, *life))
    return false;
  apply(call, Dispatched{*server, *life});
  countSent(call);
  return true;
}

bool CallRouter::sendRun(const ActiveCall &call, const ServerId &server,
                         Incarnation life) {
  wire::Envelope envelope;
  fillRun(call, Clock::now(), *envelope.mutable_run());
  envelope.mutable_run()->set_endpoint_incarnation(life.Value);
  return Links.send(server, envelope);
}

std::optional<ServerId> CallRouter::chooseServer(const ActiveCall &call) {
  if (!call.Only.Value.empty())
    return call.Only;
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
    bool isDown = !Links.lifeOf(it.Target.Id);
    noteSilent(it, isDown);
    if (isDown || it.Target.Id == call.Avoid)
      request.Exclude.push_back(it.Target.Id);
  }
  auto now = Clock::now();
  reviewStanding(pool->second, now);
  auto choice = chooseEndpoint(pool->second, request, {}, now, Random);
  if (!choice && !call.Avoid.Value.empty() && Links.lifeOf(call.Avoid))
    return call.Avoid;
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
    if (it != call.Avoid && Links.lifeOf(it))
      return it;
  return std::nullopt;
}

void CallRouter::countSent(ActiveCall &call) {
  ++Counters.Attempts;
  call.SentAt = Clock::now();
  call.IsCounted = true;
  if (EndpointLink *link = Links.find(call.State.Server))
    ++link->CallsOpen;
  if (EndpointView *view = findView(call.State.Server))
    noteSent(*view);
}

void CallRouter::countEnd(ActiveCall &call, std::optional<ErrorKind> failure) {
  if (!call.IsCounted)
    return;
  call.IsCounted = false;
  if (EndpointLink *link = Links.find(call.State.Server))
    --link->CallsOpen;
  EndpointView *view = findView(call.State.Server);
  if (!view)
    return;
  auto now = Clock::now();
  if (failure)
    noteFailure(*view, *failure, now);
  else if (call.State.Phase != CallPhase::Done)
    noteAbandoned(*view);
  else
    noteAnswer(*view,
               std::chrono::duration_cast<std::chrono::microseconds>(
                   now - call.SentAt),
               now);
}

void CallRouter::deliver(ActiveCall &call, std::uint32_t skip) {
  std::string text;
  for (int i = static_cast<int>(skip); i < call.Arriving->tokens_size(); ++i)
    text += call.Arriving->tokens(i);
  if (!call.Draft->Stream) {
    call.Text += text;
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
  const wire::End &end = *call.Ending;
  if (call.Service)
    return call.Reply->sendWhole(static_cast<int>(end.status()),
                                 end.content_type(), end.body());
  DraftAnswer answer;
  answer.Id = publicId(call);
  answer.Model = call.Draft->Model;
  answer.Finish = end.finish();
  answer.PromptTokens = end.prompt_tokens();
  answer.Tokens = call.State.Received;
  if (call.Draft->Stream) {
    call.Reply->beginStream("text/event-stream");
    call.Reply->sendPart(renderPart(call.Draft->Shape, answer) +
                         std::string(StreamEnd));
    return call.Reply->endStream();
  }
  answer.Text = std::move(call.Text);
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
  const wire::CallRef *ref = subject(envelope);
  std::optional<CallEvent> event = toEvent(envelope);
  if (!ref || !event)
    return;
  ActiveCall *call = find(*ref, server);
  if (!call || call->State.Endpoint.Value != envelope.incarnation()) {
    ++Counters.Strays;
    return;
  }
  if (const auto *refused = std::get_if<Refused>(&*event)) {
    countEnd(*call, refused->Reason.Kind);
    if (refused->Reason.Kind == ErrorKind::StaleSettings) {
      call->Needs = Generation{envelope.generation()};
      call->NeedsUntil = Clock::now() + SettingsPatience;
    }
  }
  call->Arriving = envelope.has_chunk() ? &envelope.chunk() : nullptr;
  call->Ending = envelope.has_end() ? &envelope.end() : nullptr;
  apply(*call, *event);
  call->Arriving = nullptr;
  call->Ending = nullptr;
  if (call->State.Phase == CallPhase::Done) {
    keepUntaken(*call);
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
  // An endpoint process that names no slots has those of the settings.
  report.Slots =
      load.slots() > 0 ? static_cast<int>(load.slots()) : view->Slots;
  report.AsOf = Clock::now() - std::chrono::milliseconds(load.age_ms());
  noteReport(*view, report, Clock::now());
  view->Target.Leaving = load.leaving() || Drained.contains(server);
}

void CallRouter::onRestored(const ServerId &server) {
  for (auto &[id, call] : Calls)
    if (call->State.Server == server)
      apply(*call, LinkReopened{});
}

void CallRouter::onLost(const ServerId &server, Incarnation life) {
  for (auto &[id, call] : Calls) {
    if (call->State.Server != server || call->State.Endpoint != life)
      continue;
    countEnd(*call, ErrorKind::LinkDown);
    apply(*call, EndpointLost{});
  }
}

void CallRouter::tick() {
  auto now = Clock::now();
  Links.tick();
  for (auto &[id, call] : Calls)
    if (call->IsWaiting && call->State.Phase == CallPhase::Waiting &&
        !waitsForSettings(*call, Self.Settings, now)) {
      call->Needs.reset();
      call->IsWaiting = !trySend(*call);
    }
  checkDeadlines(now);
  checkCallers(now);
  removeDone();
}

void CallRouter::checkDeadlines(Clock::time_point now) {
  for (auto &[id, call] : Calls) {
    auto left = timeLeft(call->State.Expires, now);
    if (left.count() == 0)
      apply(*call, DeadlineReached{});
    else if (left < SettleBefore && call->State.Phase != CallPhase::Revoking)
      apply(*call, DeadlineNear{});
  }
}

void CallRouter::checkCallers(Clock::time_point now) {
  if (now - CallersChecked < CallerCheckInterval)
    return;
  CallersChecked = now;
  for (auto &[id, call] : Calls) {
    if (call->State.Phase == CallPhase::Done || !hasLeft(*call->Reply, now))
      continue;
    ++Counters.CallersGone;
    countEnd(*call, std::nullopt);
    apply(*call, CallerGone{});
  }
  std::erase_if(Untaken, [&](const auto &reply) {
    bool isOver = reply->isOver();
    bool isGone = !isOver && hasLeft(*reply, now);
    Counters.CallersGone += isGone ? 1 : 0;
    return isOver || isGone;
  });
}

// Keeps the answer of a call that has ended until its caller has taken it.
void CallRouter::keepUntaken(ActiveCall &call) {
  if (!call.Reply->isOver())
    Untaken.push_back(std::move(call.Reply));
}

void CallRouter::removeDone() {
  std::erase_if(Calls, [this](const auto &it) {
    bool isDone = it.second->State.Phase == CallPhase::Done;
    if (isDone)
      keepUntaken(*it.second);
    return isDone;
  });
}

} // namespace greengagespar
