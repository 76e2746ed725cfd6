#include "greengagespar/direct/part_guard.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace greengagespar;
using namespace std::chrono_literals;

namespace {

/// A guard and a request for a whole answer whose connections break.
struct BreakFixture {
  PartGuard Guard;
  PromptParts Request = wholeRequestOf({"ledger"}, {"GET", "/a?b", {"t"}, ""});
  Clock::time_point Now = Clock::now();

  BreakFixture() {
    Guard.MayTry = [](PromptPartId) { return true; };
    Guard.OnNews = [] {};
  }

  static ServerRecord server(std::uint64_t started) {
    ServerRecord it;
    it.Id = {"i-1"};
    it.At = {"127.0.0.1:1"};
    it.StartedMs = started;
    return it;
  }

  bool breakAt(std::uint64_t started) {
    BrokenAttempt attempt;
    attempt.RequestId = "r";
    attempt.Server = server(started);
    attempt.IsDisconnected = true;
    return reportBreak(Guard, Request, attempt, Now);
  }

  std::size_t crashes() const {
    return decideParts(Guard.Evidence, Request.Ids, Now).Crashes;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(BrokenRequests, BreakFixture)

BOOST_AUTO_TEST_CASE(fingerprint_ofRequest_differsByEachOfItsFields) {
  std::set<PromptPartId> ids;
  for (const RequestFingerprint &it :
       {RequestFingerprint{"GET", "/a?b", {"t"}, ""},
        {"PUT", "/a?b", {"t"}, ""},
        {"GET", "/a?c", {"t"}, ""},
        {"GET", "/a?b", {"u"}, ""},
        {"GET", "/a?b", {"t"}, "x"},
        {"GET", "/a?bt", {""}, ""}})
    ids.insert(wholeRequestOf({"ledger"}, it).Ids.front());
  BOOST_TEST(ids.size() == 6);
  BOOST_TEST(ids.contains(Request.Ids.front()));
}

// Guards against lost answers that count as crashes.
BOOST_AUTO_TEST_CASE(break_withoutNewsOfTheServersEnd_isNoCrash) {
  BOOST_TEST(!breakAt(1));
  reportServerEnd(Guard, server(2), Now);
  BOOST_TEST(crashes() == 0);
  reportServerEnd(Guard, server(1), Now + BreakRetention + 1ms);
  BOOST_TEST(crashes() == 0);
}

BOOST_AUTO_TEST_CASE(break_explainedByTheServersEnd_isACrashOnce) {
  breakAt(1);
  reportServerEnd(Guard, server(1), Now);
  reportServerEnd(Guard, server(1), Now);
  BOOST_TEST(crashes() == 1);
  // From then on each break is one.
  BOOST_TEST(breakAt(2));
  BOOST_TEST(breakAt(3));
  BOOST_TEST(crashes() == 3);
  auto refusal = checkParts(Guard, Request, "r", Now);
  BOOST_REQUIRE(refusal.has_value());
  BOOST_TEST(refusal->IsBlocked);
}

// Guards against a sound request that is blocked as it was in progress at a
// crash: it was answered elsewhere before the news came.
BOOST_AUTO_TEST_CASE(break_ofRequestAnsweredSince_isNoCrash) {
  breakAt(1);
  reportSurvival(Guard, Request, Now);
  reportServerEnd(Guard, server(1), Now);
  BOOST_TEST(crashes() == 0);
}

// Guards against news that are lost because the registration of the server that
// has ended was removed some time before the next one came.
BOOST_AUTO_TEST_CASE(break_beforeALaterServerAtTheAddress_isACrash) {
  breakAt(1);
  ServerRecord later = server(2);
  later.Id = {"i-2"};
  later.At = {"127.0.0.1:2"};
  reportServerStart(Guard, later, Now);
  BOOST_TEST(crashes() == 0);
  later.At = server(1).At;
  reportServerStart(Guard, later, Now);
  BOOST_TEST(crashes() == 1);
  reportServerStart(Guard, later, Now);
  BOOST_TEST(crashes() == 1);
}

// The server of each break is checked, as a lost answer looks like a crash.
BOOST_AUTO_TEST_CASE(break_ofStream_isCheckedAndNoCrashUntilExplained) {
  int checks = 0;
  Guard.CheckServer = [&](const ServerRecord &) { ++checks; };
  PromptParts stream = promptPartsOf({"helper"}, {"a", "b"});
  BrokenAttempt attempt;
  attempt.IsDisconnected = true;
  for (std::uint64_t i = 1; i <= 3; ++i) {
    attempt.Server = server(i);
    bool isSuspect = reportBreak(Guard, stream, attempt, Now);
    BOOST_TEST(isSuspect == (i == 3));
    reportServerEnd(Guard, server(i), Now);
    Now += 2s;
  }
  BOOST_TEST(checks == 3);
  auto refusal = checkParts(Guard, stream, "r", Now);
  BOOST_REQUIRE(refusal.has_value());
  BOOST_TEST(refusal->IsBlocked);
}

BOOST_AUTO_TEST_CASE(breaks_ofManyRequests_areBounded) {
  for (std::uint64_t i = 0; i < MaxUnexplainedBreaks + 10; ++i)
    breakAt(i);
  BOOST_TEST(Guard.Breaks.size() == MaxUnexplainedBreaks);
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

/// A guard and streams whose prompts share parts that were answered of late.
struct StreamFixture {
  PartGuard Guard;
  PromptParts Crashing = stream("a question that crashes servers");
  PromptParts Sound = stream("a sound question");
  Clock::time_point Now = Clock::now();
  std::uint64_t NextStart = 1;

  StreamFixture() {
    Guard.MayTry = [](PromptPartId) { return true; };
    Guard.OnNews = [] {};
    reportSurvival(Guard, Sound, Now);
  }

  static PromptParts stream(std::string_view body) {
    return requestPartsOf({"helper"}, {"a", "b"},
                          {"POST", "/draft/1", {"t"}, body});
  }

  PartState stateOf(const PromptParts &parts) const {
    return decideParts(Guard.Evidence, parts.Ids, Now).State;
  }

  struct Break {
    ServerRecord Server;
    bool IsLast = false; ///< The stream must go to no other server.
  };

  // Breaks a stream with \p parts off after \p events.
  Break breakStream(const PromptParts &parts, int events) {
    BrokenAttempt attempt;
    attempt.Server.Id = {"i-1"};
    attempt.Server.StartedMs = NextStart++;
    attempt.IsDisconnected = true;
    attempt.HasBegun = true;
    attempt.Events = events;
    attempt.IsTrial = startTrial(Guard.Evidence, parts.Ids, Now);
    bool isLast = reportStreamBreak(Guard, parts, attempt, Now);
    endTrial(Guard.Evidence, parts.Ids);
    return {attempt.Server, isLast};
  }

  // The same because its server ends. Returns whether the stream must go to no
  // other server.
  bool endServer(const PromptParts &parts, int events) {
    Break it = breakStream(parts, events);
    reportServerEnd(Guard, it.Server, Now);
    return it.IsLast;
  }
};

} // namespace

BOOST_TEST_DONT_PRINT_LOG_VALUE(PartState)

BOOST_FIXTURE_TEST_SUITE(BrokenStreams, StreamFixture)

// Guards against a stream that ends server after server each time it comes
// again, because all parts of its prompt are known to be sound.
BOOST_AUTO_TEST_CASE(stream_endingServersWithSoundParts_isBlocked) {
  for (int events : {0, 5}) {
    StreamFixture site;
    BOOST_TEST(!site.endServer(site.Crashing, events));
    BOOST_TEST(!site.endServer(site.Crashing, events));
    BOOST_TEST(site.stateOf(site.Crashing) == PartState::Suspect);
    for (int i = 0; i < 2; ++i) {
      site.Now += 2s;
      BOOST_TEST(site.endServer(site.Crashing, events));
    }
    BOOST_TEST(site.stateOf(site.Crashing) == PartState::Blocked);
    BOOST_TEST(site.stateOf(site.Sound) == PartState::Clear);
  }
}

// Guards against a stream that is blocked because the server where it ran ended
// for another reason: it goes on at another server.
BOOST_AUTO_TEST_CASE(stream_resumedAfterServersEnd_isNoSuspect) {
  for (int i = 0; i < 4; ++i) {
    BOOST_TEST(!endServer(Crashing, 5));
    Now += 2s;
    reportSurvival(Guard, Crashing, Now);
    BOOST_TEST(stateOf(Crashing) == PartState::Clear);
    Now += 70s;
    expireEvidence(Guard.Evidence, Now);
    expireEvidence(Guard.Evidence, Now + 70s);
  }
}

// The first events of a stream show nothing of what the rest of it does.
BOOST_AUTO_TEST_CASE(stream_answeredBeyondItsBeginning_staysSuspectAsAWhole) {
  endServer(Crashing, 5);
  endServer(Crashing, 5);
  reportBeginning(Guard, Crashing, Now);
  BOOST_TEST(stateOf(Crashing) == PartState::Suspect);
  reportSurvival(Guard, Crashing, Now);
  BOOST_TEST(stateOf(Crashing) == PartState::Clear);
}

// Guards against streams of one caller that are blocked because they ran at
// servers that lost their power together.
BOOST_AUTO_TEST_CASE(alikeStreams_atServersThatEndTogether_areTried) {
  std::vector<ServerRecord> servers(6);
  for (ServerRecord &it : servers)
    it = breakStream(Crashing, 5).Server;
  for (const ServerRecord &it : servers)
    reportServerEnd(Guard, it, Now);
  BOOST_TEST(stateOf(Crashing) == PartState::Suspect);
}

// A break keeps those parts only that may have crashed the server.
BOOST_AUTO_TEST_CASE(break_ofStreamWithManyParts_keepsFewOfThem) {
  std::vector<std::string> names(5000);
  for (std::size_t i = 0; i < names.size(); ++i)
    names[i] = "part-" + std::to_string(i);
  PromptParts parts =
      requestPartsOf({"helper"}, names, {"POST", "/draft/2", {"t"}, ""});
  BOOST_TEST(parts.Ids.size() == names.size() + 1);
  BOOST_TEST(describeParts(parts).starts_with("part-0,part-1,"));
  BOOST_TEST(describeParts(parts).size() < 300);
  BrokenAttempt attempt;
  attempt.IsDisconnected = true;
  reportBreak(Guard, parts, attempt, Now);
  reportBreak(Guard, Crashing, attempt, Now);
  BOOST_REQUIRE(Guard.Breaks.size() == 2);
  BOOST_TEST(Guard.Breaks[0].Parts.Ids.size() ==
             Guard.Evidence.Limits.MaxParts);
  // The parts "a" and "b" are known to be sound.
  BOOST_TEST(Guard.Breaks[1].Parts.Ids.size() == 1);
  BOOST_TEST(Guard.Breaks[1].Parts.HasWholeRequest);
}

// Guards against a whole request that is blocked instead of a part of its
// prompt, because the requests with that part are alike in all else.
BOOST_AUTO_TEST_CASE(alikeRequests_withACrashingPart_areTriedWithoutIt) {
  RequestFingerprint alike{"POST", "/draft/1", {"t"}, "the same question"};
  PromptParts crashing = requestPartsOf({"helper"}, {"a", "bad"}, alike);
  PromptParts sound = requestPartsOf({"helper"}, {"a", "b"}, alike);
  for (int i = 0; i < 4; ++i) {
    BrokenAttempt attempt;
    attempt.Server.Id = {"i-1"};
    attempt.Server.StartedMs = NextStart++;
    attempt.IsDisconnected = true;
    attempt.IsTrial = startTrial(Guard.Evidence, crashing.Ids, Now);
    reportBreak(Guard, crashing, attempt, Now);
    endTrial(Guard.Evidence, crashing.Ids);
    reportServerEnd(Guard, attempt.Server, Now);
    Now += 1s;
  }
  BOOST_TEST(stateOf(crashing) == PartState::Blocked);
  BOOST_TEST(stateOf(sound) == PartState::Suspect);
  reportSurvival(Guard, sound, Now);
  BOOST_TEST(stateOf(sound) == PartState::Clear);
  BOOST_TEST(stateOf(crashing) == PartState::Blocked);
}

BOOST_AUTO_TEST_SUITE_END()
