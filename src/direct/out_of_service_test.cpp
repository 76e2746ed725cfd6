/// \file
/// Tests of orders to take data centres out of service, told by the store and
/// by other entries in any order.
#include "greengagespar/direct/out_of_service.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>

using namespace greengagespar;
using namespace std::chrono_literals;

namespace {

const DataCentreId North{"north"};
const DataCentreId South{"south"};

ObjectVersion at(std::uint64_t revision, std::uint64_t timeline = 1) {
  return ObjectVersion(revision, StoreTimeline{timeline});
}

struct OrdersFixture {
  OrdersFixture() { State.IsOn = true; }

  // What the store holds as of a version, as orders with their last changes.
  std::vector<OrderChange> list(ObjectVersion asOf,
                                std::map<DataCentreId, ObjectVersion> orders) {
    OrderReport report;
    report.IsSnapshot = true;
    report.At = asOf;
    report.InForce = std::move(orders);
    return recordOrders(State, report, Now);
  }

  std::vector<OrderChange> change(ObjectVersion asOf,
                                  std::map<DataCentreId, ObjectVersion> orders,
                                  std::set<DataCentreId> withdrawn = {}) {
    OrderReport report;
    report.At = asOf;
    report.InForce = std::move(orders);
    report.Withdrawn = std::move(withdrawn);
    return recordOrders(State, report, Now);
  }

  bool isOut(const DataCentreId &id) const { return isOutOfService(State, id); }

