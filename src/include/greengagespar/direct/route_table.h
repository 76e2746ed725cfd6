/// \file
/// Finds the route, the workspace and the service of a request. Immutable once
/// made; pure and thread safe.
#ifndef GREENGAGESPAR_DIRECT_ROUTE_TABLE_H
#define GREENGAGESPAR_DIRECT_ROUTE_TABLE_H

#include "greengagespar/direct/site.h"
#include <string_view>

namespace greengagespar {

/// A configuration with an index of its routes.
struct RouteTable {
  SiteConfiguration Site;
  /// Positions in Site.Routes by host in lower case, longest prefix first.
  std::unordered_map<std::string, std::vector<std::size_t>> ByHost;
};

/// Indexes \p site.
std::shared_ptr<const RouteTable> makeRouteTable(SiteConfiguration site);

/// Returns the route of \p host with the longest path prefix that \p target
/// begins with; null when there is none. The query of \p target is ignored.
const Route *findRoute(const RouteTable &table, std::string_view host,
                       std::string_view target);

/// Whether a caller's API key admits a request to a route, and for which
/// workspace.
struct ApiKeyCheck {
  bool IsAllowed = false;
  ApiKeyOwner Owner; ///< Empty when the key is unknown but none is needed.
};

/// Checks whether a request that carries \p key may use \p route. Empty \p key:
/// the request carries none.
ApiKeyCheck checkApiKey(const RouteTable &table, const Route &route,
                        const std::string &key);

/// Chooses one of the services of \p route by weight; \p draw is a random
/// number from 0 to 1. Returns null when the route has no services.
const ServiceId *pickService(const Route &route, double draw);

} // namespace greengagespar

#endif // GREENGAGESPAR_DIRECT_ROUTE_TABLE_H
