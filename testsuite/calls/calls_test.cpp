#include "call_bench.h"

#include <boost/test/unit_test.hpp>
#include <thread>

using namespace greengagespar::harness;
using std::chrono::milliseconds;

namespace {

ClusterPlan smallPlan() {
  ClusterPlan plan;
  plan.Helpers = 3;
  plan.Ledgers = 3;
  plan.EntrySettings["max_body_bytes"] = 4000000;
  plan.LedgerArgs = {"--service-us", "5000"};
  return plan;
}

struct CallsFixture : Cluster {
  BenchPlan Bench;
  BenchReport Report;

  CallsFixture() : Cluster(smallPlan()) { Cluster::start(); }

  void run() {
    Report = runBench(*this, Bench);
    for (const auto &[kind, n] : Report.LastErrors)
      BOOST_TEST_MESSAGE(n << " callers ended with " << kind);
  }

  // Checks what must hold in every run, whatever fails.
  void checkInvariants() {
    BOOST_TEST(Report.Bookings > 0u);
    BOOST_TEST(Report.Doubled == 0u);
    BOOST_TEST(Report.FalseNotRun == 0u);
    BOOST_TEST(Report.FalseAnswered == 0u);
    BOOST_TEST(Report.WrongAnswers == 0u);
  }

  void freeze(const std::string &name, milliseconds at, milliseconds wait) {
    Bench.Faults.push_back(
        {at, [name](Cluster &it) { it.process(name).signal(SIGSTOP); }});
    Bench.Faults.push_back(
        {at + wait, [name](Cluster &it) { it.process(name).signal(SIGCONT); }});
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CallsUnderFaults, CallsFixture)

BOOST_AUTO_TEST_CASE(calls_endpointsKilledAndRestarted_runAtMostOnce) {
  Bench.Faults = killsAndRestarts(
      {"helper-1", "helper-2", "ledger-1", "ledger-2", "ledger-3"},
      Bench.Duration, milliseconds(500), milliseconds(200), 11);
  run();
  checkInvariants();
  BOOST_TEST(Report.NotAnswered == 0u);
}

BOOST_AUTO_TEST_CASE(calls_entriesKilled_areAnsweredByAnotherEntry) {
  Bench.Faults = killsAndRestarts({"entry-1", "entry-2"}, Bench.Duration,
                                  milliseconds(1000), milliseconds(300), 12);
  run();
  checkInvariants();
  BOOST_TEST(Report.UnknownBookings == 0u);
  BOOST_TEST(Report.NotAnswered == 0u);
}

BOOST_AUTO_TEST_CASE(calls_endpointsFrozenAndResumed_runAtMostOnce) {
  freeze("ledger-1", milliseconds(1000), milliseconds(3000));
  freeze("helper-1", milliseconds(1200), milliseconds(3000));
  std::ranges::stable_sort(Bench.Faults, {}, &FaultStep::At);
  run();
  checkInvariants();
  BOOST_TEST(Report.NotAnswered == 0u);
}

BOOST_AUTO_TEST_CASE(calls_platformOutage_areAllAnswered) {
  setFaults({{"outage", true}});
  run();
  checkInvariants();
  BOOST_TEST(Report.Answered == Report.Calls);
}

BOOST_AUTO_TEST_CASE(calls_hostsRestartedInTurn_noneFails) {
  int restarts = 0;
  std::vector<std::string> names = {"entry-1", "helper-1", "ledger-1"};
  for (const std::string &name : names) {
    Bench.Faults.push_back(
        {milliseconds(500 + 5000 * restarts),
         [name](Cluster &it) { it.process(name).signal(SIGTERM); }});
    Bench.Faults.push_back(
        {milliseconds(5000 + 5000 * restarts), [name](Cluster &it) {
           BOOST_TEST(it.process(name).wait(milliseconds(1)).value_or(-1) == 0);
           it.start(name);
         }});
    ++restarts;
  }
  Bench.Duration = milliseconds(16000);
  run();
  checkInvariants();
  BOOST_TEST(Report.Answered == Report.Calls);
}

BOOST_AUTO_TEST_CASE(answer_readAfterEntryIsStopped_isWhole) {
  // More than the kernel buffers for a caller that doesn't read.
  constexpr std::size_t bodyBytes = 3500000;
  RawConnection caller(address("entry-1"), 4096);
  caller.send("POST /v1/services/ledger/echo HTTP/1.1\r\nHost: entry\r\n"
              "X-Workspace: members\r\nConnection: close\r\n"
              "Content-Length: " +
              std::to_string(bodyBytes) + "\r\n\r\n" +
              std::string(bodyBytes, 'x'));
  std::this_thread::sleep_for(milliseconds(500));
  process("entry-1").signal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(4500));
  std::string answer = caller.readUntil("no such text");
  BOOST_TEST(answer.starts_with("HTTP/1.1 200"));
  BOOST_TEST(answer.size() > bodyBytes);
  BOOST_TEST(process("entry-1").wait().value_or(-1) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
