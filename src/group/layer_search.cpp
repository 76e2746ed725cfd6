#include "greengagespar/group/layer_search.h"

#include <algorithm>

namespace greengagespar::detail {

namespace {

double replicaTokens(const LayerSearch &search, std::size_t expert,
                     std::size_t replicas) {
  return replicas == 0 ? 0
                       : search.Tokens[expert] / static_cast<double>(replicas);
}

double excess(const LayerSearch &search, double load) {
  double over = load - search.Limit;
  return over > 0 ? over * over : 0;
}

bool holds(const LayerSearch &search, std::size_t rank, std::size_t expert) {
  return search.Holds[rank * (search.Experts + 1) + expert] != 0;
}

// Adds one more replica of expert to the loads, without its new rank.
// Returns the change of total excess.
double spread(const LayerSearch &search, std::size_t expert,
              std::vector<double> &load) {
  std::size_t n = search.Holders[expert].size();
  double change =
      replicaTokens(search, expert, n + 1) - replicaTokens(search, expert, n);
  double sum = 0;
  for (std::size_t r : search.Holders[expert]) {
    sum -= excess(search, load[r]);
    load[r] += change;
    sum += excess(search, load[r]);
  }
  return sum;
}

// Tries one more replica of expert in place of any replica that can go.
void tryReplacements(const LayerSearch &search, std::size_t expert,
                     LayerStep &best) {
  std::vector<double> load = search.Load;
  double spreadChange = spread(search, expert, load);
  double added =
      replicaTokens(search, expert, search.Holders[expert].size() + 1);
  for (std::size_t drop = 0; drop <= search.Experts; ++drop) {
    const std::vector<std::size_t> &ranks = search.Holders[drop];
    bool empty = drop == search.Experts;
    if (drop == expert || (!empty && ranks.size() < 2))
      continue;
    double now = replicaTokens(search, drop, ranks.size());
    double rise =
        empty ? 0 : replicaTokens(search, drop, ranks.size() - 1) - now;
    double all = spreadChange;
    for (std::size_t r : ranks)
      all += excess(search, load[r] + rise) - excess(search, load[r]);
    for (std::size_t r : ranks) {
      if (holds(search, r, expert))
        continue;
      double change = all - excess(search, load[r] + rise) +
                      excess(search, load[r] - now + added);
      if (-change > best.Gain)
        best = LayerStep{r, drop, expert, false, 0, -change};
    }
  }
}

// Tries to exchange the replica of expert on the slowest rank.
void tryExchanges(const LayerSearch &search, std::size_t hot,
                  std::size_t expert, LayerStep &best) {
  double tokens = replicaTokens(search, expert, search.Holders[expert].size());
  double before = excess(search, search.Load[hot]);
  for (std::size_t other = 0; other < search.Experts; ++other) {
    if (holds(search, hot, other))
      continue;
    double fall =
        tokens - replicaTokens(search, other, search.Holders[other].size());
    if (fall <= 0)
      continue;
    for (std::size_t r : search.Holders[other]) {
      if (holds(search, r, expert))
        continue;
      double gain = before + excess(search, search.Load[r]) -
                    excess(search, search.Load[hot] - fall) -
                    excess(search, search.Load[r] + fall);
      if (gain / 2 > best.Gain)
        best = LayerStep{hot, expert, other, true, r, gain / 2};
    }
  }
}

// Puts expert in the slot of drop on a rank, and loads are not touched.
void replaceInSlot(LayerSearch &search, std::size_t rank, std::size_t drop,
                   std::size_t expert) {
  auto first = search.Slots.begin() + static_cast<long>(rank * search.Width);
  auto last = first + static_cast<long>(search.Width);
  *std::find(first, last, drop) = expert;
  std::vector<std::size_t> &from = search.Holders[drop];
  from.erase(std::find(from.begin(), from.end(), rank));
  search.Holders[expert].push_back(rank);
  search.Holds[rank * (search.Experts + 1) + expert] = 1;
  bool left = std::find(first, last, drop) != last;
  search.Holds[rank * (search.Experts + 1) + drop] = left ? 1 : 0;
}

// Adds factor times the present load of each replica of expert to its ranks.
void addReplicas(LayerSearch &search, std::size_t expert, double factor) {
  const std::vector<std::size_t> &ranks = search.Holders[expert];
  double tokens = replicaTokens(search, expert, ranks.size());
  for (std::size_t r : ranks)
    search.Load[r] += factor * tokens;
}

} // namespace

LayerSearch makeLayerSearch(const GroupShape &shape,
                            std::span<const Expert> slots,
                            std::span<const double> tokens, double limit) {
  LayerSearch search{
      shape.Ranks, shape.Experts, shape.SlotsPerLayer, {}, {}, {}, {},
      {},          limit};
  search.Tokens.assign(tokens.begin(), tokens.end());
  search.Tokens.push_back(0);
  search.Holders.resize(shape.Experts + 1);
  search.Holds.resize(shape.Ranks * (shape.Experts + 1), 0);
  search.Load.resize(shape.Ranks, 0);
  for (std::size_t i = 0; i < slots.size(); ++i) {
    std::size_t expert =
        slots[i] == NoExpert ? shape.Experts : indexOf(slots[i]);
    std::size_t rank = i / shape.SlotsPerLayer;
    search.Slots.push_back(expert);
    search.Holders[expert].push_back(rank);
    search.Holds[rank * (shape.Experts + 1) + expert] = 1;
  }
  for (std::size_t e = 0; e < shape.Experts; ++e)
    addReplicas(search, e, 1);
  return search;
}

LayerStep findStep(const LayerSearch &search) {
  auto slowest = std::max_element(search.Load.begin(), search.Load.end());
  auto hot = static_cast<std::size_t>(slowest - search.Load.begin());
  LayerStep best;
  for (std::size_t s = 0; s < search.Width; ++s) {
    std::size_t expert = search.Slots[hot * search.Width + s];
    if (expert == search.Experts)
      continue;
    tryReplacements(search, expert, best);
    tryExchanges(search, hot, expert, best);
  }
  return best;
}

void applyStep(LayerSearch &search, const LayerStep &step) {
  addReplicas(search, step.Drop, -1);
  addReplicas(search, step.Load, -1);
  replaceInSlot(search, step.OnRank, step.Drop, step.Load);
  if (step.Exchange)
    replaceInSlot(search, step.Partner, step.Load, step.Drop);
  addReplicas(search, step.Drop, 1);
  addReplicas(search, step.Load, 1);
}

double slowestLoad(const LayerSearch &search) {
  return *std::max_element(search.Load.begin(), search.Load.end());
}

} // namespace greengagespar::detail
