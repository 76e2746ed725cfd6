#include "upstream.h"

#include "greengagespar/base/http_method.h"
#include "greengagespar/base/http_status.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <utility>

namespace greengagespar {

namespace {

// Largest head of an answer.
constexpr std::size_t MaxHeadBytes = std::size_t{64} * 1024;

std::string text(evbuffer *buf) {
  std::string out(evbuffer_get_length(buf), '\0');
  evbuffer_copyout(buf, out.data(), out.size());
  return out;
}

std::string header(evhttp_request *request, const char *name) {
  const char *value =
      evhttp_find_header(evhttp_request_get_input_headers(request), name);
  return value ? value : "";
}

timeval toTimeval(std::chrono::milliseconds ms) {
  return {static_cast<time_t>(ms.count() / 1000),
          static_cast<suseconds_t>(ms.count() % 1000 * 1000)};
}

} // namespace

struct Upstream::Exchange {
  Upstream *Owner = nullptr;
  UpstreamId Id;
  evhttp_connection *Connection = nullptr;
  evhttp_request *Request = nullptr;
  UpstreamEvents Events;
  bool IsClosed = false; ///< The server closed the connection.
};

Upstream::Upstream(event_base *base, const Address &server,
                   std::size_t maxAnswerBytes)
    : Base(base), MaxAnswerBytes(maxAnswerBytes),
      Reap(event_new(base, -1, 0, onReap, this)) {
  auto colon = server.Value.rfind(':');
  Host = server.Value.substr(0, colon);
  Port = static_cast<std::uint16_t>(std::stoi(server.Value.substr(colon + 1)));
}

Upstream::~Upstream() {
  for (auto &[id, exchange] : Exchanges)
    evhttp_connection_free(exchange->Connection);
  onReap(-1, 0, this);
  event_free(Reap);
}

// A connection carries one request: answers state no request, so on a kept
// connection a repeated answer would be taken for the answer to the next one.
evhttp_connection *Upstream::makeConnection() const {
  auto *connection =
      evhttp_connection_base_new(Base, nullptr, Host.c_str(), Port);
  evhttp_connection_set_max_body_size(connection,
                                      static_cast<ev_ssize_t>(MaxAnswerBytes));
  evhttp_connection_set_max_headers_size(connection, MaxHeadBytes);
  // evhttp has no limit on a line of a chunked body.
  bufferevent_setwatermark(evhttp_connection_get_bufferevent(connection),
                           EV_READ, 0, MaxAnswerBytes + MaxHeadBytes);
  return connection;
}

void Upstream::closeConnection(evhttp_connection *connection) {
  // This function may run inside a callback of evhttp, which still uses the
  // connection. The loop frees it later.
  Closing.push_back(connection);
  event_active(Reap, EV_TIMEOUT, 0);
}

void Upstream::onReap(int, short, void *self) {
  auto *upstream = static_cast<Upstream *>(self);
  for (evhttp_connection *it : std::exchange(upstream->Closing, {}))
    evhttp_connection_free(it);
  upstream->Cancelled.clear();
}

UpstreamId Upstream::start(const UpstreamRequest &request,
                           UpstreamEvents events) {
  auto exchange = std::make_unique<Exchange>();
  exchange->Owner = this;
  exchange->Id = {Next++};
  exchange->Events = std::move(events);
  exchange->Connection = makeConnection();
  exchange->Request = evhttp_request_new(onDone, exchange.get());
  evhttp_request_set_error_cb(exchange->Request, onError);
  if (exchange->Events.OnData)
    evhttp_request_set_chunked_cb(exchange->Request, onChunk);
  auto *headers = evhttp_request_get_output_headers(exchange->Request);
  evhttp_add_header(headers, "Host", Host.c_str());
  if (!request.ContentType.empty())
    evhttp_add_header(headers, "Content-Type", request.ContentType.c_str());
  if (!request.IdempotencyKey.empty())
    evhttp_add_header(headers, "Idempotency-Key",
                      request.IdempotencyKey.c_str());
  evbuffer_add(evhttp_request_get_output_buffer(exchange->Request),
               request.Body.data(), request.Body.size());
  timeval timeout = toTimeval(request.Timeout);
  evhttp_connection_set_timeout_tv(exchange->Connection, &timeout);
  UpstreamId id = exchange->Id;
  Exchange &made = *exchange;
  Exchanges.emplace(id, std::move(exchange));
  // evhttp calls onDone during this call only when it can't create a socket.
  // OnDone was then called and the exchange destroyed. The fallback to GET is
  // never used: entries forward only methods that are known here.
  evhttp_make_request(made.Connection, made.Request,
                      methodOf(request.Method).value_or(EVHTTP_REQ_GET),
                      request.Path.c_str());
  return id;
}

void Upstream::cancel(UpstreamId id) {
  auto it = Exchanges.find(id);
  if (it == Exchanges.end())
    return;
  evhttp_cancel_request(it->second->Request);
  closeConnection(it->second->Connection);
  // One of the exchange's own events may have called this function, so the
  // exchange is destroyed later.
  Cancelled.push_back(std::move(it->second));
  Exchanges.erase(it);
}

void Upstream::onError(evhttp_request_error error, void *arg) {
  static_cast<Exchange *>(arg)->IsClosed =
      error == EVREQ_HTTP_EOF || error == EVREQ_HTTP_BUFFER_ERROR;
}

void Upstream::onChunk(evhttp_request *request, void *arg) {
  auto &exchange = *static_cast<Exchange *>(arg);
  if (!isFinalHttpStatus(evhttp_request_get_response_code(request)))
    return;
  std::string data = text(evhttp_request_get_input_buffer(request));
  exchange.Events.OnData(data);
}

void Upstream::onDone(evhttp_request *request, void *arg) {
  auto &exchange = *static_cast<Exchange *>(arg);
  UpstreamResult result;
  int status = request ? evhttp_request_get_response_code(request) : 0;
  if (!request) {
    result.Outcome = UpstreamOutcome::Incomplete;
    result.IsServerEnd = exchange.IsClosed;
  } else if (status == 0) {
    result.Outcome = UpstreamOutcome::NotSent;
  } else if (!isFinalHttpStatus(status)) {
    result.Outcome = UpstreamOutcome::Incomplete;
  } else {
    result.Outcome = UpstreamOutcome::Complete;
    result.Status = status;
    result.ContentType = header(request, "Content-Type");
    result.Body = text(evhttp_request_get_input_buffer(request));
  }
  exchange.Owner->finish(exchange, result);
}

void Upstream::finish(const Exchange &exchange, const UpstreamResult &result) {
  auto it = Exchanges.find(exchange.Id);
  std::unique_ptr<Exchange> done = std::move(it->second);
  Exchanges.erase(it);
  closeConnection(done->Connection);
  done->Events.OnDone(result);
}

} // namespace greengagespar
