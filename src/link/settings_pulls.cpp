#include "greengagespar/link/settings_pulls.h"

#include "greengagespar/store/captured.h"
#include <utility>
#include <vector>

namespace greengagespar {

namespace {

// Time between two checks for pulls that are unsent or have expired.
constexpr std::chrono::milliseconds TickInterval{50};

} // namespace

SettingsPulls::SettingsPulls(event_base *loop, Send send)
    : SendTo(std::move(send)), Tick(loop, [this] { tick(); }) {}

void SettingsPulls::pull(const Address &peer, Generation since, Done done) {
  Pull &pull = Pending[peer];
  Done superseded = std::exchange(pull.Finish, std::move(done));
  pull.Since = since;
  pull.Expires = Clock::now() + PullTimeout;
  pull.IsSent = false;
  trySend(peer, pull);
  Tick.start(TickInterval);
  if (superseded)
    superseded(capturedFailure<std::string>(
        ErrorKind::LinkDown, "the settings were requested again"));
}

void SettingsPulls::trySend(const Address &peer, Pull &pull) {
  wire::Envelope envelope;
  envelope.mutable_pull_settings()->set_newer_than(pull.Since.Value);
  pull.IsSent = SendTo(peer, envelope);
}

void SettingsPulls::handleAnswer(const Address &peer,
                                 const wire::Settings &settings) {
  auto node = Pending.extract(peer);
  if (!node.empty())
    node.mapped().Finish(settings.snapshot());
}

void SettingsPulls::tick() {
  auto now = Clock::now();
  std::vector<Done> expired;
  for (auto it = Pending.begin(); it != Pending.end();) {
    if (it->second.Expires <= now) {
      expired.push_back(std::move(it->second.Finish));
      it = Pending.erase(it);
      continue;
    }
    if (!it->second.IsSent)
      trySend(it->first, it->second);
    ++it;
  }
  if (!Pending.empty())
    Tick.start(TickInterval);
  for (const Done &done : expired)
    done(capturedFailure<std::string>(ErrorKind::LinkDown,
                                      "the peer sent no settings in time"));
}

} // namespace greengagespar
