/// \file
/// Tests of entries whose operator takes data centres out of service while
/// requests flow.
#include "entries_site.h"

#include <boost/test/unit_test.hpp>
#include <utility>

using namespace greengagespar;
using namespace greengagespar::site;
using namespace std::chrono_literals;

namespace {

// The time in which an order has to be in force, as the settings name it.
constexpr std::chrono::milliseconds InForceTime = 2000ms;
// Requests that are sent via each entry to see which servers are used.
constexpr int RequestsOfEntry = 6;

FakeAnswer done(const HttpRequestMessage &request) {
  return {signedAnswer(request, 200, "done")};
}

// Sends two events of a stream, whose rest follows later.
FakeAnswer beginStream(const HttpRequestMessage &request) {
  FakeAnswer answer;
  answer.Bytes =
      streamHead(request) + chunk(eventText(1)) + chunk(eventText(2));
  answer.IsPartial = true;
  return answer;
}

/// Entries with a server in each of two data centres.
struct OutOfServiceFixture : EntriesFixture {
  OutOfServiceFixture() { Settings.OutOfServiceTime = InForceTime; }

  // Starts a server in \p dataCentre and adds it to the store.
  FakeServer &addServerIn(const std::string &dataCentre,
                          const std::string &service,
                          FakeServer::Script script = done) {
    return addServer(service, std::move(script), dataCentre);
  }

  void takeOut(const std::string &dataCentre) {
    Objects.put("evacuations", dataCentre, boost::json::object{});
  }

  void putBack(const std::string &dataCentre) {
    Objects.remove("evacuations", dataCentre);
  }

  // Sends some requests via each entry. Returns how many were answered by a
  // server.
  int sendToAll() {
    int n = 0;
    for (const EntryProcess &it : Entries) {
      Settings.Listen = it.Settings.Listen;
      for (int i = 0; i < RequestsOfEntry; ++i)
        n += sendAndWait("GET", "/status/1").Head.Status == 200 ? 1 : 0;
    }
    return n;
  }

  // Whether \p server gets any of the requests that sendToAll() sends.
  bool isUsed(const FakeServer &server) {
    std::size_t before = server.Requests.size();
    sendToAll();
    return server.Requests.size() > before;
  }

