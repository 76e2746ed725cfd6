/// \file
/// Which servers change role as demand moves between roles or groups, and which
/// spare servers are called in. Quick to add, slow to take away: demand rises
/// at once and decays slowly, a role gives up servers only far below the load
/// at which it asks for them, and a server keeps a role for a while. Pure
/// functions; one loop owns the state.
#ifndef GREENGAGESPAR_ROUTE_ROLES_H
#define GREENGAGESPAR_ROUTE_ROLES_H

#include "greengagespar/base/clock.h"
#include "greengagespar/base/ids.h"
#include <chrono>
#include <vector>

namespace greengagespar {

/// A role that an engine can take, such as the serving of one group.
using RoleId = TextId<struct RoleTag>;

/// The role of a server that is warm and serves nothing.
inline const RoleId SpareRole{"spare"};

/// One server and its role.
struct RoleServer {
  ServerId Id;
  RoleId Role;                   ///< Its role, or the one that it changes to.
  std::vector<RoleId> Able;      ///< Roles that its engine can take.
  int Slots = 16;                ///< Calls that it works on at a time.
  int Running = 0;               ///< Calls that it works on now.
  bool Changing = false;         ///< An order to it has not taken effect yet.
  Clock::time_point ChangedAt;   ///< When its role last changed.
  Clock::duration SwitchTime{0}; ///< How long its engine takes to change.
};

/// Demand for one role, in slots.
struct RoleDemand {
  RoleId Role;
  int MinServers = 1;     ///< Servers that it always keeps.
  double Peak = 0;        ///< Rises at once, decays in seconds.
  double Sustained = 0;   ///< Decayed mean over half a minute.
  double Lasting = 0;     ///< Rises at once, decays in minutes.
  Clock::time_point At{}; ///< When it was last noted.
};

/// Tuning of role changes.
struct RoleOptions {
  double AskAbove = 0.85;    ///< A role over this share of its slots asks.
  double KeepBelow = 0.65;   ///< A donor stays under this after it gives.
  double ReleaseBelow = 0.4; ///< A role under this gives a server up.
  std::chrono::milliseconds MinDwell{10000}; ///< Shortest time in a role.
  /// A change that takes longer answers Sustained demand, not Peak.
  std::chrono::milliseconds QuickSwitch{1000};
  std::size_t MaxChanging = 2; ///< Servers that change at the same time.
};

/// An order to a server to change its role.
struct RoleOrder {
  ServerId Server;
  RoleId From;
  RoleId To;
};

/// Notes that a role has \p slots calls running and waiting at \p now.
void noteDemand(RoleDemand &demand, double slots, Clock::time_point now);

/// Decides which servers change their role now. A spare server goes first, then
/// the least busy server of the role with the least lasting load. Servers that
/// are changing count for their new role, so that the same demand gives no
/// second order. Servers given up become spare.
std::vector<RoleOrder> decideRoles(std::vector<RoleServer> servers,
                                   const std::vector<RoleDemand> &demands,
                                   const RoleOptions &options,
                                   Clock::time_point now);

} // namespace greengagespar

#endif // GREENGAGESPAR_ROUTE_ROLES_H
