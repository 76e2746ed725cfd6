/// \file
/// The rank agent: the process beside the server of one rank of a group in
/// direct mode. It runs on the server's host, so that the state and counts that
/// it reads are fresh. It carries out the orders of map switches at its server
/// and sends the state, the counts and reports on the orders to the entries. No
/// request passes through it. Not thread safe: belongs to the thread of its
/// loop.
///
/// The agent handles the messages of a map switch as follows (rank_server.h
/// describes the whole switch):
/// - It ignores an order of another epoch of the group. decideRank refuses an
///   order with a lower ballot than the promised one, or one for an earlier
///   incarnation of this process, so that delayed orders have no effect.
/// - An accepted order becomes a task (RankWork). The agent sends orders to the
///   server and reads the state back until the task is done or refused, and
///   then reports to the sender of the order.
/// - An agent that restarts has lost its promises and tasks. It reads the
///   server's state and refuses orders until a settlement has reached it.
/// - An armed rank without an outcome requests a settlement from all entries,
///   since its driver may have died.
#ifndef GREENGAGESPAR_DIRECT_RANK_AGENT_H
#define GREENGAGESPAR_DIRECT_RANK_AGENT_H

#include "greengagespar/base/schema.h"
#include "greengagespar/base/timer.h"
#include "greengagespar/direct/map_messages.h"
#include "greengagespar/direct/metrics_listener.h"
#include "greengagespar/direct/rank_server_client.h"
#include "greengagespar/group/rank.h"
#include "greengagespar/link/link.h"
#include "greengagespar/report/metrics.h"
#include <map>

namespace greengagespar {

/// The settings of a rank agent from its settings file. Plain value.
struct RankAgentSettings {
  HostId Name;     ///< Unique among all processes.
  Address Link;    ///< Address that entries connect to.
  Address Server;  ///< The rank's server on this host; empty: none.
  Address Metrics; ///< Address that serves the metrics; empty: none.
  /// Log lines per second; the process counts further ones and discards them.
  int LogLinesPerSecond = 200;
};

/// Returns the schema of the settings. Thread safe.
const Schema<RankAgentSettings> &rankAgentSettingsSchema();

/// Returns default values, and example values for required keys. Thread safe.
RankAgentSettings defaultRankAgentSettings();

/// The agent of one process.
class RankAgent {
public:
  /// Precondition: all arguments outlive the agent.
  RankAgent(event_base *loop, zmq::context_t &context,
            const RankAgentSettings &settings, const RankDialect &dialect);

  /// Binds the link's address and starts to read the rank's state. Fails when
  /// the address can't be bound.
  Result<void> start();
  /// Ends the loop. An order in progress is left to the next process of this
  /// rank.
  void leave();
  /// Applies the settings that may change while the process runs: the server's
  /// address.
  void reload(const RankAgentSettings &settings);

private:
  /// An entry that has recently requested the state.
  struct Watcher {
    PeerId At;
    Clock::time_point RequestedAt;
    /// The server's counts at the last answer with counts; empty: there was
    /// none.
    std::vector<std::uint64_t> CountsSent;
  };

  void onEnvelope(const PeerId &from, const wire::Envelope &envelope);
  void answerState(const PeerId &to, const wire::RankAsk &ask);
  void sendState(const PeerId &to, const wire::RankAsk &ask,
                 const std::vector<std::uint64_t> &counts,
                 const std::vector<std::vector<Expert>> &places);
  Watcher *watcherAt(const PeerId &at);
  std::vector<std::uint64_t>
  newCountsFor(const PeerId &to, const std::vector<std::uint64_t> &counts);
  void handleMapOrder(const PeerId &from, const wire::MapOrder &message);
  Result<void> logIgnoredArm(const MapOrder &order) const;
  void handleResume(const wire::MapResume &message);
  void checkHoldTimeout(Clock::time_point now);
  void readOwnPlaces();
  void readExpertCount();
  void poll();
  void readState(std::function<void()> done);
  void handleState(const RankServerState &state);
  void performActions(const std::vector<RankAction> &actions);
  void logReport(const RankReport &report) const;
  void sendReport(const RankReport &report);
  void startWork(const MapOrder &order);
  void continueWork();
  void sendServerOrder(const RankServerOrder &order);
  void endWork(bool refused);
  std::string renderMetrics();
  void fillState(wire::RankState &out) const;
  void notifyWatchers(bool wantsSettlement);

  event_base *Loop;
  RankAgentSettings Settings;
  LinkIdentity Self;
  Metrics Counters;
  MetricsListener MetricsExporter;
  LinkServer Link;
  RankServerClient Client;
  std::optional<RankServerState> Server; ///< As it was last read.
  bool IsFresh = false;                  ///< The last read succeeded.
  Clock::time_point ReadAt{}; ///< When the read that gave Server was begun.
  std::optional<RankState> Switch;      ///< Set once the server was in a group.
  std::optional<RankWork> Work;         ///< The task in progress; empty: none.
  std::map<MapNumber, RankPlaces> Maps; ///< Received in orders to prepare.
  /// The latest map that the server has accepted to prepare. It may still be
  /// copying weights.
  MapNumber PreparingMap;
  RankHistory History;
  std::map<Ballot, PeerId> Requesters; ///< The entry that uses each ballot.
  std::vector<Watcher> Watchers;
  Clock::time_point NotifiedAt{}; ///< When all watchers were last notified.
  /// This rank's experts, layer by layer.
  std::vector<std::vector<Expert>> OwnPlaces;
  MapNumber OwnPlacesMap;          ///< The map that OwnPlaces was read for.
  std::size_t ExpertsPerLayer = 0; ///< Zero: not known yet.
  bool IsFirstRead = true;         ///< No state has been read yet.
  ArmedMap LastArm; ///< Map and highest step of the orders to arm so far.
  /// Since when the server holds a step without an armed map; empty: it does
  /// not.
  std::optional<Clock::time_point> UnarmedHoldSince;
  bool IsPolling = false;
  Timer Poll;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_DIRECT_RANK_AGENT_H
