#include "greengagespar/store/object_client.h"

#include "../../src/store/repeating_server.h"
#include <boost/test/unit_test.hpp>
#include <optional>

using namespace greengagespar;
using namespace std::chrono_literals;

namespace {

constexpr CopyTime CopyTimes[] = {CopyTime::Never, CopyTime::WithAnswer,
                                  CopyTime::WhileIdle, CopyTime::WithNext};

bool asksFor(const std::string &request, std::string_view text) {
  return request.substr(0, request.find("\r\n")).find(text) !=
         std::string::npos;
}

/// A client of a server that sends answers once more.
struct RepeatFixture {
  RepeatingServer Server;
  ObjectClient Client{
      Server.Loop.get(),
      ObjectClientOptions{.Platform = Server.At, .RequestTimeout = 500ms}};

  explicit RepeatFixture(CopyTime time) { Server.Time = time; }

  /// Calls \p start with a callback and returns the value that it receives;
  /// empty if the call failed.
  template <class T, class Start> std::optional<T> valueOf(Start start) {
    std::optional<T> value;
    bool isDone = false;
    start([&](Result<T> result) {
      if (result)
        value = result.value();
      isDone = true;
    });
    Server.runUntil([&] { return isDone; }, 2s);
    return value;
  }

  /// Waits until a copy that comes while a connection is idle has come.
  void rest() const {
    if (Server.Time == CopyTime::WhileIdle)
      Server.runUntil([] { return false; }, RepeatingServer::CopyDelay * 3);
  }

  std::optional<PutOutcome> put(const std::string &path) {
    rest();
    return valueOf<PutOutcome>([&](auto done) {
      Client.put(path, {{"k", 1}}, ObjectVersion{3}, std::move(done));
    });
  }

  std::optional<Object> get(const std::string &path) {
    rest();
    return valueOf<Object>(
        [&](auto done) { Client.get(path, std::move(done)); });
  }

  std::optional<Listing> list(const std::string &prefix) {
    rest();
    return valueOf<Listing>(
        [&](auto done) { Client.list(prefix, "", std::move(done)); });
  }

  std::optional<WatchAnswer> watch(const std::string &prefix) {
    rest();
    return valueOf<WatchAnswer>([&](auto done) {
      Client.watch(prefix, ObjectVersion{3}, 100ms, 400ms, std::move(done));
    });
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(RepeatedAnswers)

// Guards against a lost write that is believed: the copy of an earlier write's
// answer was taken for the answer to the next one.
BOOST_AUTO_TEST_CASE(put_conflictAfterCopyOfSuccess_isConflict) {
  for (CopyTime time : CopyTimes)
    BOOST_TEST_CONTEXT("copy time " << static_cast<int>(time)) {
      RepeatFixture fixture(time);
      fixture.Server.Answer = [](const std::string &request) {
        return asksFor(request, "/a?")
                   ? RepeatingServer::answerOf(200, R"({"version":9})")
                   : RepeatingServer::answerOf(409, R"({"version":5})");
      };
      auto first = fixture.put("/a");
      auto second = fixture.put("/b");
      BOOST_REQUIRE((first && second));
      BOOST_TEST((first->State == WriteState::Written));
      BOOST_TEST((second->State == WriteState::Conflict));
      BOOST_TEST(second->Version.Value == 5U);
      BOOST_TEST(fixture.Server.Requests == 2);
    }
}

// Guards against the objects of one prefix being taken for those of another,
// for which all others would then be gone.
BOOST_AUTO_TEST_CASE(list_afterCopyOfAnotherList_isItsOwn) {
  for (CopyTime time : CopyTimes)
    BOOST_TEST_CONTEXT("copy time " << static_cast<int>(time)) {
      RepeatFixture fixture(time);
      fixture.Server.Answer = [](const std::string &request) {
        return asksFor(request, "teams")
                   ? RepeatingServer::answerOf(200,
                                               R"({"revision":9,"objects":[]})")
                   : RepeatingServer::answerOf(200, R"({"revision":9,"objects":[
                         {"path":"/b/x","version":7,"value":1}]})");
      };
      auto first = fixture.list("/teams/");
      auto second = fixture.list("/b/");
      BOOST_REQUIRE((first && second));
      BOOST_TEST(first->Objects.empty());
      BOOST_TEST(second->Objects.size() == 1U);
    }
}

// Guards against a configuration that regresses: the copy of an earlier read
// was taken for the answer to a later one.
BOOST_AUTO_TEST_CASE(get_afterCopyOfEarlierVersion_isLater) {
  for (CopyTime time : CopyTimes)
    BOOST_TEST_CONTEXT("copy time " << static_cast<int>(time)) {
      RepeatFixture fixture(time);
      int version = 3;
      fixture.Server.Answer = [&](const std::string &) {
        return RepeatingServer::answerOf(200, R"({"path":"/a","version":)" +
                                                  std::to_string(version++) +
                                                  R"(,"value":1})");
      };
      for (std::uint64_t expected : {3U, 4U, 5U}) {
        auto object = fixture.get("/a");
        BOOST_REQUIRE(object.has_value());
        BOOST_TEST(object->Version.Value == expected);
      }
    }
}

// Guards against a watch that takes the copy of another prefix's answer, and
// with its revision skips the changes up to there.
BOOST_AUTO_TEST_CASE(watch_afterCopyOfAnotherWatch_isItsOwn) {
  for (CopyTime time : CopyTimes)
    BOOST_TEST_CONTEXT("copy time " << static_cast<int>(time)) {
      RepeatFixture fixture(time);
      fixture.Server.Answer = [](const std::string &request) {
        return asksFor(request, "teams")
                   ? RepeatingServer::answerOf(
                         200, R"({"revision":9,"objects":[],"deleted":[]})")
                   : RepeatingServer::answerOf(200, R"({"revision":8,"objects":[
                         {"path":"/b/x","version":7,"value":1}],"deleted":[]})");
      };
      auto first = fixture.watch("/teams/");
      auto second = fixture.watch("/b/");
      BOOST_REQUIRE((first && second));
      BOOST_TEST(first->Revision.Value == 9U);
      BOOST_TEST(second->Revision.Value == 8U);
      BOOST_TEST(second->Objects.size() == 1U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
