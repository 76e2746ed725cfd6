#include "greengagespar/group/lease.h"
#include "greengagespar/group/liveness.h"
#include "greengagespar/group/pacing.h"
#include "greengagespar/group/server_orders.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace greengagespar;
using std::chrono::milliseconds;

namespace {

SteadyTime at(int ms) { return SteadyTime(milliseconds(100000 + ms)); }

// The lease object on the platform and two candidates.
struct LeaseFixture {
  LeaseRead Object;
  LeaseState A;
  LeaseState B;

  LeaseFixture() {
    A.Self = {"a"};
    B.Self = {"b"};
    A.Process = B.Process = {1};
  }

  // Performs the call at the platform and returns its answer; empty if there is
  // no call.
  std::optional<LeaseEvent> answer(const std::optional<LeaseAction> &action) {
    if (!action)
      return std::nullopt;
    const auto *write = std::get_if<WriteLease>(&*action);
    if (write == nullptr)
      return Object;
    if (write->IfVersion != Object.Version)
      return LeaseCallFailed{};
    Object = {write->Record, Object.Version + 1};
    return LeaseWritten{Object.Version};
  }

  // Runs a candidate or holder for a time. The platform answers its calls at
  // once.
  void run(LeaseState &state, int fromMs, int toMs) {
    for (int ms = fromMs; ms < toMs; ms += 100) {
      auto event = answer(decideLease(state, LeaseTick{}, at(ms)));
      while (event)
        event = answer(decideLease(state, *event, at(ms)));
    }
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Lease, LeaseFixture)

BOOST_AUTO_TEST_CASE(decideLease_freeLease_isAcquiredAndRenewed) {
  run(A, 0, 20000);
  BOOST_TEST(mayDriveUntil(A, at(20000)).has_value());
  BOOST_TEST(Object.Record->Number.Value == 1U);
}

BOOST_AUTO_TEST_CASE(decideLease_pausedHolder_stopsBeforeTakeOver) {
  run(A, 0, 1000);
  int takenOverAt = 0;
  for (int ms = 1000; ms < 20000 && takenOverAt == 0; ms += 100) {
    run(B, ms, ms + 100);
    if (mayDriveUntil(B, at(ms)))
      takenOverAt = ms;
  }
  BOOST_TEST(takenOverAt > 0);
  BOOST_TEST(!mayDriveUntil(A, at(takenOverAt)).has_value());
  BOOST_TEST(Object.Record->Number.Value == 2U);
  // When the holder runs again, it reads that another process holds the lease
  // and does not drive.
  run(A, takenOverAt, takenOverAt + 300);
  BOOST_TEST(!mayDriveUntil(A, at(takenOverAt + 300)).has_value());
}

BOOST_AUTO_TEST_CASE(decideLease_lostWriteAnswer_isResolvedByReading) {
  auto event = answer(decideLease(A, LeaseTick{}, at(0)));
  auto write = decideLease(A, *event, at(0));
  answer(write); // The write takes effect, but its answer is lost.
  auto read = decideLease(A, LeaseCallFailed{}, at(900));
  BOOST_REQUIRE(read && std::holds_alternative<ReadLease>(*read));
  decideLease(A, *answer(read), at(900));
  auto until = mayDriveUntil(A, at(900));
  BOOST_REQUIRE(until.has_value());
  // The term counts from the time at which the write was sent.
  BOOST_TEST((*until == at(0) + A.Limits.Term - A.Limits.Margin));
}

BOOST_AUTO_TEST_CASE(decideLease_platformOutage_holderStopsAtEndOfTerm) {
  run(A, 0, 1000);
  for (int ms = 1000; ms < 10000; ms += 100)
    decideLease(A, LeaseTick{}, at(ms));
  BOOST_TEST(!mayDriveUntil(A, at(10000)).has_value());
}

// Guards against two terms with one number after the store was restored from a
// copy of before the last take-over: servers could not tell their orders apart.
BOOST_AUTO_TEST_CASE(decideLease_restoredStore_numberIsNotUsedAgain) {
  run(A, 0, 1000);
  LeaseRead copy = Object;
  run(B, 1000, 12000);
  BOOST_REQUIRE(Object.Record->Number.Value == 2U);
  Object = copy;
  run(B, 12000, 14000);
  BOOST_TEST(!mayDriveUntil(B, at(14000)).has_value());
  run(B, 14000, 30000);
  BOOST_TEST(mayDriveUntil(B, at(30000)).has_value());
  BOOST_TEST(Object.Record->Number.Value == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Liveness)

BOOST_AUTO_TEST_CASE(classifyRank_evidence_returnsHealth) {
  struct Row {
    const char *Name;
    int ProcessAgoMs, EngineAgoMs, StepAgoMs;
    bool Refuses, HostLost, NewFailed, OthersFinished, Replaced;
    RankHealth Expected;
  };
  const Row rows[] = {
      {"steps go up", 10, 10, 70, false, false, false, false, false,
       RankHealth::Healthy},
      {"waits for another", 10, 10, 900, false, false, false, false, false,
       RankHealth::Waiting},
      {"long stall", 10, 10, 60000, false, false, false, true, false,
       RankHealth::Stalled},
      {"silent link only", 900, 900, 900, false, false, false, true, false,
       RankHealth::Suspected},
      {"host list alone", 10, 10, 70, false, true, false, false, false,
       RankHealth::Healthy},
      {"host gone, fresh link not tried", 600, 600, 900, false, true, false,
       true, false, RankHealth::Suspected},
      {"silent and host gone", 600, 600, 900, false, true, true, true, false,
       RankHealth::Dead},
      {"silent on fresh link", 2100, 2100, 2100, false, false, true, true,
       false, RankHealth::Dead},
      {"engine silent", 10, 2100, 2100, false, false, false, true, false,
       RankHealth::Dead},
      {"port refuses", 10, 10, 70, true, false, false, false, false,
       RankHealth::Dead},
      {"engine replaced", 10, 10, 70, false, false, false, false, true,
       RankHealth::Dead},
  };
  for (const Row &row : rows) {
    RankEvidence evidence;
    evidence.ProcessLastReceivedAt = at(-row.ProcessAgoMs);
    evidence.EngineLastReceivedAt = at(-row.EngineAgoMs);
    evidence.StepChangedAt = at(-row.StepAgoMs);
    evidence.EngineRefusesConnections = row.Refuses;
    evidence.HostReportedLost = row.HostLost;
    evidence.NewConnectionFailed = row.NewFailed;
    evidence.OthersFinishedStep = row.OthersFinished;
    evidence.Engine = {row.Replaced ? 2U : 0U};
    BOOST_TEST_CONTEXT(row.Name)
    BOOST_TEST((classifyRank(evidence, {}, at(0)) == row.Expected));
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ServerOrders)

BOOST_AUTO_TEST_CASE(missingOrders_readBack_loadsBeforeUnloading) {
  ServerConfiguration actual{ServerRole::Mixed, {{"m", "1"}}, {}};
  ServerConfiguration wanted{ServerRole::Decode, {{"m", "2"}}, {{"a", "1"}}};
  auto orders = missingOrders(wanted, actual, {3});
  BOOST_TEST(orders.size() == 3U);
  BOOST_TEST((orders == missingOrders(wanted, actual, {3})));
  actual.Models.insert({"m", "2"});
  actual.Adapters.insert({"a", "1"});
  actual.Role = ServerRole::Decode;
  orders = missingOrders(wanted, actual, {3});
  BOOST_REQUIRE(orders.size() == 1U);
  BOOST_TEST((orders[0].Kind == ServerOrderKind::UnloadModel));
  actual.Models.erase({"m", "1"});
  BOOST_TEST(missingOrders(wanted, actual, {3}).empty());
}

BOOST_AUTO_TEST_CASE(admitOrder_afterRestartAndOldNumber_isRefused) {
  auto kindOf = [](FencingGate &gate, FencingNumber number) {
    return recoverFrom(
        [&]() -> Result<std::optional<ErrorKind>> {
          BOOST_LEAF_CHECK(admitOrder(gate, number));
          return std::optional<ErrorKind>();
        },
        [](const Error &e) { return std::optional(e.Kind); });
  };
  FencingGate gate;
  BOOST_TEST((kindOf(gate, {9}) == ErrorKind::NotReady));
  recordFencing(gate, {4});
  BOOST_TEST((kindOf(gate, {3}) == ErrorKind::StaleFencingNumber));
  BOOST_TEST(!kindOf(gate, {5}).has_value());
  BOOST_TEST((kindOf(gate, {4}) == ErrorKind::StaleFencingNumber));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Pacing)

BOOST_AUTO_TEST_CASE(scheduleFetches_storeAndPeers_keepRates) {
  // Rank r holds expert r. Ranks 1 and 2 fetch expert 0, then rank 1 fetches
  // expert 2.
  Placement placement{{3, 3, 1, 1}, {Expert{0}, Expert{1}, Expert{2}}, {}};
  std::vector<Move> moves = {{Layer{0}, Rank{1}, Expert{1}, Expert{0}},
                             {Layer{0}, Rank{2}, Expert{2}, Expert{0}},
                             {Layer{0}, Rank{1}, Expert{0}, Expert{2}}};
  FetchLimits limits;
  limits.ExpertBytes = 1000;
  limits.LinkBytesPerSecond = 10000;
  limits.LinkShare = 0.1;
  limits.StoreBytesPerSecond = 500;
  auto fetches = scheduleFetches(moves, placement, limits);
  // A fetch from a peer lasts 1 s, one from the store 2 s. The second fetch
  // waits for the peer of the first, ends when the store would end it, and uses
  // the peer. The third waits for the link of its own rank.
  BOOST_TEST((fetches[0].From == Rank{0}));
  BOOST_TEST((fetches[1].From == Rank{0}));
  BOOST_TEST((fetches[2].From == Rank{2}));
  BOOST_TEST(fetches[1].Start.count() == 1);
  BOOST_TEST(fetches[2].Start.count() == 1);
  limits.StoreBytesPerSecond = 1e6;
  fetches = scheduleFetches(moves, placement, limits);
  BOOST_TEST(!fetches[1].From.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
