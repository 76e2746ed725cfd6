#include "greengagespar/load/http_client.h"

#include "greengagespar/base/http_method.h"

#include <cctype>
#include <cstdint>
#include <cstdlib>
#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <unordered_set>
#include <utility>

namespace greengagespar::load {

namespace {

constexpr std::size_t MaxBodyBytes = std::size_t{64} * 1024 * 1024;

timeval toTimeval(std::chrono::milliseconds t) {
  constexpr std::int64_t msPerSecond = 1000;
  return {static_cast<time_t>(t.count() / msPerSecond),
          static_cast<suseconds_t>(t.count() % msPerSecond * msPerSecond)};
}

bool sameName(std::string_view a, std::string_view b) {
  if (a.size() != b.size())
    return false;
  for (std::size_t i = 0; i < a.size(); ++i)
    if (std::tolower(static_cast<unsigned char>(a[i])) !=
        std::tolower(static_cast<unsigned char>(b[i])))
      return false;
  return true;
}

// Frees `con` in the next turn of the loop, because an evhttp connection may
// not be freed inside its own callbacks.
void freeLater(event_base *base, evhttp_connection *con) {
  timeval now{0, 0};
  event_base_once(
      base, -1, EV_TIMEOUT,
      [](evutil_socket_t, short, void *con) {
        evhttp_connection_free(static_cast<evhttp_connection *>(con));
      },
      con, &now);
}

} // namespace

struct HttpClient::Impl {
  struct Exchange {
    Impl *Owner = nullptr;
    evhttp_connection *Con = nullptr;
    event *Timer = nullptr;
    HttpAnswer Answer;
    OnAnswer AnswerCallback;
    OnPart PartCallback;
    ~Exchange() {
      if (Timer)
        event_free(Timer);
    }
  };

  event_base *Base = nullptr;
  std::string Host;
  std::uint16_t Port = 0;
  std::string HostHeader;
  std::vector<evhttp_connection *> Idle;
  std::unordered_set<Exchange *> Open;

  evhttp_connection *takeConnection();
  void start(Exchange *ex, const HttpRequest &request);
  void finish(Exchange *ex);
  static void readPart(evhttp_request *raw, void *arg);
  static void readEnd(evhttp_request *raw, void *arg);
  static void expire(evutil_socket_t, short, void *arg);
};

std::string headerValue(const HttpAnswer &answer, std::string_view name) {
  for (const Header &it : answer.Headers)
    if (sameName(it.Name, name))
      return it.Value;
  return {};
}

HttpClient::HttpClient(event_base *base, Address server)
    : Self(std::make_unique<Impl>()) {
  Self->Base = base;
  auto colon = server.Value.rfind(':');
  Self->Host = server.Value.substr(0, colon);
  if (colon != std::string::npos)
    Self->Port = static_cast<std::uint16_t>(
        std::strtoul(server.Value.c_str() + colon + 1, nullptr, 10));
  Self->HostHeader = std::move(server.Value);
}

HttpClient::~HttpClient() {
  for (evhttp_connection *con : Self->Idle)
    evhttp_connection_free(con);
  for (Impl::Exchange *ex : Self->Open) {
    evhttp_connection_free(ex->Con);
    delete ex;
  }
}

void HttpClient::send(const HttpRequest &request, OnAnswer onAnswer,
                      OnPart onPart) {
  auto *ex = new Impl::Exchange;
  ex->Owner = Self.get();
  ex->Con = Self->takeConnection();
  ex->AnswerCallback = std::move(onAnswer);
  ex->PartCallback = std::move(onPart);
  Self->Open.insert(ex);
  Self->start(ex, request);
}

std::size_t HttpClient::inFlight() const { return Self->Open.size(); }

evhttp_connection *HttpClient::Impl::takeConnection() {
  if (Idle.empty()) {
    auto *con = evhttp_connection_base_new(Base, nullptr, Host.c_str(), Port);
    evhttp_connection_set_max_body_size(con, MaxBodyBytes);
    return con;
  }
  auto *con = Idle.back();
  Idle.pop_back();
  return con;
}

void HttpClient::Impl::start(Exchange *ex, const HttpRequest &request) {
  ex->Timer = evtimer_new(Base, &Impl::expire, ex);
  timeval tv = toTimeval(request.Timeout);
  evtimer_add(ex->Timer, &tv);
  // The exchange's own timer reports the time-out, so evhttp's timer must fire
  // later.
  timeval evhttpTimeout = toTimeval(request.Timeout + std::chrono::seconds(5));
  evhttp_connection_set_timeout_tv(ex->Con, &evhttpTimeout);
  evhttp_request *raw = evhttp_request_new(&Impl::readEnd, ex);
  evhttp_request_set_chunked_cb(raw, &Impl::readPart);
  evkeyvalq *headers = evhttp_request_get_output_headers(raw);
  evhttp_add_header(headers, "Host", HostHeader.c_str());
  for (const Header &it : request.Headers)
    evhttp_add_header(headers, it.Name.c_str(), it.Value.c_str());
  if (!request.Body.empty())
    evbuffer_add(evhttp_request_get_output_buffer(raw), request.Body.data(),
                 request.Body.size());
  if (evhttp_make_request(ex->Con, raw,
                          methodOf(request.Method).value_or(EVHTTP_REQ_GET),
                          request.Target.c_str()) != 0) {
    // evhttp has freed the request. The timer reports the failure from the
    // loop, because send() must not call back.
    timeval now{0, 0};
    evtimer_add(ex->Timer, &now);
  }
}

void HttpClient::Impl::readPart(evhttp_request *raw, void *arg) {
  auto *ex = static_cast<Exchange *>(arg);
  evbuffer *in = evhttp_request_get_input_buffer(raw);
  std::size_t n = evbuffer_get_length(in);
  const auto *data = reinterpret_cast<const char *>(evbuffer_pullup(in, -1));
  ex->Answer.Status = evhttp_request_get_response_code(raw);
  if (ex->PartCallback && ex->Answer.Status == HTTP_OK)
    ex->PartCallback({data, n});
  else
    ex->Answer.Body.append(data, n);
}

void HttpClient::Impl::readEnd(evhttp_request *raw, void *arg) {
  auto *ex = static_cast<Exchange *>(arg);
  if (!raw || evhttp_request_get_response_code(raw) == 0) {
    freeLater(ex->Owner->Base, ex->Con);
    return ex->Owner->finish(ex);
  }
  ex->Answer.End = HttpEnd::Complete;
  ex->Answer.Status = evhttp_request_get_response_code(raw);
  evkeyvalq *headers = evhttp_request_get_input_headers(raw);
  for (evkeyval *it = headers->tqh_first; it; it = it->next.tqe_next)
    ex->Answer.Headers.push_back({it->key, it->value});
  evbuffer *in = evhttp_request_get_input_buffer(raw);
  if (evbuffer_get_length(in) > 0)
    readPart(raw, ex);
  ex->Owner->Idle.push_back(ex->Con);
  ex->Owner->finish(ex);
}

void HttpClient::Impl::expire(evutil_socket_t, short, void *arg) {
  auto *ex = static_cast<Exchange *>(arg);
  evhttp_connection_free(ex->Con);
  ex->Answer.End = HttpEnd::TimedOut;
  ex->Owner->finish(ex);
}

void HttpClient::Impl::finish(Exchange *ex) {
  Open.erase(ex);
  std::unique_ptr<Exchange> end(ex);
  end->AnswerCallback(end->Answer);
}

} // namespace greengagespar::load
