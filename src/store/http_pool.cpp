#include "greengagespar/store/http_pool.h"

#include "greengagespar/base/clock.h"
#include "greengagespar/base/http_status.h"
#include "greengagespar/base/timer.h"

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <iterator>
#include <list>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>
#include <vector>

namespace greengagespar {

namespace {

// Largest head of an answer.
constexpr std::size_t MaxHeadBytes = std::size_t{64} * 1024;

struct ConnectionDeleter {
  void operator()(evhttp_connection *it) const { evhttp_connection_free(it); }
};
using ConnectionPtr = std::unique_ptr<evhttp_connection, ConnectionDeleter>;

using EventPtr = std::unique_ptr<event, detail::EventDeleter>;

struct IdleConnection {
  ConnectionPtr Connection;
  Clock::time_point Since;
};

evhttp_cmd_type commandOf(HttpMethod method) {
  switch (method) {
  case HttpMethod::Get:
    return EVHTTP_REQ_GET;
  case HttpMethod::Put:
    return EVHTTP_REQ_PUT;
  case HttpMethod::Delete:
    return EVHTTP_REQ_DELETE;
  }
  return EVHTTP_REQ_GET;
}

HttpAnswer failedAnswer(std::string why, bool sent) {
  HttpAnswer answer;
  answer.Sent = sent;
  answer.Failure = std::move(why);
  return answer;
}

HttpAnswer answerOf(evhttp_request *req, const std::string &header) {
  if (req == nullptr || evhttp_request_get_response_code(req) == 0)
    return failedAnswer("the connection closed before the answer", true);
  int status = evhttp_request_get_response_code(req);
  if (!isFinalHttpStatus(status))
    return failedAnswer("the status " + std::to_string(status) +
                            " is none of a final answer",
                        true);
  HttpAnswer answer;
  answer.Status = status;
  evbuffer *buf = evhttp_request_get_input_buffer(req);
  answer.Body.resize(evbuffer_get_length(buf));
  evbuffer_remove(buf, answer.Body.data(), answer.Body.size());
  const char *value =
      evhttp_find_header(evhttp_request_get_input_headers(req), header.c_str());
  if (value != nullptr)
    answer.Header = value;
  return answer;
}

// Sets the keep-alive options of a connection if its socket exists. If an
// option can't be set, the timeouts of the requests still detect a connection
// that no longer delivers data.
void applyKeepAlive(evhttp_connection *connection, const HttpKeepAlive &it) {
  evutil_socket_t fd =
      bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
  if (!it.On || fd < 0)
    return;
  auto set = [fd](int level, int name, int value) {
    setsockopt(fd, level, name, &value, sizeof(value));
  };
  auto idle = static_cast<int>(it.Idle.count());
  auto interval = static_cast<int>(it.Interval.count());
  set(SOL_SOCKET, SO_KEEPALIVE, 1);
  set(IPPROTO_TCP, TCP_KEEPIDLE, idle);
  set(IPPROTO_TCP, TCP_KEEPINTVL, interval);
  set(IPPROTO_TCP, TCP_KEEPCNT, it.Probes);
  constexpr int millisPerSecond = 1000;
  set(IPPROTO_TCP, TCP_USER_TIMEOUT,
      (idle + it.Probes * interval) * millisPerSecond);
}

} // namespace

namespace detail {

struct PoolState;

/// One request from `send` until its callback has run.
struct Exchange {
  PoolState *Pool = nullptr;
  HttpRequestNumber Number;
  HttpRequest Request;
  HttpPool::Callback Done;
  ConnectionPtr Connection;
  std::unique_ptr<Timer> ExpiryTimer;
  HttpAnswer Answer;
  bool Started = false; ///< Counts against the limit of its kind.
};

/// The state of an HttpPool.
struct PoolState {
  /// Requests of one kind.
  struct RequestQueue {
    int Limit = 0;
    int Active = 0;
    std::deque<std::unique_ptr<Exchange>> Queued;
  };

