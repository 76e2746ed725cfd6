#include "judge.h"

#include <algorithm>
#include <map>
#include <set>

namespace greengagespar::soak {

namespace {

// Losses of kept connections that the rule allows in a run.
constexpr std::size_t AllowedLosses = 3;
// A server that is still at work in this last part of the grace on a request
// that was sent this soon after the request to stop excuses the entry.
constexpr int LastPartOfGrace = 6;
constexpr Time EarlyInStop{3000};
// A stop is planned work until this long after its grace.
constexpr Time AfterGrace{1000};

bool isPromise(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

using ArrivalsById = std::map<std::string, std::vector<const Arrival *>>;

ArrivalsById arrivalsOf(const Record &record) {
  ArrivalsById byId;
  for (const Arrival &it : record.Arrivals)
    byId[it.Id].push_back(&it);
  return byId;
}

std::vector<const Arrival *> find(const ArrivalsById &byId,
                                  const std::string &id) {
  auto it = byId.find(id);
  return it == byId.end() ? std::vector<const Arrival *>{} : it->second;
}

bool isPlanned(const Disruption &it) {
  return it.Kind == DisruptionKind::Stop || it.Kind == DisruptionKind::Reload;
}

// Whether a disruption of \p entry overlaps the time from the stable window
// before \p from until \p to. With \p isUnplannedOnly, planned work is left
// out.
bool isDisturbed(const Record &record, std::size_t entry, Time from, Time to,
                 bool isUnplannedOnly) {
  return std::ranges::any_of(record.Disruptions, [&](const Disruption &it) {
    bool concerns = !it.Entry || *it.Entry == entry;
    bool overlaps = it.From <= to && it.To >= from - record.Limits.StableWindow;
    return concerns && overlaps && !(isUnplannedOnly && isPlanned(it));
  });
}

// Whether the attempt ended without an answer and not because its time was up.
bool isCut(const Attempt &it) {
  return it.EndedAt && it.Status == 0 && it.WasConnected &&
         *it.EndedAt < it.SentAt + it.Deadline;
}

bool isPlannedWorkAt(const Record &record, const Attempt &it) {
  const Bounds &limits = record.Limits;
  return std::ranges::any_of(record.Disruptions, [&](const Disruption &work) {
    if (!work.Entry || *work.Entry != it.Entry || !isPlanned(work))
      return false;
    bool isReload = work.Kind == DisruptionKind::Reload;
    Time until =
        work.From + (isReload ? limits.ConfigTime : limits.Grace + AfterGrace);
    // A cut later than a reload's time may be of a later stop.
    return it.SentAt <= until && *it.EndedAt >= work.From &&
           (isReload || *it.EndedAt <= until);
  });
}

// Whether the server was still at work late in the grace on a request that was
// sent soon after the request to stop.
bool isExcusedByServer(const Record &record, const Attempt &it,
                       const std::vector<const Arrival *> &arrivals) {
  Time grace = record.Limits.Grace;
  return std::ranges::any_of(record.Disruptions, [&](const Disruption &work) {
    bool isStop = work.Entry && *work.Entry == it.Entry &&
                  work.Kind == DisruptionKind::Stop;
    Time lastPart = work.From + grace - grace / LastPartOfGrace;
    return isStop && it.SentAt <= work.From + EarlyInStop &&
           std::ranges::any_of(arrivals, [&](const Arrival *arrival) {
             return arrival->RanAt &&
                    (!arrival->DoneAt || *arrival->DoneAt >= lastPart);
           });
  });
}

bool isCutAroundPlannedWork(const Record &record, const Attempt &it) {
  return isCut(it) && isPlannedWorkAt(record, it) &&
         !isDisturbed(record, it.Entry, it.SentAt, *it.EndedAt, true);
}

bool hasServerBroken(const std::vector<const Arrival *> &arrivals) {
  return std::ranges::any_of(arrivals,
                             [](auto *it) { return it->ServerBroke; });
}

// Whether the store was not disturbed in the stable window before \p at.
bool isStoreCalm(const Record &record, Time at) {
  return std::ranges::none_of(record.StoreTroubles, [&](const auto &it) {
    return it.From <= at && it.To >= at - record.Limits.StableWindow;
  });
}

// Whether the data centre of the server had been out of service for longer than
// the bound when \p arrival came.
bool isOutOfService(const Record &record, const Arrival &arrival) {
  return std::ranges::any_of(record.Outages, [&](const Outage &it) {
    return it.Server == arrival.Server &&
           arrival.At > it.From + record.Limits.OutOfServiceTime &&
           (!it.To || arrival.At < *it.To);
  });
}

} // namespace

std::vector<Finding> judgeRefused(const Record &record) {
  std::vector<Finding> findings;
  ArrivalsById byId = arrivalsOf(record);
  for (const Attempt &it : record.Attempts) {
    if (it.MayRepeat || !isPromise(it.Status))
      continue;
    for (const Arrival *arrival : find(byId, it.Id))
      if (arrival->RanAt)
        findings.push_back({"REFUSED", it.Id + " was answered " +
                                           std::to_string(it.Status) +
                                           " and ran"});
  }
  return findings;
}

std::vector<Finding> judgeTwice(const Record &record) {
  std::vector<Finding> findings;
  ArrivalsById byId = arrivalsOf(record);
  for (const Attempt &it : record.Attempts) {
    auto arrivals = find(byId, it.Id);
    auto runs = std::ranges::count_if(
        arrivals, [](auto *a) { return a->RanAt.has_value(); });
    if (!it.MayRepeat && runs > 1)
      findings.push_back(
          {"TWICE", it.Id + " ran " + std::to_string(runs) + " times"});
  }
  return findings;
}

std::vector<Finding> judgeMixed(const Record &record) {
  std::vector<Finding> findings;
  for (const Attempt &it : record.Attempts)
    if ((it.Status == 200 || it.Status == 500) && it.Named != it.Id)
      findings.push_back({"MIXED", it.Id + " got the answer to " + it.Named});
  return findings;
}

std::vector<Finding> judgeBudget(const Record &record) {
  const Bounds &limits = record.Limits;
  std::vector<Finding> findings;
  std::vector<Time> repeats;
  std::set<std::string> seen;
  std::vector<const Arrival *> inOrder;
  for (const Arrival &it : record.Arrivals)
    inOrder.push_back(&it);
  std::ranges::stable_sort(inOrder, {}, &Arrival::At);
  for (const Arrival *it : inOrder)
    if (!seen.insert(it->Id).second)
      repeats.push_back(it->At);
  auto requestsIn = [&](Time begin) {
    return std::ranges::count_if(record.Attempts, [&](const Attempt &it) {
      return it.SentAt >= begin && it.SentAt < begin + limits.RetryWindow;
    });
  };
  for (Time end{1000}; end <= record.Length; end += Time{1000}) {
    Time begin = end - limits.RetryWindow;
    auto inWindow = std::ranges::count_if(
        repeats, [&](Time at) { return at >= begin && at < end; });
    auto requests =
        std::max({requestsIn(begin), requestsIn(begin - limits.RetryWindow),
                  requestsIn(begin - limits.RetryWindow / 2)});
    double allowed =
        limits.RetryShare * static_cast<double>(requests) + limits.ExtraRetries;
    if (static_cast<double>(inWindow) > allowed)
      findings.push_back({"BUDGET", std::to_string(inWindow) +
                                        " repeats in the window until " +
                                        std::to_string(end.count()) + " ms, " +
                                        std::to_string(allowed) + " allowed"});
  }
  return findings;
}

std::vector<Finding> judgeLost(const Record &record) {
  std::vector<Finding> lost;
  ArrivalsById byId = arrivalsOf(record);
  for (const Attempt &it : record.Attempts) {
    auto arrivals = find(byId, it.Id);
    if (isCut(it) && it.IsOnKept && !arrivals.empty() &&
        !hasServerBroken(arrivals) &&
        !isDisturbed(record, it.Entry, it.SentAt, *it.EndedAt, false))
      lost.push_back({"LOST", it.Id + " was passed on and cut"});
  }
  if (lost.size() <= AllowedLosses)
    lost.clear();
  return lost;
}

std::vector<Finding> judgeLostAroundPlannedWork(const Record &record) {
  std::vector<Finding> lost;
  ArrivalsById byId = arrivalsOf(record);
  for (const Attempt &it : record.Attempts) {
    if (!isCutAroundPlannedWork(record, it))
      continue;
    auto arrivals = find(byId, it.Id);
    Time held = *it.EndedAt - it.SentAt;
    bool wasRead = !arrivals.empty() || held > record.Limits.LossSlack;
    if (wasRead && !hasServerBroken(arrivals) &&
        !isExcusedByServer(record, it, arrivals))
      lost.push_back(
          {"LOST", it.Id + " sent at " + std::to_string(it.SentAt.count()) +
                       " ms was cut around planned work, " +
                       std::to_string(held.count()) + " ms later, arrivals: " +
                       std::to_string(arrivals.size())});
  }
  return lost;
}

std::vector<Finding> judgeOutages(const Record &record) {
  std::vector<Finding> findings;
  std::map<std::string, std::size_t> entryOf;
  for (const Attempt &it : record.Attempts)
    entryOf[it.Id] = it.Entry;
  for (const Arrival &it : record.Arrivals) {
    auto entry = entryOf.find(it.Id);
    bool isInTouch = entry != entryOf.end() && isStoreCalm(record, it.At) &&
                     !isDisturbed(record, entry->second, it.At, it.At, false);
    if (isInTouch && isOutOfService(record, it))
      findings.push_back({"OUTAGE", it.Id + " reached server " +
                                        std::to_string(it.Server) + " at " +
                                        std::to_string(it.At.count()) +
                                        " ms, out of service"});
  }
  return findings;
}

std::size_t cutAroundPlannedWork(const Record &record) {
  return static_cast<std::size_t>(
      std::ranges::count_if(record.Attempts, [&](const Attempt &it) {
        return isCutAroundPlannedWork(record, it);
      }));
}

CopyCounts countCopies(const Record &record) {
  CopyCounts counts;
  ArrivalsById byId = arrivalsOf(record);
  for (const Copy &copy : record.Copies) {
    const Arrival &original = record.Arrivals[copy.Original];
    auto isLater = [&](const Arrival *it) {
      return it > &original && it->Server == original.Server;
    };
    auto isMet = [&](const Arrival *it) {
      return isLater(it) && it->Connection == original.Connection &&
             copy.To >= it->At &&
             (!it->AnsweredAt || *copy.From <= *it->AnsweredAt);
    };
    if (!copy.From)
      continue;
    ++counts.Sent;
    auto arrivals = find(byId, original.Id);
    counts.CameAgain += std::ranges::any_of(arrivals, isLater);
    counts.Met += std::ranges::any_of(arrivals, isMet);
  }
  return counts;
}

std::vector<Finding> judge(const Record &record) {
  std::vector<Finding> all;
  for (auto *rule : {judgeRefused, judgeTwice, judgeMixed, judgeBudget,
                     judgeLost, judgeLostAroundPlannedWork, judgeOutages}) {
    auto findings = rule(record);
    all.insert(all.end(), findings.begin(), findings.end());
  }
  return all;
}

} // namespace greengagespar::soak
