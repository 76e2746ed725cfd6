/// \file
/// Settings of the entry program in direct mode.
#ifndef GREENGAGESPAR_DIRECT_DIRECT_SETTINGS_H
#define GREENGAGESPAR_DIRECT_DIRECT_SETTINGS_H

#include "greengagespar/base/schema.h"
#include <vector>

namespace greengagespar {

/// What one entry in direct mode learns from its settings file. Plain value.
struct DirectSettings {
  HostId Name;             ///< Unique among all entries.
  DataCentreId DataCentre; ///< Where it runs.
  Address Listen;          ///< For callers' requests.
  Address Ready;           ///< For questions whether it is ready.
  Address Directory;       ///< For questions which entries to connect to.
  Address Link;            ///< For links from other entries.
  Address Store;           ///< The platform's object store.
  Address Metrics;         ///< For readers of metrics; empty: none.
  int RankPort = 0; ///< Link port of the processes beside ranks; 0: none.
  std::vector<Address> Peers;            ///< Link addresses of some entries.
  std::chrono::milliseconds Grace{8000}; ///< From a stop to its forced end.
  std::chrono::milliseconds AddressKeep{2000}; ///< Callers keep addresses.
  double RetryShare = 0.2; ///< Retries per request, all entries.
  int ExtraRetries = 90;   ///< Beyond the share, in RetryWindow.
  std::chrono::milliseconds RetryWindow{10000};
  int LogLinesPerSecond = 400;
};

/// Returns the table of the settings. Thread safe.
const Schema<DirectSettings> &directSettingsSchema();

/// Returns default values, and example values for required keys. Thread safe.
DirectSettings defaultDirectSettings();

/// Removes this entry from its peers. Thread safe.
void completeDirectSettings(DirectSettings &settings, Findings &findings);

} // namespace greengagespar

#endif // GREENGAGESPAR_DIRECT_DIRECT_SETTINGS_H
