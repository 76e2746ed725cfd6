#include "greengagespar/direct/pool_room.h"

#include "greengagespar/base/log.h"
#include "greengagespar/base/log_output.h"
#include <algorithm>
#include <cmath>
#include <string>

namespace greengagespar {

namespace {

using std::chrono::milliseconds;

// Shortest time between two estimates of the room: the time of a pass, in which
// neither reports nor pauses change much.
constexpr milliseconds ReviewInterval{50};

// Interval of the log lines about a room, and the share of the streams allowed
// from which they are written.
constexpr milliseconds LogInterval{1000};
constexpr double LoggedFill = 0.7;

// Weight of a new call in the mean time that callers allow.
constexpr double AllowedTimeWeight = 0.02;

// Callers wait as long as they are told up to this part of the time that they
// have left.
constexpr double HonouredShare = 1.0 / 3;

// Weight of a new call in the mean time to the first event.
constexpr double FirstEventWeight = 0.05;

// The part of the time until its latest start that a call may wait in any case.
// A first event that comes late is of use, and with no wait at all no call
// could go before another.
constexpr double MinWaitShare = 0.25;

// A server that is reported as slow counts at once. After this time the pauses
// show how long passes are with it: it may have little work.
constexpr milliseconds PaceHintTime{1000};
constexpr double SlowPace = 1.5;

// Returns by how much the slowest server of \p views is slower than declared.
double slowestPace(const std::vector<EndpointView> &views,
                   Clock::time_point now) {
  double pace = 1;
  for (const EndpointView &it : views)
    if (takesCalls(it) && it.Report && now - it.Report->AsOf <= MaxReportAge)
      pace = std::max(pace, it.Report->Pace);
  return pace;
}

} // namespace

PassModel passModelOf(const EngineProfile &engine) {
  PassModel model;
  model.StepMs = engine.StepMs;
  model.PerStreamMs = engine.PerRequestMs;
  model.StepsPerPass = engine.StepsPerPass;
  model.ReadTokensPerMs = engine.ReadTokensPerMs;
  model.PromptTokens = engine.UsualPromptTokens;
  model.AnswerTokens = engine.UsualAnswerTokens;
  return model;
}

void recordAllowedTime(PoolRoom &room, Clock::duration time) {
  auto ms = std::chrono::duration_cast<milliseconds>(time);
  milliseconds &mean = room.Targets.AnswerTime;
  mean = mean.count() > 0 ? mean + std::chrono::duration_cast<milliseconds>(
                                       AllowedTimeWeight * (ms - mean))
                          : ms;
}

void recordFirstEvent(PoolRoom &room, std::chrono::microseconds took) {
  double ms = std::chrono::duration<double, std::milli>(took).count();
  if (room.FirstEventMs <= 0) {
    room.FirstEventMs = ms;
    return;
  }
  double distance = ms - room.FirstEventMs;
  room.FirstEventMs += FirstEventWeight * distance;
  room.FirstEventVariesMs +=
      FirstEventWeight * (std::abs(distance) - room.FirstEventVariesMs);
}

Clock::time_point latestStart(const PoolRoom &room,
                              Clock::time_point firstEventBy,
                              Clock::time_point startBy,
                              Clock::time_point now) {
  if (!room.IsInForce || room.FirstEventMs <= 0 || startBy <= now)
    return startBy;
  auto usual = std::chrono::duration_cast<Clock::duration>(
      std::chrono::duration<double, std::milli>(room.FirstEventMs +
                                                room.FirstEventVariesMs));
  auto least = std::chrono::duration_cast<Clock::duration>(
      MinWaitShare * std::chrono::duration<double>(startBy - now));
  return std::min(startBy, std::max(now + least, firstEventBy - usual));
}

void reviewRoom(PoolRoom &room, const std::vector<EndpointView> &views,
                int inFlight, Clock::time_point now) {
  if (!room.IsInForce) {
    room.Room.reset();
    return;
  }
  if (now - room.ReviewedAt < ReviewInterval)
    return;
  GroupLoad before = room.Load;
  room.Load = groupLoadOf(views, now);
  smoothLoad(room.Load, before, now - room.ReviewedAt);
  room.OwnStreams =
      decayedStreams(room.OwnStreams, inFlight, now - room.ReviewedAt);
  room.ReviewedAt = now;
  double pace = slowestPace(views, now);
  if (pace < SlowPace)
    room.SlowSince.reset();
  else if (!room.SlowSince)
    room.SlowSince = now;
  bool isShown = room.SlowSince && now - *room.SlowSince > PaceHintTime &&
                 now - room.Passes.At <= PaceHintTime;
  // While load rises, reports are behind the pauses that it causes; this
  // entry's own streams are not.
  GroupLoad load = room.Load;
  if (room.Share > 0)
    load.MeanStreams =
        std::clamp(room.OwnStreams / room.Share, load.MeanStreams,
                   std::max(load.MeanStreams, load.Slots));
  room.Room = roomOf(room.Model, load, room.Passes, isShown ? 1 : pace,
                     room.Targets, now);
}

void logRoom(PoolRoom &room, const ServiceId &service, int inFlight,
             Clock::time_point now) {
  if (!room.IsInForce || !room.Room || now - room.LoggedAt < LogInterval)
    return;
  double limit = streamLimit(*room.Room, room.Load, room.Share);
  if (inFlight < LoggedFill * limit)
    return;
  room.LoggedAt = now;
  auto whole = [](double value) { return static_cast<std::int64_t>(value); };
  logInfo(Part::Route,
          LogLine("room")
              .add("service", service.Value)
              .add("streams", whole(room.Room->Streams))
              .add("in_time", room.Room->IsInTime ? "yes" : "no")
              .add("reported", whole(room.Load.Streams))
              .addMs("age_ms", room.Load.Age)
              .add("part_x100", whole(100 * limit))
              .add("own", inFlight)
              .add("pass_ms", whole(room.Passes.MeanMs))
              .add("varies_ms", whole(room.Passes.DeviationMs))
              .add("correction_x100", whole(100 * room.Room->Correction))
              .text());
}

std::optional<int> streamsAllowed(const PoolRoom &room, Clock::time_point now) {
  if (!room.IsInForce || !room.Room)
    return std::nullopt;
  return wholeStreams(streamLimit(*room.Room, room.Load, room.Share),
                      room.EntryHash, now);
}

milliseconds retryTime(PoolRoom &room, Urgency urgency, milliseconds earliest,
                       Clock::duration left, Clock::time_point now) {
  RetryWindow window;
  window.Earliest = earliest;
  window.Latest = std::max(
      earliest, std::chrono::duration_cast<milliseconds>(HonouredShare * left));
  if (room.Room)
    window.PerSecond = std::max(1.0, room.Share * room.Room->StartsPerSecond);
  return nextRetry(room.Retries, urgency, window, now);
}

void recordMetrics(const PoolRoom &room, const ServiceId &service,
                   Metrics &counters) {
  auto set = [&](const char *name, double value) {
    setGauge(counters, {name, {{"service", service.Value}}}, value);
  };
  bool isKnown = room.IsInForce && room.Room;
  set("greengagespar_room_streams", isKnown ? room.Room->Streams : 0);
  set("greengagespar_room_part",
      isKnown ? streamLimit(*room.Room, room.Load, room.Share) : 0);
  set("greengagespar_room_pass_ms", isKnown ? room.Room->PassMs : 0);
  set("greengagespar_room_correction", isKnown ? room.Room->Correction : 0);
  set("greengagespar_group_streams", isKnown ? room.Load.Streams : 0);
  set("greengagespar_group_known_share", room.Load.KnownShare);
  for (std::size_t level = 0; level < room.Outcomes.size(); ++level) {
    const UrgencyOutcomes &it = room.Outcomes[level];
    if (it.Started + it.Refused == 0)
      continue;
    auto count = [&](const char *outcome, std::uint64_t value) {
      setGauge(counters,
               {"greengagespar_calls_by_urgency",
                {{"service", service.Value},
                 {"urgency", std::to_string(level)},
                 {"outcome", outcome}}},
               static_cast<double>(value));
    };
    count("started", it.Started);
    count("refused", it.Refused);
  }
}

} // namespace greengagespar
