#include "greengagespar/group/shares.h"

#include <algorithm>

namespace greengagespar {

namespace {

// Number of passes over all experts of a layer. Further passes change the loads
// little.
constexpr int FillPasses = 6;

// The slots of one expert in a layer, and the expert's tokens.
struct ExpertSlots {
  double Tokens = 0;
  std::vector<std::size_t> Slots;
};

// Returns the common load up to which tokens fill ranks with these loads. A
// rank that has a higher load gets no tokens.
double fillLevel(std::vector<double> &loads, double tokens) {
  std::sort(loads.begin(), loads.end());
  double sum = tokens;
  double level = 0;
  for (std::size_t n = 0; n < loads.size(); ++n) {
    sum += loads[n];
    level = sum / static_cast<double>(n + 1);
    if (n + 1 == loads.size() || level <= loads[n + 1])
      break;
  }
  return level;
}

std::vector<ExpertSlots> slotsByExpert(const Placement &placement, Layer layer,
                                       const LoadTable &loads) {
  std::vector<ExpertSlots> experts(placement.Shape.Experts);
  auto slots = layerSlots(placement, layer);
  for (std::size_t i = 0; i < slots.size(); ++i)
    if (slots[i] != NoExpert)
      experts[indexOf(slots[i])].Slots.push_back(i);
  for (std::size_t e = 0; e < experts.size(); ++e)
    experts[e].Tokens = loadOf(loads, layer, Expert(e)).Tokens;
  return experts;
}

// Splits the tokens of each expert over its slots by water-filling. Returns the
// tokens of each slot of a layer.
std::vector<double> splitTokens(const GroupShape &shape,
                                const std::vector<ExpertSlots> &experts) {
  std::vector<double> slotTokens(slotsOfLayer(shape), 0);
  std::vector<double> load(shape.Ranks, 0);
  for (const ExpertSlots &it : experts)
    for (std::size_t slot : it.Slots) {
      slotTokens[slot] = it.Tokens / static_cast<double>(it.Slots.size());
      load[slot / shape.SlotsPerLayer] += slotTokens[slot];
    }
  std::vector<double> others;
  for (int pass = 0; pass < FillPasses; ++pass)
    for (const ExpertSlots &it : experts) {
      others.clear();
      for (std::size_t slot : it.Slots) {
        load[slot / shape.SlotsPerLayer] -= slotTokens[slot];
        others.push_back(load[slot / shape.SlotsPerLayer]);
      }
      double level = fillLevel(others, it.Tokens);
      for (std::size_t slot : it.Slots) {
        double &rankLoad = load[slot / shape.SlotsPerLayer];
        slotTokens[slot] = std::max(0.0, level - rankLoad);
        rankLoad += slotTokens[slot];
      }
    }
  return slotTokens;
}

} // namespace

void fitShares(Placement &placement, const LoadTable &loads) {
  std::vector<double> shares;
  shares.reserve(placement.Slots.size());
  for (std::size_t l = 0; l < placement.Shape.Layers; ++l) {
    std::vector<double> slotShares = layerShares(placement, Layer(l));
    std::vector<ExpertSlots> experts =
        slotsByExpert(placement, Layer(l), loads);
    std::vector<double> slotTokens = splitTokens(placement.Shape, experts);
    for (const ExpertSlots &it : experts)
      for (std::size_t slot : it.Slots)
        if (it.Tokens > 0)
          slotShares[slot] = slotTokens[slot] / it.Tokens;
    shares.insert(shares.end(), slotShares.begin(), slotShares.end());
  }
  placement.Shares = std::move(shares);
}

std::vector<double> layerShares(const Placement &placement, Layer layer) {
  std::size_t n = slotsOfLayer(placement.Shape);
  std::size_t first = indexOf(layer) * n;
  if (!placement.Shares.empty())
    return {placement.Shares.begin() + static_cast<long>(first),
            placement.Shares.begin() + static_cast<long>(first + n)};
  std::vector<std::size_t> replicas = replicaCounts(placement, layer);
  auto slots = layerSlots(placement, layer);
  std::vector<double> shares(n, 0);
  for (std::size_t i = 0; i < n; ++i)
    if (slots[i] != NoExpert)
      shares[i] = 1 / static_cast<double>(replicas[indexOf(slots[i])]);
  return shares;
}

} // namespace greengagespar
