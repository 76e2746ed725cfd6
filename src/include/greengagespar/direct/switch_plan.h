/// \file
/// How much one switch of a group's expert map may change. Pure functions;
/// thread safe.
#ifndef GREENGAGESPAR_DIRECT_SWITCH_PLAN_H
#define GREENGAGESPAR_DIRECT_SWITCH_PLAN_H

#include "greengagespar/direct/site.h"
#include "greengagespar/group/planner.h"

namespace greengagespar {

/// Time that a rank may spend on copying experts in one switch. The other steps
/// of a switch take as long again: copying much less would waste them, and
/// while it copies the demand moves on.
inline constexpr std::chrono::milliseconds MaxCopyTime{160};

/// Returns the number of experts that a rank fetches at most in one switch: as
/// many as MaxCopyTime allows, at least one.
std::size_t fetchesPerSwitch(const EngineProfile &engine);

/// Returns the limits of the plans for a group of \p ranks ranks.
PlanLimits switchPlanLimits(const EngineProfile &engine, std::size_t ranks);

} // namespace greengagespar

#endif // GREENGAGESPAR_DIRECT_SWITCH_PLAN_H
