/// \file
/// What one entry knows of one server: its own calls in flight, the last load
/// report, and the evidence of slowness or failure. Plain state with free
/// functions that note events; every function takes the time and does no
/// input or output. Not thread safe: one loop owns each view.
#ifndef GREENGAGESPAR_ROUTE_ENDPOINT_VIEW_H
#define GREENGAGESPAR_ROUTE_ENDPOINT_VIEW_H

#include "greengagespar/base/clock.h"
#include "greengagespar/base/errors.h"
#include "greengagespar/contract/contract.h"
#include "greengagespar/route/concurrency.h"
#include "greengagespar/route/priority.h"
#include <chrono>
#include <optional>
#include <vector>

namespace greengagespar {

/// Load as a server's endpoint process reported it. It covers the calls of all
/// entries.
struct LoadReport {
  int Running = 0; ///< Calls that the engine or service works on.
  int Waiting = 0; ///< Calls in its own queue.
  int Slots = 0;   ///< Calls that it works on at a time.
  Clock::time_point
      AsOf; ///< When the load was so: time of receipt less its age.
};

/// Whether a server gets calls.
enum class Standing {
  Good,    ///< It takes part in the choice.
  Aside,   ///< It gets no calls until a time.
  Probing, ///< It gets one call at a time until these succeed.
};

/// One server as seen from one entry.
struct EndpointView {
  Server Target;         ///< The server and its endpoint's address.
  bool OwnCentre = true; ///< It runs in the entry's own data centre.
  std::chrono::microseconds OneWay{0}; ///< One-way network latency to it.
  int Slots = 16;                      ///< Slots that the contract declares.
  int InFlight = 0;                    ///< This entry's calls on it.
  int LongInFlight = 0;                ///< Those of them that are long.
  bool Preempts = false; ///< Its engine gives slots by priority at once.
  ConcurrencyLimit Limit{16, 16};   ///< How many it may have there.
  std::optional<LoadReport> Report; ///< The newest load report.
  double Others = 0;       ///< Decayed mean of the other entries' calls on it.
  double LatencyMs = 0;    ///< Decayed mean of answer latency; see Samples.
  int Samples = 0;         ///< Answers in LatencyMs, capped.
  double FailureShare = 0; ///< Decayed share of calls that failed, 0 to 1.
  int Outcomes = 0;        ///< Outcomes in FailureShare, capped.
  int ConsecutiveFailures = 0; ///< Failures since the last answer.
  bool Silent = false;         ///< Its link is down or misses heartbeats.
  Standing State = Standing::Good;
  Clock::time_point AsideUntil; ///< When Aside ends and probing begins.
  int TimesAside = 0;           ///< Times put aside without recovery between.
  int ProbesAnswered = 0;       ///< Answers since probing began.
  int ProbesInFlight = 0;       ///< Calls sent while probing.
};

/// Notes that a call was sent to \p view.
void noteSent(EndpointView &view);

/// Notes that a call was answered. \p latency is a figure that compares servers
/// of one group, as the time between tokens or the answer time of a service.
void noteAnswer(EndpointView &view, std::chrono::microseconds latency,
                Clock::time_point now);

/// Notes that a call failed with \p kind. Only kinds that say something about
/// the server count as evidence; Overloaded counts as load.
void noteFailure(EndpointView &view, ErrorKind kind, Clock::time_point now);

/// Notes that a call ended without evidence, as when its caller went away.
void noteAbandoned(EndpointView &view);

/// Notes a load report and adjusts the entry's limit to it. A report older than
/// the one held is dropped.
void noteReport(EndpointView &view, const LoadReport &report,
                Clock::time_point now);

/// Notes that the link to the server is silent, or speaks again. Calls in
/// flight are settled by their own noteFailure.
void noteSilent(EndpointView &view, bool silent);

/// Puts \p view aside from \p now, for longer each time in a row.
void putAside(EndpointView &view, Clock::time_point now);

/// Moves servers whose time aside has passed to probing, and puts aside those
/// whose latency is far above the median of the others. Call it before a
/// choice or on a timer. \p views are the servers of one group or service.
void reviewStanding(std::vector<EndpointView> &views, Clock::time_point now);

/// Notes that \p change streams of this entry on \p view became long, or that
/// long ones ended when it is negative.
void noteLong(EndpointView &view, int change);

/// Returns the slots of \p view as this entry counts them.
ServerSlots slotsOf(const EndpointView &view);

/// Whether \p kind is evidence that the server or its link is faulty.
bool isServerFault(ErrorKind kind);

} // namespace greengagespar

#endif // GREENGAGESPAR_ROUTE_ENDPOINT_VIEW_H
