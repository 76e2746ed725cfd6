/// \file
/// Decides which servers change their role as demand moves between roles or
/// groups, and which spare servers start to serve. Servers are added quickly
/// and removed slowly, so that roles don't flap: the demand estimate rises at
/// once and decays slowly, a role releases servers only far below the
/// utilization at which it requests them, and a server keeps a role for a
/// minimum time. Pure functions; one event loop owns the state.
#ifndef GREENGAGESPAR_ROUTE_ROLES_H
#define GREENGAGESPAR_ROUTE_ROLES_H

#include "greengagespar/base/clock.h"
#include "greengagespar/base/ids.h"
#include <chrono>
#include <vector>

namespace greengagespar {

/// A role that an engine can have, such as serving one group.
using RoleId = TextId<struct RoleTag>;

/// The role of a server that is ready and serves no calls.
inline const RoleId SpareRole{"spare"};

/// One server and its role.
struct RoleServer {
  ServerId Id;
  RoleId Role; ///< Current role, or the role that it changes to.
  std::vector<RoleId> SupportedRoles; ///< Roles that its engine can have.
  int Slots = 16;                     ///< Calls that it processes at a time.
  int Running = 0;                    ///< Calls that it processes now.
  bool Changing = false;              ///< A role change is in progress.
  Clock::time_point ChangedAt;        ///< When the role last changed.
  /// How long the engine takes to change its role.
  Clock::duration SwitchTime{0};
};

/// Demand for one role, in slots.
struct RoleDemand {
  RoleId Role;
  int MinServers = 1;      ///< Servers that the role always keeps.
  double Peak = 0;         ///< Peak demand; rises at once, decays in seconds.
  double Sustained = 0;    ///< Mean demand, decayed over half a minute.
  double LongTermPeak = 0; ///< Peak demand; rises at once, decays in minutes.
  Clock::time_point At{};  ///< When demand was last recorded; default: never.
};

/// Parameters of role changes.
struct RoleOptions {
  /// Utilization above which a role requests a server.
  double GrowAbove = 0.85;
  /// Greatest utilization of a role after it donated a server.
  double DonateBelow = 0.65;
  /// Utilization up to which a role releases a server.
  double ReleaseBelow = 0.4;
  /// Shortest time that a server keeps a role.
  std::chrono::milliseconds MinDwell{10000};
  /// A server that takes longer to change its role is requested by Sustained
  /// demand instead of Peak.
  std::chrono::milliseconds QuickSwitch{1000};
  /// Limit on servers that change at the same time.
  std::size_t MaxChanging = 2;
};

/// An order to a server to change its role.
struct RoleOrder {
  ServerId Server;
  RoleId From;
  RoleId To;
};

/// Records that a role has \p slots running and waiting calls at \p now.
void recordDemand(RoleDemand &demand, double slots, Clock::time_point now);

/// Decides which servers change their role now. Spare servers are chosen first,
/// then the least busy server of the role with the lowest long-term
/// utilization. Servers that are changing count for their new role, so that the
/// same demand doesn't cause a second order. Released servers become spare.
std::vector<RoleOrder> decideRoles(std::vector<RoleServer> servers,
                                   const std::vector<RoleDemand> &demands,
                                   const RoleOptions &options,
                                   Clock::time_point now);

} // namespace greengagespar

#endif // GREENGAGESPAR_ROUTE_ROLES_H
