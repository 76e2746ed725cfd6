/// \file
/// Keeps an entry's configuration and servers as the store has them, by one
/// long poll for each, and hands both to peers that the store turns away. Not
/// thread safe: belongs to the thread of its loop.
#ifndef GREENGAGESPAR_DIRECT_SITE_FOLLOWER_H
#define GREENGAGESPAR_DIRECT_SITE_FOLLOWER_H

#include "greengagespar/direct/route_table.h"
#include "greengagespar/direct/server_table.h"
#include "greengagespar/store/prefix_watch.h"

namespace greengagespar {

/// What the owner hears.
struct SiteFollowerHooks {
  /// A newer configuration is in force.
  std::function<void(std::shared_ptr<const RouteTable>)> OnConfiguration;
  std::function<void(const ServerChanges &)> OnServers;
};

/// Follows the store. A configuration's version never goes down in one life.
class SiteFollower {
public:
  /// Precondition: \p loop and \p dialect outlive the follower.
  SiteFollower(event_base *loop, const Address &store,
               const SiteDialect &dialect, std::uint64_t seed,
               SiteFollowerHooks hooks);

  void start();

  /// The configuration in force; null before the first one.
  const std::shared_ptr<const RouteTable> &table() const { return Table; }
  /// Whether the servers were read at least once.
  bool knowsServers() const { return HasServers; }
  /// Since when the store has not answered; empty while it does.
  std::optional<Clock::time_point> storeAwaySince() const { return AwaySince; }

  /// What a peer needs whose configuration is older than \p since; empty when
  /// there is nothing newer.
  std::string snapshotSince(Generation since) const;
  /// Takes a peer's snapshot in. Its servers are used only while none have
  /// been read from the store.
  void takeSnapshot(const std::string &text);

  /// Forgets servers whose time to register again has passed.
  void tick(Clock::time_point now);

  const CallCounts &storeCalls() const { return Client.counts(); }

private:
  void takeConfiguration(const boost::json::value &value,
                         std::string_view source);
  void onConfiguration(const PrefixChange &change);
  void onServers(const PrefixChange &change);
  std::vector<ServerRecord> readServers(const std::vector<Object> &objects);
  void report(const ServerChanges &changes);
  void noteAnswered();
  void noteAway(const Error &error);

  const SiteDialect &Dialect;
  SiteFollowerHooks Hooks;
  ObjectClient Client;
  PrefixWatch Configurations;
  PrefixWatch Servers;
  ServerTable Known;
  std::map<std::string, boost::json::value> ServerValues; ///< By path.
  std::shared_ptr<const RouteTable> Table;
  boost::json::value Declared; ///< What Table was read from.
  bool HasServers = false;
  std::optional<Clock::time_point> AwaySince;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_DIRECT_SITE_FOLLOWER_H
