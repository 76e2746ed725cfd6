#include "greengagespar/route/choose.h"

#include "greengagespar/base/hash.h"
#include <algorithm>
#include <cmath>

namespace greengagespar {

namespace {

// A candidate of one choice.
struct Candidate {
  std::size_t Index;
  double Load;
  double Cost;
};

using Candidates = std::vector<Candidate>;

template <class T> bool contains(const std::vector<T> &items, const T &item) {
  return std::find(items.begin(), items.end(), item) != items.end();
}

int slotsOf(const EndpointView &view) {
  int slots =
      view.Report && view.Report->Slots > 0 ? view.Report->Slots : view.Slots;
  return std::max(1, slots);
}

// Share of a report that still counts at its age.
double freshness(const EndpointView &view, const ChoiceOptions &options,
                 Clock::time_point now) {
  if (!view.Report)
    return 0;
  std::chrono::duration<double> age = now - view.Report->AsOf;
  std::chrono::duration<double> half = options.ReportHalfLife;
  return std::exp2(-std::max(0.0, age.count()) / half.count());
}

double othersAtReport(const EndpointView &view) {
  if (!view.Report)
    return 0;
  int total = view.Report->Running + view.Report->Waiting;
  return std::max(0, total - view.InFlightAtReport);
}

bool mayTakeCalls(const EndpointView &view, const ChoiceRequest &request) {
  return !view.Target.Leaving && !contains(request.Exclude, view.Target.Id);
}

bool isHealthy(const EndpointView &view) {
  return view.State == Standing::Good && !view.Silent;
}

bool needsProbe(const EndpointView &view) {
  return view.State == Standing::Probing && !view.Silent &&
         view.ProbesInFlight == 0;
}

double typicalLatency(const std::vector<EndpointView> &views,
                      const ChoiceOptions &options) {
  double sum = 0;
  int n = 0;
  for (const EndpointView &it : views) {
    if (it.Samples == 0 || it.State != Standing::Good)
      continue;
    sum += it.LatencyMs;
    ++n;
  }
  return n > 0 ? sum / n : static_cast<double>(options.AssumedLatency.count());
}

const Candidate &drawCheaperOfTwo(const Candidates &from, Rng &rng) {
  std::uniform_int_distribution<std::size_t> first(0, from.size() - 1);
  const Candidate &a = from[first(rng)];
  if (from.size() == 1)
    return a;
  std::uniform_int_distribution<std::size_t> other(1, from.size() - 1);
  std::size_t offset = static_cast<std::size_t>(&a - from.data());
  const Candidate &b = from[(offset + other(rng)) % from.size()];
  return b.Cost < a.Cost ? b : a;
}

// The servers to try for a prefix: those that are said to hold it, then the
// first ones in its rendezvous order.
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
    slots += slotsOf(views[it.Index]);
  }
  return load / slots;
}

std::optional<std::size_t>
chooseByPrefix(const std::vector<EndpointView> &views, const Candidates &from,
               const ChoiceRequest &request, const ChoiceOptions &options) {
  double mean = meanLoadShare(views, from);
  for (const ServerId &id : prefixOrder(views, from, request, options)) {
    auto it = std::find_if(from.begin(), from.end(), [&](const Candidate &c) {
      return views[c.Index].Target.Id == id;
    });
    // One call more than the bound keeps a group that is nearly idle usable.
    double bound = options.AffinityLoadBound * mean * slotsOf(views[it->Index]);
    if (it->Load <= bound + 1)
      return it->Index;
  }
  return std::nullopt;
}

Choice chooseAmong(const std::vector<EndpointView> &views,
                   const Candidates &own, const Candidates &other,
                   const ChoiceRequest &request, const ChoiceOptions &options,
                   Rng &rng) {
  if (own.empty())
    return {drawCheaperOfTwo(other, rng).Index, ChoiceReason::Spill};
  const Candidate &near = drawCheaperOfTwo(own, rng);
  if (!other.empty()) {
    const Candidate &far = drawCheaperOfTwo(other, rng);
    if (far.Cost < options.SpillCostShare * near.Cost)
      return {far.Index, ChoiceReason::Spill};
  }
  if (!request.PrefixKey.empty())
    if (auto index = chooseByPrefix(views, own, request, options))
      return {*index, ChoiceReason::Affinity};
  return {near.Index, ChoiceReason::Cheapest};
}

} // namespace

std::vector<double> estimateLoads(const std::vector<EndpointView> &views,
                                  const ChoiceOptions &options,
                                  Clock::time_point now) {
  double weighted = 0;
  double weights = 0;
  for (const EndpointView &it : views) {
    double fresh = freshness(it, options, now);
    weighted += fresh * othersAtReport(it);
    weights += fresh;
  }
  double mean = weights > 0 ? weighted / weights : 0;
  std::vector<double> loads;
  loads.reserve(views.size());
  for (const EndpointView &it : views) {
    double fresh = freshness(it, options, now);
    double others = fresh * othersAtReport(it) + (1 - fresh) * mean;
    loads.push_back(it.InFlight + others);
  }
  return loads;
}

double estimateCost(const EndpointView &view, double load,
                    double typicalLatencyMs) {
  double latency = view.Samples > 0 ? view.LatencyMs : typicalLatencyMs;
  double slots = slotsOf(view);
  double filled = load / slots;
  double queued = std::max(0.0, load + 1 - slots) / slots;
  double roundTripMs = 2.0 * static_cast<double>(view.OneWay.count()) / 1000.0;
  return roundTripMs + latency * (1 + filled + queued);
}

std::optional<Choice> chooseEndpoint(const std::vector<EndpointView> &views,
                                     const ChoiceRequest &request,
                                     const ChoiceOptions &options,
                                     Clock::time_point now, Rng &rng) {
  std::vector<double> loads = estimateLoads(views, options, now);
  double typical = typicalLatency(views, options);
  Candidates own;
  Candidates other;
  Candidates sick;
  for (std::size_t i = 0; i < views.size(); ++i) {
    const EndpointView &view = views[i];
    if (!mayTakeCalls(view, request))
      continue;
    if (request.MayProbe && needsProbe(view))
      return Choice{i, ChoiceReason::Probe};
    Candidate it{i, loads[i], estimateCost(view, loads[i], typical)};
    Candidates &list = !isHealthy(view) ? sick : view.OwnCentre ? own : other;
    list.push_back(it);
  }
  if (!own.empty() || !other.empty())
    return chooseAmong(views, own, other, request, options, rng);
  if (sick.empty())
    return std::nullopt;
  return Choice{drawCheaperOfTwo(sick, rng).Index, ChoiceReason::AllSick};
}

} // namespace greengagespar
