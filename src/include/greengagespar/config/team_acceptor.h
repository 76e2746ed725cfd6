/// \file
/// Accepts teams' settings: validates them, stores the accepted form, writes
/// the next index by a conditional update, and writes each team's status.
#ifndef GREENGAGESPAR_CONFIG_TEAM_ACCEPTOR_H
#define GREENGAGESPAR_CONFIG_TEAM_ACCEPTOR_H

#include "greengagespar/base/clock.h"
#include "greengagespar/base/timer.h"
#include "greengagespar/config/platform_reader.h"
#include "greengagespar/config/team_mirror.h"
#include "greengagespar/contract/accept.h"
#include "greengagespar/store/settle_put.h"
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>

namespace greengagespar {

/// Options of TeamAcceptor.
struct TeamAcceptorOptions {
  /// An acceptor waits this long for each acceptor that precedes it in the
  /// order of the team, so that normally only the first one writes.
  std::chrono::milliseconds TurnDelay{400};
  /// Delays after a write that failed or whose outcome is unknown.
  BackoffOptions Retry{std::chrono::milliseconds(200),
                       std::chrono::milliseconds(20000)};
  std::uint64_t Seed = 1; ///< Seed of the random delays.
};

/// Callbacks to the owner of a TeamAcceptor.
struct TeamAcceptorHooks {
  /// Called when this acceptor has written or read a newer index.
  std::function<void(const IndexObject &)> OnIndex;
  /// Returns this process's position among the acceptors for a team. The
  /// acceptor at position n waits n times TurnDelay before it evaluates the
  /// team. If the function is empty, the position is 0.
  std::function<std::size_t(const TeamId &)> Turn;
  /// Returns the highest generation that this process knows of. An acceptance
  /// gets a higher one even if the platform was restored and its index has gone
  /// back. Empty: the index alone decides.
  std::function<Generation()> HighestKnown;
};

/// Accepts settings, one team at a time. Several processes may run an acceptor:
/// the conditional update of the index decides which one succeeds. Not thread
/// safe: used on the thread of its loop only.
class TeamAcceptor {
public:
  /// Precondition: \p loop and \p client outlive the acceptor.
  TeamAcceptor(event_base *loop, ObjectClient &client,
               TeamAcceptorOptions options, TeamAcceptorHooks hooks);

  /// Handles a change under TeamsPrefix that a watch reported.
  void teamsChanged(const PrefixChange &change);
  /// Handles an index that a watch reported or that was read. Ignores it unless
  /// it is newer than the known one.
  void indexReceived(const IndexObject &index);

private:
  /// An update of the index in progress.
  struct Update {
    TeamId Team;
    AcceptDecision Decision;
    ObjectVersion Base;    ///< Version of the index that the decision used.
    AcceptedTeam Replaced; ///< The team in that index; generation 0: none.
  };

  void markDirty(const TeamId &team, Clock::duration delay);
  void schedule();
  void processDirtyTeams();
  void evaluate(const TeamId &team);
  AcceptedTeam acceptedOf(const TeamId &team) const;
  void store(const Update &update, const TeamContract &contract);
  void writeNextIndex(const Update &update);
  void handleIndexWrite(const Update &update, const PutOutcome &outcome);
  void removeReplaced(const Update &update);
  void refreshIndex();
  void retryTeam(const TeamId &team);
  void writeStatus(const TeamId &team, const AcceptDecision &decision);
  Clock::duration turnDelay(const TeamId &team) const;

  ObjectClient &Client;
  TeamAcceptorOptions Options;
  TeamAcceptorHooks Hooks;
  SettledWriter Writer;
  PlatformReader Reader;
  Timer Wake;
  TeamMirror Mirror;
  std::optional<IndexObject> KnownIndex; ///< Newest index received or written.
  /// When to evaluate each changed team.
  std::map<TeamId, Clock::time_point> Dirty;
  /// Teams whose settings were refused. They are evaluated again when the index
  /// changes, since another team may have released a name that they claim.
  std::set<TeamId> Refused;
  /// Whether an update of the index is in progress.
  bool UpdateInProgress = false;
  Backoff Delay;
  std::mt19937_64 Rng;
  Guard CallbackGuard;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_CONFIG_TEAM_ACCEPTOR_H
