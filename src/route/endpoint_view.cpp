#include "greengagespar/route/endpoint_view.h"

#include <algorithm>

namespace greengagespar {

namespace {

using std::chrono::milliseconds;

// Weight of a new sample in the decayed means.
constexpr double LatencyWeight = 0.1;
constexpr double OutcomeWeight = 0.1;
constexpr double ReportWeight = 0.2;
constexpr int SampleCap = 1000;

constexpr int ConsecutiveFailuresToEject = 3;
constexpr double MaxFailureShare = 0.4;
constexpr int MinOutcomes = 10;

constexpr double SlowFactor = 4.0;
constexpr double OutlierFactor = 4.0;
constexpr int MinLatencySamples = 10;
constexpr std::size_t MinPeers = 2;

constexpr milliseconds MinEjectionTime{500};
constexpr milliseconds MaxEjectionTime{15000};
constexpr int ProbesNeeded = 2;

void endCall(EndpointView &view) {
  view.InFlight = std::max(0, view.InFlight - 1);
  if (view.State == HealthState::Probing)
    view.ProbesInFlight = std::max(0, view.ProbesInFlight - 1);
}

void recordOutcome(EndpointView &view, bool failed) {
  view.FailureShare +=
      OutcomeWeight * ((failed ? 1.0 : 0.0) - view.FailureShare);
  view.Outcomes = std::min(view.Outcomes + 1, SampleCap);
}

void recordLatency(EndpointView &view, double ms) {
  view.Samples = std::min(view.Samples + 1, SampleCap);
  double weight = std::max(LatencyWeight, 1.0 / view.Samples);
  // Cap outliers: one long-running call says little about the server.
  if (view.Samples > MinLatencySamples)
    ms = std::min(ms, OutlierFactor * view.LatencyMs);
  view.LatencyMs += weight * (ms - view.LatencyMs);
}

// Clears the statistics, so that only the outcomes of probes decide whether the
// server has recovered.
void clearStatistics(EndpointView &view) {
  view.ConsecutiveFailures = 0;
  view.FailureShare = 0;
  view.Outcomes = 0;
  view.Samples = 0;
  view.LatencyMs = 0;
}

void beginProbing(EndpointView &view) {
  clearStatistics(view);
  view.State = HealthState::Probing;
  view.ProbesAnswered = 0;
  view.ProbesInFlight = 0;
}

// Stores a report. Each report is already out of date when it arrives, so the
// calls of other entries are averaged over several reports.
void storeReport(EndpointView &view, const LoadReport &report, double weight) {
  int total = report.Running + report.Waiting;
  double others = std::max(0, total - view.InFlight);
  view.OtherEntriesCalls +=
      (view.Report ? weight : 1.0) * (others - view.OtherEntriesCalls);
  view.Report = report;
}

bool isFailing(const EndpointView &view) {
  if (view.ConsecutiveFailures >= ConsecutiveFailuresToEject)
    return true;
  return view.Outcomes >= MinOutcomes && view.FailureShare > MaxFailureShare;
}

double medianLatency(const std::vector<EndpointView> &views,
                     const EndpointView &except) {
  std::vector<double> known;
  for (const EndpointView &it : views)
    if (&it != &except && it.Samples >= MinLatencySamples)
      known.push_back(it.LatencyMs);
  if (known.size() < MinPeers)
    return 0;
  auto middle = known.begin() + static_cast<std::ptrdiff_t>(known.size() / 2);
  std::nth_element(known.begin(), middle, known.end());
  return *middle;
}

bool isLatencyOutlier(const EndpointView &view,
                      const std::vector<EndpointView> &views) {
  if (view.Samples < MinLatencySamples)
    return false;
  double median = medianLatency(views, view);
  return median > 0 && view.LatencyMs > SlowFactor * median;
}

} // namespace

bool isServerFault(ErrorKind kind) {
  switch (kind) {
  case ErrorKind::EndpointFailed:
  case ErrorKind::LinkDown:
  case ErrorKind::OutcomeUnknown:
  case ErrorKind::Internal:
    return true;
  default:
    return false;
  }
}

bool hasToken(const EndpointView &view) {
  return !view.Rate || view.Rate->Tokens >= 1;
}

void recordSentCall(EndpointView &view) {
  if (view.Rate)
    view.Rate->Tokens -= 1;
  ++view.InFlight;
  if (view.State == HealthState::Probing)
    ++view.ProbesInFlight;
}

void recordSendTime(EndpointView &view, Clock::time_point now) {
  if (view.RecentSends.size() >= MaxRecentSends)
    view.RecentSends.erase(view.RecentSends.begin());
  view.RecentSends.push_back(now);
}

void recordAnsweredCall(EndpointView &view, std::chrono::microseconds latency,
                        Clock::time_point) {
  endCall(view);
  recordOutcome(view, false);
  recordLatency(view, static_cast<double>(latency.count()) / 1000.0);
  view.ConsecutiveFailures = 0;
  if (view.State != HealthState::Probing)
    return;
  if (++view.ProbesAnswered < ProbesNeeded)
    return;
  view.State = HealthState::Healthy;
  view.ConsecutiveEjections = 0;
}

void recordFailedCall(EndpointView &view, ErrorKind kind,
                      Clock::time_point now) {
  endCall(view);
  if (kind == ErrorKind::Overloaded) {
    int slots = view.Report ? view.Report->Slots : view.Slots;
    lowerLimit(view.Limit, view.InFlight);
    LoadReport full = view.Report.value_or(LoadReport{});
    full.Running = full.Slots = slots;
    full.Waiting = 1;
    full.AsOf = now;
    storeReport(view, full, 1.0);
    return;
  }
  if (!isServerFault(kind))
    return;
  recordOutcome(view, true);
  ++view.ConsecutiveFailures;
  bool failedProbe = view.State == HealthState::Probing;
  if (failedProbe || (view.State == HealthState::Healthy && isFailing(view)))
    eject(view, now);
}

void recordAbandonedCall(EndpointView &view) { endCall(view); }

void recordLoadReport(EndpointView &view, const LoadReport &report,
                      Clock::time_point now) {
  if (view.Report && report.AsOf < view.Report->AsOf)
    return;
  storeReport(view, report, ReportWeight);
  adjustLimit(view.Limit,
              {report.Running, report.Waiting, report.Slots, view.InFlight,
               report.AsOf},
              now);
}

void recordKnownLoad(EndpointView &view, const LoadReport &report) {
  if (!view.Report || report.AsOf >= view.Report->AsOf)
    storeReport(view, report, ReportWeight);
}

void recordLongStreams(EndpointView &view, int change) {
  view.LongInFlight = std::max(0, view.LongInFlight + change);
}

ServerSlots slotsOf(const EndpointView &view) {
  return {allowedCalls(view.Limit), view.InFlight, view.LongInFlight,
          view.Preempts};
}

void setUnresponsive(EndpointView &view, bool unresponsive) {
  view.Unresponsive = unresponsive;
}

void eject(EndpointView &view, Clock::time_point now) {
  milliseconds wait = MinEjectionTime;
  for (int i = 0; i < view.ConsecutiveEjections && wait < MaxEjectionTime; ++i)
    wait *= 2;
  view.State = HealthState::Ejected;
  view.EjectedUntil = now + std::min(wait, MaxEjectionTime);
  ++view.ConsecutiveEjections;
  view.ProbesInFlight = 0;
}

void pauseCalls(EndpointView &view, std::chrono::milliseconds time,
                Clock::time_point now) {
  Clock::time_point until = now + std::min<milliseconds>(time, MaxPause);
  view.PausedUntil = std::max(view.PausedUntil.value_or(until), until);
}

void endPauses(std::vector<EndpointView> &views, Clock::time_point now) {
  for (EndpointView &it : views)
    if (it.PausedUntil && now >= *it.PausedUntil)
      it.PausedUntil.reset();
}

std::optional<Clock::duration>
timeToFirstPauseEnd(const std::vector<EndpointView> &views,
                    Clock::time_point now) {
  std::optional<Clock::duration> least;
  for (const EndpointView &it : views) {
    if (it.Target.Leaving)
      continue;
    if (!it.PausedUntil)
      return std::nullopt;
    Clock::duration left = *it.PausedUntil - now;
    least = std::min(least.value_or(left), left);
  }
  return least;
}

void updateHealthStates(std::vector<EndpointView> &views,
                        Clock::time_point now) {
  for (EndpointView &it : views) {
    if (it.State == HealthState::Ejected && now >= it.EjectedUntil)
      beginProbing(it);
    else if (it.State == HealthState::Healthy && isLatencyOutlier(it, views))
      eject(it, now);
  }
}

} // namespace greengagespar
