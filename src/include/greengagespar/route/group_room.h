/// \file
/// How many streams a model group can carry, and this entry's part of them.
///
/// The servers of a group work in lock-step, so that each stream makes the
/// passes of all longer. The length of a pass follows from the engine's
/// declared figures and the number of streams on a server. The pauses that the
/// entry observes and the pace that servers report correct it. The room of a
/// group is the number of streams with which it does the most work that is of
/// use. An answer with a pause over the longest one wanted is of less use, and
/// one that does not end before its caller leaves of none.
///
/// The entries divide the room by the demand that each reports (as rate_limit.h
/// does with the limits of servers). While the group has free places, each may
/// have more than its part, since the demand of one entry varies more than that
/// of all. The sum of all limits is at most MaxOvercommit times the room, and
/// at most the room once the reports show that it is full.
///
/// The functions change only the state passed to them and do no input or
/// output. Not thread safe: one event loop owns each state.
#ifndef GREENGAGESPAR_ROUTE_GROUP_ROOM_H
#define GREENGAGESPAR_ROUTE_GROUP_ROOM_H

#include "greengagespar/base/clock.h"
#include "greengagespar/route/endpoint_view.h"
#include <optional>
#include <vector>

namespace greengagespar {

/// Speed of one server of a group, as declared, and what its usual requests
/// take.
struct PassModel {
  double StepMs = 0;          ///< Duration of a token step without streams.
  double PerStreamMs = 0;     ///< Added to StepMs by each stream.
  double StepsPerPass = 1;    ///< Token steps in a pass; at least one.
  double ReadTokensPerMs = 0; ///< Prompt tokens; 0: reading takes no time.
  double PromptTokens = 0;    ///< Of a usual request.
  double AnswerTokens = 0;    ///< Of a usual request.
};

/// Returns the length of a pass in milliseconds with \p streams on each server,
/// of which as many end and begin as usual.
double passMs(const PassModel &model, double streams);

/// Returns the number of passes of a usual answer, at least one.
double passesOfAnswer(const PassModel &model);

/// The pauses between the events of streams, which are the lengths of passes.
struct ObservedPasses {
  double MeanMs = 0;      ///< Decayed mean; 0: none was observed.
  double DeviationMs = 0; ///< Decayed mean of the distance from MeanMs.
  Clock::time_point At{}; ///< Of the newest pause.
};

/// Records a pause of a stream whose route wants none over \p longest. Pauses
/// count by the time that they cover and not by the number of streams, as all
/// streams of an entry observe the same passes. One long pause, as in a stall
/// or when this process stood still, counts little.
void recordPass(ObservedPasses &passes, Clock::duration pause,
                std::chrono::milliseconds longest, Clock::time_point now);

/// What the newest reports say about a group.
struct GroupLoad {
  int Servers = 0;       ///< Servers that take calls.
  double Slots = 0;      ///< Of these servers together.
  double Streams = 0;    ///< Of all entries, on these servers.
  double KnownShare = 0; ///< Share of the servers with a fresh report.
  Clock::duration Age{}; ///< Mean age of the fresh reports.
  /// Decayed mean of Streams, over the same time as that of ObservedPasses.
  double MeanStreams = 0;
};

/// Reports that are older than this say nothing about the present load. With
/// hundreds of entries, each asks a server only every few seconds.
inline constexpr std::chrono::milliseconds MaxReportAge{6000};

/// Sums the fresh reports about the servers of \p views that take calls, and
/// scales them to all of these servers.
GroupLoad groupLoadOf(const std::vector<EndpointView> &views,
                      Clock::time_point now);

/// Sets \p load.MeanStreams from that of \p before, the load \p elapsed
/// earlier.
void smoothLoad(GroupLoad &load, const GroupLoad &before,
                Clock::duration elapsed);

/// Returns \p mean, a decayed mean number of streams, \p elapsed later and with
/// \p streams in that time.
double decayedStreams(double mean, double streams, Clock::duration elapsed);

/// What the callers of a group want.
struct RoomTargets {
  /// Longest pause between two events that is in time; zero: none is declared.
  std::chrono::milliseconds LongestPause{0};
  /// Time that callers usually allow for a whole answer.
  std::chrono::milliseconds AnswerTime{0};
};

/// The room of a group.
struct GroupRoom {
  double Streams = 0;         ///< Of all entries together.
  double StartsPerSecond = 0; ///< Of all entries, while the room is full.
  double PassMs = 0;          ///< Expected pass when the room is full.
  double Correction = 1; ///< Observed length of a pass to the declared one.
  /// Most streams have no pause over the longest one when the room is full.
  bool IsInTime = true;
};

/// Returns the room of the group. \p pace is by how much the slowest server is
/// slower than declared; at least 1. Empty when too little is known: there are
/// no reports, none of the newest seconds, or the engine's figures are missing.
std::optional<GroupRoom> roomOf(const PassModel &model, const GroupLoad &load,
                                const ObservedPasses &passes, double pace,
                                const RoomTargets &targets,
                                Clock::time_point now);

/// The most that the limits of all entries add up to, relative to the room.
inline constexpr double MaxOvercommit = 1.5;

/// Returns how many streams an entry may have whose part of the demand is
/// \p share, from 0 to 1. A fraction stands for a stream that it may have for
/// that part of the time; see wholeStreams().
double streamLimit(const GroupRoom &room, const GroupLoad &load, double share);

/// Returns \p limit as a number of streams. The fraction is rounded up for that
/// part of the time, at different times for entries of different \p entryHash,
/// so that the limits of hundreds of entries add up to the room.
int wholeStreams(double limit, std::uint64_t entryHash, Clock::time_point now);

} // namespace greengagespar

#endif // GREENGAGESPAR_ROUTE_GROUP_ROOM_H
