#include "greengagespar/load/http_client.h"

#include "greengagespar/base/timer.h"
#include "greengagespar/http/client.h"

#include <unordered_map>
#include <utility>

namespace greengagespar::load {

namespace {

constexpr std::size_t MaxBodyBytes = std::size_t{64} * 1024 * 1024;
constexpr int StatusOk = 200;

using ConnectionPtr = std::unique_ptr<HttpClientConnection>;

std::string textOf(const HttpRequest &request, const Address &server) {
  HttpFields fields{{"Host", server.Value}};
  for (const Header &it : request.Headers)
    fields.push_back({it.Name, it.Value});
  return requestText(request.Method, request.Target, std::move(fields),
                     request.Body);
}

} // namespace

struct HttpClient::Impl {
  struct Exchange {
    ConnectionPtr Connection;
    std::unique_ptr<Timer> ExpiryTimer;
    HttpAnswer Answer;
    OnAnswer AnswerCallback;
    OnPart PartCallback;
  };

  event_base *Base = nullptr;
  Address Server;
  std::vector<ConnectionPtr> Idle;
  std::unordered_map<std::uint64_t, std::unique_ptr<Exchange>> Open;
  std::uint64_t LastNumber = 0;

  ConnectionPtr takeConnection(std::chrono::milliseconds connectTimeout);
  ExchangeEvents eventsOf(std::uint64_t number);
  void receiveHead(Exchange &ex, const HttpHead &head);
  void receivePart(std::uint64_t number, std::string_view part);
  void finish(std::uint64_t number, HttpEnd end);
};

std::string headerValue(const HttpAnswer &answer, std::string_view name) {
  for (const Header &it : answer.Headers)
    if (isSameField(it.Name, name))
      return it.Value;
  return {};
}

HttpClient::HttpClient(event_base *base, Address server)
    : Self(std::make_unique<Impl>()) {
  Self->Base = base;
  Self->Server = std::move(server);
}

HttpClient::~HttpClient() = default;

void HttpClient::send(const HttpRequest &request, OnAnswer onAnswer,
                      OnPart onPart) {
  std::uint64_t number = ++Self->LastNumber;
  auto ex = std::make_unique<Impl::Exchange>();
  ex->AnswerCallback = std::move(onAnswer);
  ex->PartCallback = std::move(onPart);
  ex->ExpiryTimer =
      std::make_unique<Timer>(Self->Base, [impl = Self.get(), number] {
        impl->finish(number, HttpEnd::TimedOut);
      });
  ex->ExpiryTimer->start(request.Timeout);
  ex->Connection = Self->takeConnection(request.Timeout);
  ex->Connection->send(textOf(request, Self->Server), request.Method == "HEAD",
                       Self->eventsOf(number));
  Self->Open.emplace(number, std::move(ex));
}

std::size_t HttpClient::inFlight() const { return Self->Open.size(); }

ConnectionPtr
HttpClient::Impl::takeConnection(std::chrono::milliseconds connectTimeout) {
  std::erase_if(Idle, [](auto &it) { return !it->isReusable(); });
  if (Idle.empty())
    return std::make_unique<HttpClientConnection>(
        Base, Server, connectTimeout, std::chrono::milliseconds::zero());
  ConnectionPtr connection = std::move(Idle.back());
  Idle.pop_back();
  return connection;
}

ExchangeEvents HttpClient::Impl::eventsOf(std::uint64_t number) {
  ExchangeEvents events;
  events.OnHead = [this, number](const HttpHead &head) {
    receiveHead(*Open.at(number), head);
    return true;
  };
  events.OnBody = [this, number](std::string_view part) {
    receivePart(number, part);
  };
  events.OnEnd = [this, number](ExchangeEnd end, std::string_view) {
    finish(number,
           end == ExchangeEnd::Complete ? HttpEnd::Complete : HttpEnd::Broken);
  };
  return events;
}

void HttpClient::Impl::receiveHead(Exchange &ex, const HttpHead &head) {
  ex.Answer.Status = head.Status;
  for (const HttpField &it : head.Fields)
    ex.Answer.Headers.push_back({it.Name, it.Value});
}

void HttpClient::Impl::receivePart(std::uint64_t number,
                                   std::string_view part) {
  Exchange &ex = *Open.at(number);
  if (ex.PartCallback && ex.Answer.Status == StatusOk)
    return ex.PartCallback(part);
  ex.Answer.Body.append(part);
  if (ex.Answer.Body.size() > MaxBodyBytes)
    finish(number, HttpEnd::Broken);
}

void HttpClient::Impl::finish(std::uint64_t number, HttpEnd end) {
  auto it = Open.find(number);
  std::unique_ptr<Exchange> ended = std::move(it->second);
  Open.erase(it);
  ended->ExpiryTimer->stop();
  ended->Answer.End = end;
  if (end == HttpEnd::Complete)
    Idle.push_back(std::move(ended->Connection));
  else
    ended->Connection.reset();
  ended->AnswerCallback(ended->Answer);
}

} // namespace greengagespar::load
