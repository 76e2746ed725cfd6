#include "entry.h"

#include "greengagespar/base/http_method.h"
#include "greengagespar/base/log.h"
#include "greengagespar/contract/repeat_rule.h"
#include <boost/json.hpp>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

namespace greengagespar {

namespace json = boost::json;

namespace {

// Time between two checks of links, deadlines and waiting calls.
constexpr timeval TickInterval{0, 10000};

// How long a leaving entry waits for callers to read their answers.
constexpr std::chrono::seconds MaxCallerWait{30};

constexpr std::size_t MaxHeaderValueBytes = 256;
constexpr std::string_view Json = "application/json";

HttpLimits limitsOf(const EntrySettings &settings) {
  HttpLimits limits;
  limits.MaxHeaderBytes = settings.MaxHeaderBytes;
  limits.MaxBodyBytes = settings.MaxBodyBytes;
  limits.MaxConnections = settings.MaxConnections;
  limits.ArrivalTimeout = settings.HeaderTimeout;
  limits.IdleTimeout = settings.IdleTimeout;
  return limits;
}

Result<std::string> headerOf(evhttp_request *request, const char *name) {
  const char *value =
      evhttp_find_header(evhttp_request_get_input_headers(request), name);
  std::string text = value ? value : "";
  if (!isPlainText(text, MaxHeaderValueBytes))
    return fail(ErrorKind::BadRequest,
                std::string(name) + " is not printable ASCII of at most " +
                    std::to_string(MaxHeaderValueBytes) + " bytes");
  return text;
}

bool allowsBody(evhttp_request *request) {
  evhttp_cmd_type type = evhttp_request_get_command(request);
  return type == EVHTTP_REQ_POST || type == EVHTTP_REQ_PUT ||
         type == EVHTTP_REQ_PATCH;
}

// Returns whether the headers leave the length of the request's body ambiguous.
// evhttp accepts such a request: of several Content-Length headers it uses the
// first, it ignores Content-Length beside Transfer-Encoding, and it parses the
// body of a method that usually has none as if it were the next request.
bool hasAmbiguousLength(evhttp_request *request) {
  int lengths = 0;
  int encodings = 0;
  bool isEmpty = true;
  const auto *headers = evhttp_request_get_input_headers(request);
  for (const auto *it = headers->tqh_first; it; it = it->next.tqe_next) {
    if (evutil_ascii_strcasecmp(it->key, "Transfer-Encoding") == 0)
      ++encodings;
    if (evutil_ascii_strcasecmp(it->key, "Content-Length") != 0)
      continue;
    ++lengths;
    isEmpty = isEmpty && std::string_view(it->value) == "0";
  }
  if (lengths + encodings > 1)
    return true;
  return !allowsBody(request) && (encodings > 0 || !isEmpty);
}

std::string bodyOf(evhttp_request *request) {
  evbuffer *buf = evhttp_request_get_input_buffer(request);
  std::string body(evbuffer_get_length(buf), '\0');
  evbuffer_copyout(buf, body.data(), body.size());
  return body;
}

// Returns the caller's address and port, by which callers are spread over
// entries.
std::string callerOf(evhttp_request *request) {
  evhttp_connection *connection = evhttp_request_get_connection(request);
  if (!connection)
    return {};
  char *address = nullptr;
  ev_uint16_t port = 0;
  evhttp_connection_get_peer(connection, &address, &port);
  return std::string(address ? address : "") + ":" + std::to_string(port);
}

Result<void> setDeadline(ActiveCall &call, evhttp_request *request,
                         std::chrono::milliseconds defaultTime,
                         std::chrono::milliseconds maxTime) {
  BOOST_LEAF_AUTO(text, headerOf(request, "X-Deadline-Ms"));
  std::chrono::milliseconds left = defaultTime;
  if (!text.empty()) {
    BOOST_LEAF_ASSIGN(left, parseDeadline(text));
  }
  call.State.Expires = deadlineAfter(std::min(left, maxTime), call.ArrivedAt);
  return {};
}

} // namespace

Entry::Entry(event_base *base, zmq::context_t &context,
             const EntrySettings &settings)
    : Base(base),
      Settings(settings), Self{settings.Name, newIncarnation(), Generation{}},
      Router(base, context, Self, Shared.Guard, settings.DataCentre),
      Control(base, context, settings, Self, controlHooks()),
      Http(base, limitsOf(settings),
           [this](evhttp_request *request) { onRequest(request); }),
      Ticker(event_new(base, -1, EV_PERSIST, onTick, this)) {
  Shared.Guard.MayTry = [this](PromptPartId part) {
    return isTrialEntry(Control.members(), part);
  };
  Shared.Guard.OnNews = [this] { Control.announce(); };
}

Entry::~Entry() { event_free(Ticker); }

ControlPlaneHooks Entry::controlHooks() {
  ControlPlaneHooks hooks;
  hooks.AddToDigest = [this](wire::Members &digest) {
    writeShared(Shared, digest, Clock::now());
  };
  hooks.OnDigest = [this](const wire::Members &digest) {
    return mergeShared(Shared, digest, Clock::now());
  };
  hooks.OnContract = [this](std::shared_ptr<const Contract> contract) {
    setContract(std::move(contract));
  };
  hooks.Endpoints = [this] { return Router.links().rows(); };
  return hooks;
}

Result<void> Entry::start() {
  Router.links().setExchange(
      {[this](const Address &peer, Generation at) {
         Control.onPeerGeneration(peer, at);
       },
       [this](Generation since) { return Control.serve(since); }});
  BOOST_LEAF_CHECK(Http.bind(Settings.Listen));
  BOOST_LEAF_CHECK(Control.start());
  event_add(Ticker, &TickInterval);
  logInfo(Part::Entry, "listening on " + Settings.Listen.Value);
  return {};
}

void Entry::setContract(std::shared_ptr<const Contract> contract) {
  // Until the first settings are accepted the entry is not ready. If it served
  // the empty contract, it would answer callers that their workspace is not
  // declared.
  bool isEmpty = contract->At.Value == 0;
  if (isEmpty || (InForce && contract->At <= InForce->At))
    return;
  InForce = std::move(contract);
  Self.Settings = InForce->At;
  Router.setContract(*InForce);
}

void Entry::leave() {
  if (LeavingSince)
    return;
  LeavingSince = Clock::now();
  logInfo(Part::Entry, "leaving: no new work after the grace period");
  Control.leave();
}

bool Entry::refusesNewWork() const {
  return LeavingSince && *LeavingSince + Settings.DrainGrace < Clock::now();
}

void Entry::onTick(int, short, void *self) {
  static_cast<Entry *>(self)->tick();
}

void Entry::tick() {
  Router.tick();
  expireEvidence(Shared.Guard.Evidence, Clock::now());
  if (!refusesNewWork() || Router.openCalls() > 0 || awaitsUnsentAnswers())
    return;
  logInfo(Part::Entry, "left: no calls in progress");
  event_base_loopbreak(Base);
}

bool Entry::awaitsUnsentAnswers() const {
  // The wait has a limit, because a caller that never reads its answer must not
  // keep the process running for ever.
  return Http.hasOutput() &&
         Clock::now() < *LeavingSince + Settings.DrainGrace + MaxCallerWait;
}

void Entry::onRequest(evhttp_request *request) {
  auto call = std::make_unique<ActiveCall>();
  call->ArrivedAt = Clock::now();
  call->Id = Router.nextId();
  call->Reply = std::make_unique<CallerReply>(request);
  if (hasAmbiguousLength(request)) {
    evhttp_add_header(evhttp_request_get_output_headers(request), "Connection",
                      "close");
    return sendError(*call->Reply,
                     {ErrorKind::BadRequest,
                      "the end of the body is ambiguous: send one "
                      "Content-Length or Transfer-Encoding, and a body only "
                      "with POST, PUT and PATCH"},
                     Ran::No);
  }
  const char *rawPath =
      evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));
  std::string_view path = rawPath ? rawPath : "/";
  if (path == "/healthz")
    return call->Reply->sendWhole(200, "text/plain", "ok\n");
  if (path == "/readyz")
    return onReady(*call->Reply);
  if (path == "/metrics")
    return onMetrics(*call->Reply);
  std::string caller = callerOf(request);
  if (path == "/v1/entries")
    return onEntries(*call->Reply, caller);
  bool isAdmitted = recoverFrom(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(admit(*call, request, path));
        return true;
      },
      [&](const Error &e) {
        refuse(*call->Reply, e, caller);
        return false;
      });
  if (isAdmitted)
    Router.start(std::move(call));
}

