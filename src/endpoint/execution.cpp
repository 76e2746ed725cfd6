#include "execution.h"

#include "greengagespar/base/hash.h"
#include <algorithm>

namespace greengagespar {

std::uint64_t fingerprintOf(const wire::ServiceCall &call) {
  return stableHash(call.method() + '\n' + call.path() + '\n' + call.body());
}

std::size_t countUnfinished(const ExecutionTable &table) {
  std::size_t n = 0;
  for (const auto &[id, execution] : table.ByCall)
    n += execution->Key || isFinished(*execution) ? 0 : 1;
  for (const auto &[key, execution] : table.ByKey)
    n += isFinished(*execution) ? 0 : 1;
  return n;
}

std::size_t keptBytes(const ExecutionTable &table) {
  std::size_t n = 0;
  for (const auto &[key, execution] : table.ByKey) {
    n += key.Scope.size() + key.Key.size();
    n += execution->Request.service().body().size();
    n += execution->Answer ? execution->Answer->body().size() : 0;
  }
  return n;
}

void setListener(Execution &execution, const Listener &listener) {
  for (Listener &it : execution.Listeners) {
    if (it.Call == listener.Call) {
      it = listener;
      return;
    }
  }
  execution.Listeners.push_back(listener);
}

void removeExpired(ExecutionTable &table, Clock::time_point now,
                   Clock::duration outcomeRetention) {
  std::erase_if(table.ByCall, [&](const auto &it) {
    return isFinished(*it.second) &&
           it.second->FinishedAt + outcomeRetention < now;
  });
  std::erase_if(table.ByKey, [&](const auto &it) {
    const Execution &execution = *it.second;
    std::chrono::milliseconds window(
        execution.Request.service().dedupe_window_ms());
    return isFinished(execution) && execution.FinishedAt + window < now;
  });
}

} // namespace greengagespar
