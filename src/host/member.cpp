#include "greengagespar/host/member.h"

#include "greengagespar/base/hash.h"
#include <algorithm>
#include <set>
#include <string>
#include <tuple>
#include <utility>

namespace greengagespar {

namespace {

bool isNewer(const MemberRow &a, const MemberRow &b) {
  return std::pair(a.ProcessIncarnation, a.Heartbeat) >
         std::pair(b.ProcessIncarnation, b.Heartbeat);
}

MemberState stateOf(const MemberRow &row) {
  return row.Leaving ? MemberState::Leaving : MemberState::Live;
}

MergeOutcome outcomeOf(const Member &known, const MemberRow &row) {
  if (row.ProcessIncarnation > known.Row.ProcessIncarnation)
    return MergeOutcome::Replaced;
  if (row.Leaving && known.State != MemberState::Leaving)
    return MergeOutcome::StartedLeaving;
  if (known.State == MemberState::Unresponsive)
    return MergeOutcome::Returned;
  return MergeOutcome::Renewed;
}

// Returns how long the row of \p member may be the newest one.
std::chrono::milliseconds memberTimeout(const MemberView &view,
                                        const Member &member,
                                        Clock::time_point now) {
  const MemberLimits &limits = view.Limits;
  bool isNear = member.Row.DataCentre == view.DataCentre;
  auto timeout = isNear ? limits.NearTimeout : limits.FarTimeout;
  if (member.PartnerSince && now - *member.PartnerSince > timeout)
    return timeout;
  std::size_t beyondDigest =
      view.Members.size() -
      std::min(view.Members.size(), limits.DigestRows + 1);
  return timeout + limits.TimeoutPerMember * static_cast<int>(beyondDigest);
}

// Merges a report that the process of \p row is silent. Adopts its heartbeat,
// so that delayed rows up to it do not make the process live again.
MergeOutcome mergeSilence(MemberView &view, MemberRow row,
                          Clock::time_point now) {
  row.IsSilent = false;
  auto it = view.Members.find(row.Link);
  if (it == view.Members.end()) {
    view.Members[row.Link] = {row, MemberState::Unresponsive, now};
    return MergeOutcome::Ignored;
  }
  Member &known = it->second;
  if (row.Link == view.Self || isNewer(known.Row, row))
    return MergeOutcome::Ignored;
  bool wasUnresponsive = known.State == MemberState::Unresponsive;
  if (row.ProcessIncarnation == known.Row.ProcessIncarnation)
    row.Leaving = row.Leaving || known.Row.Leaving;
  known = {row, MemberState::Unresponsive, known.LastReceivedAt};
  return wasUnresponsive ? MergeOutcome::Ignored : MergeOutcome::FellSilent;
}

std::vector<Address> liveEntriesOf(const DataCentreId &dataCentre,
                                   const MemberView &view) {
  std::vector<Address> live;
  for (const auto &[address, member] : view.Members)
    if (member.Row.Role == MemberRole::Entry && acceptsWork(member) &&
        member.Row.DataCentre == dataCentre)
      live.push_back(address);
  return live;
}

/// Returns \p first and then the other data centres of the members.
std::vector<DataCentreId> dataCentresFrom(const MemberView &view,
                                          const DataCentreId &first) {
  std::set<DataCentreId> others;
  for (const auto &[address, member] : view.Members)
    if (member.Row.DataCentre != first)
      others.insert(member.Row.DataCentre);
  std::vector<DataCentreId> order{first};
  order.insert(order.end(), others.begin(), others.end());
  return order;
}

} // namespace

MergeOutcome mergeMember(MemberView &view, const MemberRow &row,
                         Clock::time_point now) {
  if (row.IsSilent)
    return mergeSilence(view, row, now);
  auto it = view.Members.find(row.Link);
  if (it == view.Members.end()) {
    view.Members[row.Link] = {row, stateOf(row), now};
    return MergeOutcome::Added;
  }
  Member &known = it->second;
  if (row.Link == view.Self)
    return row.ProcessIncarnation > known.Row.ProcessIncarnation
               ? MergeOutcome::Replaced
               : MergeOutcome::Ignored;
  if (!isNewer(row, known.Row))
    return MergeOutcome::Ignored;
  MergeOutcome outcome = outcomeOf(known, row);
  bool isSameIncarnation =
      row.ProcessIncarnation == known.Row.ProcessIncarnation;
  bool wasLeaving = isSameIncarnation && known.Row.Leaving;
  Generation settings = known.Row.Settings;
  known = {row, stateOf(row), now, known.PartnerSince};
  if (wasLeaving) {
    known.Row.Leaving = true;
    known.State = MemberState::Leaving;
  }
  if (isSameIncarnation)
    known.Row.Settings = std::max(settings, row.Settings);
  return outcome;
}

void recordPartners(MemberView &view, const std::vector<Address> &partners,
                    Clock::time_point now) {
  std::set<Address> chosen(partners.begin(), partners.end());
  for (auto &[address, member] : view.Members) {
    if (!chosen.contains(address))
      member.PartnerSince.reset();
    else if (!member.PartnerSince)
      member.PartnerSince = now;
  }
}

SweepOutcome sweepMembers(MemberView &view, Clock::time_point now) {
  SweepOutcome outcome;
  for (auto it = view.Members.begin(); it != view.Members.end();) {
    Member &member = it->second;
    auto age = now - member.LastReceivedAt;
    bool isSelf = it->first == view.Self;
    if (!isSelf && age > view.Limits.ForgetAfter) {
      outcome.Forgotten.push_back(it->first);
      it = view.Members.erase(it);
      continue;
    }
    if (!isSelf && member.State != MemberState::Unresponsive &&
        age > memberTimeout(view, member, now)) {
      member.State = MemberState::Unresponsive;
      outcome.Unresponsive.push_back(it->first);
    }
    ++it;
  }
  return outcome;
}

void advanceHeartbeat(MemberView &view, MemberRow own, Clock::time_point now) {
  Member &self = view.Members[view.Self];
  own.Link = view.Self;
  own.Heartbeat = self.Row.Heartbeat + 1;
  own.Leaving = own.Leaving || self.Row.Leaving;
  MemberState state = stateOf(own);
  self = {std::move(own), state, now};
}

std::vector<Address> applyHostHints(MemberView &view,
                                    const std::vector<HostHint> &hosts,
                                    std::chrono::microseconds listedAt) {
  std::set<HostId> leaving;
  for (const HostHint &host : hosts)
    if (host.Leaving)
      leaving.insert(host.Host);
  std::vector<Address> left;
  for (auto &[address, member] : view.Members) {
    std::chrono::microseconds started(
        static_cast<std::int64_t>(member.Row.ProcessIncarnation.Value));
    bool isOlderThanList = listedAt - started > view.Limits.HostListLag;
    if (!isOlderThanList || member.State != MemberState::Live ||
        !leaving.contains(member.Row.Host))
      continue;
    member.Row.Leaving = true;
    member.State = MemberState::Leaving;
    left.push_back(address);
  }
  return left;
}

std::vector<MemberRow> nextDigest(MemberView &view, std::size_t max) {
  std::vector<MemberRow> rows;
  auto self = view.Members.find(view.Self);
  if (self != view.Members.end())
    rows.push_back(self->second.Row);
  auto it = view.Cursor ? view.Members.upper_bound(*view.Cursor)
                        : view.Members.begin();
  for (std::size_t n = 0; n < view.Members.size() && rows.size() <= max; ++n) {
    if (it == view.Members.end())
      it = view.Members.begin();
    view.Cursor = it->first;
    if (it != self && it->second.State != MemberState::Unresponsive)
      rows.push_back(it->second.Row);
    ++it;
  }
  return rows;
}

std::vector<Address> entriesForCaller(const MemberView &view,
                                      const DataCentreId &dataCentre,
                                      std::uint64_t callerHash,
                                      std::size_t max) {
  std::vector<Address> answer;
  std::string key = std::to_string(callerHash);
  for (const DataCentreId &it : dataCentresFrom(view, dataCentre)) {
    if (answer.size() >= max)
      break;
    for (const Address &link : rendezvousOrder(key, liveEntriesOf(it, view)))
      if (answer.size() < max)
        answer.push_back(view.Members.at(link).Row.Callers);
  }
  return answer;
}

std::vector<Address> watchersOf(const DataCentreId &dataCentre,
                                const MemberView &view) {
  auto order = rendezvousOrder("watchers/" + dataCentre.Value,
                               liveEntriesOf(dataCentre, view));
  order.resize(std::min(order.size(), WatchersPerDataCentre));
  return order;
}

std::vector<Address> watcherOrder(const TeamId &team, const MemberView &view) {
  std::vector<Address> watchers;
  for (const DataCentreId &it : dataCentresFrom(view, view.DataCentre))
    for (Address &address : watchersOf(it, view))
      watchers.push_back(std::move(address));
  return rendezvousOrder("accept/" + team.Value, watchers);
}

InForce countInForce(const MemberView &view, Generation generation) {
  InForce count;
  count.At = generation;
  for (const auto &[address, member] : view.Members) {
    if (member.State == MemberState::Unresponsive)
      continue;
    ++count.Nodes;
    if (member.Row.Settings >= generation) {
      ++count.Current;
      continue;
    }
    ++count.LaggingTotal;
    if (count.Lagging.size() < MaxLaggingNamed)
      count.Lagging.push_back(member.Row.Host);
  }
  return count;
}

std::size_t positionAmong(const MemberView &view, Incarnation life,
                          bool takesPart) {
  auto before = std::ranges::count_if(view.Members, [&](const auto &it) {
    bool isOther = it.first != view.Self;
    bool isOlder = std::tie(it.second.Row.ProcessIncarnation, it.first) <
                   std::tie(life, view.Self);
    return isOther && acceptsWork(it.second) && (!takesPart || isOlder);
  });
  return static_cast<std::size_t>(before) + (takesPart ? 0 : 1);
}

} // namespace greengagespar
