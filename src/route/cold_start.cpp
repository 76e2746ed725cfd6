#include "greengagespar/route/cold_start.h"

#include <algorithm>
#include <cmath>

namespace greengagespar {

namespace {

using std::chrono::milliseconds;

// Number of sets of holders among which the bound is divided, see the header.
constexpr double DividedViews = 2;

// The least rate of all holders: a server that gets nothing would never show
// that it answers.
constexpr double LeastPerSecond = 0.25;

// Time in which the bound doubles while a server becomes warm.
constexpr milliseconds DoublingTime{500};

// More holders than any site has entries.
constexpr double MaxHolders = 100'000;

// Returns the end of a statement received at `now`.
Clock::time_point endOf(milliseconds remaining, Clock::time_point now) {
  return now + std::min<milliseconds>(remaining, MaxColdTime);
}

void prolong(std::optional<Clock::time_point> &until, Clock::time_point end) {
  until = std::max(until.value_or(end), end);
}

// Returns a rate at which a holder sends at most `most` requests in any second.
double rateOf(double most) {
  // Below the greatest one, so that no second begins and ends with a request.
  constexpr double margin = 0.99;
  return margin * std::min(most, (most + 1) / (1 + TokenSaveTime.count()));
}

// Returns the factor by which the bound has grown at `now`.
double growthAt(const ColdState &state, Clock::time_point now) {
  if (isCold(state, now))
    return 1;
  auto steps = 1 + (now - *state.Until) / DoublingTime;
  return std::exp2(static_cast<double>(steps));
}

} // namespace

bool isBounded(const ColdStartRule &rule) {
  return rule.PerSecond > 0 && rule.Overage > 0;
}

void recordCold(ColdState &state, milliseconds remaining,
                Clock::time_point now) {
  if (remaining <= milliseconds::zero())
    return;
  prolong(state.Until, endOf(remaining, now));
  prolong(state.OwnUntil, endOf(remaining, now));
}

void recordToldCold(ColdState &state, milliseconds remaining,
                    Clock::time_point now) {
  if (remaining > milliseconds::zero())
    prolong(state.Until, endOf(remaining, now));
}

void suspectCold(ColdState &state, const ColdStartRule &rule,
                 Clock::time_point now) {
  if (isBounded(rule))
    recordToldCold(state, rule.ColdTime, now);
}

bool isCold(const ColdState &state, Clock::time_point now) {
  return state.Until && now < *state.Until;
}

bool isLimited(const ColdState &state, Clock::time_point now) {
  return state.Until && now < *state.Until + WarmingTime;
}

EqualParts divisionOf(const ColdStartRule &rule, const ColdState &state,
                      const ColdSharers &sharers, Clock::time_point now) {
  double growth = growthAt(state, now);
  double bound = (rule.PerSecond * rule.Overage + rule.Slack) * growth;
  double budget = bound / DividedViews;
  auto known = static_cast<double>(
      std::max<std::size_t>({1, sharers.Known, sharers.Entries.size()}));
  bool allHold = !sharers.IsAlone && known <= bound;
  double holders =
      allHold ? known : std::clamp(std::floor(budget), 1.0, MaxHolders);
  double most = allHold ? std::max(1.0, std::floor(budget / known)) : 1;
  EqualParts parts;
  parts.Holders = static_cast<std::size_t>(holders);
  parts.LeastParts = parts.Holders;
  double rate = std::min(rule.PerSecond * growth, holders * rateOf(most));
  parts.PerSecond = std::max(LeastPerSecond, rate);
  return parts;
}

std::optional<double> coldPart(const ColdStartRule &rule,
                               const ColdState &state,
                               ServerIncarnationId server, const Address &self,
                               const ColdSharers &sharers,
                               Clock::time_point now) {
  if (!isBounded(rule) || !isLimited(state, now))
    return std::nullopt;
  if (sharers.IsStarting)
    return 0;
  return equalPartOfLimit(divisionOf(rule, state, sharers, now), server, self,
                          sharers.Entries);
}

} // namespace greengagespar
