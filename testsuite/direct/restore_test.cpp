#include "entries_site.h"

#include <boost/test/unit_test.hpp>

using namespace greengagespar;
using namespace greengagespar::site;
using namespace std::chrono_literals;

namespace {

// Time in which a change that the store has acknowledged has to be in force.
constexpr std::chrono::milliseconds InForceTime = 2000ms;
// Time in which live servers register again after a restore.
constexpr std::chrono::milliseconds ReregisterTime = 2000ms;

FakeAnswer done(const HttpRequestMessage &request) {
  return {signedAnswer(request, 200, "done")};
}

/// One entry, whose store is restored from an older copy.
struct RestoreFixture : SiteFixture {
  // Writes the configuration with \p version and a route /new/ of "ledger".
  void declareNewRoute(int version) {
    boost::json::object value = configuration(version);
    boost::json::object route = value["routes"].as_array().at(3).as_object();
    route["name"] = "new";
    route["pathPrefix"] = "/new/";
    value["routes"].as_array().push_back(route);
    Objects.put("config", "main", value);
  }

  bool isNewRouteServed() {
    return sendAndWait("GET", "/new/1").Head.Status == 200;
  }

  // Raises the store's revision by writes that entries do not watch.
  void writeOthers(int revisions) {
    for (int i = 0; i < revisions; ++i)
      Objects.put("other", "x", i);
  }

  void registerServer(const FakeServer &server, const std::string &service,
                      const std::string &state = "ready") {
    boost::json::object entry = server.entry(service, state);
    entry["born"] = 1000;
    Objects.put("servers", server.id(), entry);
  }

  // Whether \p server gets any of many requests: an idle entry draws among
  // servers of the same cost.
  bool serves(const FakeServer &server) {
    std::size_t before = server.Requests.size();
    for (int i = 0; i < 64 && server.Requests.size() == before; ++i)
      sendAndWait("GET", "/status/1");
    return server.Requests.size() > before;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RestoredStore, RestoreFixture)

// Guards against an entry that takes each answer of a restored store for a
// stale read until the revision has passed its old value.
BOOST_AUTO_TEST_CASE(change_belowOldRevision_isInForceInTime) {
  addServer("ledger", done);
  startEntry();
  Objects.keepCopy();
  writeOthers(5);
  Objects.put("config", "main", configuration(2));
  runFor(300ms);
  Objects.restore();
  declareNewRoute(3);
  runFor(InForceTime);
  BOOST_TEST(isNewRouteServed());
}

// Guards against an entry that watches on from a revision of before the restore
// and never learns what was written under the numbers below it.
BOOST_AUTO_TEST_CASE(change_whileEntryIsCutOff_isInForceAfterwards) {
  addServer("ledger", done);
  startEntry();
  Objects.keepCopy();
  writeOthers(5);
  Objects.put("config", "main", configuration(2));
  runFor(300ms);
  Objects.IsUnavailable = true;
  Objects.StatesTimeline = false;
  Objects.restore();
  declareNewRoute(3);
  writeOthers(20);
  runFor(500ms);
  Objects.IsUnavailable = false;
  Objects.StatesTimeline = true;
  runFor(InForceTime);
  BOOST_TEST(isNewRouteServed());
}

BOOST_AUTO_TEST_CASE(configuration_olderInCopy_isNotInForce) {
  addServer("ledger", done);
  startEntry();
  Objects.keepCopy();
  writeOthers(5);
  declareNewRoute(2);
  runFor(300ms);
  BOOST_TEST(isNewRouteServed());
  Objects.restore();
  runFor(1000ms);
  BOOST_TEST(isNewRouteServed());
  declareNewRoute(4);
  Objects.restore();
  declareNewRoute(5);
  runFor(InForceTime);
  BOOST_TEST(isNewRouteServed());
  BOOST_TEST(getFrom(Settings.Ready, "/metrics")
                 .Body.find("greengagespar_configuration_version 5") !=
             std::string::npos);
}

// Guards against servers that registered after the copy and are removed before
// they have had time to register again.
BOOST_AUTO_TEST_CASE(server_missingInCopy_isUsedUntilItHadTimeToRegister) {
  startEntry();
  Objects.keepCopy();
  FakeServer &live = addServer("ledger", done);
  registerServer(live, "ledger");
  FakeServer &gone = addServer("ledger", done);
  registerServer(gone, "ledger");
  writeOthers(3);
  runFor(300ms);
  Objects.restore();
  runFor(700ms);
  BOOST_TEST(serves(live));
  registerServer(live, "ledger");
  runFor(ReregisterTime + 300ms);
  BOOST_TEST(serves(live));
  BOOST_TEST(!serves(gone));
}

// Guards against the copy's record of a server as ready for new work, when the
// entry knows that this incarnation of the server is leaving.
BOOST_AUTO_TEST_CASE(server_leavingBeforeRestore_getsNoRequests) {
  FakeServer &leaving = addServer("ledger", done);
  registerServer(leaving, "ledger");
  FakeServer &other = addServer("ledger", done);
  registerServer(other, "ledger");
  startEntry();
  Objects.keepCopy();
  registerServer(leaving, "ledger", "draining");
  writeOthers(3);
  runFor(300ms);
  Objects.restore();
  runFor(700ms);
  BOOST_TEST(!serves(leaving));
  BOOST_TEST(serves(other));
  // The next incarnation under the same id is a new server.
  boost::json::object entry = leaving.entry("ledger");
  entry["born"] = 2000;
  Objects.put("servers", leaving.id(), entry);
  runFor(300ms);
  BOOST_TEST(serves(leaving));
}

// Guards against a server that has gone and is used again because the copy
// still lists it.
BOOST_AUTO_TEST_CASE(server_goneBeforeRestore_isNotUsedUntilItIsSeenAlive) {
  FakeServer &gone = addServer("ledger", done);
  registerServer(gone, "ledger");
  FakeServer &back = addServer("ledger", done);
  registerServer(back, "ledger");
  FakeServer &other = addServer("ledger", done);
  registerServer(other, "ledger");
  startEntry();
  Objects.keepCopy();
  Objects.remove("servers", gone.id());
  Objects.remove("servers", back.id());
  writeOthers(3);
  runFor(300ms);
  BOOST_TEST(!serves(gone));
  Objects.restore();
  runFor(700ms);
  BOOST_TEST(!serves(gone));
  BOOST_TEST(!serves(back));
  BOOST_TEST(serves(other));
  boost::json::object entry = back.entry("ledger");
  entry["born"] = 1000;
  entry["slots"] = 11;
  Objects.put("servers", back.id(), entry);
  Objects.remove("servers", gone.id());
  runFor(300ms);
  BOOST_TEST(serves(back));
  BOOST_TEST(!serves(gone));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(RestoredStoreOfEntries, EntriesFixture)

// Guards against an entry that starts during the drill and stays with the
// copy's configuration, although its peers have a newer one in force.
BOOST_AUTO_TEST_CASE(entry_startedFromCopy_takesNewerSettingsOfPeers) {
  addServer("ledger", done);
  startEntries(2);
  Objects.keepCopy();
  Objects.put("config", "main", configuration(2));
  Objects.put("config", "main", configuration(3));
  steps(300ms);
  Objects.restore();
  startOne();
  steps(2000ms);
  Reply metrics = getFrom(Entries.back().Settings.Ready, "/metrics");
  BOOST_TEST(metrics.Body.find("greengagespar_configuration_version 3") !=
             std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
