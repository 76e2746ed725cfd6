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
  /// The distinct priorities of the requests that each service may get, most
  /// urgent first: that of the key's owner, or else of the route, and that of
  /// the route.
  std::map<ServiceId, std::vector<std::pair<int, int>>> PrioritiesByService;
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

/// Returns how urgent a request of \p owner on \p route is among those of
/// \p service: the priority of the owner decides, or that of the route where
/// the owner has none, and of equal ones that of the route. Empty when all
/// requests that the service may get are equally urgent.
std::optional<Urgency> urgencyOf(const RouteTable &table, const Route &route,
                                 const ApiKeyOwner &owner,
                                 const ServiceId &service);

/// Chooses one of the services of \p route by weight; \p draw is a random
/// number from 0 to 1. Returns null when the route has no services.
const ServiceId *pickService(const Route &route, double draw);

} // namespace greengagespar

#endif // GREENGAGESPAR_DIRECT_ROUTE_TABLE_H
