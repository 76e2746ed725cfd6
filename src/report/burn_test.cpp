#include "greengagespar/report/burn.h"

#include <boost/test/unit_test.hpp>

using namespace greengagespar;
using namespace std::chrono_literals;

namespace {

const Objective FirstToken{"first_token", 460ms, 0.95};

struct EvaluateCase {
  const char *Name;
  CallOutcome Outcome;
  std::optional<bool> Good;
  BurnCause Cause;
};

CallOutcome answered(Clock::duration first, Clock::duration queued) {
  CallOutcome outcome;
  outcome.FirstToken = first;
  outcome.QueueWait = queued;
  outcome.Answer = first + 2s;
  return outcome;
}

CallOutcome failed(ErrorKind kind, Clock::duration queued) {
  CallOutcome outcome;
  outcome.FailureKind = kind;
  outcome.QueueWait = queued;
  outcome.Answer = 1s;
  return outcome;
}

const std::vector<EvaluateCase> EvaluateCases = {
    {"in time", answered(400ms, 100ms), true, BurnCause::Unknown},
    {"late by queue", answered(600ms, 200ms), false, BurnCause::Queue},
    {"late by server", answered(900ms, 200ms), false, BurnCause::Endpoint},
    {"refused", failed(ErrorKind::Overloaded, 0s), false, BurnCause::Refused},
    {"expired", failed(ErrorKind::Overloaded, 1s), false, BurnCause::Queue},
    {"link", failed(ErrorKind::LinkDown, 0s), false, BurnCause::Endpoint},
    {"lost", failed(ErrorKind::OutcomeUnknown, 0s), false, BurnCause::Unknown},
    {"over limit", failed(ErrorKind::WorkspaceLimit, 0s), std::nullopt, {}},
    {"bad request", failed(ErrorKind::BadRequest, 0s), std::nullopt, {}},
};

struct Ledger {
  WallTime Now = WallTime{} + 24h * 20000;
  BurnLedger All;
  SeriesKey Key{TargetKind::Group,   "drafts", {"short"},
                Measure::FirstToken, 460,      0.95};

  BurnSnapshot snapshot(const char *entry, std::uint64_t incarnation,
                        std::uint64_t good, std::uint64_t bad) const {
    BurnSnapshot it;
    it.Source = {{entry}, {incarnation}};
    it.Counters.Series[Key] = {good, {bad, 0, 0, 0}};
    return it;
  }

  ObjectiveBurn burn() const {
    auto burns = burnsOf(All, TargetKind::Group, "drafts", Now);
    BOOST_REQUIRE(burns.size() == 1);
    return burns[0];
  }

  std::uint64_t good() const { return burn().Windows.back().Good; }
};

} // namespace

BOOST_AUTO_TEST_SUITE(Objectives)

BOOST_AUTO_TEST_CASE(evaluate_eachCase_findsCause) {
  for (const EvaluateCase &it : EvaluateCases) {
    auto evaluation = evaluate(FirstToken, it.Outcome);
    BOOST_TEST(evaluation.has_value() == it.Good.has_value(), it.Name);
    if (!evaluation || !it.Good)
      continue;
    BOOST_TEST(evaluation->Good == *it.Good, it.Name);
    if (!evaluation->Good)
      BOOST_TEST((evaluation->Cause == it.Cause), it.Name);
  }
}

