#include "site.h"

#include <boost/test/unit_test.hpp>

using namespace greengagespar;
using namespace greengagespar::site;
using namespace std::chrono_literals;

namespace json = boost::json;

namespace {

constexpr int ServerTokens = 1000;

/// A model group of one server that declares its memory, and answers when the
/// test says so.
struct ServerMemoryFixture : SiteFixture {
  FakeServer *Server = nullptr;

  ServerMemoryFixture() {
    json::object config = configuration(1);
    config["services"].as_array()[0].as_object()["engine"] = {
        {"slots", 12}, {"step_ms", 10}, {"kvCacheTokens", ServerTokens}};
    // Requests may wait for seconds.
    config["routes"].as_array()[0].as_object()["targetLatencyMs"] = 3000;
    Objects.put("config", "main", config);
    Server = &addServer("helper", [](const HttpRequestMessage &) {
      FakeAnswer answer;
      answer.SendsNothing = true;
      return answer;
    });
    startEntry();
  }

  std::unique_ptr<Call> sendTokens(const std::string &tokens) {
    return send("POST", "/draft/1",
                "X-Api-Key: k1\r\nX-Token-Count: " + tokens + "\r\n");
  }

  bool hasRequests(std::size_t count) {
    return runUntil([&] { return Server->Requests.size() == count; });
  }

  void answerAll() {
    Server->answerPending([](const HttpRequestMessage &it) {
      return FakeAnswer{streamHead(it) + chunk(eventText(1)) + "0\r\n\r\n"};
    });
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ServerMemories, ServerMemoryFixture)

BOOST_AUTO_TEST_CASE(request_largerThanServer_isRefusedAtOnce) {
  auto call = sendTokens("900,101");
  BOOST_REQUIRE(runUntil([&] { return call->Response.IsDone; }));
  BOOST_TEST(call->Response.Head.Status == 503);
  BOOST_TEST(findField(call->Response.Head.Fields, "Retry-After"));
  BOOST_TEST(Server->Requests.empty());
}

// The load: long prompts that together are more than the server holds. The
// server would crash with all of them.
BOOST_AUTO_TEST_CASE(requests_largerThanServerTogether_waitForMemory) {
  auto first = sendTokens("500,100");
  BOOST_REQUIRE(hasRequests(1));
  auto second = sendTokens("500,100");
  auto small = sendTokens("200,100");
  BOOST_REQUIRE(hasRequests(2));
  runFor(50ms);
  BOOST_TEST(Server->Requests.size() == 2U);
  BOOST_TEST(!second->Response.IsDone);
  answerAll();
  BOOST_REQUIRE(hasRequests(3));
  answerAll();
  for (Call *it : {first.get(), second.get(), small.get()}) {
    BOOST_TEST(runUntil([&] { return it->Response.IsDone; }));
    BOOST_TEST(it->Response.Head.Status == 200);
  }
}

// The failure: the server breaks off with a request. What it took is free for
// the next one.
BOOST_AUTO_TEST_CASE(server_breaksOff_givesMemoryBack) {
  auto first = sendTokens("900,100");
  BOOST_REQUIRE(hasRequests(1));
  Server->closeAll(false);
  auto second = sendTokens("900,100");
  BOOST_TEST(runUntil([&] {
    answerAll();
    return second->Response.IsDone && first->Response.IsDone;
  }));
  BOOST_TEST(second->Response.Head.Status == 200);
}

BOOST_AUTO_TEST_SUITE_END()
