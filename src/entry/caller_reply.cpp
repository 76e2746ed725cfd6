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

void CallerReply::release() {
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
  release();
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
  WaitingParts.append(data);
  if (!IsPartUnderWay)
    sendWaitingParts();
}

void CallerReply::sendWaitingParts() {
  if (WaitingParts.empty())
    return;
  IsPartUnderWay = true;
  auto *buf = evbuffer_new();
  evbuffer_add(buf, WaitingParts.data(), WaitingParts.size());
  WaitingParts.clear();
  evhttp_send_reply_chunk_with_cb(Request, buf, onPartTaken, this);
  evbuffer_free(buf);
}

// Called by evhttp when the socket has taken all output.
void CallerReply::onPartTaken(evhttp_connection *, void *self) {
  auto *reply = static_cast<CallerReply *>(self);
  reply->IsPartUnderWay = false;
  if (!reply->Request)
    return;
  reply->sendWaitingParts();
  if (reply->IsEnding && !reply->IsPartUnderWay)
    reply->finishStream();
}

void CallerReply::endStream() {
  IsEnding = true;
  if (Request && !IsPartUnderWay)
    finishStream();
}

void CallerReply::finishStream() {
  auto *request = Request;
  release();
  evhttp_send_reply_end(request);
}

void CallerReply::cut() {
  if (!Connection)
    return;
  auto *connection = Connection;
  release();
  evhttp_connection_free(connection);
}

bool CallerReply::hasGone() const {
  if (!Connection)
    return true;
  char byte = 0;
  int fd = bufferevent_getfd(evhttp_connection_get_bufferevent(Connection));
  return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

std::size_t CallerReply::waitingBytes() const {
  return outputBytes() + WaitingParts.size();
}

std::size_t CallerReply::outputBytes() const {
  if (!Connection)
    return 0;
  return evbuffer_get_length(
      bufferevent_get_output(evhttp_connection_get_bufferevent(Connection)));
}

std::chrono::milliseconds CallerReply::stalledFor(Clock::time_point now) {
  std::size_t output = outputBytes();
  if (output == 0 || output < LastOutput)
    LastTaken = now;
  LastOutput = output;
  return std::chrono::duration_cast<std::chrono::milliseconds>(now - LastTaken);
}

} // namespace greengagespar
