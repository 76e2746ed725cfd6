#include "first_incarnation_check.h"

#include "greengagespar/base/log.h"
#include <boost/json.hpp>
#include <utility>

namespace greengagespar {

FirstIncarnationCheck::FirstIncarnationCheck(event_base *base,
                                             const EndpointSettings &settings,
                                             Incarnation self,
                                             std::function<void()> onFirst)
    : Platform(base, clientOptionsFor(settings.Platform)),
      Path("/system/lives/" + settings.Server.Value), SelfIncarnation(self),
      OnFirst(std::move(onFirst)) {}

void FirstIncarnationCheck::start() {
  boost::json::object value{{"life", SelfIncarnation.Value}};
  Platform.put(
      Path, value, ObjectVersion{0},
      [this](Result<PutOutcome> result) { onWritten(std::move(result)); });
}

void FirstIncarnationCheck::onWritten(Result<PutOutcome> result) {
  if (!result)
    return;
  if (result->State == WriteState::Written)
    reportFirst();
  else if (result->State == WriteState::Unknown)
    resolveUnknownWrite();
}

// The platform may have executed a write whose answer was lost. The object
// shows which incarnation created it.
void FirstIncarnationCheck::resolveUnknownWrite() {
  Platform.get(Path, [this](Result<Object> result) {
    if (!result)
      return;
    const auto *object = result->Value.if_object();
    const auto *stored = object ? object->if_contains("life") : nullptr;
    if (stored && stored->is_number() &&
        stored->to_number<std::uint64_t>() == SelfIncarnation.Value)
      reportFirst();
  });
}

// A restore may have lost the record of an earlier incarnation.
void FirstIncarnationCheck::reportFirst() {
  if (Platform.timeline() > FirstTimeline)
    logInfo(Part::Platform, "the store was restored before, so this process "
                            "counts as restarted");
  else
    OnFirst();
}

} // namespace greengagespar
