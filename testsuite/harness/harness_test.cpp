#include "client.h"
#include "cluster.h"
#include "greengagespar/load/expected_text.h"
#include "greengagespar/load/run.h"
#include "process.h"

#include <boost/test/unit_test.hpp>

using namespace greengagespar;
using namespace greengagespar::harness;
using std::chrono::milliseconds;

namespace {

// A running stand-in and its address.
struct Standin {
  TempDir Dir;
  Process Running;
  Address ServerAddress;

  Standin(const std::string &program, std::vector<std::string> args) {
    args.insert(args.end(), {"--port", "0"});
    Running = Process({program, std::move(args), Dir.path() / "standin"});
    ServerAddress.Value = "127.0.0.1:" + std::to_string(Running.readyPort());
  }
};

struct PlatformFixture : Standin {
  PlatformFixture() : Standin("standin-platform", {"--history", "4"}) {}

  HttpAnswer put(const std::string &target, int value) {
    return sendJson(ServerAddress, "PUT", "/v1/objects" + target, value);
  }

  void setFaults(const boost::json::object &faults) {
    sendJson(ServerAddress, "PUT", "/test/faults", faults);
  }
};

struct EngineFixture : Standin {
  EngineFixture()
      : Standin("standin-engine",
                {"--step-ms", "1", "--slots", "1", "--cache-event-delay-ms",
                 "0", "--cache-event-gap", "2"}) {}

  HttpAnswer stream(const boost::json::object &body) {
    return sendJson(ServerAddress, "POST", "/v1/streams", body);
  }

