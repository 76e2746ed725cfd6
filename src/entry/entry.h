/// \file
/// The entry process's interface to callers: receives requests, checks them
/// against the accepted settings and passes calls to the router. Not thread
/// safe: used from the loop's thread only.
#ifndef GREENGAGESPAR_ENTRY_ENTRY_H
#define GREENGAGESPAR_ENTRY_ENTRY_H

#include "call_router.h"
#include "control_plane.h"
#include "greengagespar/contract/contract.h"
#include "greengagespar/direct/shared_state.h"
#include "greengagespar/entry/entry_settings.h"
#include "http_server.h"
#include <memory>
#include <optional>
#include <string>
#include <string_view>

struct event;
struct event_base;

namespace greengagespar {

/// An entry process: answers callers' HTTP requests and runs their calls.
class Entry {
public:
  /// Precondition: \p base and \p context outlive the entry.
  Entry(event_base *base, zmq::context_t &context,
        const EntrySettings &settings);
  ~Entry();
  Entry(const Entry &) = delete;
  Entry &operator=(const Entry &) = delete;

  /// Listens for callers and peers. Fails when an address can't be bound.
  Result<void> start();

  /// Begins a graceful shutdown. The entry refuses new calls after the grace
  /// period and ends the loop once the calls in progress have ended. Further
  /// calls of this function do nothing.
  void leave();

private:
  static void onTick(int, short, void *self);
  void tick();
  void onRequest(evhttp_request *request);
  void setContract(std::shared_ptr<const Contract> contract);
  ControlPlaneHooks controlHooks();
  void onEntries(CallerReply &reply, const std::string &caller) const;
  void refuse(CallerReply &reply, const Error &error,
              const std::string &caller);
  void onReady(CallerReply &reply) const;
  void onMetrics(CallerReply &reply) const;
  Result<void> admit(ActiveCall &call, evhttp_request *request,
                     std::string_view path);
  Result<void> admitWorkspace(ActiveCall &call, evhttp_request *request) const;
  Result<void> admitDraft(ActiveCall &call, evhttp_request *request,
                          DraftShape shape) const;
  Result<void> admitService(ActiveCall &call, evhttp_request *request) const;
  bool refusesNewWork() const;
  bool awaitsUnsentAnswers() const;

  event_base *Base;
  EntrySettings Settings;
  LinkIdentity Self;
  SharedState Shared;
  CallRouter Router;
  ControlPlane Control;
  HttpServer Http;
  std::shared_ptr<const Contract> InForce;
  std::optional<Clock::time_point> LeavingSince;
  event *Ticker;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_ENTRY_ENTRY_H
