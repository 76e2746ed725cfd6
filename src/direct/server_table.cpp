#include "greengagespar/direct/server_table.h"

#include <algorithm>
#include <set>
#include <utility>

namespace greengagespar {

namespace {

// Whether the records agree in all but the time for which the server is cold.
bool isSame(const ServerRecord &a, const ServerRecord &b) {
  return a.Service == b.Service && a.At == b.At && a.Leaving == b.Leaving &&
         a.Slots == b.Slots && a.StartedMs == b.StartedMs &&
         a.DataCentre == b.DataCentre;
}

// Removes a server from the table and remembers that it has left.
void remove(ServerTable &table, const ServerId &id, Clock::time_point now,
            ServerChanges &changes) {
  auto it = table.Servers.find(id);
  if (it == table.Servers.end())
    return;
  table.Departed[id] = {it->second.Record.StartedMs, now};
  if (it->second.IsUsed)
    changes.Removed.push_back(std::move(it->second.Record));
  table.Servers.erase(it);
}

bool isNamed(const ServerTable &table, const ServiceId &service) {
  return !table.Services || table.Services->contains(service);
}

// Decides anew which servers are used, and adds what that changes.
void updateUsed(ServerTable &table, ServerChanges &changes) {
  std::map<Address, std::uint64_t> latestStart;
  for (const auto &[id, it] : table.Servers) {
    if (it.IsElsewhere || !isNamed(table, it.Record.Service))
      continue;
    std::uint64_t &latest = latestStart[it.Record.At];
    latest = std::max(latest, it.Record.StartedMs);
  }
  for (auto &entry : table.Servers) {
    KnownServer &it = entry.second;
    bool isUsed = isNamed(table, it.Record.Service) &&
                  it.Record.StartedMs >= latestStart[it.Record.At];
    bool wasUsed = std::exchange(it.IsUsed, isUsed);
    if (isUsed && !wasUsed)
      changes.Updated.push_back(it.Record);
    if (isUsed || !wasUsed)
      continue;
    std::erase_if(changes.Updated, [&](const ServerRecord &record) {
      return record.Id == it.Record.Id;
    });
    changes.Removed.push_back(it.Record);
  }
}

void restartGrace(ServerTable &table, Clock::time_point now) {
  table.OutageGraceUntil = now + ReregistrationTime;
  for (auto &[id, it] : table.Servers)
    if (it.RemoveAt)
      it.RemoveAt = table.OutageGraceUntil;
}

// Whether the table has later news of the incarnation than \p record, which a
// restored copy of the store holds.
bool isOutdated(const ServerTable &table, const ServerRecord &record) {
  if (auto it = table.Servers.find(record.Id); it != table.Servers.end())
    return it->second.Record.Leaving && !record.Leaving &&
           it->second.Record.StartedMs == record.StartedMs;
  auto it = table.Departed.find(record.Id);
  return it != table.Departed.end() && record.StartedMs <= it->second.StartedMs;
}

} // namespace

ServerChanges recordServices(ServerTable &table, std::set<ServiceId> services) {
  table.Services = std::move(services);
  ServerChanges changes;
  updateUsed(table, changes);
  return changes;
}

ServerChanges
recordElsewhere(ServerTable &table,
                const std::function<bool(const ServerRecord &)> &isElsewhere) {
  bool isNews = false;
  for (auto &[id, it] : table.Servers)
    if (!it.IsElsewhere && isElsewhere(it.Record))
      it.IsElsewhere = isNews = true;
  ServerChanges changes;
  if (isNews)
    updateUsed(table, changes);
  return changes;
}

void recordStoreUnavailable(ServerTable &table) {
  table.StoreUnavailable = true;
}

void recordStoreAnswer(ServerTable &table, Clock::time_point now) {
  if (!table.StoreUnavailable)
    return;
  table.StoreUnavailable = false;
  restartGrace(table, now);
}

void recordRestore(ServerTable &table, Clock::time_point now) {
  table.Doubtful.clear();
  restartGrace(table, now);
}

ServerChanges recordListing(ServerTable &table,
                            const std::vector<ServerRecord> &records,
                            bool isRestored, Clock::time_point now) {
  std::vector<ServerRecord> certain;
  for (const ServerRecord &it : records) {
    auto known = table.Doubtful.find(it.Id);
    bool isStillDoubtful =
        known != table.Doubtful.end() && isSame(known->second.Record, it);
    if (isStillDoubtful)
      continue;
    if (isRestored && isOutdated(table, it))
      table.Doubtful[it.Id] = {it, now + table.ConfirmationTime};
    else
      certain.push_back(it);
  }
  return recordRegistrations(table, certain);
}

ServerChanges recordRegistrations(ServerTable &table,
                                  const std::vector<ServerRecord> &records) {
  ServerChanges changes;
  for (const ServerRecord &it : records) {
    table.Doubtful.erase(it.Id);
    table.Departed.erase(it.Id);
    KnownServer &known = table.Servers[it.Id];
    // A delayed registration of an earlier incarnation doesn't describe the
    // present one.
    if (it.StartedMs < known.Record.StartedMs)
      continue;
    bool isNew = known.Record.Id.Value.empty();
    known.RemoveAt.reset();
    if (!isNew && isSame(known.Record, it)) {
      known.Record.ColdRemaining = it.ColdRemaining;
      if (known.IsUsed && it.ColdRemaining > std::chrono::milliseconds::zero())
        changes.Cold.push_back(it);
      continue;
    }
    if (known.IsUsed && known.Record.Service != it.Service) {
      changes.Removed.push_back(known.Record);
      known.IsUsed = false;
    }
    if (known.Record.StartedMs != it.StartedMs || known.Record.At != it.At)
      known.IsElsewhere = false;
    known.Record = it;
    if (known.IsUsed)
      changes.Updated.push_back(it);
  }
  updateUsed(table, changes);
  return changes;
}

ServerChanges recordMissing(ServerTable &table,
                            const std::vector<ServerId> &ids,
                            Clock::time_point now) {
  ServerChanges changes;
  for (const ServerId &id : ids) {
    table.Doubtful.erase(id);
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
    remove(table, id, now, changes);
  }
  updateUsed(table, changes);
  return changes;
}

std::vector<ServerId> missingFrom(const ServerTable &table,
                                  const std::vector<ServerRecord> &present) {
  std::set<ServerId> missing;
  for (const auto &[id, it] : table.Servers)
    missing.insert(id);
  for (const auto &[id, it] : table.Doubtful)
    missing.insert(id);
  for (const ServerRecord &it : present)
    missing.erase(it.Id);
  return {missing.begin(), missing.end()};
}

ServerChanges removeExpired(ServerTable &table, Clock::time_point now) {
  ServerChanges changes;
  std::erase_if(table.Departed, [&](const auto &it) {
    return now - it.second.At > DepartedRetention;
  });
  if (table.StoreUnavailable)
    return changes;
  std::vector<ServerId> expired;
  for (const auto &[id, it] : table.Servers)
    if (it.RemoveAt && now >= *it.RemoveAt)
      expired.push_back(id);
  if (expired.empty())
    return changes;
  for (const ServerId &id : expired)
    remove(table, id, now, changes);
  updateUsed(table, changes);
  return changes;
}

ServerChanges recordConfirmed(ServerTable &table, Clock::time_point now) {
  std::vector<ServerRecord> confirmed;
  if (!table.StoreUnavailable)
    for (const auto &[id, it] : table.Doubtful)
      if (now >= it.ConfirmedAt)
        confirmed.push_back(it.Record);
  return recordRegistrations(table, confirmed);
}

} // namespace greengagespar
