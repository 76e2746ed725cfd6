#include "greengagespar/store/http_pool.h"

#include "greengagespar/base/clock.h"
#include "greengagespar/base/timer.h"

#include <algorithm>
#include <deque>
#include <event2/event.h>
#include <iterator>
#include <list>
#include <utility>
#include <vector>

namespace greengagespar {

namespace {

using ConnectionPtr = std::unique_ptr<HttpClientConnection>;

using EventPtr = std::unique_ptr<event, detail::EventDeleter>;

struct IdleConnection {
  ConnectionPtr Connection;
  Clock::time_point Since;
};

std::string_view nameOf(HttpMethod method) {
  switch (method) {
  case HttpMethod::Get:
    return "GET";
  case HttpMethod::Put:
    return "PUT";
  case HttpMethod::Delete:
    return "DELETE";
  }
  return "GET";
}

std::string textOf(const HttpRequest &request, const Address &server) {
  HttpFields fields{{"Host", server.Value}};
  if (!request.Body.empty())
    fields.push_back({"Content-Type", "application/json"});
  return requestText(nameOf(request.Method), request.Target, std::move(fields),
                     request.Body);
}

HttpAnswer failedAnswer(std::string why, bool sent) {
  HttpAnswer answer;
  answer.Sent = sent;
  answer.Failure = std::move(why);
  return answer;
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
  HttpAnswer Answer;    ///< As much as has arrived, or the final one.
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
  ExchangeEvents eventsOf(Exchange *exchange);
  void receive(Exchange *exchange, std::string_view piece);
  void finish(Exchange *exchange, HttpAnswer answer);
  void expire(Exchange *exchange);
  void cancel(HttpRequestNumber number);
  void deliver();
  ConnectionPtr takeConnection(std::chrono::milliseconds connectTimeout);
  void keepConnection(Exchange &exchange);
};

namespace {

void onFinish(evutil_socket_t, short, void *arg) {
  static_cast<PoolState *>(arg)->deliver();
}

} // namespace

PoolState::PoolState(event_base *loop, HttpPoolOptions options)
    : Loop(loop), Options(std::move(options)) {
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
  it->ExpiryTimer = std::make_unique<Timer>(Loop, [this, it] { expire(it); });
  it->ExpiryTimer->start(it->Request.Timeout);
  it->Connection = takeConnection(it->Request.Timeout);
  it->Connection->send(textOf(it->Request, Options.Server), false,
                       eventsOf(it));
}

ExchangeEvents PoolState::eventsOf(Exchange *exchange) {
  ExchangeEvents events;
  events.OnHead = [this, exchange](const HttpHead &head) {
    exchange->Answer.Status = head.Status;
    const std::string *value = findField(head.Fields, Options.Header);
    exchange->Answer.Header = value ? *value : "";
    return true;
  };
  events.OnBody = [this, exchange](std::string_view piece) {
    receive(exchange, piece);
  };
  events.OnEnd = [this, exchange](ExchangeEnd how, std::string_view why) {
    finish(exchange, how == ExchangeEnd::Complete
                         ? std::move(exchange->Answer)
                         : failedAnswer(std::string(why), true));
  };
  return events;
}

void PoolState::receive(Exchange *exchange, std::string_view piece) {
  std::string &body = exchange->Answer.Body;
  if (body.size() + piece.size() <= Options.MaxAnswerBytes) {
    body.append(piece);
    return;
  }
  exchange->Connection.reset();
  finish(exchange, failedAnswer("the answer is too large", true));
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
  // The connection may be in its own callback. deliver(), which runs from a
  // separate event, returns it to the pool or closes it.
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

ConnectionPtr
PoolState::takeConnection(std::chrono::milliseconds connectTimeout) {
  auto now = Clock::now();
  std::erase_if(Idle, [&](auto &it) {
    return now - it.Since > Options.MaxIdle || !it.Connection->isReusable();
  });
  if (!Idle.empty()) {
    ConnectionPtr connection = std::move(Idle.back().Connection);
    Idle.pop_back();
    return connection;
  }
  auto connection = std::make_unique<HttpClientConnection>(
      Loop, Options.Server, connectTimeout, std::chrono::milliseconds::zero());
  connection->setKeepAlive(Options.KeepAlive);
  return connection;
}

void PoolState::keepConnection(Exchange &exchange) {
  int limit = Options.MaxOrdinary + Options.MaxLongPolls;
  bool usable = exchange.Connection->isReusable() && std::ssize(Idle) < limit;
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
