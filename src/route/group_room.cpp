#include "greengagespar/route/group_room.h"

#include "greengagespar/base/hash.h"
#include <algorithm>
#include <cmath>
#include <numbers>

namespace greengagespar {

namespace {

using Seconds = std::chrono::duration<double>;
using Milliseconds = std::chrono::duration<double, std::milli>;

// Window of the decayed means of pauses: several passes of the longest duration
// that is in time.
constexpr Seconds PassWindow{2.0};
// A pause counts as at most this many of the longest ones wanted: a stall of
// the group says nothing about the room.
constexpr double MaxCountedPauses = 4;
// A pause has at most the weight of this time, for the same reason.
constexpr Seconds MaxCountedTime{0.3};
// A pause counts as at most this many deviations from the mean, and a deviation
// as at least this share of the mean for that: a rare long pass, as for a
// switch of maps, would otherwise hide for seconds what streams do.
constexpr double MaxCountedDistance = 4;
constexpr double MinVariation = 0.15;
// Without a pause for this long, only declared figures and reports count.
constexpr std::chrono::milliseconds MaxPassAge{3000};
// The ratio of the standard deviation to the mean distance from the mean, of a
// normal distribution.
constexpr double StandardDeviations = 1.2533;
// The greatest standard deviation that passes are taken to have, relative to
// their mean. Pauses that vary more, as on a lossy link of this entry, are not
// the group's.
constexpr double MaxVariation = 0.4;
// Variation of the growing part that is assumed until pauses were observed.
constexpr double AssumedVariation = 0.1;

// The least share of servers with a fresh report with which the load of the
// others is inferred.
constexpr double MinKnownShare = 0.5;

// Bounds of the correction of the growing part of a declared pass: experts that
// are out of step and prompts of uneven length make it longer.
constexpr double MinPerStream = 0.5;
constexpr double MaxPerStream = 3;
// Streams on a server that are assumed at least: with fewer, pauses say nothing
// of the growing part.
constexpr double MinStreams = 1;

// What an answer that is late but complete is worth, compared with one in time.
constexpr double LateValue = 0.4;
// The part of the time allowed for an answer in which its passes should end:
// the rest is for waiting, for a second attempt and for longer answers.
constexpr double AnswerTimeShare = 0.6;
// Share of the time allowed by a caller who allows none explicitly.
constexpr Milliseconds DefaultAnswerTime{8000};

// Chance to be in time from which the room counts as one that is in time.
constexpr double MostInTime = 0.5;

// While no server is slow, pauses reduce the room to no less than this share of
// that by the declared figures: what makes passes long then is not the streams.
constexpr double MinDeclaredShare = 0.4;
// Pace from which a server is slow.
constexpr double SlowPace = 1.5;

// Step in which the number of streams on a server is searched.
constexpr double StreamStep = 0.25;

// By how much limits grow with the free share of the room, and shrink with what
// is above the room.
constexpr double FreeGain = 1.5;
constexpr double OverGain = 1.0;
// Age at which a report has lost half of its weight.
constexpr Seconds LoadHalfLife{1.0};
// The least that limits are reduced to, relative to the room, when reports show
// more streams than it has.
constexpr double MinFill = 0.5;

// An entry has its fractional stream for a part of each of these periods.
constexpr std::chrono::milliseconds FractionPeriod{4000};

double toMs(Clock::duration time) { return Milliseconds(time).count(); }

// The corrected passes of a group: a part that does not depend on the streams,
// and one that grows with them.
struct Passes {
  const PassModel &Model;
  double Pace;      // Factor of both parts.
  double PerStream; // Factor of the growing part.
  // Standard deviation of a pass, relative to its growing part.
  double Variation;

