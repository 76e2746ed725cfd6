#include "greengagespar/route/crash_evidence.h"

#include "greengagespar/base/hash.h"
#include <boost/test/unit_test.hpp>
#include <random>

using namespace greengagespar;
using namespace std::chrono_literals;

namespace {

using Parts = std::vector<PromptPartId>;

PromptPartId part(std::uint64_t number) { return {number}; }
ServerIncarnationId crash(std::uint64_t number) { return {number}; }

/// Several entries that learn of crashes, and a clock.
struct EvidenceFixture {
  std::vector<CrashEvidence> Entries{3};
  Clock::time_point Now = Clock::now();
  std::uint64_t NextCrash = 0;

  CrashEvidence &first() { return Entries.front(); }

  // Lets a server end under \p parts, as entry \p index sees.
  bool end(const Parts &parts, std::size_t index = 0) {
    return recordCrash(Entries[index], parts, crash(++NextCrash), Now);
  }

  // The same before the server has begun to answer any request.
  bool endBeforeAnswer(const Parts &parts, std::size_t index = 0) {
    return recordCrash(Entries[index], parts, crash(++NextCrash), Now, true);
  }

  PartState stateOf(const Parts &parts, std::size_t index = 0) const {
    return decideParts(Entries[index], parts, Now).State;
  }

  // Every entry sends its rows to every other one. Returns how many rows were
  // news.
  int exchange(std::size_t most = 16) {
    int news = 0;
    for (CrashEvidence &from : Entries)
      for (CrashEvidence &to : Entries)
        if (&from != &to)
          for (const EvidenceRow &it : takeEvidenceRows(from, most, Now))
            news += mergeEvidence(to, it, Now) ? 1 : 0;
    return news;
  }
};

} // namespace

BOOST_TEST_DONT_PRINT_LOG_VALUE(PartState)

BOOST_FIXTURE_TEST_SUITE(CrashEvidenceOfParts, EvidenceFixture)

BOOST_AUTO_TEST_CASE(part_withoutCrash_isClear) {
  BOOST_TEST(stateOf({part(1)}) == PartState::Clear);
  BOOST_TEST(stateOf({}) == PartState::Clear);
}

BOOST_AUTO_TEST_CASE(part_afterCrashesOfSeveralServers_isBlockedWithAnyOthers) {
  end({part(10), part(1)});
  BOOST_TEST(stateOf({part(1)}) == PartState::Suspect);
  end({part(1), part(11)});
  end({part(12), part(1), part(13)});
  BOOST_TEST(stateOf({part(99), part(1)}) == PartState::Blocked);
  BOOST_TEST(stateOf({part(12)}) == PartState::Suspect);
}

// Servers that end before an answer take waiting requests with them, so that
// one such end is no reason to hold up others.
BOOST_AUTO_TEST_CASE(part_endingServersBeforeAnAnswer_isSuspectFromTheSecond) {
  endBeforeAnswer({part(1), part(10)});
  BOOST_TEST(stateOf({part(1)}) == PartState::Clear);
  BOOST_TEST(!startTrial(first(), {part(1)}, Now));
  Now += 2s;
  endBeforeAnswer({part(1), part(11)}, 1);
  exchange();
  BOOST_TEST(stateOf({part(1)}, 2) == PartState::Suspect);
  BOOST_TEST(stateOf({part(11)}, 2) == PartState::Clear);
  Now += 2s;
  endBeforeAnswer({part(12), part(1)}, 2);
  exchange();
  BOOST_TEST(stateOf({part(1)}) == PartState::Blocked);
}

// Many servers may lose their power together: a part that waited at them is
// tried, and blocked only if a trial ends one more server.
BOOST_AUTO_TEST_CASE(serversEndingTogetherBeforeAnAnswer_countOnce) {
  for (int i = 0; i < 6; ++i) {
    endBeforeAnswer({part(1)});
    Now += 100ms;
  }
  BOOST_TEST(stateOf({part(1)}) == PartState::Suspect);
  BOOST_TEST(decideParts(first(), {part(1)}, Now).Crashes == 1U);
  end({part(1)});
  BOOST_TEST(stateOf({part(1)}) == PartState::Suspect);
  recordSurvival(first(), {part(1)}, Now);
  BOOST_TEST(stateOf({part(1)}) == PartState::Clear);
}

