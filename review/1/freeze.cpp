/// \file
/// Freezes an entry while it opens connections to servers, and counts how often
/// each booking runs. Arguments: the entry program, a folder for settings and
/// logs, and the path of the record.
#include "../standins/standins.h"

#include <algorithm>
#include <condition_variable>
#include <csignal>
#include <random>

using namespace review;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Servers = 3;
constexpr int Slots = 6;
constexpr int Queue = 24;
constexpr std::size_t BookingsAtOnce = 12;
constexpr int Rounds = 24;
constexpr auto Work = 30ms;
constexpr auto ClientDeadline = 2500ms;

struct Booking {
  int Runs = 0;
  int Status = 0; ///< That the client got; 0: none.
};

struct Ledger {
  std::mutex Mutex;
  std::map<std::string, Booking> Bookings;
};

/// A server of the ledger: runs some requests at once and queues a few more.
class LedgerServer {
public:
  LedgerServer(const Endpoint &at, std::string id, Ledger &ledger,
               Record &record)
      : Id(std::move(id)), Book(ledger), Lines(record),
        Calls(at, [this](Connection &it) { serve(it); }) {}

private:
  void serve(Connection &connection) {
    while (auto request = connection.receive(Clock::now() + 10s)) {
      std::string id = fieldOf(*request, "X-Request-Id");
      std::string fields =
          "X-Request-Id: " + id + "\r\nX-Instance-Id: " + Id + "\r\n";
      bool isHere = fieldOf(*request, "X-Expect-Instance") == Id;
      bool hasWaited = false;
      bool runs = isHere && enter(hasWaited);
      if (runs && hasWaited && connection.isClosedByPeer()) {
        // A queued request is dropped when its connection closes.
        leave();
        return;
      }
      if (!runs) {
        connection.send(
            answerText(isHere ? 503 : 421,
                       fields + (isHere ? "X-Not-Executed: 1\r\n" : ""), ""));
        continue;
      }
      {
        std::lock_guard lock(Book.Mutex);
        ++Book.Bookings[id].Runs;
      }
      Lines.add("run " + id + " at " + Id);
      std::this_thread::sleep_for(Work);
      leave();
      fields.append("X-Server-Signature: ").append(Id).append(".").append(id);
      fields.append("\r\nKeep-Alive: timeout=1\r\n");
      connection.send(answerText(200, fields, std::string(800, 'b')));
    }
  }

  bool enter(bool &hasWaited) {
    std::unique_lock lock(Mutex);
    if (Waiting >= Queue)
      return false;
    hasWaited = Running >= Slots;
    ++Waiting;
    HasRoom.wait(lock, [this] { return Running < Slots; });
    --Waiting;
    ++Running;
    return true;
  }

  void leave() {
    std::lock_guard lock(Mutex);
    --Running;
    HasRoom.notify_one();
  }

  std::string Id;
  Ledger &Book;
  Record &Lines;
  std::mutex Mutex;
  std::condition_variable HasRoom;
  int Running = 0;
  int Waiting = 0;
  Listener Calls;
};

const char *const Configuration =
    R"({"version":1,"routes":[{"name":"book","host":"shop.example",)"
    R"("pathPrefix":"/book/","kind":"non_idempotent","timeoutMs":1200,)"
    R"("targetLatencyMs":150,"priority":2,"service":"order-ledger",)"
    R"("attempts":1,"public":false}],"services":[{"name":"order-ledger",)"
    R"("healthPath":"/health","maxConnections":100,"protocol":"h1",)"
    R"("tls":false}],"limits":{"maxHeaderBytes":16384,)"
    R"("maxBodyBytes":4194304,"headerTimeoutMs":3000,)"
    R"("idleTimeoutMs":15000},"tenants":[{"name":"butchers",)"
    R"("apiKeys":["k1"],"priority":1}]})";

/// Sends one booking and notes the status of its answer.
void book(Connection &connection, const std::string &id, Ledger &ledger,
          Record &record) {
  std::string body(600, 'o');
  std::string request =
      "POST /book/2f HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id +
      "\r\nX-Deadline-Ms: " + std::to_string(ClientDeadline.count()) +
      "\r\nX-Api-Key: k1\r\nContent-Length: " + std::to_string(body.size()) +
      "\r\n\r\n" + body;
  record.add("sent " + id);
  connection.send(request);
  auto answer = connection.receive(Clock::now() + ClientDeadline);
  int status = answer ? statusOf(*answer) : 0;
  record.add("answer " + id + " " + (answer ? std::to_string(status) : "none"));
  std::lock_guard lock(ledger.Mutex);
  ledger.Bookings[id].Status = status;
}

