/// \file
/// Kills all processes of the system while an order to release the hold of a
/// map switch is under way, and watches whether a pass begins with two maps.
/// Arguments: the entry program, the endpoint program, a folder for settings
/// and logs, and the path of the record.
#include "../standins/standins.h"

#include <algorithm>
#include <array>
#include <condition_variable>

using namespace review;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Size = 3;
constexpr std::size_t Experts = 6;
constexpr std::size_t Spare = 2;
constexpr auto PassTime = 10ms;
// Bounds of the platform for an order that is carried out late.
constexpr auto LeastDelay = 2s;
constexpr auto LongestDelay = 12s;
constexpr auto DownTime = 600ms;
constexpr auto CalmTime = 25s;
constexpr auto TroubleTime = 60s;

/// Returns the whole number after "NAME": in \p json.
std::optional<std::uint64_t> numberIn(const std::string &json,
                                      const std::string &name) {
  std::size_t at = json.find("\"" + name + "\":");
  if (at == std::string::npos)
    return std::nullopt;
  return std::strtoull(json.c_str() + at + name.size() + 3, nullptr, 10);
}

std::string textIn(const std::string &json, const std::string &name) {
  std::size_t at = json.find("\"" + name + "\":\"");
  if (at == std::string::npos)
    return {};
  at += name.size() + 4;
  return json.substr(at, json.find('"', at) - at);
}

/// Returns the experts of \p rank in the only layer of the "map" of \p json.
std::vector<std::uint64_t> expertsIn(const std::string &json,
                                     std::size_t rank) {
  std::size_t at = json.find("\"map\":[[");
  at += std::string("\"map\":[").size();
  for (std::size_t i = 0; i <= rank; ++i)
    at = json.find('[', at + 1);
  std::vector<std::uint64_t> experts;
  const char *it = json.c_str() + at + 1;
  while (*it != ']' && *it != '\0') {
    char *end = nullptr;
    experts.push_back(std::strtoull(it, &end, 10));
    it = *end == ',' ? end + 1 : end;
  }
  return experts;
}

std::string listText(const std::vector<std::uint64_t> &numbers) {
  std::string text;
  for (std::uint64_t it : numbers)
    text += (text.empty() ? "" : ",") + std::to_string(it);
  return "[" + text + "]";
}

std::string orNull(const std::optional<std::uint64_t> &n) {
  return n ? std::to_string(*n) : "null";
}

/// What one rank of the group holds.
struct Rank {
  std::uint64_t InUse = 0;
  std::uint64_t Highest = 0;
  std::optional<std::uint64_t> Prepared;
  std::optional<std::uint64_t> Armed;
  std::uint64_t ArmedStep = 0;
  std::optional<std::uint64_t> Held;
  std::map<std::uint64_t, std::vector<std::uint64_t>> Places;
  std::vector<std::uint64_t> Counts = std::vector<std::uint64_t>(Experts);
};

/// A model group whose servers follow the platform's page on maps.
class Group {
public:
  Group(int port, Record &record, bool isTrouble)
      : Lines(record), IsTrouble(isTrouble), Passes([this] { run(); }) {
    for (std::size_t r = 0; r < Size; ++r) {
      for (std::size_t e = r; e < Experts; e += Size)
        Ranks.at(r).Places[0].push_back(e);
      Servers.push_back(std::make_unique<Listener>(
          Endpoint{"127.0.0." + std::to_string(r + 2), port},
          [this, r](Connection &it) { serve(it, r); }));
    }
  }

  /// Waits until a server has accepted an order to release its hold and owes
  /// the answer.
  bool waitForLateOrder(Clock::duration most) {
    std::unique_lock lock(Mutex);
    return Changed.wait_for(lock, most,
                            [this] { return LateGoSince.has_value(); });
  }

  bool waitForMixedPass(Clock::duration most) {
    std::unique_lock lock(Mutex);
    return Changed.wait_for(lock, most, [this] { return Mixed > 0; });
  }

