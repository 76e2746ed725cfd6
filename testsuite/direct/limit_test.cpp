#include "entries_site.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>

using namespace greengagespar;
using namespace greengagespar::site;
using namespace std::chrono_literals;

namespace {

// The rule of the users' platform: in any span of this length, a server gets at
// most this many times what its limit allows, and some requests more. It holds
// from some time after the server first stated the limit.
constexpr auto Span = 4s;
constexpr double Tolerance = 1.5;
constexpr int MoreAllowed = 5;
constexpr auto LearningTime = 3s;

int allowedInSpan(double limit) {
  return static_cast<int>(Tolerance * limit * 4) + MoreAllowed;
}

/// Servers of the service "helper" that state a limit of requests a second, and
/// several entries with uneven demand.
struct LimitFixture : EntriesFixture {
  struct Limited {
    FakeServer *Server = nullptr;
    std::optional<double> Limit; ///< Stated in its answers; empty: none.
    std::optional<Clock::time_point> StatedAt;
    std::deque<Clock::time_point> Arrivals; ///< Of the last Span.
    int MostInSpan = 0; ///< From LearningTime after StatedAt on.
    int Total = 0;
  };

  std::vector<std::unique_ptr<Limited>> Limiteds;

  Limited &addLimited(std::optional<double> limit) {
    Limiteds.push_back(std::make_unique<Limited>());
    Limited &it = *Limiteds.back();
    it.Limit = limit;
    it.Server = &addServer("helper", [&it](const HttpRequestMessage &request) {
      return respond(it, request);
    });
    return it;
  }

  static FakeAnswer respond(Limited &it, const HttpRequestMessage &request) {
    auto now = Clock::now();
    ++it.Total;
    it.Arrivals.push_back(now);
    while (now - it.Arrivals.front() > Span)
      it.Arrivals.pop_front();
    if (it.StatedAt && now - *it.StatedAt > LearningTime + Span)
      it.MostInSpan =
          std::max(it.MostInSpan, static_cast<int>(it.Arrivals.size()));
    std::string head = streamHead(request);
    if (it.Limit) {
      it.StatedAt = it.StatedAt.value_or(now);
      head.insert(head.size() - 2,
                  "Server-Limit: " + std::to_string(*it.Limit) + "\r\n");
    }
    return {head + chunk(eventText(1)) + chunk(eventText(2)) + "0\r\n\r\n"};
  }

  // Sends \p perSecond requests for \p time: half of them through the first
  // entry. Returns the share that is served.
  double sendFor(std::chrono::milliseconds time, double perSecond) {
    std::vector<Call *> sent;
    auto gap = std::chrono::duration<double>(1 / perSecond);
    auto next = Clock::now();
    for (auto end = Clock::now() + time; Clock::now() < end;) {
      steps(2ms);
      if (Clock::now() < next)
        continue;
      next += std::chrono::duration_cast<Clock::duration>(gap);
      sent.push_back(&sendParts(Rng() % 2 == 0 ? 0 : Rng(), "a1:40"));
    }
    steps(300ms);
    auto served = std::ranges::count_if(
        sent, [](const Call *it) { return it->Response.Head.Status == 200; });
    return static_cast<double>(served) / static_cast<double>(sent.size());
  }

  void checkLimits() const {
    for (const auto &it : Limiteds)
      if (it->Limit)
        BOOST_TEST(it->MostInSpan <= allowedInSpan(*it->Limit));
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RateLimits, LimitFixture)

// Guards against entries that each send to a server without regard to the
// limit that it states for all of them.
BOOST_AUTO_TEST_CASE(limit_ofAllServersUnderDemand_isKeptByAllEntries) {
  for (int i = 0; i < 12; ++i)
    addLimited(1.5);
  startEntries(6);
  double served = sendFor(14s, 80);
  checkLimits();
  // At least half of what the servers take is used.
  BOOST_TEST(served >= 0.5 * 12 * 1.5 / 80);
}

// A limit below one request a second for each entry.
BOOST_AUTO_TEST_CASE(limit_belowNumberOfEntries_isKept) {
  addLimited(0.5);
  startEntries(6);
  sendFor(14s, 30);
  checkLimits();
  BOOST_TEST(Limiteds[0]->Total >= 3);
}

BOOST_AUTO_TEST_CASE(limit_ofSomeServers_sendsTheRestToOthers) {
  for (int i = 0; i < 4; ++i)
    addLimited(0.5);
  for (int i = 0; i < 4; ++i)
    addLimited(std::nullopt);
  startEntries(4);
  BOOST_TEST(sendFor(12s, 60) >= 0.99);
  checkLimits();
}

BOOST_AUTO_TEST_CASE(limit_whileOneEntryRestarts_isKept) {
  for (int i = 0; i < 12; ++i)
    addLimited(1.5);
  startEntries(4);
  sendFor(6s, 80);
  Entries.front().Process.reset();
  Entries.erase(Entries.begin());
  startOne();
  sendFor(8s, 80);
  checkLimits();
}

BOOST_AUTO_TEST_CASE(limit_thatEnds_isForgottenSoon) {
  for (int i = 0; i < 4; ++i)
    addLimited(1);
  startEntries(4);
  sendFor(5s, 40);
  for (auto &it : Limiteds)
    it->Limit.reset();
  sendFor(2500ms, 40);
  BOOST_TEST(sendFor(2s, 40) >= 0.99);
}

BOOST_AUTO_TEST_SUITE_END()
