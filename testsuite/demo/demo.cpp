/// \file
/// The demo starts 3 entries in 3 data centres, and 4 engines and 3 ledgers
/// with their endpoint processes. It queries one entry for the addresses of all
/// entries, sends the calls of examples/orders.json to them and checks each
/// answer against its own request. The last line begins with "demo: ok" (exit
/// status 0) or "demo: failed" (exit status 1).
#include "cluster.h"
#include "greengagespar/load/calls.h"
#include "greengagespar/load/entries.h"

#include <CLI/CLI.hpp>
#include <boost/json.hpp>
#include <cstdio>
#include <deque>
#include <exception>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

using namespace greengagespar;
using namespace greengagespar::harness;
using load::CallKind;
using load::CallOutcome;
using load::CallSpec;
using load::Verdict;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t MaxOpenCalls = 8;
constexpr milliseconds CallDeadline{20000};
constexpr milliseconds DemoTimeout{60000};
constexpr int MaxTries = 10;
constexpr timeval RetryPause{0, 200000};

// One call of the file and the number of tries so far.
struct Task {
  CallSpec Call;
  int Tries = 0;
};

struct Tally {
  int Answered = 0;
  int Wrong = 0;
  int Lost = 0;
  std::map<std::string, int> Retries; ///< By error kind, of calls refused.
};

std::string textOf(const boost::json::object &item, std::string_view key) {
  const auto *it = item.if_contains(key);
  return it ? std::string(it->as_string()) : std::string();
}

bool flagOf(const boost::json::object &item, std::string_view key) {
  const auto *it = item.if_contains(key);
  return it && it->as_bool();
}

CallSpec readCall(const boost::json::object &item, std::size_t number) {
  CallSpec call;
  std::string kind = textOf(item, "kind");
  call.Kind = kind == "draft"     ? CallKind::Draft
              : kind == "booking" ? CallKind::Booking
                                  : CallKind::Status;
  call.Workspace = textOf(item, "workspace");
  call.Prompt = textOf(item, "prompt");
  call.Order = textOf(item, "order");
  call.Stream = flagOf(item, "stream");
  call.Chat = flagOf(item, "chat");
  if (const auto *it = item.if_contains("max_tokens"))
    call.MaxTokens = it->to_number<std::uint64_t>();
  call.Id = "demo-" + std::to_string(number);
  call.Deadline = CallDeadline;
  return call;
}

std::deque<Task> readTasks(const std::string &file, const ClusterPlan &plan) {
  boost::json::parse_options options;
  options.allow_comments = true;
  auto root = boost::json::parse(readFile(file), {}, options);
  std::deque<Task> out;
  for (const auto &item : root.at("items").as_array()) {
    CallSpec call = readCall(item.as_object(), out.size() + 1);
    call.Model = plan.Group;
    call.Service = plan.Service;
    out.push_back({std::move(call), 0});
  }
  return out;
}

std::vector<Address> listedEntries(const Address &entry) {
  return recoverFrom([&] { return load::queryEntries(entry); },
                     [](const Error &e) -> std::vector<Address> {
                       throw std::runtime_error(e.Message);
                     });
}

// Entries learn of each other over links, so it takes seconds until the list is
// complete. Throws if it stays incomplete.
std::vector<Address> waitForEntries(const Address &entry, std::size_t count) {
  std::vector<Address> out;
  bool all = waitUntil([&] {
    out = listedEntries(entry);
    return out.size() == count;
  });
  if (!all)
    throw std::runtime_error(std::to_string(out.size()) + " of " +
                             std::to_string(count) + " entries listed");
  return out;
}

// Sends all tasks to the listed entries in turn, MaxOpenCalls at once.
class Sender {
public:
  Sender(const std::vector<Address> &entries, std::deque<Task> tasks)
      : Tasks(std::move(tasks)), Open(Tasks.size()) {
    for (const Address &it : entries)
      Clients.push_back(std::make_unique<load::HttpClient>(Events.base(), it));
  }

  Tally run() {
    for (std::size_t i = 0; i < MaxOpenCalls; ++i)
      sendNext();
    Events.runUntil([this] { return Open == 0; }, DemoTimeout);
    Result.Lost += static_cast<int>(Open);
    return Result;
  }

private:
  void sendNext() {
    if (Tasks.empty())
      return;
    Task task = std::move(Tasks.front());
    Tasks.pop_front();
    send(task);
  }