  int mixed() {
    std::lock_guard lock(Mutex);
    return Mixed;
  }

  int switches() {
    std::lock_guard lock(Mutex);
    return Switches;
  }

private:
  void run() {
    for (;;) {
      std::this_thread::sleep_for(PassTime);
      std::lock_guard lock(Mutex);
      // At the latest moment that the platform allows.
      if (LateGoSince && Clock::now() - *LateGoSince > LongestDelay - 100ms)
        applyLateGo();
      beginPass();
    }
  }

  void beginPass() {
    for (const Rank &it : Ranks)
      if (it.Held == Step + 1)
        return;
    ++Step;
    bool isSwitch = false;
    for (Rank &it : Ranks) {
      // The demand is for other experts every few seconds.
      std::size_t wanted = Step / 300 % Experts;
      for (std::size_t e = 0; e < Experts; ++e)
        it.Counts[e] += e == wanted ? 40 : 4;
      if (!it.Armed || it.ArmedStep != Step)
        continue;
      it.InUse = *it.Armed;
      it.Armed.reset();
      it.Prepared.reset();
      isSwitch = true;
    }
    Switches += isSwitch ? 1 : 0;
    bool isMixed = false;
    for (const Rank &it : Ranks)
      isMixed = isMixed || it.InUse != Ranks[0].InUse;
    if (isSwitch || isMixed)
      logMaps(isMixed ? "MAP pass with two maps" : "pass with a new map");
    if (!isMixed)
      return;
    ++Mixed;
    Changed.notify_all();
  }

  void logMaps(const std::string &what) {
    std::string text = what + ", step " + std::to_string(Step) + ":";
    for (const Rank &it : Ranks)
      text += " " + std::to_string(it.InUse);
    if (Mixed < 5)
      Lines.add(text);
  }

  int apply(Rank &rank, std::size_t self, const std::string &order) {
    std::string kind = textIn(order, "operation");
    std::uint64_t version = numberIn(order, "version").value_or(0);
    std::uint64_t step = numberIn(order, "step").value_or(0);
    if (numberIn(order, "epoch").value_or(1) != 1)
      return 409;
    if (kind == "prepare")
      return prepare(rank, version, expertsIn(order, self));
    if (kind == "disarm") {
      if (rank.InUse == version)
        return 409;
      if (rank.Armed == version)
        rank.Armed.reset();
      return 200;
    }
    if (kind == "go") {
      if (rank.Held == step)
        rank.Held.reset();
      return 200;
    }
    if (step <= Step)
      return 409;
    if (kind == "hold") {
      if (rank.Held)
        return rank.Held == step ? 200 : 409;
      rank.Held = step;
      return 202;
    }
    if (kind != "arm")
      return 400;
    if (rank.Armed)
      return rank.Armed == version && rank.ArmedStep == step ? 200 : 409;
    if (rank.Prepared != version)
      return 409;
    rank.Armed = version;
    rank.ArmedStep = step;
    return 202;
  }

  static int prepare(Rank &rank, std::uint64_t version,
                     const std::vector<std::uint64_t> &experts) {
    const auto &own = rank.Places[rank.InUse];
    std::size_t fresh = 0;
    for (std::uint64_t it : experts)
      fresh += std::find(own.begin(), own.end(), it) == own.end() ? 1 : 0;
    if (rank.Armed || version <= rank.Highest || fresh > Spare)
      return 409;
    rank.Highest = version;
    rank.Prepared = version;
    rank.Places[version] = experts;
    return 202;
  }

  bool isArmedElsewhere(std::size_t except) const {
    for (std::size_t r = 0; r < Size; ++r)
      if (r != except && Ranks.at(r).Armed)
        return true;
    return false;
  }

  /// Whether the server leaves the order unanswered and carries it out later.
  bool isLate(std::size_t self, const std::string &kind) {
    if (!IsTrouble)
      return false;
    bool areAllArmed = true;
    for (const Rank &it : Ranks)
      areAllArmed = areAllArmed && it.Armed;
    if (kind == "go" && self == 0 && areAllArmed && !HadLateGo)
      return true;
    return kind == "disarm" && self == Size - 1 && HadLateGo && !HadLateDisarm;
  }

