#include "../harness/client.h"
#include "../harness/cluster.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

using namespace greengagespar;
using namespace greengagespar::harness;
using namespace std::chrono_literals;

namespace {

constexpr const char *CrashingKey = "bad";

// The same bound as on the users' platform: after the fifth crash, at most
// three more.
constexpr int MostCrashes = 8;

ClusterPlan crashPlan() {
  ClusterPlan plan;
  plan.Helpers = 6;
  plan.Ledgers = 0;
  plan.EngineArgs = {"--step-ms", "2", "--crash-key", CrashingKey};
  return plan;
}

/// Engines that end when a draft with CrashingKey begins, and are restarted.
struct DraftCrashFixture : Cluster {
  int Crashes = 0;
  std::size_t Turn = 0;

  DraftCrashFixture() : Cluster(crashPlan()) { Cluster::start(); }

  // Sends a draft through the entries in turn.
  HttpAnswer draft(const std::string &key, const std::string &prompt) {
    boost::json::object body{
        {"model", plan().Group}, {"prompt", prompt}, {"max_tokens", 8}};
    if (!key.empty())
      body["prompt_cache_key"] = key;
    HttpRequest request;
    request.Method = "POST";
    request.Target = "/v1/completions";
    request.Headers = {{"X-Workspace", "members"},
                       {"X-Deadline-Ms", "4000"},
                       {"Content-Type", "application/json"}};
    request.Body = boost::json::serialize(body);
    auto names = processesOf("greengagespar-entry");
    HttpAnswer answer = call(address(names[Turn++ % names.size()]), request);
    restartEngines();
    return answer;
  }

  void restartEngines() {
    for (int i = 1; i <= plan().Helpers; ++i) {
      std::string name = "helper-" + std::to_string(i) + "-engine";
      if (process(name).pid() != 0)
        continue;
      ++Crashes;
      start(name);
    }
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CrashingDrafts, DraftCrashFixture)

// Guards against drafts with one cache key that end engine after engine, as
// each of them is sent to several and none is remembered.
BOOST_AUTO_TEST_CASE(draft_whoseKeyCrashesEngines_endsFewEngines) {
  for (int i = 0; i < 20; ++i) {
    draft(CrashingKey, "prompt " + std::to_string(i));
    BOOST_TEST(draft("sound", "order " + std::to_string(i)).Status == 200);
  }
  BOOST_TEST_MESSAGE("crashes: " << Crashes);
  BOOST_TEST(Crashes <= MostCrashes);
  HttpAnswer refused = draft(CrashingKey, "prompt");
  BOOST_TEST(refused.Status == 503);
  BOOST_TEST(jsonOf(refused).at("error").at("ran").as_string() == "no");
}

BOOST_AUTO_TEST_SUITE_END()
