#include "greengagespar/route/priority.h"

#include <algorithm>

namespace greengagespar {

namespace {

// Classes as multiples of what short answers take.
constexpr int LongFactor = 2;
constexpr int StragglerFactor = 16;

// Short answers take twice the lower fifth of all lengths, within bounds.
constexpr double ShortQuantile = 0.2;
constexpr double ShortFactor = 2;
constexpr int LeastShortTokens = 16;
constexpr int MostShortTokens = 1024;
constexpr std::size_t MinAnswers = 8;

constexpr std::chrono::milliseconds UrgentSlack{1000};
constexpr int PriorityStep = 10;
constexpr Clock::rep MaxSteps = 1000;

constexpr double ReservedShare = 0.25;

bool mayPark(const StreamProgress &stream) {
  if (!isLong(stream.Length))
    return false;
  if (stream.ThisRun < MinRun || stream.Slack < UrgentSlack + ParkTime)
    return false;
  std::chrono::duration<double> parked = stream.Parked + ParkTime;
  std::chrono::duration<double> run = stream.Run;
  return parked <= MaxParkedShare * run;
}

} // namespace

void noteLength(LengthScale &scale, int tokens) {
  addSample(scale.Answers, tokens);
  if (scale.Answers.Count < MinAnswers)
    return;
  double few = quantileOf(scale.Answers, ShortQuantile);
  scale.ShortTokens = std::clamp(static_cast<int>(ShortFactor * few),
                                 LeastShortTokens, MostShortTokens);
}

LengthClass lengthClass(int tokens, const LengthScale &scale) {
  if (tokens < scale.ShortTokens)
    return LengthClass::Short;
  if (tokens < LongFactor * scale.ShortTokens)
    return LengthClass::Medium;
  return tokens < StragglerFactor * scale.ShortTokens ? LengthClass::Long
                                                      : LengthClass::Straggler;
}

Priority priorityFor(LengthClass length, Clock::duration slack,
                     Clock::duration sinceToken) {
  int level = static_cast<int>(length);
  if (slack < UrgentSlack)
    level = 0;
  auto steps = std::max<Clock::rep>(0, sinceToken / AgingStep);
  return {(level - static_cast<int>(std::min(steps, MaxSteps))) * PriorityStep};
}

int reservedSlots(int limit) {
  if (limit < 2)
    return 0;
  return std::max(1, static_cast<int>(limit * ReservedShare));
}

bool admitToServer(const ServerSlots &slots, LengthClass length) {
  if (!isLong(length)) {
    int beyond = slots.Preempts ? reservedSlots(slots.Limit) : 0;
    return slots.Running < slots.Limit + beyond;
  }
  if (slots.Running >= slots.Limit)
    return false;
  return slots.LongRunning < slots.Limit - reservedSlots(slots.Limit);
}

std::vector<CallId> chooseToPark(std::vector<StreamProgress> streams,
                                 const ServerSlots &held, int shortWaiting) {
  int overReserve = held.LongRunning - (held.Limit - reservedSlots(held.Limit));
  int needed = std::min(shortWaiting, overReserve);
  std::erase_if(streams, [](const auto &it) { return !mayPark(it); });
  std::sort(streams.begin(), streams.end(), [](const auto &a, const auto &b) {
    return a.Tokens != b.Tokens ? a.Tokens > b.Tokens : a.Id < b.Id;
  });
  std::vector<CallId> parked;
  for (const StreamProgress &it : streams) {
    if (static_cast<int>(parked.size()) >= needed)
      break;
    parked.push_back(it.Id);
  }
  return parked;
}

} // namespace greengagespar
