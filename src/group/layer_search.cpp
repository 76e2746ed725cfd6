#include "greengagespar/group/layer_search.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace greengagespar::detail {

namespace {

// Number of steps after which the search selects the candidates again.
constexpr std::size_t RefreshSteps = 8;
// Maximum number of searches over all experts and ranks in one layer.
constexpr std::size_t MaxFullSearches = 4;
// Maximum number of experts that are candidates to lose a replica.
constexpr std::size_t MaxDropCandidates = 6;
// Maximum number of ranks that are candidates for an exchange.
constexpr std::size_t MaxExchangeCandidates = 8;

// Returns the tokens of each replica of expert if it has this many replicas.
double replicaTokens(const LayerSearch &search, std::size_t expert,
                     std::size_t replicas) {
  return replicas == 0 ? 0
                       : search.Tokens[expert] / static_cast<double>(replicas);
}

// Returns the squared excess of a rank's load over the limit.
double excess(const LayerSearch &search, double load) {
  double over = load - search.Limit;
  return over > 0 ? over * over : 0;
}

bool holds(const LayerSearch &search, std::size_t rank, std::size_t expert) {
  return search.Holds[rank * (search.Experts + 1) + expert] != 0;
}

// Lowers the loads of the ranks that hold expert to what they would be if it
// had one more replica. The new replica's own load is not added to any rank.
// Returns the change of total excess.
double spreadOverNewReplica(const LayerSearch &search, std::size_t expert,
                            std::vector<double> &load) {
  std::size_t n = search.Holders[expert].size();
  double change =
      replicaTokens(search, expert, n + 1) - replicaTokens(search, expert, n);
  double sum = 0;
  for (std::size_t r : search.Holders[expert]) {
    sum -= excess(search, load[r]);
    load[r] += search.Slowness[r] * change;
    sum += excess(search, load[r]);
  }
  return sum;
}

// Returns by how much the load of each other replica rises if expert loses one.
double riseWithoutOne(const LayerSearch &search, std::size_t expert) {
  std::size_t n = search.Holders[expert].size();
  return replicaTokens(search, expert, n - 1) -
         replicaTokens(search, expert, n);
}

// Returns at most `most` experts, with the extra one of empty slots, that can
// lose a replica. Those whose loss adds the least excess come first.
std::vector<std::size_t> cheapestDrops(const LayerSearch &search,
                                       std::size_t most) {
  struct Choice {
    double Excess = 0;
    double Rise = 0;
    std::size_t ExpertIndex = 0;
    bool operator<(const Choice &other) const {
      return std::pair(Excess, Rise) < std::pair(other.Excess, other.Rise);
    }
  };
  std::vector<Choice> choices;
  choices.reserve(search.Experts + 1);
  for (std::size_t e = 0; e < search.Experts; ++e) {
    if (search.Holders[e].size() < 2)
      continue;
    double rise = riseWithoutOne(search, e);
    double sum = 0;
    for (std::size_t r : search.Holders[e])
      sum += excess(search, search.Load[r] + search.Slowness[r] * rise) -
             excess(search, search.Load[r]);
    choices.push_back({sum, rise, e});
  }
  if (!search.Holders[search.Experts].empty())
    choices.push_back({0, 0, search.Experts});
  std::size_t n = std::min(choices.size(), most);
  std::partial_sort(choices.begin(), choices.begin() + static_cast<long>(n),
                    choices.end());
  std::vector<std::size_t> drops;
  drops.reserve(n);
  for (std::size_t i = 0; i < n; ++i)
    drops.push_back(choices[i].ExpertIndex);
  return drops;
}

// Evaluates one more replica of expert in place of a replica of each drop
// candidate, and stores the step in best if its gain is larger.
void evaluateReplacements(const LayerSearch &search, std::size_t expert,
                          LayerStep &best) {
  std::vector<double> load = search.Load;
  double spreadChange = spreadOverNewReplica(search, expert, load);
  double added =
      replicaTokens(search, expert, search.Holders[expert].size() + 1);
  for (std::size_t drop : search.DropCandidates) {
    const std::vector<std::size_t> &ranks = search.Holders[drop];
    bool last = drop != search.Experts && ranks.size() < 2;
    if (drop == expert || last)
      continue;
    double now = replicaTokens(search, drop, ranks.size());
    double rise = riseWithoutOne(search, drop);
    double all = spreadChange;
    for (std::size_t r : ranks)
      all += excess(search, load[r] + search.Slowness[r] * rise) -
             excess(search, load[r]);
    for (std::size_t r : ranks) {
      if (holds(search, r, expert))
        continue;
      double slowness = search.Slowness[r];
      double change =
          all - excess(search, load[r] + slowness * rise) +
          excess(search, load[r] - slowness * now + slowness * added);
      if (-change > best.Gain)
        best = LayerStep{
            .OnRank = r, .Drop = drop, .Load = expert, .Gain = -change};
    }
  }
}

// Returns at most `most` of the least loaded ranks.
std::vector<std::size_t> leastLoadedRanks(const LayerSearch &search,
                                          std::size_t most) {
  std::vector<std::size_t> ranks(search.Ranks);
  std::iota(ranks.begin(), ranks.end(), 0U);
  std::size_t n = std::min(ranks.size(), most);
  std::partial_sort(ranks.begin(), ranks.begin() + static_cast<long>(n),
                    ranks.end(), [&](std::size_t a, std::size_t b) {
                      return search.Load[a] < search.Load[b];
                    });
  ranks.resize(n);
  return ranks;
}

// Evaluates exchanges of the replica of expert on the slowest rank with one on
// each exchange candidate, and stores the step in best if its gain is larger.
void evaluateExchanges(const LayerSearch &search, std::size_t slowest,
                       std::size_t expert, LayerStep &best) {
  // A slow rank would also be slow to fetch.
  if (search.Slowness[slowest] > 1)
    return;
  double tokens = replicaTokens(search, expert, search.Holders[expert].size());
  double before = excess(search, search.Load[slowest]);
  for (std::size_t r : search.ExchangeCandidates) {
    if (holds(search, r, expert))
      continue;
    for (std::size_t s = 0; s < search.SlotsPerRank; ++s) {
      std::size_t other = search.Slots[r * search.SlotsPerRank + s];
      if (other == search.Experts || holds(search, slowest, other))
        continue;
      double fall =
          tokens - replicaTokens(search, other, search.Holders[other].size());
      double gain = before + excess(search, search.Load[r]) -
                    excess(search, search.Load[slowest] -
                                       search.Slowness[slowest] * fall) -
                    excess(search, search.Load[r] + search.Slowness[r] * fall);
      if (gain / 2 > best.Gain)
        best = LayerStep{.OnRank = slowest,
                         .Drop = expert,
                         .Load = other,
                         .Exchange = true,
                         .ExchangeRank = r,
                         .Gain = gain / 2};
    }
  }
}

// Evaluates an empty slot in place of the replica of expert on the slowest
// rank, and stores the step in best if its gain is larger. Only a slow rank is
// better off with an empty slot than with an expert that has few tokens.
void evaluateClearing(const LayerSearch &search, std::size_t slowest,
                      std::size_t expert, LayerStep &best) {
  std::size_t n = search.Holders[expert].size();
  if (n < 2 || search.Slowness[slowest] <= 1)
    return;
  double rise = riseWithoutOne(search, expert);
  double change = 0;
  for (std::size_t r : search.Holders[expert]) {
    double tokens = r == slowest ? -replicaTokens(search, expert, n) : rise;
    change += excess(search, search.Load[r] + search.Slowness[r] * tokens) -
              excess(search, search.Load[r]);
  }
  if (-change > best.Gain)
    best = LayerStep{.OnRank = slowest,
                     .Drop = expert,
                     .Load = search.Experts,
                     .Clears = true,
                     .Gain = -change};
}

// Puts expert into the slot of drop on a rank. Does not change any loads.
void replaceInSlot(LayerSearch &search, std::size_t rank, std::size_t drop,
                   std::size_t expert) {
  auto first =
      search.Slots.begin() + static_cast<long>(rank * search.SlotsPerRank);
  auto last = first + static_cast<long>(search.SlotsPerRank);
  *std::find(first, last, drop) = expert;
  std::vector<std::size_t> &from = search.Holders[drop];
  from.erase(std::find(from.begin(), from.end(), rank));
  search.Holders[expert].push_back(rank);
  search.Holds[rank * (search.Experts + 1) + expert] = 1;
  bool left = std::find(first, last, drop) != last;
  search.Holds[rank * (search.Experts + 1) + drop] = left ? 1 : 0;
}

// Adds factor times the load of one replica of expert to each of its ranks.
void addReplicas(LayerSearch &search, std::size_t expert, double factor) {
  const std::vector<std::size_t> &ranks = search.Holders[expert];
  double tokens = replicaTokens(search, expert, ranks.size());
  for (std::size_t r : ranks)
    search.Load[r] += factor * tokens * search.Slowness[r];
}

// Selects the candidates again, at most as many as given.
void refresh(LayerSearch &search, std::size_t drops, std::size_t exchanges) {
  search.DropCandidates = cheapestDrops(search, drops);
  search.ExchangeCandidates = leastLoadedRanks(search, exchanges);
  search.StepsSinceRefresh = 0;
}

// Returns the best step at the slowest rank with the present candidates.
LayerStep bestStep(const LayerSearch &search) {
  auto largest = std::max_element(search.Load.begin(), search.Load.end());
  auto slowest = static_cast<std::size_t>(largest - search.Load.begin());
  LayerStep best;
  for (std::size_t s = 0; s < search.SlotsPerRank; ++s) {
    std::size_t expert = search.Slots[slowest * search.SlotsPerRank + s];
    if (expert == search.Experts)
      continue;
    evaluateReplacements(search, expert, best);
    evaluateExchanges(search, slowest, expert, best);
    evaluateClearing(search, slowest, expert, best);
  }
  return best;
}

} // namespace

