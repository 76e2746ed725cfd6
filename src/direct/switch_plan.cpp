#include "greengagespar/direct/switch_plan.h"

#include <algorithm>

namespace greengagespar {

using std::chrono::milliseconds;

namespace {

constexpr double BytesPerMegabyte = 1e6;
constexpr double BitsPerByte = 8;

double linkBytesPerSecond(const EngineProfile &engine) {
  return engine.LinkMegabitsPerSecond * BytesPerMegabyte / BitsPerByte;
}

} // namespace

std::size_t fetchesPerSwitch(const EngineProfile &engine, double skew) {
  std::chrono::duration<double> time =
      CopyTime * std::max(1.0, (skew - 1) / SmallSkew);
  double bytes = engine.ExpertMegabytes * BytesPerMegabyte;
  double fetches =
      bytes > 0 ? time.count() * linkBytesPerSecond(engine) / bytes : 1;
  double most = static_cast<double>(engine.MaxNewPerLayer) *
                static_cast<double>(engine.Layers);
  return static_cast<std::size_t>(std::max(1.0, std::min(fetches, most)));
}

PlanLimits switchPlanLimits(const EngineProfile &engine, std::size_t ranks,
                            double skew) {
  PlanLimits limits;
  limits.EvenShares = true;
  limits.TriggerSkew = 1.12;
  limits.TargetSkew = 1.05;
  limits.FalseAlarm = 0.5;
  limits.MinPeriods = 1;
  limits.StagingSlots = fetchesPerSwitch(engine, skew);
  limits.StagingSlotsPerLayer = engine.MaxNewPerLayer;
  limits.ExpertBytes =
      static_cast<std::uint64_t>(engine.ExpertMegabytes * BytesPerMegabyte);
  limits.FetchBytesPerSecond =
      static_cast<double>(ranks) * linkBytesPerSecond(engine);
  // Steps take 15 % longer while weights are copied.
  limits.FetchShare = 0.15;
  limits.SwitchPause = milliseconds{20};
  limits.Horizon = std::chrono::seconds{3};
  return limits;
}

} // namespace greengagespar
