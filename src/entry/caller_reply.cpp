#include "caller_reply.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <sys/socket.h>

namespace greengagespar {

namespace {

const char *reasonPhrase(int status) { return status < 400 ? "OK" : "Error"; }

} // namespace

CallerReply::CallerReply(evhttp_request *request)
    : Request(request), Connection(evhttp_request_get_connection(request)) {
  evhttp_connection_set_closecb(Connection, onClose, this);
}

CallerReply::~CallerReply() { cut(); }

void CallerReply::onClose(evhttp_connection *, void *self) {
  auto *reply = static_cast<CallerReply *>(self);
  reply->Request = nullptr;
  reply->Connection = nullptr;
}

void CallerReply::detach() {
  evhttp_connection_set_closecb(Connection, nullptr, nullptr);
  Request = nullptr;
  Connection = nullptr;
}

void CallerReply::sendWhole(int status, std::string_view contentType,
                            std::string_view body,
                            const std::vector<HttpHeader> &headers) {
  if (!Request)
    return;
  auto *out = evhttp_request_get_output_headers(Request);
  evhttp_add_header(out, "Content-Type", std::string(contentType).c_str());
  for (const HttpHeader &it : headers)
    evhttp_add_header(out, it.Name.c_str(), it.Value.c_str());
  auto *buf = evbuffer_new();
  evbuffer_add(buf, body.data(), body.size());
  auto *request = Request;
  detach();
  evhttp_send_reply(request, status, reasonPhrase(status), buf);
  evbuffer_free(buf);
}

void CallerReply::beginStream(std::string_view contentType) {
  if (!Request || Streaming)
    return;
  Streaming = true;
  auto *out = evhttp_request_get_output_headers(Request);
  evhttp_add_header(out, "Content-Type", std::string(contentType).c_str());
  evhttp_add_header(out, "Cache-Control", "no-cache");
  evhttp_send_reply_start(Request, 200, "OK");
}

void CallerReply::sendPart(std::string_view data) {
  if (!Request)
    return;
  QueuedParts.append(data);
  if (!IsPartInFlight)
    sendQueuedParts();
}

void CallerReply::sendQueuedParts() {
  if (QueuedParts.empty())
    return;
  IsPartInFlight = true;
  auto *buf = evbuffer_new();
  evbuffer_add(buf, QueuedParts.data(), QueuedParts.size());
  QueuedParts.clear();
  evhttp_send_reply_chunk_with_cb(Request, buf, onPartWritten, this);
  evbuffer_free(buf);
}

// evhttp calls this when the socket has accepted all output.
void CallerReply::onPartWritten(evhttp_connection *, void *self) {
  auto *reply = static_cast<CallerReply *>(self);
  reply->IsPartInFlight = false;
  if (!reply->Request)
    return;
  reply->sendQueuedParts();
  if (reply->IsEnding && !reply->IsPartInFlight)
    reply->finishStream();
}

void CallerReply::endStream() {
  IsEnding = true;
  if (Request && !IsPartInFlight)
    finishStream();
}

void CallerReply::finishStream() {
  auto *request = Request;
  detach();
  evhttp_send_reply_end(request);
}

void CallerReply::cut() {
  if (!Connection)
    return;
  auto *connection = Connection;
  detach();
  evhttp_connection_free(connection);
}

bool CallerReply::hasDisconnected() const {
  if (!Connection)
    return true;
  char byte = 0;
  int fd = bufferevent_getfd(evhttp_connection_get_bufferevent(Connection));
  return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

std::size_t CallerReply::unsentBytes() const {
  return outputBytes() + QueuedParts.size();
}

std::size_t CallerReply::outputBytes() const {
  if (!Connection)
    return 0;
  return evbuffer_get_length(
      bufferevent_get_output(evhttp_connection_get_bufferevent(Connection)));
}

std::chrono::milliseconds CallerReply::stalledFor(Clock::time_point now) {
  std::size_t output = outputBytes();
  if (output == 0 || output < LastOutputBytes)
    LastProgressAt = now;
  LastOutputBytes = output;
  return std::chrono::duration_cast<std::chrono::milliseconds>(now -
                                                               LastProgressAt);
}

} // namespace greengagespar
