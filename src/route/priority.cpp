#include "greengagespar/route/priority.h"

#include <algorithm>

namespace greengagespar {

namespace {

constexpr int MediumTokens = 64;
constexpr int LongTokens = 256;
constexpr int StragglerTokens = 1024;

constexpr std::chrono::milliseconds UrgentSlack{1000};
constexpr int PriorityStep = 10;
constexpr Clock::rep MaxSteps = 1000;

constexpr double ReservedShare = 0.25;

bool mayPark(const StreamProgress &stream) {
  if (!isLong(lengthClass(stream.Tokens)))
    return false;
  if (stream.ThisRun < MinRun || stream.Slack < UrgentSlack + ParkTime)
    return false;
  std::chrono::duration<double> parked = stream.Parked + ParkTime;
  std::chrono::duration<double> run = stream.Run;
  return parked <= MaxParkedShare * run;
}

} // namespace

LengthClass lengthClass(int tokens) {
  if (tokens < MediumTokens)
    return LengthClass::Short;
  if (tokens < LongTokens)
    return LengthClass::Medium;
  return tokens < StragglerTokens ? LengthClass::Long : LengthClass::Straggler;
}

Priority priorityFor(int tokens, Clock::duration slack,
                     Clock::duration sinceToken) {
  int level = static_cast<int>(lengthClass(tokens));
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
  if (slots.Running >= slots.Limit)
    return false;
  if (!isLong(length))
    return true;
  return slots.LongRunning < slots.Limit - reservedSlots(slots.Limit);
}

std::vector<CallId> chooseToPark(std::vector<StreamProgress> streams,
                                 const ServerSlots &slots, int shortWaiting) {
  int free = std::max(0, slots.Limit - slots.Running);
  int overReserve =
      slots.LongRunning - (slots.Limit - reservedSlots(slots.Limit));
  int needed = std::min(shortWaiting - free, overReserve);
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
