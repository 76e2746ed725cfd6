#include "site.h"

#include <boost/test/unit_test.hpp>

using namespace greengagespar;
using namespace greengagespar::site;
using namespace std::chrono_literals;

namespace {

FakeAnswer ok(const HttpRequestMessage &request,
              const std::string &body = "done") {
  return {signedAnswer(request, 200, body)};
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(WholePath, SiteFixture)

BOOST_AUTO_TEST_CASE(lookUp_ofALiveEntry_namesIt) {
  startEntry();
  Reply got =
      askAt(Settings.Directory, "/-/resolve?name=shop.example&region=r&zone=z");
  BOOST_TEST(got.Head.Status == 200);
  BOOST_TEST(got.Body.find(Settings.Listen.Value) != std::string::npos);
  BOOST_TEST(got.Body.find("ttlS") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(entry_withoutConfiguration_isNotReadyAndRefuses) {
  Objects.TurnsAway = true;
  Entry = std::make_unique<DirectEntry>(Loop.base(), Context, Settings,
                                        platformDialect());
  BOOST_TEST(bool(Entry->start()));
  runFor(100ms);
  BOOST_TEST(askAt(Settings.Ready, "/-/ready").Head.Status == 503);
  Reply got = ask("GET", "/status/1");
  BOOST_TEST(got.Head.Status == 503);
  BOOST_TEST(findField(got.Head.Fields, "Retry-After") != nullptr);
}

BOOST_AUTO_TEST_CASE(request_ofAKey_reachesTheServerInItsWorkspace) {
  FakeServer &ledger =
      addServer("ledger", [](const auto &it) { return ok(it, "booked"); });
  startEntry();
  Reply got = ask("POST", "/book/7?day=2",
                  "X-Api-Key: k1\r\nX-Tenant: forged\r\nX-Deadline-Ms: 900\r\n",
                  "meat");
  BOOST_TEST(got.Head.Status == 200);
  BOOST_TEST(got.Body == "booked");
  BOOST_TEST(*findField(got.Head.Fields, "X-Server-Signature") == "sig");
  BOOST_REQUIRE(ledger.Seen.size() == 1);
  const HttpHead &head = ledger.Seen[0].Head;
  BOOST_TEST(head.Target == "/book/7?day=2");
  BOOST_TEST(ledger.Seen[0].Body == "meat");
  BOOST_TEST(findField(head.Fields, "X-Api-Key") == nullptr);
  BOOST_TEST(*findField(head.Fields, "X-Tenant") == "butchers");
  BOOST_TEST(*findField(head.Fields, "X-Expect-Instance") == ledger.id());
  BOOST_TEST(std::stoi(*findField(head.Fields, "X-Deadline-Ms")) <= 900);
}

BOOST_AUTO_TEST_CASE(request_inChunks_arrivesWhole) {
  FakeServer &ledger =
      addServer("ledger", [](const auto &it) { return ok(it); });
  startEntry();
  auto call = std::make_unique<Call>();
  Reply got = ask("POST", "/book/1",
                  "X-Api-Key: k1\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "3\r\nabc\r\n2\r\nde\r\n0\r\n");
  BOOST_TEST(got.Head.Status == 200);
  BOOST_TEST(ledger.Seen.at(0).Body == "abcde");
}

BOOST_AUTO_TEST_CASE(request_withoutRouteOrKey_isRejected) {
  addServer("ledger", [](const auto &it) { return ok(it); });
  startEntry();
  BOOST_TEST(ask("GET", "/nowhere/1").Head.Status == 404);
  BOOST_TEST(ask("GET", "/status/1", "X-Api-Key: k2\r\n").Head.Status == 401);
  BOOST_TEST(ask("GET", "/status/1", "").Head.Status == 401);
  BOOST_TEST(ask("GET", "/open/1", "").Head.Status == 200);
}

BOOST_AUTO_TEST_CASE(stream_isPassedOnAsItComes) {
  FakeServer &helper = addServer("helper", [](const auto &it) {
    return FakeAnswer{streamHead(it) + chunk(eventText(1))};
  });
  startEntry();
  auto call = send("POST", "/draft/1");
  BOOST_TEST(runUntil([&] { return call->Got.Body == eventText(1); }));
  BOOST_TEST(!call->Got.IsDone);
  helper.sendMore(chunk(eventText(2)) + "0\r\n\r\n");
  BOOST_TEST(runUntil([&] { return call->Got.IsDone; }));
  BOOST_TEST(bool(call->Got.End == ExchangeEnd::Complete));
  BOOST_TEST(call->Got.Body == eventText(1) + eventText(2));
}

BOOST_AUTO_TEST_CASE(connection_toServer_isUsedAgain) {
  FakeServer &ledger =
      addServer("ledger", [](const auto &it) { return ok(it); });
  startEntry();
  for (int i = 0; i < 4; ++i)
    ask("GET", "/status/1");
  BOOST_TEST(ledger.Seen.size() == 4U);
  BOOST_TEST(ledger.Connections == 1);
}

BOOST_AUTO_TEST_CASE(configuration_changed_isInForceAtOnceAndNeverGoesBack) {
  addServer("ledger", [](const auto &it) { return ok(it); });
  startEntry();
  auto next = configuration(5);
  next["tenants"].as_array()[0].as_object()["apiKeys"] =
      boost::json::array{"k9"};
  Objects.put("config", "main", next);
  BOOST_TEST(runUntil([&] {
    return ask("GET", "/status/1", "X-Api-Key: k9\r\n").Head.Status == 200;
  }));
  Objects.put("config", "main", configuration(4));
  runFor(400ms);
  BOOST_TEST(ask("GET", "/status/1", "X-Api-Key: k1\r\n").Head.Status == 401);
}

BOOST_AUTO_TEST_CASE(server_leaving_getsNoMoreWork) {
  FakeServer &first =
      addServer("ledger", [](const auto &it) { return ok(it); });
  FakeServer &second =
      addServer("ledger", [](const auto &it) { return ok(it); });
  startEntry();
  Objects.put("servers", first.id(), first.entry("ledger", "draining"));
  runFor(300ms);
  std::size_t before = first.Seen.size();
  for (int i = 0; i < 6; ++i)
    ask("GET", "/status/1");
  BOOST_TEST(first.Seen.size() == before);
  BOOST_TEST(second.Seen.size() >= 6U);
}

BOOST_AUTO_TEST_CASE(serverEntry_unreadable_isSkippedAndOthersHold) {
  addServer("ledger", [](const auto &it) { return ok(it); });
  Objects.put("servers", "i-bad", "no object");
  Objects.put("servers", "i-odd", {{"service", 3}});
  startEntry();
  BOOST_TEST(ask("GET", "/status/1").Head.Status == 200);
}

BOOST_AUTO_TEST_CASE(stop_whileARequestRuns_finishesIt) {
  FakeServer &ledger = addServer(
      "ledger", [](const auto &) { return FakeAnswer{.StaysSilent = true}; });
  startEntry();
  auto call = send("POST", "/book/1");
  BOOST_TEST(runUntil([&] { return ledger.Seen.size() == 1; }));
  Entry->leave();
  BOOST_TEST(askAt(Settings.Ready, "/-/ready").Head.Status == 503);
  runFor(200ms);
  ledger.sendMore(signedAnswer(ledger.Seen[0], 200, "late"));
  BOOST_TEST(runUntil([&] { return call->Got.IsDone; }));
  BOOST_TEST(call->Got.Body == "late");
}

BOOST_AUTO_TEST_CASE(metrics_afterARequest_countIt) {
  addServer("ledger", [](const auto &it) { return ok(it); });
  startEntry();
  ask("GET", "/status/1");
  Reply got = askAt(Settings.Ready, "/metrics");
  BOOST_TEST(got.Body.find("greengagespar_requests_total{kind=\"idempotent\","
                           "outcome=\"answered\"") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(metrics_atAnAddressOfTheirOwn_areServed) {
  Settings.Metrics = freeAddress();
  startEntry();
  BOOST_TEST(askAt(Settings.Metrics, "/metrics")
                 .Body.find("greengagespar_configuration_version 1") !=
             std::string::npos);
  BOOST_TEST(askAt(Settings.Metrics, "/").Head.Status == 404);
}

BOOST_AUTO_TEST_CASE(metrics_whoseAddressIsTaken_areLeftOut) {
  Settings.Metrics = Objects.at();
  startEntry();
  BOOST_TEST(askAt(Settings.Ready, "/-/ready").Head.Status == 200);
}

BOOST_AUTO_TEST_SUITE_END()
