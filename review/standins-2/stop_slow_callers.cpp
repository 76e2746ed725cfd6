/// \file
/// An entry is stopped as planned while callers still read their answers.
/// Judges whether each request that a server has got has a whole answer.
#include "site.h"

#include <array>
#include <csignal>

using namespace greengagespar::review;

namespace {

constexpr int Callers = 12;
constexpr std::size_t AnswerBytes = 240'000;
// A caller reads 40 KB a second, so that it has its answer after 6 s.
constexpr std::size_t ReadBytes = 4'000;
constexpr milliseconds ReadInterval{100};
constexpr milliseconds TimeToDeadline{8000};
constexpr milliseconds StopAfter{1000};

std::string configuration() {
  return R"({"version":1,
    "limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,
              "headerTimeoutMs":5000,"idleTimeoutMs":15000},
    "services":[{"name":"ledger"}],
    "routes":[{"name":"look","host":"shop.example","pathPrefix":"/look/",
               "kind":"idempotent","service":"ledger","timeoutMs":8000,
               "targetLatencyMs":2000,"attempts":2,"priority":1},
              {"name":"book","host":"shop.example","pathPrefix":"/book/",
               "kind":"non_idempotent","service":"ledger","timeoutMs":8000,
               "targetLatencyMs":2000,"attempts":2,"priority":1}]})";
}

/// One caller and how far it has read its answer.
struct Caller {
  std::string Id;
  Socket Connection;
  std::size_t Bytes = 0;
  std::size_t Expected = 0; ///< Head and body; 0: not known yet.
  std::string Head;
  bool IsClosed = false;

  bool isWhole() const { return Expected > 0 && Bytes >= Expected; }
};

void readSome(Caller &it) {
  std::array<char, ReadBytes> buf{};
  if (it.IsClosed || it.isWhole())
    return;
  auto n = it.Connection.readSome(buf.data(), buf.size(), milliseconds(0));
  if (n < 0) {
    it.IsClosed = true;
    return;
  }
  it.Bytes += static_cast<std::size_t>(n);
  if (it.Expected > 0)
    return;
  it.Head.append(buf.data(), static_cast<std::size_t>(n));
  if (std::size_t end = it.Head.find("\r\n\r\n"); end != std::string::npos)
    it.Expected = end + 4 + AnswerBytes;
}

int play(Record &record) {
  Folder folder;
  Store store;
  std::mutex lock;
  std::map<std::string, int> ran;
  Listener server(freePort(), [&](Socket &socket, const Message &request) {
    std::string id = request.field("X-Request-Id");
    record.line("ran " + id);
    {
      std::lock_guard guard(lock);
      ++ran[id];
    }
    std::string body(AnswerBytes, 'x');
    socket.send(signedAnswer(request, 200, body));
  });
  store.put("config", "main", configuration());
  store.put("servers", "i-ledger-1",
            serverEntry("ledger", loopback(server.port()), 1000));
  EntryPorts ports;
  Process entry(
      "greengagespar-entry", folder.path(), "entry-1",
      entrySettings("entry-1", ports, store.port(), R"(,"memory_mb":260)"));
  if (!waitReady(ports, milliseconds(10000)))
    return CouldNotRun;
  std::this_thread::sleep_for(milliseconds(3500));
  std::vector<std::unique_ptr<Caller>> callers;
  for (int i = 0; i < Callers; ++i) {
    auto &it = *callers.emplace_back(std::make_unique<Caller>());
    bool isBooking = i % 2 == 0;
    it.Id = (isBooking ? "book-" : "look-") + std::to_string(i);
    std::string text = isBooking ? "POST /book/1" : "GET /look/1";
    text += " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + it.Id +
            "\r\nX-Deadline-Ms: 8000\r\n";
    text += isBooking ? "Content-Length: 4\r\n\r\nbook" : "\r\n";
    if (!it.Connection.connect(ports.Listen, true) || !it.Connection.send(text))
      return CouldNotRun;
    record.line("sent " + it.Id);
  }
  auto start = Clock::now();
  bool isStopped = false;
  while (Clock::now() < start + TimeToDeadline) {
    if (!isStopped && hasTrouble() && Clock::now() >= start + StopAfter) {
      record.line("SIGTERM to the entry");
      entry.signal(SIGTERM);
      isStopped = true;
    }
    for (auto &it : callers) {
      bool wasOpen = !it->IsClosed && !it->isWhole();
      readSome(*it);
      if (wasOpen && it->isWhole())
        record.line("answered " + it->Id);
      else if (wasOpen && it->IsClosed)
        record.line("closed after " + std::to_string(it->Bytes) +
                    " bytes of the answer: " + it->Id);
    }
    std::this_thread::sleep_for(ReadInterval);
  }
  int lost = 0;
  for (auto &it : callers)
    lost += it->IsClosed && ran[it->Id] > 0 ? 1 : 0;
  record.line("passed on to the server and ended without a complete answer: " +
              std::to_string(lost) + " of " + std::to_string(Callers));
  return lost > 0 ? RuleBroken : RuleHeld;
}

} // namespace

int main(int argc, char **argv) { return runCase(argc, argv, play); }
