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

// The lease object and two candidates.
struct LeaseWorld {
  LeaseRead Object;
  LeaseState A;
  LeaseState B;

  LeaseWorld() {
    A.Self = {"a"};
    B.Self = {"b"};
    A.Process = B.Process = {1};
  }

  // Carries out a call at the platform; empty when there is none.
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

  // Lets a candidate make its calls for a time; answers come at once.
  void run(LeaseState &state, int fromMs, int toMs) {
    for (int ms = fromMs; ms < toMs; ms += 100) {
      auto event = answer(decideLease(state, LeaseTick{}, at(ms)));
      while (event)
        event = answer(decideLease(state, *event, at(ms)));
    }
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Lease, LeaseWorld)

BOOST_AUTO_TEST_CASE(freeLease_isTakenAndKept) {
  run(A, 0, 20000);
  BOOST_TEST(drivesUntil(A, at(20000)).has_value());
  BOOST_TEST(Object.Record->Number.Value == 1U);
}

BOOST_AUTO_TEST_CASE(pausedHolder_stopsBeforeAnotherTakesOver) {
  run(A, 0, 1000);
  int takenAt = 0;
  for (int ms = 1000; ms < 20000 && takenAt == 0; ms += 100) {
    run(B, ms, ms + 100);
    if (drivesUntil(B, at(ms)))
      takenAt = ms;
  }
  BOOST_TEST(takenAt > 0);
  BOOST_TEST(!drivesUntil(A, at(takenAt)).has_value());
  BOOST_TEST(Object.Record->Number.Value == 2U);
  // Woken, it finds that the lease is another's and does not drive.
  run(A, takenAt, takenAt + 300);
  BOOST_TEST(!drivesUntil(A, at(takenAt + 300)).has_value());
}

BOOST_AUTO_TEST_CASE(lostAnswer_isSettledByReading) {
  auto event = answer(decideLease(A, LeaseTick{}, at(0)));
  auto write = decideLease(A, *event, at(0));
  answer(write); // Takes effect; the answer is lost.
  auto read = decideLease(A, LeaseCallFailed{}, at(900));
  BOOST_REQUIRE(read && std::holds_alternative<ReadLease>(*read));
  decideLease(A, *answer(read), at(900));
  auto until = drivesUntil(A, at(900));
  BOOST_REQUIRE(until.has_value());
  // The term counts from when the write was sent.
  BOOST_TEST((*until == at(0) + A.Limits.Term - A.Limits.Margin));
}

BOOST_AUTO_TEST_CASE(platformOutage_holderStopsAtEndOfTerm) {
  run(A, 0, 1000);
  for (int ms = 1000; ms < 10000; ms += 100)
    decideLease(A, LeaseTick{}, at(ms));
  BOOST_TEST(!drivesUntil(A, at(10000)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Liveness)

BOOST_AUTO_TEST_CASE(judgeRank_evidence_givesVerdict) {
  struct Row {
    const char *Name;
    int ProcessAgoMs, EngineAgoMs, StepAgoMs;
    bool Refuses, HostGone, FreshFailed, OthersWait, Replaced;
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
    evidence.ProcessHeardAt = at(-row.ProcessAgoMs);
    evidence.EngineHeardAt = at(-row.EngineAgoMs);
    evidence.StepChangedAt = at(-row.StepAgoMs);
    evidence.EngineRefuses = row.Refuses;
    evidence.HostGone = row.HostGone;
    evidence.FreshLinkFailed = row.FreshFailed;
    evidence.OthersWaitForIt = row.OthersWait;
    evidence.Engine = {row.Replaced ? 2U : 0U};
    BOOST_TEST_CONTEXT(row.Name)
    BOOST_TEST((judgeRank(evidence, {}, at(0)) == row.Expected));
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
  noteFencing(gate, {4});
  BOOST_TEST((kindOf(gate, {3}) == ErrorKind::StaleFencingNumber));
  BOOST_TEST(!kindOf(gate, {5}).has_value());
  BOOST_TEST((kindOf(gate, {4}) == ErrorKind::StaleFencingNumber));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Pacing)

BOOST_AUTO_TEST_CASE(paceFetches_storeAndPeers_keepRates) {
  // Rank 0 to 2 hold experts 0 to 2; all want expert 0 or come from it.
  Placement placement{{3, 3, 1, 1}, {Expert{0}, Expert{1}, Expert{2}}};
  std::vector<Move> moves = {{Layer{0}, Rank{1}, Expert{1}, Expert{0}},
                             {Layer{0}, Rank{2}, Expert{2}, Expert{0}},
                             {Layer{0}, Rank{1}, Expert{0}, Expert{2}}};
  PaceLimits limits;
  limits.ExpertBytes = 1000;
  limits.LinkBytesPerSecond = 10000;
  limits.LinkShare = 0.1;
  limits.StoreBytesPerSecond = 500;
  auto fetches = paceFetches(moves, placement, limits);
  // A peer takes 1 s, the store 2 s; the second waits for the same peer as
  // long as the store takes, and the third for its own link.
  BOOST_TEST((fetches[0].From == Rank{0}));
  BOOST_TEST((fetches[1].From == Rank{0}));
  BOOST_TEST((fetches[2].From == Rank{2}));
  BOOST_TEST(fetches[1].Start.count() == 1);
  BOOST_TEST(fetches[2].Start.count() == 1);
  limits.StoreBytesPerSecond = 1e6;
  fetches = paceFetches(moves, placement, limits);
  BOOST_TEST(!fetches[1].From.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
