/// \file
/// Several entries before servers that end under some requests. Not thread
/// safe.
#ifndef GREENGAGESPAR_DIRECT_CRASH_SITE_TEST_H
#define GREENGAGESPAR_DIRECT_CRASH_SITE_TEST_H

#include "entries_site.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <utility>

namespace greengagespar::site {

using namespace std::chrono_literals;

// A server ends when it begins to answer a request with this part.
inline constexpr const char *CrashingPart = "bad00";
// The same for a request with this target, whatever its prompt holds.
inline constexpr const char *CrashingTarget = "/draft/bad";

// The rule of the users' platform: after the fifth crash, at most three more
// requests with the part reach a server.
inline constexpr int MostCrashes = 8;
// The same for one request that comes again: three more after the third crash.
inline constexpr int MostCrashesOfOneRequest = 6;

// Time for which a group stalls when one of its ranks has ended, before the
// others break their calls off, and for which it stays closed afterwards.
inline constexpr auto StallTime = 1500ms;
inline constexpr auto FormTime = 300ms;
// Duration of a sound answer.
inline constexpr auto AnswerTime = 60ms;
// Time after which a server that has ended is replaced.
inline constexpr auto RestartTime = 200ms;

/// Several entries before servers of the service "helper" that end under
/// requests with CrashingPart. The servers are single ones or one group, whose
/// ranks stall together.
struct CrashFixture : EntriesFixture {
  std::vector<std::unique_ptr<FakeServer>> Ended;
  std::vector<Clock::time_point> RestartAt;
  bool IsGroup = false;
  bool EndsBeforeHead = false; ///< A server ends before it sends a head.
  int CommonParts = 0;         ///< Parts of all prompts before other ones.
  int EventsBeforeEnd = 0;     ///< Events that a server sends before it ends.
  int Crashes = 0;
  bool CrashesNext = false; ///< A server ends under the next request.
  bool DropsNext = false;   ///< The next request finds its connection closed.
  int BadArrived = 0; ///< Requests with CrashingPart that reached servers.
  Clock::time_point StalledUntil{};
  Clock::time_point ClosedUntil{};

  CrashFixture() {
    OnStep = [this] { doWhatIsDue(); };
  }

  void addServers(int count) {
    for (int i = 0; i < count; ++i)
      addHelper();
  }

  void addHelper() {
    std::string id = numbered("h-", ++NextServer);
    Servers.push_back(std::make_unique<FakeServer>(
        Loop.base(), id,
        [this, id](const HttpRequestMessage &it) { return respond(id, it); }));
    Objects.put("servers", id, Servers.back()->entry("helper"));
  }

  FakeAnswer respond(const std::string &id, const HttpRequestMessage &request) {
    const std::string *parts =
        findField(request.Head.Fields, "X-Prompt-Prefix");
    bool isBad = request.Head.Target == CrashingTarget ||
                 (parts && parts->find(CrashingPart) != std::string::npos);
    BadArrived += isBad ? 1 : 0;
    auto now = Clock::now();
    if (std::exchange(DropsNext, false))
      return {.Resets = true};
    if (now < StalledUntil)
      return {.SendsNothing = true};
    if (now < ClosedUntil)
      return notRun(request);
    if (isBad || std::exchange(CrashesNext, false)) {
      crash(id);
      if (EndsBeforeHead)
        return {.Resets = true};
      std::string bytes = streamHead(request);
      for (int i = 1; i <= EventsBeforeEnd; ++i)
        bytes += chunk(eventText(i));
      return {.Bytes = bytes, .Closes = true};
    }
    Begun[idOf(request)] = now;
    return {.Bytes =
                streamHead(request) + chunk(eventText(1)) + chunk(eventText(2)),
            .IsPartial = true};
  }

  static std::string idOf(const HttpRequestMessage &request) {
    return *findField(request.Head.Fields, "X-Request-Id");
  }

  static FakeAnswer notRun(const HttpRequestMessage &request) {
    return {signedAnswer(request, 503, "", "X-Not-Executed: 1\r\n")};
  }

  // Goes on with the answer to \p request.
  FakeAnswer goOn(const HttpRequestMessage &request) {
    if (Clock::now() < Begun[idOf(request)] + AnswerTime)
      return {.IsPartial = true};
    return {chunk(eventText(3)) + "0\r\n\r\n"};
  }

  // Breaks the call \p request off after a stall.
  FakeAnswer breakOff(const HttpRequestMessage &request) {
    if (Begun.contains(idOf(request)))
      return {.Resets = true};
    return notRun(request);
  }

