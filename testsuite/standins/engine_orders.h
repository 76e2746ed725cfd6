/// \file
/// The engine stand-in's orders: models, adapters, role and expert maps, with
/// fencing numbers, and the record of executed steps. Not thread safe.
#ifndef GREENGAGESPAR_STANDINS_ENGINE_ORDERS_H
#define GREENGAGESPAR_STANDINS_ENGINE_ORDERS_H

#include <boost/json.hpp>
#include <cstdint>
#include <deque>
#include <set>
#include <string>

namespace greengagespar::standin {

/// The expert maps of one rank.
struct MapState {
  std::uint64_t InForce = 0;   ///< Number of the map that steps use.
  std::uint64_t Prepared = 0;  ///< Number of the prepared map; 0: none.
  std::uint64_t Armed = 0;     ///< Number of the armed map; 0: none.
  std::uint64_t ArmedStep = 0; ///< The first step under the armed map.
  bool Released = false;       ///< The armed map comes into force at its step.
  std::uint64_t Step = 0;      ///< The next step to execute.
};

/// One executed step of the lock-step loop.
struct ExecutedStep {
  std::uint64_t Step = 0;
  std::uint64_t Map = 0;
};

/// What orders have made of the engine.
struct OrderState {
  bool ChecksFencing = true;
  std::uint64_t Fencing = 0; ///< The highest number obeyed.
  std::string Role = "mixed";
  std::set<std::string> Models;
  std::set<std::string> Adapters;
  bool InRankGroup = false; ///< Set by the first map order.
  MapState Map;
  std::deque<ExecutedStep> Steps;
};

/// The answer to an order.
struct OrderAnswer {
  int Status = 200;
  boost::json::object Body;
};

/// Applies one order.
OrderAnswer applyOrder(OrderState &state, const boost::json::object &order);

/// The engine's state as `GET /v1/orders` shows it.
boost::json::object orderStateJson(const OrderState &state);

/// Whether the next step may run: it may not when a map is armed for it and
/// neither released nor cancelled.
bool mayStep(const OrderState &state);

/// Executes one step of the lock-step loop. Precondition: mayStep.
void executeStep(OrderState &state);

} // namespace greengagespar::standin

#endif // GREENGAGESPAR_STANDINS_ENGINE_ORDERS_H
