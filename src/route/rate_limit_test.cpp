#include "greengagespar/route/rate_limit.h"

#include "greengagespar/base/hash.h"
#include "greengagespar/route/admission.h"
#include "greengagespar/route/choose.h"
#include <boost/test/unit_test.hpp>
#include <deque>
#include <random>

using namespace greengagespar;
using namespace std::chrono_literals;

namespace {

ServerIncarnationId server(std::uint64_t number) { return {number}; }

/// Entries that share the limit of one server, and a clock.
struct RateFixture {
  Clock::time_point Now = Clock::now();
  std::mt19937_64 Rng{5};
  std::vector<RateShare> Entries;
  std::deque<Clock::time_point> Sent; ///< In the last 4 s.
  std::size_t MostInSpan = 0;
  std::uint64_t Total = 0;

  static Address entry(std::size_t index) {
    return {"10.0.0." + std::to_string(index) + ":7000"};
  }

  static std::vector<LimitSharer>
  sharersOf(const std::vector<std::optional<double>> &demands) {
    std::vector<LimitSharer> sharers;
    for (std::size_t i = 0; i < demands.size(); ++i)
      sharers.push_back({entry(i), demands[i]});
    return sharers;
  }

  // Returns the parts of the limit \p limit of server \p id.
  static std::vector<double>
  partsOf(double limit, std::uint64_t id,
          const std::vector<std::optional<double>> &demands) {
    std::vector<LimitSharer> sharers = sharersOf(demands);
    std::vector<double> parts;
    for (std::size_t i = 0; i < demands.size(); ++i)
      parts.push_back(partOfLimit(limit, server(id), entry(i), sharers));
    return parts;
  }

  // Lets entries with \p demands calls a second send to the server \p id for
  // \p time, each whenever a call waits and it has a token.
  void run(double limit, const std::vector<std::optional<double>> &demands,
           std::chrono::seconds time, std::uint64_t id = 1) {
    for (double part : partsOf(limit, id, demands))
      Entries.push_back({part, 0, Now});
    for (auto end = Now + time; Now < end; Now += 20ms)
      for (std::size_t i = 0; i < Entries.size(); ++i) {
        updateRateShare(Entries[i], Now);
        int calls = std::poisson_distribution<int>(*demands[i] * 0.02)(Rng);
        for (; calls > 0 && Entries[i].Tokens >= 1; --calls)
          send(Entries[i]);
      }
  }

