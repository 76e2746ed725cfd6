/// \file
/// Whether a group accepts work, from the reports of its ranks. All ranks of a
/// group break and form again together, so the first report of any of them is
/// news about all. Pure functions; not thread safe on one value.
#ifndef GREENGAGESPAR_GROUP_STANDING_H
#define GREENGAGESPAR_GROUP_STANDING_H

#include "greengagespar/base/clock.h"
#include <cstdint>

namespace greengagespar {

/// What the newest reports say.
struct GroupStanding {
  /// Newest epoch reported. A group that has broken forms again in a higher
  /// one.
  std::uint64_t Epoch = 0;
  bool IsBroken = false;        ///< A rank reported that Epoch has ended.
  Clock::time_point BrokenAt{}; ///< Latest report of a broken group.
  Clock::time_point SpreadAt{}; ///< When Broken was last returned.
};

/// What a report means for all ranks of the group.
enum class StandingNews {
  None,
  Broken, ///< No rank accepts work.
  Formed, ///< All ranks accept work.
};

/// Interval at which the ranks of a broken group go on to report it, and at
/// which Broken is returned again.
inline constexpr std::chrono::milliseconds BrokenSpreadInterval{1000};

/// Records the report of one rank at \p now. A report of an earlier epoch is
/// outdated, and so is one of an open group shortly after another rank has
/// reported that the same epoch has ended: ranks read their state at different
/// times.
inline StandingNews recordStanding(GroupStanding &group, std::uint64_t epoch,
                                   bool isOpen, Clock::time_point now) {
  if (epoch < group.Epoch)
    return StandingNews::None;
  bool isNewEpoch = epoch > group.Epoch;
  bool wasBroken = group.IsBroken;
  bool isOutdated =
      !isNewEpoch && wasBroken && now - group.BrokenAt < BrokenSpreadInterval;
  if (isOpen && isOutdated)
    return StandingNews::None;
  group.Epoch = epoch;
  group.IsBroken = !isOpen;
  if (isOpen)
    return isNewEpoch || wasBroken ? StandingNews::Formed : StandingNews::None;
  group.BrokenAt = now;
  if (!isNewEpoch && wasBroken && now - group.SpreadAt < BrokenSpreadInterval)
    return StandingNews::None;
  group.SpreadAt = now;
  return StandingNews::Broken;
}

} // namespace greengagespar

#endif // GREENGAGESPAR_GROUP_STANDING_H