  double growingMs(double streams) const {
    return Pace * PerStream * (passMs(Model, streams) - passMs(Model, 0));
  }
  double meanMs(double streams) const {
    return Pace * passMs(Model, 0) + growingMs(streams);
  }
  double deviationMs(double streams) const {
    return std::min(Variation * growingMs(streams),
                    MaxVariation * meanMs(streams));
  }
};

Passes correctedPasses(const PassModel &model, const GroupLoad &load,
                       const ObservedPasses &seen, double pace,
                       Clock::time_point now) {
  double perServer = std::max(MinStreams, load.MeanStreams / load.Servers);
  double fixed = passMs(model, 0);
  double growing = passMs(model, perServer) - fixed;
  Passes passes{model, std::max(1.0, pace), 1, AssumedVariation};
  bool isFresh = seen.MeanMs > 0 && now - seen.At <= MaxPassAge;
  if (!isFresh || growing <= 0)
    return passes;
  // Pauses that are shorter than any at the reported pace are from before.
  double shown = seen.MeanMs < passes.Pace * fixed ? 1 : passes.Pace;
  passes.PerStream = std::clamp((seen.MeanMs / shown - fixed) / growing,
                                MinPerStream, MaxPerStream);
  // What is longer still is the pace of a server that no report has shown.
  passes.Pace =
      std::max(passes.Pace, seen.MeanMs / (fixed + passes.PerStream * growing));
  passes.Variation =
      StandardDeviations * seen.DeviationMs / passes.growingMs(perServer);
  return passes;
}

// Returns the probability that no pass of an answer is longer than `longestMs`
// when each server has `streams`, with passes of a normal distribution.
double chanceInTime(const Passes &passes, double longestMs, double streams) {
  double mean = passes.meanMs(streams);
  double deviation = std::max(passes.deviationMs(streams), 1e-6);
  double onePass =
      std::erfc((mean - longestMs) / (std::numbers::sqrt2 * deviation)) / 2;
  return std::pow(onePass, passesOfAnswer(passes.Model));
}

// Returns the share of late answers that end before their callers leave.
double chanceToEnd(const Passes &passes, const RoomTargets &targets,
                   double streams) {
  double allowed = targets.AnswerTime.count() > 0
                       ? static_cast<double>(targets.AnswerTime.count())
                       : DefaultAnswerTime.count();
  double answer = passesOfAnswer(passes.Model) * passes.meanMs(streams);
  // Lengths of answers vary; the share is that of an Erlang distribution of the
  // second order.
  double x = 2 * AnswerTimeShare * allowed / answer;
  return 1 - std::exp(-x) * (1 + x);
}

// Returns the room for passes as \p corrected.
GroupRoom bestRoom(const Passes &corrected, const GroupLoad &load,
                   const RoomTargets &targets) {
  double slots = load.Slots / load.Servers;
  double mean = load.MeanStreams / load.Servers;
  double correction = corrected.meanMs(mean) / passMs(corrected.Model, mean);
  auto longestMs = static_cast<double>(targets.LongestPause.count());
  GroupRoom room;
  double best = -1;
  for (double n = std::min(1.0, slots); n <= slots; n += StreamStep) {
    double answerMs = passesOfAnswer(corrected.Model) * corrected.meanMs(n);
    double starts = load.Servers * n * 1000 / answerMs;
    double inTime = longestMs > 0 ? chanceInTime(corrected, longestMs, n) : 1;
    double value =
        inTime + (1 - inTime) * LateValue * chanceToEnd(corrected, targets, n);
    if (starts * value <= best)
      continue;
    best = starts * value;
    room = {load.Servers * n, starts, corrected.meanMs(n), correction,
            inTime >= MostInTime};
  }
  return room;
}

} // namespace

double passesOfAnswer(const PassModel &model) {
  return std::max(1.0, model.AnswerTokens / std::max(1.0, model.StepsPerPass));
}

double passMs(const PassModel &model, double streams) {
  double steps = std::max(1.0, model.StepsPerPass) *
                 (model.StepMs + model.PerStreamMs * streams);
  double reading = model.ReadTokensPerMs > 0
                       ? model.PromptTokens / model.ReadTokensPerMs
                       : 0;
  return steps + reading * streams / passesOfAnswer(model);
}

void recordPass(ObservedPasses &passes, Clock::duration pause,
                std::chrono::milliseconds longest, Clock::time_point now) {
  if (longest <= std::chrono::milliseconds::zero())
    return;
  double ms = std::min(toMs(pause),
                       MaxCountedPauses * static_cast<double>(longest.count()));
  if (passes.MeanMs <= 0 || now - passes.At > MaxPassAge) {
    passes = {ms, 0, now};
    return;
  }
  Seconds covered = std::min<Seconds>(now - passes.At, MaxCountedTime);
  double weight = -std::expm1(-covered / PassWindow);
  double clip = MaxCountedDistance *
                std::max(passes.DeviationMs, MinVariation * passes.MeanMs);
  double distance = std::clamp(ms - passes.MeanMs, -clip, clip);
  passes.MeanMs += weight * distance;
  passes.DeviationMs += weight * (std::abs(distance) - passes.DeviationMs);
  passes.At = now;
}

GroupLoad groupLoadOf(const std::vector<EndpointView> &views,
                      Clock::time_point now) {
  GroupLoad load;
  int known = 0;
  for (const EndpointView &it : views) {
    if (!takesCalls(it))
      continue;
    ++load.Servers;
    load.Slots += it.Slots;
    if (!it.Report || now - it.Report->AsOf > MaxReportAge)
      continue;
    ++known;
    load.Streams += it.Report->Running + it.Report->Waiting;
    load.Age += std::max(Clock::duration::zero(), now - it.Report->AsOf);
  }
  if (known == 0)
    return load;
  load.Age /= known;
  load.KnownShare = static_cast<double>(known) / load.Servers;
  load.Streams /= load.KnownShare;
  load.MeanStreams = load.Streams;
  return load;
}

void smoothLoad(GroupLoad &load, const GroupLoad &before,
                Clock::duration elapsed) {
  bool isKnown = load.KnownShare > 0 && before.KnownShare > 0;
  if (!isKnown)
    return;
  load.MeanStreams = decayedStreams(before.MeanStreams, load.Streams, elapsed);
}

double decayedStreams(double mean, double streams, Clock::duration elapsed) {
  return mean - std::expm1(-Seconds(elapsed) / PassWindow) * (streams - mean);
}

std::optional<GroupRoom> roomOf(const PassModel &model, const GroupLoad &load,
                                const ObservedPasses &passes, double pace,
                                const RoomTargets &targets,
                                Clock::time_point now) {
  bool isKnown = load.Servers > 0 && load.Slots > 0 && model.StepMs > 0 &&
                 load.KnownShare >= MinKnownShare;
  if (!isKnown)
    return std::nullopt;
  Passes corrected = correctedPasses(model, load, passes, pace, now);
  GroupRoom room = bestRoom(corrected, load, targets);
  if (corrected.Pace >= SlowPace)
    return room;
  Passes declared{model, 1, 1, AssumedVariation};
  double least = MinDeclaredShare * bestRoom(declared, load, targets).Streams;
  if (room.Streams >= least)
    return room;
  double perServer = least / load.Servers;
  room.Streams = least;
  room.PassMs = corrected.meanMs(perServer);
  room.StartsPerSecond = least * 1000 / (passesOfAnswer(model) * room.PassMs);
  return room;
}

double streamLimit(const GroupRoom &room, const GroupLoad &load, double share) {
  double free = 1 - load.Streams / room.Streams;
  double known = std::exp2(-Seconds(load.Age) / LoadHalfLife);
  double gain = free < 0 ? OverGain : FreeGain;
  double fill = std::clamp(1 + gain * free * known, MinFill, MaxOvercommit);
  return share * room.Streams * fill;
}

int wholeStreams(double limit, std::uint64_t entryHash, Clock::time_point now) {
  auto period = static_cast<std::uint64_t>(
      std::chrono::milliseconds(FractionPeriod).count());
  auto at = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          now.time_since_epoch())
          .count());
  std::uint64_t phase = (at + entryHash % period) % period;
  double whole = std::floor(limit);
  bool hasFraction = static_cast<double>(phase) <
                     (limit - whole) * static_cast<double>(period);
  return static_cast<int>(whole) + (hasFraction ? 1 : 0);
}

} // namespace greengagespar
