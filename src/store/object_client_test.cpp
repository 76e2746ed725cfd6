#include "greengagespar/store/object_client.h"

#include "scripted_server.h"
#include <boost/test/unit_test.hpp>
#include <optional>

using namespace greengagespar;
using namespace std::chrono_literals;

namespace {

/// A client of a scripted server.
struct ClientFixture {
  ScriptedServer Server;
  ObjectClientOptions Options{.Platform = Server.At, .RequestTimeout = 200ms};
  ObjectClient Client{Server.Loop.get(), Options};

  /// Calls \p start with a callback and returns the kind of error that the
  /// callback receives, or nothing on success.
  template <class T, class Start>
  std::optional<ErrorKind> failureKind(Start start) {
    std::optional<ErrorKind> kind;
    bool done = false;
    start([&](Result<T> result) {
      kind = recoverFrom(
          [&]() -> Result<std::optional<ErrorKind>> {
            BOOST_LEAF_CHECK(std::move(result));
            return std::optional<ErrorKind>();
          },
          [](const Error &e) { return std::optional(e.Kind); });
      done = true;
    });
    Server.runUntil([&] { return done; });
    return kind;
  }

  PutOutcome put(std::optional<ObjectVersion> ifVersion) {
    std::optional<PutOutcome> outcome;
    Client.put("/teams/a b/x", {{"k", 1}}, ifVersion,
               [&](Result<PutOutcome> result) { outcome = result.value(); });
    Server.runUntil([&] { return outcome.has_value(); });
    return *outcome;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ObjectClientCalls, ClientFixture)

BOOST_AUTO_TEST_CASE(get_presentObject_isParsed) {
  Server.Answer = [](auto &) {
    return ScriptedAnswer{200, R"({"path":"/a","version":7,"value":{"b":1}})"};
  };
  std::optional<Object> object;
  Client.get("/a", [&](Result<Object> result) { object = result.value(); });
  BOOST_TEST(!object.has_value());
  Server.runUntil([&] { return object.has_value(); });
  BOOST_TEST(object->Version.Value == 7);
  BOOST_TEST(Server.Requests.at(0).Target == "/v1/objects/a");
}

BOOST_AUTO_TEST_CASE(get_failures_haveTheirKind) {
  struct Case {
    ScriptedAnswer Answer;
    ErrorKind Kind;
  };
  const Case cases[] = {
      {{404, ""}, ErrorKind::NotFound},
      {{500, ""}, ErrorKind::PlatformUnavailable},
      {{0, ""}, ErrorKind::PlatformUnavailable},
      {{-1, ""}, ErrorKind::PlatformUnavailable},
      {{200, "no json"}, ErrorKind::BadRequest},
  };
  for (const Case &c : cases) {
    Server.Answer = [&](auto &) { return c.Answer; };
    auto kind = failureKind<Object>(
        [&](auto done) { Client.get("/a", std::move(done)); });
    BOOST_TEST_CONTEXT("status " << c.Answer.Status)
    BOOST_TEST((kind == c.Kind));
  }
  BOOST_TEST(Client.counts().Sent[0] == std::size(cases));
  BOOST_TEST(Client.counts().Lost[0] == 2U);
}

BOOST_AUTO_TEST_CASE(put_answers_becomeOutcomes) {
  struct Case {
    ScriptedAnswer Answer;
    WriteState State;
  };
  const Case cases[] = {
      {{200, R"({"version":9})"}, WriteState::Written},
      {{409, R"({"version":9})"}, WriteState::Conflict},
      {{409, "{}"}, WriteState::Unknown},
      {{503, ""}, WriteState::Unknown},
      {{0, ""}, WriteState::Unknown},
      {{-1, ""}, WriteState::Unknown},
  };
  for (const Case &c : cases) {
    Server.Answer = [&](auto &) { return c.Answer; };
    PutOutcome outcome = put(ObjectVersion{3});
    BOOST_TEST_CONTEXT("status " << c.Answer.Status)
    BOOST_TEST((outcome.State == c.State));
  }
  BOOST_TEST(Server.Requests.at(0).Target ==
             "/v1/objects/teams/a%20b/x?if_version=3");
  BOOST_TEST(Server.Requests.at(0).Body == R"({"k":1})");
}

// Guards against a condition on a version of before a restore: its number may
// have been given out again, to an object with other contents.
BOOST_AUTO_TEST_CASE(put_versionOfBeforeRestore_isConflictAndNotSent) {
  Server.Timeline = 2;
  Server.Answer = [](auto &) {
    return ScriptedAnswer{200, R"({"path":"/a","version":3,"value":1})"};
  };
  auto read = [&] {
    return failureKind<Object>(
        [&](auto done) { Client.get("/a", std::move(done)); });
  };
  read();
  Server.Timeline = 3;
  read();
  std::size_t before = Server.Requests.size();
  BOOST_TEST(
      (put(ObjectVersion{3, StoreTimeline{2}}).State == WriteState::Conflict));
  BOOST_TEST(Server.Requests.size() == before);
  PutOutcome outcome = put(ObjectVersion{3, StoreTimeline{3}});
  BOOST_TEST((outcome.State == WriteState::Written));
  BOOST_TEST((outcome.Version == ObjectVersion{3, StoreTimeline{3}}));
  // That no object exists is a condition in any timeline.
  BOOST_TEST((put(ObjectVersion{0}).State == WriteState::Written));
}

BOOST_AUTO_TEST_CASE(put_restoredBeforeAnswer_isUnknown) {
  Server.Answer = [](auto &) {
    return ScriptedAnswer{200, R"({"version":9})"};
  };
  Server.Timeline = 2;
  BOOST_TEST(
      (put(ObjectVersion{3, StoreTimeline{1}}).State == WriteState::Unknown));
}

// Guards against an answer of before a restore that arrives late and passes for
// news.
BOOST_AUTO_TEST_CASE(get_lateAnswerOfEarlierTimeline_isLost) {
  Server.Answer = [](auto &) {
    return ScriptedAnswer{200, R"({"path":"/a","version":3,"value":1})"};
  };
  std::vector<std::uint64_t> restores;
  Client.onRestore(
      [&](StoreTimeline before) { restores.push_back(before.Value); });
  auto read = [&] {
    return failureKind<Object>(
        [&](auto done) { Client.get("/a", std::move(done)); });
  };
  Server.Timeline = 1;
  BOOST_TEST(!read().has_value());
  Server.Answer = [](auto &) { return ScriptedAnswer{503, ""}; };
  Server.Timeline = 2;
  BOOST_TEST((read() == ErrorKind::PlatformUnavailable));
  Server.Answer = [](auto &) {
    return ScriptedAnswer{200, R"({"path":"/a","version":3,"value":1})"};
  };
  Server.Timeline = 1;
  BOOST_TEST((read() == ErrorKind::PlatformUnavailable));
  Server.Timeline = 2;
  BOOST_TEST(!read().has_value());
  BOOST_TEST((restores == std::vector<std::uint64_t>{1}));
  BOOST_TEST(Client.timeline().Value == 2U);
}

BOOST_AUTO_TEST_CASE(watch_goneRevision_isTooOld) {
  Server.Answer = [](auto &) { return ScriptedAnswer{410, ""}; };
  std::optional<WatchAnswer> answer;
  Client.watch("/teams/", ObjectVersion{5}, 1000ms, 200ms,
               [&](Result<WatchAnswer> result) { answer = result.value(); });
  Server.runUntil([&] { return answer.has_value(); });
  BOOST_TEST(answer->TooOld);
  BOOST_TEST(Server.Requests.at(0).Target ==
             "/v1/watch?prefix=%2Fteams%2F&after=5&timeout_ms=1000");
}

BOOST_AUTO_TEST_CASE(connection_afterAnswerOrTimeout_isReusedOrReplaced) {
  int status = 200;
  Server.Answer = [&](auto &) {
    return ScriptedAnswer{status, R"({"version":9})"};
  };
  put(std::nullopt);
  put(std::nullopt);
  status = -1;
  put(std::nullopt);
  status = 200;
  put(std::nullopt);
  auto &seen = Server.Requests;
  BOOST_TEST(seen.at(0).ClientPort == seen.at(1).ClientPort);
  BOOST_TEST(seen.at(2).ClientPort != seen.at(3).ClientPort);
}

BOOST_AUTO_TEST_CASE(calls_overTheLimit_waitAndAllFinish) {
  Server.Answer = [](auto &) { return ScriptedAnswer{-1, ""}; };
  constexpr int calls = 6;
  int finished = 0;
  std::size_t sentBeforeFirstEnd = 0;
  for (int i = 0; i < calls; ++i)
    Client.get("/a", [&](const Result<Object> &) {
      if (finished++ == 0)
        sentBeforeFirstEnd = Server.Requests.size();
    });
  Server.runUntil([&] { return finished == calls; });
  BOOST_TEST(sentBeforeFirstEnd ==
             static_cast<std::size_t>(Options.MaxConcurrent));
  BOOST_TEST(Server.Requests.size() == static_cast<std::size_t>(calls));
}

BOOST_AUTO_TEST_CASE(get_refusedConnection_isUnavailable) {
  Server.Http.reset();
  auto kind = failureKind<Object>(
      [&](auto done) { Client.get("/a", std::move(done)); });
  BOOST_TEST((kind == ErrorKind::PlatformUnavailable));
}

BOOST_AUTO_TEST_SUITE_END()