Result<void> Entry::admit(ActiveCall &call, evhttp_request *request,
                          std::string_view path) {
  bool isPost = evhttp_request_get_command(request) == EVHTTP_REQ_POST;
  bool isCompletion = path == "/v1/completions";
  bool isChat = path == "/v1/chat/completions";
  bool isService = path.starts_with("/v1/services/");
  if (!isCompletion && !isChat && !isService)
    return fail(ErrorKind::NotFound, "no such path");
  if (!isService && !isPost)
    return fail(ErrorKind::BadRequest, "drafts must be requested with POST");
  if (refusesNewWork())
    return fail(ErrorKind::Leaving,
                "this entry is leaving; ask another one of /v1/entries");
  if (!InForce)
    return fail(ErrorKind::NotReady, "this entry has no settings yet");
  BOOST_LEAF_CHECK(admitWorkspace(call, request));
  if (isService)
    return admitService(call, request);
  return admitDraft(call, request,
                    isChat ? DraftShape::Chat : DraftShape::Completion);
}

Result<void> Entry::admitWorkspace(ActiveCall &call,
                                   evhttp_request *request) const {
  BOOST_LEAF_AUTO(name, headerOf(request, "X-Workspace"));
  call.Workspace = {name};
  if (name.empty())
    return fail(ErrorKind::BadRequest, "the header X-Workspace is missing");
  if (!InForce->Workspaces.contains(call.Workspace))
    return fail(ErrorKind::UnknownWorkspace, "workspace is not declared");
  return {};
}