BOOST_AUTO_TEST_CASE(recordOutcome_severalObjectives_countsEach) {
  BurnCounters counters;
  std::vector<Objective> objectives = {FirstToken, {"answer", 1s, 0.99}};
  recordOutcome(counters, TargetKind::Group, "drafts", {"short"}, objectives,
                answered(400ms, 0s));
  BOOST_REQUIRE(counters.Series.size() == 2);
  std::uint64_t good = 0;
  std::uint64_t bad = 0;
  for (const auto &[key, counts] : counters.Series) {
    good += counts.Good;
    bad += totalBad(counts);
  }
  BOOST_TEST(good == 1);
  BOOST_TEST(bad == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(BurnLedgers, Ledger)

BOOST_AUTO_TEST_CASE(merge_repeatedOrDelayedSnapshot_countsOnce) {
  merge(All, snapshot("entry-1", 1, 100, 0), Now);
  merge(All, snapshot("entry-1", 1, 150, 0), Now);
  merge(All, snapshot("entry-1", 1, 150, 0), Now);
  merge(All, snapshot("entry-1", 1, 100, 0), Now);
  BOOST_TEST(good() == 150);
}

BOOST_AUTO_TEST_CASE(merge_entryRestarts_countsBothIncarnations) {
  merge(All, snapshot("entry-1", 1, 100, 0), Now);
  merge(All, snapshot("entry-1", 2, 10, 0), Now);
  merge(All, snapshot("entry-1", 1, 120, 0), Now);
  merge(All, snapshot("entry-2", 1, 5, 0), Now);
  BOOST_TEST(good() == 135);
}

BOOST_AUTO_TEST_CASE(merge_snapshotOfDroppedIncarnation_isNotCountedTwice) {
  merge(All, snapshot("entry-1", 1, 100, 0), Now);
  merge(All, snapshot("entry-1", 2, 10, 0), Now);
  Now += 11min;
  merge(All, snapshot("entry-1", 2, 20, 0), Now);
  prune(All, Now);
  BOOST_TEST(All.Sources.size() == 1);
  merge(All, snapshot("entry-1", 1, 100, 0), Now);
  BOOST_TEST(good() == 120);
}

BOOST_AUTO_TEST_CASE(burn_oldEvents_leaveTheWindows) {
  merge(All, snapshot("entry-1", 1, 0, 100), Now);
  BOOST_TEST(burn().Windows[0].Bad == 100);
  Now += 10min;
  BOOST_TEST(burn().Windows[0].Bad == 0);
  BOOST_TEST(burn().Windows[2].Bad == 100);
  Now += 2h;
  BOOST_TEST(burn().Windows[2].Bad == 0);
  BOOST_TEST(burn().Windows[3].Bad == 100);
  Now += 80h;
  BOOST_TEST(burn().Windows[4].Bad == 0);
  prune(All, Now);
  BOOST_TEST(All.Rings.empty());
}

BOOST_AUTO_TEST_CASE(burn_shareOfBad_givesRateBudgetAndCause) {
  merge(All, snapshot("entry-1", 1, 900, 100), Now);
  ObjectiveBurn it = burn();
  BOOST_TEST(std::abs(it.Windows[0].Rate - 2) < 1e-9);
  BOOST_TEST(std::abs(it.BudgetLeft + 1) < 1e-9);
  BOOST_TEST(it.Causes[0] == 100);
  BOOST_TEST((it.Alert == BurnAlert::Ticket));
}

BOOST_AUTO_TEST_CASE(burn_fastBurn_pagesUntilTheShortWindowIsClean) {
  merge(All, snapshot("entry-1", 1, 100, 900), Now);
  BOOST_TEST((burn().Alert == BurnAlert::Page));
  Now += 40min;
  merge(All, snapshot("entry-1", 1, 200, 900), Now);
  BOOST_TEST((burn().Alert == BurnAlert::Ticket));
}

BOOST_AUTO_TEST_CASE(burn_looseObjective_stillPagesWhenMostAreBad) {
  Key.Share = 0.5;
  merge(All, snapshot("entry-1", 1, 10, 990), Now);
  BOOST_TEST((burn().Alert == BurnAlert::Page));
}

BOOST_AUTO_TEST_CASE(burn_fewEvents_raiseNoAlert) {
  merge(All, snapshot("entry-1", 1, 0, 3), Now);
  BOOST_TEST((burn().Alert == BurnAlert::None));
}

BOOST_AUTO_TEST_SUITE_END()
