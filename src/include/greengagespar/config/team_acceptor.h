/// \file
/// Accepts teams' settings: checks them, stores the accepted form, moves the
/// index on by a conditional update, and writes each team's status.
#ifndef GREENGAGESPAR_CONFIG_TEAM_ACCEPTOR_H
#define GREENGAGESPAR_CONFIG_TEAM_ACCEPTOR_H

#include "greengagespar/base/clock.h"
#include "greengagespar/config/platform_reader.h"
#include "greengagespar/config/team_mirror.h"
#include "greengagespar/contract/accept.h"
#include "greengagespar/store/settle_put.h"
#include "greengagespar/store/timer.h"
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>

namespace greengagespar {

/// How settings are accepted.
struct TeamAcceptorOptions {
  /// An acceptor waits this long for each acceptor before it in the order of
  /// the team, so that as a rule only the first one writes.
  std::chrono::milliseconds TurnDelay{400};
  BackoffOptions Retry{std::chrono::milliseconds(200),
                       std::chrono::milliseconds(20000)};
  std::uint64_t Seed = 1; ///< Of the random delays.
};

/// What the acceptor tells and asks its owner.
struct TeamAcceptorHooks {
  /// A newer index is known: this acceptor wrote it or read it.
  std::function<void(const IndexObject &)> OnIndex;
  /// This process's place in the order in which acceptors act on a team; 0
  /// acts at once. Empty: always 0.
  std::function<std::size_t(const TeamId &)> Turn;
};

/// Accepts settings, one team at a time. Several acceptors may run on several
/// processes: the conditional update of the index decides. Not thread safe:
/// belongs to the thread of its loop.
class TeamAcceptor {
public:
  /// Precondition: \p loop and \p client outlive the acceptor.
  TeamAcceptor(event_base *loop, ObjectClient &client,
               TeamAcceptorOptions options, TeamAcceptorHooks hooks);

  /// Takes in what changed under TeamsPrefix.
  void teamsChanged(const PrefixChange &change);
  /// Takes in an index that a watch showed. Older ones are ignored.
  void indexSeen(const IndexObject &index);

private:
  /// An update of the index in progress.
  struct Update {
    TeamId Team;
    AcceptDecision Decision;
    ObjectVersion Base;    ///< Of the index that the decision was made on.
    AcceptedTeam Replaced; ///< What that index had of the team.
  };

  void markDirty(const TeamId &team, Clock::duration delay);
  void schedule();
  void work();
  void evaluate(const TeamId &team);
  AcceptedTeam acceptedOf(const TeamId &team) const;
  void store(const Update &update, const TeamContract &contract);
  void moveIndex(const Update &update);
  void afterMove(const Update &update, const PutOutcome &outcome);
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
  std::optional<IndexObject> Known;          ///< Newest index seen.
  std::map<TeamId, Clock::time_point> Dirty; ///< Teams and when to look.
  std::set<TeamId> Refused; ///< Looked at again when the index changes.
  bool Busy = false;        ///< An update of the index is in progress.
  Backoff Delay;
  std::mt19937_64 Rng;
  Guard Life;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_CONFIG_TEAM_ACCEPTOR_H
