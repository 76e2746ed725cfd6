/// \file
/// Many callers read large answers slowly. Judges whether the requests of
/// other callers, which a sound server has got, are answered.
#include "site.h"

#include <array>

using namespace greengagespar::review;

namespace {

constexpr int SlowCallers = 450;
constexpr int OtherCallers = 20;
constexpr std::size_t LargeAnswer = 250'000;
constexpr std::size_t SmallAnswer = 800;
// Bytes that a slow caller reads in one turn; a turn takes some 100 ms.
constexpr std::size_t SlowRead = 1024;
constexpr milliseconds SmallWork{300};
constexpr milliseconds RunTime{30000};
constexpr int MostLost = 3;

std::string configuration() {
  return R"({"version":1,
    "limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,
              "headerTimeoutMs":5000,"idleTimeoutMs":15000},
    "services":[{"name":"ledger"}],
    "routes":[{"name":"look","host":"shop.example","pathPrefix":"/look/",
               "kind":"idempotent","service":"ledger","timeoutMs":8000,
               "targetLatencyMs":2000,"attempts":2,"priority":1}]})";
}

std::string requestOf(const std::string &path, const std::string &id) {
  return "GET /look/" + path +
         " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id +
         "\r\nX-Deadline-Ms: 8000\r\n\r\n";
}

/// What became of the other callers' requests.
struct Outcomes {
  std::mutex Lock;
  std::map<std::string, int> Ran; ///< By request id.
  int Answered = 0;
  int Wrong = 0;
  int Lost = 0; ///< Passed on from a kept connection and not answered.
};

// Sends small requests on one connection until the time is over.
void playOther(int port, int number, Clock::time_point until, Record &record,
               Outcomes &all) {
  int sent = 0;
  while (Clock::now() < until) {
    Socket socket;
    if (!socket.connect(port)) {
      std::this_thread::sleep_for(milliseconds(200));
      continue;
    }
    int answered = 0;
    while (Clock::now() < until) {
      std::string id =
          "other-" + std::to_string(number) + "-" + std::to_string(++sent);
      record.line("sent " + id);
      if (!socket.send(requestOf("small", id)))
        break;
      auto answer = socket.read(milliseconds(9000), true);
      std::lock_guard lock(all.Lock);
      if (!answer || !answer->IsWhole) {
        bool isLost = answered > 0 && all.Ran[id] > 0;
        all.Lost += isLost ? 1 : 0;
        record.line(id + " closed without an answer, passed on: " +
                    std::to_string(all.Ran[id]) +
                    ", connection was kept: " + (answered > 0 ? "yes" : "no"));
        break;
      }
      record.line("answered " + id + " with " +
                  std::to_string(answer->status()));
      ++answered;
      ++all.Answered;
      all.Wrong += answer->status() == 200 ? 0 : 1;
    }
  }
}

// Reads the large answers until the time is over.
void playSlow(int port, Clock::time_point until, Record &record) {
  bool isSlow = hasTrouble();
  std::vector<std::unique_ptr<Socket>> open;
  std::array<char, 65536> buf{};
  std::size_t refused = 0;
  for (int i = 0; i < SlowCallers && Clock::now() < until; ++i) {
    auto socket = std::make_unique<Socket>();
    std::string id = "large-" + std::to_string(i);
    record.line("sent " + id);
    bool isSent =
        socket->connect(port, isSlow) && socket->send(requestOf("large", id));
    if (isSent && isSlow)
      open.push_back(std::move(socket));
    else if (!isSent || !socket->read(milliseconds(9000), true))
      ++refused;
    std::this_thread::sleep_for(milliseconds(20));
  }
  record.line("large answers asked for: " + std::to_string(SlowCallers) +
              ", not sent or not answered: " + std::to_string(refused));
  while (Clock::now() < until) {
    for (auto &it : open)
      it->readSome(buf.data(), SlowRead, milliseconds(0));
    std::this_thread::sleep_for(milliseconds(100));
  }
}

int play(Record &record) {
  Folder folder;
  Store store;
  Outcomes all;
  Listener server(freePort(), [&](Socket &socket, const Message &request) {
    bool isLarge = request.target() == "/look/large";
    record.line("ran " + request.field("X-Request-Id"));
    if (!isLarge) {
      {
        std::lock_guard lock(all.Lock);
        ++all.Ran[request.field("X-Request-Id")];
      }
      std::this_thread::sleep_for(SmallWork);
    }
    std::string body(isLarge ? LargeAnswer : SmallAnswer, 'x');
    socket.send(signedAnswer(request, 200, body));
  });
  store.put("config", "main", configuration());
  store.put("servers", "i-ledger-1",
            serverEntry("ledger", loopback(server.port()), 1000));
  EntryPorts ports;
  Process entry(
      "greengagespar-entry", folder.path(), "entry-1",
      entrySettings("entry-1", ports, store.port(), R"(,"memory_mb":160)"));
  if (!waitReady(ports, milliseconds(10000)))
    return CouldNotRun;
  std::this_thread::sleep_for(milliseconds(3500));
  auto until = Clock::now() + RunTime;
  std::vector<std::thread> threads;
  threads.reserve(OtherCallers + 1);
  for (int i = 0; i < OtherCallers; ++i)
    threads.emplace_back(
        [&, i] { playOther(ports.Listen, i, until, record, all); });
  threads.emplace_back([&] { playSlow(ports.Listen, until, record); });
  bool wasRunning = true;
  while (Clock::now() < until) {
    std::string how;
    bool isRunning = entry.isRunning(&how);
    if (wasRunning && !isRunning) {
      record.line("the entry's process has ended by " + how);
      until = Clock::now() + milliseconds(1000);
    }
    wasRunning = isRunning;
    std::this_thread::sleep_for(milliseconds(50));
  }
  for (std::thread &it : threads)
    it.join();
  record.line("other callers: answered " + std::to_string(all.Answered) +
              ", of them not 200: " + std::to_string(all.Wrong) +
              ", passed on from a kept connection and closed without an "
              "answer: " +
              std::to_string(all.Lost));
  return all.Lost > MostLost ? RuleBroken : RuleHeld;
}

} // namespace

int main(int argc, char **argv) { return runCase(argc, argv, play); }
