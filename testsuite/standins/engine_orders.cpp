#include "engine_orders.h"

#include "http_server.h"
#include <algorithm>

namespace greengagespar::standin {

namespace {

constexpr std::size_t MaxSteps = 200000;
constexpr int Ok = 200;
constexpr int BadRequest = 400;
constexpr int Conflict = 409;

std::uint64_t unsignedOrZero(const boost::json::object &order,
                             std::string_view key) {
  return static_cast<std::uint64_t>(std::max(0.0, numberOr(order, key, 0)));
}

void clearArmed(MapState &map) {
  map.Armed = 0;
  map.ArmedStep = 0;
  map.Released = false;
}

// Puts the armed map in force if it is released and its step is reached.
void switchAtArmedStep(MapState &map) {
  if (map.Armed == 0 || !map.Released || map.Step < map.ArmedStep)
    return;
  map.InForce = map.Armed;
  map.Prepared = 0;
  clearArmed(map);
}

// Applies an order about maps. Returns false when it doesn't fit the state.
bool applyMapOrder(OrderState &state, const std::string &kind,
                   std::uint64_t number, std::uint64_t step) {
  MapState &map = state.Map;
  state.InRankGroup = true;
  if (kind == "prepare_map") {
    map.Prepared = number;
    return true;
  }
  if (kind == "arm_map") {
    if (map.Prepared != number || step < map.Step)
      return false;
    map.Armed = number;
    map.ArmedStep = step;
    map.Released = false;
    return true;
  }
  if (kind == "release_map") {
    if (map.InForce == number)
      return true;
    if (map.Armed != number)
      return false;
    map.Released = true;
    switchAtArmedStep(map);
    return true;
  }
  if (map.InForce == number || (map.Armed == number && map.Released))
    return false;
  if (map.Armed == number)
    clearArmed(map);
  if (map.Prepared == number)
    map.Prepared = 0;
  return true;
}

bool applyKind(OrderState &state, const boost::json::object &order) {
  std::string kind = textOr(order, "kind");
  if (kind == "load_model")
    return state.Models.insert(textOr(order, "model")), true;
  if (kind == "unload_model")
    return state.Models.erase(textOr(order, "model")) > 0;
  if (kind == "load_adapter")
    return state.Adapters.insert(textOr(order, "adapter")), true;
  if (kind == "set_role") {
    state.Role = textOr(order, "role");
    return !state.Role.empty();
  }
  if (kind == "prepare_map" || kind == "arm_map" || kind == "release_map" ||
      kind == "cancel_map")
    return applyMapOrder(state, kind, unsignedOrZero(order, "number"),
                         unsignedOrZero(order, "step"));
  return false;
}

boost::json::array toArray(const std::set<std::string> &set) {
  return boost::json::array(set.begin(), set.end());
}

} // namespace

OrderAnswer applyOrder(OrderState &state, const boost::json::object &order) {
  std::uint64_t fencing = unsignedOrZero(order, "fencing");
  if (state.ChecksFencing && fencing < state.Fencing)
    return {Conflict, {{"fencing", state.Fencing}}};
  state.Fencing = std::max(state.Fencing, fencing);
  bool done = applyKind(state, order);
  return {done ? Ok : BadRequest, {{"state", orderStateJson(state)}}};
}

boost::json::object orderStateJson(const OrderState &state) {
  const MapState &map = state.Map;
  return {{"fencing", state.Fencing},
          {"role", state.Role},
          {"models", toArray(state.Models)},
          {"adapters", toArray(state.Adapters)},
          {"map", boost::json::object{{"number", map.InForce},
                                      {"prepared", map.Prepared},
                                      {"armed", map.Armed},
                                      {"armed_step", map.ArmedStep},
                                      {"released", map.Released},
                                      {"step", map.Step}}}};
}

bool mayStep(const OrderState &state) {
  const MapState &map = state.Map;
  return map.Armed == 0 || map.Released || map.Step < map.ArmedStep;
}

void executeStep(OrderState &state) {
  switchAtArmedStep(state.Map);
  state.Steps.push_back({state.Map.Step, state.Map.InForce});
  if (state.Steps.size() > MaxSteps)
    state.Steps.pop_front();
  ++state.Map.Step;
}

} // namespace greengagespar::standin
