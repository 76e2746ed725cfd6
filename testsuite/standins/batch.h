/// \file
/// The engine stand-in's continuous batching: slots, priorities, prefill and a
/// small prefix cache, as plain state with free functions. Not thread safe.
#ifndef GREENGAGESPAR_STANDINS_BATCH_H
#define GREENGAGESPAR_STANDINS_BATCH_H

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string>
#include <vector>

namespace greengagespar::standin {

using Clock = std::chrono::steady_clock;
using std::chrono::microseconds;

/// The options of the engine stand-in that shape its batching.
struct BatchSettings {
  int Slots = 16;                  ///< Streams that run at a time.
  int MaxWaiting = 1000;           ///< Streams that may wait; more are refused.
  microseconds Step{10000};        ///< Duration of a step without streams.
  microseconds StepPerStream{0};   ///< Added for each running stream.
  microseconds PrefillPerToken{0}; ///< Prefill time of an uncached token.
  bool Preempt = false;  ///< A waiting stream of better priority replaces a
                         ///< running one.
  int CacheEntries = 64; ///< Prefixes that the cache holds.
  microseconds CacheEventDelay{200000}; ///< Until an event becomes visible.
  std::uint64_t CacheEventGap = 10;     ///< Every n-th event is lost; 0: none.
};

/// One generation request and its progress.
struct Stream {
  std::string Id;
  std::string CacheKey; ///< Empty: its prompt is not cached.
  std::uint64_t PromptHash = 0;
  std::uint64_t PromptTokens = 0;
  std::uint64_t Next = 0;    ///< Index of the next token.
  std::uint64_t Total = 0;   ///< Tokens of the whole answer.
  bool CutByLimit = false;   ///< The token limit ends the answer, not the text.
  double Priority = 0;       ///< The lowest starts first.
  std::uint64_t Arrival = 0; ///< Sequence number; orders equal priorities.
  bool Prefilled = false;    ///< Its prefill has started or isn't needed.
  Clock::time_point ReadyAt{}; ///< When its prefill is complete.
};

/// A published cache event.
struct CacheEvent {
  std::uint64_t Number = 0;
  bool Stored = false; ///< Whether the prefix was stored; false: removed.
  std::string CacheKey;
  Clock::time_point VisibleAt{}; ///< Queries before this don't return it.
};

/// The prefix cache. The least recently used entry is the last one.
struct PrefixCache {
  std::list<std::pair<std::string, std::uint64_t>> Entries; ///< Key, tokens.
  std::uint64_t Tokens = 0; ///< Sum over all entries.
  std::uint64_t NextEvent = 1;
  std::uint64_t Hits = 0; ///< Streams whose prefix was cached.
  std::deque<CacheEvent> Events;
};

/// The token that one step generated for one stream.
struct StepOutput {
  std::string Id;
  std::uint64_t Index = 0; ///< The token's index in the answer.
  std::string Text;        ///< Empty: the stream ended without a token.
  bool Last = false; ///< The stream has ended and was removed from the batch.
  Stream Ended;      ///< The ended stream; set only if Last.
};

/// All streams of an engine, and its cache.
struct Batch {
  BatchSettings Settings;
  std::map<std::string, Stream> Running; ///< By stream id.
  std::map<std::string, Stream> Waiting; ///< By stream id.
  std::uint64_t NextArrival = 1;
  PrefixCache Cache;
};

/// Adds a new stream and starts it if a slot is free. Returns false when the
/// queue is full. Precondition: no stream has this id.
bool addStream(Batch &batch, Stream stream, Clock::time_point now);

/// Returns the running or waiting stream with this id; null when there is none.
Stream *findStream(Batch &batch, const std::string &id);

/// Removes a running or waiting stream. Returns false when there is none.
bool removeStream(Batch &batch, const std::string &id);

/// Moves waiting streams into free slots, lowest priority value first. With
/// preemption, waiting streams of better priority also replace running ones.
void startWaiting(Batch &batch, Clock::time_point now);

/// Generates one token for each running stream whose prefill is complete, and
/// starts waiting streams in the slots that become free.
std::vector<StepOutput> runStep(Batch &batch, Clock::time_point now);

/// Returns the duration of the next step.
microseconds stepTime(const Batch &batch);

} // namespace greengagespar::standin

#endif // GREENGAGESPAR_STANDINS_BATCH_H
