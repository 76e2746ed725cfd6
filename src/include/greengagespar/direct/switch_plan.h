/// \file
/// How much one switch of a group's expert map may change. Pure functions;
/// thread safe.
#ifndef GREENGAGESPAR_DIRECT_SWITCH_PLAN_H
#define GREENGAGESPAR_DIRECT_SWITCH_PLAN_H

#include "greengagespar/direct/site.h"
#include "greengagespar/group/planner.h"

namespace greengagespar {

/// Time that a rank may spend on copying experts in one switch while the skew
/// is small. The other steps of a switch take as long again: copying much less
/// would waste them, and while it copies the demand moves on.
inline constexpr std::chrono::milliseconds CopyTime{160};

/// Skew beyond 1 for which a rank may copy for CopyTime. The time grows in
/// proportion with a higher skew, as after a restart of all servers: the first
/// experts that are copied gain more, and waiting for another switch costs
/// more.
inline constexpr double SmallSkew = 0.8;

/// Returns the number of experts that a rank fetches at most in one switch at
/// \p skew, at least one.
std::size_t fetchesPerSwitch(const EngineProfile &engine, double skew);

/// Returns the limits of a plan for a group of \p ranks ranks whose map has an
/// estimated \p skew.
PlanLimits switchPlanLimits(const EngineProfile &engine, std::size_t ranks,
                            double skew);

} // namespace greengagespar

#endif // GREENGAGESPAR_DIRECT_SWITCH_PLAN_H
