/// \file
/// The HTTP client of one rank's server. It sends its calls one at a time, in
/// order. Not thread safe: belongs to the thread of its loop.
///
/// A server may send an answer once more, where that to a later call is due,
/// and nothing in the answers tells to which call they belong. Only the first
/// answer on a connection certainly belongs to its call. Therefore:
/// - An order to prepare a map has a new connection: its answer decides, among
///   others, whether a rank counts as fenced. No decision depends on the
///   answers to other orders.
/// - A state of before one already read is not taken. The client leaves the
///   connection, as after any answer that can't be the one that is due, and
///   reads again on a new one.
#ifndef GREENGAGESPAR_DIRECT_RANK_SERVER_CLIENT_H
#define GREENGAGESPAR_DIRECT_RANK_SERVER_CLIENT_H

#include "greengagespar/base/timer.h"
#include "greengagespar/direct/rank_server.h"
#include "greengagespar/http/client.h"
#include <deque>
#include <functional>
#include <memory>

namespace greengagespar {

/// Longest duration of a call. A server on the same host answers in a few ms.
/// After an order without an answer by then, the caller reads from the server's
/// state whether the server has carried it out.
inline constexpr std::chrono::milliseconds RankCallTimeout{100};

/// The client. Destroying it discards the waiting calls without calling back.
class RankServerClient {
public:
  /// Preconditions: \p loop and \p dialect outlive the client.
  RankServerClient(event_base *loop, Address server,
                   const RankDialect &dialect);

  /// Sends all further calls to another server.
  void setServer(const Address &server);
  /// The server that is called.
  const Address &server() const { return Server; }
  /// Returns the name of an order, for metrics.
  std::string_view nameOf(ServerMapOrder order) const {
    return Dialect.OrderName(order);
  }

  /// Reads the server's state and passes it to \p done; empty when it can't be
  /// read.
  void
  readState(std::function<void(const std::optional<RankServerState> &)> done);
  /// Reads how often each expert was chosen, layer by layer. When the counts
  /// can't be read, logs that and does not call \p done.
  void readCounts(std::function<void(const std::vector<std::uint64_t> &)> done);
  /// Reads this rank's experts in the map in use, layer by layer. When they
  /// can't be read, logs that and does not call \p done.
  void readPlaces(
      std::function<void(const std::vector<std::vector<Expert>> &)> done);
  /// Sends an order. \p places: the map; used by Prepare only. \p done receives
  /// whether the server confirmed that it accepted the order; if not, the
  /// server may still carry it out later.
  void sendOrder(const RankServerOrder &order, const RankPlaces &places,
                 std::function<void(bool isAccepted)> done);

private:
  /// One call, waiting or in progress.
  struct Call {
    std::string Text; ///< The whole HTTP request.
    bool NeedsNewConnection = false;
    /// Receives the answer. \p status: HTTP status; 0: no complete answer in
    /// time. Returns false, and does nothing, when the answer belongs to
    /// another call; ignored if \p isCertain.
    std::function<bool(int status, std::string body, bool isCertain)> Take;
  };

  bool canCarry(const Call &call) const;
  void get(const std::string &target,
           std::function<bool(int, std::string, bool)> take);
  void enqueue(Call call);
  void startNext();
  void finishCall(int status);

  event_base *Loop;
  Address Server;
  const RankDialect &Dialect;
  std::unique_ptr<HttpClientConnection> Connection;
  std::optional<RankServerState> LastState; ///< As it was last read.
  std::deque<Call> Calls; ///< The first one is in progress if IsCalling.
  std::string Body;       ///< Received so far.
  int Status = 0;         ///< HTTP status; 0: not received yet.
  bool IsCalling = false;
  bool IsCertain = false; ///< The next answer belongs to the call in progress.
  Timer Timeout;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_DIRECT_RANK_SERVER_CLIENT_H
