#include "greengagespar/route/cold_start.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <random>

using namespace greengagespar;
using namespace std::chrono_literals;

namespace {

// A service whose cold servers bear 23 requests a second for 3 s, and a site
// whose bound is 1.5 times that and 5 more in any second.
constexpr ColdStartRule Rule{3s, 23, 1.5, 5};
constexpr double Bound = 23 * 1.5 + 5;
constexpr auto Step = 20ms;

/// A server and its arrivals in the last second.
struct ColdServer {
  ServerIncarnationId Id;
  std::deque<Clock::time_point> Arrivals;
  std::size_t MostInSecond = 0;
  std::size_t Total = 0;
};

/// An entry that has more work for each server than it may send.
struct Sender {
  Address Self;
  ColdSharers Sharers;
  std::vector<ColdState> States;
  std::vector<std::optional<RateShare>> Parts;
  bool IsDown = false; ///< It sends nothing: it is frozen or has ended.
};

/// Entries that send all they may to cold servers, and a clock.
struct ColdFixture {
  Clock::time_point Now = Clock::now();
  std::vector<ColdServer> Servers;
  std::vector<Sender> Entries;
  std::mt19937_64 Rng{3};
  std::uniform_real_distribution<double> Draw{0, 1};

  static Address addressOf(std::size_t index) {
    return {"10.0." + std::to_string(index / 250) + "." +
            std::to_string(index % 250) + ":7000"};
  }

  // Sets the site up: \p entries that know each other and \p servers, of which
  // nothing is known.
  void setUp(std::size_t entries, std::size_t servers) {
    Servers.assign(servers, {});
    for (std::size_t i = 0; i < servers; ++i)
      Servers[i].Id = {1000 + 77 * i};
    Entries.assign(entries, {});
    ColdSharers all;
    all.Known = entries;
    for (std::size_t i = 0; i < entries; ++i)
      all.Entries.push_back(addressOf(i));
    for (std::size_t i = 0; i < entries; ++i) {
      Entries[i].Self = addressOf(i);
      Entries[i].Sharers = all;
      Entries[i].States.resize(servers);
      Entries[i].Parts.resize(servers);
    }
  }

  // Lets all entries learn that all servers are cold for \p remaining.
  void recordAllCold(std::chrono::milliseconds remaining) {
    for (Sender &entry : Entries)
      for (ColdState &it : entry.States)
        recordCold(it, remaining, Now);
  }

  // Leaves \p entry only those of \p indices as sharers; it still remembers
  // all.
  static void see(Sender &entry, const std::vector<std::size_t> &indices) {
    entry.Sharers.Entries.clear();
    for (std::size_t i : indices)
      entry.Sharers.Entries.push_back(addressOf(i));
  }

  void run(Clock::duration time, bool hasWork = true) {
    for (auto end = Now + time; Now < end; Now += Step)
      for (Sender &entry : Entries)
        for (std::size_t i = 0; i < Servers.size() && !entry.IsDown; ++i)
          runOne(entry, i, hasWork);
  }

  void runOne(Sender &entry, std::size_t index, bool hasWork) {
    ColdServer &server = Servers[index];
    auto part = coldPart(Rule, entry.States[index], server.Id, entry.Self,
                         entry.Sharers, Now);
    // An entry without a limit sends as fast as one call a step.
    auto &share = entry.Parts[index];
    if (!part)
      share.reset();
    else if (!share)
      share = RateShare{*part, Draw(Rng), Now};
    if (share) {
      if (share->PerSecond == 0)
        share->Tokens = 0;
      share->PerSecond = *part;
      updateRateShare(*share, Now);
    }
    while (hasWork && (!share || share->Tokens >= 1)) {
      arrive(server);
      if (!share)
        return;
      share->Tokens -= 1;
    }
  }

  void arrive(ColdServer &server) const {
    server.Arrivals.push_back(Now);
    while (Now - server.Arrivals.front() >= 1s)
      server.Arrivals.pop_front();
    server.MostInSecond = std::max(server.MostInSecond, server.Arrivals.size());
    ++server.Total;
  }

  void checkBound(double factor = 1) const {
    for (const ColdServer &it : Servers)
      BOOST_TEST(static_cast<double>(it.MostInSecond) <= factor * Bound);
  }

