#include "greengagespar/direct/map_messages.h"

#include <boost/test/unit_test.hpp>
#include <limits>

using namespace greengagespar;
using std::chrono::milliseconds;

namespace {

// A request for a rank's state at AskedAt, and its answer with a state that was
// read 120 ms before.
struct AnsweredAsk {
  Clock::time_point AskedAt{std::chrono::hours(5)};
  wire::RankState State;

  AnsweredAsk() {
    State.set_running(7);
    State.set_waiting(2);
    State.set_step(41);
    State.set_pace(2.5);
    State.set_age_ms(120);
    State.set_asked_at_ms(writeAskTime(AskedAt));
  }

  auto readAfter(milliseconds transit) const {
    return readLoadReport(State, AskedAt + transit);
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(MapMessages)

BOOST_AUTO_TEST_CASE(order_writtenAndRead_isTheSame) {
  DirectMapOrder order;
  order.Order.Kind = OrderKind::Prepare;
  order.Order.Number = {{7}, 2, Rank(3), {9}};
  order.Order.To = Rank(1);
  order.Order.Process = {11};
  order.Order.Map = {4};
  order.Order.Step = {812};
  order.Epoch = 2;
  order.Places = {{{Expert(0), Expert(2)}, {Expert(1)}}, {{}, {Expert(5)}}};
  DirectMapOrder read = readMapOrder(writeMapOrder(order)).value();
  BOOST_TEST(bool(read.Order == order.Order));
  BOOST_TEST(bool(read.Places == order.Places));
  BOOST_TEST(read.Epoch == 2U);
}

BOOST_AUTO_TEST_CASE(report_writtenAndRead_isTheSame) {
  DirectMapReport report;
  report.Report.From = Rank(2);
  report.Report.InReplyTo = OrderKind::Decide;
  report.Report.Accepted = true;
  report.Report.Engine.Stage = MapStage::Armed;
  report.Report.Engine.Pending = {5};
  report.Report.Engine.IsHoldOnly = true;
  report.Report.LastDecision = AppliedDecision{{5}, Decision::Release};
  report.Report.HighestPrepared = {6};
  report.Epoch = 3;
  DirectMapReport read = readMapReport(writeMapReport(report)).value();
  BOOST_TEST(bool(read.Report == report.Report));
  BOOST_TEST(read.Epoch == 3U);
}

BOOST_AUTO_TEST_CASE(order_ofUnknownKind_isRefused) {
  wire::MapOrder message;
  message.set_kind(99);
  BOOST_TEST(!readMapOrder(message));
}

BOOST_AUTO_TEST_CASE(order_withTooFewExperts_isRefused) {
  wire::MapOrder message;
  message.add_layers()->add_experts_of_rank(5);
  BOOST_TEST(!readMapOrder(message));
}

BOOST_FIXTURE_TEST_CASE(loadReport_ofAnswer_isAsOldAsItCanBe, AnsweredAsk) {
  auto load = readAfter(milliseconds(40)).value();
  BOOST_TEST(load.Running == 7);
  BOOST_TEST(load.Waiting == 2);
  BOOST_TEST(load.Step == 41U);
  BOOST_TEST(load.Pace == 2.5);
  BOOST_TEST(bool(load.AsOf == AskedAt - milliseconds(120)));
}

// The failure: the entry's host stands still for 3 s, and the answer waits in
// its socket.
BOOST_FIXTURE_TEST_CASE(loadReport_readAfterFreeze_countsTheFreezeAsAge,
                        AnsweredAsk) {
  auto load = readAfter(milliseconds(3000)).value();
  BOOST_TEST(bool(load.AsOf == AskedAt - milliseconds(120)));
  BOOST_TEST(!readAfter(MaxReportedLoadAge).has_value());
}

BOOST_FIXTURE_TEST_CASE(loadReport_withoutAge_isWorthNothing, AnsweredAsk) {
  State.clear_age_ms();
  BOOST_TEST(!readAfter(milliseconds(40)).has_value());
}

// An agent sends a change of its state without being asked.
BOOST_FIXTURE_TEST_CASE(loadReport_ofStateThatAnswersNothing_isNone,
                        AnsweredAsk) {
  State.set_asked_at_ms(0);
  BOOST_TEST(!readAfter(milliseconds(40)).has_value());
}

BOOST_FIXTURE_TEST_CASE(loadReport_withImpossibleValues_isBounded,
                        AnsweredAsk) {
  State.set_running(std::numeric_limits<std::uint32_t>::max());
  State.set_pace(std::numeric_limits<double>::quiet_NaN());
  auto load = readAfter(milliseconds(40)).value();
  BOOST_TEST(load.Running > 0);
  BOOST_TEST(load.Pace == 1);
  State.set_pace(std::numeric_limits<double>::infinity());
  BOOST_TEST(readAfter(milliseconds(40))->Pace < 1000);
  State.set_asked_at_ms(std::numeric_limits<std::uint64_t>::max());
  BOOST_TEST(!readAfter(milliseconds(40)).has_value());
  State.set_asked_at_ms(writeAskTime(AskedAt));
  State.set_age_ms(std::numeric_limits<std::uint32_t>::max());
  BOOST_TEST(!readAfter(milliseconds(40)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
