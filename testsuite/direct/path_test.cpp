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

BOOST_FIXTURE_TEST_SUITE(DirectRequests, SiteFixture)

BOOST_AUTO_TEST_CASE(resolve_liveEntry_returnsItsAddress) {
  startEntry();
  Reply response = getFrom(Settings.Directory,
                           "/-/resolve?name=shop.example&region=r&zone=z");
  BOOST_TEST(response.Head.Status == 200);
  BOOST_TEST(response.Body.find(Settings.Listen.Value) != std::string::npos);
  BOOST_TEST(response.Body.find("ttlS") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(entry_noConfiguration_isNotReadyAndRefusesRequests) {
  Objects.IsUnavailable = true;
  Entry = std::make_unique<DirectEntry>(Loop.base(), Context, Settings,
                                        platformDialect());
  BOOST_TEST(bool(Entry->start()));
  runFor(100ms);
  BOOST_TEST(getFrom(Settings.Ready, "/-/ready").Head.Status == 503);
  Reply response = sendAndWait("GET", "/status/1");
  BOOST_TEST(response.Head.Status == 503);
  BOOST_TEST(findField(response.Head.Fields, "Retry-After") != nullptr);
}

BOOST_AUTO_TEST_CASE(request_validApiKey_reachesServerWithItsWorkspace) {
  FakeServer &ledger =
      addServer("ledger", [](const auto &it) { return ok(it, "booked"); });
  startEntry();
  Reply response = sendAndWait(
      "POST", "/book/7?day=2",
      "X-Api-Key: k1\r\nX-Tenant: forged\r\nX-Deadline-Ms: 900\r\n", "meat");
  BOOST_TEST(response.Head.Status == 200);
  BOOST_TEST(response.Body == "booked");
  BOOST_TEST(*findField(response.Head.Fields, "X-Server-Signature") == "sig");
  BOOST_REQUIRE(ledger.Requests.size() == 1);
  const HttpHead &head = ledger.Requests[0].Head;
  BOOST_TEST(head.Target == "/book/7?day=2");
  BOOST_TEST(ledger.Requests[0].Body == "meat");
  BOOST_TEST(findField(head.Fields, "X-Api-Key") == nullptr);
  BOOST_TEST(*findField(head.Fields, "X-Tenant") == "butchers");
  BOOST_TEST(*findField(head.Fields, "X-Expect-Instance") == ledger.id());
  BOOST_TEST(std::stoi(*findField(head.Fields, "X-Deadline-Ms")) <= 900);
}

BOOST_AUTO_TEST_CASE(request_chunkedBody_arrivesWhole) {
  FakeServer &ledger =
      addServer("ledger", [](const auto &it) { return ok(it); });
  startEntry();
  auto call = std::make_unique<Call>();
  Reply response =
      sendAndWait("POST", "/book/1",
                  "X-Api-Key: k1\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "3\r\nabc\r\n2\r\nde\r\n0\r\n");
  BOOST_TEST(response.Head.Status == 200);
  BOOST_TEST(ledger.Requests.at(0).Body == "abcde");
}

BOOST_AUTO_TEST_CASE(request_noRouteOrApiKey_isRejected) {
  addServer("ledger", [](const auto &it) { return ok(it); });
  startEntry();
  BOOST_TEST(sendAndWait("GET", "/nowhere/1").Head.Status == 404);
  BOOST_TEST(sendAndWait("GET", "/status/1", "X-Api-Key: k2\r\n").Head.Status ==
             401);
  BOOST_TEST(sendAndWait("GET", "/status/1", "").Head.Status == 401);
  BOOST_TEST(sendAndWait("GET", "/open/1", "").Head.Status == 200);
}

BOOST_AUTO_TEST_CASE(stream_serverStillSending_isForwardedAtOnce) {
  FakeServer &helper = addServer("helper", [](const auto &it) {
    return FakeAnswer{streamHead(it) + chunk(eventText(1))};
  });
  startEntry();
  auto call = send("POST", "/draft/1");
  BOOST_TEST(runUntil([&] { return call->Response.Body == eventText(1); }));
  BOOST_TEST(!call->Response.IsDone);
  helper.sendMore(chunk(eventText(2)) + "0\r\n\r\n");
  BOOST_TEST(runUntil([&] { return call->Response.IsDone; }));
  BOOST_TEST(bool(call->Response.End == ExchangeEnd::Complete));
  BOOST_TEST(call->Response.Body == eventText(1) + eventText(2));
}

BOOST_AUTO_TEST_CASE(connection_severalRequests_isReused) {
  FakeServer &ledger =
      addServer("ledger", [](const auto &it) { return ok(it); });
  startEntry();
  for (int i = 0; i < 4; ++i)
    sendAndWait("GET", "/status/1");
  BOOST_TEST(ledger.Requests.size() == 4U);
  BOOST_TEST(ledger.Connections == 1);
}

BOOST_AUTO_TEST_CASE(configuration_newerThenOlder_newerStaysInForce) {
  addServer("ledger", [](const auto &it) { return ok(it); });
  startEntry();
  auto next = configuration(5);
  next["tenants"].as_array()[0].as_object()["apiKeys"] =
      boost::json::array{"k9"};
  Objects.put("config", "main", next);
  BOOST_TEST(runUntil([&] {
    return sendAndWait("GET", "/status/1", "X-Api-Key: k9\r\n").Head.Status ==
           200;
  }));
  Objects.put("config", "main", configuration(4));
  runFor(400ms);
  BOOST_TEST(sendAndWait("GET", "/status/1", "X-Api-Key: k1\r\n").Head.Status ==
             401);
}

BOOST_AUTO_TEST_CASE(server_draining_receivesNoRequests) {
  FakeServer &first =
      addServer("ledger", [](const auto &it) { return ok(it); });
  FakeServer &second =
      addServer("ledger", [](const auto &it) { return ok(it); });
  startEntry();
  Objects.put("servers", first.id(), first.entry("ledger", "draining"));
  runFor(300ms);
  std::size_t before = first.Requests.size();
  for (int i = 0; i < 6; ++i)
    sendAndWait("GET", "/status/1");
  BOOST_TEST(first.Requests.size() == before);
  BOOST_TEST(second.Requests.size() >= 6U);
}

BOOST_AUTO_TEST_CASE(serverEntry_unreadable_isSkippedAndOthersServe) {
  addServer("ledger", [](const auto &it) { return ok(it); });
  Objects.put("servers", "i-bad", "no object");
  Objects.put("servers", "i-odd", {{"service", 3}});
  startEntry();
  BOOST_TEST(sendAndWait("GET", "/status/1").Head.Status == 200);
}

// Guards against an entry of another writer that puts the server at the address
// it names out of use, when it appears and after a restart.
BOOST_AUTO_TEST_CASE(server_besideEntryOfUnnamedService_isUsed) {
  FakeServer &ledger =
      addServer("ledger", [](const auto &it) { return ok(it); });
  startEntry();
  boost::json::object foreign = ledger.entry("ledger-watch");
  foreign["born"] = ledger.StartedMs + 1000;
  Objects.put("servers", "a-watch", foreign);
  runFor(300ms);
  BOOST_TEST(sendAndWait("GET", "/status/1").Head.Status == 200);
  Entry.reset();
  startEntry();
  BOOST_TEST(sendAndWait("GET", "/status/2").Head.Status == 200);
  Objects.remove("servers", "a-watch");
  runFor(300ms);
  BOOST_TEST(sendAndWait("GET", "/status/3").Head.Status == 200);
}

// The same for an entry of a service that has requests, with a start in the
// future: the server refuses what is sent to the other one.
BOOST_AUTO_TEST_CASE(server_besideEntryWithStartInTheFuture_isUsed) {
  FakeServer &ledger = addServer("ledger", [](const auto &it) {
    const std::string *to = findField(it.Head.Fields, "X-Expect-Instance");
    return to && *to == "m-1" ? FakeAnswer{signedAnswer(it, 421, "")} : ok(it);
  });
  startEntry();
  boost::json::object foreign = ledger.entry("ledger");
  foreign["born"] = ledger.StartedMs + 1000000;
  Objects.put("servers", "m-1", foreign);
  runFor(300ms);
  sendAndWait("GET", "/status/1");
  for (int i = 0; i < 3; ++i)
    BOOST_TEST(sendAndWait("GET", "/status/2").Head.Status == 200);
}

BOOST_AUTO_TEST_CASE(entry_stoppedDuringRequest_finishesIt) {
  FakeServer &ledger = addServer(
      "ledger", [](const auto &) { return FakeAnswer{.SendsNothing = true}; });
  startEntry();
  auto call = send("POST", "/book/1");
  BOOST_TEST(runUntil([&] { return ledger.Requests.size() == 1; }));
  Entry->leave();
  BOOST_TEST(getFrom(Settings.Ready, "/-/ready").Head.Status == 503);
  runFor(200ms);
  ledger.sendMore(signedAnswer(ledger.Requests[0], 200, "late"));
  BOOST_TEST(runUntil([&] { return call->Response.IsDone; }));
  BOOST_TEST(call->Response.Body == "late");
}

BOOST_AUTO_TEST_CASE(metrics_afterRequest_countIt) {
  addServer("ledger", [](const auto &it) { return ok(it); });
  startEntry();
  sendAndWait("GET", "/status/1");
  Reply response = getFrom(Settings.Ready, "/metrics");
  BOOST_TEST(
      response.Body.find("greengagespar_requests_total{kind=\"idempotent\","
                         "outcome=\"answered\"") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(metrics_separateAddress_areServed) {
  Settings.Metrics = freeAddress();
  startEntry();
  BOOST_TEST(getFrom(Settings.Metrics, "/metrics")
                 .Body.find("greengagespar_configuration_version 1") !=
             std::string::npos);
  BOOST_TEST(getFrom(Settings.Metrics, "/").Head.Status == 404);
}

BOOST_AUTO_TEST_CASE(metrics_addressInUse_entryServesWithoutThem) {
  Settings.Metrics = Objects.at();
  startEntry();
  BOOST_TEST(getFrom(Settings.Ready, "/-/ready").Head.Status == 200);
}

BOOST_AUTO_TEST_SUITE_END()
