#include "crash_site.h"

using namespace greengagespar;
using namespace greengagespar::site;
using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_SUITE(CrashingParts, CrashFixture)

// Guards against requests with one part in their prompts that end server after
// server, because no entry remembers what they have in common.
BOOST_AUTO_TEST_CASE(crashingPart_atSingleServers_endsFewServers) {
  checkCrashes(2500ms, 20);
  BOOST_TEST(servedShare(40) >= 0.9);
}

// The same with one group: all ranks stall when one ends, and calls of sound
// ranks break off too.
BOOST_AUTO_TEST_CASE(crashingPart_atGroup_endsFewRanks) {
  IsGroup = true;
  checkCrashes(22s, 100);
  steps(StallTime + FormTime);
  BOOST_TEST(servedShare(40) >= 0.9);
}

// Guards against a part that is never blocked as its servers end before they
// have sent the head of an answer, which a lost answer looks like.
BOOST_AUTO_TEST_CASE(crashingPart_endingServersBeforeTheHead_endsFewServers) {
  EndsBeforeHead = true;
  checkCrashes(6s, 40);
  BOOST_TEST(servedShare(40) >= 0.9);
}

// The same with one group, whose other ranks stall and refuse.
BOOST_AUTO_TEST_CASE(crashingPart_endingRanksBeforeTheHead_endsFewRanks) {
  EndsBeforeHead = true;
  IsGroup = true;
  checkCrashes(22s, 100);
  steps(StallTime + FormTime);
  BOOST_TEST(servedShare(40) >= 0.9);
}

// Guards against parts that are blocked as they waited at servers which lost
// their power together.
BOOST_AUTO_TEST_CASE(parts_waitingAtServersThatEndTogether_areServed) {
  addServers(6);
  startEntries(1);
  FakeServer::Script waits = [](const auto &) {
    return FakeAnswer{.SendsNothing = true};
  };
  for (auto &server : Servers)
    server->Respond = waits;
  for (int i = 0; i < 12; ++i)
    sendParts(0, "shared:40");
  steps(50ms);
  std::vector<std::string> ids;
  for (auto &server : Servers)
    ids.push_back(server->id());
  for (const std::string &id : ids)
    crash(id);
  steps(500ms);
  Call &call = sendParts(0, "shared:40");
  steps(300ms);
  BOOST_TEST(call.Response.Head.Status == 200);
}

// An entry that starts later learns from its peers what is blocked.
BOOST_AUTO_TEST_CASE(crashingPart_atEntryStartedLater_isRefused) {
  addServers(12);
  startEntries(3);
  sendMix(1500ms);
  int before = BadArrived;
  startOne();
  Entries[0].Process.reset();
  Entries.erase(Entries.begin());
  steps(1500ms);
  for (int i = 0; i < 20; ++i) {
    Call &call = sendParts(Entries.size() - 1, withFirst("bad00:300"));
    steps(20ms);
    BOOST_TEST(call.Response.Head.Status == 503);
    // The caller is told not to come back soon.
    const std::string *after =
        findField(call.Response.Head.Fields, "Retry-After");
    BOOST_REQUIRE(after);
    BOOST_TEST(std::stod(*after) > 60);
  }
  BOOST_TEST(BadArrived == before);
  BOOST_TEST(servedShare(40) >= 0.9);
}

// Guards against a block of a part that much of the traffic has, because it is
// in progress wherever a server ends for another reason.
BOOST_AUTO_TEST_CASE(popularPart_atOrdinaryCrashes_isServed) {
  addServers(12);
  startEntries(3);
  for (int i = 0; i < 6; ++i) {
    CrashesNext = true;
    for (int j = 0; j < 8; ++j) {
      sendParts(Rng(), "hot:900");
      steps(15ms);
    }
    steps(200ms);
  }
  BOOST_TEST(Crashes == 6);
  int served = 0;
  for (int i = 0; i < 30; ++i) {
    Call &call = sendParts(Rng(), "hot:900");
    steps(120ms);
    served += call.Response.Head.Status == 200 ? 1 : 0;
  }
  BOOST_TEST(served == 30);
}

// Guards against a server that counts as crashed because an answer was lost.
BOOST_AUTO_TEST_CASE(request_resetBeforeTheAnswerBegins_isServedByAnother) {
  addServers(3);
  startEntries(1);
  for (std::uint64_t i = 0; i < 4; ++i) {
    DropsNext = true;
    Call &call = sendParts(0, numbered("b", i));
    steps(300ms);
    BOOST_TEST(!DropsNext);
    BOOST_TEST(call.Response.Head.Status == 200);
  }
}

// Guards against a server that counts as crashed because it drops connections
// that were idle.
BOOST_AUTO_TEST_CASE(request_onConnectionDroppedWhenIdle_isServedByAnother) {
  addServers(3);
  startEntries(1);
  for (std::uint64_t i = 0; i < 6; ++i) {
    sendParts(0, numbered("b", i));
    steps(100ms);
  }
  DropsNext = true;
  Call &call = sendParts(0, "b9:40");
  steps(300ms);
  BOOST_TEST(!DropsNext);
  BOOST_TEST(call.Response.Head.Status == 200);
  Call &next = sendParts(0, "b9:40");
  steps(300ms);
  BOOST_TEST(next.Response.Head.Status == 200);
}

// A request whose server ends as it begins is not sent to a second one.
BOOST_AUTO_TEST_CASE(request_whoseServerEndedAtOnce_takesNoSecondServer) {
  addServers(12);
  startEntries(1);
  Call &call = sendParts(0, "bad00:300");
  steps(400ms);
  BOOST_TEST(Crashes == 1);
  BOOST_TEST(call.Response.Head.Status == 502);
}

BOOST_AUTO_TEST_SUITE_END()
