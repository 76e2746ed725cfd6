#include "greengagespar/config/config_follower.h"

#include "fake_platform.h"
#include <boost/test/unit_test.hpp>
#include <list>
#include <set>
#include <string>

using namespace greengagespar;
using namespace std::chrono_literals;

namespace {

constexpr const char *LedgerPath = "/teams/umuhuza/settings/services/ledger";
constexpr const char *StatusPath = "/teams/umuhuza/status/settings";

std::string service(const std::string &server, const std::string &port) {
  return R"({"slots_per_server": 8, "servers": [{"id": ")" + server +
         R"(", "endpoint": "127.0.0.1:)" + port +
         R"(", "data_centre": "kigali-1"}]})";
}

/// The follower of one process and the contracts that it installed.
struct Process {
  ObjectClient Client;
  std::vector<std::shared_ptr<const Contract>> Installed;
  ConfigFollower Follower;

  Process(FakePlatform &platform, ConfigFollowerOptions options,
          ConfigFollowerHooks hooks)
      : Client(platform.Server.Loop.get(),
               {.Platform = platform.Server.At, .RequestTimeout = 500ms}),
        Follower(platform.Server.Loop.get(), Client, options,
                 completed(std::move(hooks))) {
    Follower.start();
  }
  ConfigFollowerHooks completed(ConfigFollowerHooks hooks) {
    hooks.OnContract = [this](std::shared_ptr<const Contract> it) {
      Installed.push_back(std::move(it));
    };
    return hooks;
  }
  // Returns the first server of each service in force.
  std::set<std::string> servers() const {
    std::set<std::string> ids;
    for (const auto &[id, it] : Installed.back()->Services)
      ids.insert(it.Servers.front().Id.Value);
    return ids;
  }
  std::uint64_t at() const {
    return Follower.generation().value_or(Generation{}).Value;
  }
};

struct FollowerFixture {
  FakePlatform Platform;
  std::list<Process> Processes;
  std::uint64_t Seed = 1;

  Process &add(ConfigRole role, ConfigFollowerHooks hooks = {}) {
    ConfigFollowerOptions options;
    options.Role = role;
    options.Retry = {.Base = 5ms, .Cap = 20ms};
    options.Acceptor.TurnDelay = 10ms;
    options.Acceptor.Retry = options.Retry;
    options.PeerGrace = 50ms;
    options.Limits.GatherTime = 50ms;
    options.Limits.IsolationTimeout = 300ms;
    options.Seed = Seed += 10;
    options.Acceptor.Seed = options.Seed;
    return Processes.emplace_back(Platform, options, std::move(hooks));
  }
  void until(const std::function<bool()> &done) {
    Platform.Server.runUntil(done);
  }
  std::string status(const std::string &path = StatusPath) const {
    boost::json::value value = Platform.valueAt(path);
    return value.is_object() ? std::string(value.at("state").as_string())
                             : std::string();
  }
  std::size_t acceptedObjects() const {
    std::size_t n = 0;
    for (const auto &[path, it] : Platform.Objects)
      n += path.starts_with("/system/accepted/") && !it.Value.is_null() ? 1 : 0;
    return n;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FollowedSettings, FollowerFixture)

BOOST_AUTO_TEST_CASE(accept_firstSettings_areInForceInAllProcesses) {
  Process &acceptor = add(ConfigRole::Accepts);
  Process &watcher = add(ConfigRole::Watches);
  until([&] { return watcher.Follower.ready() && acceptor.Follower.ready(); });
  Platform.write(LedgerPath, service("l-1", "7201").c_str());
  until([&] { return watcher.at() == 1 && status() == "accepted"; });
  BOOST_TEST(watcher.Installed.back()->Services.size() == 1U);
  BOOST_TEST(acceptor.at() == 1U);
}

BOOST_AUTO_TEST_CASE(accept_answersLostAndAcceptorsRacing_acceptsOnce) {
  Platform.WriteAnswersToLose = 3;
  Platform.write(LedgerPath, service("l-1", "7201").c_str());
  for (int i = 0; i < 3; ++i)
    add(ConfigRole::Accepts);
  until([&] {
    return status() == "accepted" &&
           std::all_of(Processes.begin(), Processes.end(),
                       [](auto &it) { return it.at() >= 1; });
  });
  BOOST_TEST(Platform.valueAt(IndexPath).at("generation").as_int64() == 1);
  Platform.write(LedgerPath, service("l-2", "7202").c_str());
  until([&] { return Processes.back().at() == 2 && acceptedObjects() == 1; });
}

BOOST_AUTO_TEST_CASE(accept_badThenGood_refusesThenAccepts) {
  add(ConfigRole::Accepts);
  Platform.write(LedgerPath, R"({"slots_per_server": "many"})");
  until([&] { return status() == "refused"; });
  BOOST_TEST(acceptedObjects() == 0U);
  Platform.write(LedgerPath, service("l-1", "7201").c_str());
  until([&] { return status() == "accepted"; });
}

BOOST_AUTO_TEST_CASE(accept_serverOfAnotherTeam_isRefusedUntilFree) {
  Process &acceptor = add(ConfigRole::Accepts);
  Platform.write(LedgerPath, service("l-1", "7201").c_str());
  until([&] { return status() == "accepted"; });
  Platform.write("/teams/other/settings/services/books",
                 service("l-1", "7301").c_str());
  until([&] { return status("/teams/other/status/settings") == "refused"; });
  BOOST_TEST(acceptor.at() == 1U);
  Platform.write(LedgerPath, service("l-2", "7201").c_str());
  until([&] { return status("/teams/other/status/settings") == "accepted"; });
  until([&] { return acceptor.at() >= 3; });
  BOOST_TEST(acceptor.at() == 3U);
}

BOOST_AUTO_TEST_CASE(follow_platformOutage_continuesAfterIt) {
  add(ConfigRole::Accepts);
  Process &watcher = add(ConfigRole::Watches);
  Platform.write(LedgerPath, service("l-1", "7201").c_str());
  until([&] { return watcher.at() == 1; });
  Platform.setOutage(true);
  std::size_t before = Platform.Server.Requests.size();
  until([&] { return Platform.Server.Requests.size() > before + 10; });
  BOOST_TEST(watcher.Follower.ready());
  Platform.Outage = false;
  Platform.write(LedgerPath, service("l-2", "7202").c_str());
  until([&] { return watcher.at() == 2; });
}

// A process starts during an outage of the platform while a peer has settings;
// later the peer accepts newer ones. Both times the process pulls from the peer
// alone.
BOOST_AUTO_TEST_CASE(follow_outageAndPeer_pullsFromThePeer) {
  Process &peer = add(ConfigRole::Accepts);
  Platform.write(LedgerPath, service("l-1", "7201").c_str());
  until([&] { return peer.at() == 1; });
  const Address peerAddress{"10.0.0.1:1"};
  ConfigFollowerHooks hooks;
  hooks.Pull = [&](const Address &, Generation since,
                   const ConfigFollowerHooks::PullAnswer &done) {
    done(peer.Follower.serve(since));
  };
  Platform.setOutage(true);
  Process &late = add(ConfigRole::Follows, hooks);
  late.Follower.onPeerGeneration(peerAddress, Generation{1});
  BOOST_TEST(late.at() == 1U);
  until([&] { return late.Follower.ready(); });
  Platform.Outage = false;
  Platform.write(LedgerPath, service("l-2", "7202").c_str());
  until([&] { return peer.at() == 2; });
  late.Follower.onPeerGeneration(peerAddress, Generation{2});
  BOOST_TEST(late.at() == 2U);
  BOOST_TEST(
      late.Installed.back()->Services.begin()->second.Servers.at(0).Id.Value ==
      "l-2");
}

BOOST_AUTO_TEST_CASE(follow_cutOffFromPeers_readsThePlatform) {
  add(ConfigRole::Accepts);
  Process &alone = add(ConfigRole::Follows);
  until([&] { return alone.Follower.ready(); });
  Platform.write(LedgerPath, service("l-1", "7201").c_str());
  until([&] { return alone.at() == 1; });
  BOOST_TEST(alone.Installed.back()->Services.size() == 1U);
}

BOOST_AUTO_TEST_CASE(serve_laggingPeer_receivesOnlyChangedTeams) {
  Process &peer = add(ConfigRole::Accepts);
  Platform.write(LedgerPath, service("l-1", "7201").c_str());
  until([&] { return peer.at() == 1; });
  Platform.write("/teams/other/settings/services/books",
                 service("b-1", "7301").c_str());
  until([&] { return peer.at() == 2; });
  std::string text = peer.Follower.serve(Generation{1});
  BOOST_TEST(text.find("books") != std::string::npos);
  BOOST_TEST(text.find("ledger") == std::string::npos);
  bool refused = recoverFrom(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(parseSnapshot({}, text));
        return false;
      },
      [](const Error &e) { return e.Kind == ErrorKind::Conflict; });
  BOOST_TEST(refused);
}

