/// \file
/// Runs admitted calls: chooses servers, sends, resumes, retries and settles
/// them, and completes their callers' answers. Not thread safe: used from the
/// loop's thread only.
#ifndef GREENGAGESPAR_ENTRY_CALL_ROUTER_H
#define GREENGAGESPAR_ENTRY_CALL_ROUTER_H

#include "active_call.h"
#include "endpoint_links.h"
#include "greengagespar/contract/contract.h"
#include "greengagespar/link/link.h"
#include "greengagespar/route/choose.h"
#include "greengagespar/route/retry_budget.h"
#include <array>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

namespace greengagespar {

/// Counters of the calls of this process.
struct CallCounters {
  std::uint64_t Started = 0;
  std::uint64_t Completed = 0;
  std::uint64_t Attempts = 0; ///< Times that calls were sent.
  std::uint64_t CallersGone = 0;
  std::uint64_t Strays = 0; ///< Messages for calls not open in this life.
  std::array<std::uint64_t, ErrorKindCount> Refused{};
};

/// Routes calls to endpoint processes.
class CallRouter {
public:
  /// Precondition: all arguments outlive the router.
  CallRouter(event_base *base, zmq::context_t &context,
             const LinkIdentity &self, DataCentreId dataCentre);

  /// Uses the servers of \p contract from now on. Calls in progress go on.
  void setContract(const Contract &contract);

  /// Takes over \p call and answers its caller in the end.
  void start(std::unique_ptr<ActiveCall> call);

  /// Moves links, deadlines and waiting calls on. Call it every few
  /// milliseconds.
  void tick();

  /// Makes a call's identity, unique in this life of the process.
  CallId nextId() { return {Self.Life, NextCall++}; }

  /// The links to endpoint processes.
  EndpointLinks &links() { return Links; }

  /// Counts a call that was refused before it was started.
  void noteRefused(ErrorKind kind) {
    ++Counters.Refused[static_cast<std::size_t>(kind)];
  }

  /// Calls in progress.
  std::size_t open() const { return Calls.size(); }
  const CallCounters &counters() const { return Counters; }

private:
  void apply(ActiveCall &call, const CallEvent &event);
  void perform(ActiveCall &call, const CallAction &action);
  void performDispatch(ActiveCall &call, const Dispatch &action);
  bool trySend(ActiveCall &call);
  bool sendRun(const ActiveCall &call, const ServerId &server,
               Incarnation life);
  std::optional<ServerId> chooseServer(const ActiveCall &call);
  std::optional<ServerId> chooseAnyServer(const ActiveCall &call);
  std::optional<ServerId> chooseKeyedServer(const ActiveCall &call);
  void countSent(ActiveCall &call);
  void countEnd(ActiveCall &call, std::optional<ErrorKind> failure);
  void deliver(ActiveCall &call, std::uint32_t skip);
  void complete(ActiveCall &call);
  void refuse(ActiveCall &call, const Error &error, Ran ran);
  void sendAbout(const ActiveCall &call, wire::Envelope &envelope);

  void onMessage(const ServerId &server, const wire::Envelope &envelope);
  void onLoad(const ServerId &server, const wire::Load &load);
  void onRestored(const ServerId &server);
  void onLost(const ServerId &server, Incarnation life);
  ActiveCall *find(const wire::CallRef &ref, const ServerId &server);
  EndpointView *findView(const ServerId &server);
  void checkDeadlines(Clock::time_point now);
  void checkCallers(Clock::time_point now);
  void removeDone();
  void keepUntaken(ActiveCall &call);

  const LinkIdentity &Self;
  DataCentreId DataCentre;
  EndpointLinks Links;
  std::map<PoolId, std::vector<EndpointView>> Pools;
  std::map<PoolId, RetryBudget> Budgets;
  std::unordered_map<ServerId, PoolId> PoolOf;
  std::set<ServerId> Drained; ///< Declared as leaving by their team.
  std::unordered_map<CallId, std::unique_ptr<ActiveCall>> Calls;
  /// Answers of calls that have ended, until their callers have taken them.
  std::vector<std::unique_ptr<CallerReply>> Untaken;
  CallCounters Counters;
  std::uint64_t NextCall = 1;
  Rng Random;
  Clock::time_point CallersChecked;
};

/// Answers \p reply with the one JSON shape of all refusals. \p entries as in
/// renderError.
void sendError(CallerReply &reply, const Error &error, Ran ran,
               const std::vector<Address> &entries = {});

} // namespace greengagespar

#endif // GREENGAGESPAR_ENTRY_CALL_ROUTER_H
