#include "greengagespar/direct/server_table.h"

#include <boost/test/unit_test.hpp>

using namespace greengagespar;
using namespace std::chrono_literals;

namespace {

/// Two servers, one of them leaving.
struct ServersFixture {
  ServerTable Table;
  Clock::time_point Now = Clock::now();

  ServersFixture() {
    noteEntries(Table, {record("s1", false), record("s2", true)});
  }

  static ServerRecord record(const std::string &id, bool isLeaving,
                             std::uint64_t born = 1) {
    ServerRecord it;
    it.Id = {id};
    it.Service = {"ledger"};
    it.At = {"10.0.0.1:80"};
    it.Leaving = isLeaving;
    it.BornMs = born;
    return it;
  }

  bool has(const std::string &id) const { return Table.Servers.contains({id}); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ServerTables, ServersFixture)

BOOST_AUTO_TEST_CASE(entry_missingWhileStoreAnswers_isGoneAtOnce) {
  BOOST_TEST(noteMissing(Table, {{"s1"}}, Now).Gone.size() == 1);
  BOOST_TEST(!has("s1"));
}

BOOST_AUTO_TEST_CASE(entry_lapsedInOutage_staysUntilItHadTimeToReturn) {
  noteStoreAway(Table);
  noteStoreAnswered(Table, Now);
  BOOST_TEST(noteMissing(Table, {{"s1"}}, Now).Gone.empty());
  sweepServers(Table, Now + 2000ms);
  BOOST_TEST(has("s1"));
  BOOST_TEST(sweepServers(Table, Now + RegisterAgain).Gone.size() == 1);
  BOOST_TEST(!has("s1"));
}

BOOST_AUTO_TEST_CASE(entry_backInTime_isKept) {
  noteStoreAway(Table);
  noteStoreAnswered(Table, Now);
  noteMissing(Table, {{"s1"}}, Now);
  noteEntries(Table, {record("s1", false)});
  sweepServers(Table, Now + 1min);
  BOOST_TEST(has("s1"));
}

BOOST_AUTO_TEST_CASE(entry_missingAtTheEndOfTheDoubt_isGoneAtOnce) {
  noteStoreAway(Table);
  noteStoreAnswered(Table, Now);
  BOOST_TEST(noteMissing(Table, {{"s1"}}, Now + RegisterAgain).Gone.size() ==
             1);
}

BOOST_AUTO_TEST_CASE(entry_leavingAndLapsed_isGoneAtOnce) {
  noteStoreAway(Table);
  noteStoreAnswered(Table, Now);
  BOOST_TEST(noteMissing(Table, {{"s2"}}, Now).Gone.size() == 1);
}

BOOST_AUTO_TEST_CASE(outage_second_startsTheTimeToReturnAnew) {
  noteStoreAway(Table);
  noteStoreAnswered(Table, Now);
  noteMissing(Table, {{"s1"}}, Now);
  noteStoreAway(Table);
  BOOST_TEST(sweepServers(Table, Now + 1min).Gone.empty());
  noteStoreAnswered(Table, Now + 1min);
  sweepServers(Table, Now + 1min + 1s);
  BOOST_TEST(has("s1"));
}

BOOST_AUTO_TEST_CASE(entry_ofEarlierLife_changesNothing) {
  noteEntries(Table, {record("s1", false, 5)});
  BOOST_TEST(noteEntries(Table, {record("s1", true, 4)}).Updated.empty());
}

BOOST_AUTO_TEST_CASE(entry_unchanged_isNoChange) {
  BOOST_TEST(noteEntries(Table, {record("s1", false)}).Updated.empty());
}

BOOST_AUTO_TEST_CASE(entry_ofAnotherService_leavesTheOldOne) {
  ServerRecord moved = record("s1", false, 2);
  moved.Service = {"helper"};
  ServerChanges changes = noteEntries(Table, {moved});
  BOOST_REQUIRE(changes.Gone.size() == 1);
  BOOST_TEST(changes.Gone[0].Service.Value == "ledger");
  BOOST_TEST(changes.Updated.size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
