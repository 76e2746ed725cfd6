/// \file
/// Which ranks of a group are slow, as their servers report it. All ranks wait
/// for the slowest one in each layer, so the planner gives a slow rank fewer
/// tokens (see LoadTable::Slowness). Pure functions; thread safe.
#ifndef GREENGAGESPAR_GROUP_RANK_SPEED_H
#define GREENGAGESPAR_GROUP_RANK_SPEED_H

namespace greengagespar {

/// When a rank counts as slow. The two bounds differ, so that a pace between
/// them changes no map back and forth.
struct RankSpeedLimits {
  /// A rank becomes slow at this many times the duration of a sound rank.
  double SlowFrom = 2;
  /// A slow rank is sound again below this many times that duration.
  double SoundBelow = 1.5;
  /// Greatest slowness: a rank that is slower gets no tokens either way.
  double Most = 32;
};

/// Returns the slowness of a rank, at least 1, whose slowness was \p before and
/// whose server reports \p pace, how many times as long as usual its work
/// takes. A pace that is no number over zero changes nothing.
double slownessFrom(const RankSpeedLimits &limits, double before, double pace);

} // namespace greengagespar

#endif // GREENGAGESPAR_GROUP_RANK_SPEED_H
