#include "greengagespar/store/prefix_watch.h"

#include "scripted_server.h"
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

using namespace greengagespar;
using namespace std::chrono_literals;

namespace {

ScriptedAnswer listing(int revision) {
  return {200, R"({"revision":)" + std::to_string(revision) +
                   R"(,"objects":[{"path":"/p/a","version":1,"value":1}]})"};
}

ScriptedAnswer change(int revision) {
  return {200, R"({"revision":)" + std::to_string(revision) +
                   R"(,"objects":[],"deleted":["/p/a"]})"};
}

ScriptedAnswer from(int timeline, ScriptedAnswer answer) {
  answer.Timeline = timeline;
  return answer;
}

/// Answers requests one by one from a script, then repeats its last answer.
struct WatchFixture {
  ScriptedServer Server;
  const ObjectApi *Api = &ownObjectApi();
  ObjectClient Client{
      Server.Loop.get(),
      {.Platform = Server.At, .RequestTimeout = 100ms, .Api = Api}};
  std::vector<ScriptedAnswer> Script;
  std::vector<PrefixChange> Changes;
  int Failures = 0;
  PollSlot Slot;
  PrefixWatch Watch{Server.Loop.get(),
                    Client,
                    {.Prefix = "/p/",
                     .Spread = {.Wait = 50ms},
                     .Slot = [this] { return Slot; },
                     .ExpectedWithin = 20ms,
                     .Pause = {.Min = 1ms, .Max = 1ms},
                     .Grace = {.Min = 50ms, .Max = 200ms},
                     .RestoreSpread = 5ms,
                     .Retry = {.Base = 1ms, .Cap = 4ms},
                     .RelistAfter = 20ms},
                    1,
                    [this](const PrefixChange &c) { Changes.push_back(c); },
                    [this](const Error &) { ++Failures; }};

  explicit WatchFixture(const ObjectApi &api = ownObjectApi()) : Api(&api) {
    Server.Answer = [this](auto &) {
      return Script.at(std::min(Server.Requests.size(), Script.size()) - 1);
    };
  }
  void runScript() {
    Watch.start();
    Server.runUntil([&] {
      return Server.Requests.size() >= Script.size() && !Changes.empty() &&
             Changes.size() + Failures >= Script.size();
    });
  }
  bool lists(std::size_t i) const {
    return Server.Requests.at(i).Target.starts_with("/v1/list");
  }
  bool watchesAfter(std::size_t i, const std::string &revision) const {
    return Server.Requests.at(i).Target.find("after=" + revision + "&") !=
           std::string::npos;
  }
};

// Reads the members "next" and "incomplete" besides those of a whole list.
Result<Listing> parsePart(std::string_view body) {
  BOOST_LEAF_AUTO(listing, parseListing(body));
  boost::json::value parsed = boost::json::parse({body.data(), body.size()});
  listing.Next = parsed.at("next").as_string().c_str();
  listing.IsIncomplete = parsed.as_object().contains("incomplete");
  return listing;
}

ScriptedAnswer part(int revision, const std::string &path,
                    const std::string &next) {
  return {200, R"({"revision":)" + std::to_string(revision) +
                   R"(,"objects":[{"path":")" + path +
                   R"(","version":1,"value":1}],"next":")" + next + "\"}"};
}

ScriptedAnswer emptyPart(int revision, const std::string &next) {
  return {200, R"({"revision":)" + std::to_string(revision) +
                   R"(,"objects":[],"next":")" + next + "\"}"};
}

/// A watch of a store that lists in parts.
struct PartsFixture : WatchFixture {
  static const ObjectApi &api() {
    static const ObjectApi api = [] {
      ObjectApi it = ownObjectApi();
      it.ParseListing = parsePart;
      return it;
    }();
    return api;
  }

