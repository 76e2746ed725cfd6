#include "greengagespar/store/object_client.h"

#include "greengagespar/store/captured.h"
#include <charconv>
#include <numeric>
#include <utility>

namespace greengagespar {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusConflict = 409;
constexpr int StatusGone = 410;
constexpr int StatusTooLarge = 413;

boost::leaf::error_id failUnanswered(const HttpAnswer &answer) {
  if (!answer.Sent)
    return fail(ErrorKind::Overloaded,
                "platform call not sent: " + answer.Failure);
  if (answer.Status == 0)
    return fail(ErrorKind::PlatformUnavailable,
                "platform call lost, effect unknown: " + answer.Failure);
  return fail(ErrorKind::PlatformUnavailable,
              "platform answered " + std::to_string(answer.Status) +
                  ", effect unknown");
}

/// Parses the body of a successful answer with \p parse; fails on any other
/// status.
template <class T>
Result<T> readAnswer(const HttpAnswer &answer,
                     Result<T> (*parse)(std::string_view)) {
  if (answer.Status == StatusNotFound)
    return fail(ErrorKind::NotFound, "the platform has no such object");
  if (answer.Status != StatusOk)
    return failUnanswered(answer);
  return parse(answer.Body);
}

Result<WatchAnswer> watchAnswerOf(const HttpAnswer &answer,
                                  const ObjectApi &api) {
  if (answer.Status != StatusGone)
    return readAnswer(answer, api.ParseWatchAnswer);
  WatchAnswer old;
  old.TooOld = true;
  return old;
}

PutOutcome unknownOutcome(const HttpAnswer &answer) {
  PutOutcome outcome;
  outcome.Reason = answer.Status == 0
                       ? answer.Failure
                       : "status " + std::to_string(answer.Status);
  return outcome;
}

Result<PutOutcome> writeOutcomeOf(const HttpAnswer &answer,
                                  const ObjectApi &api) {
  if (!answer.Sent)
    return failUnanswered(answer);
  if (answer.Status == StatusTooLarge)
    return fail(ErrorKind::TooLarge, "the object is over the platform's limit");
  if (answer.Status == StatusNotFound)
    return fail(ErrorKind::NotFound, "the platform has no such object");
  if (answer.Status != StatusOk && answer.Status != StatusConflict)
    return unknownOutcome(answer);
  auto version = recoverFrom(
      [&]() -> Result<std::optional<ObjectVersion>> {
        BOOST_LEAF_AUTO(v, api.ParseVersion(answer.Body));
        return std::optional(v);
      },
      [](const Error &) { return std::optional<ObjectVersion>(); });
  if (!version)
    return unknownOutcome(answer);
  return PutOutcome{answer.Status == StatusOk ? WriteState::Written
                                              : WriteState::Conflict,
                    *version,
                    {}};
}

HttpPoolOptions poolOptionsOf(const ObjectClientOptions &options) {
  HttpPoolOptions pool;
  pool.Server = options.Platform;
  pool.MaxOrdinary = options.MaxConcurrent;
  pool.MaxLongPolls = options.MaxWatches;
  pool.KeepAlive = options.KeepAlive;
  pool.Header = options.Api->TimelineHeader;
  return pool;
}

// Returns the timeline that an answer states; 0 if it states none.
StoreTimeline timelineOf(const HttpAnswer &answer) {
  const std::string &text = answer.Header;
  StoreTimeline out;
  auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), out.Value);
  bool isWhole = ec == std::errc() && end == text.data() + text.size();
  return isWhole ? out : StoreTimeline{};
}

std::size_t indexOf(CallKind kind) { return static_cast<std::size_t>(kind); }

} // namespace

std::uint64_t totalSent(const CallCounts &counts) {
  return std::accumulate(counts.Sent.begin(), counts.Sent.end(),
                         std::uint64_t{0});
}

ObjectClient::ObjectClient(event_base *loop, ObjectClientOptions options)
    : Options(std::move(options)), Pool(loop, poolOptionsOf(Options)) {}

