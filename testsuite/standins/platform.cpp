/// \file
/// A stand-in for the platform: the object API and the host list. A test can
/// switch on faults of it.
#include "http_server.h"
#include "object_store.h"

#include <CLI/CLI.hpp>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <utility>

using namespace greengagespar::standin;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

namespace {

constexpr std::size_t MaxValueBytes = 1000000;
constexpr std::uint64_t DefaultWatchMs = 30000;
constexpr std::uint64_t MaxWatchMs = 300000;
constexpr std::chrono::seconds CountWindow{10};
constexpr std::string_view ObjectsPrefix = "/v1/objects";

struct Faults {
  bool Outage = false;         ///< Answers 503.
  bool BlackHole = false;      ///< Never answers.
  bool StaleReads = false;     ///< Reads return the state of its start.
  milliseconds Delay{0};       ///< Delays each answer.
  std::uint64_t LoseEvery = 0; ///< Every n-th write's answer is lost; 0: none.
};

// A watch that waits for a change.
struct Watch {
  Request Req;
  std::string Prefix;
  std::uint64_t After = 0; ///< The last revision that the watcher has seen.
};

struct Platform {
  HttpServer *Server = nullptr;
  ObjectStore Store;
  ObjectStore StaleStore; ///< The copy that stale reads return.
  ObjectStore Copy;       ///< What a restore brings back.
  int Timeline = 1;       ///< One more after each restore.
  boost::json::value Hosts = boost::json::array();
  Faults ActiveFaults;
  std::map<std::uint64_t, Watch> Watches;
  std::uint64_t NextWatch = 1;
  std::uint64_t Writes = 0;
  std::uint64_t LostAnswers = 0;
  std::map<std::string, std::uint64_t> CallCounts; ///< By kind of call.
  std::deque<Clock::time_point> RecentCalls; ///< Those within CountWindow.
};

// Never answers. The request is freed when its caller closes the connection.
void leaveUnanswered(Platform &p, const Request &req) {
  p.Server->whenCallerDisconnects(req, [req] { drop(req); });
}

// Sends an answer, delayed or suppressed as the active faults require.
void answer(Platform &p, const Request &req, int status, std::string body) {
  if (p.ActiveFaults.BlackHole)
    return leaveUnanswered(p, req);
  auto send = [req, status, timeline = p.Timeline, body = std::move(body)] {
    evhttp_add_header(evhttp_request_get_output_headers(req.Raw),
                      "Store-Timeline", std::to_string(timeline).c_str());
    sendText(req, status, body, "application/json");
  };
  if (p.ActiveFaults.Delay.count() > 0)
    p.Server->after(p.ActiveFaults.Delay, send);
  else
    send();
}

std::string versionText(std::uint64_t version) {
  return "{\"version\":" + std::to_string(version) + "}";
}

const ObjectStore &storeForReads(const Platform &p) {
  return p.ActiveFaults.StaleReads ? p.StaleStore : p.Store;
}

void answerChangedWatches(Platform &p) {
  for (auto it = p.Watches.begin(); it != p.Watches.end();) {
    std::string body = watchText(p.Store, it->second.Prefix, it->second.After);
    if (body.empty()) {
      ++it;
      continue;
    }
    Request req = it->second.Req;
    it = p.Watches.erase(it);
    answer(p, req, HTTP_OK, std::move(body));
  }
}

void answerWrite(Platform &p, const Request &req, const WriteResult &result) {
  ++p.Writes;
  bool lost =
      p.ActiveFaults.LoseEvery > 0 && p.Writes % p.ActiveFaults.LoseEvery == 0;
  if (lost) {
    ++p.LostAnswers;
    p.Server->after(milliseconds(0), [req] { drop(req); });
    return;
  }
  switch (result.Outcome) {
  case WriteOutcome::Done:
    return answer(p, req, HTTP_OK, versionText(result.Version));
  case WriteOutcome::Conflict:
    return answer(p, req, 409, versionText(result.Version));
  case WriteOutcome::NotFound:
    return answer(p, req, HTTP_NOTFOUND, "{}");
  }
}

std::optional<std::uint64_t> requiredVersion(const Request &req) {
  if (!req.Query.contains("if_version"))
    return std::nullopt;
  return queryNumber(req, "if_version", UINT64_MAX);
}

void putValue(Platform &p, const Request &req, const std::string &path) {
  if (req.Body.size() > MaxValueBytes)
    return answer(p, req, 413, "{}");
  boost::json::error_code ec;
  boost::json::value value = boost::json::parse(req.Body, ec);
  if (ec)
    return answer(p, req, HTTP_BADREQUEST, "{}");
  WriteResult result = putObject(p.Store, path, boost::json::serialize(value),
                                 requiredVersion(req));
  answerWrite(p, req, result);
  if (result.Outcome == WriteOutcome::Done)
    answerChangedWatches(p);
}

void removeValue(Platform &p, const Request &req, const std::string &path) {
  WriteResult result = deleteObject(p.Store, path, requiredVersion(req));
  answerWrite(p, req, result);
  if (result.Outcome == WriteOutcome::Done)
    answerChangedWatches(p);
}

void getValue(Platform &p, const Request &req, const std::string &path) {
  const ObjectStore &store = storeForReads(p);
  auto it = store.Objects.find(path);
  if (it == store.Objects.end())
    return answer(p, req, HTTP_NOTFOUND, "{}");
  answer(p, req, HTTP_OK, objectText(path, it->second));
}

std::string queryText(const Request &req, const std::string &key) {
  auto it = req.Query.find(key);
  return it == req.Query.end() ? std::string() : it->second;
}

void endWatchEmpty(Platform &p, std::uint64_t id) {
  auto it = p.Watches.find(id);
  if (it == p.Watches.end())
    return;
  Request req = it->second.Req;
  p.Watches.erase(it);
  answer(p, req, HTTP_OK, emptyWatchText(p.Store));
}

void startWatch(Platform &p, const Request &req) {
  std::string prefix = queryText(req, "prefix");
  std::uint64_t after = queryNumber(req, "after", 0);
  if (!historyCovers(p.Store, after))
    return answer(p, req, 410,
                  "{\"revision\":" + std::to_string(p.Store.Revision) + "}");
  std::string body = watchText(p.Store, prefix, after);
  if (!body.empty())
    return answer(p, req, HTTP_OK, std::move(body));
  std::uint64_t id = p.NextWatch++;
  p.Watches[id] = {req, prefix, after};
  auto wait =
      std::min(queryNumber(req, "timeout_ms", DefaultWatchMs), MaxWatchMs);
  p.Server->after(milliseconds(wait), [&p, id] { endWatchEmpty(p, id); });
  p.Server->whenCallerDisconnects(req, [&p, id, req] {
    if (p.Watches.erase(id) > 0)
      drop(req);
  });
}

std::string callKind(const Request &req) {
  if (req.Path.starts_with(ObjectsPrefix))
    return req.Method == "PUT"      ? "put"
           : req.Method == "DELETE" ? "delete"
                                    : "get";
  if (req.Path == "/v1/list")
    return "list";
  if (req.Path == "/v1/watch")
    return "watch";
  return req.Path == "/v1/hosts" ? "hosts" : "other";
}

void discardOldCalls(Platform &p) {
  while (!p.RecentCalls.empty() &&
         Clock::now() - p.RecentCalls.front() > CountWindow)
    p.RecentCalls.pop_front();
}

// Returns the object's path. The request's path may repeat the first slash.
std::string objectPath(const Request &req) {
  std::string path = req.Path.substr(ObjectsPrefix.size());
  return path.starts_with("//") ? path.substr(1) : path;
}

void serveObject(Platform &p, const Request &req) {
  std::string path = objectPath(req);
  if (path.size() < 2)
    return answer(p, req, HTTP_BADREQUEST, "{}");
  if (req.Method == "GET")
    return getValue(p, req, path);
  if (req.Method == "PUT")
    return putValue(p, req, path);
  if (req.Method == "DELETE")
    return removeValue(p, req, path);
  answer(p, req, HTTP_BADMETHOD, "{}");
}

void serveApi(Platform &p, const Request &req) {
  std::string kind = callKind(req);
  ++p.CallCounts[kind];
  p.RecentCalls.push_back(Clock::now());
  discardOldCalls(p);
  if (p.ActiveFaults.Outage)
    return answer(p, req, HTTP_SERVUNAVAIL, "{}");
  if (p.ActiveFaults.BlackHole)
    return leaveUnanswered(p, req);
  if (req.Path.starts_with(ObjectsPrefix))
    return serveObject(p, req);
  if (kind == "list")
    return answer(p, req, HTTP_OK,
                  listText(storeForReads(p), queryText(req, "prefix")));
  if (kind == "watch")
    return startWatch(p, req);
  if (kind == "hosts")
    return answer(
        p, req, HTTP_OK,
        boost::json::serialize(boost::json::object{{"hosts", p.Hosts}}));
  answer(p, req, HTTP_NOTFOUND, "{}");
}

bool isSet(const boost::json::object &object, std::string_view key) {
  const auto *it = object.if_contains(key);
  return it && it->is_bool() && it->as_bool();
}

// Answers all waiting watches with 503, since an outage ends them.
void refuseWatches(Platform &p) {
  auto watches = std::move(p.Watches);
  p.Watches.clear();
  for (auto &[id, watch] : watches)
    answer(p, watch.Req, HTTP_SERVUNAVAIL, "{}");
}

// Replaces all objects by those of the kept copy and cuts all waiting watches.
void restore(Platform &p) {
  p.Store = p.Copy;
  ++p.Timeline;
  for (auto &[id, watch] : std::exchange(p.Watches, {}))
    drop(watch.Req);
}

void setFaults(Platform &p, const Request &req) {
  boost::json::object body = bodyObject(req);
  bool wasStale = p.ActiveFaults.StaleReads;
  p.ActiveFaults.Outage = isSet(body, "outage");
  p.ActiveFaults.BlackHole = isSet(body, "black_hole");
  p.ActiveFaults.StaleReads = isSet(body, "stale_reads");
  p.ActiveFaults.Delay =
      milliseconds(static_cast<std::int64_t>(numberOr(body, "delay_ms", 0)));
  p.ActiveFaults.LoseEvery =
      static_cast<std::uint64_t>(numberOr(body, "lose_every", 0));
  if (p.ActiveFaults.StaleReads && !wasStale)
    p.StaleStore = p.Store;
  if (p.ActiveFaults.Outage)
    refuseWatches(p);
  if (isSet(body, "keep_copy"))
    p.Copy = p.Store;
  if (isSet(body, "restore"))
    restore(p);
  sendJson(req, HTTP_OK, boost::json::object());
}

void setHosts(Platform &p, const Request &req) {
  boost::json::object body = bodyObject(req);
  if (!body.contains("hosts"))
    return sendJson(req, HTTP_BADREQUEST, boost::json::object());
  p.Hosts = body["hosts"];
  sendJson(req, HTTP_OK, boost::json::object());
}

void sendCounts(Platform &p, const Request &req) {
  discardOldCalls(p);
  boost::json::object calls;
  for (const auto &[kind, n] : p.CallCounts)
    calls[kind] = n;
  sendJson(req, HTTP_OK,
           boost::json::object{{"calls", calls},
                               {"waiting_watches", p.Watches.size()},
                               {"last_10s", p.RecentCalls.size()},
                               {"lost_answers", p.LostAnswers},
                               {"objects", p.Store.Objects.size()},
                               {"revision", p.Store.Revision}});
}

void serve(Platform &p, const Request &req) {
  if (req.Path == "/test/faults")
    return setFaults(p, req);
  if (req.Path == "/test/hosts")
    return setHosts(p, req);
  if (req.Path == "/test/counts")
    return sendCounts(p, req);
  serveApi(p, req);
}

} // namespace

int main(int argc, char **argv) {
  int port = 0;
  Platform platform;
  CLI::App app("Stand-in for the platform's object API and host list");
  app.add_option("--port", port, "port on 127.0.0.1; 0 picks a free one");
  app.add_option("--history", platform.Store.MaxHistory,
                 "changes that are retained for watches");
  CLI11_PARSE(app, argc, argv);
  HttpServer server(port,
                    [&platform](const Request &req) { serve(platform, req); });
  platform.Server = &server;
  return server.run();
}