  void send(RateShare &entry) {
    entry.Tokens -= 1;
    ++Total;
    Sent.push_back(Now);
    while (Now - Sent.front() > 4s)
      Sent.pop_front();
    MostInSpan = std::max(MostInSpan, Sent.size());
  }
};

/// Returns what the users' platform allows in 4 s.
std::size_t allowed(double limit) {
  return static_cast<std::size_t>(1.5 * 4 * limit + 5);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(RateLimit, RateFixture)

// Distributed rate limiting by demand: high demand at uneven entries.
BOOST_AUTO_TEST_CASE(limit_underUnevenDemand_isKeptAndUsed) {
  run(5, {32, 8, 8, 2, 1, 0.25}, 120s);
  BOOST_TEST(MostInSpan <= allowed(5));
  BOOST_TEST(Total >= 5 * 120 * 0.8);
  BOOST_TEST(Total <= 5 * 120 * 1.05);
}

// Guards against a small limit that each of many entries takes once at the same
// time.
BOOST_AUTO_TEST_CASE(limit_belowNumberOfEntries_isKept) {
  for (std::uint64_t id = 0; id < 50; ++id) {
    Entries.clear();
    run(1, std::vector<std::optional<double>>(46, 8), 40s, id);
    BOOST_TEST(MostInSpan <= allowed(1));
  }
  BOOST_TEST(Total >= 50 * 40 * 0.8);
  BOOST_TEST(Total <= 50 * 40 * 1.1);
}

BOOST_AUTO_TEST_CASE(tokens_ofIdleEntries_areFew) {
  double sum = 0;
  for (double part : partsOf(2, 1, std::vector<std::optional<double>>(46, 1))) {
    RateShare share{part, 0, Now};
    updateRateShare(share, Now + 1h);
    sum += share.PerSecond > 0 ? share.Tokens : 0;
  }
  BOOST_TEST(sum <= 2 / MinHolderRate);
}

BOOST_AUTO_TEST_CASE(parts_ofAllEntries_sumToTheLimit) {
  for (std::uint64_t id = 0; id < 200; ++id)
    for (double limit : {0.3, 1.0, 2.5, 40.0}) {
      double sum = 0;
      for (double part : partsOf(limit, id, {32, 1, 4, {}, 0.25}))
        sum += part;
      BOOST_TEST(std::abs(sum - limit) < 1e-9);
    }
}

// Holders follow the demand: over many servers an entry gets as much of the
// limits as its demand is of the demand of all.
BOOST_AUTO_TEST_CASE(parts_overManyServers_followDemand) {
  std::vector<double> sums(3);
  for (std::uint64_t id = 0; id < 3000; ++id) {
    std::vector<double> parts = partsOf(0.5, mixBits(id), {16, 4, 4});
    for (std::size_t i = 0; i < 3; ++i)
      sums[i] += parts[i];
  }
  BOOST_TEST(sums[0] > 0.62 * 1500);
  BOOST_TEST(sums[0] < 0.72 * 1500);
  BOOST_TEST(sums[1] > 0.13 * 1500);
}

// An entry that joins or leaves changes few holders.
BOOST_AUTO_TEST_CASE(parts_whenAnEntryLeaves_moveToOthersOnly) {
  for (std::uint64_t id = 0; id < 100; ++id) {
    std::vector<double> before = partsOf(0.5, id, {1, 1, 1, 1});
    std::vector<double> after = partsOf(0.5, id, {1, 1, 1});
    if (before[3] == 0)
      BOOST_TEST(bool(std::vector(before.begin(), before.end() - 1) == after));
  }
}

BOOST_AUTO_TEST_CASE(reportedDemand_nearItsRange_staysTheSame) {
  DemandRate rate{8, Now, 0};
  BOOST_TEST(reportedDemand(rate, Now) == 8);
  rate.PerSecond = 12.5;
  BOOST_TEST(reportedDemand(rate, Now) == 8);
  rate.PerSecond = 14;
  BOOST_TEST(reportedDemand(rate, Now) == 16);
  rate.PerSecond = 0;
  BOOST_TEST(reportedDemand(rate, Now) == 0.25);
}

BOOST_AUTO_TEST_CASE(demand_ofSteadyCalls_isTheirRate) {
  DemandRate rate;
  for (int i = 0; i < 400; ++i)
    recordDemand(rate, Now + i * 50ms);
  BOOST_TEST(std::abs(demandAt(rate, Now + 20s) - 20) < 1);
}

BOOST_AUTO_TEST_CASE(limit_ofZero_leavesRoomToLearnItsEnd) {
  run(0, {20, 20}, 60s);
  BOOST_TEST(Total >= 3U);
  BOOST_TEST(MostInSpan <= allowed(0));
}

BOOST_AUTO_TEST_CASE(statement_ofAServer_replacesTheOneBefore) {
  RateLimits limits;
  BOOST_TEST(!recordStatedLimit(limits, server(1), {}, {1}, Now));
  BOOST_TEST(limits.Servers.empty());
  BOOST_TEST(recordStatedLimit(limits, server(1), 2.5, {2}, Now));
  BOOST_TEST(!recordStatedLimit(limits, server(1), 2.5, {3}, Now + 1s));
  BOOST_TEST(limitOf(limits, server(1)).value() == 2.5);
  BOOST_TEST(!limitOf(limits, server(2)).has_value());
  BOOST_TEST(recordStatedLimit(limits, server(1), {}, {4}, Now + 2s));
  BOOST_TEST(!limitOf(limits, server(1)).has_value());
}

BOOST_AUTO_TEST_CASE(rows_ofTwoEntries_theLaterStatementCounts) {
  RateLimits a;
  RateLimits b;
  recordStatedLimit(a, server(1), 2, {1}, Now);
  for (const LimitRow &it : takeLimitRows(a, 8, Now))
    BOOST_TEST(mergeLimit(b, it, Now + 5ms));
  recordStatedLimit(b, server(1), {}, {2}, Now + 1s);
  for (const LimitRow &it : takeLimitRows(a, 8, Now + 1s))
    BOOST_TEST(!mergeLimit(b, it, Now + 1005ms));
  BOOST_TEST(!limitOf(b, server(1)).has_value());
  for (const LimitRow &it : takeLimitRows(b, 8, Now + 1s))
    BOOST_TEST(mergeLimit(a, it, Now + 1005ms));
  BOOST_TEST(!limitOf(a, server(1)).has_value());
}

// Guards against a statement that seems newer each time it returns from a peer
// and in the end displaces one that really is.
BOOST_AUTO_TEST_CASE(row_thatReturns_doesNotSeemNewer) {
  RateLimits a;
  RateLimits b;
  recordStatedLimit(a, server(1), 2, {1}, Now);
  for (auto now = Now; now < Now + 100s; now += 100ms) {
    for (const LimitRow &it : takeLimitRows(a, 8, now))
      mergeLimit(b, it, now + 50ms);
    for (const LimitRow &it : takeLimitRows(b, 8, now + 50ms))
      mergeLimit(a, it, now + 100ms);
  }
  BOOST_TEST((a.Servers.at(server(1)).At == Now));
  expireLimits(a, Now + 31s);
  BOOST_TEST(a.Servers.empty());
}

BOOST_AUTO_TEST_CASE(rows_ofManyLimits_allTakeTurnsChangedOnesFirst) {
  RateLimits limits;
  for (std::uint64_t i = 0; i < 5000; ++i)
    recordStatedLimit(limits, server(i), 1, {i}, Now + std::chrono::seconds(i));
  BOOST_TEST(limits.Servers.size() == limits.MaxServers);
  for (std::size_t i = 0; i < limits.MaxServers / 8; ++i)
    takeLimitRows(limits, 8, Now + 5000s);
  for (const auto &[id, it] : limits.Servers)
    BOOST_TEST_REQUIRE(it.Sent == 1U);
  recordStatedLimit(limits, server(4999), 3, {6000}, Now + 5001s);
  BOOST_TEST(takeLimitRows(limits, 1, Now + 5001s)[0].Server.Value == 4999U);
}

/// Servers with limits in the choice of a server.
struct LimitedViews {
  std::vector<EndpointView> Views{3};
  greengagespar::Rng Random{3};
  Clock::time_point Now = Clock::now();

  LimitedViews() {
    for (std::size_t i = 0; i < Views.size(); ++i)
      Views[i].Target.Id = {std::string(1, static_cast<char>('a' + i))};
  }
};

BOOST_AUTO_TEST_CASE(choice_withoutToken_usesOtherServers) {
  LimitedViews it;
  it.Views[0].Rate = RateShare{1, 0.9, it.Now};
  it.Views[1].Rate = RateShare{1, 1, it.Now};
  it.Views[2].State = HealthState::Ejected;
  auto choice = chooseEndpoint(it.Views, {}, {}, it.Now, it.Random);
  BOOST_REQUIRE(choice.has_value());
  BOOST_TEST(choice->Index == 1U);
  recordSentCall(it.Views[1]);
  // A sick server is no substitute for limited ones.
  BOOST_TEST(!chooseEndpoint(it.Views, {}, {}, it.Now, it.Random).has_value());
}

// Calls that limited servers can't take before their deadline are refused at
// once instead of when it passes.
BOOST_AUTO_TEST_CASE(admission_whenAllServersAreLimited_refusesAtOnce) {
  LimitedViews it;
  for (EndpointView &view : it.Views)
    view.Rate = RateShare{1, 0, it.Now};
  Capacity capacity = capacityOf(it.Views);
  BOOST_TEST(capacity.StartsPerSecond == 3);
  BOOST_TEST(capacity.Limit == 0);
  Admission admission;
  admission.Options.MaxWaitShare = 1;
  admission.Options.MaxQueueShare = 1;
  int refused = 0;
  for (std::uint64_t i = 0; i < 20; ++i) {
    ArrivingCall call;
    call.Id = {{1}, i};
    call.AnswerDeadline = {it.Now + 1s};
    call.ExpectedService = Clock::duration::zero();
    auto decision = offer(admission, call, {}, capacity, it.Now);
    refused += decision.Refused ? 1 : 0;
    if (decision.Refused)
      BOOST_TEST(decision.Refused->RetryAfter.count() > 0);
  }
  // Three calls a second: with the safety factor two of them wait.
  BOOST_TEST(refused == 18);
  it.Views[0].Rate.reset();
  BOOST_TEST(std::isinf(capacityOf(it.Views).StartsPerSecond));
}

BOOST_AUTO_TEST_CASE(demandShare_ofAllEntries_addsUpToOne) {
  std::vector<LimitSharer> sharers{
      {{"a"}, 8}, {{"b"}, 2}, {{"c"}, std::nullopt}, {{"d"}, 5}};
  double sum = 0;
  for (const LimitSharer &it : sharers)
    sum += demandShare(it.Entry, sharers);
  BOOST_TEST(sum == 1, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(demandShare({"a"}, sharers) == 0.4);
  BOOST_TEST(demandShare({"c"}, sharers) == 0.25);
}

BOOST_AUTO_TEST_SUITE_END()
