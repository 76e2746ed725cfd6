#include "greengagespar/direct/part_guard.h"

#include "greengagespar/base/hash.h"
#include "greengagespar/base/log.h"
#include "greengagespar/base/log_output.h"
#include <algorithm>
#include <sstream>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace greengagespar {

namespace {

using std::chrono::milliseconds;

// Parts of a prompt in one log line, and bytes of each.
constexpr std::size_t MaxLoggedParts = 8;
constexpr std::size_t MaxLoggedPartBytes = 24;

// Removes the first of \p names, and returns it.
std::string_view takeName(std::string_view &names) {
  std::string_view name = names.substr(0, names.find('\0'));
  names.remove_prefix(std::min(name.size() + 1, names.size()));
  return name;
}

void addPart(PromptParts &parts, PromptPartId id, std::string_view name) {
  parts.Ids.push_back(id);
  parts.Names.append(name).push_back('\0');
}

// Returns the parts of which \p isKept holds, at most \p most.
template <class IsKept>
PromptParts selectParts(const PromptParts &parts, std::size_t most,
                        IsKept isKept) {
  PromptParts kept;
  kept.IsSuspectAtOnce = parts.IsSuspectAtOnce;
  std::string_view names = parts.Names;
  for (PromptPartId it : parts.Ids) {
    std::string_view name = takeName(names);
    if (kept.Ids.size() < most && isKept(it))
      addPart(kept, it, name);
  }
  kept.HasWholeRequest = parts.HasWholeRequest && !kept.Ids.empty() &&
                         kept.Ids.back() == parts.Ids.back();
  return kept;
}

std::string nameOf(const PromptParts &parts, PromptPartId id) {
  return describeParts(
      selectParts(parts, 1, [id](PromptPartId it) { return it == id; }));
}

// Returns the refusal for a request whose part is blocked. Its caller may come
// back when the block ends; until then it would be refused again.
PartRefusal refuseBlocked(const PartDecision &decision, Clock::time_point now) {
  auto left = std::chrono::ceil<milliseconds>(*decision.Until - now);
  return {{ErrorKind::Overloaded, left}, "crashing_part", true};
}

// Returns \p parts without the whole request.
PromptParts sharedPartsIn(const PromptParts &parts) {
  if (!parts.HasWholeRequest)
    return parts;
  return selectParts(parts, parts.Ids.size() - 1,
                     [](PromptPartId) { return true; });
}

// Returns the whole request as its only part. Precondition: \p parts has it.
PromptParts wholeRequestIn(const PromptParts &parts) {
  return selectParts(parts, 1,
                     [&](PromptPartId it) { return it == parts.Ids.back(); });
}

// Adds the whole \p request to \p parts.
void addWholeRequest(PromptParts &parts, const ServiceId &service,
                     const RequestFingerprint &request) {
  std::string text;
  for (std::string_view it : {request.Method, request.Target,
                              std::string_view(request.Caller.Value)}) {
    text.append(it);
    text.push_back('\0');
  }
  XXH64_hash_t head = XXH3_64bits(text.data(), text.size());
  XXH64_hash_t all =
      XXH3_64bits_withSeed(request.Body.data(), request.Body.size(), head);
  std::ostringstream name;
  name << "request-" << std::hex << all;
  addPart(parts, promptPartOf(service, name.str()), name.str());
  parts.HasWholeRequest = true;
}

bool isUnderSuspicion(const PartGuard &guard, const PromptParts &parts,
                      Clock::time_point now) {
  return decideParts(guard.Evidence, parts.Ids, now).State != PartState::Clear;
}

// Keeps a break, which the end of its server may explain, and has the server
// checked.
void keepBreak(PartGuard &guard, const PromptParts &parts,
               const BrokenAttempt &attempt, Clock::time_point now) {
  if (guard.Breaks.size() >= MaxUnexplainedBreaks)
    guard.Breaks.pop_front();
  // Parts that were answered of late have crashed no server.
  PromptParts unsound =
      selectParts(parts, guard.Evidence.Limits.MaxParts, [&](PromptPartId it) {
        return !areKnownSound(guard.Evidence, {it});
      });
  guard.Breaks.push_back({attempt.Server, std::move(unsound),
                          std::string(attempt.RequestId), attempt.IsTrial,
                          now});
  if (guard.CheckServer)
    guard.CheckServer(attempt.Server);
}

// Records the recent breaks at servers that have ended as crashes.
template <class IsEnded>
void explainBreaks(PartGuard &guard, IsEnded isEnded, Clock::time_point now) {
  while (!guard.Breaks.empty() &&
         now - guard.Breaks.front().At > BreakRetention)
    guard.Breaks.pop_front();
  std::vector<UnexplainedBreak> explained;
  std::erase_if(guard.Breaks, [&](const UnexplainedBreak &it) {
    if (!isEnded(it.Server))
      return false;
    explained.push_back(it);
    return true;
  });
  for (const UnexplainedBreak &it : explained) {
    BrokenAttempt attempt;
    attempt.RequestId = it.RequestId;
    attempt.Server = it.Server;
    attempt.IsTrial = it.IsTrial;
    reportCrash(guard, it.Parts, attempt, it.At);
  }
}

} // namespace

