#include "active_call.h"

namespace greengagespar {

bool waitsForSettings(const ActiveCall &call, Generation inForce,
                      Clock::time_point now) {
  return call.NeededSettings && *call.NeededSettings > inForce &&
         now < call.SettingsDeadline;
}

void fillRun(const ActiveCall &call, Clock::time_point now, wire::Run &run) {
  run.mutable_call()->set_entry(call.Id.Entry.Value);
  run.mutable_call()->set_number(call.Id.Number);
  run.set_time_left_ms(
      static_cast<std::uint32_t>(timeLeft(call.State.Expires, now).count()));
  if (call.Service) {
    *run.mutable_service() = *call.Service;
    return;
  }
  wire::Draft *draft = run.mutable_draft();
  draft->set_prompt(call.Draft->Prompt);
  draft->set_max_tokens(call.Draft->MaxTokens);
  draft->set_offset(call.State.ReceivedTokens);
  draft->set_cache_key(call.Draft->CacheKey);
}

std::string publicId(const ActiveCall &call) {
  return "call-" + std::to_string(call.Id.Entry.Value) + "-" +
         std::to_string(call.Id.Number);
}

} // namespace greengagespar
