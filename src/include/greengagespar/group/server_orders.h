/// \file
/// Orders that bring the models, adapters and role of a server's engine to a
/// wanted configuration. The state read back from the engine is compared with
/// the wanted one, so orders are idempotent, and the engine need not confirm
/// that it carried one out. Pure functions.
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

/// The kind of work that a server's engine does.
enum class ServerRole {
  Mixed,   ///< Processes prompts and generates tokens.
  Prefill, ///< Processes prompts only.
  Decode,  ///< Generates tokens only.
};

/// Models, adapters and role of a server, as wanted or as read back.
struct ServerConfiguration {
  ServerRole Role = ServerRole::Mixed;
  std::set<ModelVersion> Models;
  std::set<AdapterVersion> Adapters;
  bool operator==(const ServerConfiguration &) const = default;
};

/// What an order does. The values are in the sequence in which orders are sent:
/// new models and adapters are loaded before the role changes and old models
/// are unloaded.
enum class ServerOrderKind { LoadModel, LoadAdapter, SetRole, UnloadModel };

/// An order to the engine of one server.
struct ServerOrder {
  ServerOrderKind Kind = ServerOrderKind::LoadModel;
  FencingNumber Number;   ///< Of the lease of the process that sends it.
  ModelVersion Model;     ///< Used by LoadModel and UnloadModel.
  AdapterVersion Adapter; ///< Used by LoadAdapter.
  ServerRole Role = ServerRole::Mixed; ///< Used by SetRole.
  bool operator==(const ServerOrder &) const = default;
};

/// Returns the orders that still have to be sent, each with the fencing number
/// \p number; empty if \p actual, read back from the engine, is as wanted. Old
/// models are unloaded only after everything wanted has been read back.
/// Adapters that are not wanted are not unloaded, since they are unloaded with
/// their model. Thread safe.
std::vector<ServerOrder> missingOrders(const ServerConfiguration &wanted,
                                       const ServerConfiguration &actual,
                                       FencingNumber number);

/// Checks fencing numbers in an endpoint process, for engines that ignore them.
/// Not thread safe.
struct FencingGate {
  /// Highest known number; empty in a process that has just started, until it
  /// has read the number of the lease from the platform.
  std::optional<FencingNumber> Highest;
};

/// Records a number that was read from the lease on the platform or received
/// from a peer.
void recordFencing(FencingGate &gate, FencingNumber number);

/// Admits an order and records its number, or refuses it. Errors: NotReady if
/// no number is known yet, StaleFencingNumber if a higher one is known.
Result<void> admitOrder(FencingGate &gate, FencingNumber number);

} // namespace greengagespar

#endif // GREENGAGESPAR_GROUP_SERVER_ORDERS_H
