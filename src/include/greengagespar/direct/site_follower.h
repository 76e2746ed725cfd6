/// \file
/// Keeps an entry's configuration and servers up to date with the platform's
/// store, by one long poll for each, and provides both to peers that the store
/// refuses to serve. Where the settings call for it, a third long poll follows
/// the operator's orders to take data centres out of service. Entries tell each
/// other of changes, so that one whose poll the store has lost does not wait
/// until it ends. Not thread safe: belongs to the thread of its loop.
#ifndef GREENGAGESPAR_DIRECT_SITE_FOLLOWER_H
#define GREENGAGESPAR_DIRECT_SITE_FOLLOWER_H

#include "greengagespar/direct/out_of_service.h"
#include "greengagespar/direct/route_table.h"
#include "greengagespar/direct/server_table.h"
#include "greengagespar/store/prefix_watch.h"
#include <set>

namespace greengagespar {

/// The owner's callbacks.
struct SiteFollowerHooks {
  /// A newer configuration is in force; the table is never null.
  std::function<void(std::shared_ptr<const RouteTable>)> OnConfiguration;
  /// Servers were added, changed or removed.
  std::function<void(const ServerChanges &)> OnServers;
  /// Returns the place of this entry among those that follow the store; empty:
  /// it is the only one.
  std::function<PollSlot()> Slot = {};
  /// The store has told which data centres are out of service, or that nothing
  /// about them has changed.
  std::function<void(const OrderReport &)> OnOrders = {};
};

/// The last changes that an entry has received from the store, as it tells the
/// others. A revision of 0: there was none lately.
struct StoreNews {
  ObjectVersion Configuration;
  ObjectVersion Servers;
};

/// Follows the store. The version of the configuration in force never decreases
/// within one incarnation of the process.
class SiteFollower {
public:
  /// Precondition: \p loop and \p dialect outlive the follower.
  SiteFollower(event_base *loop, const Address &store,
               const SiteDialect &dialect, std::uint64_t seed,
               SiteFollowerHooks hooks);

  void start();

  /// Sets the interval at which servers renew their registrations.
  void setRegistrationHeartbeat(std::chrono::milliseconds heartbeat) {
    Known.ConfirmationTime = confirmationTime(heartbeat);
  }

  /// Sets the time in which a change has to be in force. It determines how
  /// often an entry asks a store that reports no changes.
  void setChangeTime(std::chrono::milliseconds time);

  /// Sets the time in which an order to take a data centre out of service has
  /// to be in force; zero: such orders are not followed, which costs no call.
  void setOutOfServiceTime(std::chrono::milliseconds time);

  /// Returns the changes of the last seconds, for the other entries.
  StoreNews news(Clock::time_point now) const;
  /// Asks the store again if it does not report \p news of another entry soon.
  void expect(const StoreNews &news);
  /// Polls that were taken for lost because of expect().
  std::uint64_t overtakenPolls() const;

  /// The configuration in force; null before the first one.
  const std::shared_ptr<const RouteTable> &table() const { return Table; }
  /// Whether the servers were read at least once.
  bool knowsServers() const { return HasServers; }
  /// When the store stopped answering; empty while it answers.
  std::optional<Clock::time_point> storeUnavailableSince() const {
    return UnavailableSince;
  }

  /// Returns the configuration and the servers as JSON text for a peer that has
  /// the configuration of version \p since. Empty when there is none newer.
  std::string snapshotSince(Generation since) const;
  /// Applies a peer's snapshot. Its servers are used only while the servers
  /// have not been read from the store; a malformed one is logged and ignored.
  void applySnapshot(const std::string &text);

  /// Finds the servers for which \p isElsewhere holds: another one has answered
  /// at their addresses. See recordElsewhere().
  void
  findElsewhere(const std::function<bool(const ServerRecord &)> &isElsewhere);

  /// Removes servers that have not registered again in time after an outage.
  void tick(Clock::time_point now);

  /// The store's timeline; 0: it states none.
  StoreTimeline storeTimeline() const { return Client.timeline(); }
  /// Time since the store last answered with news or their absence; zero before
  /// its first answer.
  Clock::duration storeSilence(Clock::time_point now) const;

  const CallCounts &storeCalls() const { return Client.counts(); }

private:
  void applyConfiguration(const boost::json::value &value,
                          std::string_view source);
  void onConfiguration(const PrefixChange &change);
  void onServers(const PrefixChange &change);
  void onOrders(const PrefixChange &change);
  void retryOrders();
  std::vector<ServerRecord> readServers(const std::vector<Object> &objects);
  void report(const ServerChanges &changes);
  void logUnreadable(const std::vector<std::string> &entries);
  void logLeftOut(const std::string &path,
                  const std::vector<std::string> &names);
  void onStoreAnswered();
  void onStoreRestored(StoreTimeline before);
  void onStoreUnavailable(const Error &error);

  const SiteDialect &Dialect;
  SiteFollowerHooks Hooks;
  ObjectClient Client;
  PrefixWatch Configurations;
  PrefixWatch Servers;
  ServerTable Known;
  /// Registrations by path.
  std::map<std::string, boost::json::value> ServerValues;
  std::shared_ptr<const RouteTable> Table;
  boost::json::value Declared; ///< The JSON that Table was read from.
  bool HasServers = false;     ///< The store's whole list was read.
  std::optional<Clock::time_point> UnavailableSince;
  std::optional<Clock::time_point> AnsweredAt; ///< Of the store's last answer.
  std::set<std::string> LoggedUnreadable;      ///< To log each entry once.
  PrefixWatch Orders; ///< Runs only if the settings call for it.
  bool FollowsOrders = false;
  bool AreOrdersLost = false; ///< The last call about them has failed.
  bool IsStarted = false;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_DIRECT_SITE_FOLLOWER_H
