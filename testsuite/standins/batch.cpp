#include "batch.h"

#include "greengagespar/load/expected_text.h"
#include <algorithm>
#include <utility>

namespace greengagespar::standin {

namespace {

constexpr std::size_t MaxEvents = 10000;

void publish(Batch &batch, bool stored, const std::string &key,
             Clock::time_point now) {
  PrefixCache &cache = batch.Cache;
  std::uint64_t number = cache.NextEvent++;
  std::uint64_t gap = batch.Settings.CacheEventGap;
  if (gap > 0 && number % gap == 0)
    return;
  cache.Events.push_back(
      {number, stored, key, now + batch.Settings.CacheEventDelay});
  if (cache.Events.size() > MaxEvents)
    cache.Events.pop_front();
}

void evict(Batch &batch, Clock::time_point now) {
  PrefixCache &cache = batch.Cache;
  while (cache.Entries.size() >
         static_cast<std::size_t>(batch.Settings.CacheEntries)) {
    auto [key, tokens] = cache.Entries.back();
    cache.Entries.pop_back();
    cache.Tokens -= tokens;
    publish(batch, false, key, now);
  }
}

// Returns whether the stream's prefix was cached, and stores it if not.
bool findOrCachePrefix(Batch &batch, const Stream &stream,
                       Clock::time_point now) {
  if (stream.CacheKey.empty())
    return false;
  PrefixCache &cache = batch.Cache;
  auto it = std::find_if(
      cache.Entries.begin(), cache.Entries.end(),
      [&](const auto &entry) { return entry.first == stream.CacheKey; });
  if (it != cache.Entries.end()) {
    cache.Entries.splice(cache.Entries.begin(), cache.Entries, it);
    ++cache.Hits;
    return true;
  }
  cache.Entries.emplace_front(stream.CacheKey, stream.PromptTokens);
  cache.Tokens += stream.PromptTokens;
  publish(batch, true, stream.CacheKey, now);
  evict(batch, now);
  return false;
}

bool hasPrecedence(const Stream &a, const Stream &b) {
  return std::pair(a.Priority, a.Arrival) < std::pair(b.Priority, b.Arrival);
}

auto bestWaiting(Batch &batch) {
  return std::min_element(batch.Waiting.begin(), batch.Waiting.end(),
                          [](const auto &a, const auto &b) {
                            return hasPrecedence(a.second, b.second);
                          });
}

auto worstRunning(Batch &batch) {
  return std::max_element(batch.Running.begin(), batch.Running.end(),
                          [](const auto &a, const auto &b) {
                            return hasPrecedence(a.second, b.second);
                          });
}

void startOne(Batch &batch, std::map<std::string, Stream>::iterator it,
              Clock::time_point now) {
  auto node = batch.Waiting.extract(it);
  Stream &stream = node.mapped();
  if (!stream.Prefilled) {
    stream.Prefilled = true;
    stream.ReadyAt = now;
    if (!findOrCachePrefix(batch, stream, now))
      stream.ReadyAt += batch.Settings.PrefillPerToken *
                        static_cast<std::int64_t>(stream.PromptTokens);
  }
  batch.Running.insert(std::move(node));
}

void preemptLowerPriority(Batch &batch, Clock::time_point now) {
  while (!batch.Waiting.empty() && !batch.Running.empty()) {
    auto better = bestWaiting(batch);
    auto worse = worstRunning(batch);
    if (better->second.Priority >= worse->second.Priority)
      return;
    auto node = batch.Running.extract(worse);
    startOne(batch, better, now);
    batch.Waiting.insert(std::move(node));
  }
}

} // namespace

bool addStream(Batch &batch, Stream stream, Clock::time_point now) {
  bool noSlot =
      batch.Running.size() >= static_cast<std::size_t>(batch.Settings.Slots);
  if (noSlot && batch.Waiting.size() >=
                    static_cast<std::size_t>(batch.Settings.MaxWaiting))
    return false;
  stream.Arrival = batch.NextArrival++;
  std::string id = stream.Id;
  batch.Waiting.emplace(std::move(id), std::move(stream));
  startWaiting(batch, now);
  return true;
}

Stream *findStream(Batch &batch, const std::string &id) {
  for (auto *streams : {&batch.Running, &batch.Waiting})
    if (auto it = streams->find(id); it != streams->end())
      return &it->second;
  return nullptr;
}

bool removeStream(Batch &batch, const std::string &id) {
  return batch.Running.erase(id) + batch.Waiting.erase(id) > 0;
}

void startWaiting(Batch &batch, Clock::time_point now) {
  auto slots = static_cast<std::size_t>(batch.Settings.Slots);
  while (batch.Running.size() < slots && !batch.Waiting.empty())
    startOne(batch, bestWaiting(batch), now);
  if (batch.Settings.Preempt)
    preemptLowerPriority(batch, now);
}

std::vector<StepOutput> runStep(Batch &batch, Clock::time_point now) {
  std::vector<StepOutput> out;
  for (auto it = batch.Running.begin(); it != batch.Running.end();) {
    Stream &stream = it->second;
    if (stream.ReadyAt > now) {
      ++it;
      continue;
    }
    StepOutput output;
    output.Id = stream.Id;
    if (stream.Next < stream.Total) {
      output.Index = stream.Next++;
      output.Text = load::tokenOf(stream.PromptHash, output.Index);
    }
    output.Last = stream.Next >= stream.Total;
    if (output.Last) {
      output.Ended = std::move(stream);
      it = batch.Running.erase(it);
    } else {
      ++it;
    }
    out.push_back(std::move(output));
  }
  startWaiting(batch, now);
  return out;
}

microseconds stepTime(const Batch &batch) {
  return batch.Settings.Step +
         batch.Settings.StepPerStream *
             static_cast<std::int64_t>(batch.Running.size());
}

} // namespace greengagespar::standin
