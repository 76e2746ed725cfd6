#include "greengagespar/group/server_orders.h"

#include <algorithm>

namespace greengagespar {

namespace {

ServerOrder orderOf(ServerOrderKind kind, FencingNumber number) {
  ServerOrder order;
  order.Kind = kind;
  order.Number = number;
  return order;
}

} // namespace

std::vector<ServerOrder> missingOrders(const ServerConfiguration &wanted,
                                       const ServerConfiguration &actual,
                                       FencingNumber number) {
  std::vector<ServerOrder> orders;
  for (const ModelVersion &it : wanted.Models)
    if (!actual.Models.contains(it)) {
      orders.push_back(orderOf(ServerOrderKind::LoadModel, number));
      orders.back().Model = it;
    }
  for (const AdapterVersion &it : wanted.Adapters)
    if (!actual.Adapters.contains(it)) {
      orders.push_back(orderOf(ServerOrderKind::LoadAdapter, number));
      orders.back().Adapter = it;
    }
  if (wanted.Role != actual.Role) {
    orders.push_back(orderOf(ServerOrderKind::SetRole, number));
    orders.back().Role = wanted.Role;
  }
  // Old models are unloaded only after all that is wanted was read back.
  if (!orders.empty())
    return orders;
  for (const ModelVersion &it : actual.Models)
    if (!wanted.Models.contains(it)) {
      orders.push_back(orderOf(ServerOrderKind::UnloadModel, number));
      orders.back().Model = it;
    }
  return orders;
}

void recordFencing(FencingGate &gate, FencingNumber number) {
  gate.Highest = std::max(gate.Highest.value_or(FencingNumber{}), number);
}

Result<void> admitOrder(FencingGate &gate, FencingNumber number) {
  if (!gate.Highest)
    return fail(ErrorKind::NotReady, "no fencing number has been read yet");
  if (number < *gate.Highest)
    return fail(ErrorKind::StaleFencingNumber,
                "a higher fencing number is known");
  gate.Highest = number;
  return {};
}

} // namespace greengagespar
