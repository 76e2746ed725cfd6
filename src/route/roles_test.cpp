#include "greengagespar/route/roles.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace greengagespar;
using namespace std::chrono_literals;

namespace {

const RoleId Drafts{"drafts"};
const RoleId Quotes{"quotes"};

struct Pool {
  Clock::time_point Now = Clock::time_point{} + 1h;
  std::vector<RoleServer> Servers;
  std::vector<RoleDemand> Demands;
  RoleOptions Options;

  Pool() {
    for (int i = 0; i < 6; ++i) {
      RoleServer server;
      server.Id = {"server-" + std::to_string(i)};
      server.Role = i < 4 ? Drafts : Quotes;
      server.SupportedRoles = {Drafts, Quotes, SpareRole};
      Servers.push_back(server);
    }
    for (const RoleId &it : {Drafts, Quotes}) {
      RoleDemand demand;
      demand.Role = it;
      Demands.push_back(demand);
    }
  }

  void demand(double drafts, double quotes, Clock::duration during = 0s) {
    auto end = Now + during;
    for (;; Now += 100ms) {
      recordDemand(Demands[0], drafts, Now);
      recordDemand(Demands[1], quotes, Now);
      if (Now >= end)
        return;
    }
  }

  std::vector<RoleOrder> decide() const {
    return decideRoles(Servers, Demands, Options, Now);
  }

  // Applies the orders at once.
  int step() {
    auto orders = decide();
    for (const RoleOrder &it : orders)
      for (RoleServer &server : Servers)
        if (server.Id == it.Server) {
          server.Role = it.To;
          server.ChangedAt = Now;
        }
    return static_cast<int>(orders.size());
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Roles, Pool)

BOOST_AUTO_TEST_CASE(decideRoles_demandSwings_movesServersAtOnce) {
  demand(30, 31);
  auto orders = decide();
  BOOST_REQUIRE(!orders.empty());
  BOOST_TEST((orders[0].From == Drafts && orders[0].To == Quotes));
}

BOOST_AUTO_TEST_CASE(decideRoles_spareServer_changesFirst) {
  Servers[0].Role = SpareRole;
  demand(30, 31);
  auto orders = decide();
  BOOST_REQUIRE(!orders.empty());
  BOOST_TEST((orders[0].Server == Servers[0].Id));
}

BOOST_AUTO_TEST_CASE(decideRoles_busyDonor_donatesNoServer) {
  demand(60, 31);
  BOOST_TEST(decide().empty());
}

BOOST_AUTO_TEST_CASE(decideRoles_changeUnderWay_isNotOrderedAgain) {
  demand(30, 31);
  auto first = decide();
  for (const RoleOrder &it : first)
    for (RoleServer &server : Servers)
      if (server.Id == it.Server) {
        server.Role = it.To;
        server.Changing = true;
      }
  BOOST_TEST(decide().empty());
}

BOOST_AUTO_TEST_CASE(decideRoles_justChanged_staysForTheDwell) {
  for (RoleServer &it : Servers)
    it.ChangedAt = Now - 1s;
  demand(30, 31);
  BOOST_TEST(decide().empty());
  Now += 10s;
  demand(30, 31);
  BOOST_TEST(!decide().empty());
}

BOOST_AUTO_TEST_CASE(decideRoles_slowSwitch_waitsForSustainedDemand) {
  for (RoleServer &it : Servers)
    it.SwitchTime = 8s;
  demand(30, 31);
  BOOST_TEST(decide().empty());
  demand(30, 31, 90s);
  BOOST_TEST(!decide().empty());
}

BOOST_AUTO_TEST_CASE(decideRoles_swingEverySecond_doesNotFlap) {
  int orders = 0;
  for (int n = 0; n < 120; ++n) {
    n % 2 == 0 ? demand(30, 31, 1s) : demand(50, 10, 1s);
    orders += step();
  }
  BOOST_TEST(orders <= 2);
}

BOOST_AUTO_TEST_CASE(decideRoles_longQuiet_releasesToSpareButKeepsMinimum) {
  demand(30, 20);
  for (int n = 0; n < 100; ++n) {
    demand(0, 0, 12s);
    step();
  }
  for (const RoleDemand &it : Demands)
    BOOST_TEST(std::count_if(Servers.begin(), Servers.end(),
                             [&](auto &s) { return s.Role == it.Role; }) == 1);
}

BOOST_AUTO_TEST_SUITE_END()
