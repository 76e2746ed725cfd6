#include "greengagespar/http/server.h"

#include "greengagespar/base/clock.h"
#include "greengagespar/base/timer.h"
#include <algorithm>
#include <array>
#include <cstdio>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <sys/socket.h>
#include <unordered_map>
#include <utility>

namespace greengagespar {

namespace {

constexpr int ListenBacklog = 1024;

// Bytes read ahead of the request in progress; the kernel buffers any further
// ones.
constexpr std::size_t MaxReadAhead = std::size_t{64} * 1024;

std::string statusLine(int status) {
  return "HTTP/1.1 " + std::to_string(status) + " " +
         std::string(reasonPhrase(status)) + "\r\n";
}

int statusOf(ReadFault fault) {
  switch (fault) {
  case ReadFault::HeadTooLarge:
    return 431;
  case ReadFault::BodyTooLarge:
    return 413;
  default:
    return 400;
  }
}

constexpr int StatusRequestTimeout = 408;

// After an early answer the rest of the request is discarded for this long:
// closing a connection that holds unread bytes resets it, and the caller may
// then lose the answer.
constexpr std::chrono::milliseconds DiscardTime{2000};

} // namespace

namespace detail {

/// The state of a listening address and its connections.
struct ServerState {
  event_base *Loop = nullptr;
  HttpServerLimits Limits;
  HttpListener::Handler Handle;
  BufferMemory *Memory = nullptr; ///< Null: not bounded.
  BodyRefusal RefuseBody;
  evconnlistener *Listener = nullptr;
  std::unordered_map<ServerConnection *, std::shared_ptr<ServerConnection>>
      Open;
  bool Draining = false;
  std::chrono::milliseconds Linger{0};

  /// Returns how long a connection may wait for a request.
  std::chrono::milliseconds idleTimeout() const {
    return Draining ? std::min(Linger, Limits.IdleTimeout) : Limits.IdleTimeout;
  }
};

/// One caller's connection. ServerState keeps it alive until it is closed.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
  ServerConnection(ServerState &server, evutil_socket_t fd);
  ~ServerConnection();
  ServerConnection(const ServerConnection &) = delete;
  ServerConnection &operator=(const ServerConnection &) = delete;

  void read();
  void close();
  void send(int status, HttpFields &fields, std::string_view body);
  void begin(int status, HttpFields &fields);
  void sendPiece(std::string_view piece);
  void endAnswer();
  /// Starts the timeout: if it expires after \p wait, the connection is closed,
  /// or answers 408 if a request has begun but is not complete.
  void startTimeout(std::chrono::milliseconds wait);
  bool isIdle() const { return !InProgress && !HasBegunRequest; }
  std::size_t unsentBytes() const;

  std::function<void()> OnDisconnect;
  std::function<void()> OnDrained;

private:
  static void onRead(bufferevent *, void *self);
  static void onWrite(bufferevent *, void *self);
  static void onEvent(bufferevent *, short what, void *self);
  static void onOutputChange(evbuffer *, const evbuffer_cb_info *info,
                             void *self);
  void onTimeout();
  void readRequest();
  bool reserveBody();
  void refuseBody();
  void discard();
  void deliver();
  void refuse(int status);
  void closeIfWritten();
  void setResetOnClose(bool resets);
  void addFraming(HttpFields &fields);
  void write(std::string_view bytes);

