/// \file
/// The servers of one service or model group: the calls that this entry has in
/// progress on each, idle connections to them, and the calls that wait for a
/// server. The pool admits or refuses each call, chooses the server of an
/// admitted one, and learns from how it ended. Not thread safe: belongs to the
/// thread of its loop.
#ifndef GREENGAGESPAR_DIRECT_SERVER_POOL_H
#define GREENGAGESPAR_DIRECT_SERVER_POOL_H

#include "greengagespar/direct/out_of_service.h"
#include "greengagespar/direct/pool_room.h"
#include "greengagespar/direct/site.h"
#include "greengagespar/http/client.h"
#include "greengagespar/report/metrics.h"
#include "greengagespar/route/admission.h"
#include "greengagespar/route/choose.h"
#include "greengagespar/route/cold_start.h"
#include "greengagespar/route/pace_limit.h"
#include "greengagespar/route/rate_limit.h"
#include "greengagespar/route/retry_budget.h"
#include "greengagespar/route/server_notice.h"
#include "greengagespar/route/stall.h"

namespace greengagespar {

/// Time to open a connection to a server. A lost opening packet costs a second:
/// waiting longer than that would leave no time for another server.
inline constexpr std::chrono::milliseconds ServerConnectTimeout{600};

/// A call that needs a server.
struct PoolCall {
  CallId Id;
  WorkspaceId Workspace;
  Clock::time_point StartBy;  ///< The call is useless when started later.
  Clock::time_point AnswerBy; ///< The caller waits no longer.
  /// When the first event is wanted, or the whole answer.
  Clock::time_point FirstEventBy;
  Urgency CallUrgency;           ///< Among the calls of the service.
  std::vector<ServerId> Exclude; ///< Servers on which it has failed.
  std::function<void(const ServerRecord &)> OnStart; ///< Send it to this one.
  std::function<void(const Refusal &)> OnRefused;
  std::int64_t Tokens = 0; ///< That it takes of a server's memory.
};

/// How a call on a server ended, as evidence about the server.
struct PoolOutcome {
  /// Empty: the server answered. Overloaded counts as load, any other kind as
  /// a fault of the server.
  std::optional<ErrorKind> Failure;
  /// The entry gave the call up, as when its caller closed the connection or
  /// its deadline passed: this is no evidence about the server.
  bool IsAbandoned = false;
  /// Time to the answer, or to the first event of a stream. The pool compares
  /// the servers of one service by it. Used only after an answer.
  std::chrono::microseconds Latency{0};
};

/// Why a server was chosen for a call, and what was known of its load then.
struct ChosenServer {
  ChoiceReason Reason = ChoiceReason::Cheapest;
  /// Its newest load report; empty: none.
  std::optional<LoadReport> Report;
};

/// The servers of one service and its waiting calls.
class ServerPool {
public:
  /// Precondition: \p loop, \p notices and \p orders outlive the pool.
  ServerPool(event_base *loop, ServiceId service, const ServerNotices &notices,
             const OutOfService &orders, std::uint64_t seed);

  /// Applies what the operator declares about the service.
  void configure(const Backend &backend);
  /// Adds a server or applies its changed record.
  void update(const ServerRecord &record);
  /// Removes a server. Calls in progress on it continue.
  void remove(const ServerId &id);

  /// Starts \p call now, queues it, or refuses it. OnStart and OnRefused may be
  /// called before this returns; exactly one of them is called unless
  /// withdraw() is called first.
  void submit(PoolCall call);
  /// Removes a call that waits. Does nothing when it does not wait.
  void withdraw(CallId id);
  /// Whether a started call that takes \p tokens would start at once if it left
  /// its server, on one that is not in \p exclude.
  bool canStartElsewhere(const std::vector<ServerId> &exclude,
                         std::int64_t tokens);
  /// Records that a started call ended on \p server, and starts waiting calls.
  void finished(CallId id, const ServerId &server, const PoolOutcome &outcome);