  std::size_t total() const {
    std::size_t sum = 0;
    for (const ColdServer &it : Servers)
      sum += it.Total;
    return sum;
  }
};

std::vector<std::size_t> range(std::size_t from, std::size_t to) {
  std::vector<std::size_t> indices;
  for (std::size_t i = from; i < to; ++i)
    indices.push_back(i);
  return indices;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(ColdStart, ColdFixture)

// Load: a data centre's servers return cold at one moment while each entry has
// more work than they bear. They are kept below the bound and all get work.
BOOST_AUTO_TEST_CASE(dataCentre_returnsCold_isWithinBoundAndWorks) {
  for (std::size_t entries : {1U, 3U, 33U, 390U}) {
    setUp(entries, 21);
    recordAllCold(3s);
    run(2980ms);
    checkBound();
    for (const ColdServer &it : Servers)
      BOOST_TEST(static_cast<double>(it.Total) >= 3 * Rule.PerSecond / 3,
                 "entries " << entries);
  }
}

// Load: the same, but no entry has work until all have saved up what they may.
BOOST_AUTO_TEST_CASE(entries_withSavedTokens_sendAtOnceWithinBound) {
  for (std::size_t entries : {1U, 33U, 390U}) {
    setUp(entries, 21);
    recordAllCold(20s);
    run(10s, false);
    run(3s);
    checkBound();
  }
}

// Failure: half of the entries end at once; the others still count them.
BOOST_AUTO_TEST_CASE(entries_halfDead_othersGoOnWithinBound) {
  setUp(33, 21);
  for (std::size_t i = 0; i < 16; ++i)
    Entries[i].IsDown = true;
  recordAllCold(10s);
  run(3s);
  checkBound();
  BOOST_TEST(static_cast<double>(total()) >= 21 * 3 * Rule.PerSecond / 6);
  // Those that live take the parts over as soon as the others are given up.
  for (std::size_t i = 16; i < 33; ++i)
    see(Entries[i], range(16, 33));
  run(3s);
  checkBound();
  for (const ColdServer &it : Servers)
    BOOST_TEST(it.Total > 0U);
}

// Failure: the network is cut in two for so long that each side goes by itself.
BOOST_AUTO_TEST_CASE(entries_cutInTwo_sendWithinBound) {
  for (std::size_t entries : {4U, 33U, 390U}) {
    setUp(entries, 21);
    recordAllCold(20s);
    run(1s);
    std::size_t half = entries / 2;
    for (std::size_t i = 0; i < entries; ++i)
      see(Entries[i], i < half ? range(0, half) : range(half, entries));
    run(4s);
    checkBound();
  }
}

// Failure: entries are cut off from all others, each alone; 33 keep the bound
// whoever knows of whom, of 390 as many as hold a part.
BOOST_AUTO_TEST_CASE(entries_cutOffAlone_sendWithinBound) {
  for (auto [entries, alone] : {std::pair(33U, 33U), std::pair(390U, 19U)}) {
    setUp(entries, 21);
    recordAllCold(20s);
    run(1s);
    for (std::size_t i = 0; i < alone; ++i)
      see(Entries[i], {i});
    run(4s);
    checkBound();
  }
}

// Failure: entries learn one after the other that some have gone or come, so
// that for a while each goes by other holders.
BOOST_AUTO_TEST_CASE(entries_thatLearnOfOthersLate_sendWithinBound) {
  setUp(33, 21);
  recordAllCold(20s);
  run(2s);
  for (std::size_t i = 0; i < 33; ++i) {
    see(Entries[i], range(0, 30));
    run(40ms);
  }
  for (std::size_t i = 0; i < 33; ++i) {
    see(Entries[i], range(0, 33));
    run(40ms);
  }
  checkBound();
}

// Failure: entries freeze and wake together; what they saved up is little.
BOOST_AUTO_TEST_CASE(entries_thatWakeTogether_sendWithinBound) {
  setUp(33, 21);
  recordAllCold(20s);
  for (std::size_t i = 0; i < 16; ++i)
    Entries[i].IsDown = true;
  run(5s);
  for (Sender &it : Entries)
    it.IsDown = false;
  run(2s);
  checkBound();
}

BOOST_AUTO_TEST_CASE(entry_thatStarts_sendsNothingYet) {
  setUp(33, 1);
  recordAllCold(3s);
  ColdSharers sharers = Entries[0].Sharers;
  sharers.IsStarting = true;
  for (const Sender &it : Entries)
    BOOST_TEST(
        coldPart(Rule, it.States[0], Servers[0].Id, it.Self, sharers, Now)
            .value() == 0);
}

// An entry that has found none of the others its settings name sends at most
// one request a second, as any number of them may be in that state.
BOOST_AUTO_TEST_CASE(entry_alone_takesOnePart) {
  setUp(1, 1);
  recordAllCold(3s);
  ColdSharers sharers = Entries[0].Sharers;
  auto part = [&] {
    return *coldPart(Rule, Entries[0].States[0], Servers[0].Id, Entries[0].Self,
                     sharers, Now);
  };
  BOOST_TEST(part() > Rule.PerSecond / 2);
  sharers.IsAlone = true;
  BOOST_TEST(part() < 1);
  BOOST_TEST(part() > 0);
}

// Load: all entries have work for servers that become warm; it returns in
// steps, not from all at once.
BOOST_AUTO_TEST_CASE(server_becomesWarm_workReturnsInSteps) {
  setUp(390, 3);
  recordAllCold(3s);
  run(3480ms);
  checkBound(2);
  run(500ms);
  checkBound(4);
  run(500ms);
  checkBound(8);
  Now += WarmingTime;
  for (const Sender &it : Entries)
    BOOST_TEST(!isLimited(it.States[0], Now));
}

// A server that becomes cold again without a restart is limited at once.
BOOST_AUTO_TEST_CASE(server_coldAgain_isLimitedAgain) {
  setUp(33, 1);
  recordAllCold(1s);
  run(6s, false);
  BOOST_TEST(!isLimited(Entries[0].States[0], Now));
  recordAllCold(3s);
  BOOST_TEST(isCold(Entries[0].States[0], Now));
  run(2980ms);
  checkBound();
}

// Old, repeated and second-hand knowledge only prolongs the cold time.
BOOST_AUTO_TEST_CASE(statements_oldOrRepeated_neverShortenIt) {
  ColdState state;
  recordCold(state, 2500ms, Now);
  recordCold(state, 0ms, Now + 100ms);
  recordCold(state, 500ms, Now + 200ms);
  recordToldCold(state, 1s, Now + 300ms);
  BOOST_TEST((*state.Until == Now + 2500ms));
  // A statement that is 3 s old ends later than the cold time itself.
  recordCold(state, 2s, Now + 3s);
  BOOST_TEST((*state.Until == Now + 5s));
}

// What others tell is not passed on, so that it can't circulate.
BOOST_AUTO_TEST_CASE(statement_ofAnotherEntry_isNotOwn) {
  ColdState state;
  recordToldCold(state, 3s, Now);
  BOOST_TEST(isCold(state, Now));
  BOOST_TEST(!state.OwnUntil.has_value());
  suspectCold(state, Rule, Now);
  BOOST_TEST(!state.OwnUntil.has_value());
  recordCold(state, 1s, Now);
  BOOST_TEST((*state.OwnUntil == Now + 1s));
}

BOOST_AUTO_TEST_CASE(statement_enormousOrNegative_isCutOrIgnored) {
  ColdState state;
  recordCold(state, std::chrono::milliseconds::max(), Now);
  BOOST_TEST((*state.Until == Now + MaxColdTime));
  ColdState warm;
  recordCold(warm, std::chrono::milliseconds::min(), Now);
  recordToldCold(warm, -1ms, Now);
  BOOST_TEST(!warm.Until.has_value());
}

BOOST_AUTO_TEST_CASE(rule_withoutBound_limitsNothing) {
  setUp(1, 1);
  recordAllCold(3s);
  for (const ColdStartRule &rule :
       {ColdStartRule{3s, 0, 1.5, 5}, ColdStartRule{3s, 23, 0, 5}}) {
    BOOST_TEST(!coldPart(rule, Entries[0].States[0], Servers[0].Id,
                         Entries[0].Self, Entries[0].Sharers, Now)
                    .has_value());
    ColdState state;
    suspectCold(state, rule, Now);
    BOOST_TEST(!state.Until.has_value());
  }
}

// The derivation in the header, over many bounds and numbers of entries.
BOOST_AUTO_TEST_CASE(division_ofAnyBound_keepsIt) {
  ColdState state;
  recordCold(state, 3s, Now);
  for (double perSecond : {0.01, 1.0, 4.0, 23.0, 600.0, 1e6})
    for (double overage : {0.5, 1.0, 1.5, 20.0})
      for (double slack : {0.0, 5.0, 100.0})
        for (std::size_t known : {1U, 2U, 19U, 20U, 39U, 40U, 390U}) {
          ColdSharers sharers;
          sharers.Known = known;
          auto it =
              divisionOf({3s, perSecond, overage, slack}, state, sharers, Now);
          double bound = perSecond * overage + slack;
          double rate = it.PerSecond / static_cast<double>(it.Holders);
          double saved = std::max(1.0, TokenSaveTime.count() * rate);
          double most = std::floor(saved + rate);
          // Two sets of holders, which are at most all entries.
          double senders =
              std::min(2 * static_cast<double>(it.Holders),
                       most > 1 ? 1e9 : static_cast<double>(known));
          BOOST_TEST(it.PerSecond > 0);
          BOOST_TEST(it.PerSecond <= std::max(0.25, perSecond));
          if (bound >= 2)
            BOOST_TEST(senders * most <= bound, perSecond << " " << overage
                                                          << " " << slack << " "
                                                          << known);
        }
}

BOOST_AUTO_TEST_SUITE_END()
