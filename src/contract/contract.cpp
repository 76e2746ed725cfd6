#include "greengagespar/contract/contract.h"

#include <algorithm>

namespace greengagespar {

int slotsOf(const Contract &contract, const ServerId &server) {
  auto has = [&](const std::vector<Server> &servers) {
    return std::ranges::any_of(
        servers, [&](const Server &it) { return it.Id == server; });
  };
  for (const auto &[id, group] : contract.Groups)
    if (has(group.Servers))
      return group.SlotsPerServer;
  for (const auto &[id, service] : contract.Services)
    if (has(service.Servers))
      return service.SlotsPerServer;
  return 0;
}

} // namespace greengagespar
