/// \file
/// Blocking clients for tests: whole HTTP calls, and raw connections for bad
/// input. Not thread safe.
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

/// An event loop of the test's own.
class Loop {
public:
  Loop();
  ~Loop();
  Loop(const Loop &) = delete;
  Loop &operator=(const Loop &) = delete;

  /// Returns the loop for libevent.
  event_base *base() { return Base; }

  /// Runs until \p condition holds or \p patience has passed. Returns whether
  /// it held.
  bool runUntil(const std::function<bool()> &condition,
                std::chrono::milliseconds patience = Patience);

private:
  event_base *Base = nullptr;
};

/// Sends one request and waits for the end of its answer.
HttpAnswer call(const Address &server, const HttpRequest &request,
                load::OnPart onPart = nullptr);

/// Sends GET \p target.
HttpAnswer get(const Address &server, const std::string &target);

/// Sends a JSON body.
HttpAnswer sendJson(const Address &server, const std::string &method,
                    const std::string &target, const boost::json::value &body);

/// Parses an answer's body; null when it is no JSON.
boost::json::value jsonOf(const HttpAnswer &answer);

/// A TCP connection without any protocol.
class RawConnection {
public:
  /// The smallest receive buffer that the kernel gives, in bytes.
  static constexpr int SmallWindow = 1;

  /// Connects; with \p receiveBuffer over 0 the kernel keeps about so many
  /// bytes that nobody reads. Throws std::runtime_error when it can't.
  explicit RawConnection(const Address &server, int receiveBuffer = 0);
  ~RawConnection();
  RawConnection(const RawConnection &) = delete;
  RawConnection &operator=(const RawConnection &) = delete;

  /// Sends all bytes. Returns false when the other end has closed or has taken
  /// nothing for two seconds.
  bool send(std::string_view bytes);

  /// Reads until the other end closes, \p enough is in the text, or
  /// \p patience has passed.
  std::string readUntil(std::string_view enough,
                        std::chrono::milliseconds patience = Patience);

  /// Reads until the other end closes. Returns whether it closed in time.
  bool closedByServer(std::chrono::milliseconds patience = Patience);

  /// Closes at once; with \p reset by a TCP reset.
  void close(bool reset = false);

private:
  int Fd = -1;
};

} // namespace greengagespar::harness

#endif // GREENGAGESPAR_HARNESS_CLIENT_H
