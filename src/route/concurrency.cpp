#include "greengagespar/route/concurrency.h"

#include <algorithm>

namespace greengagespar {

namespace {

// The number of calls that wait in the server is kept between these bounds, so
// that no slot idles between two calls: a share of the slots or a fixed number
// of calls, whichever is greater.
constexpr double MinWaitingShare = 0.0625;
constexpr double MaxWaitingShare = 0.1875;
constexpr double MinWaiting = 1.0;
constexpr double MaxWaiting = 3.0;

// Steps of the limit. AdditiveStep is in calls; one adjustment changes the
// limit at most by the factors MaxGrowthFactor and MinDecreaseFactor.
constexpr double AdditiveStep = 0.25;
constexpr double MaxGrowthFactor = 2.0;
constexpr double DecreaseFactor = 0.97;
constexpr double MinDecreaseFactor = 0.7;
// Smallest share of the load that counts as the entry's own.
constexpr double MinShare = 0.125;
// A limit of which less than MinUsedShare is used returns to its initial value
// with weight ReturnWeight per report.
constexpr double ReturnWeight = 0.02;
constexpr double MinUsedShare = 0.5;

double minTargetLoad(const ServerLoad &load) {
  return load.Slots + std::max(MinWaiting, MinWaitingShare * load.Slots);
}

double maxTargetLoad(const ServerLoad &load) {
  return load.Slots + std::max(MaxWaiting, MaxWaitingShare * load.Slots);
}

double ownShare(const ServerLoad &load, double total) {
  return total > 0 ? std::clamp(load.Own / total, MinShare, 1.0) : 1.0;
}

// Small steps accumulate in the fraction of the limit, so that the limit of an
// entry with a small part grows too.
void grow(ConcurrencyLimit &limit, double room, double share) {
  double target = limit.Value + room * share + AdditiveStep;
  limit.Value = std::min(target, limit.Value * MaxGrowthFactor);
}

// A lower limit takes effect only as calls in flight end. Therefore the limit
// doesn't fall below the number of calls that the entry should have, however
// long the excess lasts.
void shrink(ConcurrencyLimit &limit, const ServerLoad &load, double excess,
            double share) {
  double target = DecreaseFactor * limit.Value - excess * share;
  double least = load.Own - excess * share - AdditiveStep;
  target = std::max({target, least, limit.Value * MinDecreaseFactor});
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
  double room = std::max(0.0, minTargetLoad(load) - total);
  double excess = total - maxTargetLoad(load);
  double share = ownShare(load, total);
  if (load.Own < MinUsedShare * limit.Value)
    limit.Value += ReturnWeight * (limit.Initial - limit.Value);
  else if (excess > 0)
    shrink(limit, load, excess, share);
  else if (load.Own >= allowedCalls(limit))
    grow(limit, room, share);
  limit.Value = std::clamp(limit.Value, 1.0, maxTargetLoad(load));
  if (allowedCalls(limit) != static_cast<int>(before))
    limit.ChangedAt = now;
}

void lowerLimit(ConcurrencyLimit &limit, int own) {
  double value = std::min(limit.Value, static_cast<double>(own));
  limit.Value = std::max(1.0, value * MinDecreaseFactor);
}

int allowedCalls(const ConcurrencyLimit &limit) {
  return std::max(1, static_cast<int>(limit.Value));
}

} // namespace greengagespar
