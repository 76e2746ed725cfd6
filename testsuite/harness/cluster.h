/// \file
/// A whole system on one machine: the platform stand-in, entries, and endpoints
/// with their engines and ledgers, each under an address that stays the same
/// over restarts. Not thread safe.
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

/// What to start. Servers are spread over the data centres in turn.
struct ClusterPlan {
  std::vector<std::string> DataCentres = {"dc1", "dc2", "dc3"};
  int EntriesPerDataCentre = 1;
  int Helpers = 4; ///< Engines with an endpoint process each.
  int Ledgers = 3; ///< Ledger services with an endpoint process each.
  std::string Team = "umuhuza";
  std::string Group = "order-helper"; ///< Also the model's name.
  std::string Service = "ledger";
  std::vector<std::string> Workspaces = {"members", "clerks"};
  int HelperSlots = 16;
  std::vector<std::string> PlatformArgs;
  std::vector<std::string> EngineArgs = {"--step-ms", "2"};
  std::vector<std::string> LedgerArgs;
  std::set<std::string> StartLater;  ///< Processes that start() leaves out.
  bool EntriesKnowPeers = false;     ///< Each entry's settings name the others.
  boost::json::object EntrySettings; ///< Added to each entry's settings.
  boost::json::object EndpointSettings; ///< Added to each endpoint's settings.
};

/// The system. Processes are named "platform", "entry-1", "helper-1",
/// "helper-1-engine", "ledger-1", "ledger-1-service" and so on; "helper-1" and
/// "ledger-1" are the endpoint processes.
class Cluster {
public:
  /// Chooses addresses and writes the settings files; starts nothing.
  explicit Cluster(ClusterPlan plan);

  /// Starts everything, writes the team's settings into the platform, and waits
  /// until each entry is ready and serves calls under these settings. Throws
  /// std::runtime_error when one does not.
  void start();

  /// Starts one process. Precondition: it is not running.
  void start(const std::string &name);

  /// Kills one process; start(name) brings it back under its address.
  void kill(const std::string &name);

  /// Asks one process for a graceful stop and returns its exit status; empty
  /// when it goes on for longer than \p patience.
  std::optional<int> stop(const std::string &name,
                          std::chrono::milliseconds patience = Patience);

  /// Returns a process. Precondition: the name exists.
  Process &process(const std::string &name);

  /// Returns a process's HTTP address; for an endpoint its link address.
  Address address(const std::string &name) const;

  /// Returns the link address of an entry or endpoint.
  Address link(const std::string &name) const;

  /// Returns the data centre of an entry or endpoint.
  std::string dataCentre(const std::string &name) const {
    return Nodes.at(name).DataCentre;
  }

  /// Returns the names of all processes that run \p program.
  std::vector<std::string> named(const std::string &program) const;

  /// Waits until entry \p name answers that it is ready.
  bool waitReady(const std::string &name,
                 std::chrono::milliseconds patience = Patience);

  /// Returns the generation of the settings in force at entry \p name; 0 when
  /// there are none or it does not answer.
  std::uint64_t generation(const std::string &name);

  /// Returns the addresses that entry \p name tells callers.
  std::set<std::string> listedBy(const std::string &name);

  /// Waits until entry \p name serves a call under the team's settings: a
  /// status check, or a draft of one token when there is no ledger.
  bool waitServing(const std::string &name,
                   std::chrono::milliseconds patience = Patience);

  /// Writes the team's settings, as the plan says, into the platform.
  void writeTeamSettings();

  /// Writes one object. \p path begins with a slash.
  HttpAnswer putObject(const std::string &path,
                       const boost::json::value &value);

  /// Reads one object's value; null when there is none.
  boost::json::value object(const std::string &path);

  /// Sets the platform's faults.
  void setFaults(const boost::json::object &faults);

  /// Lets the programs reach the address of the platform, an engine, a ledger
  /// or an endpoint process through a relay, which is named NAME-relay.
  /// Precondition: nothing runs.
  void addRelay(const std::string &name);

  /// Sends a command to a relay.
  void relayMode(const std::string &relay, const boost::json::object &mode);

  /// Returns how often each order was booked over all ledgers.
  std::map<std::string, int> bookings();

  /// Returns the end of each process's error output, for a failed test.
  std::string diagnosis();

  const ClusterPlan &plan() const { return Plan; }
  boost::json::object groupSettings() const;
  boost::json::object serviceSettings() const;

private:
  struct Node {
    std::string Program;
    std::string DataCentre;
    std::vector<std::string> Args;
    int Port = 0; ///< Serves HTTP, or the endpoint's link.
    int LinkPort = 0;
    Process Running;
  };

  void addStandin(const std::string &name, const std::string &program,
                  const std::vector<std::string> &args);
  void addEntry(const std::string &name, const std::string &dataCentre);
  void addEndpoint(const std::string &name, const std::string &dataCentre,
                   const std::string &upstream, const std::string &kind);
  void addProgram(const std::string &name, Node node,
                  boost::json::object settings);
  boost::json::array linksWithout(const std::string &name) const;
  void rewriteSettings();
  boost::json::array servers(const std::string &kind) const;
  int reachedPort(const std::string &name) const;

  ClusterPlan Plan;
  TempDir Dir;
  std::map<std::string, Node> Nodes;
  std::map<std::string, boost::json::object> Settings; ///< By program name.
  std::map<std::string, int> RelayPorts; ///< Relayed port by upstream name.
};

} // namespace greengagespar::harness

#endif // GREENGAGESPAR_HARNESS_CLUSTER_H
