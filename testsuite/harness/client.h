/// \file
/// Blocking clients for tests: complete HTTP calls, and raw TCP connections
/// that send malformed input. Not thread safe.
#ifndef GREENGAGESPAR_HARNESS_CLIENT_H
#define GREENGAGESPAR_HARNESS_CLIENT_H

#include "greengagespar/load/http_client.h"
#include "process.h"

#include <boost/json.hpp>
#include <string>
#include <string_view>

namespace greengagespar::harness {

using load::Header;
using load::HttpAnswer;
using load::HttpEnd;
using load::HttpRequest;

/// An event loop that the test owns and runs.
class Loop {
public:
  Loop();
  ~Loop();
  Loop(const Loop &) = delete;
  Loop &operator=(const Loop &) = delete;

  /// Returns the libevent loop, which this object owns.
  event_base *base() { return Base; }

  /// Runs the loop until \p condition holds or \p timeout has passed. Returns
  /// whether the condition held.
  bool runUntil(const std::function<bool()> &condition,
                std::chrono::milliseconds timeout = DefaultTimeout);

private:
  event_base *Base = nullptr;
};

/// Sends one request and waits until its answer has ended or its timeout has
/// passed. The status is 0 when no answer began. \p onPart, if set, receives
/// each part of a body with status 200.
HttpAnswer call(const Address &server, const HttpRequest &request,
                load::OnPart onPart = nullptr);

/// Sends GET \p target and waits for the answer.
HttpAnswer get(const Address &server, const std::string &target);

/// Sends a request with a JSON body and waits for the answer.
HttpAnswer sendJson(const Address &server, const std::string &method,
                    const std::string &target, const boost::json::value &body);

/// Parses an answer's body. Returns null when it isn't JSON.
boost::json::value jsonOf(const HttpAnswer &answer);

/// A TCP connection that sends and receives plain bytes.
class RawConnection {
public:
  /// A receive buffer size in bytes for which the kernel uses its minimum.
  static constexpr int SmallestReceiveBuffer = 1;

  /// Connects. \p receiveBuffer is about how many unread bytes the kernel
  /// buffers; 0 keeps the kernel's default. Throws std::runtime_error when the
  /// connection fails.
  explicit RawConnection(const Address &server, int receiveBuffer = 0);
  ~RawConnection();
  RawConnection(const RawConnection &) = delete;
  RawConnection &operator=(const RawConnection &) = delete;

  /// Sends all bytes. Returns false when the other end has closed the
  /// connection or has accepted no bytes for two seconds.
  bool send(std::string_view bytes);

  /// Reads until the other end closes the connection, the text contains
  /// \p enough, or \p timeout has passed. An empty \p enough never matches.
  /// Returns the text.
  std::string readUntil(std::string_view enough,
                        std::chrono::milliseconds timeout = DefaultTimeout);

  /// Reads until the other end closes the connection. Returns whether it did so
  /// within \p timeout.
  bool waitForClose(std::chrono::milliseconds timeout = DefaultTimeout);

  /// Closes the connection at once, with a TCP reset if \p reset is set.
  void close(bool reset = false);

private:
  int Fd = -1;
};

} // namespace greengagespar::harness

#endif // GREENGAGESPAR_HARNESS_CLIENT_H