LayerSearch makeLayerSearch(const GroupShape &shape,
                            std::span<const Expert> slots,
                            std::span<const double> tokens,
                            std::span<const double> slowness, double limit) {
  LayerSearch search;
  search.Slowness.assign(slowness.begin(), slowness.end());
  search.Ranks = shape.Ranks;
  search.Experts = shape.Experts;
  search.SlotsPerRank = shape.SlotsPerLayer;
  search.Limit = limit;
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
  refresh(search, MaxDropCandidates, MaxExchangeCandidates);
  return search;
}

LayerStep findStep(LayerSearch &search) {
  if (search.StepsSinceRefresh >= RefreshSteps)
    refresh(search, MaxDropCandidates, MaxExchangeCandidates);
  ++search.StepsSinceRefresh;
  LayerStep step = bestStep(search);
  if (step.Gain > 0 || search.FullSearches >= MaxFullSearches)
    return step;
  // No candidate helps, so the search tries all experts and ranks once.
  ++search.FullSearches;
  refresh(search, search.Experts + 1, search.Ranks);
  step = bestStep(search);
  refresh(search, MaxDropCandidates, MaxExchangeCandidates);
  return step;
}

void applyStep(LayerSearch &search, const LayerStep &step) {
  addReplicas(search, step.Drop, -1);
  addReplicas(search, step.Load, -1);
  replaceInSlot(search, step.OnRank, step.Drop, step.Load);
  if (step.Exchange)
    replaceInSlot(search, step.ExchangeRank, step.Load, step.Drop);
  addReplicas(search, step.Drop, 1);
  addReplicas(search, step.Load, 1);
}

double slowestLoad(const LayerSearch &search) {
  return *std::max_element(search.Load.begin(), search.Load.end());
}

} // namespace greengagespar::detail
