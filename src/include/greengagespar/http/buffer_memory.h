/// \file
/// Bounds the bytes that a process keeps for all its callers together: bodies
/// of requests, and what callers have not taken of their answers. Large bodies
/// get only a part of the bound, so that small requests and answers under way
/// keep the rest. Not thread safe: belongs to the thread of its loop.
#ifndef GREENGAGESPAR_HTTP_BUFFER_MEMORY_H
#define GREENGAGESPAR_HTTP_BUFFER_MEMORY_H

#include <cstddef>
#include <cstdint>

namespace greengagespar {

/// Largest body in bytes that counts as small: one read fills it.
inline constexpr std::size_t MaxSmallBody = std::size_t{64} * 1024;

/// Number of copies of a body that a process may keep: the body itself, for
/// another server, and what a server has not taken of it yet.
inline constexpr std::size_t CopiesOfBody = 2;

/// Part of the bound that large bodies may fill.
inline constexpr double LargeBodiesPart = 0.75;

/// What all callers of a process make it keep, in bytes.
struct BufferMemory {
  std::size_t Limit = std::size_t{96} * 1024 * 1024;
  std::size_t Bodies = 0;  ///< Reserved for bodies, with their copies.
  std::size_t Unsent = 0;  ///< Answers that callers have not taken yet.
  std::size_t Readers = 0; ///< Callers that have such bytes.
  std::uint64_t BodiesRefused = 0;
  std::uint64_t ReadersEnded = 0; ///< Callers that were closed for all others.
};

/// Whether a body of \p size bytes can never be kept, whatever else is.
bool isBeyondMemory(const BufferMemory &memory, std::size_t size);

/// Whether there is room for more unsent bytes.
bool hasRoomForAnswers(const BufferMemory &memory);

/// Records that the unsent bytes of one caller change from \p before to
/// \p after.
void recordUnsent(BufferMemory &memory, std::size_t before, std::size_t after);

/// Whether a caller that has \p unsent bytes must be closed: all callers have
/// more than is left beside the bodies, and this one more than an equal part of
/// it. Callers that take their answers in time are never the ones to close.
bool mustEndReader(const BufferMemory &memory, std::size_t unsent);

/// The part of one body. Gives its bytes back when it is destroyed.
class BodyShare {
public:
  /// Precondition: \p all outlives the share.
  explicit BodyShare(BufferMemory &all) : All(all) {}
  ~BodyShare() { All.Bodies -= Own; }
  BodyShare(const BodyShare &) = delete;
  BodyShare &operator=(const BodyShare &) = delete;

  /// Reserves the memory for a body of \p size bytes in place of what was
  /// reserved before. Returns false, and changes nothing, if there is no room;
  /// a size that is not larger than before always has room.
  bool reserve(std::size_t size);

private:
  BufferMemory &All;
  std::size_t Own = 0; ///< Bytes of All.Bodies.
};

} // namespace greengagespar

#endif // GREENGAGESPAR_HTTP_BUFFER_MEMORY_H
