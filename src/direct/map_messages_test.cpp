#include "greengagespar/direct/map_messages.h"

#include <boost/test/unit_test.hpp>

using namespace greengagespar;

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

BOOST_AUTO_TEST_SUITE_END()
