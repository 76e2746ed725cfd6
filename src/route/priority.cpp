#include "greengagespar/route/priority.h"

#include <algorithm>

namespace greengagespar {

namespace {

// Lower bounds of the classes Long and VeryLong, as multiples of ShortTokens.
constexpr int LongFactor = 2;
constexpr int VeryLongFactor = 16;

// ShortTokens is twice the lower fifth (20 % quantile) of all lengths, within
// bounds. It is updated once there are MinAnswers answers.
constexpr double ShortQuantile = 0.2;
constexpr double ShortFactor = 2;
constexpr int MinShortTokens = 16;
constexpr int MaxShortTokens = 1024;
constexpr std::size_t MinAnswers = 8;

constexpr std::chrono::milliseconds UrgentSlack{1000};
constexpr int PriorityStep = 10;
constexpr Clock::rep MaxSteps = 1000;

constexpr double ReservedShare = 0.25;

bool mayPark(const StreamProgress &stream) {
  if (!isLong(stream.Length))
    return false;
  if (stream.ThisRun < MinRunTime || stream.Slack < UrgentSlack + MaxParkTime)
    return false;
  std::chrono::duration<double> parked = stream.Parked + MaxParkTime;
  std::chrono::duration<double> run = stream.Run;
  return parked <= MaxParkedShare * run;
}

} // namespace

void recordLength(LengthScale &scale, int tokens) {
  addSample(scale.Answers, tokens);
  if (scale.Answers.Count < MinAnswers)
    return;
  double lowQuantile = quantileOf(scale.Answers, ShortQuantile);
  scale.ShortTokens = std::clamp(static_cast<int>(ShortFactor * lowQuantile),
                                 MinShortTokens, MaxShortTokens);
}

LengthClass classifyLength(int tokens, const LengthScale &scale) {
  if (tokens < scale.ShortTokens)
    return LengthClass::Short;
  if (tokens < LongFactor * scale.ShortTokens)
    return LengthClass::Medium;
  return tokens < VeryLongFactor * scale.ShortTokens ? LengthClass::Long
                                                     : LengthClass::VeryLong;
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
