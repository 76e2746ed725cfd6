#include "entries_site.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace greengagespar;
using namespace greengagespar::site;
using namespace std::chrono_literals;

namespace {

// A server ends when it begins to run a request for this target.
constexpr const char *CrashingTarget = "/status/bad?part=7";
// The same for a request with this part in its prompt.
constexpr const char *CrashingPart = "bad00";

// The rule of the users' platform: more than this many servers may be reached
// after the third has ended only until the time from which the rule holds.
constexpr int MostArrivalsAfterBlock = 3;
constexpr auto StableWindow = 3s;
// The same for requests with one part: three more after the fifth crash.
constexpr int MostCrashesOfOnePart = 8;

constexpr auto RunTime = 40ms;
constexpr auto RestartTime = 150ms;

/// Several entries before servers of the service "ledger" that end under
/// requests for CrashingTarget, and start again at their addresses.
struct CrashingRequestFixture : EntriesFixture {
  struct Restart {
    Address At;
    Clock::time_point Due;
  };

  std::vector<std::unique_ptr<FakeServer>> Running;
  std::vector<std::unique_ptr<FakeServer>> Ended;
  std::vector<Restart> Restarts;
  std::map<std::string, Clock::time_point> EndsAt; ///< By server.
  std::optional<Clock::time_point> ThirdCrashAt;
  int Crashes = 0;
  int ArrivedLate = 0; ///< Under CrashingTarget, after StableWindow.
  std::uint64_t NextStart = 1000;

  CrashingRequestFixture() {
    OnStep = [this] { doWhatIsDue(); };
    for (int i = 0; i < 3; ++i)
      startServer({});
  }

  void startServer(const Address &at) {
    std::string id = numbered("l-", NextStart);
    Running.push_back(std::make_unique<FakeServer>(
        Loop.base(), id,
        [this, id](const HttpRequestMessage &it) { return respond(id, it); },
        at));
    Running.back()->StartedMs = NextStart++;
    Objects.put("servers", id, Running.back()->entry("ledger"));
  }

  static bool crashes(const HttpRequestMessage &request) {
    const std::string *parts =
        findField(request.Head.Fields, "X-Prompt-Prefix");
    return request.Head.Target == CrashingTarget ||
           (parts && parts->find(CrashingPart) != std::string::npos);
  }

  FakeAnswer respond(const std::string &id, const HttpRequestMessage &request) {
    if (!crashes(request))
      return {.SendsNothing = true};
    auto now = Clock::now();
    if (ThirdCrashAt && now > *ThirdCrashAt + StableWindow)
      ++ArrivedLate;
    EndsAt.emplace(id, now + RunTime);
    return {.SendsNothing = true};
  }

  void doWhatIsDue() {
    auto now = Clock::now();
    std::vector<std::size_t> ending;
    for (std::size_t i = 0; i < Running.size(); ++i)
      if (auto it = EndsAt.find(Running[i]->id());
          it != EndsAt.end() && now >= it->second)
        ending.push_back(i);
    for (auto i = ending.rbegin(); i != ending.rend(); ++i)
      end(*i, now);
    std::erase_if(Restarts, [&](const Restart &it) {
      bool isDue = now >= it.Due;
      if (isDue)
        startServer(it.At);
      return isDue;
    });
    for (auto &it : Running)
      it->answerPending([](const HttpRequestMessage &request) {
        if (crashes(request))
          return FakeAnswer{.SendsNothing = true};
        return FakeAnswer{signedAnswer(request, 200, "done")};
      });
  }

  void end(std::size_t index, Clock::time_point now) {
    auto it = Running.begin() + static_cast<std::ptrdiff_t>(index);
    if (++Crashes == 3)
      ThirdCrashAt = now;
    (*it)->stopListening();
    (*it)->closeAll(false);
    Restarts.push_back({(*it)->at(), now + RestartTime});
    Ended.push_back(std::move(*it));
    Running.erase(it);
  }

  Call &sendVia(std::size_t index, const std::string &target,
                const std::string &fields = "") {
    Settings.Listen = Entries[index % Entries.size()].Settings.Listen;
    Calls.push_back(send("GET", target,
                         "X-Api-Key: k1\r\nX-Deadline-Ms: 1000\r\n" + fields));
    return *Calls.back();
  }

