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

/// What a test sets.
struct BatchSettings {
  int Slots = 16;           ///< Streams that run at a time.
  int MaxWaiting = 1000;    ///< Streams that wait; more are refused.
  microseconds Step{10000}; ///< Time of one step without streams.
  microseconds StepPerStream{0};
  microseconds PrefillPerToken{0};
  bool Preempt = false; ///< A better waiting stream takes a running one's slot.
  int CacheEntries = 64;
  microseconds CacheEventDelay{200000};
  std::uint64_t CacheEventGap = 10; ///< Each n-th event is lost; 0: none.
};

/// One stream.
struct Stream {
  std::string Id;
  std::string CacheKey;
  std::uint64_t PromptHash = 0;
  std::uint64_t PromptTokens = 0;
  std::uint64_t Next = 0;  ///< Index of the next token.
  std::uint64_t Total = 0; ///< Tokens of the whole answer.
  bool CutByLimit = false; ///< The limit ended it, not the text.
  double Priority = 0;     ///< Lower goes first.
  std::uint64_t Arrival = 0;
  bool Prefilled = false;
  Clock::time_point ReadyAt{}; ///< When its prefill is done.
};

/// A published cache event.
struct CacheEvent {
  std::uint64_t Number = 0;
  bool Stored = false; ///< Else removed.
  std::string CacheKey;
  Clock::time_point VisibleAt{};
};

/// The prefix cache, least recently used last.
struct PrefixCache {
  std::list<std::pair<std::string, std::uint64_t>> Entries; ///< Key, tokens.
  std::uint64_t Tokens = 0;
  std::uint64_t NextEvent = 1;
  std::uint64_t Hits = 0;
  std::deque<CacheEvent> Events;
};

/// What one step made.
struct Output {
  std::string Id;
  std::uint64_t Index = 0;
  std::string Text;
  bool Last = false; ///< The stream has ended and is gone from the batch.
  Stream Ended;      ///< Set when Last.
};

/// All streams.
struct Batch {
  BatchSettings Settings;
  std::map<std::string, Stream> Running;
  std::map<std::string, Stream> Waiting;
  std::uint64_t NextArrival = 1;
  PrefixCache Cache;
};

/// Takes a new stream. Returns false when the queue is full. Precondition: no
/// stream has this id.
bool addStream(Batch &batch, Stream stream, Clock::time_point now);

/// Finds a stream; null when there is none.
Stream *findStream(Batch &batch, const std::string &id);

/// Removes a stream. Returns false when there is none.
bool removeStream(Batch &batch, const std::string &id);

/// Moves waiting streams into free slots, best priority first.
void startWaiting(Batch &batch, Clock::time_point now);

/// Makes one token for each running stream whose prefill is done.
std::vector<Output> runStep(Batch &batch, Clock::time_point now);

/// The time that the next step takes.
microseconds stepTime(const Batch &batch);

} // namespace greengagespar::standin

#endif // GREENGAGESPAR_STANDINS_BATCH_H
