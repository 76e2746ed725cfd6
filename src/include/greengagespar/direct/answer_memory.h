/// \file
/// Bounds the bytes of answers that an entry keeps until they are complete,
/// over all its connections to servers together. Not thread safe: belongs to
/// the thread of its loop.
#ifndef GREENGAGESPAR_DIRECT_ANSWER_MEMORY_H
#define GREENGAGESPAR_DIRECT_ANSWER_MEMORY_H

#include <cstddef>

namespace greengagespar {

/// Most bytes of unfinished answers that one entry keeps, whatever its memory.
inline constexpr std::size_t MaxAnswerMemory = std::size_t{32} * 1024 * 1024;

/// What all unfinished answers of an entry keep together.
struct AnswerMemory {
  std::size_t Bytes = 0;
  std::size_t Limit = MaxAnswerMemory;
  std::size_t Answers = 0; ///< Number of attempts that may keep bytes.
};

/// The part of one answer. Gives its bytes back when it is destroyed.
class AnswerShare {
public:
  /// Precondition: \p all outlives the share.
  explicit AnswerShare(AnswerMemory &all);
  ~AnswerShare();
  AnswerShare(const AnswerShare &) = delete;
  AnswerShare &operator=(const AnswerShare &) = delete;

  /// Records that the answer keeps \p bytes now. Returns false if it must end:
  /// all answers together are over their limit, and this one over an equal
  /// part of it. Answers that keep little are never the ones to end.
  bool keep(std::size_t bytes);

private:
  AnswerMemory &All;
  std::size_t Own = 0;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_DIRECT_ANSWER_MEMORY_H
