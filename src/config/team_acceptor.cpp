#include "greengagespar/config/team_acceptor.h"

#include "greengagespar/contract/status.h"
#include <algorithm>
#include <utility>

namespace greengagespar {

namespace {

/// Returns the outcome of a write; an error counts as an unknown outcome.
PutOutcome outcomeOf(Result<PutOutcome> result) {
  return recoverFrom([&] { return std::move(result); },
                     [](const Error &e) {
                       PutOutcome outcome;
                       outcome.Reason = e.Message;
                       return outcome;
                     });
}

bool isSettled(const PutOutcome &outcome) {
  return outcome.State != WriteState::Unknown;
}

std::chrono::milliseconds millisUntil(Clock::time_point at,
                                      Clock::time_point now) {
  auto left = std::chrono::ceil<std::chrono::milliseconds>(at - now);
  return std::max(left, std::chrono::milliseconds::zero());
}

} // namespace

TeamAcceptor::TeamAcceptor(event_base *loop, ObjectClient &client,
                           TeamAcceptorOptions options, TeamAcceptorHooks hooks)
    : Client(client), Options(options), Hooks(std::move(hooks)),
      Writer(loop, client, {.Retry = options.Retry}, options.Seed),
      Reader(client),
      Wake(loop, [this] { processDirtyTeams(); }), Delay{options.Retry},
      Rng(options.Seed) {}

void TeamAcceptor::teamsChanged(const PrefixChange &change) {
  for (const TeamId &team : applyChange(Mirror, change))
    markDirty(team, turnDelay(team));
  schedule();
}

void TeamAcceptor::indexReceived(const IndexObject &index) {
  if (KnownIndex && index.Version <= KnownIndex->Version)
    return;
  KnownIndex = index;
  // Another team may have released a name that a refused team claims.
  for (const TeamId &team : Refused)
    markDirty(team, turnDelay(team));
  schedule();
}

Clock::duration TeamAcceptor::turnDelay(const TeamId &team) const {
  std::size_t turn = Hooks.Turn ? Hooks.Turn(team) : 0;
  return Options.TurnDelay * static_cast<int>(turn);
}

void TeamAcceptor::markDirty(const TeamId &team, Clock::duration delay) {
  Dirty[team] = Clock::now() + delay;
}

void TeamAcceptor::schedule() {
  if (UpdateInProgress || !KnownIndex || Dirty.empty())
    return;
  auto first = std::min_element(
      Dirty.begin(), Dirty.end(),
      [](const auto &a, const auto &b) { return a.second < b.second; });
  Wake.start(millisUntil(first->second, Clock::now()));
}

void TeamAcceptor::processDirtyTeams() {
  Clock::time_point now = Clock::now();
  std::vector<TeamId> ready;
  for (const auto &[team, at] : Dirty)
    if (at <= now)
      ready.push_back(team);
  for (const TeamId &team : ready) {
    if (UpdateInProgress)
      break;
    Dirty.erase(team);
    evaluate(team);
  }
  schedule();
}

void TeamAcceptor::evaluate(const TeamId &team) {
  const TeamObjects &objects = Mirror.Teams[team];
  ParsedTeam parsed = parseTeam(team, settingsOf(objects));
  Index index = KnownIndex->Value;
  if (Hooks.HighestKnown)
    index.At = std::max(index.At, Hooks.HighestKnown());
  AcceptDecision decision =
      acceptTeam(index, team, parsed, Mirror.Revision.Value);
  Refused.erase(team);
  switch (decision.Outcome) {
  case AcceptOutcome::Accepted:
    store({team, decision, KnownIndex->Version, acceptedOf(team)},
          parsed.Contract);
    return;
  case AcceptOutcome::Refused:
    Refused.insert(team);
    writeStatus(team, decision);
    return;
  case AcceptOutcome::Unchanged:
    writeStatus(team, decision);
    return;
  case AcceptOutcome::Older:
    // The watch lags. The changes that it has yet to report mark the team dirty
    // again.
    return;
  }
}

AcceptedTeam TeamAcceptor::acceptedOf(const TeamId &team) const {
  auto it = KnownIndex->Value.Teams.find(team);
  return it == KnownIndex->Value.Teams.end() ? AcceptedTeam{} : it->second;
}

void TeamAcceptor::store(const Update &update, const TeamContract &contract) {
  UpdateInProgress = true;
  IntendedWrite write{acceptedPath(update.Team, update.Decision.Team),
                      writeTeam(contract), ObjectVersion{0}};
  auto done = [this, update](Result<PutOutcome> result) {
    // The path contains the digest of the content, so a conflict means that
    // another acceptor has stored the same content.
    if (isSettled(outcomeOf(std::move(result))))
      writeNextIndex(update);
    else
      retryTeam(update.Team);
  };
  Writer.put(std::move(write), CallbackGuard.wrap(done));
}

void TeamAcceptor::writeNextIndex(const Update &update) {
  IntendedWrite write{IndexPath, writeIndex(update.Decision.Next), update.Base};
  auto done = [this, update](Result<PutOutcome> result) {
    handleIndexWrite(update, outcomeOf(std::move(result)));
  };
  Writer.put(std::move(write), CallbackGuard.wrap(done));
}

void TeamAcceptor::handleIndexWrite(const Update &update,
                                    const PutOutcome &outcome) {
  if (outcome.State != WriteState::Written) {
    // After a conflict, evaluate the team against the new index at once.
    bool raced = outcome.State == WriteState::Conflict;
    markDirty(update.Team,
              raced ? Clock::duration::zero() : nextDelay(Delay, Rng));
    refreshIndex();
    return;
  }
  reset(Delay);
  UpdateInProgress = false;
  IndexObject written{update.Decision.Next, outcome.Version};
  // The watch may have reported this index or a later one before the answer to
  // the write arrived.
  if (written.Version > KnownIndex->Version) {
    KnownIndex = written;
    Hooks.OnIndex(written);
  }
  writeStatus(update.Team, update.Decision);
  removeReplaced(update);
  schedule();
}

void TeamAcceptor::removeReplaced(const Update &update) {
  if (update.Replaced.At.Value == 0)
    return;
  Client.remove(acceptedPath(update.Team, update.Replaced), std::nullopt,
                [](const Result<PutOutcome> &) {});
}

void TeamAcceptor::refreshIndex() {
  Reader.readIndexObject(CallbackGuard.wrap([this](Result<IndexObject> result) {
    UpdateInProgress = false;
    recoverFrom(
        [&]() -> Result<void> {
          BOOST_LEAF_AUTO(index, std::move(result));
          if (index.Version > KnownIndex->Version)
            Hooks.OnIndex(index);
          indexReceived(index);
          return {};
        },
        [&](const Error &) {});
    schedule();
  }));
}

void TeamAcceptor::retryTeam(const TeamId &team) {
  UpdateInProgress = false;
  markDirty(team, nextDelay(Delay, Rng));
  schedule();
}

void TeamAcceptor::writeStatus(const TeamId &team,
                               const AcceptDecision &decision) {
  const TeamObjects &objects = Mirror.Teams[team];
  // The status does not depend on when the settings were checked, so that all
  // acceptors compute the same one and only the first has to write it.
  boost::json::value status =
      writeSettingsStatus(statusOf(decision, newestVersion(objects).Value));
  bool isDeclared = !objects.Settings.empty() || decision.Team.At.Value != 0;
  if (!isDeclared || objects.Status.Value == status)
    return;
  auto done = [this, team](Result<PutOutcome> result) {
    PutOutcome outcome = outcomeOf(std::move(result));
    if (outcome.State == WriteState::Written)
      return;
    markDirty(team, nextDelay(Delay, Rng));
    schedule();
  };
  Client.put(settingsStatusPath(team), status, objects.Status.Version,
             CallbackGuard.wrap(done));
}

} // namespace greengagespar
