/// \file
/// How often an entry asks the rank agents, bounded by what an agent and the
/// driver of the groups can carry however many entries and ranks there are: the
/// entries divide the questions that each agent answers, and the driver reads
/// the counts of a rotating sample of the ranks. Pure functions; thread safe.
#ifndef GREENGAGESPAR_DIRECT_RANK_POLLING_H
#define GREENGAGESPAR_DIRECT_RANK_POLLING_H

#include <chrono>
#include <cstddef>

namespace greengagespar {

/// Bounds of the questions.
struct RankPollOptions {
  /// Interval between two samples of counts that the driver asks for.
  std::chrono::milliseconds CountInterval{150};
  /// Most agents in one sample. An answer has a number for each expert of each
  /// layer, a few kilobytes.
  std::size_t MaxSample = 96;
  /// Interval at which an entry that is not the driver asks all agents, while
  /// there are few entries. The agents send changes without being asked.
  std::chrono::milliseconds MinPresenceInterval{1000};
  /// Longest such interval. An agent that has restarted doesn't know whom to
  /// notify until it has been asked.
  std::chrono::milliseconds MaxPresenceInterval{5000};
  /// Most questions that an agent gets from such entries in a second.
  double MaxQuestionsPerSecond = 30;
};

/// Returns the interval at which each of \p entries entries asks all agents.
std::chrono::milliseconds presenceInterval(const RankPollOptions &options,
                                           std::size_t entries);

/// Returns the number of samples that cover \p agents agents, at least one.
std::size_t sampleCount(const RankPollOptions &options, std::size_t agents);

/// Returns whether agent \p index, in any fixed order, is in \p sample of
/// \p samples. The members of each sample are spread over the order, so that
/// neighbours, as the ranks of one data centre, are in different ones.
inline bool isInSample(std::size_t index, std::size_t sample,
                       std::size_t samples) {
  return index % samples == sample;
}

} // namespace greengagespar

#endif // GREENGAGESPAR_DIRECT_RANK_POLLING_H