// One entry may have had the beginning of an answer from the server, and
// another one not.
BOOST_AUTO_TEST_CASE(end_underABegunAnswerAtOneEntry_isThatAtAll) {
  recordCrash(Entries[0], {part(1)}, crash(7), Now, true);
  recordCrash(Entries[1], {part(1)}, crash(7), Now, false);
  BOOST_TEST(exchange() > 0);
  for (std::size_t i = 0; i < Entries.size(); ++i)
    BOOST_TEST(stateOf({part(1)}, i) == PartState::Suspect);
}

BOOST_AUTO_TEST_CASE(crash_seenByAllEntries_countsOnce) {
  for (std::size_t i = 0; i < Entries.size(); ++i)
    recordCrash(Entries[i], {part(1)}, crash(7), Now);
  exchange();
  BOOST_TEST(decideParts(first(), {part(1)}, Now).Crashes == 1U);
}

BOOST_AUTO_TEST_CASE(crashes_eachSeenByAnotherEntry_blockThePartEverywhere) {
  for (std::size_t i = 0; i < Entries.size(); ++i)
    end({part(10 + i), part(1)}, i);
  exchange();
  for (std::size_t i = 0; i < Entries.size(); ++i)
    BOOST_TEST(stateOf({part(1)}, i) == PartState::Blocked);
}

BOOST_AUTO_TEST_CASE(exchange_ofKnownEvidence_isNoNews) {
  end({part(1)});
  end({part(2)}, 1);
  BOOST_TEST(exchange() > 0);
  exchange();
  BOOST_TEST(exchange() == 0);
  Now += 60s;
  BOOST_TEST(exchange() == 0);
}

// Guards against a block of a popular part that is in progress wherever a
// server ends for another reason.
BOOST_AUTO_TEST_CASE(popularPart_answeredBetweenCrashes_isNeverBlocked) {
  for (int i = 0; i < 12; ++i) {
    end({part(1), part(100 + static_cast<std::uint64_t>(i))});
    exchange();
    BOOST_TEST(stateOf({part(1)}, 2) != PartState::Blocked);
    Now += 4s;
    recordSurvival(Entries[1], {part(1)}, Now);
    exchange();
    BOOST_TEST(stateOf({part(1)}) == PartState::Clear);
    Now += 70s;
  }
}

BOOST_AUTO_TEST_CASE(part_answeredBeforeCrash_isNoSuspect) {
  recordSurvival(first(), {part(1)}, Now);
  Now += 20s;
  BOOST_TEST(!end({part(1)}));
  BOOST_TEST(stateOf({part(1)}) == PartState::Clear);
  BOOST_TEST(areKnownSound(first(), {part(1)}));
  BOOST_TEST(!areKnownSound(first(), {part(1), part(2)}));
}

BOOST_AUTO_TEST_CASE(part_answeredAtAnotherEntry_isClearedByItsEvidence) {
  recordSurvival(Entries[1], {part(1)}, Now);
  end({part(1)});
  exchange();
  exchange();
  BOOST_TEST(stateOf({part(1)}) == PartState::Clear);
}

BOOST_AUTO_TEST_CASE(twoParts_suspectedByTwoEntries_areBothBlocked) {
  for (std::uint64_t i = 0; i < 3; ++i) {
    end({part(20 + i), part(1)}, 0);
    end({part(2), part(30 + i)}, 1);
  }
  exchange();
  BOOST_TEST(stateOf({part(1)}, 2) == PartState::Blocked);
  BOOST_TEST(stateOf({part(2)}, 2) == PartState::Blocked);
}

BOOST_AUTO_TEST_CASE(crash_underBlockedPart_blamesNoOther) {
  for (int i = 0; i < 3; ++i)
    end({part(1)});
  end({part(1), part(2)});
  BOOST_TEST(stateOf({part(2)}) == PartState::Clear);
}

// Two parts that occurred together at each crash: a request with only one of
// them tells which it is.
BOOST_AUTO_TEST_CASE(twoParts_alwaysTogether_areTriedApart) {
  for (int i = 0; i < 3; ++i)
    end({part(1), part(2)});
  BOOST_TEST(stateOf({part(1), part(2)}) == PartState::Blocked);
  BOOST_TEST(stateOf({part(1)}) == PartState::Suspect);
  recordSurvival(first(), {part(1)}, Now);
  BOOST_TEST(stateOf({part(1)}) == PartState::Clear);
  BOOST_TEST(stateOf({part(2)}) == PartState::Blocked);
}

