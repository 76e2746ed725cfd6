/// \file
/// The process beside one rank of a group in direct mode: reads the rank's
/// state and counts where they are fresh, carries out the orders of map
/// switches at its server, and tells both to the entries. It is not on any
/// request's way. Not thread safe: belongs to the thread of its loop.
#ifndef GREENGAGESPAR_DIRECT_RANK_AGENT_H
#define GREENGAGESPAR_DIRECT_RANK_AGENT_H

#include "greengagespar/base/schema.h"
#include "greengagespar/direct/map_messages.h"
#include "greengagespar/direct/metrics_edge.h"
#include "greengagespar/direct/rank_server_client.h"
#include "greengagespar/group/rank.h"
#include "greengagespar/link/link.h"
#include "greengagespar/report/metrics.h"
#include "greengagespar/store/timer.h"
#include <map>

namespace greengagespar {

/// What a rank's process learns from its settings file. Plain value.
struct RankAgentSettings {
  HostId Name;     ///< Unique among all processes.
  Address Link;    ///< For links from entries.
  Address Server;  ///< The rank's server on this host; empty: none.
  Address Metrics; ///< For readers of metrics; empty: none.
  int LogLinesPerSecond = 200;
};

/// Returns the table of the settings. Thread safe.
const Schema<RankAgentSettings> &rankAgentSettingsSchema();

/// Returns default values, and example values for required keys. Thread safe.
RankAgentSettings defaultRankAgentSettings();

/// The process.
class RankAgent {
public:
  /// Precondition: all arguments outlive the agent.
  RankAgent(event_base *loop, zmq::context_t &context,
            const RankAgentSettings &settings, const RankDialect &dialect);

  /// Listens and begins to read the rank's state.
  Result<void> start();
  /// Ends the loop. An order in progress is left to the next process.
  void leave();
  /// Takes the settings that may change while the process runs: the server.
  void reload(const RankAgentSettings &settings);

private:
  /// An entry that asked for the state lately.
  struct Watcher {
    PeerId At;
    Clock::time_point AskedAt;
  };

  void onEnvelope(const PeerId &from, const wire::Envelope &envelope);
  void answerState(const PeerId &to, const wire::RankAsk &ask);
  void sendState(const PeerId &to, const std::vector<std::uint64_t> &counts,
                 const std::vector<std::vector<Expert>> &places);
  void takeMapOrder(const PeerId &from, const wire::MapOrder &message);
  Result<void> passOver(const MapOrder &order) const;
  void takeResume(const wire::MapResume &message);
  void reviewHold(Clock::time_point now);
  void readOwnPlaces();
  void readExperts();
  void poll();
  void readState(std::function<void()> done);
  void takeState(const RankServerState &state);
  void act(const std::vector<RankAction> &actions);
  void sendReport(const RankReport &report);
  void startWork(const MapOrder &order);
  void stepWork();
  void giveOrder(const RankServerOrder &order);
  void endWork(bool refused);
  std::string renderMetrics();
  void fillState(wire::RankState &out) const;
  void tellWatchers(bool wantsSettlement);

  event_base *Loop;
  RankAgentSettings Settings;
  LinkIdentity Self;
  Metrics Numbers;
  MetricsEdge MetricsAddress;
  LinkServer Link;
  RankServerClient Calls;
  std::optional<RankServerState> Server; ///< As it was last read.
  bool IsFresh = false;                  ///< The last read succeeded.
  std::optional<RankState> Switch;       ///< Set while the rank is in a group.
  std::optional<RankWork> Work;
  std::map<MapNumber, RankPlaces> Maps; ///< Of orders to prepare.
  MapNumber PrepareSent; ///< Accepted by the server, weights on their way.
  RankDeeds Deeds;
  std::map<Ballot, PeerId> Askers; ///< Who uses a ballot.
  std::vector<Watcher> Watchers;
  std::vector<std::vector<Expert>> OwnPlaces; ///< In the map in use.
  MapNumber OwnPlacesOf;
  std::size_t Experts = 0; ///< Of each layer.
  bool IsFirstRead = true;
  ArmedMap LastArm; ///< Of the latest order to arm.
  std::optional<Clock::time_point> HeldSince;
  bool IsPolling = false;
  Timer Poll;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_DIRECT_RANK_AGENT_H
