#include "upstream.h"

#include "greengagespar/base/http_method.h"
#include "greengagespar/base/timer.h"
#include "greengagespar/http/client.h"

#include <utility>

namespace greengagespar {

namespace {

// Adds a field unless its value would add lines to the head.
void addField(HttpFields &fields, const char *name, const std::string &value) {
  constexpr std::string_view lineEnds("\r\n\0", 3);
  if (!value.empty() && value.find_first_of(lineEnds) == std::string::npos)
    fields.push_back({name, value});
}

std::string textOf(const UpstreamRequest &request, const Address &server) {
  // The fallback to GET is never used: entries forward only methods that are
  // known here.
  std::string method = methodOf(request.Method) ? request.Method : "GET";
  HttpFields fields;
  addField(fields, "Host", server.Value.substr(0, server.Value.rfind(':')));
  addField(fields, "Content-Type", request.ContentType);
  addField(fields, "Idempotency-Key", request.IdempotencyKey);
  return requestText(method, request.Path, std::move(fields), request.Body);
}

UpstreamOutcome outcomeOf(ExchangeEnd end) {
  switch (end) {
  case ExchangeEnd::Complete:
    return UpstreamOutcome::Complete;
  case ExchangeEnd::NotConnected:
    return UpstreamOutcome::NotSent;
  case ExchangeEnd::Broken:
    break;
  }
  return UpstreamOutcome::Incomplete;
}

} // namespace

struct Upstream::Exchange {
  UpstreamId Id;
  std::chrono::milliseconds Timeout{0};
  UpstreamEvents Events;
  UpstreamResult Result;
  std::size_t AnswerBytes = 0; ///< Of the body.
  std::unique_ptr<Timer> SilenceTimer;
  /// Closed when the request has ended. Its events own this exchange until
  /// then.
  std::unique_ptr<HttpClientConnection> Connection;
};

Upstream::Upstream(event_base *base, const Address &server,
                   std::size_t maxAnswerBytes)
    : Base(base), Server(server), MaxAnswerBytes(maxAnswerBytes) {}

Upstream::~Upstream() {
  for (auto &[id, exchange] : Exchanges)
    exchange->Connection.reset();
}

// A connection carries one request: answers state no request, so on a kept
// connection a repeated answer would be taken for the answer to the next one.
UpstreamId Upstream::start(const UpstreamRequest &request,
                           UpstreamEvents events) {
  UpstreamId id{Next++};
  auto exchange = std::make_shared<Exchange>();
  exchange->Id = id;
  exchange->Timeout = request.Timeout;
  exchange->Events = std::move(events);
  exchange->Connection = std::make_unique<HttpClientConnection>(
      Base, Server, request.Timeout, std::chrono::milliseconds::zero());
  exchange->SilenceTimer = std::make_unique<Timer>(
      Base, [this, id] { finish(id, UpstreamOutcome::Incomplete); });
  exchange->SilenceTimer->start(request.Timeout);
  ExchangeEvents connectionEvents;
  connectionEvents.OnHead = [exchange](const HttpHead &head) {
    exchange->SilenceTimer->start(exchange->Timeout);
    exchange->Result.Status = head.Status;
    const std::string *type = findField(head.Fields, "Content-Type");
    exchange->Result.ContentType = type ? *type : "";
    return true;
  };
  connectionEvents.OnBody = [this, exchange](std::string_view piece) {
    receive(*exchange, piece);
  };
  connectionEvents.OnEnd = [this, exchange](ExchangeEnd end, std::string_view) {
    exchange->Result.IsServerEnd =
        end == ExchangeEnd::Broken && exchange->Connection->isClosedByServer();
    finish(exchange->Id, outcomeOf(end));
  };
  exchange->Connection->send(textOf(request, Server), request.Method == "HEAD",
                             std::move(connectionEvents));
  Exchanges.emplace(id, std::move(exchange));
  return id;
}

void Upstream::cancel(UpstreamId id) {
  auto it = Exchanges.find(id);
  if (it == Exchanges.end())
    return;
  it->second->SilenceTimer->stop();
  it->second->Connection.reset();
  Exchanges.erase(it);
}

void Upstream::receive(Exchange &exchange, std::string_view piece) {
  exchange.SilenceTimer->start(exchange.Timeout);
  exchange.AnswerBytes += piece.size();
  if (exchange.AnswerBytes > MaxAnswerBytes)
    return finish(exchange.Id, UpstreamOutcome::Incomplete);
  if (exchange.Events.OnData)
    exchange.Events.OnData(piece);
  else
    exchange.Result.Body.append(piece);
}

void Upstream::finish(UpstreamId id, UpstreamOutcome outcome) {
  auto it = Exchanges.find(id);
  if (it == Exchanges.end())
    return;
  std::shared_ptr<Exchange> done = std::move(it->second);
  Exchanges.erase(it);
  done->SilenceTimer->stop();
  done->Connection.reset();
  UpstreamResult result;
  if (outcome == UpstreamOutcome::Complete)
    result = std::move(done->Result);
  result.Outcome = outcome;
  result.IsServerEnd = done->Result.IsServerEnd;
  done->Events.OnDone(result);
}

} // namespace greengagespar