  void applyLateGo() {
    apply(Ranks[0], 0, LateGo);
    Lines.add("late order is carried out at rank 0: " + LateGo);
    LateGoSince.reset();
  }

  // Returns the answer; empty if there is none.
  std::string handleOrder(std::size_t self, const std::string &order) {
    std::lock_guard lock(Mutex);
    std::string kind = textIn(order, "operation");
    std::string line = "order to rank " + std::to_string(self) + ": " + order;
    if (isLate(self, kind)) {
      Lines.add(line + " -> no answer, carried out later");
      if (kind == "go") {
        HadLateGo = true;
        LateGo = order;
        LateGoSince = Clock::now();
        Changed.notify_all();
      } else {
        HadLateDisarm = true;
        std::thread([this, self, order] {
          std::this_thread::sleep_for(LeastDelay);
          std::lock_guard late(Mutex);
          apply(Ranks.at(self), self, order);
        }).detach();
      }
      return {};
    }
    int status = apply(Ranks.at(self), self, order);
    Lines.add(line + " -> " + std::to_string(status));
    // The late order is carried out after newer ones.
    bool isDue = LateGoSince && Clock::now() - *LateGoSince >= LeastDelay;
    if (isDue && kind == "disarm" && status == 200 && isArmedElsewhere(self))
      applyLateGo();
    return answerText(status, "Content-Type: application/json\r\n", "{}");
  }

  std::string report(std::size_t self) {
    std::lock_guard lock(Mutex);
    const Rank &it = Ranks.at(self);
    std::string armed =
        it.Armed ? "{\"version\":" + std::to_string(*it.Armed) +
                       ",\"step\":" + std::to_string(it.ArmedStep) + "}"
                 : "null";
    return R"({"stage":"prefill_decode","models":[],"busy":false,)"
           R"("sequence":1,"born":1700000000000,"running":1,"waiting":0,)"
           R"("pace":1,"size":)" +
           std::to_string(Size) + ",\"step\":" + std::to_string(Step) +
           ",\"map\":" + std::to_string(it.InUse) +
           ",\"prepared\":" + orNull(it.Prepared) + ",\"armed\":" + armed +
           ",\"held\":" + orNull(it.Held) +
           R"(,"group":{"name":"g","epoch":1,"rank":)" + std::to_string(self) +
           R"(,"state":"open"}})";
  }

  std::string picked(std::size_t self, bool withLists) {
    std::lock_guard lock(Mutex);
    const Rank &it = Ranks.at(self);
    if (!withLists)
      return "{\"step\":" + std::to_string(Step) +
             ",\"epoch\":1,\"counts\":" + listText(it.Counts) + "}";
    return "{\"map\":{\"version\":" + std::to_string(it.InUse) +
           ",\"experts\":[" + listText(it.Places.at(it.InUse)) +
           "]},\"prepared\":null}";
  }

  void serve(Connection &connection, std::size_t self) {
    while (auto call = connection.receive(Clock::now() + 5min)) {
      std::string target = targetOf(*call);
      const std::string fields = "Content-Type: application/json\r\n";
      std::string answer;
      if (target == "/-/report")
        answer = answerText(200, fields, report(self));
      else if (target.starts_with("/-/picked"))
        answer = answerText(
            200, fields, picked(self, target.find('?') != std::string::npos));
      else
        answer = handleOrder(self, call->Body);
      if (answer.empty()) {
        // A connection on which an answer is lost returns nothing more.
        while (connection.receive(Clock::now() + 5min))
          ;
        return;
      }
      if (!connection.send(answer))
        return;
    }
  }

