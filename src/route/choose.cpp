#include "greengagespar/route/choose.h"

#include "greengagespar/base/hash.h"
#include <algorithm>
#include <cmath>

namespace greengagespar {

namespace {

// Least share of a difference in other entries' calls that an entry
// compensates.
constexpr double MinOwnShare = 0.1;

// A server that may be chosen. Index is its position in the views.
struct Candidate {
  std::size_t Index;
  double Load;
  double Cost;
};

using Candidates = std::vector<Candidate>;

template <class T> bool contains(const std::vector<T> &items, const T &item) {
  return std::find(items.begin(), items.end(), item) != items.end();
}

int engineSlots(const EndpointView &view) {
  int slots =
      view.Report && view.Report->Slots > 0 ? view.Report->Slots : view.Slots;
  return std::max(1, slots);
}

// Returns the weight (0 to 1) of the server's load report at its age.
double freshness(const EndpointView &view, const ChoiceOptions &options,
                 Clock::time_point now) {
  if (!view.Report)
    return 0;
  std::chrono::duration<double> age = now - view.Report->AsOf;
  std::chrono::duration<double> half = options.ReportHalfLife;
  return std::exp2(-std::max(0.0, age.count()) / half.count());
}

bool isEligible(const EndpointView &view, const ChoiceRequest &request) {
  return takesCalls(view) && !contains(request.Exclude, view.Target.Id);
}

bool isHealthy(const EndpointView &view) {
  return view.State == HealthState::Healthy && !view.Unresponsive;
}

bool needsProbe(const EndpointView &view) {
  return view.State == HealthState::Probing && !view.Unresponsive &&
         view.ProbesInFlight == 0 && hasToken(view);
}

void addServer(Capacity &capacity, const EndpointView &view) {
  constexpr double unlimited = std::numeric_limits<double>::infinity();
  double rate = view.Rate ? view.Rate->PerSecond : unlimited;
  capacity.StartsPerSecond =
      capacity.Servers == 0 ? rate : capacity.StartsPerSecond + rate;
  int limit = allowedCalls(view.Limit);
  if (view.Rate)
    limit =
        std::min(limit, view.InFlight + static_cast<int>(view.Rate->Tokens));
  capacity.Limit += limit;
  capacity.InFlight += view.InFlight;
  ++capacity.Servers;
}

double typicalLatency(const std::vector<EndpointView> &views,
                      const ChoiceOptions &options) {
  double sum = 0;
  int n = 0;
  for (const EndpointView &it : views) {
    if (it.Samples == 0 || it.State != HealthState::Healthy)
      continue;
    sum += it.LatencyMs;
    ++n;
  }
  return n > 0 ? sum / n : static_cast<double>(options.AssumedLatency.count());
}

// Draws distinct candidates and returns the cheapest of them. Reorders `from`.
const Candidate &drawCheapest(Candidates &from, const ChoiceOptions &options,
                              Rng &rng) {
  std::size_t draws = std::clamp<std::size_t>(options.Draws, 1, from.size());
  std::size_t best = 0;
  for (std::size_t i = 0; i < draws; ++i) {
    std::uniform_int_distribution<std::size_t> rest(i, from.size() - 1);
    std::swap(from[i], from[rest(rng)]);
    if (from[i].Cost < from[best].Cost)
      best = i;
  }
  return from[best];
}

// Returns the servers to try for a prefix: those that hold it according to
// cache events, then the others, each in the prefix's rendezvous order.
std::vector<ServerId> prefixOrder(const std::vector<EndpointView> &views,
                                  const Candidates &from,
                                  const ChoiceRequest &request,
                                  const ChoiceOptions &options) {
  std::vector<ServerId> ids;
  for (const Candidate &it : from)
    ids.push_back(views[it.Index].Target.Id);
  std::vector<ServerId> order = rendezvousOrder(request.PrefixKey, ids);
  std::stable_partition(order.begin(), order.end(), [&](const ServerId &id) {
    return contains(request.PrefixHolders, id);
  });
  order.resize(std::min(order.size(), options.AffinityTries));
  return order;
}

double meanLoadShare(const std::vector<EndpointView> &views,
                     const Candidates &from) {
  double load = 0;
  double slots = 0;
  for (const Candidate &it : from) {
    load += it.Load;
    slots += engineSlots(views[it.Index]);
  }
  return load / slots;
}

std::optional<std::size_t>
chooseByPrefix(const std::vector<EndpointView> &views, const Candidates &from,
               double cheapest, const ChoiceRequest &request,
               const ChoiceOptions &options) {
  double mean = meanLoadShare(views, from);
  for (const ServerId &id : prefixOrder(views, from, request, options)) {
    auto it = std::find_if(from.begin(), from.end(), [&](const Candidate &c) {
      return views[c.Index].Target.Id == id;
    });
    // Near zero load, the bound alone would exclude every server with a call,
    // so one more call is allowed.
    double bound =
        options.AffinityLoadBound * mean * engineSlots(views[it->Index]);
    bool cheapEnough = it->Cost <= options.AffinityCostBound * cheapest;
    if (cheapEnough && it->Load <= bound + 1)
      return it->Index;
  }
  return std::nullopt;
}

Choice chooseAmong(const std::vector<EndpointView> &views, Candidates &own,
                   Candidates &other, const ChoiceRequest &request,
                   const ChoiceOptions &options, Rng &rng) {
  if (own.empty())
    return {drawCheapest(other, options, rng).Index, ChoiceReason::Spill};
  const Candidate &near = drawCheapest(own, options, rng);
  if (!other.empty()) {
    const Candidate &far = drawCheapest(other, options, rng);
    if (far.Cost < options.SpillCostShare * near.Cost)
      return {far.Index, ChoiceReason::Spill};
  }
  if (!request.PrefixKey.empty())
    if (auto index = chooseByPrefix(views, own, near.Cost, request, options))
      return {*index, ChoiceReason::Affinity};
  return {near.Index, ChoiceReason::Cheapest};
}

Choice chooseEvenly(const std::vector<EndpointView> &views,
                    const Candidates &from, const EvenLoadOptions &options,
                    Clock::time_point now, Rng &rng) {
  std::vector<std::size_t> indices;
  indices.reserve(from.size());
  for (const Candidate &it : from)
    indices.push_back(it.Index);
  return {drawEvenly(views, indices, options, now, rng),
          ChoiceReason::EvenLoad};
}

// Chooses when every server is excluded or at its limit: the servers on which
// the call failed may be chosen again.
std::optional<Choice> chooseDespiteFailures(
    const std::vector<EndpointView> &views, const ChoiceRequest &request,
    const ChoiceOptions &options, Clock::time_point now, Rng &rng) {
  if (request.Exclude.empty())
    return std::nullopt;
  ChoiceRequest again = request;
  again.Exclude.clear();
  return chooseEndpoint(views, again, options, now, rng);
}

} // namespace

std::vector<double> estimateLoads(const std::vector<EndpointView> &views,
                                  const ChoiceOptions &options,
                                  Clock::time_point now) {
  double others = 0;
  double reports = 0;
  double own = 0;
  for (const EndpointView &it : views) {
    double fresh = freshness(it, options, now);
    others += fresh * it.OtherEntriesCalls;
    reports += fresh;
    own += it.InFlight;
  }
  double mean = reports > 0 ? others / reports : 0;
  double total = own + mean * static_cast<double>(views.size());
  double share = total > 0 ? std::max(MinOwnShare, own / total) : 1;
  std::vector<double> loads;
  loads.reserve(views.size());
  for (const EndpointView &it : views) {
    double excess = freshness(it, options, now) * (it.OtherEntriesCalls - mean);
    loads.push_back(std::max(0.0, it.InFlight + mean + share * excess));
  }
  return loads;
}

std::string_view nameOf(ChoiceReason reason) {
  switch (reason) {
  case ChoiceReason::Probe:
    return "probe";
  case ChoiceReason::Affinity:
    return "affinity";
  case ChoiceReason::Cheapest:
    return "cheapest";
  case ChoiceReason::Spill:
    return "spill";
  case ChoiceReason::AllUnhealthy:
    return "all_unhealthy";
  case ChoiceReason::EvenLoad:
    return "even_load";
  }
  return "";
}

Capacity capacityOf(const std::vector<EndpointView> &views) {
  Capacity healthy;
  Capacity all;
  for (const EndpointView &it : views) {
    if (!takesCalls(it))
      continue;
    addServer(all, it);
    if (isHealthy(it))
      addServer(healthy, it);
  }
  return healthy.Servers > 0 ? healthy : all;
}

double estimateCost(const EndpointView &view, double load,
                    const TypicalTimes &typical) {
  double latency = view.Samples > 0 ? view.LatencyMs : typical.LatencyMs;
  double slots = engineSlots(view);
  double filled = load / slots;
  double queued = std::max(0.0, load + 1 - slots) / slots;
  double roundTripMs =
      2.0 * static_cast<double>(view.OneWayLatency.count()) / 1000.0;
  return roundTripMs + latency * (1 + filled) + queued * typical.CallMs;
}

std::optional<Choice> chooseEndpoint(const std::vector<EndpointView> &views,
                                     const ChoiceRequest &request,
                                     const ChoiceOptions &options,
                                     Clock::time_point now, Rng &rng) {
  std::vector<double> loads = estimateLoads(views, options, now);
  TypicalTimes typical{typicalLatency(views, options),
                       static_cast<double>(request.MeanCall.count())};
  Candidates own;
  Candidates other;
  Candidates unhealthy;
  bool anyHealthy = false;
  for (std::size_t i = 0; i < views.size(); ++i) {
    const EndpointView &view = views[i];
    if (!isEligible(view, request))
      continue;
    if (request.MayProbe && needsProbe(view))
      return Choice{i, ChoiceReason::Probe};
    anyHealthy = anyHealthy || isHealthy(view);
    if (!admitToServer(slotsOf(view), request.Length) || !hasToken(view))
      continue;
    Candidate it{i, loads[i], estimateCost(view, loads[i], typical)};
    Candidates &list = !isHealthy(view) ? unhealthy
                       : view.OwnCentre ? own
                                        : other;
    list.push_back(it);
  }
  bool hasCandidates = !own.empty() || !other.empty();
  if (options.Even && hasCandidates)
    return chooseEvenly(views, own.empty() ? other : own, *options.Even, now,
                        rng);
  if (hasCandidates)
    return chooseAmong(views, own, other, request, options, rng);
  if (anyHealthy)
    return std::nullopt;
  if (unhealthy.empty())
    return chooseDespiteFailures(views, request, options, now, rng);
  return Choice{drawCheapest(unhealthy, options, rng).Index,
                ChoiceReason::AllUnhealthy};
}

} // namespace greengagespar
