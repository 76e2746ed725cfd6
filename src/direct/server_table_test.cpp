#include "greengagespar/direct/server_table.h"

#include <boost/test/unit_test.hpp>

using namespace greengagespar;
using namespace std::chrono_literals;

namespace {

/// A table of two servers, of which s2 is leaving.
struct ServersFixture {
  ServerTable Table;
  Clock::time_point Now = Clock::now();

  ServersFixture() {
    recordRegistrations(Table, {record("s1", false), record("s2", true)});
  }

  static ServerRecord record(const std::string &id, bool isLeaving,
                             std::uint64_t born = 1) {
    ServerRecord it;
    it.Id = {id};
    it.Service = {"ledger"};
    it.At = {"10.0.0.1:80" + id};
    it.Leaving = isLeaving;
    it.StartedMs = born;
    return it;
  }

  bool has(const std::string &id) const { return Table.Servers.contains({id}); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ServerTables, ServersFixture)

BOOST_AUTO_TEST_CASE(registration_missingWhileStoreAnswers_isRemovedAtOnce) {
  BOOST_TEST(recordMissing(Table, {{"s1"}}, Now).Removed.size() == 1);
  BOOST_TEST(!has("s1"));
}

// A server counts as one of the data centre that it last registered with.
BOOST_AUTO_TEST_CASE(registration_withOtherDataCentre_isReported) {
  ServerRecord moved = record("s1", false);
  moved.DataCentre = {"north"};
  auto updated = recordRegistrations(Table, {moved}).Updated;
  BOOST_REQUIRE(updated.size() == 1U);
  BOOST_TEST(updated[0].DataCentre.Value == "north");
}

BOOST_AUTO_TEST_CASE(registration_expiredInOutage_isKeptForReregistrationTime) {
  recordStoreUnavailable(Table);
  recordStoreAnswer(Table, Now);
  BOOST_TEST(recordMissing(Table, {{"s1"}}, Now).Removed.empty());
  removeExpired(Table, Now + 2000ms);
  BOOST_TEST(has("s1"));
  BOOST_TEST(removeExpired(Table, Now + ReregistrationTime).Removed.size() ==
             1);
  BOOST_TEST(!has("s1"));
}

BOOST_AUTO_TEST_CASE(registration_renewedInTime_isKept) {
  recordStoreUnavailable(Table);
  recordStoreAnswer(Table, Now);
  recordMissing(Table, {{"s1"}}, Now);
  recordRegistrations(Table, {record("s1", false)});
  removeExpired(Table, Now + 1min);
  BOOST_TEST(has("s1"));
}

BOOST_AUTO_TEST_CASE(registration_missingAfterOutageGrace_isRemovedAtOnce) {
  recordStoreUnavailable(Table);
  recordStoreAnswer(Table, Now);
  BOOST_TEST(
      recordMissing(Table, {{"s1"}}, Now + ReregistrationTime).Removed.size() ==
      1);
}

BOOST_AUTO_TEST_CASE(registration_leavingAndExpired_isRemovedAtOnce) {
  recordStoreUnavailable(Table);
  recordStoreAnswer(Table, Now);
  BOOST_TEST(recordMissing(Table, {{"s2"}}, Now).Removed.size() == 1);
}

BOOST_AUTO_TEST_CASE(outage_second_restartsReregistrationTime) {
  recordStoreUnavailable(Table);
  recordStoreAnswer(Table, Now);
  recordMissing(Table, {{"s1"}}, Now);
  recordStoreUnavailable(Table);
  BOOST_TEST(removeExpired(Table, Now + 1min).Removed.empty());
  recordStoreAnswer(Table, Now + 1min);
  removeExpired(Table, Now + 1min + 1s);
  BOOST_TEST(has("s1"));
}

BOOST_AUTO_TEST_CASE(registration_ofEarlierIncarnation_changesNothing) {
  recordRegistrations(Table, {record("s1", false, 5)});
  BOOST_TEST(
      recordRegistrations(Table, {record("s1", true, 4)}).Updated.empty());
}

BOOST_AUTO_TEST_CASE(registration_unchanged_isNoChange) {
  BOOST_TEST(recordRegistrations(Table, {record("s1", false)}).Updated.empty());
}

BOOST_AUTO_TEST_CASE(registration_movedToAnotherService_removesOldRecord) {
  ServerRecord moved = record("s1", false, 2);
  moved.Service = {"helper"};
  ServerChanges changes = recordRegistrations(Table, {moved});
  BOOST_REQUIRE(changes.Removed.size() == 1);
  BOOST_TEST(changes.Removed[0].Service.Value == "ledger");
  BOOST_TEST(changes.Updated.size() == 1);
}

// Guards against requests to a server that has crashed: it stays registered
// for seconds after another one has started at its address.
BOOST_AUTO_TEST_CASE(registration_laterAtSameAddress_replacesTheFormer) {
  ServerRecord later = record("s3", false, 2);
  later.At = record("s1", false).At;
  ServerChanges changes = recordRegistrations(Table, {later});
  BOOST_REQUIRE(changes.Updated.size() == 1);
  BOOST_TEST(changes.Updated[0].Id.Value == "s3");
  BOOST_REQUIRE(changes.Removed.size() == 1);
  BOOST_TEST(changes.Removed[0].Id.Value == "s1");
  // The former one is not used again, and its removal is no change.
  BOOST_TEST(recordRegistrations(Table, {record("s1", true)}).Updated.empty());
  BOOST_TEST(recordMissing(Table, {{"s1"}}, Now).Removed.empty());
}

BOOST_AUTO_TEST_CASE(registration_earlierAtSameAddress_isNotUsed) {
  ServerRecord later = record("s3", false, 9);
  ServerRecord former = record("s4", false, 8);
  former.At = later.At;
  ServerChanges changes = recordListing(Table, {later, former}, false, Now);
  BOOST_REQUIRE(changes.Updated.size() == 1);
  BOOST_TEST(changes.Updated[0].Id.Value == "s3");
  BOOST_TEST(changes.Removed.empty());
}

// A server whose clock was set back registers an earlier start than the one
// before it: it is used once that one's registration has lapsed.
BOOST_AUTO_TEST_CASE(registration_replacedWhenTheLaterOneLapses_isUsedAgain) {
  ServerRecord later = record("s3", false, 9);
  ServerRecord former = record("s4", false, 8);
  former.At = later.At;
  recordListing(Table, {later, former}, false, Now);
  ServerChanges changes = recordMissing(Table, {{"s3"}}, Now);
  BOOST_REQUIRE(changes.Updated.size() == 1);
  BOOST_TEST(changes.Updated[0].Id.Value == "s4");
  BOOST_REQUIRE(changes.Removed.size() == 1);
  BOOST_TEST(changes.Removed[0].Id.Value == "s3");
}

// Guards against servers that registered after the copy was made and are
// removed at once when a restored store does not list them.
BOOST_AUTO_TEST_CASE(restore_missingServer_isKeptForReregistrationTime) {
  recordRestore(Table, Now);
  BOOST_TEST(recordMissing(Table, {{"s1"}}, Now + 100ms).Removed.empty());
  removeExpired(Table, Now + 2000ms);
  BOOST_TEST(has("s1"));
  BOOST_TEST(removeExpired(Table, Now + ReregistrationTime).Removed.size() ==
             1);
}

BOOST_AUTO_TEST_CASE(restore_twice_restartsReregistrationTime) {
  recordRestore(Table, Now);
  recordMissing(Table, {{"s1"}}, Now);
  recordRestore(Table, Now + 2s);
  removeExpired(Table, Now + 4s);
  BOOST_TEST(has("s1"));
}

// Guards against a leaving server that gets work again because the copy holds
// its registration of before.
BOOST_AUTO_TEST_CASE(restore_leavingServerListedAsReady_staysLeaving) {
  recordRestore(Table, Now);
  BOOST_TEST(
      recordListing(Table, {record("s2", false)}, true, Now).Updated.empty());
  BOOST_TEST(Table.Servers.at({"s2"}).Record.Leaving);
  // It reports again that it leaves.
  recordRegistrations(Table, {record("s2", true)});
  BOOST_TEST(recordConfirmed(Table, Now + 1min).Updated.empty());
}

// Guards against a server that has gone and gets work again because the copy
// still lists it.
BOOST_AUTO_TEST_CASE(restore_departedServerListed_isUsedOnceConfirmed) {
  recordMissing(Table, {{"s1"}}, Now);
  recordRestore(Table, Now);
  recordListing(Table, {record("s1", false)}, true, Now);
  BOOST_TEST(!has("s1"));
  // A listing without a restore in between changes nothing.
  recordListing(Table, {record("s1", false)}, false, Now + 1s);
  BOOST_TEST(!has("s1"));
  auto confirmed = Now + Table.ConfirmationTime;
  BOOST_TEST(recordConfirmed(Table, confirmed - 1ms).Updated.empty());
  BOOST_TEST(recordConfirmed(Table, confirmed).Updated.size() == 1);
  BOOST_TEST(has("s1"));
}

BOOST_AUTO_TEST_CASE(restore_departedServerThatLapses_isForgotten) {
  recordMissing(Table, {{"s1"}}, Now);
  recordRestore(Table, Now);
  recordListing(Table, {record("s1", false)}, true, Now);
  BOOST_TEST(missingFrom(Table, {record("s2", true)}).size() == 1);
  recordMissing(Table, {{"s1"}}, Now + 1s);
  BOOST_TEST(recordConfirmed(Table, Now + 1min).Updated.empty());
  BOOST_TEST(!has("s1"));
}

BOOST_AUTO_TEST_CASE(restore_departedServerRegistersOrStartsAgain_isUsed) {
  recordMissing(Table, {{"s1"}}, Now);
  recordRestore(Table, Now);
  // A later incarnation is not the one that has left.
  recordListing(Table, {record("s1", false, 2)}, true, Now);
  BOOST_TEST(has("s1"));
  recordMissing(Table, {{"s1"}}, Now + 1min);
  recordRestore(Table, Now + 1min);
  recordListing(Table, {record("s1", false, 2)}, true, Now + 1min);
  BOOST_TEST(!has("s1"));
  recordRegistrations(Table, {record("s1", false, 2)});
  BOOST_TEST(has("s1"));
}

BOOST_AUTO_TEST_CASE(restore_doubtfulServerInOutage_isNotConfirmed) {
  recordMissing(Table, {{"s1"}}, Now);
  recordRestore(Table, Now);
  recordListing(Table, {record("s1", false)}, true, Now);
  recordStoreUnavailable(Table);
  BOOST_TEST(recordConfirmed(Table, Now + 1min).Updated.empty());
}

// A cold server registers again with less time left: that reaches the pools,
// but is no change of the server.
BOOST_AUTO_TEST_CASE(registration_ofAColdServer_isReportedApart) {
  ServerRecord cold = record("s1", false);
  cold.ColdRemaining = 2500ms;
  ServerChanges changes = recordRegistrations(Table, {cold});
  BOOST_TEST(changes.Updated.empty());
  BOOST_REQUIRE(changes.Cold.size() == 1);
  BOOST_TEST((changes.Cold[0].ColdRemaining == 2500ms));
  // Cold again, or still: the same figure counts from now.
  BOOST_TEST(recordRegistrations(Table, {cold}).Cold.size() == 1);
  cold.ColdRemaining = 0ms;
  changes = recordRegistrations(Table, {cold});
  BOOST_TEST(changes.Cold.empty());
  BOOST_TEST(changes.Updated.empty());
  cold.ColdRemaining.reset();
  BOOST_TEST(recordRegistrations(Table, {cold}).Cold.empty());
}

// Guards against an entry of another writer that puts a server out of use: no
// configuration names its service.
BOOST_AUTO_TEST_CASE(registration_ofUnnamedService_replacesNoServer) {
  recordServices(Table, {{"ledger"}, {"helper"}});
  ServerRecord foreign = record("m1", false, 9);
  foreign.At = record("s1", false).At;
  foreign.Service = {"ledger-watch"};
  ServerChanges changes = recordRegistrations(Table, {foreign});
  BOOST_TEST(changes.Updated.empty());
  BOOST_TEST(changes.Removed.empty());
  BOOST_TEST(recordMissing(Table, {{"m1"}}, Now).Removed.empty());
}

// Servers and configuration may come in any order.
BOOST_AUTO_TEST_CASE(configuration_namingTheServiceLater_makesItsServersCount) {
  ServerRecord foreign = record("m1", false, 9);
  foreign.At = record("s1", false).At;
  foreign.Service = {"helper"};
  recordRegistrations(Table, {foreign});
  ServerChanges changes = recordServices(Table, {{"ledger"}});
  BOOST_REQUIRE(changes.Updated.size() == 1);
  BOOST_TEST(changes.Updated[0].Id.Value == "s1");
  BOOST_REQUIRE(changes.Removed.size() == 1);
  BOOST_TEST(changes.Removed[0].Id.Value == "m1");
  changes = recordServices(Table, {{"ledger"}, {"helper"}});
  BOOST_REQUIRE(changes.Updated.size() == 1);
  BOOST_TEST(changes.Updated[0].Id.Value == "m1");
  BOOST_REQUIRE(changes.Removed.size() == 1);
  BOOST_TEST(changes.Removed[0].Id.Value == "s1");
}

BOOST_AUTO_TEST_CASE(server_movedToUnnamedService_isRemovedOnce) {
  recordServices(Table, {{"ledger"}});
  ServerRecord moved = record("s1", false, 2);
  moved.Service = {"ledger-watch"};
  ServerChanges changes = recordRegistrations(Table, {moved});
  BOOST_TEST(changes.Updated.empty());
  BOOST_REQUIRE(changes.Removed.size() == 1);
  BOOST_TEST(changes.Removed[0].Service.Value == "ledger");
}

// Guards against an entry with a start in the future that puts the server at
// its address out of use, in one service or two.
BOOST_AUTO_TEST_CASE(
    registration_thatAnotherServerAnswersFor_replacesNoServer) {
  for (const char *service : {"ledger", "helper"}) {
    ServersFixture site;
    recordServices(site.Table, {{"ledger"}, {"helper"}});
    ServerRecord foreign = record("m1", false, 1000);
    foreign.At = record("s1", false).At;
    foreign.Service = {service};
    BOOST_TEST(recordRegistrations(site.Table, {foreign}).Removed.size() == 1);
    auto isForeign = [&](const ServerRecord &it) {
      return it.Id == foreign.Id;
    };
    ServerChanges changes = recordElsewhere(site.Table, isForeign);
    BOOST_REQUIRE(changes.Updated.size() == 1);
    BOOST_TEST(changes.Updated[0].Id.Value == "s1");
    BOOST_TEST(recordElsewhere(site.Table, isForeign).Updated.empty());
    // A later start is news of the address.
    foreign.StartedMs = 2000;
    changes = recordRegistrations(site.Table, {foreign});
    BOOST_REQUIRE(changes.Removed.size() == 1);
    BOOST_TEST(changes.Removed[0].Id.Value == "s1");
  }
}

BOOST_AUTO_TEST_SUITE_END()
