#include "greengagespar/route/crash_evidence.h"

#include "greengagespar/base/hash.h"
#include <algorithm>
#include <string>
#include <tuple>
#include <utility>

namespace greengagespar {

namespace {

using std::chrono::milliseconds;

using PartSet = std::unordered_set<PromptPartId>;

bool isSound(const CrashEvidence &evidence, PromptPartId part) {
  return std::ranges::any_of(
      evidence.Sound, [&](const auto &parts) { return parts.contains(part); });
}

// Returns the number of crashes that are not cleared. Uncertain ones count once
// if they happened together.
std::size_t countCrashes(const CrashLimits &limits, const PartEvidence &part) {
  std::size_t n = 0;
  std::vector<Clock::time_point> uncertain;
  for (const auto &[id, crash] : part.Crashes) {
    if (crash.IsCleared)
      continue;
    if (crash.IsUncertain)
      uncertain.push_back(crash.At);
    else
      ++n;
  }
  std::ranges::sort(uncertain);
  std::optional<Clock::time_point> counted;
  for (Clock::time_point at : uncertain)
    if (!counted || at - *counted >= limits.SameEventTime) {
      counted = at;
      ++n;
    }
  return n;
}

// Whether the crashes are enough for a suspicion: a certain one or any two.
bool isSuspicious(const PartEvidence &part) {
  std::size_t n = 0;
  for (const auto &[id, crash] : part.Crashes)
    if (!crash.IsCleared)
      n += crash.IsUncertain ? 1 : 2;
  return n > 1;
}

// Returns when the last crash was. That may be before the zero of the clock, as
// of a peer's evidence that is older than the uptime of this host.
Clock::time_point lastCrashAt(const PartEvidence &part) {
  auto last = std::ranges::max_element(
      part.Crashes, {}, [](const auto &it) { return it.second.At; });
  return last->second.At;
}

// Returns until when a part with enough crashes is blocked.
Clock::time_point blockedUntil(const CrashLimits &limits,
                               const PartEvidence &part) {
  std::chrono::minutes time = limits.BlockTime;
  for (std::size_t n = countCrashes(limits, part); n > limits.BlockAfter; --n)
    time = std::min(2 * time, limits.MaxBlockTime);
  return lastCrashAt(part) + time;
}

bool hasEnoughCrashes(const CrashEvidence &evidence, const PartEvidence &part) {
  return countCrashes(evidence.Limits, part) >= evidence.Limits.BlockAfter;
}

bool isBlocked(const CrashEvidence &evidence, const PartEvidence &part,
               Clock::time_point now) {
  return hasEnoughCrashes(evidence, part) &&
         now < blockedUntil(evidence.Limits, part);
}

// Whether each crash under `part` also happened under `other`.
bool isExplainedBy(const PartEvidence &part, const PartEvidence &other) {
  return std::ranges::all_of(part.Crashes, [&](const auto &it) {
    auto same = other.Crashes.find(it.first);
    return it.second.IsCleared ||
           (same != other.Crashes.end() && !same->second.IsCleared);
  });
}

// Returns those of `parts` about which there is evidence, which are few.
PartSet withEvidence(const CrashEvidence &evidence,
                     const std::vector<PromptPartId> &parts) {
  PartSet found;
  for (PromptPartId it : parts)
    if (evidence.Parts.contains(it))
      found.insert(it);
  return found;
}

// Whether another blocked part, which is none of `parts`, explains all crashes
// under `id`: which of the two crashes servers is then unknown, and a request
// with only one of them may be tried.
bool isAmbiguous(const CrashEvidence &evidence, PromptPartId id,
                 const PartSet &parts, Clock::time_point now) {
  const PartEvidence &part = evidence.Parts.at(id);
  return std::ranges::any_of(evidence.Parts, [&](const auto &it) {
    return !parts.contains(it.first) && isBlocked(evidence, it.second, now) &&
           isExplainedBy(part, it.second);
  });
}

PartDecision decidePart(const CrashEvidence &evidence, PromptPartId id,
                        const PartSet &parts, Clock::time_point now) {
  auto it = evidence.Parts.find(id);
  if (it == evidence.Parts.end() || !isSuspicious(it->second))
    return {};
  const PartEvidence &part = it->second;
  std::size_t crashes = countCrashes(evidence.Limits, part);
  if (isBlocked(evidence, part, now) && !isAmbiguous(evidence, id, parts, now))
    return {PartState::Blocked, id, crashes,
            blockedUntil(evidence.Limits, part)};
  PartDecision decision{PartState::Suspect, id, crashes, std::nullopt};
  if (part.TrialUntil && now < *part.TrialUntil)
    decision.Until = part.TrialUntil;
  return decision;
}

bool isStronger(const PartDecision &a, const PartDecision &b) {
  if (a.State != b.State)
    return a.State > b.State;
  if (a.Until.has_value() != b.Until.has_value())
    return a.Until.has_value();
  if (a.Crashes != b.Crashes)
    return a.Crashes > b.Crashes;
  return a.Part > b.Part;
}

bool isForgotten(const CrashEvidence &evidence, const PartEvidence &part,
                 Clock::time_point now) {
  auto until = hasEnoughCrashes(evidence, part)
                   ? blockedUntil(evidence.Limits, part)
                   : lastCrashAt(part);
  return now - until > evidence.Limits.ForgetAfter;
}

bool isCleared(const PartEvidence &part) {
  return std::ranges::all_of(
      part.Crashes, [](const auto &it) { return it.second.IsCleared; });
}

bool clearCrashes(PartEvidence &part) {
  bool isNews = !isCleared(part);
  for (auto &[id, crash] : part.Crashes)
    crash.IsCleared = true;
  if (isNews)
    part.Sent = 0;
  return isNews;
}

void recordSound(CrashEvidence &evidence, PromptPartId part,
                 Clock::time_point now) {
  auto &[newest, older] = evidence.Sound;
  if (now - evidence.SoundSince >= evidence.Limits.SoundTime ||
      newest.size() >= evidence.Limits.MaxSoundParts) {
    // Parts that were answered longest ago make room first.
    older = std::exchange(newest, {});
    evidence.SoundSince = now;
  }
  newest.insert(part);
}

bool isUncertainOnce(const PartEvidence &part) {
  return part.Crashes.size() == 1 && part.Crashes.begin()->second.IsUncertain;
}

// Whether the evidence about `part` makes room for that about a new part with
// `crash`. An uncertain crash, of which there may be many, costs no suspect.
bool makesRoom(const CrashEvidence &evidence, const PartEvidence &part,
               const CrashRecord &crash, Clock::time_point now) {
  if (isCleared(part))
    return true;
  bool isProtected =
      crash.IsUncertain ? isSuspicious(part) : isBlocked(evidence, part, now);
  return !isProtected && lastCrashAt(part) < crash.At;
}

// Returns the evidence about `id`, added if there is none, for `crash`. Parts
// whose crashes are all cleared make room first, then those that are no
// suspects, then the oldest that are not blocked. Null: there is none.
PartEvidence *findOrAddPart(CrashEvidence &evidence, PromptPartId id,
                            const CrashRecord &crash, Clock::time_point now) {
  auto &parts = evidence.Parts;
  if (auto it = parts.find(id); it != parts.end())
    return &it->second;
  if (parts.size() >= evidence.Limits.MaxParts) {
    auto rank = [](const PartEvidence &part) {
      return std::tuple(!isCleared(part), isSuspicious(part),
                        lastCrashAt(part));
    };
    auto first = parts.end();
    for (auto it = parts.begin(); it != parts.end(); ++it)
      if (makesRoom(evidence, it->second, crash, now) &&
          (first == parts.end() || rank(it->second) < rank(first->second)))
        first = it;
    if (first == parts.end())
      return nullptr;
    parts.erase(first);
  }
  return &parts[id];
}

// Adds a crash, or what is new about a known one. Returns whether it is news.
bool addCrash(CrashEvidence &evidence, PartEvidence &part,
              ServerIncarnationId id, const CrashRecord &record) {
  auto it = part.Crashes.find(id);
  if (it == part.Crashes.end()) {
    if (part.Crashes.size() >= evidence.Limits.MaxCrashesPerPart) {
      auto oldest = std::ranges::min_element(
          part.Crashes, {}, [](const auto &crash) { return crash.second.At; });
      if (record.At <= oldest->second.At)
        return false;
      part.Crashes.erase(oldest);
    }
    part.Crashes.emplace(id, record);
    part.Sent = 0;
    return true;
  }
  it->second.At = std::min(it->second.At, record.At);
  bool isNews = (record.IsCleared && !it->second.IsCleared) ||
                (!record.IsUncertain && it->second.IsUncertain);
  it->second.IsCleared = it->second.IsCleared || record.IsCleared;
  it->second.IsUncertain = it->second.IsUncertain && record.IsUncertain;
  if (isNews)
    part.Sent = 0;
  return isNews;
}

} // namespace

PromptPartId promptPartOf(const ServiceId &service, std::string_view name) {
  std::string text = service.Value;
  text.push_back('\0');
  text.append(name);
  return {stableHash(text)};
}

PartDecision decideParts(const CrashEvidence &evidence,
                         const std::vector<PromptPartId> &parts,
                         Clock::time_point now) {
  PartDecision strongest;
  if (evidence.Parts.empty())
    return strongest;
  PartSet known = withEvidence(evidence, parts);
  for (PromptPartId it : known) {
    PartDecision decision = decidePart(evidence, it, known, now);
    if (isStronger(decision, strongest))
      strongest = decision;
  }
  return strongest;
}

bool areKnownSound(const CrashEvidence &evidence,
                   const std::vector<PromptPartId> &parts) {
  return std::ranges::all_of(
      parts, [&](PromptPartId it) { return isSound(evidence, it); });
}

bool startTrial(CrashEvidence &evidence, const std::vector<PromptPartId> &parts,
                Clock::time_point now) {
  bool hasSuspect = false;
  for (PromptPartId id : parts) {
    auto it = evidence.Parts.find(id);
    if (it == evidence.Parts.end() || !isSuspicious(it->second))
      continue;
    it->second.TrialUntil = now + evidence.Limits.MaxTrialTime;
    hasSuspect = true;
  }
  return hasSuspect;
}

void endTrial(CrashEvidence &evidence, const std::vector<PromptPartId> &parts) {
  for (PromptPartId id : parts)
    if (auto it = evidence.Parts.find(id); it != evidence.Parts.end())
      it->second.TrialUntil.reset();
}

bool recordSurvival(CrashEvidence &evidence,
                    const std::vector<PromptPartId> &parts,
                    Clock::time_point now) {
  bool isNews = false;
  for (PromptPartId id : parts) {
    recordSound(evidence, id, now);
    if (auto it = evidence.Parts.find(id); it != evidence.Parts.end())
      isNews = clearCrashes(it->second) || isNews;
  }
  return isNews;
}

bool recordCrash(CrashEvidence &evidence,
                 const std::vector<PromptPartId> &parts,
                 ServerIncarnationId crash, Clock::time_point now,
                 bool isUncertain) {
  auto isCulprit = [&](PromptPartId id) {
    auto it = evidence.Parts.find(id);
    return it != evidence.Parts.end() && hasEnoughCrashes(evidence, it->second);
  };
  bool isExplained = std::ranges::any_of(parts, isCulprit);
  bool isNews = false;
  bool isFull = false;
  for (PromptPartId id : parts) {
    if (isSound(evidence, id) || (isExplained && !isCulprit(id)) ||
        (isFull && !evidence.Parts.contains(id)))
      continue;
    CrashRecord record{now, false, isUncertain};
    PartEvidence *part = findOrAddPart(evidence, id, record, now);
    isFull = !part;
    if (part)
      isNews = addCrash(evidence, *part, crash, record) || isNews;
  }
  return isNews;
}

std::vector<EvidenceRow> takeEvidenceRows(CrashEvidence &evidence,
                                          std::size_t most,
                                          Clock::time_point now) {
  std::vector<std::tuple<std::uint64_t, Clock::duration, PromptPartId>> order;
  order.reserve(evidence.Parts.size());
  for (const auto &[id, part] : evidence.Parts)
    if (!isUncertainOnce(part) || part.Sent < evidence.Limits.MaxUncertainSends)
      order.emplace_back(part.Sent, now - lastCrashAt(part), id);
  std::ranges::sort(order);
  order.resize(std::min(order.size(), most));
  std::vector<EvidenceRow> rows;
  for (const auto &[sent, age, id] : order) {
    PartEvidence &part = evidence.Parts.at(id);
    ++part.Sent;
    EvidenceRow &row = rows.emplace_back(EvidenceRow{id, {}});
    for (const auto &[crash, record] : part.Crashes) {
      auto age = std::chrono::duration_cast<milliseconds>(now - record.At);
      row.Crashes.push_back({crash, age, record.IsCleared, record.IsUncertain});
    }
  }
  return rows;
}

bool mergeEvidence(CrashEvidence &evidence, const EvidenceRow &row,
                   Clock::time_point now) {
  if (row.Crashes.empty())
    return false;
  auto newest = std::ranges::min_element(row.Crashes, {}, &CrashRow::Age);
  bool isUncertain = row.Crashes.size() == 1 && newest->IsUncertain;
  PartEvidence *part = findOrAddPart(
      evidence, row.Part, {now - newest->Age, false, isUncertain}, now);
  if (!part)
    return false;
  bool isNews = false;
  for (const CrashRow &it : row.Crashes)
    isNews = addCrash(evidence, *part, it.Id,
                      {now - it.Age, it.IsCleared, it.IsUncertain}) ||
             isNews;
  // This entry knows better if it has seen such a request answered.
  if (isSound(evidence, row.Part))
    isNews = clearCrashes(*part) || isNews;
  // A peer may keep evidence a little longer than this entry does.
  if (isForgotten(evidence, *part, now)) {
    evidence.Parts.erase(row.Part);
    return false;
  }
  return isNews;
}

void expireEvidence(CrashEvidence &evidence, Clock::time_point now) {
  std::erase_if(evidence.Parts, [&](const auto &it) {
    return isForgotten(evidence, it.second, now);
  });
  if (now - evidence.SoundSince >= evidence.Limits.SoundTime) {
    evidence.Sound[1] = std::exchange(evidence.Sound[0], {});
    evidence.SoundSince = now;
  }
}

std::size_t blockedParts(const CrashEvidence &evidence, Clock::time_point now) {
  return static_cast<std::size_t>(
      std::ranges::count_if(evidence.Parts, [&](const auto &it) {
        return isBlocked(evidence, it.second, now);
      }));
}

} // namespace greengagespar
