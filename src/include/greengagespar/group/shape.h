/// \file
/// Shape of an expert-parallel group and strong types for the indices of its
/// parts. Plain values, safe to copy between threads.
#ifndef GREENGAGESPAR_GROUP_SHAPE_H
#define GREENGAGESPAR_GROUP_SHAPE_H

#include <cstddef>
#include <cstdint>

namespace greengagespar {

/// Index of a rank in its group, from 0.
enum class Rank : std::uint16_t {};
/// Index of an expert in its layer, from 0.
enum class Expert : std::uint16_t {};
/// Index of a layer that has experts, from 0.
enum class Layer : std::uint16_t {};

/// Value of a slot that holds no expert.
inline constexpr Expert NoExpert{0xffff};

/// Returns the position of \p id in tables indexed by it.
template <class Id> constexpr std::size_t indexOf(Id id) {
  return static_cast<std::size_t>(id);
}

/// Numbers of ranks, experts, layers and slots of a group. A slot holds the
/// weights of one expert of one layer.
/// Precondition of all functions with a shape: all numbers are over 0,
/// Ranks * SlotsPerLayer >= Experts, SlotsPerLayer <= Experts.
struct GroupShape {
  std::size_t Ranks = 0;         ///< Ranks that run in lock-step.
  std::size_t Experts = 0;       ///< Experts of each layer.
  std::size_t Layers = 0;        ///< Layers that have experts.
  std::size_t SlotsPerLayer = 0; ///< Slots of one rank in one layer.

  bool operator==(const GroupShape &) const = default;
};

/// Returns the number of slots of all ranks in one layer.
constexpr std::size_t slotsOfLayer(const GroupShape &shape) {
  return shape.Ranks * shape.SlotsPerLayer;
}

} // namespace greengagespar

#endif // GREENGAGESPAR_GROUP_SHAPE_H
