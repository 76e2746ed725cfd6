#include "greengagespar/group/rank_speed.h"

#include <algorithm>
#include <cmath>

namespace greengagespar {

double slownessFrom(const RankSpeedLimits &limits, double before, double pace) {
  if (!std::isfinite(pace) || pace <= 0)
    return before;
  bool isSlow =
      pace >= limits.SlowFrom || (before > 1 && pace >= limits.SoundBelow);
  return isSlow ? std::min(pace, limits.Most) : 1;
}

} // namespace greengagespar
