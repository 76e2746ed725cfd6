/// \file
/// Settings of the entry program.
#ifndef GREENGAGESPAR_ENTRY_ENTRY_SETTINGS_H
#define GREENGAGESPAR_ENTRY_ENTRY_SETTINGS_H

#include "greengagespar/base/schema.h"
#include "greengagespar/base/units.h"
#include <vector>

namespace greengagespar {

/// What one entry process learns from its settings file. Plain value.
struct EntrySettings {
  HostId Name;             ///< Unique among all entries.
  DataCentreId DataCentre; ///< Where it runs.
  Address Listen;          ///< For callers' HTTP.
  Address Link;            ///< For links from other processes.
  Address Advertise;       ///< Told to callers; Listen when not given.
  Address Platform;        ///< The platform's object API.
  /// Link addresses of other entries, to start by while the platform is out.
  std::vector<Address> Peers;
  std::size_t MaxBodyBytes = MiB;        ///< Of one request.
  std::size_t MaxHeaderBytes = 16 * KiB; ///< Of one request.
  int MaxConnections = 4096;             ///< Callers' connections at a time.
  std::chrono::milliseconds HeaderTimeout{10000}; ///< For a whole request.
  std::chrono::milliseconds IdleTimeout{60000};   ///< Between requests.
  std::size_t MaxQueueBytes = 8 * MiB;            ///< Bodies of waiting calls.
  std::chrono::milliseconds DrainGrace{3000};  ///< Calls still taken on a stop.
  std::chrono::milliseconds AddressKeep{5000}; ///< Callers keep addresses.
  int RetryBudgetPercent = 10; ///< Retries as a share of recent successes.
};

/// Returns the table of the settings. Thread safe.
const Schema<EntrySettings> &entrySettingsSchema();

/// Returns default values, and example values for required keys. Thread safe.
EntrySettings defaultEntrySettings();

/// Fills in Advertise and checks keys against each other. Thread safe.
void completeEntrySettings(EntrySettings &settings, Findings &findings);

} // namespace greengagespar

#endif // GREENGAGESPAR_ENTRY_ENTRY_SETTINGS_H
