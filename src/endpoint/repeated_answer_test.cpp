#include "upstream.h"

#include "../store/repeating_server.h"
#include <boost/test/unit_test.hpp>
#include <optional>

using namespace greengagespar;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t MaxAnswerBytes = std::size_t{1} << 20;

constexpr CopyTime CopyTimes[] = {CopyTime::Never, CopyTime::WithAnswer,
                                  CopyTime::WhileIdle, CopyTime::WithNext};

struct Received {
  std::string Data;
  std::optional<UpstreamResult> Result;
};

// Sends a request without a key and waits for its end.
Received request(RepeatingServer &server, Upstream &upstream,
                 const UpstreamRequest &it, bool isStream) {
  if (server.Time == CopyTime::WhileIdle)
    server.runUntil([] { return false; }, RepeatingServer::CopyDelay * 3);
  Received received;
  UpstreamEvents events;
  if (isStream)
    events.OnData = [&](std::string_view data) { received.Data += data; };
  events.OnDone = [&](const UpstreamResult &end) { received.Result = end; };
  UpstreamId id = upstream.start(it, std::move(events));
  if (!server.runUntil([&] { return received.Result.has_value(); }, 2s))
    upstream.cancel(id);
  return received;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RepeatedAnswers)

// Guards against a look-up that is answered with the copy of another caller's
// answer.
BOOST_AUTO_TEST_CASE(lookUp_afterCopyOfAnotherAnswer_hasItsOwn) {
  for (CopyTime time : CopyTimes)
    BOOST_TEST_CONTEXT("copy time " << static_cast<int>(time)) {
      RepeatingServer server;
      server.Time = time;
      server.Answer = [](const std::string &text) {
        return RepeatingServer::answerOf(200, text.substr(0, text.find(" HT")));
      };
      Upstream upstream(server.Loop.get(), server.At, MaxAnswerBytes);
      for (const char *path : {"/a", "/b", "/c"}) {
        Received it =
            request(server, upstream, {"GET", path, {}, {}, {}, 1s}, false);
        BOOST_REQUIRE(it.Result.has_value());
        BOOST_TEST((it.Result->Outcome == UpstreamOutcome::Complete));
        BOOST_TEST(it.Result->Body == std::string("GET ") + path);
      }
      BOOST_TEST(server.Requests == 3);
    }
}

// Guards against the copy of a refusal being taken for the answer to the next
// draft: it would be called not run while it runs.
BOOST_AUTO_TEST_CASE(draft_afterCopyOfRefusal_hasItsOwnTokens) {
  for (CopyTime time : CopyTimes)
    BOOST_TEST_CONTEXT("copy time " << static_cast<int>(time)) {
      RepeatingServer server;
      server.Time = time;
      server.Answer = [](const std::string &text) {
        return text.ends_with("full")
                   ? RepeatingServer::answerOf(503, "")
                   : RepeatingServer::answerOf(200, "{\"t\":\"x\"}\n");
      };
      Upstream upstream(server.Loop.get(), server.At, MaxAnswerBytes);
      auto draft = [&](const char *body) {
        return request(server, upstream,
                       {"POST", "/v1/streams", {}, {}, body, 1s}, true);
      };
      Received refused = draft("full");
      Received run = draft("run");
      BOOST_REQUIRE((refused.Result && run.Result));
      BOOST_TEST(refused.Result->Status == 503);
      BOOST_TEST(run.Result->Status == 200);
      BOOST_TEST(run.Data == "{\"t\":\"x\"}\n");
      BOOST_TEST(server.Requests == 2);
    }
}

BOOST_AUTO_TEST_SUITE_END()
