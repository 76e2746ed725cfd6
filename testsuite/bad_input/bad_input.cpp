#include "bad_input.h"

#include <boost/test/unit_test.hpp>
#include <utility>

namespace greengagespar::harness {

namespace {

// The most memory that a process may gain during a test; the attacks send more
// than this. `make test-sanitize` lets the address sanitizer retain up to 16 MB
// of freed memory, and the sanitizer's shadow memory adds an eighth to all
// memory used.
#ifdef __SANITIZE_ADDRESS__
constexpr long MaxGrowthKb = (48L + 16L) * 9 / 8 << 10;
#else
constexpr long MaxGrowthKb = 48L << 10;
#endif

// Number of tokens of the valid call, so many that the call is still in
// progress while the test sends bad input.
constexpr int ValidCallTokens = 400;

// Longer than any test runs.
constexpr std::chrono::milliseconds TestTimeout{170000};

constexpr std::string_view HeadEnd = "\r\n\r\n";

} // namespace

ValidCall::ValidCall(const Address &entry, const ClusterPlan &plan)
    : Client(Events.base(), entry) {
  Call.Workspace = plan.Workspaces.front();
  Call.Model = plan.Group;
  Call.Prompt = "len=" + std::to_string(ValidCallTokens);
  Call.MaxTokens = ValidCallTokens;
  Call.Stream = true;
  HttpRequest request = load::requestOf(Call, load::CallTarget::Entry);
  // The test reads the rest of the answer only at its end, so the request must
  // not time out earlier.
  request.Timeout = TestTimeout;
  Client.send(
      request, [this](const HttpAnswer &answer) { Answer = answer; },
      [this](std::string_view bytes) { load::readPart(Reader, bytes); });
  Events.runUntil([this] { return Answer || !Reader.Text.empty(); });
}

load::CallOutcome ValidCall::finish() {
  Events.runUntil([this] { return Answer.has_value(); });
  return load::classifyAnswer(Call, Reader, Answer.value_or(HttpAnswer()));
}

BadInputFixture::BadInputFixture(ClusterPlan plan) : Cluster(std::move(plan)) {
  Cluster::start();
  for (const char *name : {"entry-1", "helper-1", "ledger-1"})
    Programs.push_back({name, process(name).pid(), process(name).residentKb()});
  CallInProgress = std::make_unique<ValidCall>(entry(), Cluster::plan());
}

BadInputFixture::~BadInputFixture() { checkStillServing(); }

ClusterPlan BadInputFixture::smallPlan() {
  ClusterPlan plan;
  plan.DataCentres = {"dc1"};
  plan.Helpers = 1;
  plan.Ledgers = 1;
  return plan;
}

void BadInputFixture::checkStillServing() {
  load::CallOutcome outcome = CallInProgress->finish();
  BOOST_TEST((outcome.Result == load::Verdict::Ok),
             "the good call ended " << load::verdictName(outcome.Result) << ' '
                                    << outcome.ErrorKind);
  BOOST_TEST(get(entry(), "/readyz").Status == 200);
  BOOST_TEST(waitServing("entry-1"));
  for (const WatchedProcess &it : Programs) {
    Process &running = process(it.Name);
    BOOST_TEST(running.pid() == it.Pid, it.Name << " has ended");
    long grown = running.residentKb() - it.ResidentKb;
    BOOST_TEST(grown < MaxGrowthKb, it.Name << " grew by " << grown << " kB");
  }
}

std::uint64_t BadInputFixture::metric(const std::string &name) {
  std::string text = get(entry(), "/metrics").Body;
  std::string key = "greengagespar_" + name + " ";
  auto at = text.find(key);
  return at == std::string::npos ? 0
                                 : std::stoull(text.substr(at + key.size()));
}

std::int64_t BadInputFixture::runningStreams() {
  return jsonOf(get(address("helper-1-engine"), "/v1/load"))
      .at("running")
      .to_number<std::int64_t>();
}

std::string bytesOf(const RawRequest &request) {
  std::string out = request.Method + " " + request.Target + " HTTP/1.1\r\n";
  out += "Host: entry\r\n" + request.Headers;
  if (!request.Body.empty())
    out += "Content-Length: " + std::to_string(request.Body.size()) + "\r\n";
  return out + "\r\n" + request.Body;
}

std::string draftBody(std::uint64_t tokens, bool stream) {
  return boost::json::serialize(
      boost::json::value{{"model", ClusterPlan().Group},
                         {"prompt", "len=" + std::to_string(tokens)},
                         {"max_tokens", tokens},
                         {"stream", stream}});
}

HttpAnswer answerTo(const Address &server, std::string_view bytes) {
  constexpr std::string_view lengthName = "Content-Length: ";
  RawConnection connection(server);
  connection.send(bytes);
  std::string head = connection.readUntil(HeadEnd);
  HttpAnswer out;
  auto end = head.find(HeadEnd);
  auto length = head.find(lengthName);
  if (end == std::string::npos || !head.starts_with("HTTP/1.1 "))
    return out;
  out.Status = std::atoi(head.c_str() + std::string_view("HTTP/1.1 ").size());
  out.Body = head.substr(end + HeadEnd.size());
  if (length >= end)
    return out;
  std::size_t size = std::stoul(head.substr(length + lengthName.size()));
  while (out.Body.size() < size) {
    std::string more = connection.readUntil("}");
    if (more.empty())
      return out;
    out.Body += more;
  }
  out.End = HttpEnd::Complete;
  return out;
}

} // namespace greengagespar::harness
