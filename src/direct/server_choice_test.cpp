#include "greengagespar/base/event_loop.h"
#include "greengagespar/direct/server_pool.h"

#include <boost/test/unit_test.hpp>

using namespace greengagespar;
using namespace std::chrono_literals;

namespace {

// The pool of a group of three servers with ten slots each.
struct GroupPool {
  EventLoop Loop;
  ServerNotices Notices;
  ServerPool Pool{Loop.base(), {"group"}, Notices, 7};
  std::uint64_t Calls = 0;

  GroupPool() {
    configure(0ms);
    for (const char *id : {"server-0", "server-1", "server-2"}) {
      ServerRecord record;
      record.Id = {id};
      record.At = {std::string(id) + ":80"};
      Pool.update(record);
    }
  }

  void configure(std::chrono::milliseconds lag) {
    Backend group{{"group"}, EngineProfile{}};
    group.Engine->Slots = 10;
    group.Engine->ReportLag = lag;
    Pool.configure(group);
  }

  void reportLoads(int first, int second, int third) {
    auto now = Clock::now();
    Pool.recordServerLoad({"server-0"}, {first, 0, 0, now});
    Pool.recordServerLoad({"server-1"}, {second, 0, 0, now});
    Pool.recordServerLoad({"server-2"}, {third, 0, 0, now});
  }

  // Returns the server that a call is sent to.
  ServerId send() {
    ServerId chosen;
    PoolCall call;
    call.Id = CallId{{1}, ++Calls};
    call.StartBy = Clock::now() + 10s;
    call.OnStart = [&](const ServerRecord &it) { chosen = it.Id; };
    call.OnRefused = [](const Refusal &) {};
    Pool.submit(std::move(call));
    return chosen;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ServerChoice, GroupPool)

// The load: more entries than a server has slots send to the group, and one
// server is full.
BOOST_AUTO_TEST_CASE(send_withMoreEntriesThanSlots_followsReportedLoads) {
  Pool.setEntries(11);
  reportLoads(400, 0, 400);
  BOOST_TEST(send().Value == "server-1");
  BOOST_TEST((Pool.lastChoice().Reason == ChoiceReason::EvenLoad));
  BOOST_TEST(Pool.lastChoice().Report->Running == 0);
}

BOOST_AUTO_TEST_CASE(send_withAsManyEntriesAsSlots_goesByOwnCalls) {
  Pool.setEntries(10);
  reportLoads(400, 0, 400);
  BOOST_TEST(!Pool.views()[1].Report.has_value());
  send();
  BOOST_TEST((Pool.lastChoice().Reason == ChoiceReason::Cheapest));
}

BOOST_AUTO_TEST_CASE(report_ofGroupWithLag_isOlderByTheLag) {
  Pool.setEntries(11);
  configure(200ms);
  auto asOf = Clock::now();
  Pool.recordServerLoad({"server-0"}, {4, 1, 0, asOf, 17, 2});
  const LoadReport &known = *Pool.views()[0].Report;
  BOOST_TEST(bool(known.AsOf == asOf - 200ms));
  BOOST_TEST(known.Slots == 10);
  BOOST_TEST(known.Step == 17U);
  BOOST_TEST(known.Pace == 2);
}

// The failure: the server of a report has been replaced since.
BOOST_AUTO_TEST_CASE(report_ofReplacedServer_isForgotten) {
  Pool.setEntries(11);
  reportLoads(1, 2, 3);
  ServerRecord record;
  record.Id = {"server-0"};
  record.At = {"server-0:80"};
  record.StartedMs = 5;
  Pool.update(record);
  BOOST_TEST(!Pool.views()[0].Report.has_value());
  Pool.recordServerLoad({"server-9"}, {1, 0, 0, Clock::now()});
  BOOST_TEST(Pool.views().size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
