/// \file
/// Settings of the entry program in direct mode.
#ifndef GREENGAGESPAR_DIRECT_DIRECT_SETTINGS_H
#define GREENGAGESPAR_DIRECT_DIRECT_SETTINGS_H

#include "greengagespar/base/schema.h"
#include <vector>

namespace greengagespar {

/// The settings file of one entry in direct mode. Plain value.
struct DirectSettings {
  HostId Name;             ///< Unique among all entries.
  DataCentreId DataCentre; ///< Where it runs.
  Address Listen;          ///< For callers' requests.
  Address Ready;           ///< Answers whether the entry is ready.
  Address Directory;       ///< Answers which entries to connect to.
  Address Link;            ///< For connections from other entries.
  Address Store;           ///< The platform's object store.
  Address Metrics;         ///< Serves metrics; empty: not served.
  /// Link port of the rank agents, see rank_agent.h; 0: there are none.
  int RankPort = 0;
  std::vector<Address> Peers; ///< Link addresses of some entries.
  /// Time from a request to stop until the process is killed.
  std::chrono::milliseconds Grace{8000};
  /// Time for which callers may keep the entries' addresses.
  std::chrono::milliseconds AddressKeep{2000};
  double RetryShare = 0.2; ///< Retries per request, of all entries together.
  double ExtraRetries =
      90; ///< Of all entries in RetryWindow, beyond the share.
  std::chrono::milliseconds RetryWindow{10000};
  /// Interval at which servers renew their registrations in the store.
  std::chrono::milliseconds RegistrationHeartbeat{1200};
  /// Time in which a change in the store has to be in force.
  std::chrono::milliseconds ChangeTime{2000};
  /// A cold server gets at most its service's rate times this in any second,
  /// from all entries together, and ColdSlack more; 0: no bound.
  double ColdOverage = 0;
  double ColdSlack = 0; ///< In requests.
  /// Whether the entries share the room of a model group by its reports, where
  /// they are more than a server has slots; otherwise each limits its own
  /// streams by the pauses that it observes.
  bool ShareRoom = false;
  int LogLinesPerSecond = 400; ///< Further lines are counted and left out.
  /// Time in which the operator's order to take a data centre out of service
  /// has to be in force; zero: there are no such orders.
  std::chrono::milliseconds OutOfServiceTime{0};
  double MemoryMegabytes = 256; ///< The process may use no more.
};

/// Returns the schema of the settings file. Thread safe.
const Schema<DirectSettings> &directSettingsSchema();

/// Returns default values, and example values for required keys. Thread safe.
DirectSettings defaultDirectSettings();

/// Removes this entry's own address from \p settings.Peers. Thread safe.
void completeDirectSettings(DirectSettings &settings, Findings &findings);

} // namespace greengagespar

#endif // GREENGAGESPAR_DIRECT_DIRECT_SETTINGS_H
