/// \file
/// What an entry may keep of requests and answers: how its memory is divided,
/// the answer to requests without room in it, and gauges. The parts are bounded
/// by http/buffer_memory.h and direct/answer_memory.h. Not thread safe: belongs
/// to the thread of its loop.
#ifndef GREENGAGESPAR_DIRECT_ENTRY_MEMORY_H
#define GREENGAGESPAR_DIRECT_ENTRY_MEMORY_H

#include "greengagespar/direct/answer_memory.h"
#include "greengagespar/direct/site.h"
#include "greengagespar/http/buffer_memory.h"
#include "greengagespar/report/metrics.h"

namespace greengagespar {

/// Bounds in bytes.
struct MemoryPlan {
  std::size_t Buffers = 0; ///< Of BufferMemory.
  std::size_t Answers = 0; ///< Of AnswerMemory.
};

/// Divides the memory of a process of \p megabytes. Half of it is left to the
/// program, its state and the allocator. \pre \p megabytes is positive. Thread
/// safe.
MemoryPlan planMemory(double megabytes);

/// Returns the answer to a request whose body of \p size bytes, or more if its
/// length is not known, has no room in \p memory. Logs and counts it.
HttpRefusal refuseBody(const SiteDialect &dialect, Metrics &counters,
                       const BufferMemory &memory, const HttpHead &head,
                       std::size_t size);

/// Sets the gauges of both parts.
void recordMemory(const BufferMemory &buffers, const AnswerMemory &answers,
                  Metrics &counters);

} // namespace greengagespar

#endif // GREENGAGESPAR_DIRECT_ENTRY_MEMORY_H
