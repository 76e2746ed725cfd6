#include "endpoint.h"

#include "greengagespar/base/log.h"
#include "greengagespar/contract/repeat_rule.h"
#include <boost/json.hpp>
#include <event2/event.h>
#include <utility>

namespace greengagespar {

namespace json = boost::json;

namespace {

// Interval at which deadlines and old records are checked.
constexpr timeval TickInterval{0, 50000};

// A draft that breaks off before this token was still at its beginning.
constexpr std::size_t TokensBeyondBeginning = 2;
// Drafts that break off within this time of the first one do so by the same end
// of the server.
constexpr std::chrono::milliseconds SameEndTime{500};

// How long the outcome of a call is kept for an entry that requests it again.
constexpr std::chrono::seconds OutcomeRetention{15};

// How long a revoked call is remembered. This is longer than a message can be
// delayed, so that a delayed order to run the call is refused.
constexpr std::chrono::minutes RevokedRetention{10};

// Time without data after which an engine's stream counts as ended early.
constexpr std::chrono::seconds StreamIdleTimeout{120};

std::string streamId(const wire::Run &run) {
  return std::to_string(run.call().entry()) + "-" +
         std::to_string(run.call().number()) + "-" +
         std::to_string(run.draft().offset());
}

std::string streamBody(const wire::Run &run) {
  const wire::Draft &draft = run.draft();
  json::object body;
  body["id"] = streamId(run);
  body["prompt"] = draft.prompt();
  body["max_tokens"] = draft.max_tokens();
  body["priority"] = draft.priority();
  body["offset"] = draft.offset();
  body["cache_key"] = draft.cache_key();
  return json::serialize(body);
}

bool isWellFormed(const wire::Run &run) {
  return run.has_draft() ||
         (run.has_service() && isRequestTarget(run.service().path()));
}

} // namespace

Endpoint::Endpoint(event_base *base, zmq::context_t &context,
                   const EndpointSettings &settings)
    : Base(base),
      Settings(settings), Self{settings.Name, newIncarnation(), Generation{}},
      Server(base, context, Self,
             [this](const PeerId &peer, const wire::Envelope &envelope) {
               onMessage(peer, envelope);
             }),
      CallFence(base, settings, Self.ProcessIncarnation.Value, fenceHooks()),
      Claims(base, context, Self, settings.Server, claimHooks()),
      FirstCheck(base, settings, Self.ProcessIncarnation,
                 [this] { Claims.setFirstIncarnation(); }),
      Target(base, settings.Upstream, settings.MaxAnswerBytes),
      Ticker(event_new(base, -1, EV_PERSIST, onTick, this)) {}

Endpoint::~Endpoint() { event_free(Ticker); }

Result<void> Endpoint::start() {
  BOOST_LEAF_CHECK(Server.bind(Settings.Link));
  event_add(Ticker, &TickInterval);
  CallFence.start();
  FirstCheck.start();
  logInfo(Part::Endpoint, "listening on " + Settings.Link.Value);
  return {};
}

void Endpoint::leave() {
  if (LeavingSince)
    return;
  LeavingSince = Clock::now();
  logInfo(Part::Endpoint, "leaving: no new work after the grace period");
}

void Endpoint::onTick(int, short, void *self) {
  static_cast<Endpoint *>(self)->tick();
}

void Endpoint::tick() {
  auto now = Clock::now();
  std::vector<ExecutionPtr> expired;
  for (const auto &[id, execution] : Table.ByCall)
    if (!isFinished(*execution) && hasPassed(execution->Expires, now))
      expired.push_back(execution);
  for (const ExecutionPtr &it : expired) {
    if (it->State == ExecutionState::Claiming)
      giveUpClaim(*it);
    else if (!it->Key)
      abandon(it);
  }
  Claims.tick(now);
  removeExpired(Table, now, OutcomeRetention);
  KeptBytes = keptBytes(Table);
  CallFence.tick(now);
  std::erase_if(Revoked, [&](const auto &it) {
    return it.second + RevokedRetention < now;
  });
  stopWhenIdle();
}

void Endpoint::stopWhenIdle() {
  if (!LeavingSince || !refusesNewWork())
    return;
  if (countUnfinished(Table) == 0) {
    logInfo(Part::Endpoint, "left: no calls in progress");
    event_base_loopbreak(Base);
  }
}

bool Endpoint::refusesNewWork() const {
  return LeavingSince && *LeavingSince + Settings.DrainGrace < Clock::now();
}

SettingsFenceHooks Endpoint::fenceHooks() {
  SettingsFenceHooks hooks;
  hooks.Send = [this](const PeerId &peer, wire::Envelope &envelope) {
    return Server.send(peer, envelope);
  };
  hooks.OnContract = [this](std::shared_ptr<const Contract> contract) {
    InForce = std::move(contract);
    Self.Settings = InForce->At;
    Claims.setContract(*InForce);
    Slots = slotsOf(*InForce, Settings.Server);
  };
  hooks.OnReleased = [this](const HeldRun &held) {
    onRun(held.Peer, held.Message);
  };
  hooks.OnExpired = [this](const HeldRun &held) {
    refuse(held.Peer, held.Message.run().call(), ErrorKind::StaleSettings,
           "the settings of this call did not come in time", true);
  };
  return hooks;
}

void Endpoint::onMessage(const PeerId &peer, const wire::Envelope &envelope) {
  if (CallFence.handleMessage(peer, envelope) ||
      Claims.handleMessage(peer, envelope))
    return;
  switch (envelope.body_case()) {
  case wire::Envelope::kProbe:
    return onProbe(peer, envelope.probe());
  case wire::Envelope::kRun:
    return onRun(peer, envelope);
  case wire::Envelope::kRevoke:
    return onRevoke(peer, envelope.revoke());
  case wire::Envelope::kResume:
    return onResume(peer, envelope.resume());
  case wire::Envelope::kCancel:
    return onCancel(envelope.cancel());
  case wire::Envelope::kSetPriority:
    return onSetPriority(envelope.set_priority());
  default:
    logDebug(Part::Link,
             "ignored a message of a kind that endpoints do not handle");
  }
}

void Endpoint::onProbe(const PeerId &peer, const wire::Probe &probe) {
  wire::Envelope envelope;
  auto *answer = envelope.mutable_probe_answer();
  answer->set_number(probe.number());
  answer->set_server(Settings.Server.Value);
  fillLoad(*answer->mutable_load());
  Server.send(peer, envelope);
}

void Endpoint::fillLoad(wire::Load &load) const {
  load.set_running(static_cast<std::uint32_t>(countUnfinished(Table)));
  load.set_slots(static_cast<std::uint32_t>(Slots));
  load.set_leaving(LeavingSince.has_value());
}

void Endpoint::refuse(const PeerId &peer, const wire::CallRef &call,
                      ErrorKind kind, std::string message, bool didNotRun) {
  wire::Envelope envelope;
  auto *refusal = envelope.mutable_refusal();
  *refusal->mutable_call() = call;
  refusal->set_kind(static_cast<std::uint32_t>(kind));
  refusal->set_message(std::move(message));
  refusal->set_did_not_run(didNotRun);
  Server.send(peer, envelope);
}

bool Endpoint::passesFence(const PeerId &peer, const wire::Envelope &envelope) {
  Fence fence = CallFence.decide(envelope);
  if (fence == Fence::Run)
    return true;
  if (fence == Fence::Refuse)
    refuse(peer, envelope.run().call(), ErrorKind::StaleSettings,
           "the call was sent under earlier settings", true);
  else if (!CallFence.hold(peer, envelope))
    refuse(peer, envelope.run().call(), ErrorKind::StaleSettings,
           "too many calls wait for settings", true);
  return false;
}

void Endpoint::onRun(const PeerId &peer, const wire::Envelope &envelope) {
  const wire::Run &run = envelope.run();
  CallId id = callOf(run.call());
  if (run.endpoint_incarnation() != Self.ProcessIncarnation.Value)
    return refuse(peer, run.call(), ErrorKind::LinkDown,
                  "the call was sent to an earlier incarnation of this process",
                  true);
  if (Revoked.contains(id))
    return refuse(peer, run.call(), ErrorKind::DeadlineExceeded, "revoked",
                  true);
  if (auto it = Table.ByCall.find(id); it != Table.ByCall.end()) {
    setListener(*it->second, {id, peer, run.draft().offset()});
    return flush(*it->second);
  }
  if (run.service().idempotency_key().empty() ||
      !Table.ByKey.contains(keyOf(run))) {
    if (refusesNewWork())
      return refuse(peer, run.call(), ErrorKind::Leaving,
                    "this endpoint is leaving", true);
  }
  if (!passesFence(peer, envelope))
    return;
  if (!isWellFormed(run))
    return refuse(peer, run.call(), ErrorKind::BadRequest,
                  "neither a draft nor a service's request", true);
  wire::Envelope acknowledgement;
  *acknowledgement.mutable_acknowledge()->mutable_call() = run.call();
  Server.send(peer, acknowledgement);
  if (!run.service().idempotency_key().empty())
    return runKeyed(peer, run);
  ExecutionPtr execution = makeExecution(peer, run);
  Table.ByCall[id] = execution;
  begin(execution);
}

ExecutionPtr Endpoint::makeExecution(const PeerId &peer, const wire::Run &run) {
  auto execution = std::make_shared<Execution>();
  execution->Request = run;
  execution->FirstOffset = run.draft().offset();
  execution->Expires = deadlineAfter(
      std::chrono::milliseconds(run.time_left_ms()), Clock::now());
  setListener(*execution, {callOf(run.call()), peer, run.draft().offset()});
  return execution;
}

void Endpoint::begin(const ExecutionPtr &execution) {
  execution->State = ExecutionState::Running;
  if (execution->Request.has_draft())
    beginDraft(execution);
  else
    beginService(execution);
}

void Endpoint::beginDraft(const ExecutionPtr &execution) {
  UpstreamRequest request;
  request.Method = "POST";
  request.Path = "/v1/streams";
  request.ContentType = "application/json";
  request.Body = streamBody(execution->Request);
  request.Timeout = StreamIdleTimeout;
  UpstreamEvents events;
  events.OnData = [this, execution](std::string_view data) {
    onStreamData(execution, data);
  };
  events.OnDone = [this, execution](const UpstreamResult &result) {
    onStreamDone(execution, result);
  };
  execution->RequestId = Target.start(request, std::move(events));
}

void Endpoint::beginService(const ExecutionPtr &execution) {
  const wire::ServiceCall &call = execution->Request.service();
  UpstreamRequest request;
  request.Method = call.method();
  request.Path = call.path();
  request.ContentType = call.content_type();
  request.IdempotencyKey = call.idempotency_key();
  request.Body = call.body();
  request.Timeout =
      std::chrono::milliseconds(execution->Request.time_left_ms());
  UpstreamEvents events;
  events.OnDone = [this, execution](const UpstreamResult &result) {
    onServiceDone(execution, result);
  };
  execution->RequestId = Target.start(request, std::move(events));
}

void Endpoint::onStreamData(const ExecutionPtr &execution,
                            std::string_view data) {
  std::string &partial = execution->PartialLine;
  partial += data;
  std::size_t from = 0;
  for (auto at = partial.find('\n'); at != std::string::npos;
       at = partial.find('\n', from)) {
    onStreamLine(*execution, std::string_view(partial).substr(from, at - from));
    from = at + 1;
  }
  partial.erase(0, from);
  if (!isFinished(*execution))
    flush(*execution);
}

void Endpoint::onStreamLine(Execution &execution, std::string_view line) {
  if (execution.StreamEnd)
    return;
  boost::system::error_code ec;
  json::value value = json::parse(line, ec);
  const json::object *object = ec ? nullptr : value.if_object();
  if (!object)
    return failWith(execution, ErrorKind::EndpointFailed,
                    "the engine sent a line that is not JSON", false);
  if (object->contains("end")) {
    wire::End end;
    if (const auto *finish = object->if_contains("finish"))
      end.set_finish(json::value_to<std::string>(*finish));
    if (const auto *n = object->if_contains("prompt_tokens"))
      end.set_prompt_tokens(n->to_number<std::uint32_t>());
    end.set_tokens(execution.FirstOffset +
                   static_cast<std::uint32_t>(execution.Tokens.size()));
    execution.StreamEnd = std::move(end);
    return;
  }
  const auto *token = object->if_contains("t");
  if (token && token->is_string())
    execution.Tokens.emplace_back(token->get_string());
}

void Endpoint::onStreamDone(const ExecutionPtr &execution,
                            const UpstreamResult &result) {
  if (isFinished(*execution))
    return;
  if (result.Outcome == UpstreamOutcome::NotSent)
    return failWith(*execution, ErrorKind::EndpointFailed,
                    "the engine does not accept connections", true);
  if (result.Outcome == UpstreamOutcome::Complete && result.Status == 503)
    return failWith(*execution, ErrorKind::Overloaded,
                    "the engine's queue is full", true);
  if (result.Outcome == UpstreamOutcome::Complete && execution->StreamEnd)
    return finishWith(*execution, *std::move(execution->StreamEnd));
  if (result.IsServerEnd && !execution->StreamEnd &&
      execution->Tokens.size() < TokensBeyondBeginning)
    execution->ServerEnd = numberServerEnd(Clock::now());
  failWith(*execution, ErrorKind::EndpointFailed,
           "the engine's stream ended early", false);
}

// Returns the number of an end of the engine at \p now. All drafts that break
// off together get the same number, which no other incarnation of this process
// uses.
std::uint64_t Endpoint::numberServerEnd(Clock::time_point now) {
  if (ServerEnds == 0 || now - ServerEndedAt > SameEndTime) {
    ++ServerEnds;
    ServerEndedAt = now;
  }
  return Self.ProcessIncarnation.Value + ServerEnds;
}

void Endpoint::onServiceDone(const ExecutionPtr &execution,
                             const UpstreamResult &result) {
  if (isFinished(*execution))
    return;
  if (result.Outcome == UpstreamOutcome::NotSent) {
    if (execution->Key)
      removeKey(*execution);
    return failWith(*execution, ErrorKind::EndpointFailed,
                    "the service does not accept connections", true);
  }
  if (result.Outcome == UpstreamOutcome::Incomplete)
    return failWith(*execution, ErrorKind::EndpointFailed,
                    "the service closed the connection before its answer",
                    false);
  wire::End end;
  end.set_status(static_cast<std::uint32_t>(result.Status));
  end.set_content_type(result.ContentType);
  end.set_body(result.Body);
  finishWith(*execution, std::move(end));
}

void Endpoint::finishWith(Execution &execution, wire::End end) {
  execution.State = ExecutionState::Finished;
  execution.FinishedAt = Clock::now();
  execution.Answer = std::move(end);
  flush(execution);
}

void Endpoint::failWith(Execution &execution, ErrorKind kind,
                        std::string message, bool didNotRun,
                        const ServerId &holder) {
  execution.State = ExecutionState::Finished;
  execution.FinishedAt = Clock::now();
  wire::Refusal refusal;
  refusal.set_kind(static_cast<std::uint32_t>(kind));
  refusal.set_message(std::move(message));
  refusal.set_did_not_run(didNotRun);
  refusal.set_holder(holder.Value);
  refusal.set_server_end(execution.ServerEnd);
  execution.Failure = std::move(refusal);
  flush(execution);
}

void Endpoint::flush(Execution &execution) {
  for (Listener &it : execution.Listeners)
    flushTo(execution, it);
}

void Endpoint::flushTo(const Execution &execution, Listener &listener) {
  std::uint32_t have = execution.FirstOffset +
                       static_cast<std::uint32_t>(execution.Tokens.size());
  if (listener.NextOffset < have &&
      listener.NextOffset >= execution.FirstOffset) {
    wire::Envelope envelope;
    auto *chunk = envelope.mutable_chunk();
    setCall(chunk->mutable_call(), listener.Call);
    chunk->set_offset(listener.NextOffset);
    for (auto i = listener.NextOffset; i < have; ++i)
      chunk->add_tokens(execution.Tokens[i - execution.FirstOffset]);
    Server.send(listener.Peer, envelope);
    listener.NextOffset = have;
  }
  wire::Envelope last;
  if (execution.Answer) {
    *last.mutable_end() = *execution.Answer;
    setCall(last.mutable_end()->mutable_call(), listener.Call);
  } else if (execution.Failure) {
    *last.mutable_refusal() = *execution.Failure;
    setCall(last.mutable_refusal()->mutable_call(), listener.Call);
  } else {
    return;
  }
  Server.send(listener.Peer, last);
}

void Endpoint::onRevoke(const PeerId &peer, const wire::Revoke &revoke) {
  CallId id = callOf(revoke.call());
  wire::Envelope envelope;
  auto *answer = envelope.mutable_revoke_answer();
  *answer->mutable_call() = revoke.call();
  auto it = Table.ByCall.find(id);
  if (it != Table.ByCall.end() && it->second->State == ExecutionState::Claiming)
    giveUpClaim(*it->second);
  bool known = it != Table.ByCall.end();
  if (!known)
    Revoked[id] = Clock::now();
  answer->set_revoked(!known && revoke.endpoint_incarnation() ==
                                    Self.ProcessIncarnation.Value);
  Server.send(peer, envelope);
  if (!known)
    return;
  setListener(*it->second, {id, peer, 0});
  flush(*it->second);
}

void Endpoint::onResume(const PeerId &peer, const wire::Resume &resume) {
  CallId id = callOf(resume.call());
  auto it = Table.ByCall.find(id);
  if (it == Table.ByCall.end() && CallFence.redirect(id, peer))
    return;
  if (it == Table.ByCall.end())
    return refuse(peer, resume.call(), ErrorKind::NotFound,
                  "this process does not know the call", false);
  setListener(*it->second, {id, peer, resume.offset()});
  wire::Envelope envelope;
  *envelope.mutable_acknowledge()->mutable_call() = resume.call();
  Server.send(peer, envelope);
  flush(*it->second);
}

void Endpoint::onCancel(const wire::Cancel &cancel) {
  CallId id = callOf(cancel.call());
  auto it = Table.ByCall.find(id);
  if (it == Table.ByCall.end()) {
    Revoked[id] = Clock::now();
    return;
  }
  ExecutionPtr execution = it->second;
  Table.ByCall.erase(it);
  std::erase_if(execution->Listeners,
                [&](const Listener &listener) { return listener.Call == id; });
  if (!execution->Key && !isFinished(*execution))
    abandon(execution);
}

void Endpoint::abandon(const ExecutionPtr &execution) {
  Target.cancel(execution->RequestId);
  failWith(*execution, ErrorKind::DeadlineExceeded,
           "the deadline passed or the caller disconnected", false);
}

void Endpoint::onSetPriority(const wire::SetPriority &change) {
  auto it = Table.ByCall.find(callOf(change.call()));
  if (it == Table.ByCall.end() || isFinished(*it->second))
    return;
  UpstreamRequest request;
  request.Method = "POST";
  request.Path = "/v1/streams/" + streamId(it->second->Request) + "/priority";
  request.ContentType = "application/json";
  request.Body = json::serialize(json::object{{"priority", change.priority()}});
  request.Timeout = std::chrono::seconds(1);
  UpstreamEvents events;
  events.OnDone = [](const UpstreamResult &) {};
  Target.start(request, std::move(events));
}

} // namespace greengagespar
