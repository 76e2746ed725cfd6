/// \file
/// Calls of one rank's server. They are made one at a time, in order. Not
/// thread safe: belongs to the thread of its loop.
#ifndef GREENGAGESPAR_DIRECT_RANK_SERVER_CLIENT_H
#define GREENGAGESPAR_DIRECT_RANK_SERVER_CLIENT_H

#include "greengagespar/direct/rank_server.h"
#include "greengagespar/http/client.h"
#include "greengagespar/store/timer.h"
#include <deque>
#include <functional>
#include <memory>

namespace greengagespar {

/// How long a call may take. A server on the same host answers in a few ms; an
/// order without an answer by then is looked for in the server's state.
inline constexpr std::chrono::milliseconds RankCallTimeout{100};

/// The calls. Destroying it drops those that wait, without calling back.
class RankServerClient {
public:
  /// Preconditions: \p loop and \p dialect outlive the client.
  RankServerClient(event_base *loop, Address server,
                   const RankDialect &dialect);

  /// Calls another server from now on.
  void setServer(const Address &server);
  const Address &server() const { return Server; }
  /// The name of an order, for metrics.
  std::string_view nameOf(ServerMapOrder order) const {
    return Dialect.OrderName(order);
  }

  /// Reads the state; empty when it can't be read.
  void
  readState(std::function<void(const std::optional<RankServerState> &)> done);
  /// Reads the counts of all layers. \p done is left out, after a log line,
  /// when they can't be read.
  void readCounts(std::function<void(const std::vector<std::uint64_t> &)> done);
  /// Reads this rank's experts in the map in use. \p done is left out, after a
  /// log line, when they can't be read.
  void readPlaces(
      std::function<void(const std::vector<std::vector<Expert>> &)> done);
  /// Gives an order; \p places is used by Prepare. \p done hears whether the
  /// server said that it took the order; otherwise it may still come late.
  void give(const RankServerOrder &order, const RankPlaces &places,
            std::function<void(bool isTaken)> done);

private:
  struct Call {
    std::string Text;
    std::function<void(int status, std::string body)> Done;
  };

  void get(const std::string &target,
           std::function<void(int, std::string)> done);
  void add(Call call);
  void startNext();
  void end(int status);

  event_base *Loop;
  Address Server;
  const RankDialect &Dialect;
  std::unique_ptr<HttpClientConnection> Connection;
  std::deque<Call> Calls;
  std::string Body;
  int Status = 0;
  bool IsCalling = false;
  Timer Limit;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_DIRECT_RANK_SERVER_CLIENT_H
