// What a caller asks for crashes each server that begins to write an answer on
// it. The second argument says what that is:
// - "request": one request for a stream, which comes again and again;
// - "part": a part late in a long prompt of streams;
// - "whole": a part of short prompts whose requests are for whole answers;
// - "query": one request for a whole answer, whose query differs each time.
// Ends with 1 if more than three such requests reach servers later than the
// calm time after the third crash (one request) or the fifth one (a part).
#include "common.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <memory>
#include <set>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace review;
using namespace std::chrono_literals;

namespace {

constexpr int Servers = 6;
constexpr int Events = 10;
constexpr auto EventTime = 20ms;
constexpr auto DownTime = 2s;
constexpr auto CalmTime = 3s; // `stableWindowMs` of the settings.
// A request that arrives so soon after the bound may have been sent before it.
constexpr auto OnTheWay = 100ms;
constexpr auto Length = 40s;
constexpr auto BetweenPoisoned = 700ms;
constexpr auto BetweenSound = 60ms;
// A long conversation, and the place of its crashing part, from 0.
constexpr std::size_t LongParts = 70;
constexpr std::size_t LatePoisonedAt = 66;
// The same of a short prompt. Nothing in that of the one request crashes.
constexpr std::size_t ShortParts = 4;
constexpr std::size_t EarlyPoisonedAt = 1;
constexpr const char *Poison = "bad0bad0";
constexpr const char *Sound = "600d600d";

// Whether one request, and not a part of its prompt, crashes servers.
bool IsOneRequest = false;
// Whether requests are for whole answers.
bool IsWhole = false;
// Whether the one request comes with another query each time.
bool VariesQuery = false;

struct State {
  explicit State(const std::string &folder) : Log(folder) {}

  Record Log;
  Store Objects;
  std::mutex Mutex;
  int Crashes = 0;
  Clock::time_point LastFreeCrash{}; ///< The crash from which the bound counts.
  int Arrivals = 0;     ///< Crashing requests that reached servers.
  int LateArrivals = 0; ///< Of these, later than CalmTime after LastFreeCrash.
  std::set<std::string> LateRequests; ///< The ids of LateArrivals.
  std::atomic<bool> IsOver = false;
  std::atomic<int> PoisonedSent = 0;
  std::atomic<int> SoundSent = 0;
  std::atomic<int> SoundServed = 0;
  std::atomic<int> SoundCut = 0;
};

// Returns after how many crashes the bound begins to count.
int freeCrashes() { return IsOneRequest ? 3 : 5; }

/// A server that can crash and start again at its address.
class CrashingServer {
public:
  CrashingServer(State &state, int number)
      : Shared(state), Id("i-" + std::to_string(number)) {
    start();
  }

private:
  void start() {
    ++Born;
    IsDown = false;
    Listener = std::make_shared<Socket>(listenFd("127.0.0.1", Port));
    At = "127.0.0.1:" + std::to_string(Port);
    Shared.Objects.put(
        "servers", Id,
        R"({"service":"helper","address":")" + At +
            R"(","zone":"kigali-a","version":"v1","slots":12,)"
            R"("state":"ready","coldRemainingMs":0,"sequence":4,"born":)" +
            std::to_string(1'700'000'000'000 + Born) + "}");
    std::thread([this, listener = Listener] {
      for (;;) {
        int fd = ::accept4(listener->fd(), nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0)
          return;
        {
          std::lock_guard lock(Mutex);
          Open.insert(fd);
        }
        std::thread([this, fd] { serve(fd); }).detach();
      }
    }).detach();
  }

  void serve(int fd) {
    {
      Socket socket(::dup(fd));
      Message request;
      while (socket.read(request, Clock::now() + 1h) == ReadEnd::Whole &&
             answer(request, socket))
        ;
    }
    std::lock_guard lock(Mutex);
    Open.erase(fd);
    ::close(fd);
  }

  // Returns whether the connection goes on.
  bool answer(const Message &request, Socket &socket) {
    bool isPoisoned =
        request.field("X-Prompt-Prefix").find(Poison) != std::string::npos ||
        request.Body.find(Poison) != std::string::npos;
    if (isPoisoned)
      recordArrival(request.field("X-Request-Id"));
    int from = std::atoi(request.field("Last-Event-Id").c_str());
    if (IsWhole)
      return answerWhole(request, socket, isPoisoned);
    if (!socket.write("HTTP/1.1 200 OK\r\n" + signedFields(request) +
                      "Content-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n"))
      return false;
    if (isPoisoned) {
      crash();
      return false;
    }
    for (int i = from + 1; i <= Events; ++i) {
      std::this_thread::sleep_for(EventTime);
      std::string event = "id: " + std::to_string(i) + "\ndata: six tokens\n\n";
      char size[16];
      std::snprintf(size, sizeof size, "%zx\r\n", event.size());
      if (!socket.write(size + event + "\r\n"))
        return false;
    }
    return socket.write("0\r\n\r\n");
  }

  bool answerWhole(const Message &request, Socket &socket, bool isPoisoned) {
    std::string text = answerText(200, signedFields(request), "a whole answer");
    if (isPoisoned) {
      constexpr std::size_t begun = 40;
      socket.write(text.substr(0, begun));
      crash();
      return false;
    }
    std::this_thread::sleep_for(Events * EventTime);
    return socket.write(text);
  }

  void recordArrival(const std::string &id) {
    std::lock_guard lock(Shared.Mutex);
    ++Shared.Arrivals;
    bool isLate = Shared.Crashes >= freeCrashes() &&
                  Clock::now() > Shared.LastFreeCrash + CalmTime + OnTheWay;
    if (isLate)
      Shared.LateRequests.insert(id);
    Shared.LateArrivals += isLate ? 1 : 0;
    Shared.Log.line("crashing request " + id + " reached server " + Id +
                    (isLate ? ", after the bound" : ""));
  }

  void crash() {
    if (IsDown.exchange(true))
      return;
    {
      std::lock_guard lock(Shared.Mutex);
      if (++Shared.Crashes == freeCrashes())
        Shared.LastFreeCrash = Clock::now();
      Shared.Log.line("server " + Id + " crashed, the " +
                      std::to_string(Shared.Crashes) + ". crash");
    }
    ::shutdown(Listener->fd(), SHUT_RDWR);
    Listener->close();
    {
      std::lock_guard lock(Mutex);
      for (int fd : Open)
        ::shutdown(fd, SHUT_RDWR);
    }
    std::thread([this] {
      std::this_thread::sleep_for(DownTime);
      start();
    }).detach();
  }

  State &Shared;
  std::string Id;
  std::string At;
  int Port = 0;
  int Born = 0;
  std::atomic<bool> IsDown = true;
  std::shared_ptr<Socket> Listener;
  std::mutex Mutex;
  std::set<int> Open;
};

