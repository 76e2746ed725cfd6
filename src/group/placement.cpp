#include "greengagespar/group/placement.h"

#include "greengagespar/group/shares.h"
#include <algorithm>
#include <numeric>
#include <queue>
#include <set>

namespace greengagespar {

namespace {

std::vector<double> layerTokens(const LoadTable &loads, Layer layer) {
  std::vector<double> tokens(loads.Shape.Experts);
  for (std::size_t e = 0; e < tokens.size(); ++e)
    tokens[e] = loadOf(loads, layer, Expert(e)).Tokens;
  return tokens;
}

// An expert and the tokens that each of its replicas computes.
struct ReplicaLoad {
  double Tokens = 0;
  std::size_t ExpertIndex = 0;
  bool operator<(const ReplicaLoad &other) const {
    return Tokens < other.Tokens;
  }
};

// Returns the number of replicas of each expert that fill the slots of a layer,
// at most one for each rank. Spare slots go to the expert with the most tokens
// per replica.
std::vector<std::size_t> assignReplicas(const GroupShape &shape,
                                        const std::vector<double> &tokens) {
  std::vector<std::size_t> replicas(shape.Experts, 1);
  std::priority_queue<ReplicaLoad> byReplicaTokens;
  for (std::size_t e = 0; e < shape.Experts; ++e)
    byReplicaTokens.push({tokens[e], e});
  std::size_t spare = slotsOfLayer(shape) - shape.Experts;
  while (spare > 0 && !byReplicaTokens.empty()) {
    std::size_t e = byReplicaTokens.top().ExpertIndex;
    byReplicaTokens.pop();
    if (replicas[e] == shape.Ranks)
      continue;
    ++replicas[e];
    --spare;
    byReplicaTokens.push({tokens[e] / static_cast<double>(replicas[e]), e});
  }
  return replicas;
}

// The slots of one layer while packLayer() fills them.
struct LayerFill {
  GroupShape Shape;
  std::vector<Expert> Slots;
  std::vector<std::size_t> Used; // Filled slots of each rank.
  std::vector<double> Tokens;    // Load of each rank.
};

bool holds(const LayerFill &fill, std::size_t rank, Expert expert) {
  auto first =
      fill.Slots.begin() + static_cast<long>(rank * fill.Shape.SlotsPerLayer);
  auto last = first + static_cast<long>(fill.Used[rank]);
  return std::find(first, last, expert) != last;
}

void put(LayerFill &fill, std::size_t rank, Expert expert, double tokens) {
  fill.Slots[rank * fill.Shape.SlotsPerLayer + fill.Used[rank]] = expert;
  ++fill.Used[rank];
  fill.Tokens[rank] += tokens;
}

// Puts a replica on the least loaded rank with a free slot that does not hold
// the expert. If there is none, the function leaves the replica out, and a slot
// stays empty.
void putOnLeastLoaded(LayerFill &fill, Expert expert, double tokens) {
  std::size_t best = fill.Shape.Ranks;
  for (std::size_t r = 0; r < fill.Shape.Ranks; ++r) {
    if (fill.Used[r] == fill.Shape.SlotsPerLayer || holds(fill, r, expert))
      continue;
    if (best == fill.Shape.Ranks || fill.Tokens[r] < fill.Tokens[best])
      best = r;
  }
  if (best < fill.Shape.Ranks)
    put(fill, best, expert, tokens);
}

std::vector<Expert> packLayer(const GroupShape &shape,
                              const std::vector<double> &tokens) {
  std::vector<std::size_t> replicas = assignReplicas(shape, tokens);
  std::vector<ReplicaLoad> order;
  for (std::size_t e = 0; e < shape.Experts; ++e)
    order.push_back({tokens[e] / static_cast<double>(replicas[e]), e});
  std::stable_sort(order.rbegin(), order.rend());
  LayerFill fill{shape, std::vector<Expert>(slotsOfLayer(shape), NoExpert),
                 std::vector<std::size_t>(shape.Ranks, 0),
                 std::vector<double>(shape.Ranks, 0)};
  // One replica of each expert is placed first, so that each expert has one.
  for (const ReplicaLoad &it : order)
    putOnLeastLoaded(fill, Expert(it.ExpertIndex), it.Tokens);
  for (const ReplicaLoad &it : order)
    for (std::size_t n = 1; n < replicas[it.ExpertIndex]; ++n)
      putOnLeastLoaded(fill, Expert(it.ExpertIndex), it.Tokens);
  return fill.Slots;
}

} // namespace

std::vector<std::size_t> replicaCounts(const Placement &placement,
                                       Layer layer) {
  std::vector<std::size_t> counts(placement.Shape.Experts, 0);
  for (Expert e : layerSlots(placement, layer))
    if (e != NoExpert)
      ++counts[indexOf(e)];
  return counts;
}

bool isValidPlacement(const Placement &placement) {
  const GroupShape &shape = placement.Shape;
  for (std::size_t l = 0; l < shape.Layers; ++l) {
    std::vector<std::size_t> counts = replicaCounts(placement, Layer(l));
    if (std::find(counts.begin(), counts.end(), 0U) != counts.end())
      return false;
    std::set<std::size_t> seen;
    auto slots = layerSlots(placement, Layer(l));
    for (std::size_t i = 0; i < slots.size(); ++i) {
      std::size_t rank = i / shape.SlotsPerLayer;
      std::size_t key = rank * shape.Experts + indexOf(slots[i]);
      if (slots[i] != NoExpert && !seen.insert(key).second)
        return false;
    }
  }
  return true;
}

LayerTime layerTime(const Placement &placement, Layer layer,
                    std::span<const double> tokens) {
  std::vector<double> shares = layerShares(placement, layer);
  auto slots = layerSlots(placement, layer);
  LayerTime time;
  std::size_t i = 0;
  for (std::size_t r = 0; r < placement.Shape.Ranks; ++r) {
    double load = 0;
    for (std::size_t s = 0; s < placement.Shape.SlotsPerLayer; ++s, ++i)
      if (slots[i] != NoExpert)
        load += tokens[indexOf(slots[i])] * shares[i];
    time.Slowest = std::max(time.Slowest, load);
  }
  time.Mean = std::accumulate(tokens.begin(), tokens.end(), 0.0) /
              static_cast<double>(placement.Shape.Ranks);
  return time;
}

double stepSkew(const Placement &placement, std::span<const double> tokens) {
  LayerTime sum;
  for (std::size_t l = 0; l < placement.Shape.Layers; ++l) {
    LayerTime time = layerTime(
        placement, Layer(l),
        tokens.subspan(l * placement.Shape.Experts, placement.Shape.Experts));
    sum.Slowest += time.Slowest;
    sum.Mean += time.Mean;
  }
  return sum.Mean > 0 ? sum.Slowest / sum.Mean : 1;
}

Placement packLongestFirst(const LoadTable &loads) {
  Placement placement{loads.Shape, {}, {}};
  for (std::size_t l = 0; l < loads.Shape.Layers; ++l) {
    std::vector<Expert> slots =
        packLayer(loads.Shape, layerTokens(loads, Layer(l)));
    placement.Slots.insert(placement.Slots.end(), slots.begin(), slots.end());
  }
  return placement;
}

std::size_t countFetches(const Placement &before, const Placement &next) {
  std::size_t width = next.Shape.SlotsPerLayer;
  std::size_t fetches = 0;
  for (std::size_t first = 0; first < next.Slots.size(); first += width) {
    auto old = std::span(before.Slots).subspan(first, width);
    for (Expert e : std::span(next.Slots).subspan(first, width))
      if (e != NoExpert && std::find(old.begin(), old.end(), e) == old.end())
        ++fetches;
  }
  return fetches;
}

namespace {

// Puts each expert without a replica into an empty slot or else into the slot
// of the replica with the fewest tokens among experts with several replicas.
// Returns false if there is no such slot.
bool replaceLostExperts(std::span<Expert> slots,
                        const std::vector<double> &tokens) {
  std::vector<std::size_t> counts(tokens.size(), 0);
  for (Expert e : slots)
    if (e != NoExpert)
      ++counts[indexOf(e)];
  for (std::size_t lost = 0; lost < counts.size(); ++lost) {
    if (counts[lost] > 0)
      continue;
    Expert *best = nullptr;
    double least = 0;
    for (Expert &slot : slots) {
      bool empty = slot == NoExpert;
      if (!empty && counts[indexOf(slot)] < 2)
        continue;
      double slotTokens = empty
                              ? -1
                              : tokens[indexOf(slot)] /
                                    static_cast<double>(counts[indexOf(slot)]);
      if (best == nullptr || slotTokens < least) {
        best = &slot;
        least = slotTokens;
      }
    }
    if (best == nullptr)
      return false;
    if (*best != NoExpert)
      --counts[indexOf(*best)];
    *best = Expert(lost);
    ++counts[lost];
  }
  return true;
}

} // namespace

Result<Placement> placeWithout(const Placement &placement, Rank lost,
                               const LoadTable &loads) {
  Placement next{placement.Shape, {}, {}};
  --next.Shape.Ranks;
  std::size_t width = placement.Shape.SlotsPerLayer;
  for (std::size_t l = 0; l < placement.Shape.Layers; ++l) {
    auto slots = layerSlots(placement, Layer(l));
    auto gap = slots.begin() + static_cast<long>(indexOf(lost) * width);
    next.Slots.insert(next.Slots.end(), slots.begin(), gap);
    next.Slots.insert(next.Slots.end(), gap + static_cast<long>(width),
                      slots.end());
    std::size_t n = slotsOfLayer(next.Shape);
    auto rest = std::span(next.Slots).subspan(l * n, n);
    if (!replaceLostExperts(rest, layerTokens(loads, Layer(l))))
      return fail(ErrorKind::Conflict,
                  "the remaining ranks have too few slots for all experts");
  }
  return next;
}

} // namespace greengagespar
