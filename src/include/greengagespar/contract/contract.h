/// \file
/// What teams declare: groups, services, servers and workspaces, after the
/// settings were checked and accepted. Plain values; safe to share read-only.
#ifndef GREENGAGESPAR_CONTRACT_CONTRACT_H
#define GREENGAGESPAR_CONTRACT_CONTRACT_H

#include "greengagespar/base/ids.h"
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace greengagespar {

/// One server of a group or service and the endpoint process before it.
struct Server {
  ServerId Id;               ///< Unique in the whole system.
  Address Endpoint;          ///< Link address of its endpoint process.
  DataCentreId DataCentre;   ///< Where it runs.
  bool ChecksFencing = true; ///< Refuses orders with an old fencing number.
  bool Leaving = false;      ///< Takes no new work; an operator's drain.
};

/// An objective: a share of answers inside a time.
struct Objective {
  std::string Measure; ///< "answer", "first_token", "between_tokens".
  std::chrono::milliseconds Within; ///< The time.
  double Share = 0.95;              ///< Share of answers inside it, 0 to 1.
};

/// A group of expert-parallel model servers.
struct Group {
  GroupId Id;
  TeamId Team;
  std::string Model; ///< What callers name as "model".
  std::vector<Server> Servers;
  std::chrono::milliseconds DefaultDeadline{30000};
  std::chrono::milliseconds MaxDeadline{120000};
  int SlotsPerServer = 16; ///< Streams that one server's engine batches.
  std::vector<Objective> Objectives;
};

/// Calls of a plain service that may not be repeated.
struct CallPattern {
  std::string Method;     ///< An HTTP method in capitals.
  std::string PathPrefix; ///< The path below the service begins with it.
};

/// A plain service.
struct Service {
  ServiceId Id;
  TeamId Team;
  std::vector<Server> Servers;
  std::vector<CallPattern> NonRepeatable;
  std::chrono::milliseconds DefaultDeadline{5000};
  std::chrono::milliseconds MaxDeadline{30000};
  std::chrono::milliseconds DedupeWindow{120000}; ///< How long keys are kept.
  int SlotsPerServer = 64; ///< Calls that one server takes at a time.
  std::vector<Objective> Objectives;
};

/// A workspace: whose calls share the system by weight.
struct Workspace {
  WorkspaceId Id;
  TeamId Team;
  double Weight = 1.0;                 ///< Share under contention, over 0.
  int MaxInFlight = 1000;              ///< Calls in progress on one entry.
  std::optional<double> RatePerSecond; ///< Calls a second on one entry.
};

/// All that one team declares.
struct TeamContract {
  TeamId Team;
  std::vector<Group> Groups;
  std::vector<Service> Services;
  std::vector<Workspace> Workspaces;
};

/// The accepted settings of all teams at one generation. Immutable once made.
struct Contract {
  Generation At;
  std::map<GroupId, Group> Groups;
  std::map<ServiceId, Service> Services;
  std::map<WorkspaceId, Workspace> Workspaces;
};

/// Returns how many calls \p server takes at a time; 0 when \p contract does
/// not declare it.
int slotsOf(const Contract &contract, const ServerId &server);

} // namespace greengagespar

#endif // GREENGAGESPAR_CONTRACT_CONTRACT_H