PromptParts promptPartsOf(const ServiceId &service,
                          const std::vector<std::string> &names) {
  PromptParts parts;
  parts.Ids.reserve(names.size() + 1);
  for (const std::string &it : names)
    addPart(parts, promptPartOf(service, it), it);
  return parts;
}

PromptParts wholeRequestOf(const ServiceId &service,
                           const RequestFingerprint &request) {
  PromptParts parts;
  addWholeRequest(parts, service, request);
  parts.IsSuspectAtOnce = true;
  return parts;
}

PromptParts requestPartsOf(const ServiceId &service,
                           const std::vector<std::string> &names,
                           const RequestFingerprint &request) {
  PromptParts parts = promptPartsOf(service, names);
  addWholeRequest(parts, service, request);
  return parts;
}

std::string describeParts(const PromptParts &parts) {
  std::string text;
  std::string_view names = parts.Names;
  for (std::size_t i = 0; i < std::min(parts.Ids.size(), MaxLoggedParts); ++i) {
    if (i > 0)
      text.push_back(',');
    text.append(takeName(names).substr(0, MaxLoggedPartBytes));
  }
  return text;
}

std::optional<PartRefusal> checkParts(const PartGuard &guard,
                                      const PromptParts &parts,
                                      std::string_view id,
                                      Clock::time_point now) {
  PartDecision decision = decideParts(guard.Evidence, parts.Ids, now);
  if (decision.State == PartState::Clear)
    return std::nullopt;
  bool isBlocked = decision.State == PartState::Blocked;
  if (!isBlocked && !decision.Until && guard.MayTry(decision.Part))
    return std::nullopt;
  PartRefusal refusal =
      isBlocked ? refuseBlocked(decision, now)
                : PartRefusal{{ErrorKind::Overloaded, SuspectRetryAfter},
                              "suspect_part"};
  logInfo(Part::Route,
          LogLine("part_refused")
              .add("id", id)
              .add("part", nameOf(parts, decision.Part))
              .add("crashes", static_cast<std::int64_t>(decision.Crashes))
              .add("state", isBlocked ? "blocked" : "suspect")
              .addMs("for_ms", refusal.Answer.RetryAfter)
              .text());
  return refusal;
}

bool mayCrashServers(const PartGuard &guard, const PromptParts &parts) {
  return !areKnownSound(guard.Evidence, parts.Ids);
}

bool looksLikeCrash(const BrokenAttempt &attempt) {
  return attempt.IsDisconnected && attempt.HasBegun &&
         attempt.Events < EventsBeyondBeginning &&
         attempt.Silence < CrashSilenceLimit;
}

