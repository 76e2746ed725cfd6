/// \file
/// The servers of a site as the store lists them. While the store was away,
/// entries of live servers may lapse; such servers stay in use until they had
/// time to register again. Pure functions over plain state; not thread safe.
#ifndef GREENGAGESPAR_DIRECT_SERVER_TABLE_H
#define GREENGAGESPAR_DIRECT_SERVER_TABLE_H

#include "greengagespar/base/clock.h"
#include "greengagespar/direct/site.h"

namespace greengagespar {

/// Time in which a live server whose entry lapsed in an outage registers again
/// after the store's return, from the platform's pages (about 2 s).
inline constexpr std::chrono::milliseconds RegisterAgain{2300};

/// One server and when its entry went away, if it did.
struct KnownServer {
  ServerRecord Record;
  /// Set while the entry is missing after an outage: gone at this moment.
  std::optional<Clock::time_point> GoneAt;
};

/// All servers that may get work, and those that are leaving.
struct ServerTable {
  std::map<ServerId, KnownServer> Servers;
  bool StoreAway = false; ///< The last call to the store got no answer.
  /// Entries that go missing until then may have lapsed in an outage.
  Clock::time_point DoubtUntil{};
};

/// What a step changed.
struct ServerChanges {
  std::vector<ServerRecord> Updated; ///< Added, or with a changed record.
  std::vector<ServerRecord> Gone;
};

/// Notes that the store did not answer.
void noteStoreAway(ServerTable &table);

/// Notes that the store answered at \p now.
void noteStoreAnswered(ServerTable &table, Clock::time_point now);

/// Takes in entries that were written.
ServerChanges noteEntries(ServerTable &table,
                          const std::vector<ServerRecord> &records);

/// Takes in that the entries \p ids are missing at \p now. A server that was
/// leaving is gone at once; outside an outage any other is, too.
ServerChanges noteMissing(ServerTable &table, const std::vector<ServerId> &ids,
                          Clock::time_point now);

/// Returns the ids of all servers that are not in \p present.
std::vector<ServerId> missingFrom(const ServerTable &table,
                                  const std::vector<ServerRecord> &present);

/// Removes the servers whose time to register again has passed.
ServerChanges sweepServers(ServerTable &table, Clock::time_point now);

} // namespace greengagespar

#endif // GREENGAGESPAR_DIRECT_SERVER_TABLE_H