void ObjectClient::send(CallKind kind, HttpRequest request,
                        HttpPool::Callback done) {
  Pool.send(std::move(request),
            [this, kind, done = std::move(done)](HttpAnswer answer) {
              if (answer.Sent)
                ++Counts.Sent[indexOf(kind)];
              if (answer.Sent && answer.Status == 0)
                ++Counts.Lost[indexOf(kind)];
              noteTimeline(answer);
              done(std::move(answer));
            });
}

// Records the timeline of an answer, and reports that the store was restored if
// it is a later one than that of the answers before.
void ObjectClient::noteTimeline(const HttpAnswer &answer) {
  if (answer.Status == 0)
    return;
  StoreTimeline stated = timelineOf(answer);
  bool isRestored = std::exchange(IsAnswered, true) && stated > Timeline;
  StoreTimeline before = Timeline;
  Timeline = std::max(Timeline, stated);
  if (!isRestored)
    return;
  for (const auto &callback : RestoreCallbacks)
    callback(before);
}

void ObjectClient::write(CallKind kind, HttpRequest request,
                         Callback<PutOutcome> done) {
  send(kind, std::move(request),
       [done = std::move(done), api = Options.Api](const HttpAnswer &answer) {
         done(captured([&] { return writeOutcomeOf(answer, *api); }));
       });
}

void ObjectClient::get(const std::string &path, Callback<Object> done) {
  HttpRequest request{.Target = Options.Api->ObjectTarget(path, std::nullopt),
                      .Body = {},
                      .Timeout = Options.RequestTimeout};
  send(CallKind::Get, std::move(request),
       [done = std::move(done), api = Options.Api](const HttpAnswer &answer) {
         done(captured([&] { return readAnswer(answer, api->ParseObject); }));
       });
}

void ObjectClient::put(const std::string &path, const boost::json::value &value,
                       std::optional<ObjectVersion> ifVersion,
                       Callback<PutOutcome> done) {
  write(CallKind::Put,
        HttpRequest{.Method = HttpMethod::Put,
                    .Target = Options.Api->ObjectTarget(path, ifVersion),
                    .Body = Options.Api->WriteBody(path, value),
                    .Timeout = Options.RequestTimeout},
        std::move(done));
}

void ObjectClient::remove(const std::string &path,
                          std::optional<ObjectVersion> ifVersion,
                          Callback<PutOutcome> done) {
  write(CallKind::Remove,
        HttpRequest{.Method = HttpMethod::Delete,
                    .Target = Options.Api->ObjectTarget(path, ifVersion),
                    .Body = {},
                    .Timeout = Options.RequestTimeout},
        std::move(done));
}

void ObjectClient::list(const std::string &prefix, const std::string &after,
                        Callback<Listing> done) {
  HttpRequest request{.Target = Options.Api->ListTarget(prefix, after),
                      .Body = {},
                      .Timeout = Options.RequestTimeout};
  send(CallKind::List, std::move(request),
       [done = std::move(done), api = Options.Api](const HttpAnswer &answer) {
         done(captured([&] { return readAnswer(answer, api->ParseListing); }));
       });
}

void ObjectClient::watch(const std::string &prefix, ObjectVersion after,
                         std::chrono::milliseconds wait,
                         std::chrono::milliseconds grace,
                         Callback<WatchAnswer> done) {
  HttpRequest request{.Target = Options.Api->WatchTarget(prefix, after, wait),
                      .Body = {},
                      .Timeout = wait + grace,
                      .Kind = HttpRequestKind::LongPoll};
  send(CallKind::Watch, std::move(request),
       [done = std::move(done), api = Options.Api](const HttpAnswer &answer) {
         done(captured([&] { return watchAnswerOf(answer, *api); }));
       });
}

void ObjectClient::hosts(Callback<std::vector<HostRecord>> done) {
  HttpRequest request{
      .Target = "/v1/hosts", .Body = {}, .Timeout = Options.RequestTimeout};
  send(CallKind::Hosts, std::move(request),
       [done = std::move(done)](const HttpAnswer &answer) {
         done(captured([&] { return readAnswer(answer, parseHosts); }));
       });
}

} // namespace greengagespar