  boost::json::value runs() { return jsonOf(get(ServerAddress, "/test/runs")); }
};

std::string textOfLines(const std::string &body) {
  std::string out;
  std::istringstream lines(body);
  for (std::string line; std::getline(lines, line);) {
    boost::json::value value = boost::json::parse(line);
    if (const auto *t = value.as_object().if_contains("t"))
      out += t->as_string();
  }
  return out;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(PlatformStandin, PlatformFixture)

BOOST_AUTO_TEST_CASE(put_ifVersion_succeedsOnlyAtThatVersion) {
  BOOST_TEST(put("/a?if_version=0", 1).Status == 200);
  BOOST_TEST(put("/a?if_version=0", 2).Status == 409);
  BOOST_TEST(put("/a?if_version=1", 3).Status == 200);
  BOOST_TEST(
      jsonOf(get(ServerAddress, "/v1/objects/a")).at("value").as_int64() == 3);
  BOOST_TEST(get(ServerAddress, "/v1/objects/b").Status == 404);
}

BOOST_AUTO_TEST_CASE(watch_changeUnderPrefix_answersWithThatObject) {
  put("/a", 1);
  put("/b", 2);
  Loop loop;
  load::HttpClient client(loop.base(), ServerAddress);
  HttpAnswer seen;
  client.send({"GET", "/v1/watch?prefix=/a&after=2&timeout_ms=9000", {}, ""},
              [&](const HttpAnswer &answer) { seen = answer; });
  BOOST_TEST(
      !loop.runUntil([&] { return seen.Status != 0; }, milliseconds(50)));
  put("/b", 3);
  put("/a", 4);
  BOOST_TEST(loop.runUntil([&] { return seen.Status != 0; }));
  auto objects = jsonOf(seen).at("objects").as_array();
  BOOST_REQUIRE(objects.size() == 1);
  BOOST_TEST(objects[0].at("version").as_int64() == 4);
}

BOOST_AUTO_TEST_CASE(watch_revisionBeforeHistory_answers410) {
  for (int i = 0; i < 6; ++i)
    put("/a", i);
  BOOST_TEST(get(ServerAddress, "/v1/watch?prefix=/&after=1").Status == 410);
  BOOST_TEST(get(ServerAddress, "/v1/watch?prefix=/&after=2").Status == 200);
}

BOOST_AUTO_TEST_CASE(faults_switchedOnAndOff_takeEffectAndEnd) {
  setFaults({{"lose_every", 1}});
  BOOST_TEST((put("/a", 1).End == HttpEnd::Broken));
  setFaults({{"stale_reads", true}});
  put("/a", 2);
  BOOST_TEST(
      jsonOf(get(ServerAddress, "/v1/objects/a")).at("value").as_int64() == 1);
  setFaults({{"outage", true}});
  BOOST_TEST(get(ServerAddress, "/v1/objects/a").Status == 503);
  setFaults({});
  BOOST_TEST(
      jsonOf(get(ServerAddress, "/v1/objects/a")).at("value").as_int64() == 2);
}

BOOST_AUTO_TEST_CASE(blackHole_switchedOn_neverAnswers) {
  setFaults({{"black_hole", true}});
  HttpRequest request;
  request.Target = "/v1/hosts";
  request.Timeout = milliseconds(100);
  BOOST_TEST((call(ServerAddress, request).End == HttpEnd::TimedOut));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(EngineStandin, EngineFixture)

BOOST_AUTO_TEST_CASE(stream_offset_resumesTheSameText) {
  std::string prompt = "two hooks len=12";
  std::string whole = load::expectedText(prompt, 100);
  auto first = stream({{"id", "a"}, {"prompt", prompt}, {"max_tokens", 100}});
  BOOST_TEST(textOfLines(first.Body) == whole);
  auto rest = stream(
      {{"id", "b"}, {"prompt", prompt}, {"max_tokens", 100}, {"offset", 5}});
  BOOST_TEST(load::expectedText(prompt, 5) + textOfLines(rest.Body) == whole);
  BOOST_TEST(rest.Body.find("\"finish\":\"stop\"") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(stream_callerDisconnects_isCancelledAndFreesItsSlot) {
  {
    RawConnection caller(ServerAddress);
    std::string body =
        R"({"id":"a","prompt":"len=900000","max_tokens":900000})";
    caller.send("POST /v1/streams HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body);
    BOOST_TEST(!caller.readUntil("\"i\":3").empty());
  }
  BOOST_TEST(waitUntil([&] { return runs().at("running").as_int64() == 0; }));
  BOOST_TEST(runs().at("cancelled").as_int64() == 1);
  BOOST_TEST(stream({{"id", "b"}, {"prompt", "x"}}).Status == 200);
}

BOOST_AUTO_TEST_CASE(waiting_betterPriority_startsFirst) {
  Loop loop;
  load::HttpClient client(loop.base(), ServerAddress);
  std::string order;
  auto send = [&](const std::string &id, int length, int priority) {
    boost::json::object body{{"id", id},
                             {"prompt", "len=" + std::to_string(length)},
                             {"max_tokens", length},
                             {"priority", priority}};
    client.send({"POST", "/v1/streams", {}, boost::json::serialize(body)},
                [&order, id](const HttpAnswer &) { order += id; });
    loop.runUntil(
        [&] { return runs().at("streams").as_object().contains(id); });
  };
  send("a", 100000, 5);
  send("b", 3, 5);
  send("c", 3, 1);
  sendJson(ServerAddress, "POST", "/v1/streams/a/cancel",
           boost::json::object());
  BOOST_TEST(loop.runUntil([&] { return order.size() == 3; }));
  BOOST_TEST(order == "acb");
}

BOOST_AUTO_TEST_CASE(cacheEvents_secondIsLost_leaveAGap) {
  for (const char *key : {"k1", "k2", "k3"})
    stream({{"id", key}, {"prompt", "len=1"}, {"cache_key", key}});
  auto events = jsonOf(get(ServerAddress, "/v1/cache_events?after=0"));
  auto list = events.at("events").as_array();
  BOOST_REQUIRE(list.size() == 2);
  BOOST_TEST(list[1].at("n").as_int64() == 3);
}

BOOST_AUTO_TEST_CASE(maps_armed_holdTheStepUntilReleased) {
  auto order = [&](const boost::json::object &body) {
    return sendJson(ServerAddress, "POST", "/v1/orders", body).Status;
  };
  auto map = [&] { return jsonOf(get(ServerAddress, "/v1/orders")).at("map"); };
  order({{"fencing", 2}, {"kind", "prepare_map"}, {"number", 1}});
  BOOST_TEST(order({{"fencing", 1}, {"kind", "arm_map"}}) == 409);
  auto next = map().at("step").as_int64() + 500;
  BOOST_TEST(order({{"fencing", 2},
                    {"kind", "arm_map"},
                    {"number", 1},
                    {"step", next}}) == 200);
  BOOST_TEST(waitUntil([&] { return map().at("step").as_int64() == next; }));
  order({{"fencing", 2}, {"kind", "release_map"}, {"number", 1}});
  BOOST_TEST(waitUntil([&] { return map().at("step").as_int64() > next; }));
  auto steps = jsonOf(get(ServerAddress, "/test/steps")).at("steps").as_array();
  for (const auto &it : steps)
    BOOST_TEST(it.at("map").as_int64() ==
               (it.at("step").as_int64() >= next ? 1 : 0));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(OtherStandins)

BOOST_AUTO_TEST_CASE(load_sentToAnEngine_allCallsSucceed) {
  Standin engine("standin-engine", {"--step-ms", "1"});
  load::LoadPlan plan;
  plan.Targets = {engine.ServerAddress};
  plan.TargetKind = load::CallTarget::Engine;
  plan.Phases = {{200, milliseconds(100)}, {400, milliseconds(100)}};
  plan.Calls.Bookings = 0;
  plan.Calls.Status = 0;
  load::LoadReport report = load::runLoad(plan);
  BOOST_TEST(report.Sent > 0);
  BOOST_TEST(report.Ok == report.Sent);
}

BOOST_AUTO_TEST_CASE(ledger_sameOrderTwice_countsBoth) {
  Standin ledger("standin-service", {});
  for (int i = 0; i < 2; ++i)
    sendJson(ledger.ServerAddress, "POST", "/bookings",
             boost::json::object{{"order", "o-1"}});
  auto status = jsonOf(get(ledger.ServerAddress, "/bookings/o-1"));
  BOOST_TEST(status.at("count").as_int64() == 2);
}

BOOST_AUTO_TEST_CASE(weights_overRate_areRefusedWithARetryTime) {
  Standin weights("standin-weights", {"--bytes-per-second", "1000"});
  std::string target = "/v1/weights/m?offset=0&length=1000";
  BOOST_TEST(get(weights.ServerAddress, target).Body.size() == 1000);
  HttpAnswer second = get(weights.ServerAddress, target);
  BOOST_TEST(second.Status == 429);
  BOOST_TEST(!load::headerValue(second, "retry-after-ms").empty());
}

BOOST_AUTO_TEST_CASE(relay_swallow_stopsOnlyExistingConnections) {
  Standin ledger("standin-service", {});
  int port = freePort();
  std::string target = ledger.ServerAddress.Value.substr(
      ledger.ServerAddress.Value.find(':') + 1);
  Standin relay("standin-relay",
                {"--listen", std::to_string(port), "--to", target});
  Address relayed{"127.0.0.1:" + std::to_string(port)};
  RawConnection old(relayed);
  std::string text = "GET /x HTTP/1.1\r\nHost: x\r\n\r\n";
  old.send(text);
  BOOST_TEST(!old.readUntil("\"path\"").empty());
  sendJson(relay.ServerAddress, "PUT", "/test/mode",
           boost::json::object{{"action", "swallow"}});
  BOOST_TEST(old.send(text));
  BOOST_TEST(old.readUntil("path", milliseconds(100)).empty());
  BOOST_TEST(get(relayed, "/x").Status == 200);
  sendJson(relay.ServerAddress, "PUT", "/test/mode",
           boost::json::object{{"action", "cut"}});
  BOOST_TEST(old.waitForClose());
}

BOOST_AUTO_TEST_CASE(process_killedAndRestarted_keepsItsAddress) {
  ClusterPlan plan;
  plan.EntriesPerDataCentre = 0;
  plan.Helpers = 0;
  plan.Ledgers = 0;
  Cluster cluster(plan);
  cluster.start();
  cluster.kill("platform");
  BOOST_TEST(get(cluster.address("platform"), "/v1/hosts").Status == 0);
  cluster.start("platform");
  BOOST_TEST(get(cluster.address("platform"), "/v1/hosts").Status == 200);
  BOOST_TEST((cluster.stop("platform") == std::optional<int>(0)));
}

BOOST_AUTO_TEST_SUITE_END()
