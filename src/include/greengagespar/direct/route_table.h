/// \file
/// Finds the route, the workspace and the service of a request. Immutable once
/// made; pure and thread safe.
#ifndef GREENGAGESPAR_DIRECT_ROUTE_TABLE_H
#define GREENGAGESPAR_DIRECT_ROUTE_TABLE_H

#include "greengagespar/direct/site.h"
#include <string_view>

namespace greengagespar {

/// A configuration, indexed.
struct RouteTable {
  SiteConfiguration Site;
  /// Positions in Site.Routes by host in lower case, longest prefix first.
  std::unordered_map<std::string, std::vector<std::size_t>> ByHost;
};

/// Indexes \p site.
std::shared_ptr<const RouteTable> makeRouteTable(SiteConfiguration site);

/// Returns the route of \p host whose prefix is the longest that \p target
/// begins with; null when there is none. The query of \p target is left out.
const Route *findRoute(const RouteTable &table, std::string_view host,
                       std::string_view target);

/// Whether the request of a caller with \p key may use \p route, and as whom.
struct Admittance {
  bool IsAllowed = false;
  KeyHolder Holder; ///< Empty on routes that need no key.
};
Admittance admitKey(const RouteTable &table, const Route &route,
                    const std::string &key);

/// Chooses one of the services of \p route by weight; \p draw is a random
/// number from 0 to 1. Null when the route has none.
const ServiceId *pickService(const Route &route, double draw);

} // namespace greengagespar

#endif // GREENGAGESPAR_DIRECT_ROUTE_TABLE_H
