#include "greengagespar/direct/server_table.h"

#include <algorithm>

namespace greengagespar {

namespace {

bool isSame(const ServerRecord &a, const ServerRecord &b) {
  return a.Service == b.Service && a.At == b.At && a.Leaving == b.Leaving &&
         a.Slots == b.Slots && a.BornMs == b.BornMs;
}

} // namespace

void noteStoreAway(ServerTable &table) { table.StoreAway = true; }

void noteStoreAnswered(ServerTable &table, Clock::time_point now) {
  if (!table.StoreAway)
    return;
  table.StoreAway = false;
  table.DoubtUntil = now + RegisterAgain;
  for (auto &[id, it] : table.Servers)
    if (it.GoneAt)
      it.GoneAt = table.DoubtUntil;
}

ServerChanges noteEntries(ServerTable &table,
                          const std::vector<ServerRecord> &records) {
  ServerChanges changes;
  for (const ServerRecord &it : records) {
    KnownServer &known = table.Servers[it.Id];
    // An older life's entry that comes late says nothing of the present one.
    if (it.BornMs < known.Record.BornMs)
      continue;
    bool isNew = known.Record.Id.Value.empty();
    known.GoneAt.reset();
    if (!isNew && isSame(known.Record, it))
      continue;
    if (!isNew && known.Record.Service != it.Service)
      changes.Gone.push_back(known.Record);
    known.Record = it;
    changes.Updated.push_back(it);
  }
  return changes;
}

ServerChanges noteMissing(ServerTable &table, const std::vector<ServerId> &ids,
                          Clock::time_point now) {
  ServerChanges changes;
  for (const ServerId &id : ids) {
    auto it = table.Servers.find(id);
    if (it == table.Servers.end())
      continue;
    bool inDoubt = table.StoreAway || now < table.DoubtUntil;
    if (inDoubt && !it->second.Record.Leaving) {
      if (!it->second.GoneAt)
        it->second.GoneAt = std::max(now, table.DoubtUntil);
      continue;
    }
    changes.Gone.push_back(it->second.Record);
    table.Servers.erase(it);
  }
  return changes;
}

std::vector<ServerId> missingFrom(const ServerTable &table,
                                  const std::vector<ServerRecord> &present) {
  std::vector<ServerId> missing;
  for (const auto &known : table.Servers) {
    bool isPresent = std::ranges::any_of(
        present, [&](const ServerRecord &it) { return it.Id == known.first; });
    if (!isPresent)
      missing.push_back(known.first);
  }
  return missing;
}

ServerChanges sweepServers(ServerTable &table, Clock::time_point now) {
  ServerChanges changes;
  if (table.StoreAway)
    return changes;
  std::erase_if(table.Servers, [&](const auto &it) {
    if (!it.second.GoneAt || now < *it.second.GoneAt)
      return false;
    changes.Gone.push_back(it.second.Record);
    return true;
  });
  return changes;
}

} // namespace greengagespar