  // Sends a request without a like whose prompt has the shared part \p part
  // between others.
  Call &sendWithPart(std::size_t number, const std::string &part) {
    return sendVia(Rng(), numbered("/status/", number).append("/"),
                   "X-Prompt-Prefix: a1:40," + part + ":300," +
                       numbered("f", number) + ":9\r\n");
  }

  // Sends sound look-ups, also a popular one, for \p time, and the crashing one
  // among them. Returns the share of the sound ones in the last second that are
  // served.
  double sendMix(std::chrono::milliseconds time) {
    std::vector<Call *> sound;
    auto end = Clock::now() + time;
    for (std::size_t n = 0; Clock::now() < end; ++n) {
      if (n % 5 == 0)
        sendVia(Rng(), CrashingTarget);
      Call &call = sendVia(Rng(), n % 2 ? "/status/hot"
                                        : numbered("/status/", n).append("/"));
      if (end - Clock::now() < 1s)
        sound.push_back(&call);
      steps(30ms);
    }
    steps(400ms);
    auto served = std::ranges::count_if(
        sound, [](const Call *it) { return it->Response.Head.Status == 200; });
    return static_cast<double>(served) / static_cast<double>(sound.size());
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CrashingRequests, CrashingRequestFixture)

// Guards against a request for a whole answer that ends server after server as
// it comes again, because nothing tells it from a sound one.
BOOST_AUTO_TEST_CASE(crashingRequest_thatComesAgain_endsFewServers) {
  startEntries(3);
  double served = sendMix(8s);
  BOOST_TEST_MESSAGE("crashes: " << Crashes << ", late: " << ArrivedLate);
  BOOST_TEST(Crashes >= 3);
  BOOST_TEST(ArrivedLate <= MostArrivalsAfterBlock);
  BOOST_TEST(served >= 0.95);
}

// Guards against a part of prompts that ends server after server on a route
// for whole answers, because parts are looked at for streams only.
BOOST_AUTO_TEST_CASE(crashingPart_ofWholeAnswers_endsFewServers) {
  startEntries(3);
  std::vector<Call *> sound;
  auto end = Clock::now() + 8s;
  for (std::size_t n = 0; Clock::now() < end; ++n) {
    if (n % 5 == 0)
      sendWithPart(2 * n, CrashingPart);
    Call &call = sendWithPart(2 * n + 1, "600d");
    if (end - Clock::now() < 1s)
      sound.push_back(&call);
    steps(30ms);
  }
  steps(400ms);
  BOOST_TEST_MESSAGE("crashes: " << Crashes);
  BOOST_TEST(Crashes >= 3);
  BOOST_TEST(Crashes <= MostCrashesOfOnePart);
  auto served = std::ranges::count_if(
      sound, [](const Call *it) { return it->Response.Head.Status == 200; });
  BOOST_TEST(static_cast<double>(served) >=
             0.95 * static_cast<double>(sound.size()));
}

// A blocked request is refused at once: it has not run.
BOOST_AUTO_TEST_CASE(crashingRequest_blocked_isRefusedAtOnce) {
  startEntries(3);
  sendMix(5s);
  for (std::size_t i = 0; i < 6; ++i) {
    Call &call = sendVia(i, CrashingTarget);
    steps(60ms);
    BOOST_TEST(call.Response.Head.Status == 503);
  }
}

// Guards against a sound popular look-up that is refused because it was in
// progress wherever a server ended for another reason.
BOOST_AUTO_TEST_CASE(popularRequest_atOrdinaryCrashes_isServed) {
  startEntries(3);
  for (int i = 0; i < 4; ++i) {
    for (int j = 0; j < 6; ++j)
      sendVia(Rng(), "/status/hot");
    steps(1ms);
    end(0, Clock::now());
    steps(400ms);
  }
  int served = 0;
  for (std::size_t i = 0; i < 30; ++i) {
    Call &call = sendVia(i, "/status/hot");
    steps(40ms);
    served += call.Response.Head.Status == 200 ? 1 : 0;
  }
  BOOST_TEST(served == 30);
}

BOOST_AUTO_TEST_SUITE_END()
