/// \file
/// Applies the evidence about parts of prompts that crash servers to the
/// requests of one entry, and logs what it decides. Not thread safe: belongs to
/// the thread of its loop.
#ifndef GREENGAGESPAR_DIRECT_PART_GUARD_H
#define GREENGAGESPAR_DIRECT_PART_GUARD_H

#include "greengagespar/direct/site.h"
#include "greengagespar/route/admission.h"
#include "greengagespar/route/crash_evidence.h"
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace greengagespar {

/// When a server ends, its connections close at once. The other ranks of its
/// group close theirs only after a stall of more than a second, so a server
/// that has been silent for longer than this was probably not the one that
/// ended.
inline constexpr std::chrono::milliseconds CrashSilenceLimit{1000};

/// A server that has sent fewer events than this was still at the beginning of
/// its answer.
inline constexpr int EventsBeyondBeginning = 2;

/// Time after which the caller of a request with a suspect part may try again:
/// a trial has usually ended by then.
inline constexpr std::chrono::milliseconds SuspectRetryAfter{1000};

/// What a request is recognised by when it comes again: the parts of its prompt
/// that other requests share, and the whole request.
struct PromptParts {
  std::string Names; ///< Of Ids, for the log; each ends with a zero byte.
  std::vector<PromptPartId> Ids;
  bool HasWholeRequest = false; ///< The last part is the whole request.
  /// Whether one crash makes the whole request a suspect. Streams and requests
  /// with shared parts need more: those of one caller may have the same path
  /// and body, and differ in their prompts only. The whole request would then
  /// be blocked before the part that is the reason.
  bool IsSuspectAtOnce = false;
};

/// A connection that broke before the whole answer to a request had arrived.
/// Its server has ended, or lives and the answer got lost.
struct UnexplainedBreak {
  ServerRecord Server;
  PromptParts Parts;
  std::string RequestId;
  bool IsTrial = false; ///< See BrokenAttempt.
  Clock::time_point At;
};

/// Time after a break in which news of the server's end explain it.
inline constexpr std::chrono::milliseconds BreakRetention{5000};
/// Most unexplained breaks that are kept; the oldest make room. Of a request's
/// parts, a break keeps as many as the evidence can hold.
inline constexpr std::size_t MaxUnexplainedBreaks = 256;

/// What the requests of one entry share.
struct PartGuard {
  CrashEvidence Evidence;
  std::deque<UnexplainedBreak> Breaks; ///< The oldest first.
  /// Whether this entry is the one that may try requests with a part.
  std::function<bool(PromptPartId)> MayTry;
  /// The evidence has changed in a way that other entries should know.
  std::function<void()> OnNews;
  /// Finds out whether a server, to which a connection has broken, has ended,
  /// and then calls reportServerEnd().
  std::function<void(const ServerRecord &)> CheckServer;
};

/// Returns the parts of a request with \p names for \p service.
PromptParts promptPartsOf(const ServiceId &service,
                          const std::vector<std::string> &names);

/// What a request is recognised by when it comes again under another id.
struct RequestFingerprint {
  std::string_view Method;
  std::string_view Target; ///< Path and query.
  WorkspaceId Caller;
  std::string_view Body;
};

/// Returns the one part of a request for a whole answer of \p service without
/// shared parts.
PromptParts wholeRequestOf(const ServiceId &service,
                           const RequestFingerprint &request);

/// Returns the parts of a request for \p service whose prompt has the shared
/// parts \p names.
PromptParts requestPartsOf(const ServiceId &service,
                           const std::vector<std::string> &names,
                           const RequestFingerprint &request);

/// Returns the first names of \p parts for a log line, separated by commas;
/// bounded in number and length.
std::string describeParts(const PromptParts &parts);

/// Why a request is not sent.
struct PartRefusal {
  Refusal Answer;
  std::string_view Reason; ///< For the log.
  bool IsBlocked = false;  ///< The part is blocked, not only a suspect.
};

/// Decides whether the request \p id with \p parts may be sent at \p now; empty
/// when it may. Logs a refusal with the evidence.
std::optional<PartRefusal> checkParts(const PartGuard &guard,
                                      const PromptParts &parts,
                                      std::string_view id,
                                      Clock::time_point now);

/// How an attempt on a server ended, as evidence about the parts of its prompt.
struct BrokenAttempt {
  std::string_view RequestId;
  ServerRecord Server;
  /// The server closed or reset the connection before its answer was complete.
  bool IsDisconnected = false;
  /// The server had sent the head of its answer. Without it, the connection may
  /// have been dropped before the request arrived, or an answer got lost: only
  /// other news of the server tell whether it has ended.
  bool HasBegun = false;
  bool IsTrial = false;       ///< Its suspect parts were on trial there.
  int Events = 0;             ///< Events that the server had sent.
  Clock::duration Silence{0}; ///< Since its last bytes.
};

/// Whether the request of a failed attempt must go to no other server, as a
/// part of its prompt may be why the server ended.
bool mayCrashServers(const PartGuard &guard, const PromptParts &parts);

/// Whether \p attempt looks as if its server ended as it began to answer.
bool looksLikeCrash(const BrokenAttempt &attempt);

/// Records and logs that the server of \p attempt ended under a request with
/// \p parts.
void reportCrash(PartGuard &guard, const PromptParts &parts,
                 const BrokenAttempt &attempt, Clock::time_point now);

/// Keeps the break of \p attempt, which a crash may explain, and has its server
/// checked. Returns whether the request must go to no other server: one of
/// \p parts is under suspicion already. The break of a request that is suspect
/// at once then counts as a crash without a check.
bool reportBreak(PartGuard &guard, const PromptParts &parts,
                 const BrokenAttempt &attempt, Clock::time_point now);

/// Records the break of a stream whose head had arrived. At the beginning of
/// the answer, it is a crash under the shared parts. Whether the whole request
/// has crashed the server is known once the server's end explains the break,
/// which may be at any event. Returns whether the request must go to no other
/// server.
bool reportStreamBreak(PartGuard &guard, const PromptParts &parts,
                       const BrokenAttempt &attempt, Clock::time_point now);

/// Records that \p server has ended: it refuses connections, or another server
/// is at its address. Breaks of the last seconds there were crashes.
void reportServerEnd(PartGuard &guard, const ServerRecord &server,
                     Clock::time_point now);

/// Records that \p server is registered: earlier ones at its address, and
/// earlier incarnations, have ended. It does not matter when the registrations
/// of these were removed.
void reportServerStart(PartGuard &guard, const ServerRecord &server,
                       Clock::time_point now);

/// Records that a server answered a request with \p parts beyond its beginning,
/// so that none of the shared ones crashes servers.
void reportBeginning(PartGuard &guard, const PromptParts &parts,
                     Clock::time_point now);

/// Records that a server answered a request with \p parts to the end.
void reportSurvival(PartGuard &guard, const PromptParts &parts,
                    Clock::time_point now);

} // namespace greengagespar

#endif // GREENGAGESPAR_DIRECT_PART_GUARD_H
