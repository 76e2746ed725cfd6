/// \file
/// The servers of a site as the platform's store lists them. Registrations of
/// live servers may expire while the store is unavailable; the entry keeps
/// using such servers until they have had time to register again. Pure
/// functions over plain state; not thread safe.
#ifndef GREENGAGESPAR_DIRECT_SERVER_TABLE_H
#define GREENGAGESPAR_DIRECT_SERVER_TABLE_H

#include "greengagespar/base/clock.h"
#include "greengagespar/direct/site.h"

namespace greengagespar {

/// Time after the store's return in which a live server, whose registration
/// expired in the outage, registers again. The platform's pages say about 2 s.
inline constexpr std::chrono::milliseconds ReregistrationTime{2300};

/// One server, and when it is to be removed if its registration is missing.
struct KnownServer {
  ServerRecord Record;
  /// Set while the registration is missing after an outage: the server is
  /// removed at this time unless it registers again.
  std::optional<Clock::time_point> RemoveAt;
};

/// All servers that may receive work, and those that are leaving.
struct ServerTable {
  std::map<ServerId, KnownServer> Servers;
  bool StoreUnavailable = false; ///< The last call to the store failed.
  /// Registrations that go missing before this time may have expired in an
  /// outage.
  Clock::time_point OutageGraceUntil{};
};

/// What one update of the table changed.
struct ServerChanges {
  std::vector<ServerRecord> Updated; ///< Added, or with a changed record.
  std::vector<ServerRecord> Removed;
};

/// Records that the store did not answer.
void recordStoreUnavailable(ServerTable &table);

/// Records that the store answered at \p now.
void recordStoreAnswer(ServerTable &table, Clock::time_point now);

/// Adds or updates the servers of new or changed registrations. A server that
/// now belongs to another service is both removed, with its old record, and
/// updated.
ServerChanges recordRegistrations(ServerTable &table,
                                  const std::vector<ServerRecord> &records);

/// Records that the registrations of \p ids are missing at \p now. A server
/// that was leaving is removed at once; any other is, too, unless its
/// registration may have expired in an outage.
ServerChanges recordMissing(ServerTable &table,
                            const std::vector<ServerId> &ids,
                            Clock::time_point now);

/// Returns the ids of all servers that are not in \p present.
std::vector<ServerId> missingFrom(const ServerTable &table,
                                  const std::vector<ServerRecord> &present);

/// Removes the servers that have not registered again in time. Removes none
/// while the store is unavailable.
ServerChanges removeExpired(ServerTable &table, Clock::time_point now);

} // namespace greengagespar

#endif // GREENGAGESPAR_DIRECT_SERVER_TABLE_H
