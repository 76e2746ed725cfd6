/// \file
/// The endpoint process: the only process that sends calls to its server. It
/// runs each keyed call at most once, relays streams, and answers requests
/// about a call by the call's identity. Not thread safe: used from the loop's
/// thread only.
#ifndef GREENGAGESPAR_ENDPOINT_ENDPOINT_H
#define GREENGAGESPAR_ENDPOINT_ENDPOINT_H

#include "execution.h"
#include "first_incarnation_check.h"
#include "greengagespar/base/clock.h"
#include "greengagespar/base/errors.h"
#include "greengagespar/endpoint/endpoint_settings.h"
#include "greengagespar/link/link.h"
#include "key_claims.h"
#include "settings_fence.h"
#include "upstream.h"
#include <unordered_map>

struct event;
struct event_base;

namespace greengagespar {

/// The endpoint process that stands in front of one server.
class Endpoint {
public:
  /// Precondition: \p base and \p context outlive the endpoint.
  Endpoint(event_base *base, zmq::context_t &context,
           const EndpointSettings &settings);
  ~Endpoint();
  Endpoint(const Endpoint &) = delete;
  Endpoint &operator=(const Endpoint &) = delete;

  /// Starts to listen for entries and other endpoint processes. Fails with
  /// LinkDown when the address can't be bound.
  Result<void> start();

  /// Begins a graceful shutdown: no new work after the grace period; the loop
  /// ends once the calls in progress have ended.
  void leave();

private:
  static void onTick(int, short, void *self);
  void tick();
  void onMessage(const PeerId &peer, const wire::Envelope &envelope);
  void onProbe(const PeerId &peer, const wire::Probe &probe);
  SettingsFenceHooks fenceHooks();
  void onRun(const PeerId &peer, const wire::Envelope &envelope);
  bool passesFence(const PeerId &peer, const wire::Envelope &envelope);
  void onRevoke(const PeerId &peer, const wire::Revoke &revoke);
  void onResume(const PeerId &peer, const wire::Resume &resume);
  void onCancel(const wire::Cancel &cancel);
  void onSetPriority(const wire::SetPriority &change);

  bool refusesNewWork() const;
  KeyClaimHooks claimHooks();
  void runKeyed(const PeerId &peer, const wire::Run &run);
  void joinKeyed(const PeerId &peer, const wire::Run &run,
                 const ExecutionPtr &execution);
  ExecutionPtr findClaiming(const KeyClaim &claim);
  void onClaimWon(const KeyClaim &claim);
  void onClaimLost(const KeyClaim &claim, const KeyClaim &rival);
  void giveUpClaim(Execution &execution);
  void removeKey(Execution &execution);
  ExecutionPtr makeExecution(const PeerId &peer, const wire::Run &run);
  void begin(const ExecutionPtr &execution);
  void beginDraft(const ExecutionPtr &execution);
  void beginService(const ExecutionPtr &execution);
  void onStreamData(const ExecutionPtr &execution, std::string_view data);
  void onStreamLine(Execution &execution, std::string_view line);
  void onStreamDone(const ExecutionPtr &execution,
                    const UpstreamResult &result);
  std::uint64_t numberServerEnd(Clock::time_point now);
  void onServiceDone(const ExecutionPtr &execution,
                     const UpstreamResult &result);
  void finishWith(Execution &execution, wire::End end);
  void failWith(Execution &execution, ErrorKind kind, std::string message,
                bool didNotRun, const ServerId &holder = {});
  void flush(Execution &execution);
  void flushTo(const Execution &execution, Listener &listener);
  void refuse(const PeerId &peer, const wire::CallRef &call, ErrorKind kind,
              std::string message, bool didNotRun);
  void fillLoad(wire::Load &load) const;
  void abandon(const ExecutionPtr &execution);
  void stopWhenIdle();

  event_base *Base;
  EndpointSettings Settings;
  LinkIdentity Self;
  LinkServer Server;
  SettingsFence CallFence;
  std::shared_ptr<const Contract> InForce;
  KeyClaims Claims;
  FirstIncarnationCheck FirstCheck;
  Upstream Target;
  ExecutionTable Table;
  /// Calls that must never run here, and when they were revoked or cancelled.
  std::unordered_map<CallId, Clock::time_point> Revoked;
  int Slots = 0; ///< Calls that the server runs at a time; 0: not declared.
  std::uint64_t ServerEnds = 0;    ///< Times that the server has ended.
  Clock::time_point ServerEndedAt; ///< Valid if ServerEnds > 0.
  std::size_t KeptBytes = 0; ///< Used by keyed calls; counted on each tick.
  std::optional<Clock::time_point> LeavingSince;
  event *Ticker;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_ENDPOINT_ENDPOINT_H