Result<void> Entry::admitDraft(ActiveCall &call, evhttp_request *request,
                               DraftShape shape) const {
  BOOST_LEAF_AUTO(draft, parseDraft(shape, bodyOf(request)));
  call.Draft = std::move(draft);
  for (const auto &[id, group] : InForce->Groups) {
    if (group.Model != call.Draft->Model)
      continue;
    call.Pool = {PoolId::Kind::Group, group.Model};
    return setDeadline(call, request, group.DefaultDeadline, group.MaxDeadline);
  }
  return fail(ErrorKind::UnknownGroup, "no group serves this model");
}

Result<void> Entry::admitService(ActiveCall &call,
                                 evhttp_request *request) const {
  BOOST_LEAF_AUTO(target, parseServiceTarget(evhttp_request_get_uri(request)));
  auto it = InForce->Services.find(target.Service);
  if (it == InForce->Services.end())
    return fail(ErrorKind::UnknownGroup, "no such service");
  const Service &service = it->second;
  BOOST_LEAF_CHECK(
      setDeadline(call, request, service.DefaultDeadline, service.MaxDeadline));
  BOOST_LEAF_AUTO(type, headerOf(request, "Content-Type"));
  BOOST_LEAF_AUTO(key, headerOf(request, "Idempotency-Key"));
  call.Pool = {PoolId::Kind::Service, target.Service.Value};
  wire::ServiceCall work;
  work.set_method(std::string(methodName(evhttp_request_get_command(request))));
  work.set_path(target.Path);
  work.set_content_type(type);
  work.set_body(bodyOf(request));
  RepeatRule rule = repeatRule(service, work.method(), target.Path);
  if (rule == RepeatRule::NotRetried)
    call.State.Repeatable = Repeat::Never;
  if (rule == RepeatRule::AtMostOnce) {
    if (key.empty())
      return fail(ErrorKind::IdempotencyKeyNeeded,
                  "this call may not be repeated: send an Idempotency-Key");
    call.State.Repeatable = Repeat::Keyed;
    work.set_idempotency_key(key);
    work.set_key_scope(call.Workspace.Value + "/" + target.Service.Value);
    work.set_dedupe_window_ms(
        static_cast<std::uint32_t>(service.DedupeWindow.count()));
  }
  call.Service = std::move(work);
  return {};
}

void Entry::onEntries(CallerReply &reply, const std::string &caller) const {
  json::array entries;
  for (const EntryAddress &it : Control.entriesFor(caller))
    entries.push_back(
        {{"address", it.Callers.Value}, {"data_centre", it.DataCentre.Value}});
  json::object out;
  out["entries"] = std::move(entries);
  out["keep_ms"] = Settings.AddressKeep.count();
  reply.sendWhole(200, Json, json::serialize(out));
}

void Entry::refuse(CallerReply &reply, const Error &error,
                   const std::string &caller) {
  Router.countRefused(error.Kind);
  std::vector<Address> others;
  if (error.Kind == ErrorKind::Leaving)
    for (const EntryAddress &it : Control.entriesFor(caller))
      others.push_back(it.Callers);
  sendError(reply, error, answerRow(error.Kind).DefaultRan, others);
}

void Entry::onReady(CallerReply &reply) const {
  if (!InForce || !Control.ready())
    return sendError(reply, {ErrorKind::NotReady, "no settings yet"}, Ran::No);
  if (LeavingSince)
    return sendError(reply, {ErrorKind::Leaving, "leaving"}, Ran::No);
  reply.sendWhole(200, "text/plain", "ready\n");
}

void Entry::onMetrics(CallerReply &reply) const {
  const CallCounters &counters = Router.counters();
  std::string text;
  auto add = [&](const std::string &name, std::uint64_t value) {
    text += "greengagespar_" + name + " " + std::to_string(value) + "\n";
  };
  add("calls_started_total", counters.Started);
  add("calls_completed_total", counters.Completed);
  add("attempts_total", counters.Attempts);
  add("callers_gone_total", counters.CallersDisconnected);
  add("stray_messages_total", counters.StrayMessages);
  add("connections", Http.connections());
  add("settings_generation", Self.Settings.Value);
  add("entries_live", Control.liveEntries());
  add("peer_messages_total", Control.peerCounts().Messages);
  add("peer_bytes_total", Control.peerCounts().Bytes);
  add("platform_calls_total", totalSent(Control.platformCounts()));
  for (int i = 0; i < ErrorKindCount; ++i)
    add("calls_refused_total{kind=\"" +
            std::string(answerRow(static_cast<ErrorKind>(i)).Name) + "\"}",
        counters.Refused[static_cast<std::size_t>(i)]);
  reply.sendWhole(200, "text/plain; version=0.0.4", text);
}

} // namespace greengagespar