  ServerState &Server;
  bufferevent *Stream;
  Timer Timeout;
  std::unique_ptr<RequestReader> Reader;
  std::string Body;
  std::shared_ptr<BodyShare> BodyMemory; ///< Of Body.
  bool HasBegunRequest = false;          ///< Bytes of a request were received.
  bool InProgress = false; ///< A complete request awaits the end of its answer.
  bool IsChunked = false;  ///< The answer in progress is chunked.
  bool CloseAfter = false; ///< Close once all output is written.
  bool IsDiscarding = false; ///< Reads the rest of a refused request.
  bool IsClosed = false;
  bool ResetsOnClose = false; ///< See setResetOnClose().
  bool IsHead = false;        ///< The request's method is HEAD.
  bool CanChunk = true;       ///< The caller speaks HTTP/1.1.
  bool IsReading = false;     ///< Guards against reading inside a handler.
  bool ReadAgain = false;     ///< read() was called while IsReading.
};

ServerConnection::ServerConnection(ServerState &server, evutil_socket_t fd)
    : Server(server),
      Stream(bufferevent_socket_new(
          server.Loop, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS)),
      Timeout(server.Loop, [this] { onTimeout(); }) {
  int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  bufferevent_setcb(Stream, onRead, onWrite, onEvent, this);
  bufferevent_setwatermark(Stream, EV_READ, 0, MaxReadAhead);
  if (server.Memory)
    evbuffer_add_cb(bufferevent_get_output(Stream), onOutputChange, this);
  bufferevent_enable(Stream, EV_READ | EV_WRITE);
  startTimeout(server.idleTimeout());
}

ServerConnection::~ServerConnection() {
  if (Server.Memory) {
    evbuffer_remove_cb(bufferevent_get_output(Stream), onOutputChange, this);
    recordUnsent(*Server.Memory, unsentBytes(), 0);
  }
  bufferevent_free(Stream);
}

std::size_t ServerConnection::unsentBytes() const {
  return evbuffer_get_length(bufferevent_get_output(Stream));
}

void ServerConnection::onOutputChange(evbuffer *, const evbuffer_cb_info *info,
                                      void *self) {
  recordUnsent(*static_cast<ServerConnection *>(self)->Server.Memory,
               info->orig_size,
               info->orig_size + info->n_added - info->n_deleted);
}

void ServerConnection::startTimeout(std::chrono::milliseconds wait) {
  Timeout.start(wait);
}

void ServerConnection::close() {
  if (IsClosed)
    return;
  IsClosed = true;
  auto self = shared_from_this();
  Timeout.stop();
  bufferevent_disable(Stream, EV_READ | EV_WRITE);
  bufferevent_setcb(Stream, nullptr, nullptr, nullptr, nullptr);
  Server.Open.erase(this);
  if (auto callback = std::move(OnDisconnect))
    callback();
}

void ServerConnection::onRead(bufferevent *, void *self) {
  auto keep = static_cast<ServerConnection *>(self)->shared_from_this();
  keep->read();
}

void ServerConnection::onWrite(bufferevent *, void *self) {
  auto keep = static_cast<ServerConnection *>(self)->shared_from_this();
  // libevent also calls this when the socket becomes writable, whether or not
  // output is still buffered.
  if (keep->CloseAfter && !keep->InProgress)
    keep->closeIfWritten();
  else if (auto callback = keep->OnDrained;
           callback && keep->unsentBytes() == 0)
    callback();
}

// Closes the connection in order if its whole output was written.
void ServerConnection::closeIfWritten() {
  if (IsClosed || unsentBytes() > 0)
    return;
  setResetOnClose(false);
  if (!IsDiscarding)
    return close();
  shutdown(bufferevent_getfd(Stream), SHUT_WR);
  startTimeout(DiscardTime);
}

void ServerConnection::onEvent(bufferevent *, short what, void *self) {
  auto keep = static_cast<ServerConnection *>(self)->shared_from_this();
  if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
    keep->close();
}

void ServerConnection::onTimeout() {
  auto keep = shared_from_this();
  if (InProgress || CloseAfter || !HasBegunRequest)
    close();
  else
    refuse(StatusRequestTimeout);
}

void ServerConnection::read() {
  if (IsReading) {
    ReadAgain = true;
    return;
  }
  IsReading = true;
  do {
    ReadAgain = false;
    if (IsDiscarding)
      discard();
    else if (!InProgress && !CloseAfter && !IsClosed)
      readRequest();
  } while (ReadAgain && !IsClosed);
  IsReading = false;
}

void ServerConnection::readRequest() {
  evbuffer *buf = bufferevent_get_input(Stream);
  std::size_t size = evbuffer_get_length(buf);
  if (size == 0)
    return;
  if (!HasBegunRequest) {
    HasBegunRequest = true;
    Body.clear();
    if (Server.Memory)
      BodyMemory = std::make_shared<BodyShare>(*Server.Memory);
    Reader = std::make_unique<RequestReader>(
        Server.Limits.Message,
        [this](std::string_view piece) { Body.append(piece); });
    startTimeout(Server.Limits.HeadTimeout);
  }
  bool wasHead = Reader->state() == ReadState::Head;
  const auto *bytes = reinterpret_cast<const char *>(evbuffer_pullup(buf, -1));
  evbuffer_drain(buf, Reader->take({bytes, size}));
  bool hasHead = Reader->state() == ReadState::Body ||
                 Reader->state() == ReadState::Complete;
  if (hasHead && !reserveBody())
    return refuseBody();
  switch (Reader->state()) {
  case ReadState::Broken:
    return refuse(statusOf(Reader->fault()));
  case ReadState::Complete:
    return deliver();
  case ReadState::Body:
    startTimeout(Server.Limits.IdleTimeout);
    if (wasHead &&
        fieldHasToken(Reader->head().Fields, "Expect", "100-continue"))
      write("HTTP/1.1 100 Continue\r\n\r\n");
    return;
  case ReadState::Head:
    return;
  }
}

// Reserves memory for the body, as far as its size is known. Returns whether
// there was room.
bool ServerConnection::reserveBody() {
  if (!BodyMemory)
    return true;
  auto stated = Reader->head().Length;
  std::size_t kept = Body.empty() ? 0 : Body.capacity();
  if (!BodyMemory->reserve(stated ? *stated : kept))
    return false;
  // Appending pieces to a smaller buffer could take twice the bytes.
  if (stated && Reader->state() == ReadState::Body)
    Body.reserve(*stated);
  return true;
}

// Answers a request without room in memory, and discards the rest of it.
void ServerConnection::refuseBody() {
  ++Server.Memory->BodiesRefused;
  HttpHead head = Reader->head();
  HttpRefusal answer = Server.RefuseBody(
      head, head.Length ? static_cast<std::size_t>(*head.Length) : Body.size());
  IsDiscarding = Reader->state() == ReadState::Body;
  IsHead = head.Method == "HEAD";
  Reader.reset();
  std::string().swap(Body);
  BodyMemory.reset();
  CloseAfter = true;
  send(answer.Status, answer.Fields, "");
}

void ServerConnection::discard() {
  evbuffer *buf = bufferevent_get_input(Stream);
  evbuffer_drain(buf, evbuffer_get_length(buf));
}

void ServerConnection::deliver() {
  Timeout.stop();
  InProgress = true;
  HasBegunRequest = false;
  HttpRequestMessage message{Reader->head(), std::move(Body),
                             std::move(BodyMemory)};
  Body.clear();
  Reader.reset();
  IsHead = message.Head.Method == "HEAD";
  CanChunk = message.Head.Version >= 11;
  CloseAfter = closesAfter(message.Head) || Server.Draining;
  Server.Handle(std::move(message),
                std::make_shared<HttpReply>(weak_from_this()));
}

void ServerConnection::refuse(int status) {
  CloseAfter = true;
  HttpFields fields;
  send(status, fields, "");
}

// Whether closing the socket, also by the end of the process, resets the
// connection instead of ending it in order.
void ServerConnection::setResetOnClose(bool resets) {
  if (std::exchange(ResetsOnClose, resets) == resets)
    return;
  linger value{resets ? 1 : 0, 0};
  setsockopt(bufferevent_getfd(Stream), SOL_SOCKET, SO_LINGER, &value,
             sizeof(value));
}

void ServerConnection::addFraming(HttpFields &fields) {
  CloseAfter = CloseAfter || Server.Draining;
  if (CloseAfter)
    fields.push_back({"Connection", "close"});
}

void ServerConnection::write(std::string_view bytes) {
  bufferevent_write(Stream, bytes.data(), bytes.size());
  if (unsentBytes() > Server.Limits.MaxUnsentBytes)
    return close();
  if (!Server.Memory || !mustEndReader(*Server.Memory, unsentBytes()))
    return;
  ++Server.Memory->ReadersEnded;
  close();
}

void ServerConnection::send(int status, HttpFields &fields,
                            std::string_view body) {
  addFraming(fields);
  fields.push_back({"Content-Length", std::to_string(body.size())});
  std::string out = statusLine(status);
  appendFields(out, fields);
  if (!IsHead)
    out += body;
  write(out);
  endAnswer();
}

void ServerConnection::begin(int status, HttpFields &fields) {
  IsChunked = CanChunk;
  CloseAfter = CloseAfter || !CanChunk;
  addFraming(fields);
  if (IsChunked)
    fields.push_back({"Transfer-Encoding", "chunked"});
  else
    // Only an orderly end of the connection marks such an answer as whole.
    setResetOnClose(true);
  std::string out = statusLine(status);
  appendFields(out, fields);
  write(out);
}

void ServerConnection::sendPiece(std::string_view piece) {
  if (piece.empty())
    return;
  if (!IsChunked)
    return write(piece);
  std::array<char, 24> size{};
  int n = std::snprintf(size.data(), size.size(), "%zx\r\n", piece.size());
  std::string out(size.data(), static_cast<std::size_t>(n));
  out += piece;
  out += "\r\n";
  write(out);
}

void ServerConnection::endAnswer() {
  if (IsClosed)
    return;
  if (IsChunked)
    write("0\r\n\r\n");
  if (IsClosed)
    return;
  IsChunked = false;
  InProgress = false;
  HasBegunRequest = false;
  OnDisconnect = nullptr;
  OnDrained = nullptr;
  if (CloseAfter) {
    // The timeout closes the connection of a caller that does not read its
    // answer.
    startTimeout(Server.Limits.IdleTimeout);
    return closeIfWritten();
  }
  startTimeout(Server.idleTimeout());
  read();
}

} // namespace detail

