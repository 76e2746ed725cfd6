/// \file
/// Orders to servers: models, adapters and roles. The state read back from an
/// engine is compared with what is wanted, so that orders are idempotent and an
/// engine's word that it carried one out is never needed. Pure functions.
#ifndef GREENGAGESPAR_GROUP_SERVER_ORDERS_H
#define GREENGAGESPAR_GROUP_SERVER_ORDERS_H

#include "greengagespar/base/errors.h"
#include "greengagespar/base/ids.h"
#include <compare>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace greengagespar {

/// One version of a model's weights.
struct ModelVersion {
  std::string Model;
  std::string Version;
  auto operator<=>(const ModelVersion &) const = default;
};

/// One version of an adapter to a model.
struct AdapterVersion {
  std::string Adapter;
  std::string Version;
  auto operator<=>(const AdapterVersion &) const = default;
};

/// What a server's engine does.
enum class ServerRole {
  Mixed,   ///< Prefill and decode.
  Prefill, ///< Prompts only.
  Decode,  ///< Tokens only.
};

/// Models, adapters and role, as wanted or as read back.
struct ServerConfiguration {
  ServerRole Role = ServerRole::Mixed;
  std::set<ModelVersion> Models;
  std::set<AdapterVersion> Adapters;
  bool operator==(const ServerConfiguration &) const = default;
};

/// What an order does. The values stand in the order in which orders are given:
/// what is new is loaded before the role changes and the old is unloaded.
enum class ServerOrderKind { LoadModel, LoadAdapter, SetRole, UnloadModel };

/// An order to one server's engine.
struct ServerOrder {
  ServerOrderKind Kind = ServerOrderKind::LoadModel;
  FencingNumber Number;
  ModelVersion Model;                  ///< Used by LoadModel and UnloadModel.
  AdapterVersion Adapter;              ///< Used by LoadAdapter.
  ServerRole Role = ServerRole::Mixed; ///< Used by SetRole.
  bool operator==(const ServerOrder &) const = default;
};

/// Returns the orders that are still missing; empty when \p actual, read back
/// from the engine, is as wanted. Adapters that are not wanted stay, since
/// they go with their model. Thread safe.
std::vector<ServerOrder> missingOrders(const ServerConfiguration &wanted,
                                       const ServerConfiguration &actual,
                                       FencingNumber number);

/// Enforces fencing at an endpoint process, for engines that ignore it. Not
/// thread safe.
struct FencingGate {
  /// Highest number known; empty in a process that has just started, until it
  /// has read the number of the lease from the platform.
  std::optional<FencingNumber> Highest;
};

/// Notes a number read from the platform's lease or from a peer.
void noteFencing(FencingGate &gate, FencingNumber number);

/// Admits an order, or refuses it: with NotReady when no number is known yet,
/// with StaleFencingNumber when a higher one is.
Result<void> admitOrder(FencingGate &gate, FencingNumber number);

} // namespace greengagespar

#endif // GREENGAGESPAR_GROUP_SERVER_ORDERS_H
