#include "entries_site.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>

using namespace greengagespar;
using namespace greengagespar::site;
using namespace std::chrono_literals;

namespace {

// The rule of the users' platform: in any second, a cold server gets at most
// what it bears times the overage, and the slack more.
constexpr double ColdPerSecond = 8;
constexpr double Overage = 1.5;
constexpr double Slack = 4;
constexpr int Allowed = static_cast<int>(ColdPerSecond * Overage + Slack);
constexpr auto ColdTime = 3s;
// Time in which entries learn of a change in the store.
constexpr auto LearningTime = 1s;

/// Servers of the service "helper" that may be cold, and several entries.
struct ColdFixture : EntriesFixture {
  struct Counted {
    FakeServer *Server = nullptr;
    std::chrono::milliseconds StatedMs{0};  ///< In its answers; 0: nothing.
    bool IsSlow = false;                    ///< Answers in answerSlow() only.
    std::deque<Clock::time_point> Arrivals; ///< Of the last second.
    int MostInSecond = 0;
    int Total = 0;
  };

  std::vector<std::unique_ptr<Counted>> Counteds;
  Clock::time_point AnsweredAt = Clock::now();

  ColdFixture() {
    boost::json::object site = configuration(2);
    auto &helper = site["services"].at(0).as_object();
    helper["coldStartS"] = 3.0;
    helper["coldPerS"] = ColdPerSecond;
    Objects.put("config", "main", site);
    Settings.ColdOverage = Overage;
    Settings.ColdSlack = Slack;
  }

  Counted &addCounted(std::chrono::milliseconds coldFor = 0ms) {
    Counteds.push_back(std::make_unique<Counted>());
    Counted &it = *Counteds.back();
    Servers.push_back(std::make_unique<FakeServer>(
        Loop.base(), numbered("i-", Servers.size() + 1),
        [&it](const HttpRequestMessage &request) {
          return respond(it, request);
        }));
    it.Server = Servers.back().get();
    registerServer(it, coldFor);
    return it;
  }

  // Writes the registration of \p it, which says how long it is cold.
  void registerServer(const Counted &it, std::chrono::milliseconds remaining) {
    boost::json::object entry = it.Server->entry("helper");
    entry["coldRemainingMs"] = remaining.count();
    Objects.put("servers", it.Server->id(), entry);
  }

  static FakeAnswer respond(Counted &it, const HttpRequestMessage &request) {
    auto now = Clock::now();
    ++it.Total;
    it.Arrivals.push_back(now);
    while (now - it.Arrivals.front() >= 1s)
      it.Arrivals.pop_front();
    it.MostInSecond =
        std::max(it.MostInSecond, static_cast<int>(it.Arrivals.size()));
    return it.IsSlow ? FakeAnswer{.SendsNothing = true} : answer(it, request);
  }

  static FakeAnswer answer(const Counted &it,
                           const HttpRequestMessage &request) {
    std::string head = streamHead(request);
    if (it.StatedMs > 0ms)
      head.insert(head.size() - 2,
                  numbered("X-Cold-Ms: ", it.StatedMs.count()) + "\r\n");
    return {head + chunk(eventText(1)) + chunk(eventText(2)) + "0\r\n\r\n"};
  }

  // Adds three slow servers behind a fast one, which attracts all work.
  Counted &addAttractive() {
    Counted &fast = addCounted();
    for (int i = 0; i < 3; ++i)
      addCounted().IsSlow = true;
    OnStep = [this] { answerSlow(); };
    return fast;
  }

  void answerSlow() {
    constexpr auto interval = 150ms;
    if (Clock::now() - AnsweredAt < interval)
      return;
    AnsweredAt = Clock::now();
    for (auto &it : Counteds)
      if (it->IsSlow)
        it->Server->answerPending([&it](const HttpRequestMessage &request) {
          return answer(*it, request);
        });
  }