  /// Records the pause before an event of a stream whose route allows none over
  /// \p longest, to limit the number of streams; see PaceLimit.
  void recordPause(Clock::duration pause, std::chrono::milliseconds longest);
  /// Records that a server of a group sent an event.
  void recordEvent();
  /// Records whether the group of server \p id accepts work, as the server's
  /// rank agent reports.
  void recordGroupOpen(const ServerId &id, bool isOpen);
  /// Records the load of server \p id, as its rank agent reports, where this
  /// entry's own calls say little of it; see hasThinKnowledge().
  void recordServerLoad(const ServerId &id, const LoadReport &load);
  /// Whether this entry's own calls say little of the servers' loads; see
  /// isWideSite().
  bool hasThinKnowledge() const;
  /// Sends nothing to \p server for \p time, as it asked in its answer to the
  /// request \p requestId. When no server is left that takes calls, refuses
  /// those that wait.
  void pauseServer(const ServerRecord &server, std::chrono::milliseconds time,
                   std::string_view requestId);
  /// Applies the notices about servers and the orders about data centres; call
  /// it after a change of them.
  void applyNotices();
  /// Sets this entry's parts of the servers' rate limits \p limits, which the
  /// entries \p sharers share, and of what cold servers bear, which the entries
  /// \p coldSharers share. Precondition: the entry \p self is one of both.
  void shareLimits(const RateLimits &limits, const Address &self,
                   const std::vector<LimitSharer> &sharers,
                   const ColdSharers &coldSharers);
  /// Sets the site's bound on requests to cold servers; see ColdStartRule.
  void setColdBound(double overage, double slack);
  /// Records that \p server is cold for \p remaining. Returns whether it was
  /// not known as cold; shareLimits() is to be called then.
  bool recordCold(const ServerRecord &server,
                  std::chrono::milliseconds remaining);
  /// Records what another entry has learned about cold servers, as far as they
  /// belong to this pool.
  void recordToldCold(const std::vector<ColdRow> &rows, Clock::time_point now);
  /// Adds the cold servers for other entries to \p rows.
  void addColdRows(std::vector<ColdRow> &rows, Clock::time_point now) const;
  /// Whether requests to some server are limited because it is or was cold.
  bool hasCold(Clock::time_point now) const;
  /// Whether a server has a rate limit.
  bool isRateLimited() const { return HasRates; }
  /// Returns the demand that this entry reports; see reportedDemand().
  double reportedDemand();
  /// Sets the number of entries that share the servers, this one included:
  /// those that are \p live, and all that are \p known, also if they are down.
  void setEntries(std::size_t live, std::size_t known);
  /// Allows or forbids that the entries share the room of a group.
  void allowSharedRoom(bool isAllowed);
  /// Sets this entry's part of the room of a group: its part of the demand of
  /// \p sharers. Precondition: the entry \p self is one of them.
  void shareRoom(const Address &self, const std::vector<LimitSharer> &sharers);
  /// Whether the entries share the room of a group.
  bool sharesRoom() const { return GroupState.IsInForce; }

  /// Returns a connection to \p server that has not carried the request
  /// \p requestId: an idle one if one can be used, otherwise a new one.
  std::unique_ptr<HttpClientConnection> connect(const ServerRecord &server,
                                                std::string_view requestId);
  /// Keeps \p connection for another call if it can be used again and \p
  /// server, to which it was made, has not been replaced; otherwise closes it.
  void keep(const ServerRecord &server,
            std::unique_ptr<HttpClientConnection> connection);

  /// Refuses calls that waited too long and closes old connections. Call it
  /// every few tens of milliseconds while calls wait.
  void tick(Clock::time_point now);

  RetryBudget &budget() { return Retries; }
  const std::vector<EndpointView> &views() const { return Views; }
  /// Returns the newest choice; in OnStart, that of the call's server.
  const ChosenServer &lastChoice() const { return LastChoice; }
  /// Number of calls that wait.
  std::size_t waiting() const { return AdmissionControl.Queue.Calls.size(); }
  /// Whether any server accepts work.
  bool hasServers() const;
  /// Whether any server runs in \p dataCentre.
  bool hasServersIn(const DataCentreId &dataCentre) const;
  /// Sets the gauges about this pool.
  void recordMetrics(Metrics &counters) const;

private:
  /// Idle connections to one server, that which was used last at the end.
  using IdleConnections = std::vector<std::unique_ptr<HttpClientConnection>>;