/// Sends bookings on connections that are open already. With \p freeze, stops
/// the entry a moment after the first one.
void playRound(
    int round, const Endpoint &entry, Process &process, Ledger &ledger,
    Record &record,
    std::optional<std::pair<milliseconds, std::chrono::microseconds>> freeze) {
  std::vector<std::unique_ptr<Connection>> connections;
  for (std::size_t i = 0; i < BookingsAtOnce; ++i)
    connections.push_back(connectTo(entry));
  std::atomic<bool> go = false;
  std::vector<std::thread> clients;
  for (std::size_t i = 0; i < BookingsAtOnce; ++i)
    clients.emplace_back([&, i] {
      while (!go)
        std::this_thread::yield();
      book(*connections[i],
           "b" + std::to_string(round) + "-" + std::to_string(i), ledger,
           record);
    });
  std::this_thread::sleep_for(20ms);
  go = true;
  if (freeze) {
    std::this_thread::sleep_for(freeze->second);
    process.signal(SIGSTOP);
    record.add("freeze of " + std::to_string(freeze->first.count()) + " ms");
    std::this_thread::sleep_for(freeze->first);
    process.signal(SIGCONT);
    record.add("end of the freeze");
  }
  for (std::thread &it : clients)
    it.join();
}

int judge(Ledger &ledger, Record &record) {
  std::lock_guard lock(ledger.Mutex);
  int twice = 0;
  int refused = 0;
  int served = 0;
  for (const auto &[id, it] : ledger.Bookings) {
    served += it.Status == 200 ? 1 : 0;
    if (it.Runs > 1) {
      ++twice;
      record.add("TWICE " + id + " ran " + std::to_string(it.Runs) + " times");
    }
    bool isPromise = it.Status == 503 || it.Status == 429 || it.Status == 408 ||
                     it.Status == 421;
    if (isPromise && it.Runs > 0) {
      ++refused;
      record.add("REFUSED " + id + " was answered " +
                 std::to_string(it.Status) + " and ran");
    }
  }
  record.add("bookings " + std::to_string(ledger.Bookings.size()) +
             ", served " + std::to_string(served) + ", run twice " +
             std::to_string(twice) + ", refused and run " +
             std::to_string(refused));
  if (served == 0)
    return 2;
  return twice > 0 ? 1 : 0;
}

bool hasRunTwice(Ledger &ledger) {
  std::lock_guard lock(ledger.Mutex);
  return std::ranges::any_of(ledger.Bookings,
                             [](const auto &it) { return it.second.Runs > 1; });
}

} // namespace

int main(int argc, char **argv) {
  if (argc != 4)
    return 2;
  std::string folder = argv[2];
  Record record(argv[3]);
  std::vector<int> ports = freePorts(6 + Servers);
  Endpoint storeAt{"127.0.0.1", ports[5]};
  static Ledger ledger;
  static Store store(storeAt);
  store.put("config", "main", Configuration);
  static std::vector<std::unique_ptr<LedgerServer>> servers;
  for (std::size_t i = 0; i < Servers; ++i) {
    Endpoint at{"127.0.0.1", ports[6 + i]};
    std::string id = "i-" + std::to_string(i);
    store.put("servers", id,
              R"({"service":"order-ledger","address":")" + textOf(at) +
                  R"(","zone":"kigali-a","version":"v1","slots":)" +
                  std::to_string(Slots) +
                  R"(,"state":"ready","coldRemainingMs":0,"sequence":1,)" +
                  R"("born":1700000000000})");
    servers.push_back(std::make_unique<LedgerServer>(at, id, ledger, record));
  }
  std::string settings = folder + "/node.toml";
  writeFile(settings, entrySettings(ports, storeAt, 0));
  Process entry({argv[1], "direct", "--settings", settings},
                folder + "/entry.log");
  if (!waitUntilReady({"127.0.0.1", ports[1]}))
    return 2;
  std::this_thread::sleep_for(500ms);
  std::mt19937 random{std::random_device{}()};
  std::uniform_int_distribution<int> moment(0, 2500);
  for (int round = 0; round < Rounds && !hasRunTwice(ledger); ++round) {
    std::optional<std::pair<milliseconds, std::chrono::microseconds>> freeze;
    if (isTroubleWanted())
      freeze = {round % 2 == 0 ? 900ms : 1800ms,
                std::chrono::microseconds(moment(random))};
    playRound(round, {"127.0.0.1", ports[0]}, entry, ledger, record, freeze);
    // The entry's idle connections to the servers end meanwhile.
    std::this_thread::sleep_for(1500ms);
  }
  entry.kill();
  int result = judge(ledger, record);
  record.add("exit " + std::to_string(result));
  std::_Exit(result);
}