  // Ends the server \p id after its answer: it is replaced later by another
  // one. The group's other ranks stall.
  void crash(const std::string &id) {
    ++Crashes;
    if (IsGroup) {
      StalledUntil = Clock::now() + StallTime;
      ClosedUntil = StalledUntil + FormTime;
    }
    CrashedIds.push_back(id);
  }

  // Does what is due: ends crashed servers, replaces them, breaks off stalled
  // calls.
  void doWhatIsDue() {
    auto now = Clock::now();
    for (const std::string &id : std::exchange(CrashedIds, {})) {
      auto it = std::ranges::find_if(
          Servers, [&](const auto &server) { return server->id() == id; });
      if (it == Servers.end())
        continue;
      (*it)->stopListening();
      (*it)->closeAll(false);
      Ended.push_back(std::move(*it));
      Servers.erase(it);
      Objects.remove("servers", id);
      RestartAt.push_back(now + RestartTime);
    }
    if (std::erase_if(RestartAt, [&](auto at) { return now >= at; }) > 0)
      addServers(static_cast<int>(12 - Servers.size() - RestartAt.size()));
    bool stalls = StalledUntil != Clock::time_point{};
    if (stalls && now < StalledUntil)
      return;
    StalledUntil = {};
    for (auto &server : Servers)
      server->answerPending([&](const HttpRequestMessage &it) {
        return stalls ? breakOff(it) : goOn(it);
      });
  }

  // Returns \p parts with a common part of few before them.
  std::string withFirst(const std::string &parts) {
    std::string first = numbered("a", Rng() % 4).append(":40");
    for (int i = 0; i < CommonParts; ++i)
      first.append(numbered(",c", static_cast<std::uint64_t>(i))).append(":8");
    return parts.empty() ? first : first.append(",").append(parts);
  }

  // Sends sound requests for \p time through all entries, and requests with
  // CrashingPart among them.
  void sendMix(std::chrono::milliseconds time) {
    auto end = Clock::now() + time;
    for (std::size_t n = 0; Clock::now() < end; ++n) {
      if (n % 4 == 0) {
        std::string bad = std::string(CrashingPart) + ":300";
        sendParts(Rng(), Rng() % 3 == 0 ? bad + ",c:9" : withFirst(bad));
        ++BadSent;
      }
      sendParts(Rng(), withFirst(""));
      steps(12ms);
    }
  }

  // Sends sound requests for \p time, and the same crashing one again and again
  // among them, which shares its parts with them.
  void sendRepeated(std::chrono::milliseconds time) {
    auto end = Clock::now() + time;
    for (std::size_t n = 0; Clock::now() < end; ++n) {
      if (n % 8 == 0)
        sendParts(n / 8, "a0:40", CrashingTarget);
      sendParts(Rng(), withFirst(""));
      steps(25ms);
    }
  }

  // Starts servers and entries, sends a crashing request again and again, and
  // checks that few servers end and that sound requests are served.
  void checkRepeatedStream() {
    addServers(12);
    startEntries(3);
    sendRepeated(7s);
    BOOST_TEST_MESSAGE("crashes: " << Crashes);
    BOOST_TEST(Crashes >= 3);
    BOOST_TEST(Crashes <= MostCrashesOfOneRequest);
    BOOST_TEST(servedShare(40) >= 0.9);
  }

  // Starts servers and entries, sends requests for \p time, of which more than
  // \p leastBad have CrashingPart, and checks that few servers end.
  void checkCrashes(std::chrono::milliseconds time, int leastBad) {
    addServers(12);
    startEntries(3);
    sendMix(time);
    BOOST_TEST(BadSent > leastBad);
    BOOST_TEST_MESSAGE("crashes: " << Crashes);
    BOOST_TEST(Crashes <= MostCrashes);
  }

  // Returns the share of \p count sound requests that are served.
  double servedShare(int count) {
    std::vector<Call *> sent;
    for (int i = 0; i < count; ++i) {
      sent.push_back(&sendParts(Rng(), withFirst("")));
      steps(5ms);
    }
    steps(300ms);
    auto served = std::ranges::count_if(sent, [](const Call *it) {
      return it->Response.IsDone && it->Response.Head.Status == 200;
    });
    return static_cast<double>(served) / count;
  }

  std::map<std::string, Clock::time_point> Begun;
  int BadSent = 0;
  int NextServer = 0;
  std::vector<std::string> CrashedIds;
};

} // namespace greengagespar::site

#endif // GREENGAGESPAR_DIRECT_CRASH_SITE_TEST_H
