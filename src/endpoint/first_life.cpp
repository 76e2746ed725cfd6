#include "first_life.h"

#include <boost/json.hpp>
#include <utility>

namespace greengagespar {

FirstLife::FirstLife(event_base *base, const EndpointSettings &settings,
                     Incarnation life, std::function<void()> onFirst)
    : Platform(base, clientOptionsFor(settings.Platform)),
      Path("/system/lives/" + settings.Server.Value), Life(life),
      OnFirst(std::move(onFirst)) {}

void FirstLife::start() {
  boost::json::object value{{"life", Life.Value}};
  Platform.put(
      Path, value, ObjectVersion{0},
      [this](Result<PutOutcome> result) { onWritten(std::move(result)); });
}

void FirstLife::onWritten(Result<PutOutcome> result) {
  if (!result)
    return;
  if (result->State == WriteState::Written)
    OnFirst();
  else if (result->State == WriteState::Unknown)
    settle();
}

void FirstLife::settle() {
  Platform.get(Path, [this](Result<Object> result) {
    if (!result)
      return;
    const auto *object = result->Value.if_object();
    const auto *life = object ? object->if_contains("life") : nullptr;
    if (life && life->is_number() &&
        life->to_number<std::uint64_t>() == Life.Value)
      OnFirst();
  });
}

} // namespace greengagespar