// Requests with several suspects are tried by the entry of one of them,
// whatever the order of the parts.
BOOST_AUTO_TEST_CASE(request_withTwoSuspects_isDecidedByTheSamePart) {
  end({part(1), part(2)});
  auto decidedBy = [&](const Parts &parts) {
    return decideParts(first(), parts, Now).Part;
  };
  BOOST_TEST((decidedBy({part(1), part(2)}) == decidedBy({part(2), part(1)})));
  end({part(1), part(3)});
  BOOST_TEST((decidedBy({part(3), part(2), part(1)}) == part(1)));
}

BOOST_AUTO_TEST_CASE(trial_inProgress_holdsOthersUpUntilItEnds) {
  end({part(1)});
  BOOST_TEST(!decideParts(first(), {part(1)}, Now).Until.has_value());
  BOOST_TEST(startTrial(first(), {part(1), part(2)}, Now));
  BOOST_TEST(decideParts(first(), {part(1)}, Now).Until.has_value());
  endTrial(first(), {part(1), part(2)});
  BOOST_TEST(!decideParts(first(), {part(1)}, Now).Until.has_value());
  startTrial(first(), {part(1)}, Now);
  Now += first().Limits.MaxTrialTime;
  BOOST_TEST(!decideParts(first(), {part(1)}, Now).Until.has_value());
  BOOST_TEST(!startTrial(first(), {part(2)}, Now));
}

BOOST_AUTO_TEST_CASE(block_lapses_thenOneCrashBlocksForTwiceAsLong) {
  for (int i = 0; i < 3; ++i)
    end({part(1)});
  Now += 10min;
  expireEvidence(first(), Now);
  BOOST_TEST(stateOf({part(1)}) == PartState::Suspect);
  end({part(1)});
  Now += 19min;
  BOOST_TEST(stateOf({part(1)}) == PartState::Blocked);
  Now += 1min;
  BOOST_TEST(stateOf({part(1)}) == PartState::Suspect);
}

BOOST_AUTO_TEST_CASE(suspicion_withoutNewCrash_isForgotten) {
  end({part(1)});
  Now += 11min;
  expireEvidence(first(), Now);
  BOOST_TEST(stateOf({part(1)}) == PartState::Clear);
  BOOST_TEST(first().Parts.empty());
  // A peer that has not forgotten it yet doesn't bring it back.
  EvidenceRow row{part(1), {{crash(1), 11min, false}}};
  BOOST_TEST(!mergeEvidence(first(), row, Now));
  BOOST_TEST(first().Parts.empty());
}

BOOST_AUTO_TEST_CASE(memory_ofMillionsOfParts_isBounded) {
  CrashLimits limits;
  for (int i = 0; i < 3; ++i)
    end({part(5)});
  for (std::uint64_t i = 100; i < 300000; ++i) {
    recordSurvival(first(), {part(2 * i)}, Now);
    if (i % 10 == 0) {
      Now += 1ms;
      end({part(2 * i + 1), part(2 * i + 100001)});
    }
  }
  BOOST_TEST(first().Parts.size() <= limits.MaxParts);
  BOOST_TEST(first().Sound[0].size() <= limits.MaxSoundParts);
  BOOST_TEST(first().Sound[1].size() <= limits.MaxSoundParts);
  BOOST_TEST(stateOf({part(5)}) == PartState::Blocked);
  for (int i = 0; i < 100; ++i)
    end({part(5)});
  BOOST_TEST(first().Parts.at(part(5)).Crashes.size() <=
             limits.MaxCrashesPerPart);
}

// Guards against a part whose evidence never reaches other entries because that
// about many other parts is as new, or because theirs is about still others.
BOOST_AUTO_TEST_CASE(evidence_aboutManyParts_reachesOtherEntriesInTurns) {
  Parts parts;
  for (std::uint64_t i = 0; i < 70; ++i)
    parts.push_back(part(1000 + i));
  end(parts, 0);
  for (int i = 0; i < 5; ++i)
    exchange(16);
  for (PromptPartId it : parts) {
    BOOST_TEST(stateOf({it}, 1) == PartState::Suspect);
    BOOST_TEST(stateOf({it}, 2) == PartState::Suspect);
  }
  // What has changed goes first.
  end({part(1069)}, 0);
  exchange(1);
  BOOST_TEST(decideParts(Entries[1], {part(1069)}, Now).Crashes == 2U);
}