  PartsFixture() : WatchFixture(api()) {}
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(WatchedPrefix, WatchFixture)

BOOST_AUTO_TEST_CASE(watch_changes_areReportedInOrder) {
  Script = {listing(5), change(6), change(8)};
  runScript();
  BOOST_TEST(lists(0));
  BOOST_TEST(Changes.at(0).IsSnapshot);
  BOOST_TEST(watchesAfter(1, "5"));
  BOOST_TEST(watchesAfter(2, "6"));
  BOOST_TEST(Changes.at(2).Revision.Value == 8);
}

// Adaptive batching of changes: each of 149 watches follows 198 servers that
// register within two seconds, a while after the watch began, and later one
// change more.
BOOST_AUTO_TEST_CASE(pause_manyChanges_takesFewPollsAndEndsWhenQuiet) {
  const PauseOptions options{.Min = 100ms, .Max = 700ms};
  constexpr auto gap = 10ms;
  constexpr auto roundTrip = 8ms;
  std::chrono::milliseconds now = 0ms;
  std::chrono::milliseconds pause = options.Min;
  std::chrono::milliseconds seen = 0ms;
  const std::chrono::milliseconds first = 3000ms;
  const std::chrono::milliseconds last = first + 198 * gap;
  int polls = 0;
  while (seen < last) {
    now += pause;
    ++polls;
    std::chrono::milliseconds next =
        std::max({now, first, std::min(last, seen + gap)});
    pause = pauseAfterAnswer(pause, next - now + roundTrip, options);
    now = next + roundTrip;
    BOOST_TEST(
        (now - seen <= options.Max + gap + 2 * roundTrip || next == first));
    seen = std::min(next, last);
  }
  BOOST_TEST(polls <= 8);
  // The next change comes when the poll has waited for a while.
  BOOST_TEST((pauseAfterAnswer(pause, 2000ms, options) == options.Min));
}

BOOST_AUTO_TEST_CASE(watch_outageAndTimeout_continueAfterLastRevision) {
  Script = {listing(5), {503, ""}, {0, ""}, {-1, ""}, change(7)};
  runScript();
  BOOST_TEST(Failures == 3);
  BOOST_TEST(watchesAfter(4, "5"));
  BOOST_TEST(Changes.back().Revision.Value == 7);
}

// The platform's answers become slow (5 s), then fast again. The grace must
// follow, so that the watch soon detects an unresponsive connection again.
BOOST_AUTO_TEST_CASE(grace_afterLostAndLateAnswers_staysInBounds) {
  const GraceOptions options{.Min = 1500ms, .Max = 8000ms};
  auto grace = options.Min;
  int lost = 0;
  while (grace < 5000ms) {
    grace = graceAfterLoss(grace, options);
    ++lost;
  }
  BOOST_TEST(lost == 2);
  BOOST_TEST((graceAfterAnswer(5000ms, options) == options.Max));
  BOOST_TEST((graceAfterAnswer(10ms, options) == options.Min));
  BOOST_TEST((graceAfterAnswer(-900ms, options) == options.Min));
  BOOST_TEST((graceAfterLoss(options.Max, options) == options.Max));
}

BOOST_AUTO_TEST_CASE(watch_revisionTooOld_listsAgain) {
  Script = {listing(5), {410, ""}, listing(30)};
  Watch.start();
  Server.runUntil([&] { return Changes.size() == 2; });
  BOOST_TEST(lists(2));
  BOOST_TEST(Changes.at(1).IsSnapshot);
}

BOOST_AUTO_TEST_CASE(listAgain_staleRead_isNotReported) {
  Script = {listing(5), change(9), listing(6), listing(10)};
  Watch.start();
  Server.runUntil([&] { return Changes.size() == 2; });
  Watch.listAgain();
  Server.runUntil([&] { return Changes.size() == 3; });
  BOOST_TEST(Failures == 1);
  BOOST_TEST(Changes.at(2).Revision.Value == 10);
}

// Guards against a watch that takes each answer of a restored store for a stale
// read, because its revisions have gone back.
BOOST_AUTO_TEST_CASE(watch_restoredStore_listsAgainFromLowerRevision) {
  Script = {from(1, listing(9)), from(2, {410, ""}), from(2, listing(4)),
            from(2, change(5))};
  Watch.start();
  Server.runUntil([&] { return Changes.size() == 3; });
  BOOST_TEST(lists(2));
  BOOST_TEST(Changes.at(1).IsSnapshot);
  BOOST_TEST(Changes.at(1).IsRestored);
  BOOST_TEST(Changes.at(1).Revision.Value == 4);
  BOOST_TEST(watchesAfter(3, "4"));
  BOOST_TEST(!Changes.at(2).IsRestored);
  BOOST_TEST(Failures == 0);
}

// Guards against a watch that goes on from a revision of before the restore
// when the revision has passed it, and misses what was written under lower
// numbers.
BOOST_AUTO_TEST_CASE(watch_restoredStoreWithHigherRevision_listsAgain) {
  Script = {
      from(1, listing(5)), {0, ""}, from(2, change(8)), from(2, listing(8))};
  Watch.start();
  Server.runUntil([&] { return Changes.size() == 2; });
  BOOST_TEST(lists(3));
  BOOST_TEST(Changes.at(1).IsRestored);
}

// Guards against processes whose polls all end at the same moment: after a
// change each waits for its own share, and then for the whole time.
BOOST_AUTO_TEST_CASE(watch_slotOfSeveral_waitsUntilItsTurnAfterAChange) {
  Slot = {.Position = 1, .Count = 5};
  ScriptedAnswer nothing{200, R"({"revision":7,"objects":[],"deleted":[]})"};
  Script = {listing(5), change(7), nothing, nothing, change(8), nothing};
  runScript();
  auto waits = [&](std::size_t i, const std::string &ms) {
    return Server.Requests.at(i).Target.ends_with("timeout_ms=" + ms);
  };
  BOOST_TEST(waits(1, "20"));
  BOOST_TEST(waits(2, "20"));
  BOOST_TEST(waits(3, "50"));
  BOOST_TEST(waits(4, "50"));
  BOOST_TEST(waits(5, "20"));
}

// Guards against a long poll from a revision that a restored store has given
// out again: the store would hold it although other changes were written.
BOOST_AUTO_TEST_CASE(watch_firstPollAfterFailure_doesNotWait) {
  Script = {listing(5), {0, ""}, change(7), change(8)};
  runScript();
  auto waits = [&](std::size_t i, const std::string &ms) {
    return Server.Requests.at(i).Target.ends_with("timeout_ms=" + ms);
  };
  BOOST_TEST(waits(1, "50"));
  BOOST_TEST(waits(2, "1"));
  BOOST_TEST(waits(3, "50"));
}

// Guards against a long poll that the store has lost without a sign: another
// process has received a change, and the poll does not report it.
BOOST_AUTO_TEST_CASE(expect_changeThatThePollMisses_asksAgain) {
  Watch.setSpread({.Wait = 60s});
  Script = {listing(5), {-1, ""}, change(7)};
  Watch.start();
  Server.runUntil([&] { return Server.Requests.size() == 2; });
  Watch.expect(ObjectVersion(6));
  Server.runUntil([&] { return Changes.size() == 2; });
  BOOST_TEST(Changes.at(1).Revision.Value == 7);
  BOOST_TEST(watchesAfter(2, "5"));
  BOOST_TEST(Server.Requests.at(2).ClientPort !=
             Server.Requests.at(1).ClientPort);
  BOOST_TEST(Watch.overtakenPolls() == 1U);
  BOOST_TEST(Failures == 0);
}

BOOST_AUTO_TEST_CASE(expect_knownOrRepeatedChange_asksOnce) {
  Watch.setSpread({.Wait = 60s});
  Script = {listing(5),
            {-1, ""},
            {200, R"({"revision":5,"objects":[],"deleted":[]})"},
            {-1, ""}};
  Watch.start();
  Server.runUntil([&] { return Server.Requests.size() == 2; });
  auto stop = Clock::now() + 500ms;
  while (Clock::now() < stop) {
    Watch.expect(ObjectVersion(5));
    Watch.expect(ObjectVersion(6));
    event_base_loop(Server.Loop.get(), EVLOOP_NONBLOCK);
  }
  BOOST_TEST(Server.Requests.size() == 4U);
  BOOST_TEST(Watch.overtakenPolls() == 1U);
}

BOOST_AUTO_TEST_CASE(watch_failureOfRestoredStore_listsAgain) {
  Script = {from(1, listing(5)), from(2, {503, ""}), from(2, listing(3))};
  Watch.start();
  Server.runUntil([&] { return Changes.size() == 2; });
  BOOST_TEST(lists(2));
  BOOST_TEST(Changes.at(1).Revision.Value == 3);
}

BOOST_AUTO_TEST_CASE(watch_twoRestores_listsAfterEach) {
  Script = {from(1, listing(9)), from(2, {503, ""}), from(3, {503, ""}),
            from(3, listing(4)), from(3, change(5))};
  Watch.start();
  Server.runUntil([&] { return Changes.size() == 3; });
  BOOST_TEST(Changes.at(1).IsRestored);
  BOOST_TEST(Changes.at(1).Revision.Timeline.Value == 3U);
  BOOST_TEST(Changes.at(1).Revision.Value == 4);
}

BOOST_AUTO_TEST_CASE(list_lateAnswerOfEarlierTimeline_isNotReported) {
  Script = {from(1, listing(5)), from(2, {503, ""}), from(1, listing(9)),
            from(2, listing(3))};
  Watch.start();
  Server.runUntil([&] { return Changes.size() == 2; });
  BOOST_TEST(Failures == 1);
  BOOST_TEST(Changes.at(1).Revision.Value == 3);
}

BOOST_AUTO_TEST_CASE(watch_storeWithoutTimeline_keepsRefusingStaleReads) {
  Script = {from(3, listing(5)), {410, ""}, listing(4), listing(6)};
  Watch.start();
  Server.runUntil([&] { return Changes.size() == 2; });
  BOOST_TEST(Failures == 1);
  BOOST_TEST(!Changes.at(1).IsRestored);
  BOOST_TEST(Changes.at(1).Revision.Value == 6);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(WatchedPrefixInParts, PartsFixture)

// Guards against one list of parts from before and from behind a restore.
BOOST_AUTO_TEST_CASE(list_restoredBetweenParts_beginsAgain) {
  Script = {from(1, part(9, "/p/a", "a")), from(2, part(4, "/p/b", "")),
            from(2, part(4, "/p/c", "c")), from(2, part(5, "/p/d", ""))};
  Watch.start();
  Server.runUntil([&] { return Changes.size() == 1; });
  BOOST_TEST(Server.Requests.size() == 4U);
  BOOST_TEST(Changes.at(0).Revision.Value == 4);
  BOOST_REQUIRE(Changes.at(0).Objects.size() == 2U);
  BOOST_TEST(Changes.at(0).Objects.at(0).Path == "/p/c");
  BOOST_TEST(Changes.at(0).Objects.at(1).Path == "/p/d");
}

// Parts of a list whose entries can't be read, at the beginning, in the midst,
// two in a row and at the end, cost none of the others.
BOOST_AUTO_TEST_CASE(list_withPartsWithoutObjects_isReportedAsAWhole) {
  Script = {emptyPart(5, "b"), part(6, "/p/c", "d"), emptyPart(6, "e"),
            emptyPart(6, "f"), part(6, "/p/g", "h"), emptyPart(6, "")};
  Watch.start();
  Server.runUntil([&] { return !Changes.empty(); });
  const PrefixChange &change = Changes.at(0);
  BOOST_TEST(change.IsSnapshot);
  BOOST_TEST(change.Objects.size() == 2);
  // The changes made since the first part are still to be reported.
  BOOST_TEST(change.Revision.Value == 5);
}

// Guards against objects that count as removed because a part of the list that
// would name them can't be read.
BOOST_AUTO_TEST_CASE(list_thatIsIncomplete_isNoSnapshotAndReadAgain) {
  const std::vector<ScriptedAnswer> parts = {
      part(5, "/p/a", "a"),
      {200, R"({"revision":5,"objects":[],"next":"","incomplete":1})"},
      part(7, "/p/a", "a"),
      part(7, "/p/b", "")};
  std::size_t listed = 0;
  Server.Answer = [&](auto &request) {
    bool isList = request.Target.starts_with("/v1/list");
    return isList ? parts.at(std::min(listed++, parts.size() - 1)) : change(6);
  };
  Watch.start();
  Server.runUntil(
      [&] { return !Changes.empty() && Changes.back().IsSnapshot; });
  BOOST_TEST(!Changes.at(0).IsSnapshot);
  BOOST_TEST(Changes.at(0).IsIncompleteList);
  BOOST_TEST(Changes.at(0).Objects.size() == 1);
  BOOST_TEST(Changes.at(0).Unreadable.size() == 1);
  // Polls go on from the incomplete list.
  BOOST_TEST(watchesAfter(2, "5"));
  BOOST_TEST(!Changes.at(1).IsIncompleteList);
  BOOST_TEST(Changes.back().Objects.size() == 2);
}

// Guards against a list that never ends.
BOOST_AUTO_TEST_CASE(list_leadingBackToAnEarlierPart_isIncomplete) {
  Script = {part(5, "/p/a", "a"), part(5, "/p/b", "b"), part(5, "/p/a", "a")};
  Watch.start();
  Server.runUntil([&] { return !Changes.empty(); });
  BOOST_TEST(!Changes.at(0).IsSnapshot);
  BOOST_TEST(Changes.at(0).IsIncompleteList);
}

BOOST_AUTO_TEST_SUITE_END()
