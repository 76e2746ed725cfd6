#include "greengagespar/route/even_load.h"

#include "greengagespar/base/hash.h"
#include "greengagespar/route/choose.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <numeric>

using namespace greengagespar;
using namespace std::chrono_literals;

namespace {

using Loads = std::vector<int>;

// How an entry chooses.
enum class Way {
  OwnCalls,      // All servers compared by the entry's own calls.
  TwoOwnCalls,   // Two servers drawn, compared by its own calls.
  LeastExpected, // All servers compared by reports and own calls since.
  TwoExpected,   // Two servers drawn, compared by the same.
  Subset,        // Own calls, on a twelfth of the servers by rendezvous hash.
  Even           // drawEvenly().
};

// Many entries that choose servers for calls, with counters for servers. Calls
// arrive at random entries; each report is asked for by one entry and counts
// the calls of ReportAge ago when it arrives.
struct Crowd {
  std::size_t Entries = 33;
  std::size_t Servers = 64;
  Clock::duration AskEvery = 1100ms;
  Clock::duration Transit = 300ms;
  Clock::duration MeanCall = 3s;
  double CallsPerServer = 7; // Mean load.
  std::size_t Silent = 0;    // Entries that get no reports, the first ones.
  std::size_t Slow = 0;      // Servers whose calls take five times as long.

  Clock::time_point Now{1h};
  Rng Random{11};
  Loads Calls;
  std::vector<Loads> Past; // Calls at each step, one after the other.
  std::vector<std::vector<EndpointView>> Views; // Of each entry.
  struct Running {
    std::size_t Entry, Server;
  };
  std::multimap<Clock::time_point, Running> Ends;

  static constexpr Clock::duration Step = 20ms;

  void start() {
    Calls.assign(Servers, 0);
    Views.assign(Entries, std::vector<EndpointView>(Servers));
    for (auto &views : Views)
      for (std::size_t s = 0; s < Servers; ++s)
        views[s].Target.Id = {"server-" + std::to_string(s)};
  }

  double draw() { return std::uniform_real_distribution<double>(0, 1)(Random); }

  EvenLoadOptions evenOptions() const {
    return {std::chrono::duration_cast<std::chrono::milliseconds>(MeanCall),
            Entries, 0, 5000ms};
  }

  std::size_t chooseFrom(std::size_t entry, Way way) {
    auto &views = Views[entry];
    ChoiceOptions options;
    options.Draws = way == Way::TwoOwnCalls ? 2 : Servers;
    if (way == Way::Even)
      options.Even = evenOptions();
    if (way == Way::LeastExpected || way == Way::TwoExpected)
      return leastExpected(views, way == Way::TwoExpected ? 2 : Servers);
    if (way == Way::Subset)
      return chooseFromSubset(entry, options);
    return chooseEndpoint(views, {}, options, Now, Random)->Index;
  }

  std::size_t leastExpected(const std::vector<EndpointView> &views,
                            std::size_t draws) {
    auto loads = expectedLoads(views, evenOptions(), Now);
    std::vector<std::size_t> order(Servers);
    std::iota(order.begin(), order.end(), 0);
    std::shuffle(order.begin(), order.end(), Random);
    order.resize(draws);
    return *std::ranges::min_element(
        order, {}, [&](std::size_t i) { return loads[i].Calls; });
  }

  std::size_t chooseFromSubset(std::size_t entry,
                               const ChoiceOptions &options) {
    std::vector<EndpointView> views = Views[entry];
    auto key = stableHash("entry-" + std::to_string(entry));
    std::vector<std::pair<std::uint64_t, std::size_t>> scores;
    for (std::size_t s = 0; s < Servers; ++s)
      scores.push_back({rendezvousScore(key, views[s].Target.Id.Value), s});
    std::ranges::sort(scores);
    for (std::size_t i = std::max<std::size_t>(Servers / 12, 3); i < Servers;
         ++i)
      views[scores[i].second].Target.Leaving = true;
    return chooseEndpoint(views, {}, options, Now, Random)->Index;
  }