  std::mutex Mutex;
  std::condition_variable Changed;
  Record &Lines;
  bool IsTrouble;
  std::array<Rank, Size> Ranks;
  std::uint64_t Step = 0;
  int Mixed = 0;
  int Switches = 0;
  bool HadLateGo = false;
  bool HadLateDisarm = false;
  std::string LateGo;
  std::optional<Clock::time_point> LateGoSince;
  std::vector<std::unique_ptr<Listener>> Servers;
  std::thread Passes;
};

const char *const Configuration =
    R"({"version":1,"routes":[{"name":"draft","host":"shop.example",)"
    R"("pathPrefix":"/draft/","kind":"streaming","timeoutMs":8000,)"
    R"("targetLatencyMs":400,"priority":1,"service":"order-helper",)"
    R"("attempts":2,"public":false,"resumable":true,"gapTargetMs":120}],)"
    R"("services":[{"name":"order-helper","healthPath":"/health",)"
    R"("maxConnections":348,"protocol":"h1","tls":false,"engine":)"
    R"({"slots":12,"stride":6,"step_ms":4.84,"per_seq_ms":0.362,)"
    R"("read_per_s":74800.0,"usual":{"prompt":835,"answer":158},)"
    R"("sets":1,"experts":6,"placements":4,"spare":2,"expertMb":0.1,)"
    R"("linkMbps":1000.0,"expertShare":0.85,"form_ms":600.0}}],)"
    R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)"
    R"("headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
    R"("tenants":[{"name":"butchers","apiKeys":["k1"],"priority":1}]})";

} // namespace

int main(int argc, char **argv) {
  if (argc != 5)
    return 2;
  std::string folder = argv[3];
  static Record record(argv[4]);
  std::vector<int> ports = freePorts(8);
  Endpoint storeAt{"127.0.0.1", ports[5]};
  int serverPort = ports[6];
  int agentPort = ports[7];
  static Store store(storeAt);
  store.put("config", "main", Configuration);
  for (std::size_t r = 0; r < Size; ++r)
    store.put("servers", "i-" + std::to_string(r),
              R"({"service":"order-helper","address":"127.0.0.)" +
                  std::to_string(r + 2) + ":" + std::to_string(serverPort) +
                  R"(","zone":"kigali-a","version":"v1","slots":12,)" +
                  R"("state":"ready","coldRemainingMs":0,"sequence":1,)" +
                  R"("born":1700000000000})");
  bool isTrouble = isTroubleWanted();
  static Group group(serverPort, record, isTrouble);
  std::vector<std::unique_ptr<Process>> processes;
  std::string settings = folder + "/entry.json";
  writeFile(settings, entrySettings(ports, storeAt, agentPort));
  processes.push_back(std::make_unique<Process>(
      std::vector<std::string>{argv[1], "direct", "--settings", settings},
      folder + "/entry.log"));
  for (std::size_t r = 0; r < Size; ++r) {
    Endpoint link{"127.0.0." + std::to_string(r + 2), agentPort};
    Endpoint server{link.Host, serverPort};
    std::string name = "side-a-" + std::to_string(r + 1);
    std::string path = folder;
    path.append("/").append(name);
    writeFile(path + ".json", agentSettings(name, link, server));
    processes.push_back(std::make_unique<Process>(
        std::vector<std::string>{argv[2], "direct", "--settings",
                                 path + ".json"},
        path + ".log"));
  }
  int result = 0;
  if (!isTrouble) {
    std::this_thread::sleep_for(CalmTime);
  } else if (group.waitForLateOrder(TroubleTime)) {
    for (auto &it : processes)
      it->kill();
    record.add("all processes were killed");
    std::this_thread::sleep_for(DownTime);
    for (auto &it : processes)
      it->start();
    record.add("all processes were started again");
    group.waitForMixedPass(20s);
  } else {
    result = 2;
  }
  if (group.switches() == 0 && !isTrouble)
    result = 2;
  if (group.mixed() > 0)
    result = 1;
  record.add("switches " + std::to_string(group.switches()) +
             ", passes with two maps " + std::to_string(group.mixed()));
  record.add("exit " + std::to_string(result));
  for (auto &it : processes)
    it->kill();
  std::_Exit(result);
}
