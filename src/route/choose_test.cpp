#include "greengagespar/route/choose.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <functional>
#include <queue>

using namespace greengagespar;
using namespace std::chrono_literals;

namespace {

struct Servers {
  Clock::time_point Now = Clock::time_point{} + 1h;
  std::vector<EndpointView> Views;
  ChoiceOptions Options;
  Rng Random{7};

  explicit Servers(int own = 4, int other = 0) {
    for (int i = 0; i < own + other; ++i) {
      EndpointView view;
      view.Target.Id = {"server-" + std::to_string(i)};
      view.OwnCentre = i < own;
      view.OneWayLatency = view.OwnCentre ? 50us : 550us;
      Views.push_back(view);
    }
  }

  void answer(std::size_t i, std::chrono::microseconds latency, int times) {
    for (int n = 0; n < times; ++n) {
      recordSentCall(Views[i]);
      recordAnsweredCall(Views[i], latency, Now);
    }
  }

  void failTimes(std::size_t i, int times) {
    for (int n = 0; n < times; ++n) {
      recordSentCall(Views[i]);
      recordFailedCall(Views[i], ErrorKind::LinkDown, Now);
    }
  }

  std::optional<Choice> choose(const ChoiceRequest &request = {}) {
    updateHealthStates(Views, Now);
    return chooseEndpoint(Views, request, Options, Now, Random);
  }

