#include "cluster.h"

#include <boost/test/unit_test.hpp>

using namespace greengagespar;
using namespace greengagespar::harness;

namespace {

// An entry notices after 3 s that another one of its data centre is
// unresponsive.
constexpr std::chrono::milliseconds LongTimeout{30000};

ClusterPlan plan(const std::set<std::string> &startLater) {
  ClusterPlan plan;
  plan.StartLater = startLater;
  plan.DataCentres = {"dc1"};
  plan.EntriesPerDataCentre = 3;
  plan.Helpers = 1;
  plan.Ledgers = 1;
  plan.EntriesKnowPeers = true;
  plan.EntrySettings["drain_grace_ms"] = 0;
  return plan;
}

struct MembershipFixture : Cluster {
  explicit MembershipFixture(const std::set<std::string> &startLater = {})
      : Cluster(::plan(startLater)) {
    start();
    std::vector<int> started = {1, 2};
    if (startLater.empty())
      started.push_back(3);
    bool allListed = all([&](const std::string &it) {
      return entriesListedBy(it) == addresses(started);
    });
    BOOST_REQUIRE_MESSAGE(allListed, diagnosis());
  }

  // Waits until \p condition is true for all running entries. Returns false if
  // that takes too long.
  bool all(const std::function<bool(const std::string &)> &condition) {
    return waitUntil(
        [&] {
          for (const std::string &it : processesOf("greengagespar-entry"))
            if (process(it).pid() && !condition(it))
              return false;
          return true;
        },
        LongTimeout);
  }

  std::set<std::string> addresses(const std::vector<int> &entries) {
    std::set<std::string> out;
    for (int it : entries)
      out.insert(address("entry-" + std::to_string(it)).Value);
    return out;
  }

  HttpAnswer draft(const std::string &entry, const std::string &workspace) {
    HttpRequest request;
    request.Method = "POST";
    request.Target = "/v1/completions";
    request.Headers = {{"X-Workspace", workspace}, {"X-Deadline-Ms", "8000"}};
    request.Body =
        R"({"model":"order-helper","prompt":"len=5","max_tokens":20})";
    return call(address(entry), request);
  }

