#include "greengagespar/direct/out_of_service.h"

#include <algorithm>

namespace greengagespar {

namespace {

const DataCentreOrder *find(const OutOfService &state, const DataCentreId &id) {
  auto it = state.DataCentres.find(id);
  return it == state.DataCentres.end() ? nullptr : &it->second;
}

// Forgets withdrawals if there are too many statements for one more. Returns
// whether there is room for it.
bool makeRoom(OutOfService &state) {
  if (state.DataCentres.size() >= state.MaxDataCentres)
    std::erase_if(state.DataCentres,
                  [](const auto &it) { return !it.second.IsOut; });
  return state.DataCentres.size() < state.MaxDataCentres;
}

// Replaces the statement about a data centre. Returns the change; empty: the
// data centre is in the same state as before, or there are too many.
std::optional<OrderChange> set(OutOfService &state, const DataCentreId &id,
                               const DataCentreOrder &order) {
  const DataCentreOrder *known = find(state, id);
  if (!known && !makeRoom(state))
    return std::nullopt;
  bool wasOut = known && known->IsOut;
  state.DataCentres[id] = order;
  if (order.IsOut == wasOut)
    return std::nullopt;
  return OrderChange{id, order};
}

void append(std::vector<OrderChange> &changes,
            std::optional<OrderChange> change) {
  if (change)
    changes.push_back(std::move(*change));
}

// Returns the data centres with an order that the store doesn't hold as of the
// snapshot \p report.
std::vector<DataCentreId> missingFrom(const OutOfService &state,
                                      const OrderReport &report) {
  std::vector<DataCentreId> missing;
  for (const auto &[id, it] : state.DataCentres)
    if (it.IsOut && it.At <= report.At && !report.InForce.contains(id))
      missing.push_back(id);
  return missing;
}

// Whether a store at the version \p read may lack an order of the version
// \p at because it was restored from a copy of before it.
bool mayBeLost(const ObjectVersion &at, const ObjectVersion &read) {
  return at.Timeline < read.Timeline;
}

// Whether the entry knows more than what the store has told as of \p read.
bool isLater(const DataCentreOrder *known, const ObjectVersion &read) {
  return known && known->At > read;
}

} // namespace

std::vector<OrderChange> recordOrders(OutOfService &state,
                                      const OrderReport &report,
                                      Clock::time_point now) {
  std::vector<OrderChange> changes;
  auto withdraw = [&](const DataCentreId &id) {
    append(changes,
           set(state, id, {false, report.At, OrderSource::Store, now}));
  };
  for (const DataCentreId &id : report.Withdrawn)
    if (!isLater(find(state, id), report.At))
      withdraw(id);
  if (report.IsSnapshot)
    for (const DataCentreId &id : missingFrom(state, report)) {
      DataCentreOrder &order = state.DataCentres[id];
      if (!mayBeLost(order.At, report.At))
        withdraw(id);
      else if (!order.EndsAt)
        order.EndsAt = now + state.HoldAfterRestore;
    }
  for (const auto &[id, at] : report.InForce)
    if (!isLater(find(state, id), report.At))
      append(changes, set(state, id, {true, at, OrderSource::Store, now}));
  state.ReadAt = std::max(state.ReadAt, report.At);
  return changes;
}

std::optional<OrderChange> mergeOrder(OutOfService &state, const OrderRow &row,
                                      Clock::time_point now) {
  if (!state.IsOn)
    return std::nullopt;
  const DataCentreOrder *known = find(state, row.DataCentre);
  if (known && row.At <= known->At)
    return std::nullopt;
  bool isOldNews =
      row.At <= state.ReadAt && row.At.Timeline == state.ReadAt.Timeline;
  if (!isOldNews) {
    DataCentreOrder order{row.IsOut, row.At, OrderSource::Peer, now};
    if (row.IsOut && mayBeLost(row.At, state.ReadAt))
      order.EndsAt = now + state.HoldAfterRestore;
    return set(state, row.DataCentre, order);
  }
  if (row.IsOut && !known)
    set(state, row.DataCentre, {false, state.ReadAt, OrderSource::Store, now});
  return std::nullopt;
}

std::vector<OrderChange> expireOrders(OutOfService &state,
                                      Clock::time_point now) {
  std::vector<OrderChange> changes;
  for (auto &[id, it] : state.DataCentres)
    if (it.IsOut && it.EndsAt && *it.EndsAt <= now) {
      it = {false, state.ReadAt, OrderSource::Store, now};
      changes.push_back({id, it});
    }
  std::erase_if(state.DataCentres, [&](const auto &it) {
    return !it.second.IsOut && now - it.second.ChangedAt > state.KeepWithdrawal;
  });
  return changes;
}

std::vector<OrderRow> orderRows(const OutOfService &state, std::size_t most) {
  std::vector<std::pair<DataCentreId, DataCentreOrder>> all(
      state.DataCentres.begin(), state.DataCentres.end());
  std::ranges::stable_sort(all, [](const auto &a, const auto &b) {
    return a.second.IsOut != b.second.IsOut
               ? a.second.IsOut
               : a.second.ChangedAt > b.second.ChangedAt;
  });
  all.resize(std::min(all.size(), most));
  std::vector<OrderRow> rows;
  rows.reserve(all.size());
  for (const auto &[id, it] : all)
    rows.push_back({id, it.IsOut, it.At});
  return rows;
}

std::vector<DataCentreId>
takeUnknown(OutOfService &state,
            const std::function<bool(const DataCentreId &)> &isKnown,
            Clock::time_point now) {
  std::vector<DataCentreId> unknown;
  for (auto &[id, it] : state.DataCentres) {
    bool isDue =
        it.IsOut && !it.IsReported && now - it.ChangedAt >= state.UnknownAfter;
    if (!isDue || isKnown(id))
      continue;
    it.IsReported = true;
    unknown.push_back(id);
  }
  return unknown;
}

bool isOutOfService(const OutOfService &state, const DataCentreId &dataCentre) {
  const DataCentreOrder *it = find(state, dataCentre);
  return it && it->IsOut;
}

std::size_t countOutOfService(const OutOfService &state) {
  return static_cast<std::size_t>(std::ranges::count_if(
      state.DataCentres, [](const auto &it) { return it.second.IsOut; }));
}

} // namespace greengagespar
