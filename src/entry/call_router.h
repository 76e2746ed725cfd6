/// \file
/// Runs admitted calls: chooses servers, sends, resumes, retries and revokes
/// the calls, and completes the answers to their callers. Not thread safe: used
/// from the loop's thread only.
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
  std::uint64_t Attempts = 0; ///< Times that calls were sent to servers.
  /// Callers that closed their connection or stopped reading their answer.
  std::uint64_t CallersDisconnected = 0;
  /// Messages about calls that are not in progress at the process that sent
  /// them, for example from its earlier incarnation.
  std::uint64_t StrayMessages = 0;
  std::array<std::uint64_t, ErrorKindCount> Refused{}; ///< By ErrorKind.
};

/// Routes calls to endpoint processes.
class CallRouter {
public:
  /// Precondition: \p base, \p context, \p self and \p guard outlive the
  /// router.
  CallRouter(event_base *base, zmq::context_t &context,
             const LinkIdentity &self, PartGuard &guard,
             DataCentreId dataCentre);

  /// Replaces the servers by those of \p contract. Calls in progress continue.
  void setContract(const Contract &contract);

  /// Sends \p call to a server, now or once one is free, and answers its
  /// caller.
  void start(std::unique_ptr<ActiveCall> call);

  /// Maintains the links, sends waiting calls, and checks deadlines and
  /// callers. Call it every few milliseconds.
  void tick();

  /// Returns a new call identifier. It contains this process's incarnation, so
  /// that no other incarnation uses it.
  CallId nextId() { return {Self.ProcessIncarnation, NextCall++}; }

  /// The links to endpoint processes.
  EndpointLinks &links() { return Links; }

  /// Counts a call that was refused before start().
  void countRefused(ErrorKind kind) {
    ++Counters.Refused[static_cast<std::size_t>(kind)];
  }

  /// Returns the number of calls in progress.
  std::size_t openCalls() const { return Calls.size(); }
  const CallCounters &counters() const { return Counters; }

private:
  void apply(ActiveCall &call, const CallEvent &event);
  void perform(ActiveCall &call, const CallAction &action);
  void performDispatch(ActiveCall &call, const Dispatch &action);
  bool trySend(ActiveCall &call);
  bool sendRun(const ActiveCall &call, const ServerId &server,
               Incarnation endpointIncarnation);
  std::optional<ServerId> chooseServer(const ActiveCall &call);
  std::optional<ServerId> chooseAnyServer(const ActiveCall &call);
  std::optional<ServerId> chooseKeyedServer(const ActiveCall &call);
  bool passesGuard(ActiveCall &call);
  void noteServerEnd(ActiveCall &call, const wire::Refusal &refusal,
                     Refused &event);
  void noteTokens(ActiveCall &call);
  void leaveTrial(ActiveCall &call);
  void countSent(ActiveCall &call);
  void countEnd(ActiveCall &call, std::optional<ErrorKind> failure);
  void deliver(ActiveCall &call, std::uint32_t skip);
  void complete(ActiveCall &call);
  void refuse(ActiveCall &call, const Error &error, Ran ran);
  void sendForCall(const ActiveCall &call, wire::Envelope &envelope);

  void onMessage(const ServerId &server, const wire::Envelope &envelope);
  void onLoad(const ServerId &server, const wire::Load &load);
  void onRestored(const ServerId &server);
  void onLost(const ServerId &server, Incarnation endpointIncarnation);
  ActiveCall *find(const wire::CallRef &ref, const ServerId &server);
  EndpointView *findView(const ServerId &server);
  void checkDeadlines(Clock::time_point now);
  void checkCallers(Clock::time_point now);
  void removeFinishedCalls();
  void keepUnsentAnswer(ActiveCall &call);

  const LinkIdentity &Self;
  PartGuard &Guard;
  DataCentreId DataCentre;
  EndpointLinks Links;
  std::map<PoolId, std::vector<EndpointView>> Pools;
  std::map<PoolId, RetryBudget> Budgets;
  std::unordered_map<ServerId, PoolId> PoolOf;
  std::set<ServerId> DeclaredLeaving; ///< By the settings of their team.
  std::unordered_map<CallId, std::unique_ptr<ActiveCall>> Calls;
  /// Answers of calls that have ended, until their callers have received them.
  std::vector<std::unique_ptr<CallerReply>> UnsentAnswers;
  CallCounters Counters;
  std::uint64_t NextCall = 1;
  Rng Random;
  Clock::time_point CallersCheckedAt;
};

/// Sends \p error as the whole answer, in the JSON format of renderError and
/// with its HTTP status. \p entries is as in renderError.
void sendError(CallerReply &reply, const Error &error, Ran ran,
               const std::vector<Address> &entries = {});

} // namespace greengagespar

#endif // GREENGAGESPAR_ENTRY_CALL_ROUTER_H
