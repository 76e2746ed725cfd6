#include "server_connection.h"

#include <array>
#include <cstdio>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace greengagespar::detail {

namespace {

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

} // namespace greengagespar::detail