  // Chooses many times without load and counts the choices of each server.
  std::vector<int> countChoices(const ChoiceRequest &request = {}) {
    std::vector<int> counts(Views.size());
    for (int n = 0; n < 400; ++n)
      ++counts[choose(request)->Index];
    return counts;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EndpointChoice, Servers)

BOOST_AUTO_TEST_CASE(choose_noServers_isNone) {
  Views.clear();
  BOOST_TEST(!choose().has_value());
}

BOOST_AUTO_TEST_CASE(choose_leavingOrExcludedServer_isNeverChosen) {
  Views[0].Target.Leaving = true;
  auto counts = countChoices({.Exclude = {Views[1].Target.Id}});
  BOOST_TEST(counts[0] == 0);
  BOOST_TEST(counts[1] == 0);
  BOOST_TEST(counts[2] + counts[3] == 400);
}

BOOST_AUTO_TEST_CASE(choose_threeConsecutiveFailures_ejectsServer) {
  failTimes(2, 3);
  BOOST_TEST((Views[2].State == HealthState::Ejected));
  BOOST_TEST(countChoices()[2] == 0);
}

BOOST_AUTO_TEST_CASE(choose_refusalsForLoad_areNoFault) {
  for (int n = 0; n < 10; ++n) {
    recordSentCall(Views[2]);
    recordFailedCall(Views[2], ErrorKind::Overloaded, Now);
  }
  BOOST_TEST((Views[2].State == HealthState::Healthy));
  BOOST_TEST(estimateLoads(Views, Options, Now)[2] >= 16);
}

BOOST_AUTO_TEST_CASE(choose_ejectedServer_isProbedOnceThenHealthy) {
  failTimes(2, 3);
  Now += 501ms;
  auto probe = choose();
  BOOST_TEST(probe->Index == 2);
  BOOST_TEST((probe->Reason == ChoiceReason::Probe));
  recordSentCall(Views[2]);
  BOOST_TEST(countChoices()[2] == 0);
  recordAnsweredCall(Views[2], 50ms, Now);
  answer(2, 50ms, 1);
  BOOST_TEST((Views[2].State == HealthState::Healthy));
}

BOOST_AUTO_TEST_CASE(choose_failedProbe_doublesTheEjectionTime) {
  failTimes(2, 3);
  Now += 501ms;
  BOOST_TEST(choose()->Index == 2);
  failTimes(2, 1);
  Now += 999ms;
  BOOST_TEST(countChoices()[2] == 0);
  Now += 2ms;
  BOOST_TEST(choose()->Index == 2);
}

BOOST_AUTO_TEST_CASE(choose_callThatMayNotProbe_avoidsProbingServer) {
  failTimes(2, 3);
  Now += 501ms;
  BOOST_TEST(countChoices({.MayProbe = false})[2] == 0);
}

BOOST_AUTO_TEST_CASE(choose_slowServer_isEjected) {
  for (std::size_t i = 0; i < Views.size(); ++i)
    answer(i, i == 1 ? 500ms : 50ms, 20);
  choose();
  BOOST_TEST((Views[1].State == HealthState::Ejected));
}

BOOST_AUTO_TEST_CASE(choose_oneLongRunningCall_ejectsNoServer) {
  for (std::size_t i = 0; i < Views.size(); ++i)
    answer(i, 50ms, 20);
  answer(1, 30s, 2);
  choose();
  BOOST_TEST((Views[1].State == HealthState::Healthy));
}

BOOST_AUTO_TEST_CASE(choose_slowHolderOfPrefix_isNotChosen) {
  for (std::size_t i = 0; i < Views.size(); ++i)
    answer(i, i == 1 ? 150ms : 50ms, 20);
  ChoiceRequest request{.PrefixKey = "p",
                        .PrefixHolders = {Views[1].Target.Id}};
  BOOST_TEST(choose(request)->Index != 1);
}

BOOST_AUTO_TEST_CASE(choose_allUnhealthy_allTakePart) {
  for (std::size_t i = 0; i < Views.size(); ++i)
    failTimes(i, 3);
  auto choice = choose();
  BOOST_REQUIRE(choice.has_value());
  BOOST_TEST((choice->Reason == ChoiceReason::AllUnhealthy));
  for (int n : countChoices())
    BOOST_TEST(n > 0);
}

BOOST_AUTO_TEST_CASE(choose_samePrefix_staysOnOneServerUnderTheBound) {
  ChoiceRequest request{.PrefixKey = "batch-notes"};
  auto counts = countChoices(request);
  auto most = std::max_element(counts.begin(), counts.end());
  BOOST_TEST(*most == 400);
  auto first = static_cast<std::size_t>(most - counts.begin());
  Views[first].InFlight = 12;
  BOOST_TEST(choose(request)->Index != first);
}

BOOST_AUTO_TEST_CASE(choose_cacheEventNamesHolder_prefersIt) {
  for (const EndpointView &it : Views) {
    ChoiceRequest request{.PrefixKey = "p", .PrefixHolders = {it.Target.Id}};
    BOOST_TEST((Views[choose(request)->Index].Target.Id == it.Target.Id));
  }
}

BOOST_AUTO_TEST_CASE(choose_reportGrowsOld_movesToTheMeanOfOthers) {
  for (EndpointView &it : Views)
    recordLoadReport(it, {8, 0, 16, Now}, Now);
  recordLoadReport(Views[0], {0, 0, 16, Now}, Now);
  double fresh = estimateLoads(Views, Options, Now)[0];
  Views[0].Report->AsOf = Now - 20s;
  double stale = estimateLoads(Views, Options, Now)[0];
  BOOST_TEST(fresh < 7.9);
  BOOST_TEST(stale > 7.9);
}

BOOST_AUTO_TEST_CASE(choose_olderReport_isDropped) {
  recordLoadReport(Views[0], {5, 0, 16, Now}, Now);
  recordLoadReport(Views[0], {9, 9, 16, Now - 1s}, Now);
  BOOST_TEST(Views[0].Report->Running == 5);
}

// The load: many entries share the servers, so that the reported loads decide
// and this entry's own calls do not.
BOOST_AUTO_TEST_CASE(choose_byReportedLoads_drawsFromServersThatMayBeChosen) {
  Options.Even = EvenLoadOptions{3000ms, 33, 0, 5000ms};
  for (EndpointView &it : Views)
    recordKnownLoad(it, {5, 0, 10, Now});
  Views[0].Target.Leaving = true;
  failTimes(1, 3);
  recordKnownLoad(Views[3], {10, 200, 10, Now});
  auto counts = countChoices();
  BOOST_TEST(counts[2] == 400);
  auto choice = choose({.Exclude = {Views[2].Target.Id}});
  BOOST_TEST(choice->Index == 3);
  BOOST_TEST((choice->Reason == ChoiceReason::EvenLoad));
}

BOOST_AUTO_TEST_CASE(recordKnownLoad_olderReport_isDiscardedAndLimitKept) {
  ConcurrencyLimit limit = Views[0].Limit;
  recordKnownLoad(Views[0], {10, 40, 10, Now});
  recordKnownLoad(Views[0], {1, 0, 10, Now - 1ms});
  BOOST_TEST(Views[0].Report->Running == 10);
  BOOST_TEST(Views[0].Limit.Value == limit.Value);
}

BOOST_AUTO_TEST_CASE(recordSendTime_manyCalls_keepsTheNewest) {
  for (std::size_t n = 0; n < 2 * MaxRecentSends; ++n)
    recordSendTime(Views[0], Now + std::chrono::milliseconds(n));
  BOOST_TEST(Views[0].RecentSends.size() == MaxRecentSends);
  BOOST_TEST(bool(Views[0].RecentSends.back() ==
                  Now + std::chrono::milliseconds(2 * MaxRecentSends - 1)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(DataCentreSpill)

BOOST_AUTO_TEST_CASE(choose_idleOwnCentre_staysThere) {
  Servers servers(2, 4);
  auto counts = servers.countChoices();
  BOOST_TEST(counts[0] + counts[1] == 400);
}

BOOST_AUTO_TEST_CASE(choose_fullOwnCentre_spillsToQuickerOne) {
  Servers servers(2, 4);
  servers.Views[0].InFlight = servers.Views[1].InFlight = 16;
  auto choice = servers.choose();
  BOOST_TEST((choice->Reason == ChoiceReason::Spill));
  BOOST_TEST(choice->Index >= 2);
}

BOOST_AUTO_TEST_CASE(choose_ownCentreUnderLimitButFull_spillsToo) {
  Servers servers(2, 4);
  for (std::size_t i = 0; i < 2; ++i) {
    servers.Views[i].Limit = {32, 32};
    servers.Views[i].InFlight = 17;
  }
  BOOST_TEST((servers.choose()->Reason == ChoiceReason::Spill));
}

BOOST_AUTO_TEST_CASE(choose_unhealthyOwnCentre_usesTheOther) {
  Servers servers(2, 2);
  servers.failTimes(0, 3);
  setUnresponsive(servers.Views[1], true);
  auto counts = servers.countChoices();
  BOOST_TEST(counts[2] + counts[3] == 400);
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

// Simulates entries that share servers but no state, with delayed load reports.
struct SharedServers {
  static constexpr std::size_t Entries = 6;
  static constexpr std::size_t ServerCount = 12;
  static constexpr auto ReportEvery = 250ms;
  static constexpr auto ReportLag = 500ms;
  static constexpr double CallsPerSecond = 200;
  static constexpr double MeanServiceSeconds = 0.5;

  struct End {
    Clock::time_point At;
    std::size_t Entry, Server;
    bool operator>(const End &other) const { return At > other.At; }
  };
  using Chooser =
      std::function<std::size_t(std::vector<EndpointView> &, Rng &)>;

  Clock::time_point Now = Clock::time_point{} + 1h;
  std::vector<Servers> Views =
      std::vector<Servers>(Entries, Servers(ServerCount));
  std::vector<int> Load = std::vector<int>(ServerCount);
  std::deque<std::pair<Clock::time_point, std::vector<int>>> Reports;
  std::priority_queue<End, std::vector<End>, std::greater<>> Ends;
  Rng Random{11};

  void finishCalls() {
    for (; !Ends.empty() && Ends.top().At <= Now; Ends.pop()) {
      --Load[Ends.top().Server];
      recordAnsweredCall(Views[Ends.top().Entry].Views[Ends.top().Server], 50ms,
                         Now);
    }
  }

  void deliverReports() {
    if (Reports.empty() || Now - Reports.back().first >= ReportEvery)
      Reports.emplace_back(Now, Load);
    for (; Reports.front().first + ReportLag <= Now; Reports.pop_front())
      for (Servers &entry : Views)
        for (std::size_t i = 0; i < ServerCount; ++i)
          recordLoadReport(
              entry.Views[i],
              {Reports.front().second[i], 0, 16, Reports.front().first}, Now);
  }

  // Returns the mean over time of the ratio of the greatest to the mean load.
  double run(const Chooser &choose) {
    std::exponential_distribution<double> gap(CallsPerSecond);
    std::exponential_distribution<double> service(1 / MeanServiceSeconds);
    auto duration = [](double s) {
      return std::chrono::duration_cast<Clock::duration>(
          std::chrono::duration<double>(s));
    };
    double sum = 0;
    int n = 0;
    auto begin = Now;
    while (Now < begin + 30s) {
      Now += duration(gap(Random));
      finishCalls();
      deliverReports();
      std::size_t entry = Random() % Entries;
      std::size_t server = choose(Views[entry].Views, Random);
      recordSentCall(Views[entry].Views[server]);
      ++Load[server];
      Ends.push({Now + duration(service(Random)), entry, server});
      if (Now < begin + 3s)
        continue;
      double total = 0;
      for (int it : Load)
        total += it;
      sum += *std::max_element(Load.begin(), Load.end()) * ServerCount / total;
      ++n;
    }
    return sum / n;
  }
};

std::size_t leastReported(std::vector<EndpointView> &views, Rng &) {
  auto load = [](const EndpointView &it) {
    return it.Report ? it.Report->Running : 0;
  };
  auto least = std::min_element(
      views.begin(), views.end(),
      [&](const auto &a, const auto &b) { return load(a) < load(b); });
  return static_cast<std::size_t>(least - views.begin());
}

} // namespace

BOOST_AUTO_TEST_SUITE(LaggingReports)

BOOST_AUTO_TEST_CASE(choose_severalEntriesLaggingReports_doNotHerd) {
  SharedServers simulation;
  double spread =
      simulation.run([&](std::vector<EndpointView> &views, Rng &rng) {
        return chooseEndpoint(views, {}, {}, simulation.Now, rng)->Index;
      });
  double herd = SharedServers().run(leastReported);
  BOOST_TEST_MESSAGE("max/mean load " << spread << ", least reported " << herd);
  BOOST_TEST(spread < 1.7);
  BOOST_TEST(herd > 2 * spread);
}

BOOST_AUTO_TEST_SUITE_END()