  void arrive(std::size_t entry, Way way) {
    std::size_t server = chooseFrom(entry, way);
    recordSentCall(Views[entry][server]);
    recordSendTime(Views[entry][server], Now);
    ++Calls[server];
    std::exponential_distribution<double> length(
        1 / std::chrono::duration<double>(MeanCall).count());
    double slowness = server < Slow ? 5 : 1;
    Ends.emplace(
        Now + std::chrono::duration_cast<Clock::duration>(
                  std::chrono::duration<double>(slowness * length(Random))),
        Running{entry, server});
  }

  void report(Way way) {
    Past.push_back(Calls);
    std::size_t back = Transit / Step;
    if (Past.size() <= back || way == Way::OwnCalls ||
        way == Way::TwoOwnCalls || way == Way::Subset)
      return;
    const Loads &then = Past[Past.size() - 1 - back];
    std::size_t rounds = AskEvery / Step;
    for (std::size_t e = Silent; e < Entries; ++e)
      for (std::size_t s = 0; s < Servers; ++s)
        if ((e * 7 + Past.size()) % rounds == 0)
          recordKnownLoad(Views[e][s], {then[s], 0, 10, Now - Transit, 0,
                                        s < Slow ? 5.0 : 1.0});
  }

  // Lets calls arrive for \p length, \p crest times as many as usual. Returns
  // the loads at each step.
  std::vector<Loads> run(Way way, Clock::duration length, double crest = 1) {
    std::vector<Loads> seen;
    double perStep = crest * CallsPerServer * static_cast<double>(Servers) *
                     std::chrono::duration<double>(Step).count() /
                     std::chrono::duration<double>(MeanCall).count();
    for (auto end = Now + length; Now < end; Now += Step) {
      for (; !Ends.empty() && Ends.begin()->first <= Now;
           Ends.erase(Ends.begin())) {
        auto [entry, server] = Ends.begin()->second;
        recordAbandonedCall(Views[entry][server]);
        --Calls[server];
      }
      report(way);
      for (int n = std::poisson_distribution<int>(perStep)(Random); n > 0; --n)
        arrive(Random() % Entries, way);
      seen.push_back(Calls);
    }
    return seen;
  }
};

// How uneven loads are.
struct Unevenness {
  double Largest = 0;     // Mean over time of the largest load over the mean.
  double P99 = 0;         // Of the loads over the mean.
  double WaitsBeside = 0; // Calls over ten slots while others have some free.
};

Unevenness unevennessOf(const std::vector<Loads> &seen, std::size_t from = 0) {
  Unevenness all;
  std::vector<double> shares;
  for (const Loads &it : seen) {
    double mean = std::accumulate(it.begin(), it.end(), 0.0) /
                  static_cast<double>(it.size() - from);
    double largest = 0;
    for (std::size_t s = from; s < it.size(); ++s) {
      shares.push_back(it[s] / mean);
      largest = std::max(largest, it[s] / mean);
      all.WaitsBeside += std::max(0, it[s] - 10);
    }
    all.Largest += largest / static_cast<double>(seen.size());
  }
  all.WaitsBeside /= static_cast<double>(seen.size());
  auto p99 = shares.begin() + static_cast<std::ptrdiff_t>(
                                  static_cast<double>(shares.size()) * 0.99);
  std::nth_element(shares.begin(), p99, shares.end());
  all.P99 = *p99;
  return all;
}

Unevenness play(Crowd crowd, Way way, double crest = 1) {
  crowd.start();
  crowd.run(way, 6s);
  return unevennessOf(crowd.run(way, 5s, crest));
}

} // namespace

BOOST_AUTO_TEST_SUITE(EvenLoad)

