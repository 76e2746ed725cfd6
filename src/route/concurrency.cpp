#include "greengagespar/route/concurrency.h"

#include <algorithm>

namespace greengagespar {

namespace {

// Calls kept waiting in the server so that no slot idles between two calls.
constexpr double MinWaitingShare = 0.0625;
constexpr double MaxWaitingShare = 0.1875;
constexpr double MinWaiting = 1.0;
constexpr double MaxWaiting = 3.0;

constexpr double EqualStep = 0.25;
constexpr double MaxGrowth = 2.0;
constexpr double DecreaseFactor = 0.97;
constexpr double MaxDecrease = 0.7;
constexpr double MinShare = 0.125;
constexpr double ReturnWeight = 0.02;
constexpr double UsedShare = 0.5;

double leastTarget(const ServerLoad &load) {
  return load.Slots + std::max(MinWaiting, MinWaitingShare * load.Slots);
}

double greatestTarget(const ServerLoad &load) {
  return load.Slots + std::max(MaxWaiting, MaxWaitingShare * load.Slots);
}

double ownShare(const ServerLoad &load, double total) {
  return total > 0 ? std::clamp(load.Own / total, MinShare, 1.0) : 1.0;
}

// Steps add up in the fraction, so that a small part still grows.
void grow(ConcurrencyLimit &limit, double room, double share) {
  double target = limit.Value + room * share + EqualStep;
  limit.Value = std::min(target, limit.Value * MaxGrowth);
}

// Calls in flight end in their own time: the limit goes no lower than where
// they should be, however long the excess lasts.
void shrink(ConcurrencyLimit &limit, const ServerLoad &load, double excess,
            double share) {
  double target = DecreaseFactor * limit.Value - excess * share;
  double least = load.Own - excess * share - EqualStep;
  target = std::max({target, least, limit.Value * MaxDecrease});
  limit.Value = std::min(limit.Value, target);
}

} // namespace

ConcurrencyLimit initialLimit(int slots, int entries) {
  double value = static_cast<double>(slots) / std::max(1, entries);
  value = std::max(1.0, value);
  return {value, value};
}

void adjustLimit(ConcurrencyLimit &limit, const ServerLoad &load,
                 Clock::time_point now) {
  if (load.AsOf < limit.ChangedAt)
    return;
  double before = limit.Value;
  double total = std::max(load.Running + load.Waiting, load.Own);
  double room = std::max(0.0, leastTarget(load) - total);
  double excess = total - greatestTarget(load);
  double share = ownShare(load, total);
  if (load.Own < UsedShare * limit.Value)
    limit.Value += ReturnWeight * (limit.Initial - limit.Value);
  else if (excess > 0)
    shrink(limit, load, excess, share);
  else if (load.Own >= allowedCalls(limit))
    grow(limit, room, share);
  limit.Value = std::clamp(limit.Value, 1.0, greatestTarget(load));
  if (allowedCalls(limit) != static_cast<int>(before))
    limit.ChangedAt = now;
}

void lowerLimit(ConcurrencyLimit &limit, int own) {
  double value = std::min(limit.Value, static_cast<double>(own));
  limit.Value = std::max(1.0, value * MaxDecrease);
}

int allowedCalls(const ConcurrencyLimit &limit) {
  return std::max(1, static_cast<int>(limit.Value));
}

} // namespace greengagespar