// Guards against generations that are given out a second time, with other
// settings, after the index was restored from an older copy: no process that
// has the first ones in force would take them.
BOOST_AUTO_TEST_CASE(accept_afterRestore_getsHigherGenerationThanInForce) {
  Process &acceptor = add(ConfigRole::Accepts);
  Process &watcher = add(ConfigRole::Watches);
  Platform.write(LedgerPath, service("l-1", "7201").c_str());
  until([&] { return watcher.at() == 1 && status() == "accepted"; });
  auto copy = Platform.Objects;
  for (int i = 2; i <= 3; ++i) {
    Platform.write(LedgerPath,
                   service("l-" + std::to_string(i), "7201").c_str());
    until([&] { return watcher.at() == static_cast<std::uint64_t>(i); });
  }
  Platform.restore(copy);
  Platform.write(LedgerPath, service("l-4", "7201").c_str());
  until([&] { return watcher.at() > 3; });
  BOOST_TEST(watcher.at() == 4U);
  until([&] { return acceptor.at() == 4; });
  BOOST_TEST((watcher.servers() == std::set<std::string>{"l-4"}));
}

// Guards against a team's settings that revert when another team's are accepted
// after a restore, since the restored index has the earlier ones.
BOOST_AUTO_TEST_CASE(accept_otherTeamAfterRestore_revertsNothing) {
  add(ConfigRole::Accepts);
  Process &watcher = add(ConfigRole::Watches);
  Platform.write(LedgerPath, service("l-1", "7201").c_str());
  until([&] { return watcher.at() == 1 && status() == "accepted"; });
  auto copy = Platform.Objects;
  Platform.write(LedgerPath, service("l-2", "7202").c_str());
  until([&] { return watcher.at() == 2; });
  Platform.restore(copy);
  Platform.write("/teams/other/settings/services/books",
                 service("b-1", "7301").c_str());
  until([&] { return watcher.at() == 3; });
  BOOST_TEST((watcher.servers() == std::set<std::string>{"b-1", "l-2"}));
  Platform.write(LedgerPath, service("l-2", "7202").c_str());
  until([&] { return watcher.at() == 4; });
}

BOOST_AUTO_TEST_SUITE_END()
