#include "soak_run.h"

#include "../harness/process.h"
#include "ledger.h"
#include <csignal>
#include <linux/close_range.h>
#include <stdexcept>
#include <unistd.h>

namespace greengagespar::soak {

namespace {

using namespace std::chrono_literals;
using site::Reply;

namespace json = boost::json;

constexpr auto StepTime = 2ms;
constexpr auto ClumpInterval = 1300ms;
constexpr auto MidstOfClump = 20ms;
constexpr auto DisruptionInterval = 900ms;
// Idle connections of the entries to servers, and of callers, end after these.
constexpr auto ServerIdle = 5000ms;
// The largest body that the site's limits allow.
constexpr std::size_t LargestBody = 65536;
constexpr std::size_t SmallBody = 300;
// A client leaves this long after its deadline.
constexpr auto Patience = 300ms;
constexpr auto ReadyTimeout = 15s;
// The time between the end of an outage and the next one, and its length.
constexpr auto MinOutagePause = 500ms;
constexpr auto MaxOutagePause = 3000ms;
constexpr auto MinOutage = 2000ms;
constexpr auto MaxOutage = 8000ms;
// Added to the seed for the choices of outages.
constexpr std::uint64_t OutageSeries = 1'000'000;
// Descriptors below it are the standard ones.
constexpr unsigned FirstOwnFile = 3;

constexpr LedgerMood Moods[] = {LedgerMood::Slow, LedgerMood::Fails,
                                LedgerMood::ResetsBefore,
                                LedgerMood::ResetsAfter};

std::string numbered(std::string text, std::uint64_t number) {
  return text.append(std::to_string(number));
}

// The data centre of the server \p number.
std::string dataCentreOf(std::size_t number) { return numbered("z", number); }

/// An entry as a process, which is started again when it has ended.
struct EntryProcess {
  DirectSettings Settings;
  std::filesystem::path File;
  harness::Process Process;
  Clock::time_point ContinueAt; ///< Of a process that stands still.
  bool IsFrozen = false;
  std::size_t Disruption = 0; ///< Index of the one in progress.
  bool IsDown = false;
  Clock::time_point StartAt; ///< Of a process that is down.
  bool IsLeaving = false;
  Clock::time_point KillAt; ///< Of a process that leaves.
  int Starts = 0;
};

/// A client, which keeps its connection as long as it may use it.
struct Client {
  std::unique_ptr<HttpClientConnection> Connection;
  std::size_t Entry = 0;
  std::size_t Answers = 0;       ///< On this connection.
  std::optional<std::size_t> At; ///< Index of the attempt in progress.
  Clock::time_point SendAt;
  bool IsPausing = false; ///< Pauses around the idle time between requests.
};

class Soak : site::SiteFixture {
public:
  explicit Soak(const SoakOptions &options);
  Record run();

private:
  Time since() const {
    return std::chrono::duration_cast<Time>(Clock::now() - StartedAt);
  }
  std::size_t pick(std::size_t count) { return Choices.pick(count); }
  std::chrono::milliseconds within(std::chrono::milliseconds low,
                                   std::chrono::milliseconds high) {
    return Choices.within(low, high);
  }

  void addEntry();
  void start(EntryProcess &entry);
  bool isReady(EntryProcess &entry);
  void stepEntries();
  void disrupt();
  void reload(EntryProcess &entry);
  void disturbStore();
  void freeze(EntryProcess &entry, std::chrono::milliseconds time);
  void end(EntryProcess &entry, int signal);
  void beginDisruption(EntryProcess &entry, DisruptionKind kind);

  void addLedger();
  void leaveOneServer();
  bool hasOutages() const { return Options.Outages && Options.Ledgers > 1; }
  void stepOutages();

  void step(Client &client);
  void send(Client &client);
  void ended(Client &client, std::size_t attempt, const Reply &reply);