  event_base *Loop;
  HttpPoolOptions Options;
  std::string Host;
  std::uint16_t Port = 0;
  RequestQueue Ordinary;
  RequestQueue LongPolls;
  std::list<std::unique_ptr<Exchange>> InProgress;
  std::deque<std::unique_ptr<Exchange>> Finished;
  std::vector<IdleConnection> Idle;
  EventPtr FinishEvent;
  HttpRequestNumber LastNumber;

  PoolState(event_base *loop, HttpPoolOptions options);
  RequestQueue &queueOf(HttpRequestKind kind) {
    return kind == HttpRequestKind::LongPoll ? LongPolls : Ordinary;
  }
  void startQueued(RequestQueue &queue);
  void start(std::unique_ptr<Exchange> exchange);
  void finish(Exchange *exchange, HttpAnswer answer);
  void expire(Exchange *exchange);
  void cancel(HttpRequestNumber number);
  void deliver();
  ConnectionPtr takeConnection();
  void keepConnection(Exchange &exchange);
};

namespace {

void onAnswer(evhttp_request *req, void *arg) {
  auto *exchange = static_cast<Exchange *>(arg);
  exchange->Pool->finish(exchange,
                         answerOf(req, exchange->Pool->Options.Header));
}

void onFinish(evutil_socket_t, short, void *arg) {
  static_cast<PoolState *>(arg)->deliver();
}

} // namespace

PoolState::PoolState(event_base *loop, HttpPoolOptions options)
    : Loop(loop), Options(std::move(options)) {
  const std::string &address = Options.Server.Value;
  std::size_t colon = address.rfind(':');
  Host = address.substr(0, colon);
  if (colon != std::string::npos)
    Port = static_cast<std::uint16_t>(
        std::strtoul(address.c_str() + colon + 1, nullptr, 10));
  Ordinary.Limit = Options.MaxOrdinary;
  LongPolls.Limit = Options.MaxLongPolls;
  FinishEvent.reset(event_new(Loop, -1, 0, onFinish, this));
}

void PoolState::startQueued(RequestQueue &queue) {
  while (queue.Active < queue.Limit && !queue.Queued.empty()) {
    auto next = std::move(queue.Queued.front());
    queue.Queued.pop_front();
    ++queue.Active;
    next->Started = true;
    start(std::move(next));
  }
}

void PoolState::start(std::unique_ptr<Exchange> exchange) {
  Exchange *it = exchange.get();
  InProgress.push_back(std::move(exchange));
  it->Connection = takeConnection();
  it->ExpiryTimer = std::make_unique<Timer>(Loop, [this, it] { expire(it); });
  it->ExpiryTimer->start(it->Request.Timeout);
  evhttp_request *req = evhttp_request_new(onAnswer, it);
  evkeyvalq *headers = evhttp_request_get_output_headers(req);
  evhttp_add_header(headers, "Host", Options.Server.Value.c_str());
  if (!it->Request.Body.empty()) {
    evhttp_add_header(headers, "Content-Type", "application/json");
    evbuffer_add(evhttp_request_get_output_buffer(req), it->Request.Body.data(),
                 it->Request.Body.size());
  }
  if (evhttp_make_request(it->Connection.get(), req,
                          commandOf(it->Request.Method),
                          it->Request.Target.c_str()) != 0)
    return finish(it, failedAnswer("could not open a connection", false));
  applyKeepAlive(it->Connection.get(), Options.KeepAlive);
}

void PoolState::finish(Exchange *exchange, HttpAnswer answer) {
  auto it = std::find_if(InProgress.begin(), InProgress.end(),
                         [&](auto &e) { return e.get() == exchange; });
  if (it == InProgress.end())
    return;
  exchange->Answer = std::move(answer);
  exchange->ExpiryTimer->stop();
  Finished.push_back(std::move(*it));
  InProgress.erase(it);
  // evhttp still uses the connection after this callback. deliver(), which runs
  // from a separate event, returns the connection to the pool or closes it.
  event_active(FinishEvent.get(), EV_TIMEOUT, 0);
}

void PoolState::expire(Exchange *exchange) {
  exchange->Connection.reset();
  // The idle connections may be unresponsive for the same reason.
  Idle.clear();
  auto ms = std::to_string(exchange->Request.Timeout.count());
  finish(exchange, failedAnswer("no answer within " + ms + " ms", true));
}

void PoolState::cancel(HttpRequestNumber number) {
  auto hasNumber = [number](auto &e) { return e->Number == number; };
  constexpr const char *why = "the request was cancelled";
  if (auto it = std::ranges::find_if(InProgress, hasNumber);
      it != InProgress.end()) {
    (*it)->Connection.reset();
    return finish(it->get(), failedAnswer(why, true));
  }
  for (RequestQueue *queue : {&Ordinary, &LongPolls}) {
    auto it = std::ranges::find_if(queue->Queued, hasNumber);
    if (it == queue->Queued.end())
      continue;
    (*it)->Answer = failedAnswer(why, false);
    Finished.push_back(std::move(*it));
    queue->Queued.erase(it);
    event_active(FinishEvent.get(), EV_TIMEOUT, 0);
    return;
  }
}

void PoolState::deliver() {
  std::deque<std::unique_ptr<Exchange>> batch;
  batch.swap(Finished);
  for (auto &exchange : batch) {
    if (exchange->Connection)
      keepConnection(*exchange);
    if (exchange->Started)
      --queueOf(exchange->Request.Kind).Active;
  }
  for (auto &exchange : batch)
    exchange->Done(std::move(exchange->Answer));
  startQueued(Ordinary);
  startQueued(LongPolls);
}

ConnectionPtr PoolState::takeConnection() {
  auto now = Clock::now();
  std::erase_if(Idle,
                [&](auto &it) { return now - it.Since > Options.MaxIdle; });
  if (!Idle.empty()) {
    ConnectionPtr connection = std::move(Idle.back().Connection);
    Idle.pop_back();
    return connection;
  }
  ConnectionPtr connection(evhttp_connection_base_new(
      Loop, nullptr, Host.c_str(), static_cast<ev_uint16_t>(Port)));
  evhttp_connection_set_max_body_size(
      connection.get(), static_cast<ev_ssize_t>(Options.MaxAnswerBytes));
  evhttp_connection_set_max_headers_size(connection.get(), MaxHeadBytes);
  // evhttp has no limit on a line of a chunked body.
  bufferevent_setwatermark(evhttp_connection_get_bufferevent(connection.get()),
                           EV_READ, 0, Options.MaxAnswerBytes + MaxHeadBytes);
  return connection;
}

void PoolState::keepConnection(Exchange &exchange) {
  int limit = Options.MaxOrdinary + Options.MaxLongPolls;
  bool usable = exchange.Answer.Status != 0 && std::ssize(Idle) < limit;
  if (usable)
    Idle.push_back({std::move(exchange.Connection), Clock::now()});
  else
    exchange.Connection.reset();
}

} // namespace detail

HttpPool::HttpPool(event_base *loop, HttpPoolOptions options)
    : S(std::make_unique<detail::PoolState>(loop, std::move(options))) {}

HttpPool::~HttpPool() = default;

HttpRequestNumber HttpPool::send(HttpRequest request, Callback done) {
  detail::PoolState::RequestQueue &queue = S->queueOf(request.Kind);
  if (queue.Queued.size() >= S->Options.MaxQueued) {
    refuse("too many requests are waiting", std::move(done));
    return {};
  }
  auto exchange = std::make_unique<detail::Exchange>();
  exchange->Pool = S.get();
  HttpRequestNumber number{++S->LastNumber.Value};
  exchange->Number = number;
  exchange->Request = std::move(request);
  exchange->Done = std::move(done);
  queue.Queued.push_back(std::move(exchange));
  S->startQueued(queue);
  return number;
}

void HttpPool::cancel(HttpRequestNumber number) { S->cancel(number); }

void HttpPool::refuse(std::string why, Callback done) {
  auto exchange = std::make_unique<detail::Exchange>();
  exchange->Pool = S.get();
  exchange->Done = std::move(done);
  exchange->Answer = failedAnswer(std::move(why), false);
  S->Finished.push_back(std::move(exchange));
  event_active(S->FinishEvent.get(), EV_TIMEOUT, 0);
}

} // namespace greengagespar
