#include "greengagespar/group/pacing.h"

#include <algorithm>

namespace greengagespar {

namespace {

using Seconds = std::chrono::duration<double>;

// The times from which the store and each rank's link are free again, since the
// start of the schedule.
struct FreeTimes {
  Seconds Store{0};
  std::vector<Seconds> In;  // By rank.
  std::vector<Seconds> Out; // By rank.
};

bool holds(const Placement &placement, Layer layer, std::size_t rank,
           Expert expert) {
  std::size_t width = placement.Shape.SlotsPerLayer;
  auto slots = layerSlots(placement, layer).subspan(rank * width, width);
  return std::find(slots.begin(), slots.end(), expert) != slots.end();
}

// Returns the fetch of a move from the source from which it ends first.
Fetch chooseSource(const Move &move, const Placement &placement,
                   const FreeTimes &free, Seconds storeTime, Seconds linkTime) {
  Seconds in = free.In[indexOf(move.OnRank)];
  Seconds fromStore = std::max(free.Store, in);
  Fetch best{move, std::nullopt, fromStore,
             fromStore + std::max(storeTime, linkTime)};
  for (std::size_t r = 0; r < placement.Shape.Ranks; ++r) {
    if (!holds(placement, move.InLayer, r, move.Load))
      continue;
    Seconds start = std::max(free.Out[r], in);
    bool sooner = start + linkTime < best.End;
    bool asSoon = start + linkTime == best.End && !best.From;
    if (sooner || asSoon)
      best = {move, Rank(r), start, start + linkTime};
  }
  return best;
}

} // namespace

std::vector<Fetch> scheduleFetches(const std::vector<Move> &moves,
                                   const Placement &placement,
                                   const FetchLimits &limits) {
  auto bytes = static_cast<double>(limits.ExpertBytes);
  Seconds storeTime(bytes / limits.StoreBytesPerSecond);
  Seconds linkTime(bytes / (limits.LinkBytesPerSecond * limits.LinkShare));
  std::vector<Seconds> idle(placement.Shape.Ranks, Seconds{0});
  FreeTimes free{Seconds{0}, idle, idle};
  std::vector<Fetch> fetches;
  fetches.reserve(moves.size());
  for (const Move &move : moves) {
    if (move.Load == NoExpert)
      continue; // It clears a slot and fetches nothing.
    Fetch fetch = chooseSource(move, placement, free, storeTime, linkTime);
    free.In[indexOf(move.OnRank)] = fetch.End;
    if (fetch.From)
      free.Out[indexOf(*fetch.From)] = fetch.End;
    else
      free.Store = fetch.Start + storeTime;
    fetches.push_back(fetch);
  }
  return fetches;
}

} // namespace greengagespar
