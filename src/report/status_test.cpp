#include "greengagespar/report/status.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

using namespace greengagespar;
using namespace std::chrono_literals;

namespace {

struct Report {
  WallTime Now = WallTime{} + 24h * 20000;
  BurnLedger Ledger;
  BurnSnapshot Snapshot;
  GroupStatus Status;

  Report() {
    Snapshot.Source = {{"entry-1"}, {7}};
    SeriesKey key{TargetKind::Group,   "drafts", {"short"},
                  Measure::FirstToken, 460,      0.95};
    Snapshot.Counters.Series[key] = {900, {60, 40, 0, 0}};
    merge(Ledger, Snapshot, Now);
    Status.Target = "drafts";
    Status.Team = {"dryers"};
    Status.WrittenAt = Now;
    Status.Servers = {{{"helper-1"}, ServerHealth::Aside, 3, 1, 16}};
    Status.Objectives = burnsOf(Ledger, TargetKind::Group, "drafts", Now);
  }
};

template <class T> bool failed(Result<T> result) {
  return boost::leaf::try_handle_all(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(std::move(result));
        return false;
      },
      [] { return true; });
}

bool contains(const std::string &text, const std::string &part) {
  return text.find(part) != std::string::npos;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(StatusReports, Report)

BOOST_AUTO_TEST_CASE(status_writtenAndRead_continuesWithoutDoubleCount) {
  auto value =
      boost::json::parse(boost::json::serialize(toJson(Status, &Ledger)));
  BurnLedger next = ledgerOfStatus(value).value();
  merge(next, Snapshot, Now);
  auto burns = burnsOf(next, TargetKind::Group, "drafts", Now);
  BOOST_REQUIRE(burns.size() == 1);
  BOOST_TEST(burns[0].Windows[0].Good == 900);
  BOOST_TEST(burns[0].Windows[4].Bad == 100);
}

BOOST_AUTO_TEST_CASE(snapshot_writtenAndRead_isEqual) {
  BurnSnapshot read = burnSnapshotFromJson(toJson(Snapshot)).value();
  BOOST_TEST((read.Source == Snapshot.Source));
  BOOST_TEST(read.Counters.Series.begin()->second.Bad[1] == 40);
}

BOOST_AUTO_TEST_CASE(ledgerOfStatus_malformed_fails) {
  for (const char *it :
       {"[]", R"({"ledger":{}})", R"({"ledger":{"sources":[],"rings":[1]}})",
        R"({"ledger":{"sources":[{"entry":"a"}],"rings":[]}})"})
    BOOST_TEST(failed(ledgerOfStatus(boost::json::parse(it))), it);
}

BOOST_AUTO_TEST_CASE(renderText_burningObjective_namesRatesAndCauses) {
  std::string text = renderText({Status});
  BOOST_TEST(contains(text, "95% with first_token within 460 ms"));
  BOOST_TEST(contains(text, "5m 2 "));
  BOOST_TEST(contains(text, "queue 60  endpoint 40"));
  BOOST_TEST(contains(text, "server helper-1: aside, running 3 of 16"));
}

BOOST_AUTO_TEST_CASE(renderJson_status_omitsTheLedger) {
  auto document = boost::json::parse(renderJson({Status})).as_object();
  auto &status = document.at("statuses").as_array().at(0).as_object();
  BOOST_TEST(!status.contains("ledger"));
  BOOST_TEST(status.at("objectives").as_array().size() == 1);
}

BOOST_AUTO_TEST_CASE(renderBurnMetrics_objective_hasRateBudgetAndCause) {
  std::string text = renderBurnMetrics(Status.Objectives);
  BOOST_TEST(contains(text, "window=\"5m\"} 2\n"));
  BOOST_TEST(contains(text, "cause=\"queue\"} 60\n"));
  BOOST_TEST(
      contains(text, "greengagespar_error_budget_left{group=\"drafts\""));
}

BOOST_AUTO_TEST_CASE(renderSvg_lastHour_drawsNewestPointAndEscapes) {
  BurnPlot plot = plotOf(Ledger, TargetKind::Group, "drafts", true, Now);
  BOOST_REQUIRE(plot.Lines.size() == 1);
  BOOST_TEST(plot.Lines[0].Rates.size() == 12);
  BOOST_TEST(std::abs(plot.Lines[0].Rates.back() - 2) < 1e-9);
  plot.Title = "a<b";
  std::string svg = renderSvg(plot);
  BOOST_TEST(contains(svg, "a&lt;b"));
  BOOST_TEST(contains(svg, "<polyline"));
}

BOOST_AUTO_TEST_SUITE_END()
