#include "greengagespar/http/client.h"

#include "greengagespar/base/timer.h"
#include "greengagespar/http/carried_requests.h"

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <charconv>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <limits>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace greengagespar {

namespace {

using std::chrono::milliseconds;

// How long an idle connection is kept if the server's Keep-Alive field states
// no timeout. The field holds whole seconds only, so a server that states none
// may have a timeout of just under 1 s.
constexpr milliseconds DefaultIdleTime{600};
// An idle connection is abandoned this long before the server's timeout, so
// that a request in transit still arrives in time.
constexpr milliseconds IdleMargin{400};
constexpr std::size_t MaxHeadBytes = std::size_t{64} * 1024;
// Most bytes that are read before the reader has used any of them, as those of
// a head or of a line of a chunked body. An entry has hundreds of connections.
constexpr std::size_t MaxReadAhead = MaxHeadBytes;
// Most bytes of interim answers and of answers to other requests that are
// skipped in one exchange.
constexpr std::size_t MaxSkippedBytes = std::size_t{256} * 1024;

MessageLimits answerLimits() {
  MessageLimits limits;
  limits.MaxHeadBytes = MaxHeadBytes;
  limits.MaxBodyBytes = std::numeric_limits<std::uint64_t>::max() / 2;
  return limits;
}

milliseconds idleTimeOf(const HttpHead &head) {
  const std::string *value = findField(head.Fields, "Keep-Alive");
  std::size_t at = value ? value->find("timeout=") : std::string::npos;
  if (at == std::string::npos)
    return DefaultIdleTime;
  int seconds = 0;
  const char *from = value->data() + at + std::string_view("timeout=").size();
  std::from_chars(from, value->data() + value->size(), seconds);
  return std::max(milliseconds{0}, std::chrono::seconds(seconds) - IdleMargin);
}

} // namespace

namespace detail {

/// One connection and its exchange. Each libevent callback holds a reference
/// while it runs, so the state outlives a connection destroyed inside it.
struct ClientState : std::enable_shared_from_this<ClientState> {
  std::uint64_t Number = 0;
  bufferevent *Stream = nullptr;
  std::unique_ptr<Timer> ConnectTimer;
  /// The request, until the connection is known to be established. Bytes that
  /// are not in libevent's buffer are certainly not sent.
  std::string Unsent;
  ExchangeEvents Events;
  std::unique_ptr<ResponseReader> Reader;
  HttpHead LastHead; ///< Head of the last complete answer.
  Clock::time_point IdleSince;
  bool IsHead = false;
  bool IsConnected = false;
  bool IsUnusable = false; ///< Closed, or must not be used again.
  bool IsClosedByServer = false;
  bool IsRefused = false;
  std::size_t Answers = 0; ///< Complete answers on this connection.
  CarriedRequests Carried; ///< Those that have an id.
  bool InExchange = false;
  bool HeadSeen = false;
  /// Skips an interim answer, or an answer that belongs to another request.
  bool IsSkipping = false;
  std::size_t SkippedBytes = 0; ///< In this exchange.

  ~ClientState() {
    if (Stream)
      bufferevent_free(Stream);
  }

  void write(std::string_view request);
  void read();
  bool readAnswer(std::string_view bytes, std::size_t &used);
  bool refuseEndless(std::size_t size, std::size_t used);
  void complete();
  void end(ExchangeEnd how, std::string_view why);
  void resetReader();
};

namespace {

ClientState &stateOf(void *arg) { return *static_cast<ClientState *>(arg); }

void onRead(bufferevent *, void *arg) {
  auto keep = stateOf(arg).shared_from_this();
  keep->read();
}

void onEvent(bufferevent *, short what, void *arg) {
  int ec = EVUTIL_SOCKET_ERROR(); // Valid until the next call.
  auto keep = stateOf(arg).shared_from_this();
  if (what & BEV_EVENT_CONNECTED) {
    keep->IsConnected = true;
    keep->ConnectTimer->stop();
    return keep->write(std::exchange(keep->Unsent, {}));
  }
  if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
    return;
  keep->read();
  if (!keep->IsConnected) {
    keep->IsRefused = ec == ECONNREFUSED;
    return keep->end(ExchangeEnd::NotConnected, "connection refused");
  }
  keep->IsClosedByServer = true;
  // The kernel reports a reset once. If a write has got the error, a read sees
  // the end of an orderly close, and both events may arrive together.
  bool isInOrder = !(what & BEV_EVENT_ERROR);
  if (isInOrder && keep->InExchange && keep->Reader) {
    keep->Reader->takeEnd();
    // A skipped answer that ends with the connection is followed by no other.
    if (keep->HeadSeen && !keep->IsSkipping &&
        keep->Reader->state() == ReadState::Complete) {
      keep->IsUnusable = true;
      return keep->complete();
    }
  }
  keep->end(ExchangeEnd::Broken,
            isInOrder ? "closed by the server" : "reset by the server");
}

} // namespace

void ClientState::write(std::string_view request) {
  bufferevent_write(Stream, request.data(), request.size());
}

void ClientState::resetReader() {
  HeadSeen = false;
  IsSkipping = false;
  Reader = std::make_unique<ResponseReader>(
      answerLimits(), [this](std::string_view piece) {
        if (!HeadSeen) {
          HeadSeen = true;
          IsSkipping = !Events.OnHead(Reader->head());
        }
        if (!IsSkipping && InExchange)
          Events.OnBody(piece);
      });
  if (IsHead)
    Reader->expectNoBody();
}

void ClientState::read() {
  if (!Stream)
    return;
  evbuffer *buf = bufferevent_get_input(Stream);
  while (!IsUnusable && evbuffer_get_length(buf) > 0) {
    if (!InExchange) {
      // No request is in progress, so these bytes belong to none.
      IsUnusable = true;
      return;
    }
    std::size_t size = evbuffer_get_length(buf);
    const auto *bytes =
        reinterpret_cast<const char *>(evbuffer_pullup(buf, -1));
    std::size_t used = 0;
    bool canContinue = readAnswer({bytes, size}, used);
    evbuffer_drain(buf, used);
    if (!canContinue)
      return;
    if (InExchange && Reader->state() == ReadState::Complete)
      complete();
  }
}

// Returns false when the bytes received so far allow no further progress.
bool ClientState::readAnswer(std::string_view bytes, std::size_t &used) {
  used = Reader->take(bytes);
  if (!InExchange)
    return false;
  ReadState state = Reader->state();
  bool hasHead = state == ReadState::Body || state == ReadState::Complete;
  if (hasHead && !HeadSeen) {
    HeadSeen = true;
    bool isInterim = Reader->head().Status < 200;
    IsSkipping = isInterim || !Events.OnHead(Reader->head());
    if (!InExchange)
      return false;
  }
  if (state == ReadState::Broken) {
    end(ExchangeEnd::Broken, "the bytes are no answer");
    return false;
  }
  if (refuseEndless(bytes.size(), used))
    return false;
  return used > 0 || state == ReadState::Complete;
}

// Ends the exchange when the server sends on and on without coming to an answer
// to this request. \p size: bytes received and not used before; \p used: those
// of them that were used now. Returns whether it has ended the exchange.
bool ClientState::refuseEndless(std::size_t size, std::size_t used) {
  if (IsSkipping)
    SkippedBytes += used;
  bool isTooMuchSkipped = SkippedBytes > MaxSkippedBytes;
  bool isStuck = used == 0 && size >= MaxReadAhead;
  if (!isTooMuchSkipped && !isStuck)
    return false;
  end(ExchangeEnd::Broken, "the bytes do not come to an answer");
  return true;
}

void ClientState::complete() {
  if (IsSkipping)
    return resetReader();
  LastHead = Reader->head();
  ++Answers;
  InExchange = false;
  IdleSince = Clock::now();
  bool isSent = evbuffer_get_length(bufferevent_get_output(Stream)) == 0;
  // A copy of the answer to a HEAD request could not be skipped: its length
  // says nothing of its bytes.
  bool hasFraming = (LastHead.IsChunked || LastHead.Length) && !IsHead;
  if (!isSent || !hasFraming || closesAfter(LastHead))
    IsUnusable = true;
  auto done = std::move(Events.OnEnd);
  Events = {};
  done(ExchangeEnd::Complete, "");
}

void ClientState::end(ExchangeEnd how, std::string_view why) {
  IsUnusable = true;
  Unsent.clear();
  ConnectTimer->stop();
  if (!InExchange)
    return;
  InExchange = false;
  auto done = std::move(Events.OnEnd);
  Events = {};
  done(how, why);
}

} // namespace detail

HttpClientConnection::HttpClientConnection(event_base *loop,
                                           const Address &server,
                                           milliseconds connectTimeout,
                                           milliseconds userTimeout)
    : S(std::make_shared<detail::ClientState>()) {
  static std::atomic<std::uint64_t> lastNumber = 0;
  S->Number = ++lastNumber;
  S->Stream = bufferevent_socket_new(
      loop, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  S->ConnectTimer = std::make_unique<Timer>(loop, [state = S.get()] {
    auto keep = state->shared_from_this();
    keep->end(ExchangeEnd::NotConnected, "no connection in time");
  });
  bufferevent_setcb(S->Stream, detail::onRead, nullptr, detail::onEvent,
                    S.get());
  bufferevent_setwatermark(S->Stream, EV_READ, 0, MaxReadAhead);
  bufferevent_enable(S->Stream, EV_READ | EV_WRITE);
  S->ConnectTimer->start(connectTimeout);
  sockaddr_storage name{};
  int size = sizeof(name);
  if (evutil_parse_sockaddr_port(server.Value.c_str(),
                                 reinterpret_cast<sockaddr *>(&name),
                                 &size) != 0 ||
      bufferevent_socket_connect(S->Stream, reinterpret_cast<sockaddr *>(&name),
                                 size) != 0)
    return; // The connect timer ends the exchange.
  evutil_socket_t fd = bufferevent_getfd(S->Stream);
  int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  auto userTimeoutMs = static_cast<int>(userTimeout.count());
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeoutMs,
             sizeof(userTimeoutMs));
}

HttpClientConnection::~HttpClientConnection() {
  // The callbacks in Events are destroyed together with the state, because one
  // of them may be running now.
  S->InExchange = false;
  S->IsUnusable = true;
  bufferevent_setcb(S->Stream, nullptr, nullptr, nullptr, nullptr);
  bufferevent_disable(S->Stream, EV_READ | EV_WRITE);
  S->ConnectTimer->stop();
}

void HttpClientConnection::setKeepAlive(const HttpKeepAlive &options) {
  evutil_socket_t fd = bufferevent_getfd(S->Stream);
  if (!options.On || fd < 0)
    return;
  auto set = [fd](int level, int name, int value) {
    setsockopt(fd, level, name, &value, sizeof(value));
  };
  auto idle = static_cast<int>(options.Idle.count());
  auto interval = static_cast<int>(options.Interval.count());
  set(SOL_SOCKET, SO_KEEPALIVE, 1);
  set(IPPROTO_TCP, TCP_KEEPIDLE, idle);
  set(IPPROTO_TCP, TCP_KEEPINTVL, interval);
  set(IPPROTO_TCP, TCP_KEEPCNT, options.Probes);
  constexpr int millisPerSecond = 1000;
  set(IPPROTO_TCP, TCP_USER_TIMEOUT,
      (idle + options.Probes * interval) * millisPerSecond);
}

void HttpClientConnection::send(std::string_view request, bool isHead,
                                ExchangeEvents events, std::string_view id) {
  if (!id.empty())
    recordRequest(S->Carried, id);
  S->Events = std::move(events);
  S->IsHead = isHead;
  S->InExchange = true;
  S->SkippedBytes = 0;
  S->resetReader();
  if (S->IsConnected)
    S->write(request);
  else
    S->Unsent = request;
}

void HttpClientConnection::pauseReading() {
  bufferevent_disable(S->Stream, EV_READ);
}

void HttpClientConnection::resumeReading() {
  bufferevent_enable(S->Stream, EV_READ);
}

bool HttpClientConnection::isReusable() const {
  return !S->IsUnusable && !S->InExchange && S->IsConnected &&
         !isFull(S->Carried) &&
         evbuffer_get_length(bufferevent_get_input(S->Stream)) == 0;
}

bool HttpClientConnection::hasCarried(std::string_view id) const {
  return greengagespar::hasCarried(S->Carried, id);
}

std::uint64_t HttpClientConnection::number() const { return S->Number; }

std::size_t HttpClientConnection::answers() const { return S->Answers; }

bool HttpClientConnection::isRefused() const { return S->IsRefused; }

bool HttpClientConnection::isClosedByServer() const {
  return S->IsClosedByServer;
}

Clock::time_point HttpClientConnection::usableUntil() const {
  return S->IdleSince + idleTimeOf(S->LastHead);
}

} // namespace greengagespar
