/// \file
/// A stand-in for a model engine: continuous batching with priorities, resuming
/// and cancelling of streams, a prefix cache, load reports with a lag, and
/// orders.
#include "batch.h"
#include "engine_orders.h"
#include "greengagespar/load/expected_text.h"
#include "http_server.h"

#include <CLI/CLI.hpp>
#include <deque>
#include <event2/buffer.h>
#include <string>
#include <unordered_map>
#include <utility>

using namespace greengagespar::standin;
namespace load = greengagespar::load;
using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t DefaultMaxTokens = 256;
constexpr int CrashStatus = 70;
constexpr std::size_t MaxRunIds = 500000;
constexpr std::size_t MaxImported = 10000;
constexpr milliseconds SampleEvery{20};
constexpr std::string_view StreamsPrefix = "/v1/streams/";
constexpr std::string_view KvPrefix = "/v1/kv/";

struct LoadSample {
  Clock::time_point At;
  std::size_t Running = 0;
  std::size_t Waiting = 0;
  std::uint64_t CacheTokens = 0;
};

struct Engine {
  HttpServer *Server = nullptr;
  Batch Streams;
  OrderState Orders;
  milliseconds LoadLag{0}; ///< Age of the reported load; 0: current load.
  std::deque<LoadSample> Samples;
  std::unordered_map<std::string, Request> Callers; ///< By stream id.
  std::unordered_map<std::string, std::uint64_t> StartsById;
  std::set<std::string> ImportedKv; ///< Ids of streams that need no prefill.
  std::uint64_t Started = 0;
  std::uint64_t Cancelled = 0;
  std::uint64_t Tokens = 0;
  std::string CrashKey; ///< Drafts with this cache key end the process.
  bool StepScheduled = false;
  Clock::time_point NextStep{};
};

std::int64_t epochMs() {
  auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<milliseconds>(now).count();
}

void sendLine(const Request &req, const std::string &line) {
  evbuffer *buf = evbuffer_new();
  evbuffer_add(buf, line.data(), line.size());
  evhttp_send_reply_chunk(req.Raw, buf);
  evbuffer_free(buf);
}

std::string endLine(const Stream &stream, const char *finish) {
  return std::string("{\"end\":true,\"finish\":\"") + finish +
         "\",\"tokens\":" + std::to_string(stream.Next) +
         ",\"prompt_tokens\":" + std::to_string(stream.PromptTokens) + "}\n";
}

// Ends the answer of a stream that has left the batch.
void endAnswer(Engine &engine, const Stream &stream, const char *finish) {
  auto node = engine.Callers.extract(stream.Id);
  if (node.empty())
    return;
  sendLine(node.mapped(), endLine(stream, finish));
  evhttp_send_reply_end(node.mapped().Raw);
}

// Ends the process when it begins to answer a stream with the crashing key.
void crashIfAsked(Engine &engine, const StepOutput &out) {
  const Stream *stream = findStream(engine.Streams, out.Id);
  const std::string &key = stream ? stream->CacheKey : out.Ended.CacheKey;
  if (!engine.CrashKey.empty() && key == engine.CrashKey)
    std::_Exit(CrashStatus);
}

void sendOutput(Engine &engine, const StepOutput &out) {
  crashIfAsked(engine, out);
  if (!out.Text.empty()) {
    ++engine.Tokens;
    sendLine(engine.Callers.at(out.Id), "{\"i\":" + std::to_string(out.Index) +
                                            ",\"t\":\"" + out.Text + "\"}\n");
  }
  if (out.Last)
    endAnswer(engine, out.Ended, out.Ended.CutByLimit ? "length" : "stop");
}

void scheduleStep(Engine &engine);

void step(Engine &engine) {
  engine.StepScheduled = false;
  if (mayStep(engine.Orders)) {
    if (engine.Orders.InRankGroup)
      executeStep(engine.Orders);
    for (const StepOutput &out : runStep(engine.Streams, Clock::now()))
      sendOutput(engine, out);
  }
  scheduleStep(engine);
}

// Schedules the next step at the step interval after the last one, or after now
// when the engine is behind its schedule.
void scheduleStep(Engine &engine) {
  bool needed = !engine.Streams.Running.empty() || engine.Orders.InRankGroup;
  if (engine.StepScheduled || !needed)
    return;
  engine.StepScheduled = true;
  auto now = Clock::now();
  microseconds length = stepTime(engine.Streams);
  engine.NextStep += length;
  if (engine.NextStep < now)
    engine.NextStep = now + length;
  auto wait = std::chrono::duration_cast<microseconds>(engine.NextStep - now);
  engine.Server->after(wait, [&engine] { step(engine); });
}

void cancelStream(Engine &engine, const std::string &id) {
  Stream *found = findStream(engine.Streams, id);
  if (!found)
    return;
  Stream stream = *found;
  removeStream(engine.Streams, id);
  ++engine.Cancelled;
  startWaiting(engine.Streams, Clock::now());
  endAnswer(engine, stream, "cancelled");
}

