/// \file
/// A whole system on one machine: the platform stand-in, the entries, and the
/// endpoints with their engines and ledgers. Each process keeps its address
/// when it is restarted. Not thread safe.
#ifndef GREENGAGESPAR_HARNESS_CLUSTER_H
#define GREENGAGESPAR_HARNESS_CLUSTER_H

#include "client.h"
#include "process.h"

#include <boost/json.hpp>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace greengagespar::harness {

/// What a cluster consists of. Servers are assigned to the data centres in
/// round-robin order.
struct ClusterPlan {
  std::vector<std::string> DataCentres = {"dc1", "dc2", "dc3"};
  int EntriesPerDataCentre = 1;
  int Helpers = 4; ///< Engines with an endpoint process each.
  int Ledgers = 3; ///< Ledger services with an endpoint process each.
  std::string Team = "umuhuza";
  std::string Group = "order-helper"; ///< Also the model's name.
  std::string Service = "ledger";
  std::vector<std::string> Workspaces = {"members", "clerks"};
  int HelperSlots = 16; ///< Streams that each engine runs at a time.
  std::vector<std::string> PlatformArgs;
  std::vector<std::string> EngineArgs = {"--step-ms", "2"};
  std::vector<std::string> LedgerArgs;
  std::set<std::string> StartLater;  ///< Processes that start() doesn't start.
  bool EntriesKnowPeers = false;     ///< Each entry's settings list the others.
  boost::json::object EntrySettings; ///< Added to each entry's settings.
  boost::json::object EndpointSettings; ///< Added to each endpoint's settings.
};

/// The running system. Processes are named "platform", "entry-1", "helper-1",
/// "helper-1-engine", "ledger-1", "ledger-1-service" and so on; "helper-1" and
/// "ledger-1" are the endpoint processes.
class Cluster {
public:
  /// Chooses addresses and prepares the settings; starts no process.
  explicit Cluster(ClusterPlan plan);

  /// Starts all processes that the plan doesn't leave for later, writes the
  /// team's settings into the platform, and waits until each entry is ready and
  /// serves calls under these settings. Throws std::runtime_error when an entry
  /// doesn't in time.
  void start();

  /// Starts one process. Precondition: it is not running.
  void start(const std::string &name);

  /// Kills one process; start(name) starts it again under the same address.
  void kill(const std::string &name);

  /// Sends SIGTERM to one process, which stops gracefully, and returns its exit
  /// status; empty when the process still runs after \p timeout.
  std::optional<int> stop(const std::string &name,
                          std::chrono::milliseconds timeout = DefaultTimeout);

  /// Returns a process. Precondition: the name exists.
  Process &process(const std::string &name);

  /// Returns the HTTP address of a process, or the link address of an endpoint.
  Address address(const std::string &name) const;

  /// Returns the link address of an entry or endpoint.
  Address link(const std::string &name) const;

  /// Returns the data centre of an entry or endpoint.
  std::string dataCentre(const std::string &name) const {
    return Nodes.at(name).DataCentre;
  }

  /// Returns the names of all processes that run \p program.
  std::vector<std::string> processesOf(const std::string &program) const;

  /// Waits until entry \p name answers 200 to `GET /readyz`. Returns whether it
  /// did so in time.
  bool waitReady(const std::string &name,
                 std::chrono::milliseconds timeout = DefaultTimeout);

  /// Returns the generation of the settings in force at entry \p name; 0 when
  /// the entry has none or doesn't answer.
  std::uint64_t generation(const std::string &name);

  /// Returns the addresses that entry \p name lists in `GET /v1/entries`.
  std::set<std::string> entriesListedBy(const std::string &name);

  /// Waits until entry \p name serves a call under the team's settings: a
  /// status check, or a draft of one token when there is no ledger. Returns
  /// whether it did so in time.
  bool waitServing(const std::string &name,
                   std::chrono::milliseconds timeout = DefaultTimeout);

  /// Writes the settings of the plan's team into the platform.
  void writeTeamSettings();

  /// Writes one object of the platform. \p path begins with a slash.
  HttpAnswer putObject(const std::string &path,
                       const boost::json::value &value);

  /// Reads the value of one object of the platform; null when it doesn't exist
  /// or can't be read.
  boost::json::value object(const std::string &path);

  /// Replaces the faults that the platform stand-in simulates. An empty object
  /// ends them all.
  void setFaults(const boost::json::object &faults);

  /// Puts a relay named NAME-relay in front of the platform, an engine, a
  /// ledger or an endpoint process; the other programs connect through it.
  /// Precondition: no process runs.
  void addRelay(const std::string &name);

  /// Sends \p mode to a relay by `PUT /test/mode`.
  void setRelayMode(const std::string &relay, const boost::json::object &mode);

  /// Returns how often each order was booked, summed over all ledgers.
  std::map<std::string, int> bookings();

  /// Returns the last part of each process's error output, for the message of a
  /// failed test.
  std::string diagnosis();

  const ClusterPlan &plan() const { return Plan; }
  boost::json::object groupSettings() const;
  boost::json::object serviceSettings() const;

private:
  struct Node {
    std::string Program;
    std::string DataCentre;
    std::vector<std::string> Args;
    int Port = 0;     ///< The HTTP port, or the link port of an endpoint.
    int LinkPort = 0; ///< 0: the process has no link.
    Process Running;
  };

  void addStandin(const std::string &name, const std::string &program,
                  const std::vector<std::string> &args);
  void addEntry(const std::string &name, const std::string &dataCentre);
  void addEndpoint(const std::string &name, const std::string &dataCentre,
                   const std::string &upstream, const std::string &kind);
  void addProgram(const std::string &name, Node node,
                  boost::json::object settings);
  boost::json::array peerLinks(const std::string &name) const;
  void writeSettingsFiles();
  boost::json::array servers(const std::string &kind) const;
  int connectPort(const std::string &name) const;

  ClusterPlan Plan;
  TempDir Dir;
  std::map<std::string, Node> Nodes;
  std::map<std::string, boost::json::object> Settings; ///< By program name.
  std::map<std::string, int> RelayPorts; ///< The relay's port, by process name.
};

} // namespace greengagespar::harness

#endif // GREENGAGESPAR_HARNESS_CLUSTER_H