  SoakOptions Options;
  Draw Choices;
  /// Of the orders about data centres, which leave the other series as it is.
  Draw OutageChoices;
  harness::TempDir Folder;
  Record Seen;
  Clock::time_point StartedAt;
  Clock::time_point NextClump;
  std::optional<Clock::time_point> FreezeAt;
  Clock::time_point NextDisruption;
  Clock::time_point StoreSoundAt;
  Clock::time_point NextOutageStep;
  std::vector<EntryProcess> EntryProcesses;
  std::deque<Ledger> Ledgers;
  std::deque<Client> Callers;
  std::uint64_t LastId = 0;
};

Soak::Soak(const SoakOptions &options)
    : Options(options), Choices(options.Seed),
      OutageChoices(options.Seed + OutageSeries) {
  json::object site = configuration(1);
  for (json::value &it : site["services"].as_array())
    it.as_object()["maxConnections"] = 200;
  Objects.put("config", "main", site);
  Seen.Limits.ExtraRetries = 10;
  for (int i = 0; i < options.Ledgers; ++i)
    addLedger();
  EntryProcesses.reserve(static_cast<std::size_t>(options.Entries));
  for (int i = 0; i < options.Entries; ++i)
    addEntry();
  for (int i = 0; i < options.Clients; ++i)
    Callers.emplace_back().IsPausing = i % 2 == 1;
}

// Entries.

void Soak::addEntry() {
  EntryProcess entry;
  DirectSettings &it = entry.Settings;
  it.Name = {numbered("entry-", EntryProcesses.size() + 1)};
  it.Listen = site::freeAddress();
  it.Ready = site::freeAddress();
  it.Directory = site::freeAddress();
  it.Link = site::freeAddress();
  entry.File = Folder.path() / (it.Name.Value + ".json");
  EntryProcesses.push_back(std::move(entry));
}

void Soak::start(EntryProcess &entry) {
  const DirectSettings &it = entry.Settings;
  json::array peers;
  for (const EntryProcess &other : EntryProcesses)
    if (&other != &entry)
      peers.push_back(json::string(other.Settings.Link.Value));
  const Bounds &limits = Seen.Limits;
  json::object settings{{"name", it.Name.Value},
                        {"data_centre", "z"},
                        {"listen", it.Listen.Value},
                        {"ready", it.Ready.Value},
                        {"directory", it.Directory.Value},
                        {"link", it.Link.Value},
                        {"store", Objects.at().Value},
                        {"peers", peers},
                        {"grace_s", limits.Grace.count() / 1000},
                        {"retry_share", limits.RetryShare},
                        {"extra_retries", limits.ExtraRetries},
                        {"retry_window_s", limits.RetryWindow.count() / 1000}};
  if (hasOutages())
    settings["out_of_service_ms"] = limits.OutOfServiceTime.count();
  harness::writeFile(entry.File, json::serialize(settings));
  harness::Command command;
  command.Program = Options.Program.empty() ? "greengagespar-entry"
                                            : Options.Program.string();
  command.Args = {"direct", "--settings", entry.File.string()};
  if (!Options.Logs.empty())
    command.OutputBase =
        Options.Logs / numbered(it.Name.Value + "-",
                                static_cast<std::uint64_t>(++entry.Starts));
  // Or the new process would hold the connections and listeners of this one
  // open, and nobody would see them close.
  if (close_range(FirstOwnFile, ~0U, CLOSE_RANGE_CLOEXEC) != 0)
    throw std::runtime_error("files can't be marked");
  entry.Process = harness::Process(command);
  entry.IsDown = false;
  entry.IsLeaving = false;
  entry.IsFrozen = false;
}

bool Soak::isReady(EntryProcess &entry) {
  return getFrom(entry.Settings.Ready, "/-/ready").Head.Status == 200;
}

void Soak::beginDisruption(EntryProcess &entry, DisruptionKind kind) {
  entry.Disruption = Seen.Disruptions.size();
  auto index = static_cast<std::size_t>(&entry - EntryProcesses.data());
  Seen.Disruptions.push_back({index, kind, since(), since()});
}

void Soak::freeze(EntryProcess &entry, std::chrono::milliseconds time) {
  if (entry.IsDown || entry.IsFrozen)
    return;
  beginDisruption(entry, DisruptionKind::Freeze);
  entry.Process.signal(SIGSTOP);
  entry.IsFrozen = true;
  entry.ContinueAt = Clock::now() + time;
}

void Soak::end(EntryProcess &entry, int signal) {
  if (entry.IsDown || entry.IsFrozen)
    return;
  entry.Process.signal(signal);
  if (entry.IsLeaving && signal == SIGTERM)
    return;
  beginDisruption(entry, signal == SIGTERM ? DisruptionKind::Stop
                                           : DisruptionKind::Kill);
  entry.IsLeaving = true;
  entry.KillAt = Clock::now() + Seen.Limits.Grace;
}

// Lets frozen entries run on, and starts those again that have ended.
void Soak::stepEntries() {
  auto now = Clock::now();
  for (EntryProcess &it : EntryProcesses) {
    if (it.IsFrozen && now >= it.ContinueAt) {
      it.Process.signal(SIGCONT);
      it.IsFrozen = false;
      Seen.Disruptions[it.Disruption].To = since();
    }
    if (it.IsDown) {
      if (now >= it.StartAt)
        start(it);
      // A starting process is not in touch either.
      Seen.Disruptions[it.Disruption].To = since();
      continue;
    }
    if (it.IsLeaving && now >= it.KillAt)
      it.Process.kill();
    if (it.Process.pid() == 0) {
      it.IsDown = true;
      it.StartAt = now + within(50ms, 1500ms);
    }
  }
}

void Soak::disrupt() {
  enum class Choice { Freeze, Stop, Reload, Kill, Ledger, Lone, Store };
  std::vector<Choice> choices;
  auto offer = [&](bool isOn, std::initializer_list<Choice> kinds) {
    if (isOn)
      choices.insert(choices.end(), kinds);
  };
  offer(Options.Freezes, {Choice::Freeze, Choice::Freeze});
  offer(Options.Stops, {Choice::Stop, Choice::Stop, Choice::Reload});
  offer(Options.Kills, {Choice::Kill});
  offer(Options.BadServers, {Choice::Ledger, Choice::Ledger});
  offer(Options.LoneServer && Ledgers.size() > 1, {Choice::Lone});
  offer(Options.StoreTrouble, {Choice::Store});
  if (choices.empty())
    return;
  EntryProcess &entry = EntryProcesses[pick(EntryProcesses.size())];
  switch (choices[pick(choices.size())]) {
  case Choice::Freeze:
    return freeze(entry, within(5ms, 2200ms));
  case Choice::Stop:
    return end(entry, SIGTERM);
  case Choice::Reload:
    return reload(entry);
  case Choice::Kill:
    return end(entry, SIGKILL);
  case Choice::Ledger:
    return Ledgers[pick(Ledgers.size())].setMood(
        Moods[pick(std::size(Moods))], Clock::now() + within(200ms, 2000ms));
  case Choice::Lone:
    return leaveOneServer();
  case Choice::Store:
    return disturbStore();
  }
}

void Soak::reload(EntryProcess &entry) {
  if (entry.IsDown || entry.IsFrozen)
    return;
  if (!entry.IsLeaving)
    beginDisruption(entry, DisruptionKind::Reload);
  entry.Process.signal(SIGHUP);
}

void Soak::disturbStore() {
  auto now = Clock::now();
  if (StoreSoundAt > now)
    return;
  auto length = within(200ms, 1500ms);
  StoreSoundAt = now + length;
  Seen.StoreTroubles.push_back({since(), since() + length});
  (pick(2) == 0 ? Objects.IsUnavailable : Objects.IsSilent) = true;
}

// Servers.

void Soak::addLedger() {
  Ledger &ledger = Ledgers.emplace_back(
      LedgerRun{Options, Choices, Seen, [this] { return since(); }},
      Ledgers.size());
  ledger.attach(addServer(
      "ledger",
      [&ledger](const auto &request) { return ledger.arrive(request); },
      dataCentreOf(Ledgers.size() - 1)));
}

// Takes the data centre of one server out of service, or puts it back, when
// that is due.
void Soak::stepOutages() {
  auto now = Clock::now();
  if (!hasOutages() || now < NextOutageStep)
    return;
  bool isOut = !Seen.Outages.empty() && !Seen.Outages.back().To;
  if (isOut) {
    Outage &last = Seen.Outages.back();
    Objects.remove("evacuations", dataCentreOf(last.Server));
    last.To = since();
    NextOutageStep = now + OutageChoices.within(MinOutagePause, MaxOutagePause);
    return;
  }
  std::size_t server = OutageChoices.pick(Ledgers.size());
  Objects.put("evacuations", dataCentreOf(server), json::object{});
  Seen.Outages.push_back({server, since(), {}});
  NextOutageStep = now + OutageChoices.within(MinOutage, MaxOutage);
}

// Leaves one server for a while: the others are away or full.
void Soak::leaveOneServer() {
  auto until = Clock::now() + within(300ms, 2500ms);
  std::size_t left = pick(Ledgers.size());
  for (std::size_t i = 0; i < Ledgers.size(); ++i)
    if (i != left)
      Ledgers[i].setMood(pick(2) == 0 ? LedgerMood::Away : LedgerMood::Full,
                         until);
}

// Clients.

void Soak::send(Client &client) {
  bool isOpen = client.Connection && client.Answers > 0 &&
                client.Connection->isReusable() &&
                Clock::now() < client.Connection->usableUntil();
  if (!isOpen) {
    client.Entry = pick(EntryProcesses.size());
    client.Connection = std::make_unique<HttpClientConnection>(
        Loop.base(), EntryProcesses[client.Entry].Settings.Listen, 1000ms);
    client.Answers = 0;
  }
  std::size_t index = Seen.Attempts.size();
  Attempt &attempt = Seen.Attempts.emplace_back();
  attempt.Id = numbered("s", ++LastId);
  attempt.Entry = client.Entry;
  attempt.MayRepeat = pick(3) == 0;
  attempt.IsOnKept = client.Answers > 0;
  attempt.Deadline = within(900ms, 2500ms);
  attempt.SentAt = since();
  client.At = index;
  std::size_t size = pick(12) == 0 ? pick(LargestBody) : pick(SmallBody);
  std::string body(attempt.MayRepeat ? 0 : size, 'x');
  std::string text = attempt.MayRepeat ? "GET /status/1" : "POST /book/1";
  text.append(" HTTP/1.1\r\nHost: shop.example\r\nX-Api-Key: k1\r\n"
              "X-Request-Id: ")
      .append(attempt.Id)
      .append("\r\nX-Deadline-Ms: ")
      .append(std::to_string(attempt.Deadline.count()))
      .append("\r\nContent-Length: ")
      .append(std::to_string(body.size()))
      .append("\r\n\r\n")
      .append(body);
  ExchangeEvents events;
  auto reply = std::make_shared<Reply>();
  events.OnHead = [reply](const HttpHead &head) {
    reply->Head.Status = head.Status;
    return true;
  };
  events.OnBody = [reply](std::string_view piece) {
    reply->Body.append(piece);
  };
  events.OnEnd = [this, &client, index, reply](ExchangeEnd how,
                                               std::string_view) {
    reply->End = how;
    ended(client, index, *reply);
  };
  client.Connection->send(text, false, std::move(events));
}

void Soak::ended(Client &client, std::size_t attempt, const Reply &reply) {
  Attempt &it = Seen.Attempts[attempt];
  it.EndedAt = since();
  it.Status = reply.End == ExchangeEnd::Complete ? reply.Head.Status : 0;
  it.Named = reply.Body;
  it.WasConnected = reply.End != ExchangeEnd::NotConnected;
  client.At.reset();
  ++client.Answers;
  bool isIdle = client.IsPausing && pick(3) == 0;
  client.SendAt =
      Clock::now() + (isIdle ? within(ServerIdle - 400ms, ServerIdle + 100ms)
                             : within(20ms, 400ms));
}

void Soak::step(Client &client) {
  auto now = Clock::now();
  if (client.At) {
    Attempt &it = Seen.Attempts[*client.At];
    if (since() < it.SentAt + it.Deadline + Patience)
      return;
    it.EndedAt = since();
    client.Connection.reset();
    client.At.reset();
    client.SendAt = now + within(20ms, 400ms);
    return;
  }
  if (now >= client.SendAt)
    send(client);
}

Record Soak::run() {
  StartedAt = Clock::now();
  for (EntryProcess &it : EntryProcesses)
    start(it);
  auto limit = Clock::now() + ReadyTimeout;
  for (EntryProcess &it : EntryProcesses)
    while (!isReady(it)) {
      if (Clock::now() > limit)
        throw std::runtime_error("an entry is not ready");
      runFor(20ms);
    }
  StartedAt = Clock::now();
  NextDisruption = NextClump = StartedAt + ClumpInterval;
  NextOutageStep = StartedAt + MinOutagePause;
  auto end = StartedAt + Options.Length;
  while (Clock::now() < end) {
    runFor(StepTime);
    auto now = Clock::now();
    stepEntries();
    stepOutages();
    if (now >= StoreSoundAt)
      Objects.IsUnavailable = Objects.IsSilent = false;
    for (Ledger &it : Ledgers)
      it.step();
    if (now >= NextClump) {
      NextClump = now + ClumpInterval;
      for (Client &it : Callers)
        if (Options.HasClumps && !it.At && !it.IsPausing)
          it.SendAt = now;
      // In the midst of the clump, when entries open connections to servers.
      if (Options.Freezes && pick(2) == 0)
        FreezeAt = now + within(1ms, MidstOfClump);
    }
    if (FreezeAt && now >= *FreezeAt) {
      FreezeAt.reset();
      freeze(EntryProcesses[pick(EntryProcesses.size())], within(5ms, 2200ms));
    }
    if (now >= NextDisruption) {
      NextDisruption =
          now + within(DisruptionInterval / 3, DisruptionInterval * 2);
      disrupt();
    }
    for (Client &it : Callers)
      step(it);
  }
  Seen.Length = since();
  for (const auto &it : Servers)
    Seen.Connections += static_cast<std::size_t>(it->Connections);
  Callers.clear();
  return std::move(Seen);
}

} // namespace

Record runSoak(const SoakOptions &options) { return Soak(options).run(); }

} // namespace greengagespar::soak