Stream readStream(const boost::json::object &body) {
  Stream stream;
  std::string prompt = textOr(body, "prompt");
  auto limit = static_cast<std::uint64_t>(
      numberOr(body, "max_tokens", DefaultMaxTokens));
  stream.Id = textOr(body, "id");
  stream.CacheKey = textOr(body, "cache_key");
  stream.PromptHash = load::hashText(prompt);
  stream.PromptTokens = load::promptTokens(prompt);
  stream.Next = static_cast<std::uint64_t>(numberOr(body, "offset", 0));
  stream.Total = load::tokenCount(prompt, limit);
  stream.CutByLimit = load::naturalLength(prompt) > limit;
  stream.Priority = numberOr(body, "priority", 0);
  return stream;
}

void countRun(Engine &engine, const std::string &id) {
  ++engine.Started;
  if (engine.StartsById.size() < MaxRunIds || engine.StartsById.contains(id))
    ++engine.StartsById[id];
}

void startStream(Engine &engine, const Request &req) {
  Stream stream = readStream(bodyObject(req));
  std::string id = stream.Id;
  if (id.empty())
    return sendJson(req, HTTP_BADREQUEST, {{"error", "id is missing"}});
  if (findStream(engine.Streams, id))
    return sendJson(req, 409, {{"error", "the stream is running"}});
  if (engine.ImportedKv.erase(id) > 0)
    stream.Prefilled = true;
  if (!addStream(engine.Streams, std::move(stream), Clock::now()))
    return sendJson(req, HTTP_SERVUNAVAIL, {{"error", "the queue is full"}});
  countRun(engine, id);
  engine.Callers[id] = req;
  evhttp_add_header(evhttp_request_get_output_headers(req.Raw), "Content-Type",
                    "application/x-ndjson");
  evhttp_send_reply_start(req.Raw, HTTP_OK, "OK");
  engine.Server->whenCallerDisconnects(
      req, [&engine, id] { cancelStream(engine, id); });
  scheduleStep(engine);
}

void serveStream(Engine &engine, const Request &req) {
  std::string rest = req.Path.substr(StreamsPrefix.size());
  auto slash = rest.rfind('/');
  std::string action = slash == std::string::npos ? "" : rest.substr(slash);
  std::string id = rest.substr(0, slash);
  Stream *stream = findStream(engine.Streams, id);
  if (!stream)
    return sendJson(req, HTTP_NOTFOUND, boost::json::object());
  if (action == "/priority") {
    stream->Priority = numberOr(bodyObject(req), "priority", 0);
    startWaiting(engine.Streams, Clock::now());
  } else if (action == "/cancel") {
    cancelStream(engine, id);
  } else {
    return sendJson(req, HTTP_NOTFOUND, boost::json::object());
  }
  sendJson(req, HTTP_OK, boost::json::object());
}

LoadSample sampleNow(const Engine &engine) {
  return {Clock::now(), engine.Streams.Running.size(),
          engine.Streams.Waiting.size(), engine.Streams.Cache.Tokens};
}

void sampleLoad(Engine &engine) {
  engine.Samples.push_back(sampleNow(engine));
  auto reportedTime = Clock::now() - engine.LoadLag;
  while (engine.Samples.size() > 1 && engine.Samples[1].At <= reportedTime)
    engine.Samples.pop_front();
  engine.Server->after(SampleEvery, [&engine] { sampleLoad(engine); });
}

void sendLoad(const Engine &engine, const Request &req) {
  LoadSample sample = engine.LoadLag.count() == 0 || engine.Samples.empty()
                          ? sampleNow(engine)
                          : engine.Samples.front();
  auto age = std::chrono::duration_cast<milliseconds>(Clock::now() - sample.At);
  sendJson(req, HTTP_OK,
           {{"running", sample.Running},
            {"waiting", sample.Waiting},
            {"slots", engine.Streams.Settings.Slots},
            {"cache_tokens", sample.CacheTokens},
            {"as_of_ms", epochMs() - age.count()}});
}

void sendCacheEvents(const Engine &engine, const Request &req) {
  std::uint64_t after = queryNumber(req, "after", 0);
  boost::json::array events;
  auto now = Clock::now();
  for (const CacheEvent &it : engine.Streams.Cache.Events)
    if (it.Number > after && it.VisibleAt <= now)
      events.push_back({{"n", it.Number},
                        {"kind", it.Stored ? "stored" : "removed"},
                        {"cache_key", it.CacheKey}});
  sendJson(req, HTTP_OK, boost::json::object{{"events", std::move(events)}});
}

