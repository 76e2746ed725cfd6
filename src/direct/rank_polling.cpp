#include "greengagespar/direct/rank_polling.h"

#include <algorithm>

namespace greengagespar {

using std::chrono::milliseconds;

milliseconds presenceInterval(const RankPollOptions &options,
                              std::size_t entries) {
  std::chrono::duration<double> fair{static_cast<double>(entries) /
                                     options.MaxQuestionsPerSecond};
  return std::clamp(std::chrono::ceil<milliseconds>(fair),
                    options.MinPresenceInterval, options.MaxPresenceInterval);
}

std::size_t sampleCount(const RankPollOptions &options, std::size_t agents) {
  return std::max<std::size_t>(1, (agents + options.MaxSample - 1) /
                                      options.MaxSample);
}

} // namespace greengagespar
