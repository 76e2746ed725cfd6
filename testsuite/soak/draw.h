/// \file
/// Seeded choices of a soak. Not thread safe.
#ifndef GREENGAGESPAR_SOAK_DRAW_H
#define GREENGAGESPAR_SOAK_DRAW_H

#include <chrono>
#include <cstdint>
#include <random>

namespace greengagespar::soak {

/// Draws from one seeded series.
class Draw {
public:
  explicit Draw(std::uint64_t seed) : Rng(seed) {}

  /// Returns a number below \p count.
  /// \pre \p count > 0
  std::size_t pick(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(Rng);
  }
  /// Returns a time from \p low to \p high, both included.
  /// \pre \p low <= \p high
  std::chrono::milliseconds within(std::chrono::milliseconds low,
                                   std::chrono::milliseconds high) {
    return std::chrono::milliseconds(
        std::uniform_int_distribution<std::int64_t>(low.count(),
                                                    high.count())(Rng));
  }
  /// Returns true with a probability of \p percent in a hundred.
  bool hits(std::size_t percent) { return pick(100) < percent; }

private:
  std::mt19937_64 Rng;
};

} // namespace greengagespar::soak

#endif // GREENGAGESPAR_SOAK_DRAW_H
