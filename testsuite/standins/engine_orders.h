/// \file
/// Orders to the engine stand-in about models, adapters, its role and expert
/// maps, with fencing numbers; and the record of executed steps. Not thread
/// safe.
#ifndef GREENGAGESPAR_STANDINS_ENGINE_ORDERS_H
#define GREENGAGESPAR_STANDINS_ENGINE_ORDERS_H

#include <boost/json.hpp>
#include <cstdint>
#include <deque>
#include <set>
#include <string>

namespace greengagespar::standin {

/// The expert maps of one rank. A map is prepared, then armed for a step. The
/// rank holds before that step until the map is released or cancelled.
struct MapState {
  std::uint64_t InForce = 0;  ///< Number of the map that steps use; 0: initial.
  std::uint64_t Prepared = 0; ///< Number of the prepared map; 0: none.
  std::uint64_t Armed = 0;    ///< Number of the armed map; 0: none.
  std::uint64_t ArmedStep = 0; ///< The first step under the armed map.
  bool Released = false;       ///< The armed map takes effect at its step.
  std::uint64_t Step = 0;      ///< The next step to execute.
};

/// One executed step of the lock-step loop.
struct ExecutedStep {
  std::uint64_t Step = 0;
  std::uint64_t Map = 0; ///< Number of the map that the step used.
};

/// The engine's state that orders change.
struct OrderState {
  bool ChecksFencing = true; ///< Refuses orders with an old fencing number.
  std::uint64_t Fencing = 0; ///< Highest fencing number of an accepted order.
  std::string Role = "mixed";
  std::set<std::string> Models;
  std::set<std::string> Adapters;
  bool InRankGroup = false; ///< Set by the first map order.
  MapState Map;
  std::deque<ExecutedStep> Steps; ///< The latest executed steps, oldest first.
};

/// The HTTP answer to an order.
struct OrderAnswer {
  int Status = 200;
  boost::json::object Body;
};

/// Applies one order. The answer is 409 when its fencing number is old, and 400
/// when it is unknown or doesn't fit the state.
OrderAnswer applyOrder(OrderState &state, const boost::json::object &order);

/// Returns the engine's state in the form of `GET /v1/orders`.
boost::json::object orderStateJson(const OrderState &state);

/// Returns whether the next step may run. It may not while a map is armed for
/// it and is neither released nor cancelled.
bool mayStep(const OrderState &state);

/// Executes one step of the lock-step loop and records it. Precondition:
/// mayStep returns true.
void executeStep(OrderState &state);

} // namespace greengagespar::standin

#endif // GREENGAGESPAR_STANDINS_ENGINE_ORDERS_H
