/// \file
/// The answer to one caller's request: whole or streamed, and what is known of
/// the caller's connection. Not thread safe: used from the loop's thread only.
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

/// Owns the answer to one evhttp request from its arrival on.
class CallerReply {
public:
  /// Takes over \p request.
  explicit CallerReply(evhttp_request *request);
  /// Cuts the connection when the answer was not completed.
  ~CallerReply();
  CallerReply(const CallerReply &) = delete;
  CallerReply &operator=(const CallerReply &) = delete;

  /// Sends a whole answer. Does nothing when the caller has gone.
  void sendWhole(int status, std::string_view contentType,
                 std::string_view body,
                 const std::vector<HttpHeader> &headers = {});

  /// Starts a chunked answer with status 200.
  void beginStream(std::string_view contentType);
  /// Sends a part of a chunked answer. Parts that come while the caller has not
  /// taken the one before leave together as one chunk, so that what waits takes
  /// little more memory than its bytes.
  void sendPart(std::string_view data);
  /// Ends a chunked answer, so that the caller knows it is whole. It is over
  /// once the caller has taken it.
  void endStream();
  /// Whether nothing is left to be sent.
  bool isOver() const { return !Connection; }

  /// Closes the connection without an end, so that what was sent can't pass
  /// for a whole answer.
  void cut();

  /// Whether the caller closed its connection. Asks the socket, since evhttp
  /// does not read while an answer is under way.
  bool hasGone() const;
  /// Whether a chunked answer has begun.
  bool isStreaming() const { return Streaming; }
  /// Bytes that the caller has not taken yet.
  std::size_t waitingBytes() const;
  /// How long bytes have waited without the caller taking any, as seen by the
  /// calls of this function; to be called regularly.
  std::chrono::milliseconds stalledFor(Clock::time_point now);

private:
  static void onClose(evhttp_connection *, void *self);
  static void onPartTaken(evhttp_connection *, void *self);
  std::size_t outputBytes() const;
  void sendWaitingParts();
  void finishStream();
  void release();

  evhttp_request *Request;
  evhttp_connection *Connection;
  bool Streaming = false;
  bool IsPartUnderWay = false;
  bool IsEnding = false;      ///< The stream ends once its parts are taken.
  std::string WaitingParts;   ///< Parts that follow the one under way.
  std::size_t LastOutput = 0; ///< Bytes of output when it was last looked at.
  Clock::time_point LastTaken =
      Clock::now(); ///< When that last became less, or was none.
};

} // namespace greengagespar

#endif // GREENGAGESPAR_ENTRY_CALLER_REPLY_H