  void send(Task task) {
    ++task.Tries;
    load::HttpClient &client = *Clients[NextClient++ % Clients.size()];
    load::sendCall(
        client, task.Call, load::CallTarget::Entry, load::Clock::now(),
        [this, task](const CallOutcome &outcome) { end(task, outcome); });
  }

  void end(const Task &task, const CallOutcome &outcome) {
    if (outcome.Result == Verdict::Refused && task.Tries < MaxTries) {
      ++Result.Retries[outcome.ErrorKind];
      return retryLater(task);
    }
    count(task, outcome);
    --Open;
    sendNext();
  }

  void retryLater(const Task &task) {
    struct Retry {
      Sender *Self;
      Task RetriedTask;
    };
    event_base_once(
        Events.base(), -1, EV_TIMEOUT,
        [](evutil_socket_t, short, void *arg) {
          std::unique_ptr<Retry> retry(static_cast<Retry *>(arg));
          retry->Self->send(retry->RetriedTask);
        },
        new Retry{this, task}, &RetryPause);
  }

  void count(const Task &task, const CallOutcome &outcome) {
    if (outcome.Result == Verdict::Ok) {
      ++Result.Answered;
      return;
    }
    (outcome.Result == Verdict::Wrong ? Result.Wrong : Result.Lost) += 1;
    std::fprintf(stderr, "demo: %s %s: %s, status %d, %s\n",
                 std::string(callKindName(task.Call.Kind)).c_str(),
                 task.Call.Id.c_str(),
                 std::string(verdictName(outcome.Result)).c_str(),
                 outcome.Status, outcome.ErrorKind.c_str());
  }

  Loop Events;
  std::deque<Task> Tasks;
  std::size_t Open;
  std::vector<std::unique_ptr<load::HttpClient>> Clients;
  std::size_t NextClient = 0;
  Tally Result;
};

// Returns how many orders the ledgers did not run exactly once.
int countBadBookings(Cluster &cluster, const std::deque<Task> &tasks) {
  std::map<std::string, int> left = cluster.bookings();
  int bad = 0;
  for (const Task &task : tasks) {
    if (task.Call.Kind != CallKind::Booking)
      continue;
    int n = left[task.Call.Order];
    left.erase(task.Call.Order);
    if (n == 1)
      continue;
    ++bad;
    std::fprintf(stderr, "demo: order %s ran %d times\n",
                 task.Call.Order.c_str(), n);
  }
  return bad + static_cast<int>(left.size());
}

ClusterPlan demoPlan() {
  ClusterPlan plan;
  plan.Workspaces = {"umuhuza-members", "umuhuza-clerks", "omuramba-crews"};
  return plan;
}

int runDemo(const std::string &file) {
  Cluster cluster(demoPlan());
  std::deque<Task> tasks = readTasks(file, cluster.plan());
  cluster.start();
  std::fprintf(stderr, "demo: the entries are ready\n");
  std::vector<Address> entries =
      waitForEntries(cluster.address("entry-1"),
                     cluster.processesOf("greengagespar-entry").size());
  std::fprintf(stderr, "demo: %zu entries listed, sending %zu calls\n",
               entries.size(), tasks.size());
  Tally tally = Sender(entries, tasks).run();
  int bad = countBadBookings(cluster, tasks);
  bool ok = tally.Wrong == 0 && tally.Lost == 0 && bad == 0;
  for (const auto &[kind, n] : tally.Retries)
    std::fprintf(stderr, "demo: %d retries after %s\n", n, kind.c_str());
  std::fprintf(stderr, "demo: %d bookings not run exactly once\n", bad);
  if (!ok)
    std::fprintf(stderr, "%s\n", cluster.diagnosis().c_str());
  std::printf("demo: %s: %d answered, %d wrong, %d lost\n",
              ok ? "ok" : "failed", tally.Answered, tally.Wrong + bad,
              tally.Lost);
  return ok ? 0 : 1;
}

} // namespace

int main(int argc, char **argv) {
  std::string file = GREENGAGESPAR_EXAMPLES "/orders.json";
  CLI::App app("Serves the example orders by a whole system with stand-ins");
  app.add_option("--orders", file, "the calls to send");
  CLI11_PARSE(app, argc, argv);
  try {
    return runDemo(file);
  } catch (const std::exception &e) {
    std::string text = e.what();
    std::fprintf(stderr, "demo: %s\n", text.c_str());
    std::printf("demo: failed: %s\n", text.substr(0, text.find('\n')).c_str());
    return 1;
  }
}
