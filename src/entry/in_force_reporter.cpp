#include "in_force_reporter.h"

#include <algorithm>
#include <utility>

namespace greengagespar {

namespace {

bool isComplete(const InForceStatus &status) {
  return status.InForce == status.Nodes;
}

/// Returns whether the object \p present holds a report on later settings, or
/// one that is equal to \p status.
bool isAlreadyReported(const Object &present, const InForceStatus &status) {
  return recoverFrom(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(known, readInForceStatus(present.Value));
        return known.At > status.At ||
               (known.At == status.At && known.Nodes == status.Nodes &&
                known.InForce == status.InForce);
      },
      [](const Error &) { return false; });
}

} // namespace

InForceStatus inForceStatus(const MemberView &view, Generation at) {
  InForce count = countInForce(view, at);
  InForceStatus status;
  status.At = at;
  status.Nodes = static_cast<int>(count.Nodes);
  status.InForce = static_cast<int>(count.Current);
  for (const auto &[address, member] : view.Members) {
    const HostId &host = member.Row.Host;
    if (member.State != MemberState::Unresponsive && member.Row.Settings < at &&
        std::ranges::count(count.Lagging, host) > 0)
      status.Lagging.push_back(
          {host, member.Row.Settings, "has earlier settings"});
  }
  return status;
}

bool isReportDue(const InForceReport &report, const InForceStatus &status,
                 Clock::time_point now) {
  if (report.IsComplete)
    return false;
  return isComplete(status) ||
         (!report.IsWritten && now - report.Since >= SpreadTime);
}

InForceReporter::InForceReporter(ObjectClient &client, std::uint64_t seed)
    : Client(client), Rng(seed) {}

void InForceReporter::review(
    const Snapshot &held, const MemberView &view,
    const std::function<bool(const TeamId &)> &isFirst) {
  auto now = Clock::now();
  std::erase_if(Reports,
                [&](const auto &it) { return !held.Teams.contains(it.first); });
  for (const auto &[team, settings] : held.Teams) {
    InForceReport &report = Reports[team];
    Generation at = settings.Accepted.At;
    if (report.At < at)
      report = {at, now};
    if (IsWriting || now < NextTry || report.IsComplete || !isFirst(team))
      continue;
    InForceStatus status = inForceStatus(view, at);
    if (isReportDue(report, status, now))
      write(team, status);
  }
}

void InForceReporter::write(const TeamId &team, const InForceStatus &status) {
  IsWriting = true;
  auto done = [this, team, status](Result<Object> result) {
    recoverFrom(
        [&]() -> Result<void> {
          BOOST_LEAF_AUTO(object, std::move(result));
          writeIfNewer(team, status, object);
          return {};
        },
        [&](const Error &e) {
          if (e.Kind == ErrorKind::NotFound)
            writeIfNewer(team, status, {});
          else
            finish(team, status, false);
        });
  };
  Client.get(inForceStatusPath(team), CallbackGuard.wrap(done));
}

void InForceReporter::writeIfNewer(const TeamId &team,
                                   const InForceStatus &status,
                                   const Object &present) {
  if (isAlreadyReported(present, status))
    return finish(team, status, true);
  auto done = [this, team, status](Result<PutOutcome> result) {
    bool isWritten = recoverFrom(
        [&]() -> Result<bool> {
          BOOST_LEAF_AUTO(outcome, std::move(result));
          return outcome.State == WriteState::Written;
        },
        [](const Error &) { return false; });
    finish(team, status, isWritten);
  };
  Client.put(inForceStatusPath(team), writeInForceStatus(status),
             present.Version, CallbackGuard.wrap(done));
}

void InForceReporter::finish(const TeamId &team, const InForceStatus &status,
                             bool isWritten) {
  IsWriting = false;
  if (!isWritten) {
    NextTry = Clock::now() + nextDelay(Delay, Rng);
    return;
  }
  reset(Delay);
  auto it = Reports.find(team);
  if (it == Reports.end() || it->second.At != status.At)
    return;
  it->second.IsWritten = true;
  it->second.IsComplete = isComplete(status);
}

} // namespace greengagespar
