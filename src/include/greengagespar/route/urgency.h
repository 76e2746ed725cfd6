/// \file
/// The order of urgency between the calls of one service, and what keeps the
/// less urgent ones from starving. More urgent calls start first. A level whose
/// calls are served much less often than all calls together is owed a start,
/// which comes before any other. Pure functions; not thread safe.
#ifndef GREENGAGESPAR_ROUTE_URGENCY_H
#define GREENGAGESPAR_ROUTE_URGENCY_H

#include <array>
#include <compare>
#include <cstddef>
#include <optional>

namespace greengagespar {

/// Number of levels of urgency.
inline constexpr int UrgencyLevels = 10;

/// How urgent a call is among those of its service: 0 is the most urgent level,
/// UrgencyLevels - 1 the least urgent.
struct Urgency {
  int Level = 0;
  auto operator<=>(const Urgency &) const = default;
};

/// Returns the urgency of \p level, moved to the nearest level that exists.
Urgency urgencyAt(int level);

/// The calls of one level.
struct UrgencyCounts {
  double Arrived = 0; ///< Decayed number of calls that arrived.
  double Started = 0; ///< Decayed number of those that started.
};

/// The newest calls of one service by urgency. The counts decay with each
/// arrival, so that they describe the newest few hundred calls.
struct UrgencyShares {
  /// A level is owed a start when the share of its calls that start is below
  /// this part of the share of all calls, and a little less for less urgent
  /// levels.
  double OwedShare = 0.4;
  std::array<UrgencyCounts, UrgencyLevels> Levels{};
};

/// Records that a call arrived, whether it is accepted or refused.
void recordArrival(UrgencyShares &shares, Urgency urgency);

/// Records that a call started.
void recordStart(UrgencyShares &shares, Urgency urgency);

/// Returns the share of all newest calls that started, from 0 to 1.
double startedShare(const UrgencyShares &shares);

/// Returns the level that is owed a start: of those below their OwedShare, that
/// which is furthest below it. Empty when there is none, as when all calls have
/// the same urgency.
std::optional<Urgency> owedUrgency(const UrgencyShares &shares);

/// Returns which part of all starts, from 0 to 1, is left for the calls of
/// \p urgency and of less urgent levels after the more urgent ones have had
/// theirs. It is 1 for the level that is owed a start.
double shareLeftFor(const UrgencyShares &shares, Urgency urgency);

} // namespace greengagespar

#endif // GREENGAGESPAR_ROUTE_URGENCY_H