HttpReply::HttpReply(std::weak_ptr<detail::ServerConnection> connection)
    : Connection(std::move(connection)) {}

bool HttpReply::isOpen() const { return !Connection.expired(); }

std::size_t HttpReply::unsentBytes() const {
  auto it = Connection.lock();
  return it ? it->unsentBytes() : 0;
}

void HttpReply::onDrained(std::function<void()> callback) {
  if (auto it = Connection.lock())
    it->OnDrained = std::move(callback);
}

void HttpReply::onDisconnect(std::function<void()> callback) {
  if (auto it = Connection.lock())
    it->OnDisconnect = std::move(callback);
}

void HttpReply::sendWhole(int status, HttpFields fields,
                          std::string_view body) {
  if (auto it = Connection.lock())
    it->send(status, fields, body);
  Connection.reset();
}

void HttpReply::begin(int status, HttpFields fields) {
  if (auto it = Connection.lock())
    it->begin(status, fields);
}

void HttpReply::sendPiece(std::string_view piece) {
  if (auto it = Connection.lock())
    it->sendPiece(piece);
}

void HttpReply::end() {
  if (auto it = Connection.lock())
    it->endAnswer();
  Connection.reset();
}

void HttpReply::abort() {
  if (auto it = Connection.lock()) {
    it->OnDisconnect = nullptr;
    it->close();
  }
  Connection.reset();
}

