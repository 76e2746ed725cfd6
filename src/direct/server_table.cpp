#include "greengagespar/direct/server_table.h"

#include <algorithm>

namespace greengagespar {

namespace {

bool isSame(const ServerRecord &a, const ServerRecord &b) {
  return a.Service == b.Service && a.At == b.At && a.Leaving == b.Leaving &&
         a.Slots == b.Slots && a.StartedMs == b.StartedMs;
}

} // namespace

void recordStoreUnavailable(ServerTable &table) {
  table.StoreUnavailable = true;
}

void recordStoreAnswer(ServerTable &table, Clock::time_point now) {
  if (!table.StoreUnavailable)
    return;
  table.StoreUnavailable = false;
  table.OutageGraceUntil = now + ReregistrationTime;
  for (auto &[id, it] : table.Servers)
    if (it.RemoveAt)
      it.RemoveAt = table.OutageGraceUntil;
}

ServerChanges recordRegistrations(ServerTable &table,
                                  const std::vector<ServerRecord> &records) {
  ServerChanges changes;
  for (const ServerRecord &it : records) {
    KnownServer &known = table.Servers[it.Id];
    // A delayed registration of an earlier incarnation doesn't describe the
    // present one.
    if (it.StartedMs < known.Record.StartedMs)
      continue;
    bool isNew = known.Record.Id.Value.empty();
    known.RemoveAt.reset();
    if (!isNew && isSame(known.Record, it))
      continue;
    if (!isNew && known.Record.Service != it.Service)
      changes.Removed.push_back(known.Record);
    known.Record = it;
    changes.Updated.push_back(it);
  }
  return changes;
}

ServerChanges recordMissing(ServerTable &table,
                            const std::vector<ServerId> &ids,
                            Clock::time_point now) {
  ServerChanges changes;
  for (const ServerId &id : ids) {
    auto it = table.Servers.find(id);
    if (it == table.Servers.end())
      continue;
    bool mayHaveExpired =
        table.StoreUnavailable || now < table.OutageGraceUntil;
    if (mayHaveExpired && !it->second.Record.Leaving) {
      if (!it->second.RemoveAt)
        it->second.RemoveAt = std::max(now, table.OutageGraceUntil);
      continue;
    }
    changes.Removed.push_back(it->second.Record);
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

ServerChanges removeExpired(ServerTable &table, Clock::time_point now) {
  ServerChanges changes;
  if (table.StoreUnavailable)
    return changes;
  std::erase_if(table.Servers, [&](const auto &it) {
    if (!it.second.RemoveAt || now < *it.second.RemoveAt)
      return false;
    changes.Removed.push_back(it.second.Record);
    return true;
  });
  return changes;
}

} // namespace greengagespar