// Prints what the ways make of the same calls.
BOOST_AUTO_TEST_CASE(ways_ofManyEntries_compared) {
  struct Size {
    std::size_t Entries, Servers;
    Clock::duration Ask, Transit;
  };
  const std::vector<Size> sizes{{33, 64, 200ms, 100ms},
                                {33, 64, 1100ms, 300ms},
                                {33, 64, 2000ms, 1000ms},
                                {20, 60, 1000ms, 300ms},
                                {100, 200, 3000ms, 300ms}};
  const std::vector<std::pair<Way, const char *>> ways{
      {Way::OwnCalls, "own calls"},
      {Way::TwoOwnCalls, "two drawn, own calls"},
      {Way::LeastExpected, "least expected"},
      {Way::TwoExpected, "two drawn, expected"},
      {Way::Subset, "subset"},
      {Way::Even, "even"}};
  for (const Size &size : sizes)
    for (double crest : {1.0, 1.4})
      for (const auto &[way, name] : ways) {
        Crowd crowd;
        crowd.Entries = size.Entries;
        crowd.Servers = size.Servers;
        crowd.AskEvery = size.Ask;
        crowd.Transit = size.Transit;
        Unevenness it = play(crowd, way, crest);
        BOOST_TEST_MESSAGE(size.Entries << " entries, " << size.Servers
                                        << " servers, reports each "
                                        << size.Ask / 1ms << " ms, crest "
                                        << crest << ", " << name << ": largest "
                                        << it.Largest << ", p99 " << it.P99
                                        << ", waiting " << it.WaitsBeside);
        BOOST_TEST(it.Largest >= 1);
      }
}

// The load: 33 entries choose among 64 servers, each from reports about a
// second old and its own few calls.
BOOST_AUTO_TEST_CASE(draw_byManyEntries_leavesFewerWaitingThanOwnCallsDo) {
  Unevenness own = play(Crowd(), Way::OwnCalls);
  Unevenness even = play(Crowd(), Way::Even);
  BOOST_TEST(even.Largest < own.Largest);
  BOOST_TEST(even.WaitsBeside < own.WaitsBeside / 2);
}

// The load: all entries send to the server that was reported with least calls.
BOOST_AUTO_TEST_CASE(draw_byManyEntries_overrunsNoServerInTurn) {
  Unevenness least = play(Crowd(), Way::LeastExpected);
  Unevenness even = play(Crowd(), Way::Even);
  BOOST_TEST(even.Largest < least.Largest);
  BOOST_TEST(even.WaitsBeside < least.WaitsBeside / 2);
}

// The failure: a third of the entries are cut off from all rank agents.
BOOST_AUTO_TEST_CASE(draw_withThirdOfEntriesCutOff_staysBetterThanOwnCalls) {
  Crowd crowd;
  crowd.Silent = crowd.Entries / 3;
  Unevenness own = play(crowd, Way::OwnCalls);
  Unevenness even = play(crowd, Way::Even);
  BOOST_TEST(even.Largest < own.Largest);
  BOOST_TEST(even.WaitsBeside < own.WaitsBeside);
}

// The load: a tenth of the servers become five times as slow.
BOOST_AUTO_TEST_CASE(draw_withSlowServers_keepsTheirLoadsUnderTheOthers) {
  Crowd crowd;
  crowd.Slow = crowd.Servers / 10;
  crowd.start();
  crowd.run(Way::Even, 6s);
  double slow = 0;
  double others = 0;
  for (const Loads &it : crowd.run(Way::Even, 4s)) {
    auto middle = it.begin() + static_cast<std::ptrdiff_t>(crowd.Slow);
    slow += std::accumulate(it.begin(), middle, 0.0);
    others += std::accumulate(middle, it.end(), 0.0);
  }
  BOOST_TEST(slow / static_cast<double>(crowd.Slow) <
             others / static_cast<double>(crowd.Servers - crowd.Slow));
}

BOOST_FIXTURE_TEST_CASE(expectedLoad_withCallsSentSinceReport_countsThem,
                        Crowd) {
  start();
  auto &views = Views[0];
  for (EndpointView &it : views)
    recordKnownLoad(it, {5, 0, 10, Now});
  Now += 1ms;
  recordSendTime(views[3], Now);
  recordSendTime(views[3], Now);
  auto loads = expectedLoads(views, evenOptions(), Now);
  BOOST_TEST(loads[3].Calls == loads[4].Calls + 2);
  recordKnownLoad(views[3], {7, 0, 10, Now});
  BOOST_TEST(expectedLoads(views, evenOptions(), Now)[3].Calls == 7);
}

// The failure: the agent beside a server dies after it reported a full, or an
// empty server.
BOOST_FIXTURE_TEST_CASE(expectedLoad_ofServerWhoseAgentDied_becomesTheMean,
                        Crowd) {
  start();
  auto &views = Views[0];
  recordKnownLoad(views[0], {10, 20, 10, Now});
  recordKnownLoad(views[1], {0, 0, 10, Now});
  Now += evenOptions().MaxReportAge;
  for (std::size_t s = 2; s < Servers; ++s)
    recordKnownLoad(views[s], {5, 0, 10, Now});
  auto loads = expectedLoads(views, evenOptions(), Now);
  BOOST_TEST(loads[0].Calls == 5);
  BOOST_TEST(loads[1].Calls == 5);
  BOOST_TEST(!loads[0].IsReported);
}

