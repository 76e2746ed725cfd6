/// \file
/// Scheduling that favours short streams although their lengths are unknown
/// beforehand. The priority of a stream falls with the tokens that it has
/// produced, some slots are reserved for short calls, and long streams can be
/// parked (cancelled and resumed later). This is a multi-level feedback queue
/// over tokens (Corbató, Merwin-Daggett and Daley, "An Experimental
/// Time-Sharing System", 1962) with aging, so that no stream starves. Pure
/// functions; thread safe.
#ifndef GREENGAGESPAR_ROUTE_PRIORITY_H
#define GREENGAGESPAR_ROUTE_PRIORITY_H

#include "greengagespar/base/clock.h"
#include "greengagespar/base/ids.h"
#include "greengagespar/route/service_time.h"
#include <chrono>
#include <vector>

namespace greengagespar {

/// Classes of streams by the tokens that they have produced, relative to the
/// length of short answers of the same group.
enum class LengthClass { Short, Medium, Long, VeryLong };

/// Number of length classes.
inline constexpr int LengthClassCount = 4;

/// The length of a group's short answers.
struct LengthScale {
  SampleWindow Answers; ///< Tokens of the newest complete answers.
  int ShortTokens = 32; ///< Most short answers end within these tokens.
};

/// Records a complete answer of \p tokens. The scale follows the lower end of
/// the answers' lengths, so that many long answers don't make long streams
/// count as short.
void recordLength(LengthScale &scale, int tokens);

/// Returns the class of a stream that has produced \p tokens.
LengthClass classifyLength(int tokens, const LengthScale &scale);

/// Whether streams of class \p length may not use the reserved slots.
inline bool isLong(LengthClass length) { return length >= LengthClass::Long; }

/// A stream's priority for its engine. A lower value is served first.
struct Priority {
  int Value = 0;
  auto operator<=>(const Priority &) const = default;
};

/// Time without a token after which the priority of a stream improves by one
/// class.
inline constexpr std::chrono::milliseconds AgingStep{1000};

/// Returns the priority of a stream of class \p length. It gets worse with the
/// tokens produced. It improves by one class for each AgingStep without a token
/// (\p sinceToken), even beyond that of class Short. It is that of class Short
/// or better when \p slack, the time left until the deadline minus the time
/// that the stream is still expected to take, is nearly used up.
///
/// Bound: once more than (c + 1) AgingSteps have passed since its last token, a
/// stream of class c has a better priority than any stream that arrives later.
/// Therefore the engine produces its next token once the streams that arrived
/// before that time have received their next tokens.
Priority priorityFor(LengthClass length, Clock::duration slack,
                     Clock::duration sinceToken);

/// One entry's limit and calls on one server.
struct ServerSlots {
  int Limit = 0;       ///< Calls that this entry may have on the server.
  int Running = 0;     ///< Calls that this entry has on the server.
  int LongRunning = 0; ///< Those of them that are long (see isLong()).
  /// The engine preempts: a stream of better priority gets a slot at once.
  /// Short calls may then exceed the limit by the number of reserved slots.
  bool Preempts = false;
};

/// Returns how many of \p limit slots are reserved for short calls.
int reservedSlots(int limit);

/// Whether a call of class \p length may be sent to a server with \p slots.
bool admitToServer(const ServerSlots &slots, LengthClass length);

/// The progress of a stream that runs on a server.
struct StreamProgress {
  CallId Id;
  int Tokens = 0; ///< Tokens produced in all runs of the stream.
  LengthClass Length = LengthClass::Short;
  Clock::duration Run{0};     ///< Total time in slots, this run included.
  Clock::duration ThisRun{0}; ///< Time since its last start or resumption.
  Clock::duration Parked{0};  ///< Total time parked so far.
  /// Time left until the deadline minus the time that the stream is still
  /// expected to take.
  Clock::duration Slack{0};
};

/// The longest time for which a stream is parked at once.
inline constexpr std::chrono::milliseconds MaxParkTime{400};

/// The shortest time that a stream runs before it may be parked.
inline constexpr std::chrono::milliseconds MinRunTime{1000};

/// Greatest total parked time as a share of the total run time.
inline constexpr double MaxParkedShare = 0.4;

/// Returns the streams of one server to park, so that short calls get a slot.
/// The caller cancels these streams now and resumes them at their offset within
/// MaxParkTime. The longest streams are parked first, and no more than needed
/// to free the reserved slots. \p held counts only this entry's streams that
/// have a slot now; their number is also its Limit. \p shortWaiting counts the
/// entry's short calls in the queue and those that were sent to the server and
/// have no slot. Not for engines that preempt.
///
/// Bound: a stream is parked only when its parked time afterwards is at most
/// MaxParkedShare of its run time. Therefore a long draft takes at most
/// 1 + MaxParkedShare times as long as without parking, plus the waits to
/// resume.
std::vector<CallId> chooseToPark(std::vector<StreamProgress> streams,
                                 const ServerSlots &held, int shortWaiting);

} // namespace greengagespar

#endif // GREENGAGESPAR_ROUTE_PRIORITY_H
