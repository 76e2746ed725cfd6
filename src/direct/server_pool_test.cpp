/// \file
/// Tests of the servers of one service while data centres are out of service.
/// Nothing is sent: a started call only says which server it got.
#include "greengagespar/base/event_loop.h"
#include "greengagespar/direct/server_pool.h"
#include <boost/test/unit_test.hpp>

using namespace greengagespar;
using namespace std::chrono_literals;

namespace {

const DataCentreId North{"north"};
const DataCentreId South{"south"};

struct PoolFixture {
  PoolFixture() { Orders.IsOn = true; }

  void addServer(const std::string &id, const DataCentreId &dataCentre) {
    ServerRecord record;
    record.Id = {id};
    record.Service = {"ledger"};
    record.At = {std::string("127.0.0.1:").append(std::to_string(++NextPort))};
    record.DataCentre = dataCentre;
    record.Slots = 2;
    record.ColdRemaining = ColdRemaining;
    Pool.update(record);
  }

  // Takes \p dataCentre out of service, or ends that.
  void order(const DataCentreId &dataCentre, bool isOut) {
    mergeOrder(Orders, {dataCentre, isOut, ObjectVersion(++Revision)},
               Clock::now());
    Pool.applyNotices();
  }

  void submit() {
    PoolCall call;
    call.Id = {{1}, ++NextCall};
    call.Workspace = {"butchers"};
    call.StartBy = Clock::now() + 30s;
    call.OnStart = [this, id = call.Id](const ServerRecord &it) {
      Started.emplace_back(id, it);
    };
    call.OnRefused = [this](const Refusal &it) { Refused.push_back(it); };
    Pool.submit(std::move(call));
  }

  void submitAll(int count) {
    for (int i = 0; i < count; ++i)
      submit();
  }

  // Returns the number of calls that were started in \p dataCentre.
  auto startedIn(const DataCentreId &dataCentre) const {
    return std::ranges::count_if(Started, [&](const auto &it) {
      return it.second.DataCentre == dataCentre;
    });
  }

  // Ends all started calls with an answer; those that wait may start then.
  void answerAll() {
    for (const auto &[id, server] : std::exchange(Started, {}))
      Pool.finished(id, server.Id, {});
  }

  EventLoop Loop;
  ServerNotices Notices;
  OutOfService Orders;
  ServerPool Pool{Loop.base(), {"ledger"}, Notices, Orders, 5};
  std::vector<std::pair<CallId, ServerRecord>> Started;
  std::vector<Refusal> Refused;
  std::optional<std::chrono::milliseconds> ColdRemaining; ///< Of new servers.
  int NextPort = 7000;
  std::uint64_t NextCall = 0;
  std::uint64_t Revision = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ServerPoolOutOfService, PoolFixture)

BOOST_AUTO_TEST_CASE(servers_ofDataCentreOut_getNoCallsUntilItIsBack) {
  addServer("n1", North);
  addServer("s1", South);
  order(North, true);
  for (int i = 0; i < 20; ++i) {
    submit();
    BOOST_TEST(startedIn(North) == 0);
    answerAll();
  }
  order(North, false);
  submitAll(6);
  BOOST_TEST(startedIn(North) > 0);
}

// The load: the servers of a data centre come back cold and idle at one moment,
// so that each entry would send its next calls there.
BOOST_AUTO_TEST_CASE(servers_backInService_getNoCallsBeforeTheirPartIsSet) {
  Backend service;
  service.Id = {"ledger"};
  service.ColdTime = 3s;
  service.ColdPerSecond = 20;
  Pool.configure(service);
  Pool.setColdBound(1.5, 5);
  ColdRemaining = 0ms;
  addServer("n1", North);
  addServer("s1", South);
  Address self{"10.0.0.1:1"};
  ColdSharers all{.Entries = {self}, .Known = 1};
  order(North, true);
  Pool.shareLimits({}, self, {{self, {}}}, all);
  submitAll(4);
  order(North, false);
  submitAll(4);
  BOOST_TEST(startedIn(North) == 0);
  Pool.shareLimits({}, self, {{self, {}}}, all);
  BOOST_TEST(Pool.hasCold(Clock::now()));
}

BOOST_AUTO_TEST_CASE(server_registeredMeanwhile_getsNoCalls) {
  addServer("s1", South);
  order(North, true);
  addServer("n1", North);
  submitAll(4);
  BOOST_TEST(startedIn(North) == 0);
  BOOST_TEST(startedIn(South) > 0);
}

// The load: more calls than the servers that are left have slots, so that some
// wait while the data centre is taken out.
BOOST_AUTO_TEST_CASE(calls_thatWait_areStartedElsewhere) {
  addServer("n1", North);
  addServer("s1", South);
  submitAll(30);
  BOOST_REQUIRE(Pool.waiting() > 0U);
  order(North, true);
  answerAll();
  BOOST_TEST(startedIn(North) == 0);
  BOOST_TEST(startedIn(South) > 0);
}

BOOST_AUTO_TEST_CASE(calls_inProgress_areNotEnded) {
  addServer("n1", North);
  addServer("s1", South);
  submitAll(8);
  auto before = Started.size();
  order(North, true);
  BOOST_TEST(Started.size() == before);
  BOOST_TEST(Refused.empty());
}

BOOST_AUTO_TEST_CASE(lastDataCentreOut_refusesAtOnceAndTruly) {
  addServer("n1", North);
  submitAll(12);
  auto waiting = Pool.waiting();
  BOOST_REQUIRE(waiting > 0U);
  order(North, true);
  BOOST_TEST(Pool.waiting() == 0U);
  BOOST_TEST(Refused.size() == waiting);
  submit();
  BOOST_REQUIRE(Refused.size() == waiting + 1);
  for (const Refusal &it : Refused) {
    BOOST_TEST((it.CallRan == Ran::No));
    BOOST_TEST((it.Kind == ErrorKind::Overloaded));
    BOOST_TEST(it.RetryAfter.count() > 0);
  }
}

// The last server that takes work ends while calls wait for it, and all others
// are out of service.
BOOST_AUTO_TEST_CASE(lastServerGone_besideDataCentreOut_refusesThoseThatWait) {
  addServer("n1", North);
  addServer("s1", South);
  order(North, true);
  submitAll(12);
  BOOST_REQUIRE(Pool.waiting() > 0U);
  Pool.remove({"s1"});
  Pool.tick(Clock::now());
  BOOST_TEST(Pool.waiting() == 0U);
}

// The capacity that is left limits how many streams of a group are admitted.
BOOST_AUTO_TEST_CASE(group_partlyOut_admitsOnlyWhatIsLeft) {
  Backend group;
  group.Id = {"ledger"};
  group.Engine.emplace();
  group.Engine->Slots = 4;
  Pool.configure(group);
  for (int i = 0; i < 4; ++i)
    addServer(std::to_string(i).append("n"), North);
  addServer("s1", South);
  Pool.setEntries(1, 1);
  order(North, true);
  submitAll(40);
  BOOST_TEST(startedIn(North) == 0);
  constexpr int unevenLimit =
      6; // One and a half times the slots that are left.
  BOOST_TEST(Started.size() <= static_cast<std::size_t>(unevenLimit));
}

BOOST_AUTO_TEST_SUITE_END()