// Returns the parts of a prompt. All requests share them but for one late one
// of a long conversation and the last one, which is the request's own.
std::string promptOf(const std::string &late, int own) {
  std::string prefix;
  char part[32];
  bool isShort = IsOneRequest || IsWhole;
  std::size_t parts = isShort ? ShortParts : LongParts;
  std::size_t poisonedAt = isShort ? EarlyPoisonedAt : LatePoisonedAt;
  for (std::size_t i = 0; i + 1 < parts; ++i) {
    std::snprintf(part, sizeof part, "%zx:12,", 0x5c1e0000 + i);
    prefix += i == poisonedAt ? late + ":12," : part;
  }
  std::snprintf(part, sizeof part, "%x:12", 0x7000000 + own);
  return prefix + part;
}

std::string draftText(const std::string &id, const std::string &prompt,
                      const std::string &body) {
  std::string query = VariesQuery ? "?at=" + id : "";
  return "POST /draft/1" + query +
         " HTTP/1.1\r\nHost: x.example\r\nX-Request-Id: " + id +
         "\r\nX-Model: m\r\nX-Token-Count: 840,60\r\nX-Prompt-Prefix: " +
         prompt + "\r\nX-Deadline-Ms: 8000\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Sends a request and returns what came of it.
std::string draft(const std::string &entry, const std::string &id,
                  const std::string &prompt, const std::string &body) {
  Socket connection = connectTo(entry);
  Message answer;
  if (!connection.isOpen() || !connection.write(draftText(id, prompt, body)))
    return "not sent";
  switch (connection.read(answer, Clock::now() + 8s, true)) {
  case ReadEnd::Whole:
    return std::to_string(answer.status());
  case ReadEnd::Late:
    return "no whole answer at its deadline";
  default:
    return "cut";
  }
}

void logRequest(State &state, const char *kind, const std::string &id,
                const std::string &what) {
  state.Log.line(std::string(kind) + " request " + id + ": " + what);
}

int run(State &state) {
  TempFolder folder;
  // Their threads use them until the process ends.
  static std::vector<std::unique_ptr<CrashingServer>> servers;
  servers.reserve(Servers);
  for (int i = 0; i < Servers; ++i)
    servers.push_back(std::make_unique<CrashingServer>(state, i));
  state.Objects.put(
      "config", "main",
      R"({"version":7,"routes":[{"name":"r-1","host":"x.example",)"
      R"("pathPrefix":"/","kind":")" +
          std::string(IsWhole ? "idempotent" : "streaming") +
          R"(","timeoutMs":8000,)"
          R"("targetLatencyMs":400,"priority":1,"service":"helper","attempts":2,)"
          R"("public":true,"sessionAffinity":true,"resumable":true,)"
          R"("gapTargetMs":120}],"services":[{"name":"helper",)"
          R"("healthPath":"/health","maxConnections":348,"protocol":"h1",)"
          R"("tls":false,"engine":{"slots":12,"kvCacheTokens":494000,)"
          R"("stride":6,"step_ms":4.84,"per_seq_ms":0.362,"read_per_s":74800,)"
          R"("linkMbps":44000,"usual":{"prompt":835,"answer":158}}}],)"
          R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)"
          R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})");
  std::vector<EntryPlan> plans(2);
  std::string peers;
  for (std::size_t i = 0; i < plans.size(); ++i) {
    plans[i].Name = "front-" + std::to_string(i + 1);
    plans[i].Store = state.Objects.at();
    plans[i].Folder = folder.path();
    plans[i].Link = "127.0.0.1:" + std::to_string(freePort());
    peers += (i > 0 ? "\",\"" : "") + plans[i].Link;
  }
  std::vector<std::unique_ptr<Process>> entries;
  for (EntryPlan &it : plans) {
    it.Peers = peers;
    entries.push_back(std::make_unique<Process>(
        writeEntrySettings(it), folder.path() + "/" + it.Name + ".log"));
  }
  for (const EntryPlan &it : plans)
    if (!waitReady(it.Ready, 10s))
      return 2;
  std::this_thread::sleep_for(2s);

  std::vector<std::thread> callers;
  for (std::size_t caller = 0; caller < 4; ++caller)
    callers.emplace_back([&, caller] {
      for (int i = 0; !state.IsOver; ++i) {
        std::string id = "s" + std::to_string(caller) + "-" + std::to_string(i);
        std::string answer =
            draft(plans[caller % 2].Listen, id,
                  promptOf(Sound, static_cast<int>(caller) * 10000 + i),
                  "a sound question");
        ++state.SoundSent;
        state.SoundServed += answer == "200" ? 1 : 0;
        if (answer != "200" && answer != "503") {
          ++state.SoundCut;
          logRequest(state, "sound", id, answer);
        }
        std::this_thread::sleep_for(BetweenSound);
      }
    });
  auto end = Clock::now() + Length;
  for (int i = 0; Clock::now() < end; ++i) {
    std::this_thread::sleep_for(BetweenPoisoned);
    if (!hasTrouble())
      continue;
    ++state.PoisonedSent;
    // No two with the part are alike; the one request is always the same.
    const std::string &entry = plans[static_cast<std::size_t>(i) % 2].Listen;
    std::string id = "p" + std::to_string(i);
    logRequest(state, "crashing", id, "sent to " + entry);
    std::string answer = IsOneRequest
                             ? draft(entry, id, promptOf(Sound, 900000), Poison)
                             : draft(entry, id, promptOf(Poison, 900000 + i),
                                     "a sound question");
    logRequest(state, "crashing", id, answer);
  }
  state.IsOver = true;
  for (std::thread &it : callers)
    it.join();
  std::lock_guard lock(state.Mutex);
  state.Log.line(
      "crashing requests sent: " + std::to_string(state.PoisonedSent) +
      ", arrived at servers: " + std::to_string(state.Arrivals) +
      ", after the bound: " + std::to_string(state.LateArrivals) + " of " +
      std::to_string(state.LateRequests.size()) + " requests" +
      "; servers crashed " + std::to_string(state.Crashes) + " times");
  state.Log.line("sound requests sent: " + std::to_string(state.SoundSent) +
                 ", served: " + std::to_string(state.SoundServed) +
                 ", failed or cut: " + std::to_string(state.SoundCut) +
                 "; the others got 503");
  if (state.SoundServed == 0)
    return 2;
  constexpr int allowed = 3;
  // Retries of the one request are counted, and else each arrival.
  auto counted = IsOneRequest ? static_cast<int>(state.LateRequests.size())
                              : state.LateArrivals;
  return counted > allowed ? 1 : 0;
}

} // namespace

int main(int argc, char **argv) {
  std::signal(SIGPIPE, SIG_IGN);
  std::string_view what = argc > 2 ? argv[2] : "";
  IsOneRequest = what == "request";
  VariesQuery = what == "query";
  IsWhole = what == "whole" || VariesQuery;
  IsOneRequest = IsOneRequest || VariesQuery;
  // The threads of the stand-ins use it until the process ends.
  static State state(argv[1]);
  std::_Exit(run(state));
}