void serveKv(Engine &engine, const Request &req) {
  std::string id = req.Path.substr(KvPrefix.size());
  if (req.Method == "PUT") {
    if (engine.ImportedKv.size() < MaxImported)
      engine.ImportedKv.insert(id);
    return sendJson(req, HTTP_OK, boost::json::object());
  }
  const Stream *stream = findStream(engine.Streams, id);
  if (!stream)
    return sendJson(req, HTTP_NOTFOUND, boost::json::object());
  sendJson(req, HTTP_OK,
           {{"id", id},
            {"next", stream->Next},
            {"tokens", stream->PromptTokens + stream->Next}});
}

void serveOrder(Engine &engine, const Request &req) {
  OrderAnswer answer = applyOrder(engine.Orders, bodyObject(req));
  scheduleStep(engine);
  sendJson(req, answer.Status, answer.Body);
}

void sendRuns(const Engine &engine, const Request &req) {
  boost::json::object streams;
  for (const auto &[id, n] : engine.StartsById)
    streams[id] = n;
  sendJson(req, HTTP_OK,
           {{"streams", std::move(streams)},
            {"started", engine.Started},
            {"cancelled", engine.Cancelled},
            {"tokens", engine.Tokens},
            {"cache_hits", engine.Streams.Cache.Hits},
            {"running", engine.Streams.Running.size()},
            {"waiting", engine.Streams.Waiting.size()}});
}

void sendSteps(const Engine &engine, const Request &req) {
  boost::json::array steps;
  for (const ExecutedStep &it : engine.Orders.Steps)
    steps.push_back({{"step", it.Step}, {"map", it.Map}});
  sendJson(req, HTTP_OK, boost::json::object{{"steps", std::move(steps)}});
}

void serve(Engine &engine, const Request &req) {
  if (req.Path == "/v1/streams")
    return startStream(engine, req);
  if (req.Path.starts_with(StreamsPrefix))
    return serveStream(engine, req);
  if (req.Path == "/v1/load")
    return sendLoad(engine, req);
  if (req.Path == "/v1/cache_events")
    return sendCacheEvents(engine, req);
  if (req.Path.starts_with(KvPrefix))
    return serveKv(engine, req);
  if (req.Path == "/v1/orders" && req.Method == "POST")
    return serveOrder(engine, req);
  if (req.Path == "/v1/orders")
    return sendJson(req, HTTP_OK, orderStateJson(engine.Orders));
  if (req.Path == "/test/runs")
    return sendRuns(engine, req);
  if (req.Path == "/test/steps")
    return sendSteps(engine, req);
  sendJson(req, HTTP_NOTFOUND, boost::json::object());
}

microseconds fromMs(double ms) {
  constexpr double microsecondsPerMs = 1000;
  return microseconds(static_cast<std::int64_t>(ms * microsecondsPerMs));
}

} // namespace

int main(int argc, char **argv) {
  int port = 0;
  double stepMs = 10;
  double cacheDelayMs = 200;
  double perStreamUs = 0;
  double prefillUs = 0;
  std::int64_t loadLagMs = 0;
  std::vector<std::string> models;
  Engine engine;
  BatchSettings &batch = engine.Streams.Settings;
  CLI::App app("Stand-in for a model engine");
  app.add_option("--port", port, "port on 127.0.0.1; 0 picks a free one");
  app.add_option("--slots", batch.Slots, "streams that run at a time");
  app.add_option("--queue", batch.MaxWaiting, "streams that may wait");
  app.add_option("--step-ms", stepMs, "time of a step, milliseconds");
  app.add_option("--step-per-stream-us", perStreamUs,
                 "time added for each running stream, microseconds");
  app.add_option("--prefill-us-per-token", prefillUs,
                 "time of a prompt token, microseconds");
  app.add_flag("--preempt", batch.Preempt,
               "a waiting stream of better priority replaces a running one");
  app.add_option("--cache-entries", batch.CacheEntries, "cached prefixes");
  app.add_option("--cache-event-delay-ms", cacheDelayMs,
                 "delay of cache events, milliseconds");
  app.add_option("--cache-event-gap", batch.CacheEventGap,
                 "each n-th cache event is lost; 0: none");
  app.add_option("--load-lag-ms", loadLagMs, "lag of the load report");
  app.add_option("--crash-key", engine.CrashKey,
                 "ends with status 70 when a draft with this cache key begins");
  app.add_option("--model", models, "models loaded at the start");
  app.add_flag("--check-fencing,!--ignore-fencing", engine.Orders.ChecksFencing,
               "whether old fencing numbers are refused");
  CLI11_PARSE(app, argc, argv);
  batch.Step = fromMs(stepMs);
  batch.StepPerStream = microseconds(static_cast<std::int64_t>(perStreamUs));
  batch.PrefillPerToken = microseconds(static_cast<std::int64_t>(prefillUs));
  batch.CacheEventDelay = fromMs(cacheDelayMs);
  engine.LoadLag = milliseconds(loadLagMs);
  engine.Orders.Models.insert(models.begin(), models.end());
  HttpServer server(port,
                    [&engine](const Request &req) { serve(engine, req); });
  engine.Server = &server;
  if (loadLagMs > 0)
    sampleLoad(engine);
  return server.run();
}
