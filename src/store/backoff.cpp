#include "greengagespar/store/backoff.h"

#include <algorithm>
#include <cstdint>

namespace greengagespar {

namespace {

/// The bound is doubled at most this often, which keeps the shift in range.
constexpr int MaxDoublings = 30;

} // namespace

std::chrono::milliseconds nextDelay(Backoff &backoff, std::mt19937_64 &rng) {
  int doublings = std::min(backoff.Failures, MaxDoublings);
  std::int64_t grown = backoff.Options.Base.count() << doublings;
  std::int64_t bound = std::min(grown, backoff.Options.Cap.count());
  backoff.Failures = std::min(backoff.Failures + 1, MaxDoublings);
  std::uniform_int_distribution<std::int64_t> pick(0, bound);
  return std::chrono::milliseconds(pick(rng));
}

} // namespace greengagespar
