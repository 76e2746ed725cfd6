/// \file
/// Carries out the outcome of a map switch at the server of a rank whose own
/// process is silent, so that a frozen process does not hold its group. Not
/// thread safe: belongs to the thread of its loop.
///
/// Only the driver that has decided uses this, for a rank that had promised its
/// ballot: no other outcome can be decided for that map. A process that wakes
/// can do no harm: its late orders find the map in use, or fenced.
#ifndef GREENGAGESPAR_DIRECT_REMOTE_DECISION_H
#define GREENGAGESPAR_DIRECT_REMOTE_DECISION_H

#include "greengagespar/direct/rank_server_client.h"

namespace greengagespar {

/// A rank's process that has told nothing for so long is taken for frozen;
/// one that runs answers each question for counts within a few ms.
inline constexpr std::chrono::milliseconds RankProcessSilent{500};

/// Whether \p order is to be carried out at the server itself, since its rank's
/// process was last heard at \p heardAt. Thread safe.
bool goesToServer(const MapOrder &order, Clock::time_point heardAt,
                  Clock::time_point now);

/// Returns what the rank's process would have told of \p order once it is
/// done, when the server's state is \p state. Thread safe.
RankReport reportOfServer(const MapOrder &order, const RankServerState &state);

/// What is to stand at a server.
struct RemoteGoal {
  MapOrder Order;
  std::uint64_t Epoch = 0; ///< Of the group; in another one nothing is done.
  std::vector<std::vector<Expert>> Own; ///< The rank's experts, by layer.
  std::size_t Experts = 0;              ///< Of each layer.
};

/// One decision at one server.
class RemoteDecision {
public:
  /// What is done when the decision stands at the server. The decision may not
  /// be destroyed from inside it.
  using OnDone = std::function<void(const MapOrder &, const RankServerState &)>;

  /// Begins. \pre The order is to decide; \p loop and \p dialect outlive the
  /// decision.
  RemoteDecision(event_base *loop, const Address &server,
                 const RankDialect &dialect, RemoteGoal goal, OnDone done);

  /// Drops the hold of the cancelled rank. \pre All other ranks of the group
  /// have been cancelled too.
  void resume();
  /// Whether nothing goes on any more.
  bool isIdle() const { return !IsAtWork; }
  const MapOrder &order() const { return Goal.Order; }

private:
  void step();
  void take(const RankServerState &state);

  RemoteGoal Goal;
  OnDone Done;
  RankWork Work;
  bool IsAtWork = true;
  RankServerClient Calls;
  Timer Again;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_DIRECT_REMOTE_DECISION_H
