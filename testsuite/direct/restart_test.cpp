#include "entries_site.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>

using namespace greengagespar;
using namespace greengagespar::site;
using namespace std::chrono_literals;

namespace {

// The rule of the users' platform on repeats, at the size of these tests: in
// any window, servers get at most this share of the requests, and some more,
// as arrivals beyond the first of their request.
constexpr auto Window = 2s;
constexpr double RetryShare = 0.2;
constexpr double ExtraRetries = 30;

constexpr auto RestartTime = 100ms;

/// Servers of the service "helper" that restart at their addresses under new
/// ids, and several entries.
struct RestartFixture : EntriesFixture {
  struct Restart {
    Address At;
    Clock::time_point Due;
  };

  struct Arrival {
    Clock::time_point At;
    bool IsFirst = true;
  };

  std::vector<std::unique_ptr<FakeServer>> Running;
  std::vector<std::unique_ptr<FakeServer>> Ended;
  std::vector<Restart> Restarts;
  std::vector<std::string> ToRegister; ///< Ids of servers that started.
  std::map<std::string, int> Arrivals; ///< Of each request.
  std::deque<Arrival> Recent;          ///< Of the last Window.
  int Requests = 0;
  int Misdirected = 0;         ///< Requests that were meant for another server.
  std::string MisdirectedList; ///< Of each, when it came, its id and servers.
  double WorstExcess = -1000;  ///< Repeats in a window over those allowed.
  bool RegistersAtOnce = true; ///< Restarted servers register.
  bool RefusesAll = false;     ///< The servers run nothing.
  std::uint64_t NextStart = 1000;

  RestartFixture() {
    Settings.RetryWindow = Window;
    Settings.RetryShare = RetryShare;
    Settings.ExtraRetries = static_cast<int>(ExtraRetries);
    OnStep = [this] { restartDue(); };
  }

  void addServers(int count) {
    for (int i = 0; i < count; ++i)
      startServer({});
  }

  void startServer(const Address &at) {
    std::string id = numbered("h-", NextStart);
    Running.push_back(std::make_unique<FakeServer>(
        Loop.base(), id,
        [this, id](const HttpRequestMessage &it) { return respond(id, it); },
        at));
    Running.back()->StartedMs = NextStart++;
    if (RegistersAtOnce)
      Objects.put("servers", id, Running.back()->entry("helper"));
  }

  FakeAnswer respond(const std::string &id, const HttpRequestMessage &request) {
    const std::string &name = *findField(request.Head.Fields, "X-Request-Id");
    record(name);
    const std::string &meant =
        *findField(request.Head.Fields, "X-Expect-Instance");
    if (meant != id) {
      ++Misdirected;
      auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
          Clock::now() - Recent.front().At);
      MisdirectedList
          .append(numbered("\n", static_cast<std::uint64_t>(ms.count())))
          .append(" ms: ")
          .append(name)
          .append(" meant for ")
          .append(meant)
          .append(" came to ")
          .append(id);
      return {signedAnswer(request, 421, "")};
    }
    if (RefusesAll)
      return {signedAnswer(request, 503, "", "X-Not-Executed: 1\r\n")};
    return {streamHead(request) + chunk(eventText(1)) + chunk(eventText(2)) +
            "0\r\n\r\n"};
  }

  // Counts an arrival, and the repeats in the window that ends with it.
  void record(const std::string &request) {
    auto now = Clock::now();
    Recent.push_back({now, ++Arrivals[request] == 1});
    while (now - Recent.front().At > Window)
      Recent.pop_front();
    auto first = std::ranges::count_if(Recent, &Arrival::IsFirst);
    auto repeats =
        static_cast<double>(Recent.size()) - static_cast<double>(first);
    WorstExcess =
        std::max(WorstExcess, repeats - ExtraRetries -
                                  RetryShare * static_cast<double>(first));
  }

  // Ends the first \p count servers; they start again soon at their addresses.
  void restartServers(int count) {
    for (int i = 0; i < count; ++i) {
      Running.front()->stopListening();
      Running.front()->closeAll(true);
      Restarts.push_back({Running.front()->at(), Clock::now() + RestartTime});
      Ended.push_back(std::move(Running.front()));
      Running.erase(Running.begin());
    }
  }

  void restartDue() {
    auto now = Clock::now();
    std::erase_if(Restarts, [&](const Restart &it) {
      bool isDue = now >= it.Due;
      if (isDue)
        startServer(it.At);
      return isDue;
    });
  }

  // Sends \p perSecond requests for \p time through all entries. Returns the
  // share of them that is served.
  double sendFor(std::chrono::milliseconds time, int perSecond) {
    std::vector<Call *> sent;
    auto gap = std::chrono::duration_cast<Clock::duration>(1s) / perSecond;
    auto next = Clock::now();
    for (auto end = Clock::now() + time; Clock::now() < end;) {
      steps(2ms);
      if (Clock::now() < next)
        continue;
      next += gap;
      sent.push_back(&sendParts(Rng(), "a1:40"));
    }
    steps(300ms);
    auto served = std::ranges::count_if(
        sent, [](const Call *it) { return it->Response.Head.Status == 200; });
    return static_cast<double>(served) / static_cast<double>(sent.size());
  }

  // Replaces the first entry by a new one.
  void restartEntry() {
    Entries.front().Process.reset();
    Entries.erase(Entries.begin());
    startOne();
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Restarts, RestartFixture)

// Guards against requests to a server whose address a later server has
// registered: each of them is refused and counts as a retry.
BOOST_AUTO_TEST_CASE(servers_restartedAndRegistered_getNoRequestsOfTheFormer) {
  addServers(12);
  startEntries(6);
  sendFor(1s, 150);
  restartServers(5);
  steps(RestartTime + 200ms);
  Misdirected = 0;
  BOOST_TEST(sendFor(1500ms, 150) >= 0.99);
  BOOST_TEST(Misdirected == 0);
}

// Guards against entries that each learn by themselves, and several times, that
// a server is gone which the store still lists.
BOOST_AUTO_TEST_CASE(servers_restartedWhileStoreIsSilent_refuseFewRequests) {
  addServers(12);
  startEntries(6);
  sendFor(1s, 150);
  RegistersAtOnce = false;
  Objects.IsUnavailable = true;
  constexpr int count = 5;
  restartServers(count);
  steps(RestartTime + 50ms);
  BOOST_TEST(sendFor(2s, 150) >= 0.99);
  // The best is one for each server, from all entries together.
  BOOST_TEST(Misdirected <= count,
             Misdirected << " of " << count << ":" << MisdirectedList);
}

// Guards against parts of the retry budget that add up to more than the whole:
// an entry that starts takes a part which the one before may have spent.
BOOST_AUTO_TEST_CASE(entries_restartedWhileServersRefuse_keepRetryBudget) {
  addServers(12);
  startEntries(4);
  RefusesAll = true;
  for (int i = 0; i < 8; ++i) {
    sendFor(300ms, 150);
    restartEntry();
  }
  sendFor(1s, 150);
  BOOST_TEST_MESSAGE("excess: " << WorstExcess);
  BOOST_TEST(WorstExcess <= 0);
}

BOOST_AUTO_TEST_SUITE_END()
