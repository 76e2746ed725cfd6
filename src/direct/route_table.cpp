#include "greengagespar/direct/route_table.h"

#include <algorithm>
#include <cctype>
#include <set>

namespace greengagespar {

namespace {

std::string lowerCase(std::string_view text) {
  std::string out(text);
  std::ranges::transform(out, out.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return out;
}

using Priorities = std::pair<int, int>;

Priorities prioritiesOf(const Route &route,
                        const std::optional<int> &ownerPriority) {
  return {ownerPriority.value_or(route.Priority), route.Priority};
}

std::map<ServiceId, std::vector<Priorities>>
prioritiesByService(const SiteConfiguration &site) {
  std::set<std::optional<int>> owners;
  for (const auto &[key, owner] : site.Keys)
    owners.insert(owner.Priority);
  std::map<ServiceId, std::set<Priorities>> found;
  for (const Route &route : site.Routes)
    for (const ServiceShare &share : route.Services) {
      std::set<Priorities> &all = found[share.Service];
      if (route.IsPublic || !site.NeedsKeys)
        all.insert(prioritiesOf(route, std::nullopt));
      for (const std::optional<int> &it : owners)
        all.insert(prioritiesOf(route, it));
    }
  std::map<ServiceId, std::vector<Priorities>> sorted;
  for (const auto &[service, all] : found)
    sorted[service] = {all.begin(), all.end()};
  return sorted;
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
  table->PrioritiesByService = prioritiesByService(table->Site);
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

std::optional<Urgency> urgencyOf(const RouteTable &table, const Route &route,
                                 const ApiKeyOwner &owner,
                                 const ServiceId &service) {
  auto it = table.PrioritiesByService.find(service);
  if (it == table.PrioritiesByService.end() || it->second.size() < 2)
    return std::nullopt;
  auto place =
      std::ranges::lower_bound(it->second, prioritiesOf(route, owner.Priority));
  return urgencyAt(static_cast<int>(place - it->second.begin()));
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