  OutOfService State;
  Clock::time_point Now{1h};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(OutOfServiceOrders, OrdersFixture)

BOOST_AUTO_TEST_CASE(order_ofTheStore_isInForceUntilWithdrawn) {
  BOOST_TEST(list(at(10), {}).empty());
  auto changes = change(at(12), {{North, at(12)}});
  BOOST_REQUIRE(changes.size() == 1U);
  BOOST_TEST(changes[0].DataCentre.Value == "north");
  BOOST_TEST(isOut(North));
  BOOST_TEST(!isOut(South));
  BOOST_TEST(change(at(15), {}).empty());
  BOOST_TEST(isOut(North));
  BOOST_TEST(change(at(20), {}, {North}).size() == 1U);
  BOOST_TEST(!isOut(North));
}

BOOST_AUTO_TEST_CASE(orders_ofTwoDataCentres_endOneByOne) {
  list(at(10), {{North, at(8)}, {South, at(9)}});
  BOOST_TEST(countOutOfService(State) == 2U);
  change(at(11), {}, {North});
  BOOST_TEST(!isOut(North));
  BOOST_TEST(isOut(South));
}

BOOST_AUTO_TEST_CASE(order_missingInLaterList_isWithdrawn) {
  list(at(10), {{North, at(8)}});
  BOOST_TEST(list(at(30), {}).size() == 1U);
  BOOST_TEST(!isOut(North));
}

// Guards against an entry whose poll the store has lost: it holds to what other
// entries say, in whichever order it arrives.
BOOST_AUTO_TEST_CASE(rows_inAnyOrder_giveTheLatestStatement) {
  std::vector<OrderRow> rows = {{North, true, at(12)},  {North, false, at(20)},
                                {North, true, at(31)},  {North, false, at(40)},
                                {South, false, at(15)}, {South, true, at(22)}};
  std::mt19937 rng(3);
  for (int i = 0; i < 50; ++i) {
    std::ranges::shuffle(rows, rng);
    State = {};
    State.IsOn = true;
    for (int copies = 0; copies < 2; ++copies)
      for (const OrderRow &it : rows)
        mergeOrder(State, it, Now);
    BOOST_TEST(!isOut(North));
    BOOST_TEST(isOut(South));
  }
}

BOOST_AUTO_TEST_CASE(withdrawal_olderThanOrder_doesNotUndoIt) {
  list(at(10), {});
  change(at(30), {{North, at(30)}});
  BOOST_TEST(!mergeOrder(State, {North, false, at(25)}, Now));
  BOOST_TEST(isOut(North));
}

BOOST_AUTO_TEST_CASE(report_olderThanPeersWithdrawal_doesNotUndoIt) {
  list(at(10), {{North, at(8)}});
  BOOST_TEST(mergeOrder(State, {North, false, at(40)}, Now).has_value());
  BOOST_TEST(change(at(30), {{North, at(29)}}).empty());
  BOOST_TEST(!isOut(North));
  BOOST_TEST(mergeOrder(State, {North, true, at(50)}, Now).has_value());
  BOOST_TEST(change(at(45), {}, {North}).empty());
  BOOST_TEST(list(at(46), {}).empty());
  BOOST_TEST(isOut(North));
}

// Guards against an entry that was cut off from all others for minutes and
// brings an order back that everybody has forgotten.
BOOST_AUTO_TEST_CASE(order_ofPeerThatTheStoreHasNot_isAnsweredWithdrawn) {
  list(at(40), {});
  BOOST_TEST(!mergeOrder(State, {North, true, at(12)}, Now));
  BOOST_TEST(!isOut(North));
  auto rows = orderRows(State, 8);
  BOOST_REQUIRE(rows.size() == 1U);
  BOOST_TEST(!rows[0].IsOut);
  BOOST_TEST((rows[0].At == at(40)));
  OutOfService other;
  other.IsOn = true;
  mergeOrder(other, {North, true, at(12)}, Now);
  BOOST_TEST(mergeOrder(other, rows[0], Now).has_value());
  BOOST_TEST(!isOutOfService(other, North));
}

// Guards against an entry that starts while the store turns it away.
BOOST_AUTO_TEST_CASE(startingEntry_withoutStore_takesOrdersOfPeers) {
  BOOST_TEST(mergeOrder(State, {North, true, at(12)}, Now).has_value());
  BOOST_TEST(isOut(North));
  list(at(20), {{North, at(12)}});
  BOOST_TEST(isOut(North));
  list(at(21), {});
  BOOST_TEST(!isOut(North));
}

BOOST_AUTO_TEST_CASE(order_whileStoreIsLost_stays) {
  list(at(10), {{North, at(8)}});
  for (int i = 0; i < 600; ++i) {
    Now += 1s;
    BOOST_TEST(expireOrders(State, Now).empty());
  }
  BOOST_TEST(isOut(North));
}

BOOST_AUTO_TEST_CASE(order_lackingInRestoredStore_staysForATime) {
  list(at(100), {{North, at(98)}});
  BOOST_TEST(list(at(50, 2), {}).empty());
  BOOST_TEST(isOut(North));
  Now += State.HoldAfterRestore - 1s;
  // A second list does not begin the time again.
  list(at(60, 2), {});
  BOOST_TEST(expireOrders(State, Now).empty());
  BOOST_TEST(isOut(North));
  Now += 1s;
  BOOST_TEST(expireOrders(State, Now).size() == 1U);
  BOOST_TEST(!isOut(North));
}

BOOST_AUTO_TEST_CASE(order_writtenAgainAfterRestore_staysForGood) {
  list(at(100), {{North, at(98)}});
  list(at(50, 2), {});
  change(at(52, 2), {{North, at(52, 2)}});
  Now += State.HoldAfterRestore * 2;
  BOOST_TEST(expireOrders(State, Now).empty());
  BOOST_TEST(isOut(North));
  change(at(60, 2), {}, {North});
  BOOST_TEST(!isOut(North));
}

BOOST_AUTO_TEST_CASE(order_withdrawnBeforeRestore_isInForceIfTheCopyHasIt) {
  list(at(100), {{North, at(98)}});
  change(at(110), {}, {North});
  BOOST_TEST(list(at(100, 2), {{North, at(98, 2)}}).size() == 1U);
  BOOST_TEST(isOut(North));
}

BOOST_AUTO_TEST_CASE(order_ofPeerFromBeforeRestore_staysForATime) {
  list(at(50, 2), {});
  BOOST_TEST(mergeOrder(State, {North, true, at(98)}, Now).has_value());
  Now += State.HoldAfterRestore;
  BOOST_TEST(expireOrders(State, Now).size() == 1U);
  BOOST_TEST(!isOut(North));
}

BOOST_AUTO_TEST_CASE(withdrawals_old_areForgotten) {
  list(at(10), {{North, at(8)}});
  change(at(20), {}, {North});
  Now += State.KeepWithdrawal + 1s;
  expireOrders(State, Now);
  BOOST_TEST(State.DataCentres.empty());
  BOOST_TEST(!mergeOrder(State, {North, true, at(8)}, Now));
}

BOOST_AUTO_TEST_CASE(rows_tooMany_areOrdersInForceFirst) {
  list(at(10), {{North, at(8)}});
  change(at(20), {{South, at(20)}}, {North});
  auto rows = orderRows(State, 1);
  BOOST_REQUIRE(rows.size() == 1U);
  BOOST_TEST(rows[0].DataCentre.Value == "south");
}

BOOST_AUTO_TEST_CASE(dataCentres_tooMany_areIgnoredAndTheRestHolds) {
  State.MaxDataCentres = 3;
  list(at(5), {{North, at(2)}});
  for (std::uint64_t i = 0; i < 10; ++i)
    change(at(10 + i), {{{std::to_string(i).append("-x")}, at(10 + i)}});
  BOOST_TEST(State.DataCentres.size() == 3U);
  BOOST_TEST(isOut(North));
  change(at(30), {}, {{"0-x"}});
  change(at(31), {{South, at(31)}});
  BOOST_TEST(isOut(South));
}

BOOST_AUTO_TEST_CASE(dataCentre_thatNobodyKnows_isReportedOnce) {
  list(at(10), {{North, at(8)}, {South, at(9)}});
  auto isKnown = [](const DataCentreId &it) { return it == South; };
  BOOST_TEST(takeUnknown(State, isKnown, Now).empty());
  Now += State.UnknownAfter;
  auto unknown = takeUnknown(State, isKnown, Now);
  BOOST_REQUIRE(unknown.size() == 1U);
  BOOST_TEST(unknown[0].Value == "north");
  BOOST_TEST(takeUnknown(State, isKnown, Now).empty());
  BOOST_TEST(isOut(North));
}

BOOST_AUTO_TEST_CASE(peers_withoutTheSetting_areIgnored) {
  State.IsOn = false;
  BOOST_TEST(!mergeOrder(State, {North, true, at(12)}, Now));
  BOOST_TEST(!isOut(North));
}

BOOST_AUTO_TEST_SUITE_END()