namespace {

void addConnection(detail::ServerState &server, evutil_socket_t fd) {
  if (std::cmp_greater_equal(server.Open.size(),
                             server.Limits.MaxConnections)) {
    evutil_closesocket(fd);
    return;
  }
  auto connection = std::make_shared<detail::ServerConnection>(server, fd);
  server.Open.emplace(connection.get(), connection);
}

void onAccept(evconnlistener *, evutil_socket_t fd, sockaddr *, int,
              void *arg) {
  addConnection(*static_cast<detail::ServerState *>(arg), fd);
}

} // namespace

HttpListener::HttpListener(event_base *loop, HttpServerLimits limits,
                           Handler handler)
    : S(std::make_unique<detail::ServerState>()) {
  S->Loop = loop;
  S->Limits = limits;
  S->Handle = std::move(handler);
}

HttpListener::~HttpListener() {
  if (S->Listener)
    evconnlistener_free(S->Listener);
  auto open = std::move(S->Open);
  S->Open.clear();
}

Result<void> HttpListener::listen(const Address &address) {
  sockaddr_storage name{};
  int size = sizeof(name);
  if (evutil_parse_sockaddr_port(address.Value.c_str(),
                                 reinterpret_cast<sockaddr *>(&name),
                                 &size) != 0)
    return fail(ErrorKind::BadSettings, "not an address: " + address.Value);
  S->Listener = evconnlistener_new_bind(
      S->Loop, onAccept, S.get(),
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
      ListenBacklog, reinterpret_cast<sockaddr *>(&name), size);
  if (!S->Listener)
    return fail(ErrorKind::LinkDown,
                "can't listen on " + address.Value + ": " +
                    evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
  return {};
}

void HttpListener::setLimits(const HttpServerLimits &limits) {
  S->Limits = limits;
}

void HttpListener::boundMemory(BufferMemory &memory, BodyRefusal refuse) {
  S->Memory = &memory;
  S->RefuseBody = std::move(refuse);
}

void HttpListener::drain(std::chrono::milliseconds linger) {
  S->Draining = true;
  S->Linger = linger;
  for (auto &[raw, connection] : S->Open)
    if (connection->isIdle())
      connection->startTimeout(linger);
}

// The kernel resets the connections that wait to be accepted when the socket
// is closed, with the requests that may have arrived on them.
void HttpListener::stopAccepting() {
  if (!S->Listener)
    return;
  evutil_socket_t listener = evconnlistener_get_fd(S->Listener);
  for (int i = 0; i < ListenBacklog; ++i) {
    int fd = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0)
      break;
    addConnection(*S, fd);
  }
  evconnlistener_free(std::exchange(S->Listener, nullptr));
}

std::size_t HttpListener::connections() const { return S->Open.size(); }

} // namespace greengagespar
