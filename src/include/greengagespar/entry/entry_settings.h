/// \file
/// Settings of the entry program.
#ifndef GREENGAGESPAR_ENTRY_ENTRY_SETTINGS_H
#define GREENGAGESPAR_ENTRY_ENTRY_SETTINGS_H

#include "greengagespar/base/schema.h"
#include "greengagespar/base/units.h"
#include <vector>

namespace greengagespar {

/// The settings file of one entry process. Plain value.
struct EntrySettings {
  HostId Name;             ///< Unique among all entries.
  DataCentreId DataCentre; ///< Where the entry runs.
  Address Listen;          ///< Where callers connect, by HTTP.
  Address Link;            ///< Where links from other processes connect.
  Address Advertise;       ///< Sent to callers; empty: Listen.
  Address Platform;        ///< The platform's object API.
  /// Link addresses of other entries, by which this entry finds them at the
  /// start while the platform is unavailable. Empty: the platform lists the
  /// entries.
  std::vector<Address> Peers;
  std::size_t MaxBodyBytes = MiB;        ///< Of one request.
  std::size_t MaxHeaderBytes = 16 * KiB; ///< Of one request.
  int MaxConnections = 4096;             ///< Of callers, at the same time.
  /// Time in which a caller must send a whole request.
  std::chrono::milliseconds HeaderTimeout{10000};
  /// Time after which an idle connection is closed.
  std::chrono::milliseconds IdleTimeout{60000};
  /// For bodies of waiting calls; not used.
  std::size_t MaxQueueBytes = 8 * MiB;
  /// Time after a stop is requested in which new calls are still accepted.
  std::chrono::milliseconds DrainGrace{3000};
  /// Time for which callers may keep the list of addresses.
  std::chrono::milliseconds AddressKeep{5000};
  /// Retries, in percent of recent successes; not used.
  int RetryBudgetPercent = 10;
};

/// Returns the table of the settings. Thread safe.
const Schema<EntrySettings> &entrySettingsSchema();

/// Returns default values, and example values for required keys. Thread safe.
EntrySettings defaultEntrySettings();

/// Sets an empty Advertise to Listen, checks the addresses against each other
/// and adds each fault to \p findings. Thread safe.
void completeEntrySettings(EntrySettings &settings, Findings &findings);

} // namespace greengagespar

#endif // GREENGAGESPAR_ENTRY_ENTRY_SETTINGS_H
