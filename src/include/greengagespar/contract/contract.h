/// \file
/// What teams declare in their validated and accepted settings: groups,
/// services, servers and workspaces. Plain values; safe to share read-only.
#ifndef GREENGAGESPAR_CONTRACT_CONTRACT_H
#define GREENGAGESPAR_CONTRACT_CONTRACT_H

#include "greengagespar/base/ids.h"
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace greengagespar {

/// One server of a group or service, with the endpoint process in front of it.
struct Server {
  ServerId Id;             ///< Unique in the whole system.
  Address Endpoint;        ///< Link address of the server's endpoint process.
  DataCentreId DataCentre; ///< Data centre in which the server runs.
  /// Whether the server refuses orders with an old fencing number.
  bool ChecksFencing = true;
  /// Whether an operator drains the server: it accepts no new work.
  bool Leaving = false;
};

/// A service level objective: a share of the answers must be within a time
/// limit.
struct Objective {
  std::string Measure; ///< "answer", "first_token", "between_tokens".
  std::chrono::milliseconds Within; ///< The time limit.
  double Share = 0.95;              ///< Share of answers within it, 0 to 1.
};

/// A group of expert-parallel model servers.
struct Group {
  GroupId Id;
  TeamId Team;
  std::string Model; ///< Value of "model" in calls to this group.
  std::vector<Server> Servers;
  /// Deadline of a call that sets none.
  std::chrono::milliseconds DefaultDeadline{30000};
  /// Longest deadline of a call.
  std::chrono::milliseconds MaxDeadline{120000};
  /// Streams that one server's engine batches at a time.
  int SlotsPerServer = 16;
  std::vector<Objective> Objectives;
};

/// Matches calls of a plain service that must not be repeated.
struct CallPattern {
  std::string Method;     ///< An HTTP method in capitals.
  std::string PathPrefix; ///< Prefix of the path below the service.
};

/// A plain service.
struct Service {
  ServiceId Id;
  TeamId Team;
  std::vector<Server> Servers;
  std::vector<CallPattern> NonRepeatable;
  /// Deadline of a call that sets none.
  std::chrono::milliseconds DefaultDeadline{5000};
  /// Longest deadline of a call.
  std::chrono::milliseconds MaxDeadline{30000};
  /// How long the system remembers an idempotency key.
  std::chrono::milliseconds DedupeWindow{120000};
  int SlotsPerServer = 64; ///< Calls that one server runs at a time.
  std::vector<Objective> Objectives;
};

/// A workspace. Under contention, workspaces share the system by weight.
struct Workspace {
  WorkspaceId Id;
  TeamId Team;
  double Weight = 1.0;    ///< Relative share under contention, over 0.
  int MaxInFlight = 1000; ///< Most calls in progress on one entry.
  /// Most calls a second on one entry. Empty: no limit.
  std::optional<double> RatePerSecond;
};

/// Everything that one team declares.
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

/// Returns how many calls \p server runs at a time; 0 when \p contract does not
/// declare it.
int slotsOf(const Contract &contract, const ServerId &server);

} // namespace greengagespar

#endif // GREENGAGESPAR_CONTRACT_CONTRACT_H
