/// \file
/// The servers of one service or group: what each is known to have in
/// progress, kept connections, and the calls that wait for one. Not thread
/// safe: belongs to the thread of its loop.
#ifndef GREENGAGESPAR_DIRECT_SERVER_POOL_H
#define GREENGAGESPAR_DIRECT_SERVER_POOL_H

#include "greengagespar/direct/site.h"
#include "greengagespar/http/client.h"
#include "greengagespar/route/admission.h"
#include "greengagespar/route/choose.h"
#include "greengagespar/route/pace_limit.h"
#include "greengagespar/route/retry_budget.h"
#include "greengagespar/route/stall.h"

namespace greengagespar {

/// Time to open a connection to a server. Longer than the second that a lost
/// opening packet costs would leave no time for another server.
inline constexpr std::chrono::milliseconds ServerConnectTimeout{600};

/// A call that wants a server.
struct PoolCall {
  CallId Id;
  WorkspaceId Workspace;
  Clock::time_point StartBy;     ///< A later start is of no use.
  std::vector<ServerId> Exclude; ///< Servers that it failed on.
  std::function<void(const ServerRecord &)> OnStart;
  std::function<void(const Refusal &)> OnRefused;
};

/// How a call on a server ended, as evidence about the server.
struct PoolOutcome {
  /// Empty: it answered. Overloaded counts as load, others as a fault.
  std::optional<ErrorKind> Failure;
  bool IsAbandoned = false;             ///< The caller went away: no evidence.
  std::chrono::microseconds Latency{0}; ///< Compares servers of one service.
};

/// The servers of one service and its waiting calls.
class ServerPool {
public:
  /// Precondition: \p loop outlives the pool.
  ServerPool(event_base *loop, ServiceId service, std::uint64_t seed);

  /// Takes what the operator declares about the service.
  void configure(const Backend &backend);
  /// Takes a server in, or what changed about it.
  void update(const ServerRecord &record);
  /// Forgets a server. Calls in progress there go on.
  void remove(const ServerId &id);

  /// Starts \p call now, or lets it wait, or refuses it. OnStart and OnRefused
  /// may be called before this returns; exactly one of them is called unless
  /// withdraw() comes first.
  void submit(PoolCall call);
  /// Forgets a call that waits. Does nothing when it does not.
  void withdraw(CallId id);
  /// Notes that a started call ended at \p server, and starts waiting ones.
  void finished(CallId id, const ServerId &server, const PoolOutcome &outcome);

  /// Notes the pause before an event of a stream; see notePause() of the limit.
  void notePause(Clock::duration pause, std::chrono::milliseconds longest);
  /// Notes that a server of a group sent an event.
  void noteEvent();
  /// Notes whether the group of a server takes work, as the rank tells.
  void noteOpen(const ServerId &id, bool isOpen);
  /// Takes the number of entries that share the servers, this one included.
  void setEntries(std::size_t entries);

  /// Returns a connection to \p server, a kept one if there is any.
  std::unique_ptr<HttpClientConnection> connect(const ServerRecord &server,
                                                bool mayReuse);
  /// Keeps \p connection for the next call if it can be used again.
  void keep(const ServerId &server,
            std::unique_ptr<HttpClientConnection> connection);

  /// Refuses calls that waited too long and closes old connections. Call it
  /// every few ten milliseconds.
  void tick(Clock::time_point now);

  RetryBudget &budget() { return Retries; }
  const std::vector<EndpointView> &views() const { return Views; }
  const PaceLimit &pace() const { return Pace; }
  std::size_t waiting() const { return Gate.Queue.Calls.size(); }
  /// Whether any server takes work.
  bool hasServers() const;
  /// Connections opened so far.
  std::uint64_t opened() const { return Opened; }

private:
  struct KeptConnections {
    ServerRecord Record;
    std::vector<std::unique_ptr<HttpClientConnection>> Idle;
  };

  EndpointView *viewOf(const ServerId &id);
  Capacity capacity() const;
  Refusal refusalOf(const Refusal &why) const;
  bool hasRoom(Clock::time_point now) const;
  void sharePace();
  int slotsOfServer(const ServerRecord &record) const;
  void startWaiting(Clock::time_point now);
  std::optional<std::size_t> choose(const QueuedCall &call,
                                    Clock::time_point now);

  event_base *Loop;
  ServiceId Service;
  Backend Declared;
  std::vector<EndpointView> Views;
  std::map<ServerId, KeptConnections> Servers;
  /// Servers whose groups are broken, and when that was told last.
  std::map<ServerId, Clock::time_point> Closed;
  Admission Gate;
  std::unordered_map<CallId, PoolCall> Waiting;
  std::unordered_map<CallId, StartedCall> Started;
  RetryBudget Retries;
  PaceLimit Pace;
  StallState Progress;
  std::size_t Entries = 1;
  std::uint64_t Opened = 0;
  bool IsStarting = false;
  Rng Random;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_DIRECT_SERVER_POOL_H
