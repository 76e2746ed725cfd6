#include "greengagespar/direct/route_table.h"

#include <algorithm>
#include <cctype>

namespace greengagespar {

namespace {

std::string lowerCase(std::string_view text) {
  std::string out(text);
  std::ranges::transform(out, out.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return out;
}

} // namespace

std::shared_ptr<const RouteTable> makeRouteTable(SiteConfiguration site) {
  auto table = std::make_shared<RouteTable>();
  table->Site = std::move(site);
  const std::vector<Route> &routes = table->Site.Routes;
  for (std::size_t i = 0; i < routes.size(); ++i)
    table->ByHost[lowerCase(routes[i].Host)].push_back(i);
  for (auto &[host, order] : table->ByHost)
    std::ranges::stable_sort(order, [&](std::size_t a, std::size_t b) {
      return routes[a].PathPrefix.size() > routes[b].PathPrefix.size();
    });
  return table;
}

const Route *findRoute(const RouteTable &table, std::string_view host,
                       std::string_view target) {
  auto it = table.ByHost.find(lowerCase(host));
  if (it == table.ByHost.end())
    return nullptr;
  std::string_view path = target.substr(0, target.find('?'));
  for (std::size_t i : it->second)
    if (path.starts_with(table.Site.Routes[i].PathPrefix))
      return &table.Site.Routes[i];
  return nullptr;
}

ApiKeyCheck checkApiKey(const RouteTable &table, const Route &route,
                        const std::string &key) {
  auto it = table.Site.Keys.find(key);
  if (it != table.Site.Keys.end())
    return {true, it->second};
  return {route.IsPublic || !table.Site.NeedsKeys, {}};
}

const ServiceId *pickService(const Route &route, double draw) {
  double sum = 0;
  for (const ServiceShare &it : route.Services)
    sum += it.Weight;
  double at = draw * sum;
  for (const ServiceShare &it : route.Services) {
    at -= it.Weight;
    if (at < 0)
      return &it.Service;
  }
  return route.Services.empty() ? nullptr : &route.Services.back().Service;
}

} // namespace greengagespar
