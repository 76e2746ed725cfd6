#include "greengagespar/route/roles.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace greengagespar {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr Seconds PeakDecay{3.0};
constexpr Seconds SustainedDecay{30.0};
constexpr Seconds LongTermPeakDecay{120.0};

double decayedMax(double old, double sample, Seconds since, Seconds decay) {
  return std::max(sample, old * std::exp(-since / decay));
}

// The input of a decision and the orders decided so far.
struct Plan {
  std::vector<RoleServer> &Servers;
  const std::vector<RoleDemand> &Demands;
  const RoleOptions &Options;
  Clock::time_point Now;
  std::vector<RoleOrder> Orders;
};

int slotsOf(const Plan &plan, const RoleId &role) {
  int slots = 0;
  for (const RoleServer &it : plan.Servers)
    slots += it.Role == role ? it.Slots : 0;
  return slots;
}

int countOf(const Plan &plan, const RoleId &role) {
  return static_cast<int>(
      std::count_if(plan.Servers.begin(), plan.Servers.end(),
                    [&](const RoleServer &it) { return it.Role == role; }));
}

bool mayChange(const Plan &plan) {
  auto changing =
      std::count_if(plan.Servers.begin(), plan.Servers.end(),
                    [](const RoleServer &it) { return it.Changing; });
  return static_cast<std::size_t>(changing) < plan.Options.MaxChanging;
}

bool hasDwelt(const Plan &plan, const RoleServer &server) {
  return server.Role == SpareRole ||
         plan.Now - server.ChangedAt >= plan.Options.MinDwell;
}

bool supportsRole(const RoleServer &server, const RoleId &role) {
  return std::find(server.SupportedRoles.begin(), server.SupportedRoles.end(),
                   role) != server.SupportedRoles.end();
}

// Whether `role` can donate a server with `slots` slots: it keeps its minimum
// number of servers, and its long-term peak demand stays within the share
// `below` of its other slots.
bool canDonate(const Plan &plan, const RoleId &role, int slots, double below) {
  if (role == SpareRole)
    return true;
  for (const RoleDemand &it : plan.Demands)
    if (it.Role == role)
      return countOf(plan, role) > it.MinServers &&
             it.LongTermPeak <= below * (slotsOf(plan, role) - slots);
  return false;
}

double longTermUtilization(const Plan &plan, const RoleId &role) {
  if (role == SpareRole)
    return -1;
  for (const RoleDemand &it : plan.Demands)
    if (it.Role == role)
      return it.LongTermPeak / std::max(1, slotsOf(plan, role));
  return 0;
}

bool needsServer(const Plan &plan, const RoleDemand &demand,
                 const RoleServer &server) {
  bool quick = server.SwitchTime <= plan.Options.QuickSwitch;
  double wanted = quick ? demand.Peak : demand.Sustained;
  return wanted > plan.Options.GrowAbove * slotsOf(plan, demand.Role) ||
         countOf(plan, demand.Role) < demand.MinServers;
}

bool isBetterDonor(const Plan &plan, const RoleServer &a, const RoleServer &b) {
  double shareA = longTermUtilization(plan, a.Role);
  double shareB = longTermUtilization(plan, b.Role);
  if (shareA != shareB)
    return shareA < shareB;
  if (a.Running != b.Running)
    return a.Running < b.Running;
  return a.Id < b.Id;
}

RoleServer *findDonor(const Plan &plan, const RoleDemand &demand) {
  RoleServer *best = nullptr;
  for (RoleServer &it : plan.Servers) {
    if (it.Role == demand.Role || it.Changing || !hasDwelt(plan, it))
      continue;
    if (!supportsRole(it, demand.Role) || !needsServer(plan, demand, it))
      continue;
    if (!canDonate(plan, it.Role, it.Slots, plan.Options.DonateBelow))
      continue;
    if (!best || isBetterDonor(plan, it, *best))
      best = &it;
  }
  return best;
}

void orderChange(Plan &plan, RoleServer &server, const RoleId &to) {
  plan.Orders.push_back({server.Id, server.Role, to});
  server.Role = to;
  server.Changing = true;
}

void addServers(Plan &plan, const RoleDemand &demand) {
  while (mayChange(plan)) {
    RoleServer *donor = findDonor(plan, demand);
    if (!donor)
      return;
    orderChange(plan, *donor, demand.Role);
  }
}

void releaseServers(Plan &plan, const RoleDemand &demand) {
  if (!mayChange(plan) || demand.LongTermPeak > plan.Options.ReleaseBelow *
                                                    slotsOf(plan, demand.Role))
    return;
  RoleServer *leastLoaded = nullptr;
  for (RoleServer &it : plan.Servers) {
    if (it.Role != demand.Role || it.Changing || !hasDwelt(plan, it))
      continue;
    if (!supportsRole(it, SpareRole) ||
        !canDonate(plan, it.Role, it.Slots, plan.Options.DonateBelow))
      continue;
    if (!leastLoaded || isBetterDonor(plan, it, *leastLoaded))
      leastLoaded = &it;
  }
  if (leastLoaded)
    orderChange(plan, *leastLoaded, SpareRole);
}

} // namespace

void recordDemand(RoleDemand &demand, double slots, Clock::time_point now) {
  Seconds since =
      demand.At == Clock::time_point{} ? Seconds(0) : Seconds(now - demand.At);
  double keep = std::exp(-since / SustainedDecay);
  demand.Sustained = keep * demand.Sustained + (1 - keep) * slots;
  demand.Peak = decayedMax(demand.Peak, slots, since, PeakDecay);
  demand.LongTermPeak =
      decayedMax(demand.LongTermPeak, slots, since, LongTermPeakDecay);
  demand.At = now;
}

std::vector<RoleOrder> decideRoles(std::vector<RoleServer> servers,
                                   const std::vector<RoleDemand> &demands,
                                   const RoleOptions &options,
                                   Clock::time_point now) {
  Plan plan{servers, demands, options, now, {}};
  for (const RoleDemand &it : demands)
    addServers(plan, it);
  for (const RoleDemand &it : demands)
    releaseServers(plan, it);
  return plan.Orders;
}

} // namespace greengagespar
