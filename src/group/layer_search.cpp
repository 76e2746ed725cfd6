#include "greengagespar/group/layer_search.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace greengagespar::detail {

namespace {

// Steps after which the candidates are chosen anew.
constexpr std::size_t RefreshSteps = 8;
// Searches over all experts and ranks, in one layer's search.
constexpr std::size_t MostWideSearches = 4;
// Experts that are considered for giving up a replica.
constexpr std::size_t DropChoices = 6;
// Ranks that are considered as partners of an exchange.
constexpr std::size_t PartnerChoices = 8;

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

// The rise of the load of each other replica when one of expert goes.
double riseWithoutOne(const LayerSearch &search, std::size_t expert) {
  std::size_t n = search.Holders[expert].size();
  return replicaTokens(search, expert, n - 1) -
         replicaTokens(search, expert, n);
}

// Experts, the empty one included, of which a replica can go, those that cost
// the least excess first.
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
      sum += excess(search, search.Load[r] + rise) -
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

// Tries one more replica of expert in place of a replica that can go.
void tryReplacements(const LayerSearch &search, std::size_t expert,
                     LayerStep &best) {
  std::vector<double> load = search.Load;
  double spreadChange = spread(search, expert, load);
  double added =
      replicaTokens(search, expert, search.Holders[expert].size() + 1);
  for (std::size_t drop : search.Drops) {
    const std::vector<std::size_t> &ranks = search.Holders[drop];
    bool last = drop != search.Experts && ranks.size() < 2;
    if (drop == expert || last)
      continue;
    double now = replicaTokens(search, drop, ranks.size());
    double rise = riseWithoutOne(search, drop);
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

// The least loaded ranks.
std::vector<std::size_t> coolestRanks(const LayerSearch &search,
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

// Tries to exchange a replica of expert on rank hot with one of a cool rank.
void tryExchanges(const LayerSearch &search, std::size_t hot,
                  std::size_t expert, LayerStep &best) {
  double tokens = replicaTokens(search, expert, search.Holders[expert].size());
  double before = excess(search, search.Load[hot]);
  for (std::size_t r : search.Partners) {
    if (holds(search, r, expert))
      continue;
    for (std::size_t s = 0; s < search.Width; ++s) {
      std::size_t other = search.Slots[r * search.Width + s];
      if (other == search.Experts || holds(search, hot, other))
        continue;
      double fall =
          tokens - replicaTokens(search, other, search.Holders[other].size());
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

void refresh(LayerSearch &search, std::size_t drops, std::size_t partners) {
  search.Drops = cheapestDrops(search, drops);
  search.Partners = coolestRanks(search, partners);
  search.StepsSinceRefresh = 0;
}

// Finds the best step at the slowest rank with the candidates of the state.
LayerStep tryAll(const LayerSearch &search) {
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

} // namespace

LayerSearch makeLayerSearch(const GroupShape &shape,
                            std::span<const Expert> slots,
                            std::span<const double> tokens, double limit) {
  LayerSearch search;
  search.Ranks = shape.Ranks;
  search.Experts = shape.Experts;
  search.Width = shape.SlotsPerLayer;
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
  refresh(search, DropChoices, PartnerChoices);
  return search;
}

LayerStep findStep(LayerSearch &search) {
  if (search.StepsSinceRefresh >= RefreshSteps)
    refresh(search, DropChoices, PartnerChoices);
  ++search.StepsSinceRefresh;
  LayerStep step = tryAll(search);
  if (step.Gain > 0 || search.WideSearches >= MostWideSearches)
    return step;
  ++search.WideSearches;
  refresh(search, search.Experts + 1, search.Ranks);
  step = tryAll(search);
  refresh(search, DropChoices, PartnerChoices);
  return step;
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
