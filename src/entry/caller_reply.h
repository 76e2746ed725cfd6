/// \file
/// The answer to one caller's request, whole or streamed, and the state of the
/// caller's connection. Not thread safe: used from the loop's thread only.
#ifndef GREENGAGESPAR_ENTRY_CALLER_REPLY_H
#define GREENGAGESPAR_ENTRY_CALLER_REPLY_H

#include "greengagespar/base/clock.h"
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

struct evhttp_connection;
struct evhttp_request;

namespace greengagespar {

/// One header of an answer.
struct HttpHeader {
  std::string Name;
  std::string Value;
};

/// Owns the answer to one evhttp request from the request's arrival on.
class CallerReply {
public:
  /// Takes over \p request, which must have a connection.
  explicit CallerReply(evhttp_request *request);
  /// Closes the connection when the answer was not completed.
  ~CallerReply();
  CallerReply(const CallerReply &) = delete;
  CallerReply &operator=(const CallerReply &) = delete;

  /// Sends a whole answer. Does nothing when the connection is closed.
  void sendWhole(int status, std::string_view contentType,
                 std::string_view body,
                 const std::vector<HttpHeader> &headers = {});

  /// Starts a chunked answer with status 200.
  void beginStream(std::string_view contentType);
  /// Sends a part of a chunked answer. While the socket has not accepted the
  /// previous part, further parts are queued and then sent together as one
  /// chunk, so that queued parts need little more memory than their bytes.
  void sendPart(std::string_view data);
  /// Ends a chunked answer, so that the caller knows that it is complete.
  /// isOver() becomes true once the socket has accepted all parts.
  void endStream();
  /// Returns whether nothing is left to be sent: the answer was handed to
  /// evhttp or the connection is closed.
  bool isOver() const { return !Connection; }

  /// Closes the connection without ending the answer, so that a caller can't
  /// mistake what was sent for a whole answer.
  void cut();

  /// Returns whether the caller closed its connection. Reads the state from the
  /// socket, because evhttp does not read while an answer is being sent.
  bool hasDisconnected() const;
  /// Returns whether a chunked answer has begun.
  bool isStreaming() const { return Streaming; }
  /// Returns the number of bytes that the socket has not accepted yet.
  std::size_t unsentBytes() const;
  /// Returns for how long bytes have waited while the socket accepted none. The
  /// time is measured between calls of this function, so call it regularly.
  std::chrono::milliseconds stalledFor(Clock::time_point now);

private:
  static void onClose(evhttp_connection *, void *self);
  static void onPartWritten(evhttp_connection *, void *self);
  std::size_t outputBytes() const;
  void sendQueuedParts();
  void finishStream();
  void detach();

  evhttp_request *Request;
  evhttp_connection *Connection;
  bool Streaming = false;
  bool IsPartInFlight = false;
  bool IsEnding = false;   ///< The stream ends once its parts are sent.
  std::string QueuedParts; ///< Parts to send after the one in flight.
  /// Bytes of output at the latest call of stalledFor().
  std::size_t LastOutputBytes = 0;
  /// When stalledFor() last found fewer bytes of output than before, or none.
  Clock::time_point LastProgressAt = Clock::now();
};

} // namespace greengagespar

#endif // GREENGAGESPAR_ENTRY_CALLER_REPLY_H