  // Declares one more workspace and waits until the platform has accepted it.
  // Returns the generation of the accepted settings.
  std::uint64_t addWorkspace(const std::string &name) {
    std::uint64_t before = generation("entry-1");
    putObject("/teams/umuhuza/settings/workspaces/" + name,
              boost::json::object{{"weight", 2.0}});
    std::uint64_t now = before;
    waitUntil([&] {
      boost::json::value index = object("/system/index");
      now = index.is_object()
                ? index.at("generation").to_number<std::uint64_t>()
                : 0;
      return now > before;
    });
    return now;
  }
};

struct LateEntryFixture : MembershipFixture {
  LateEntryFixture() : MembershipFixture({"entry-3"}) {}
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(MembershipScenario, MembershipFixture)

BOOST_AUTO_TEST_CASE(entries_oneKilledAndRestarted_isUnlistedAndListedAgain) {
  kill("entry-3");
  BOOST_TEST(all([&](const std::string &it) {
    return entriesListedBy(it) == addresses({1, 2});
  }));
  start("entry-3");
  BOOST_TEST(all([&](const std::string &it) {
    return entriesListedBy(it) == addresses({1, 2, 3});
  }));
}

BOOST_AUTO_TEST_CASE(entry_leavingWithCalls_isNotListedAndReturnsOthers) {
  RawConnection caller(address("entry-1"));
  std::string body =
      R"({"model":"order-helper","prompt":"len=30000","max_tokens":30000,"stream":true})";
  caller.send("POST /v1/completions HTTP/1.1\r\nHost: x\r\nX-Workspace: "
              "members\r\nContent-Length: " +
              std::to_string(body.size()) + "\r\n\r\n" + body);
  BOOST_REQUIRE(!caller.readUntil("data:").empty());
  process("entry-1").signal(SIGTERM);
  BOOST_TEST(waitUntil([&] {
    return entriesListedBy("entry-2") == addresses({2, 3});
  }));
  BOOST_TEST((entriesListedBy("entry-1") == addresses({2, 3})));
  HttpAnswer refused = draft("entry-1", "members");
  boost::json::value error = jsonOf(refused).at("error");
  BOOST_TEST(error.at("kind").as_string() == "leaving");
  BOOST_TEST(error.at("entries").as_array().size() == 2u);
  BOOST_TEST(process("entry-1").pid() != 0);
}

BOOST_AUTO_TEST_CASE(settings_changedBeforeOutage_areInForceOnAll) {
  std::uint64_t accepted = addWorkspace("late");
  setFaults({{"outage", true}});
  BOOST_TEST(
      all([&](const std::string &it) { return generation(it) >= accepted; }));
  for (const std::string &it : processesOf("greengagespar-entry"))
    BOOST_TEST(draft(it, "late").Status == 200);
}

// Guards against processes that take nothing from a restored store, or its
// older index, because its revisions and generations have gone back.
BOOST_AUTO_TEST_CASE(settings_changedAfterRestore_areInForceOnAll) {
  setFaults({{"keep_copy", true}});
  std::uint64_t lost = 0;
  for (const char *it : {"first", "second", "third"})
    lost = addWorkspace(it);
  BOOST_REQUIRE(
      all([&](const std::string &it) { return generation(it) >= lost; }));
  setFaults({{"restore", true}});
  // The operators write again what the store has lost.
  for (const char *name : {"first", "second", "third", "fourth"}) {
    std::uint64_t accepted = addWorkspace(name);
    BOOST_TEST(accepted > lost);
    BOOST_TEST(
        all([&](const std::string &it) { return generation(it) >= accepted; }),
        diagnosis());
  }
  for (const std::string &it : processesOf("greengagespar-entry"))
    for (const char *name : {"first", "third", "fourth"})
      BOOST_TEST(draft(it, name).Status == 200);
}

BOOST_AUTO_TEST_CASE(endpoint_restartedInOutage_hasSettingsFromEntries) {
  setFaults({{"outage", true}});
  kill("helper-1");
  start("helper-1");
  BOOST_TEST(draft("entry-1", "members").Status == 200, diagnosis());
}

BOOST_FIXTURE_TEST_CASE(entry_firstStartedInOutage_hasSettingsFromPeers,
                        LateEntryFixture) {
  setFaults({{"outage", true}});
  start("entry-3");
  BOOST_TEST(waitReady("entry-3"), diagnosis());
  BOOST_TEST(generation("entry-3") == generation("entry-1"));
  BOOST_TEST(all([&](const std::string &it) {
    return entriesListedBy(it) == addresses({1, 2, 3});
  }));
}

BOOST_AUTO_TEST_CASE(entry_restartedInOutage_hasSettingsFromPeers) {
  setFaults({{"outage", true}});
  std::uint64_t before = generation("entry-1");
  kill("entry-2");
  start("entry-2");
  BOOST_TEST(waitReady("entry-2"), diagnosis());
  BOOST_TEST(generation("entry-2") == before);
  BOOST_TEST(draft("entry-2", "members").Status == 200);
}

BOOST_AUTO_TEST_CASE(status_settingsAccepted_countsAllNodes) {
  std::uint64_t accepted = addWorkspace("late");
  BOOST_TEST(waitUntil(
                 [&] {
                   auto status = object("/teams/umuhuza/status/in_force");
                   return status.is_object() &&
                          status.at("generation").to_number<std::uint64_t>() ==
                              accepted &&
                          status.at("nodes").as_int64() == 5 &&
                          status.at("in_force").as_int64() == 5;
                 },
                 LongTimeout),
             diagnosis());
}

BOOST_AUTO_TEST_SUITE_END()
