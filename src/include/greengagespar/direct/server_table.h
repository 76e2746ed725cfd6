/// \file
/// The servers of a site as the platform's store lists them. Registrations of
/// live servers may expire while the store is unavailable; the entry keeps
/// using such servers until they have had time to register again. Pure
/// functions over plain state; not thread safe.
///
/// A store that was restored from an older copy lists servers as they were: one
/// that registered later is missing, and one that left may be listed again. The
/// entry keeps using the first until it has had time to register again. It does
/// not use the second before its registration changes, or has stood long enough
/// to show that the server lives.
///
/// A server that crashes stays registered until the store removes it. A later
/// server at its address proves that it is gone, so the entry stops using it at
/// once.
#ifndef GREENGAGESPAR_DIRECT_SERVER_TABLE_H
#define GREENGAGESPAR_DIRECT_SERVER_TABLE_H

#include "greengagespar/base/clock.h"
#include "greengagespar/direct/site.h"
#include <functional>
#include <set>

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
  /// Another server has answered at its address, so that its registration says
  /// nothing of the others there.
  bool IsElsewhere = false;
  /// The configuration names its service, and no server of which that holds too
  /// and that started later is registered at its address.
  bool IsUsed = false;
};

/// A server that was removed.
struct DepartedServer {
  std::uint64_t StartedMs = 0; ///< Of the incarnation that was removed.
  Clock::time_point At;        ///< When it was removed.
};

/// How long the table remembers removed servers. A restored copy of the store
/// is some seconds old.
inline constexpr std::chrono::minutes DepartedRetention{5};

/// A registration in a restored copy of the store, of a server that was seen to
/// leave after the copy was made.
struct DoubtfulServer {
  ServerRecord Record;
  /// If it is still registered then, the server has renewed its registration.
  Clock::time_point ConfirmedAt;
};

/// All servers that may receive work, and those that are leaving.
struct ServerTable {
  std::map<ServerId, KnownServer> Servers;
  /// Those that the configuration names; empty: no configuration is known yet.
  std::optional<std::set<ServiceId>> Services;
  bool StoreUnavailable = false; ///< The last call to the store failed.
  /// Registrations that go missing before this time may have expired in an
  /// outage.
  Clock::time_point OutageGraceUntil{};
  std::map<ServerId, DepartedServer> Departed;
  /// Servers to leave as they are until their registrations are confirmed.
  std::map<ServerId, DoubtfulServer> Doubtful;
  /// Time in which the store surely removes the registration of a server that
  /// does not renew it, see confirmationTime().
  std::chrono::milliseconds ConfirmationTime{4600};
};

/// Returns the time after which a registration that still stands was renewed by
/// its server, which does so each \p heartbeat: the platform removes it after
/// three of them, and a while later. Thread safe.
inline std::chrono::milliseconds
confirmationTime(std::chrono::milliseconds heartbeat) {
  constexpr int heartbeatsToRemoval = 3;
  constexpr std::chrono::milliseconds removalDelay{1000};
  return heartbeatsToRemoval * heartbeat + removalDelay;
}

/// What one update of the table changed, as far as servers are used: one that
/// is replaced counts as removed.
struct ServerChanges {
  std::vector<ServerRecord> Updated; ///< Added, or with a changed record.
  std::vector<ServerRecord> Removed;
  /// Cold servers whose record is otherwise the same, once for each time that
  /// they registered again.
  std::vector<ServerRecord> Cold;
};

/// Records that the configuration names \p services. Servers of other ones are
/// not used, and don't replace any.
ServerChanges recordServices(ServerTable &table, std::set<ServiceId> services);

/// Marks the servers for which \p isElsewhere holds: another one has answered
/// at the address of each. A marked server replaces no other one until it
/// starts again.
ServerChanges
recordElsewhere(ServerTable &table,
                const std::function<bool(const ServerRecord &)> &isElsewhere);

/// Records that the store did not answer.
void recordStoreUnavailable(ServerTable &table);

/// Records that the store answered at \p now.
void recordStoreAnswer(ServerTable &table, Clock::time_point now);

/// Records that the store was restored from an older copy. Registrations that
/// go missing may be of live servers that registered after the copy was made.
void recordRestore(ServerTable &table, Clock::time_point now);

/// Adds or updates the servers of all registrations that the store lists,
/// except those that are doubtful. \p isRestored: the listing is the first one
/// since the store was restored.
ServerChanges recordListing(ServerTable &table,
                            const std::vector<ServerRecord> &records,
                            bool isRestored, Clock::time_point now);

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

/// Returns the ids of all servers, doubtful ones too, that are not in \p
/// present.
std::vector<ServerId> missingFrom(const ServerTable &table,
                                  const std::vector<ServerRecord> &present);

/// Removes the servers that have not registered again in time. Removes none
/// while the store is unavailable.
ServerChanges removeExpired(ServerTable &table, Clock::time_point now);

/// Adds or updates the servers whose doubtful registrations have stood until
/// \p now. Does nothing while the store is unavailable.
ServerChanges recordConfirmed(ServerTable &table, Clock::time_point now);

} // namespace greengagespar

#endif // GREENGAGESPAR_DIRECT_SERVER_TABLE_H
