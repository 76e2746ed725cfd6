#include "greengagespar/store/poll_schedule.h"

#include <algorithm>

namespace greengagespar {

using std::chrono::milliseconds;

milliseconds pollCycle(const PollSpread &spread, const PollSlot &slot) {
  if (spread.Gap <= milliseconds::zero())
    return spread.Wait;
  auto all = spread.Gap *
             static_cast<std::int64_t>(std::max<std::size_t>(1, slot.Count));
  return std::min<milliseconds>(all, spread.Wait);
}

milliseconds firstPollWait(const PollSpread &spread, const PollSlot &slot) {
  auto count = static_cast<std::int64_t>(std::max<std::size_t>(1, slot.Count));
  auto position = std::min(static_cast<std::int64_t>(slot.Position), count - 1);
  return pollCycle(spread, slot) * (position + 1) / count;
}

} // namespace greengagespar
