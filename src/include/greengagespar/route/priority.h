/// \file
/// Short work before long work without knowing lengths: priorities that fall
/// with the tokens produced, slots that long work can't fill, and the choice of
/// long streams to park. A multi-level feedback queue over tokens (Corbató,
/// Merwin-Daggett and Daley, "An Experimental Time-Sharing System", 1962) with
/// aging, so that no stream starves. Pure functions; thread safe.
#ifndef GREENGAGESPAR_ROUTE_PRIORITY_H
#define GREENGAGESPAR_ROUTE_PRIORITY_H

#include "greengagespar/base/clock.h"
#include "greengagespar/base/ids.h"
#include "greengagespar/route/service_time.h"
#include <chrono>
#include <vector>

namespace greengagespar {

/// Classes of streams by the tokens they have produced, measured by what short
/// answers of the same group take.
enum class LengthClass { Short, Medium, Long, Straggler };

/// Number of length classes.
inline constexpr int LengthClassCount = 4;

/// What a group's short answers take.
struct LengthScale {
  SampleWindow Answers; ///< Tokens of the newest whole answers.
  int ShortTokens = 32; ///< Most short answers end within these.
};

/// Notes a whole answer of \p tokens. The scale follows the lower end of the
/// answers' lengths, so that many long ones don't make long look short.
void noteLength(LengthScale &scale, int tokens);

/// Returns the class of a stream that has produced \p tokens.
LengthClass lengthClass(int tokens, const LengthScale &scale);

/// Whether streams of \p length are kept out of the reserved slots.
inline bool isLong(LengthClass length) { return length >= LengthClass::Long; }

/// A stream's priority for its engine. Lower goes first.
struct Priority {
  int Value = 0;
  auto operator<=>(const Priority &) const = default;
};

/// Time without a token after which a stream gains one class.
inline constexpr std::chrono::milliseconds AgingStep{1000};

/// Returns the priority of a stream. It falls with the tokens produced; it
/// rises one class for each AgingStep without a token, without a limit, and to
/// that of short work when \p slack, the time left less the time still
/// expected, is nearly used up.
///
/// Bound: a stream of class c passes any stream that arrives more than
/// (c + 1) AgingSteps after its last token, so that the engine gives it a token
/// once the streams that arrived before then have theirs.
Priority priorityFor(LengthClass length, Clock::duration slack,
                     Clock::duration sinceToken);

/// Slots of one server as this entry counts them.
struct ServerSlots {
  int Limit = 0;       ///< Calls that this entry may have on the server.
  int Running = 0;     ///< Calls that it has there.
  int LongRunning = 0; ///< Those of them that are long.
  /// The engine gives a slot to a stream of better priority at once, so that
  /// short calls may be sent beyond the limit by as many as are reserved.
  bool Preempts = false;
};

/// Returns how many of \p limit slots long work can't fill.
int reservedSlots(int limit);

/// Whether a call of \p length may go to a server with \p slots.
bool admitToServer(const ServerSlots &slots, LengthClass length);

/// The progress of a stream that runs on a server.
struct StreamProgress {
  CallId Id;
  int Tokens = 0; ///< Tokens produced in all its runs.
  LengthClass Length = LengthClass::Short;
  Clock::duration Run{0};     ///< Time in slots, this run included.
  Clock::duration ThisRun{0}; ///< Time since its last start or resumption.
  Clock::duration Parked{0};  ///< Time parked so far.
  Clock::duration Slack{0};   ///< Time left less the time still expected.
};

/// The longest time that a stream stays parked once.
inline constexpr std::chrono::milliseconds ParkTime{400};

/// Shortest run between two times parked.
inline constexpr std::chrono::milliseconds MinRun{1000};

/// Greatest parked time as a share of the time run.
inline constexpr double MaxParkedShare = 0.4;

/// Returns the streams of one server to cancel now and resume at their offset
/// within ParkTime, so that short calls find a slot: the longest first, no more
/// than the reserved slots lack. \p held counts this entry's streams that have
/// a slot now, with their number as the limit. \p shortWaiting counts its short
/// calls in the queue and those sent to the server that got no slot. Not for
/// engines that preempt.
///
/// Bound: a stream is parked only when its parked time afterwards is at most
/// MaxParkedShare of its run time, so a long draft takes at most
/// 1 + MaxParkedShare times its time alone, besides the waits to resume.
std::vector<CallId> chooseToPark(std::vector<StreamProgress> streams,
                                 const ServerSlots &held, int shortWaiting);

} // namespace greengagespar

#endif // GREENGAGESPAR_ROUTE_PRIORITY_H