// The failure: the host of an entry stands still for 3 s, and the entry chooses
// before any new report has come.
BOOST_FIXTURE_TEST_CASE(draw_afterFreeze_doesNotCrowdTheServersThatWereFree,
                        Crowd) {
  start();
  auto &views = Views[0];
  for (std::size_t s = 0; s < Servers; ++s)
    recordKnownLoad(views[s], {s < 8 ? 0 : 8, 0, 10, Now});
  std::vector<std::size_t> all(Servers);
  std::iota(all.begin(), all.end(), 0);
  auto toFree = [&] {
    int n = 0;
    for (int i = 0; i < 1000; ++i)
      n += drawEvenly(views, all, evenOptions(), Now, Random) < 8 ? 1 : 0;
    return n;
  };
  int before = toFree();
  Now += 3s;
  BOOST_TEST(toFree() < before / 2);
  Now += 2s;
  // An eighth of the servers, with a margin for chance.
  BOOST_TEST(toFree() < 250);
}

// The failure: a server reports that it is always idle.
BOOST_FIXTURE_TEST_CASE(chance_ofServerThatReportsTooLittle_isBounded, Crowd) {
  std::vector<ExpectedLoad> loads(Servers, {8, 1, true});
  loads[0].Calls = 0;
  std::vector<std::size_t> all(Servers);
  std::iota(all.begin(), all.end(), 0);
  double arrivals = static_cast<double>(2 * Servers);
  auto chances = evenChances(loads, all, arrivals, evenOptions());
  // What the others have, and its part of the calls.
  BOOST_TEST(chances[0] <= 8 + arrivals / static_cast<double>(Servers));
}

BOOST_FIXTURE_TEST_CASE(chance_ofServerOverTheLevel_isZero, Crowd) {
  std::vector<ExpectedLoad> loads{{2, 1, true}, {4, 1, true}, {30, 1, true}};
  auto chances = evenChances(loads, {0, 1, 2}, 6, evenOptions());
  BOOST_TEST(chances[0] == 4);
  BOOST_TEST(chances[1] == 2);
  BOOST_TEST(chances[2] == 0);
}

// With a pass of two idle calls' work, a server twice as slow takes half as
// much work, the idle part counted.
BOOST_FIXTURE_TEST_CASE(chance_ofSlowServer_evensTheTimesOfPasses, Crowd) {
  EvenLoadOptions options = evenOptions();
  options.IdleCalls = 2;
  std::vector<ExpectedLoad> loads{{0, 1, true}, {0, 2, true}};
  auto chances = evenChances(loads, {0, 1}, 8, options);
  BOOST_TEST(chances[0] + chances[1] == 8);
  BOOST_TEST(chances[0] + 2 == 2 * (chances[1] + 2));
}

BOOST_FIXTURE_TEST_CASE(chance_ofEqualServers_isEqualHoweverLoaded, Crowd) {
  std::vector<ExpectedLoad> loads(3, {40, 1, true});
  auto chances = evenChances(loads, {0, 1, 2}, 1, evenOptions());
  BOOST_TEST(chances[0] > 0);
  BOOST_TEST(chances[0] == chances[2]);
}

BOOST_FIXTURE_TEST_CASE(evenness_ofReports_showsWaitsBesideFreeSlots, Crowd) {
  start();
  auto &views = Views[0];
  recordKnownLoad(views[0], {10, 4, 10, Now});
  recordKnownLoad(views[1], {8, 0, 10, Now});
  recordKnownLoad(views[2], {0, 0, 10, Now});
  views[2].Target.Leaving = true;
  LoadEvenness all = evennessOf(views, evenOptions(), Now);
  BOOST_TEST(all.Reported == 2);
  BOOST_TEST(all.WaitingBesideFree == 2);
  BOOST_TEST(all.LargestOverMean == 14.0 / 11);
}

BOOST_AUTO_TEST_SUITE_END()