bool reportBreak(PartGuard &guard, const PromptParts &parts,
                 const BrokenAttempt &attempt, Clock::time_point now) {
  if (!attempt.IsDisconnected || areKnownSound(guard.Evidence, parts.Ids))
    return false;
  bool isSuspect = isUnderSuspicion(guard, parts, now);
  if (isSuspect && parts.IsSuspectAtOnce) {
    reportCrash(guard, parts, attempt, now);
    return true;
  }
  keepBreak(guard, parts, attempt, now);
  return isSuspect;
}

bool reportStreamBreak(PartGuard &guard, const PromptParts &parts,
                       const BrokenAttempt &attempt, Clock::time_point now) {
  bool isNearEnd =
      attempt.IsDisconnected && attempt.Silence < CrashSilenceLimit;
  if (!isNearEnd)
    return false;
  PromptParts whole = wholeRequestIn(parts);
  bool isSuspect = isUnderSuspicion(guard, whole, now);
  if (!looksLikeCrash(attempt)) {
    keepBreak(guard, whole, attempt, now);
    return attempt.IsTrial && isSuspect;
  }
  PromptParts shared = sharedPartsIn(parts);
  reportCrash(guard, shared, attempt, now);
  keepBreak(guard, parts, attempt, now);
  return isSuspect || mayCrashServers(guard, shared);
}

void reportServerEnd(PartGuard &guard, const ServerRecord &server,
                     Clock::time_point now) {
  explainBreaks(
      guard,
      [&](const ServerRecord &it) {
        return it.Id == server.Id && it.StartedMs == server.StartedMs;
      },
      now);
}

void reportServerStart(PartGuard &guard, const ServerRecord &server,
                       Clock::time_point now) {
  explainBreaks(
      guard,
      [&](const ServerRecord &it) {
        return (it.Id == server.Id || it.At == server.At) &&
               it.StartedMs < server.StartedMs;
      },
      now);
}

void reportCrash(PartGuard &guard, const PromptParts &parts,
                 const BrokenAttempt &attempt, Clock::time_point now) {
  ServerIncarnationId crash =
      incarnationIdOf(attempt.Server.Id, attempt.Server.StartedMs);
  // A suspicion of a request that is suspect at once holds up no other one, so
  // that one crash is enough.
  bool isUncertain =
      !attempt.HasBegun && !attempt.IsTrial && !parts.IsSuspectAtOnce;
  if (!recordCrash(guard.Evidence, parts.Ids, crash, now, isUncertain))
    return;
  PartDecision decision = decideParts(guard.Evidence, parts.Ids, now);
  std::string line =
      LogLine("crash_suspected")
          .add("id", attempt.RequestId)
          .add("server", attempt.Server.Id.Value)
          .add("parts", describeParts(parts))
          .add("part", nameOf(parts, decision.Part))
          .add("crashes", static_cast<std::int64_t>(decision.Crashes))
          .add("uncertain", isUncertain)
          .add("blocked", decision.State == PartState::Blocked)
          .text();
  // Each server that ends has such lines about all that was in progress there.
  if (decision.State == PartState::Clear)
    logInfo(Part::Route, line);
  else
    logWarning(Part::Route, line);
  guard.OnNews();
}

void reportBeginning(PartGuard &guard, const PromptParts &parts,
                     Clock::time_point now) {
  reportSurvival(guard, sharedPartsIn(parts), now);
}

void reportSurvival(PartGuard &guard, const PromptParts &parts,
                    Clock::time_point now) {
  if (parts.Ids.empty() || !recordSurvival(guard.Evidence, parts.Ids, now))
    return;
  logInfo(Part::Route,
          LogLine("parts_cleared").add("parts", describeParts(parts)).text());
  guard.OnNews();
}

} // namespace greengagespar
