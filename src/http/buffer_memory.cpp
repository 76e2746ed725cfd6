#include "greengagespar/http/buffer_memory.h"

#include <limits>

namespace greengagespar {

namespace {

// Returns the bytes that all copies of a body of \p size bytes take, or the
// largest number for a size that no memory holds.
std::size_t costOf(std::size_t size) {
  constexpr std::size_t most = std::numeric_limits<std::size_t>::max() / 2;
  return size > most / CopiesOfBody ? most : size * CopiesOfBody;
}

// Returns the bound on all bytes for a body that takes \p cost bytes.
std::size_t limitFor(const BufferMemory &memory, std::size_t cost) {
  if (cost <= MaxSmallBody * CopiesOfBody)
    return memory.Limit;
  return static_cast<std::size_t>(LargeBodiesPart *
                                  static_cast<double>(memory.Limit));
}

} // namespace

bool isBeyondMemory(const BufferMemory &memory, std::size_t size) {
  std::size_t cost = costOf(size);
  return cost > limitFor(memory, cost);
}

bool hasRoomForAnswers(const BufferMemory &memory) {
  return memory.Bodies + memory.Unsent < memory.Limit;
}

void recordUnsent(BufferMemory &memory, std::size_t before, std::size_t after) {
  memory.Unsent = memory.Unsent - before + after;
  if (before == 0 && after > 0)
    ++memory.Readers;
  else if (before > 0 && after == 0)
    --memory.Readers;
}

bool mustEndReader(const BufferMemory &memory, std::size_t unsent) {
  if (hasRoomForAnswers(memory) || memory.Readers == 0)
    return false;
  std::size_t left =
      memory.Limit > memory.Bodies ? memory.Limit - memory.Bodies : 0;
  return unsent > left / memory.Readers;
}

bool BodyShare::reserve(std::size_t size) {
  std::size_t cost = costOf(size);
  if (cost <= Own)
    return true;
  std::size_t others = All.Bodies - Own + All.Unsent;
  std::size_t limit = limitFor(All, cost);
  if (cost > limit || others > limit - cost)
    return false;
  All.Bodies = All.Bodies - Own + cost;
  Own = cost;
  return true;
}

} // namespace greengagespar