  // Sends \p perSecond requests for \p time. Returns the share that is served.
  double sendFor(std::chrono::milliseconds time, double perSecond) {
    std::vector<Call *> sent;
    auto gap = std::chrono::duration<double>(1 / perSecond);
    auto next = Clock::now();
    for (auto end = Clock::now() + time; Clock::now() < end;) {
      steps(2ms);
      if (Clock::now() < next)
        continue;
      next += std::chrono::duration_cast<Clock::duration>(gap);
      sent.push_back(&sendParts(Rng(), "a1:40"));
    }
    steps(300ms);
    auto served = std::ranges::count_if(
        sent, [](const Call *it) { return it->Response.Head.Status == 200; });
    return static_cast<double>(served) / static_cast<double>(sent.size());
  }

  static void checkBoundOf(const Counted &it) {
    BOOST_TEST(it.MostInSecond > 0);
    BOOST_TEST(it.MostInSecond <= Allowed);
  }

  void checkBound() const {
    for (const auto &it : Counteds)
      checkBoundOf(*it);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ColdServers, ColdFixture)

// All servers return cold at one moment under more work than they bear. They
// work on what they bear, and take all of it again when they are warm.
BOOST_AUTO_TEST_CASE(servers_thatReturnCold_getWhatTheyBear) {
  startEntries(6);
  steps(1s);
  for (int i = 0; i < 4; ++i)
    addCounted(ColdTime);
  // The servers are still cold when the last answers are awaited.
  sendFor(ColdTime - 500ms, 120);
  checkBound();
  int total = 0;
  for (auto &it : Counteds)
    total += it->Total;
  BOOST_TEST(total >= 4 * 3 * ColdPerSecond / 4);
  steps(3s);
  BOOST_TEST(sendFor(2s, 60) >= 0.99);
}

// A server becomes cold again without a restart: others take its work.
BOOST_AUTO_TEST_CASE(server_coldAgain_leavesItsWorkToOthers) {
  Counted &cold = addAttractive();
  startEntries(6);
  steps(1s);
  sendFor(2s, 80);
  BOOST_TEST(cold.MostInSecond > Allowed);
  registerServer(cold, 6s);
  sendFor(LearningTime + 1s, 80);
  cold.MostInSecond = 0;
  BOOST_TEST(sendFor(2s, 80) >= 0.99);
  checkBoundOf(cold);
}

// Only the server's own answers say that it is cold, not the store.
BOOST_AUTO_TEST_CASE(server_thatSaysItIsCold_isLimited) {
  Counted &cold = addAttractive();
  startEntries(6);
  steps(1s);
  sendFor(2s, 80);
  BOOST_TEST(cold.MostInSecond > Allowed);
  cold.StatedMs = 3000ms;
  sendFor(LearningTime + 1s, 80);
  cold.MostInSecond = 0;
  BOOST_TEST(sendFor(2s, 80) >= 0.99);
  checkBoundOf(cold);
}

// An entry ends and another starts while servers are cold.
BOOST_AUTO_TEST_CASE(servers_coldWhileAnEntryRestarts_areWithinBound) {
  startEntries(4);
  steps(1s);
  for (int i = 0; i < 4; ++i)
    addCounted(10s);
  sendFor(1s, 100);
  Entries.front().Process.reset();
  Entries.erase(Entries.begin());
  startOne();
  sendFor(4s, 100);
  checkBound();
  for (auto &it : Counteds)
    BOOST_TEST(it->Total > 0);
}

// Without a bound of the site, a cold server is used like any other.
BOOST_AUTO_TEST_CASE(servers_withoutBound_areNotLimited) {
  Settings.ColdOverage = 0;
  for (int i = 0; i < 2; ++i)
    addCounted(30s);
  startEntries(3);
  BOOST_TEST(sendFor(2s, 100) >= 0.99);
}

BOOST_AUTO_TEST_SUITE_END()
