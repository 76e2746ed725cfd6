#include "greengagespar/direct/shared_state.h"

#include "greengagespar/route/retry_budget.h"
#include <boost/test/unit_test.hpp>
#include <deque>
#include <random>

using namespace greengagespar;
using namespace std::chrono_literals;

namespace {

constexpr int ExtraRetries = 90;
constexpr double RetryShare = 0.2;
constexpr auto Window = 10s;
constexpr auto Step = 100ms;

/// Entries of one site before servers that refuse everything. They hear of each
/// other by heartbeats unless they are cut off, and end and start at any time.
struct RetryFixture {
  struct Entry {
    MemberView View;
    MemberRow Row;
    RetryBudget Budget;
    Clock::time_point StartedAt;
    std::optional<Clock::time_point> DownUntil;
    bool IsCutOff = false;
  };

  std::vector<Entry> Entries;
  Clock::time_point Now = Clock::now();
  std::mt19937_64 Rng{11};
  std::uint64_t NextLife = 0;
  std::deque<std::pair<Clock::time_point, double>> Spent; ///< Less the share.
  double Excess = 0;
  double WorstExcess = 0; ///< Most in a window beyond the share.

  RetryFixture() {
    for (int i = 0; i < 8; ++i) {
      Entries.emplace_back();
      Entries.back().Row.Link = {"10.0.0." + std::to_string(i) + ":1"};
      start(Entries.back());
    }
  }

  void start(Entry &it) {
    it.View = {};
    it.View.Self = it.Row.Link;
    it.Row.ProcessIncarnation = {++NextLife};
    it.Row.Heartbeat = 0;
    it.Budget = {};
    it.Budget.Tokens = 0;
    it.Budget.HasPart = false;
    it.StartedAt = Now;
    it.DownUntil.reset();
  }

  // Lets entries hear of each other, and requests fail, for \p time.
  void run(Clock::duration time) {
    for (auto end = Now + time; Now < end; Now += Step)
      for (Entry &it : Entries) {
        if (it.DownUntil && Now >= *it.DownUntil)
          start(it);
        if (it.DownUntil)
          continue;
        hear(it);
        fail(it);
      }
  }

  void hear(Entry &it) {
    ++it.Row.Heartbeat;
    advanceHeartbeat(it.View, it.Row, Now);
    for (const Entry &other : Entries)
      if (&other != &it && !other.DownUntil && !other.IsCutOff && !it.IsCutOff)
        mergeMember(it.View, other.Row, Now);
    sweepMembers(it.View, Now);
    SharedRetries shared{ExtraRetries, Window, it.StartedAt, true};
    applyAllowance(it.Budget,
                   {RetryShare, extraRetryPart(it.View, shared, Now)});
  }

  // Sends requests whose attempts all fail, and retries as often as it may.
  void fail(Entry &it) {
    for (auto n = Rng() % 3; n > 0; --n) {
      recordFirstAttempt(it.Budget);
      record(-RetryShare);
    }
    while (spendRetryToken(it.Budget, true))
      record(1);
  }

  void record(double repeats) {
    Spent.emplace_back(Now, repeats);
    Excess += repeats;
    for (; Now - Spent.front().first > Window; Spent.pop_front())
      Excess -= Spent.front().second;
    WorstExcess = std::max(WorstExcess, Excess);
  }

  Entry &any() { return Entries[Rng() % Entries.size()]; }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SharedRetryBudget, RetryFixture)

BOOST_AUTO_TEST_CASE(parts_ofEntriesThatKnowEachOther_addUpToMostOfTheWhole) {
  run(30s);
  BOOST_TEST(WorstExcess <= ExtraRetries);
  double parts = 0;
  for (const Entry &it : Entries)
    parts += it.Budget.MaxTokens + it.Budget.Overdraft;
  BOOST_TEST(parts >= 0.8 * ExtraRetries);
}

// Guards against entries that start together with a burst of their own, as
// after a loss of all power.
BOOST_AUTO_TEST_CASE(parts_whenAllEntriesRestart_stayWithinTheWhole) {
  run(20s);
  for (int i = 0; i < 4; ++i) {
    for (Entry &it : Entries)
      it.DownUntil = Now + 300ms;
    run(3s);
  }
  run(15s);
  BOOST_TEST(WorstExcess <= ExtraRetries);
}

// Guards against entries that take over the parts of silent ones, which may be
// in use still or have been used just before.
BOOST_AUTO_TEST_CASE(parts_whenEntriesEndStartAndAreCutOff_stayWithinTheWhole) {
  run(20s);
  for (int i = 0; i < 150; ++i) {
    any().DownUntil = Now + std::chrono::milliseconds(Rng() % 4000);
    Entry &cut = any();
    cut.IsCutOff = !cut.IsCutOff;
    run(std::chrono::milliseconds(Rng() % 800));
  }
  BOOST_TEST(WorstExcess <= ExtraRetries);
}

// An entry that left for good gives its part back after a window.
BOOST_AUTO_TEST_CASE(part_ofEntryThatLeft_isUsedByOthersAfterAWindow) {
  run(12s);
  double before = Entries[0].Budget.MaxTokens;
  Entries.back().Row.Leaving = true;
  run(1s);
  BOOST_TEST(Entries[0].Budget.MaxTokens == before);
  Entries.back().DownUntil = Now + 1h;
  run(12s);
  BOOST_TEST(Entries[0].Budget.MaxTokens > before);
}

BOOST_AUTO_TEST_SUITE_END()