  struct KeptConnections {
    ServerRecord Record;
    ServerIncarnationId Incarnation; ///< Of Record.
    ColdState Cold;                  ///< Of Incarnation.
    IdleConnections Idle;
  };

  EndpointView *viewOf(const ServerId &id);
  Capacity capacity() const;
  Refusal refusalOf(const PoolCall &call, const Refusal &why);
  bool hasRoom(Clock::time_point now) const;
  ServerMemory memoryOfServer() const;
  void releaseMemory(CallId id, EndpointView *view);
  bool takesNoWork(const KeptConnections &server) const;
  bool areLastServersOut() const;
  void refuseIfOut();
  void updateStreamLimit();
  void updateRates(Clock::time_point now);
  ColdStartRule coldRule() const;
  void applyColdRecord(KeptConnections &kept, bool isNewServer,
                       bool hasReturned);
  void recordReturn(EndpointView &view, KeptConnections &kept);
  void withholdPart(EndpointView &view, const KeptConnections &kept);
  void noticeStandstill(Clock::time_point now);
  void reportCold(KeptConnections &kept, Clock::time_point now) const;
  void recordColdMetrics(Metrics &counters) const;
  void refuseWaiting(const Refusal &why);
  void refuse(PoolCall &call, const Refusal &why);
  std::string_view whyNoRoom(Clock::time_point now) const;
  int streamsAllowedNow(Clock::time_point now) const;
  int slotsOfServer(const ServerRecord &record) const;
  void startWaiting(Clock::time_point now);
  std::unique_ptr<HttpClientConnection> takeIdle(IdleConnections &idle,
                                                 std::string_view requestId);
  std::optional<std::size_t> choose(const QueuedCall &call,
                                    Clock::time_point now);
  EvenLoadOptions evenLoadOptions() const;

  event_base *Loop;
  ServiceId Service;
  const ServerNotices &Notices;
  const OutOfService &Orders;
  Backend Declared;
  std::vector<EndpointView> Views;
  std::map<ServerId, KeptConnections> Servers;
  /// The servers whose groups are broken, and when that was last reported.
  std::map<ServerId, Clock::time_point> BrokenGroupReportedAt;
  Admission AdmissionControl;
  std::unordered_map<CallId, PoolCall> Waiting;
  std::unordered_map<CallId, StartedCall> Started;
  /// Of calls in Started to servers that declare their memory.
  std::unordered_map<CallId, std::int64_t> TokensOfStarted;
  RetryBudget Retries;
  PaceLimit StreamLimit; ///< Limits streams only in the pool of a group.
  /// Limits streams in place of StreamLimit while the room is known.
  PoolRoom GroupState;
  bool MayShareRoom = false; ///< See allowSharedRoom().
  StallState Progress;
  DemandRate Demand;
  bool HasRates = false; ///< A view has a rate limit.
  double ColdOverage = 0;
  double ColdSlack = 0;
  /// When the pool last had the time, see noticeStandstill().
  Clock::time_point AwakeAt = Clock::now();
  std::uint64_t RefusedBesideCold = 0; ///< Calls refused while hasCold().
  std::size_t Entries = 1;
  std::size_t KnownEntries = 1; ///< Those that are down included.
  std::uint64_t ConnectionsOpened = 0;
  /// Of ConnectionsOpened, those for requests that each idle connection to the
  /// server had carried before.
  std::uint64_t ConnectionsForRepeats = 0;
  /// Requests that no server has the memory for.
  std::uint64_t BeyondMemory = 0;
  bool IsStarting = false; ///< startWaiting() runs; it is not reentrant.
  ChosenServer LastChoice;
  Rng Random;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_DIRECT_SERVER_POOL_H
