#include "greengagespar/group/pacing.h"

#include <algorithm>

namespace greengagespar {

namespace {

using Seconds = std::chrono::duration<double>;

// When the store and each rank's link, in and out, are free again.
struct Links {
  Seconds Store{0};
  std::vector<Seconds> In;
  std::vector<Seconds> Out;
};

bool holds(const Placement &placement, Layer layer, std::size_t rank,
           Expert expert) {
  std::size_t width = placement.Shape.SlotsPerLayer;
  auto slots = layerSlots(placement, layer).subspan(rank * width, width);
  return std::find(slots.begin(), slots.end(), expert) != slots.end();
}

Fetch chooseSource(const Move &move, const Placement &placement,
                   const Links &links, Seconds storeTime, Seconds linkTime) {
  Seconds in = links.In[indexOf(move.OnRank)];
  Seconds fromStore = std::max(links.Store, in);
  Fetch best{move, std::nullopt, fromStore,
             fromStore + std::max(storeTime, linkTime)};
  for (std::size_t r = 0; r < placement.Shape.Ranks; ++r) {
    if (!holds(placement, move.InLayer, r, move.Load))
      continue;
    Seconds start = std::max(links.Out[r], in);
    bool sooner = start + linkTime < best.End;
    bool asSoon = start + linkTime == best.End && !best.From;
    if (sooner || asSoon)
      best = {move, Rank(r), start, start + linkTime};
  }
  return best;
}

} // namespace

std::vector<Fetch> paceFetches(const std::vector<Move> &moves,
                               const Placement &placement,
                               const PaceLimits &limits) {
  auto bytes = static_cast<double>(limits.ExpertBytes);
  Seconds storeTime(bytes / limits.StoreBytesPerSecond);
  Seconds linkTime(bytes / (limits.LinkBytesPerSecond * limits.LinkShare));
  std::vector<Seconds> idle(placement.Shape.Ranks, Seconds{0});
  Links links{Seconds{0}, idle, idle};
  std::vector<Fetch> fetches;
  fetches.reserve(moves.size());
  for (const Move &move : moves) {
    Fetch fetch = chooseSource(move, placement, links, storeTime, linkTime);
    links.In[indexOf(move.OnRank)] = fetch.End;
    if (fetch.From)
      links.Out[indexOf(*fetch.From)] = fetch.End;
    else
      links.Store = fetch.Start + storeTime;
    fetches.push_back(fetch);
  }
  return fetches;
}

} // namespace greengagespar