  // Whether \p server gets and answers all requests that sendToAll() sends.
  bool isOnlyOneUsed(const FakeServer &server) {
    std::size_t before = server.Requests.size();
    int all = RequestsOfEntry * static_cast<int>(Entries.size());
    return sendToAll() == all &&
           std::cmp_equal(server.Requests.size() - before, all);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(DataCentreOutOfService, OutOfServiceFixture)

BOOST_AUTO_TEST_CASE(servers_whileOrderIsInForce_getNoRequests) {
  FakeServer &north = addServerIn("north", "ledger");
  FakeServer &south = addServerIn("south", "ledger");
  startEntries(2);
  takeOut("north");
  steps(InForceTime);
  BOOST_TEST(!isUsed(north));
  BOOST_TEST(isUsed(south));
  FakeServer &meanwhile = addServerIn("north", "ledger");
  steps(300ms);
  BOOST_TEST(!isUsed(meanwhile));
  putBack("north");
  takeOut("south");
  steps(InForceTime);
  BOOST_TEST(!isUsed(south));
  // An idle entry prefers the server that was faster so far.
  Objects.put("servers", north.id(), north.entry("ledger", "draining"));
  steps(300ms);
  BOOST_TEST(isOnlyOneUsed(meanwhile));
}

// The entries' own data centre is out: they go on, with servers elsewhere.
BOOST_AUTO_TEST_CASE(ownDataCentre_outOfService_isServedElsewhere) {
  FakeServer &own = addServerIn(Settings.DataCentre.Value, "ledger");
  FakeServer &south = addServerIn("south", "ledger");
  startEntries(2);
  takeOut(Settings.DataCentre.Value);
  steps(InForceTime);
  std::size_t before = own.Requests.size();
  BOOST_TEST(sendToAll() > 0);
  BOOST_TEST(own.Requests.size() == before);
  BOOST_TEST(isUsed(south));
}

// The store turns one entry away; the others tell it.
BOOST_AUTO_TEST_CASE(entry_withoutStore_learnsOrderOfPeers) {
  FakeServer &north = addServerIn("north", "ledger");
  addServerIn("south", "ledger");
  startEntries(2);
  Settings.Store = freeAddress();
  startOne();
  takeOut("north");
  steps(InForceTime);
  BOOST_TEST(!isUsed(north));
  putBack("north");
  takeOut("south");
  steps(InForceTime);
  BOOST_TEST(isUsed(north));
}

// The store has lost the polls of all entries in an outage of a second, and
// each would take its unanswered poll for "no order".
BOOST_AUTO_TEST_CASE(order_afterSilenceOfStore_isInForceInTime) {
  FakeServer &north = addServerIn("north", "ledger");
  addServerIn("south", "ledger");
  startEntries(3);
  takeOut("elsewhere");
  steps(50ms);
  Objects.IsSilent = true;
  steps(1000ms);
  Objects.IsSilent = false;
  steps(3000ms);
  takeOut("north");
  steps(InForceTime);
  BOOST_TEST(!isUsed(north));
}

BOOST_AUTO_TEST_CASE(order_whileStoreIsLost_stays) {
  FakeServer &north = addServerIn("north", "ledger");
  FakeServer &south = addServerIn("south", "ledger");
  startEntries(1);
  takeOut("north");
  steps(InForceTime);
  Objects.IsUnavailable = true;
  steps(1000ms);
  BOOST_TEST(!isUsed(north));
  BOOST_TEST(isUsed(south));
}

// The calls about orders pause for seconds while the store is away.
BOOST_AUTO_TEST_CASE(order_ofWhenStoreWasLost_isInForceAfterItsReturn) {
  FakeServer &north = addServerIn("north", "ledger");
  addServerIn("south", "ledger");
  startEntries(1);
  Objects.IsUnavailable = true;
  steps(50ms);
  takeOut("elsewhere"); // Ends the polls.
  steps(8000ms);
  takeOut("north");
  Objects.IsUnavailable = false;
  steps(InForceTime);
  BOOST_TEST(!isUsed(north));
}

BOOST_AUTO_TEST_CASE(entry_startedMeanwhile_keepsTheOrder) {
  FakeServer &north = addServerIn("north", "ledger");
  addServerIn("south", "ledger");
  startEntries(1);
  takeOut("north");
  startOne();
  BOOST_TEST(!isUsed(north));
}

BOOST_AUTO_TEST_CASE(order_lackingInRestoredStore_stays) {
  FakeServer &north = addServerIn("north", "ledger");
  addServerIn("south", "ledger");
  startEntries(2);
  Objects.keepCopy();
  takeOut("north");
  steps(InForceTime);
  Objects.restore();
  steps(1000ms);
  BOOST_TEST(!isUsed(north));
  takeOut("north");
  steps(300ms);
  putBack("north");
  takeOut("south");
  steps(InForceTime);
  BOOST_TEST(isUsed(north));
}

BOOST_AUTO_TEST_CASE(lastDataCentreWithServers_out_isRefusedAtOnce) {
  FakeServer &north = addServerIn("north", "ledger");
  startEntries(1);
  takeOut("north");
  steps(InForceTime);
  std::size_t before = north.Requests.size();
  Settings.Listen = Entries[0].Settings.Listen;
  Reply reply = sendAndWait("POST", "/book/1");
  BOOST_TEST(reply.Head.Status == 503);
  BOOST_TEST(findField(reply.Head.Fields, "Retry-After") != nullptr);
  BOOST_TEST(north.Requests.size() == before);
}

BOOST_AUTO_TEST_CASE(streamUnderWay_whenOrderComes_ends) {
  FakeServer &north = addServerIn("north", "helper", beginStream);
  startEntries(1);
  Call &call = sendParts(0, "1:10");
  BOOST_REQUIRE(runUntil([&] {
    return call.Response.Body.find(eventText(2)) != std::string::npos;
  }));
  addServerIn("south", "helper", beginStream);
  takeOut("north");
  steps(300ms);
  north.sendMore(chunk(eventText(3)) + "0\r\n\r\n");
  BOOST_REQUIRE(runUntil([&] { return call.Response.IsDone; }));
  BOOST_TEST((call.Response.End == ExchangeEnd::Complete));
  BOOST_TEST(call.Response.Body.find(eventText(3)) != std::string::npos);
}

// A stream that breaks off at a server there is resumed elsewhere.
BOOST_AUTO_TEST_CASE(streamBrokenOff_whileOrderIsInForce_isResumedElsewhere) {
  FakeServer &north = addServerIn("north", "helper", beginStream);
  FakeServer &other = addServerIn("north", "helper", beginStream);
  startEntries(1);
  Call &call = sendParts(0, "1:10");
  BOOST_REQUIRE(runUntil([&] {
    return call.Response.Body.find(eventText(2)) != std::string::npos;
  }));
  FakeServer &south = addServerIn("south", "helper", beginStream);
  takeOut("north");
  steps(300ms);
  FakeServer &running = north.Requests.empty() ? other : north;
  FakeServer &idle = north.Requests.empty() ? north : other;
  running.closeAll(true);
  BOOST_TEST(runUntil([&] { return !south.Requests.empty(); }));
  BOOST_TEST(idle.Requests.empty());
}

BOOST_AUTO_TEST_CASE(order_ofUnknownDataCentre_costsNothing) {
  FakeServer &north = addServerIn("north", "ledger");
  startEntries(1);
  Objects.put("evacuations", "nowhere", "text");
  Objects.put("evacuations", "No Name", boost::json::array{});
  steps(InForceTime);
  BOOST_TEST(isUsed(north));
  takeOut("north");
  steps(InForceTime);
  BOOST_TEST(!isUsed(north));
}

// Without the setting nothing is read, and the store gets no call for it.
BOOST_AUTO_TEST_CASE(order_withoutSetting_isNotRead) {
  Settings.OutOfServiceTime = 0ms;
  FakeServer &north = addServerIn("north", "ledger");
  takeOut("north");
  startEntries(1);
  steps(300ms);
  BOOST_TEST(isUsed(north));
  BOOST_TEST(Objects.calls("evacuations") == 0);
}

BOOST_AUTO_TEST_SUITE_END()
