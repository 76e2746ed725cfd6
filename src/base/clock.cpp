#include "greengagespar/base/clock.h"

#include <algorithm>
#include <atomic>

namespace greengagespar {

Incarnation newIncarnation() {
  static std::atomic<std::uint64_t> last{0};
  auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  auto wall = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch)
          .count());
  std::uint64_t before = last.load();
  std::uint64_t next = std::max(wall, before + 1);
  while (!last.compare_exchange_weak(before, next))
    next = std::max(wall, before + 1);
  return {next};
}

} // namespace greengagespar