// Guards against suspects that are forgotten, or wait for their turn, because
// of the many requests that were in progress where a server ended.
BOOST_AUTO_TEST_CASE(uncertainCrashesOfManyParts_costNoSuspect) {
  end({part(1)});
  for (std::uint64_t i = 0; i < 2 * first().Limits.MaxParts; ++i) {
    Now += 1ms;
    endBeforeAnswer({part(1000 + i)});
  }
  BOOST_TEST(first().Parts.size() == first().Limits.MaxParts);
  BOOST_TEST(stateOf({part(1)}) == PartState::Suspect);
  std::uint64_t digests =
      first().Limits.MaxUncertainSends * first().Limits.MaxParts / 16;
  for (std::uint64_t i = 0; i <= digests; ++i)
    takeEvidenceRows(first(), 16, Now);
  std::vector<EvidenceRow> rows = takeEvidenceRows(first(), 16, Now);
  BOOST_REQUIRE(rows.size() == 1);
  BOOST_TEST((rows[0].Part == part(1)));
}

// A prompt may have more unknown parts than the evidence can hold: sound
// requests that share them make room for the one that crashes servers.
BOOST_AUTO_TEST_CASE(crashes_underMorePartsThanAreKept_leadToTheLastOne) {
  const std::size_t count = 2 * first().Limits.MaxParts;
  Parts sound;
  for (std::uint64_t i = 0; i < count; ++i)
    sound.push_back(part(i));
  Parts crashing = sound;
  crashing.push_back(part(5000));
  end(crashing);
  BOOST_TEST(first().Parts.size() <= first().Limits.MaxParts);
  recordSurvival(first(), sound, Now);
  for (int i = 0; i < 3; ++i)
    end(crashing);
  BOOST_TEST(stateOf(crashing) == PartState::Blocked);
  BOOST_TEST(stateOf(sound) == PartState::Clear);
  BOOST_TEST(first().Parts.size() <= first().Limits.MaxParts);
}

// A row that many entries send again and again in any order leads to the same
// evidence everywhere.
BOOST_AUTO_TEST_CASE(rows_inAnyOrderAndNumber_leadToTheSameDecision) {
  std::mt19937_64 rng(11);
  for (int round = 0; round < 50; ++round) {
    Entries.assign(3, {});
    for (int i = 0; i < 40; ++i) {
      std::size_t entry = rng() % 3;
      Parts parts{part(rng() % 4), part(4 + rng() % 3)};
      if (rng() % 3 > 0)
        recordCrash(Entries[entry], parts, crash(rng() % 12), Now);
      else
        recordSurvival(Entries[entry], {parts[1]}, Now);
      if (rng() % 5 == 0)
        exchange(1 + rng() % 3);
      Now += 50ms;
    }
    for (int i = 0; i < 3; ++i)
      exchange();
    for (std::uint64_t id = 0; id < 7; ++id)
      for (std::size_t i = 1; i < 3; ++i) {
        PartDecision a = decideParts(Entries[0], {part(id)}, Now);
        PartDecision b = decideParts(Entries[i], {part(id)}, Now);
        BOOST_TEST(a.State == b.State);
        BOOST_TEST(a.Crashes == b.Crashes);
      }
  }
}

BOOST_AUTO_TEST_CASE(parts_ofTwoServices_differ) {
  BOOST_TEST((promptPartOf({"a"}, "x") != promptPartOf({"b"}, "x")));
  BOOST_TEST((promptPartOf({"a"}, "bc") != promptPartOf({"ab"}, "c")));
  BOOST_TEST((incarnationIdOf({"i-1"}, 1) != incarnationIdOf({"i-1"}, 2)));
}

// Guards against old evidence of a peer that a host takes for new while its
// uptime is less than the age of the evidence.
BOOST_AUTO_TEST_CASE(evidence_olderThanTheUptime_keepsItsAge) {
  Now = Clock::time_point{} + 1min;
  EvidenceRow row{part(1), {}};
  for (int i = 0; i < 3; ++i)
    row.Crashes.push_back({crash(++NextCrash), 9min});
  BOOST_TEST(mergeEvidence(first(), row, Now));
  BOOST_TEST(stateOf({part(1)}) == PartState::Blocked);
  Now += 59s;
  BOOST_TEST(stateOf({part(1)}) == PartState::Blocked);
  Now += 2s;
  BOOST_TEST(stateOf({part(1)}) != PartState::Blocked);
}

BOOST_AUTO_TEST_CASE(evidence_forgottenBeforeTheHostStarted_isNoNews) {
  Now = Clock::time_point{} + 1min;
  EvidenceRow row{part(1), {{crash(1), 30min}}};
  BOOST_TEST(!mergeEvidence(first(), row, Now));
  BOOST_TEST(first().Parts.empty());
}

BOOST_AUTO_TEST_SUITE_END()
