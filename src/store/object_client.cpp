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

void setTimelineOf(Object &object, StoreTimeline timeline) {
  object.Version.Timeline = timeline;
}

// For a Listing or a WatchAnswer.
template <class T> void setTimelineOf(T &answer, StoreTimeline timeline) {
  answer.Revision.Timeline = timeline;
  for (Object &it : answer.Objects)
    setTimelineOf(it, timeline);
}

std::size_t indexOf(CallKind kind) { return static_cast<std::size_t>(kind); }

} // namespace

std::uint64_t totalSent(const CallCounts &counts) {
  return std::accumulate(counts.Sent.begin(), counts.Sent.end(),
                         std::uint64_t{0});
}

ObjectClient::ObjectClient(event_base *loop, ObjectClientOptions options)
    : Options(std::move(options)), Pool(loop, poolOptionsOf(Options)) {}

HttpRequestNumber ObjectClient::send(CallKind kind, HttpRequest request,
                                     HttpPool::Callback done) {
  return Pool.send(std::move(request),
                   [this, kind, done = std::move(done)](HttpAnswer answer) {
                     if (answer.Sent)
                       ++Counts.Sent[indexOf(kind)];
                     if (answer.Sent && answer.Status == 0)
                       ++Counts.Lost[indexOf(kind)];
                     done(checkTimeline(std::move(answer)));
                   });
}

// Follows the timeline that an answer states. Returns the answer, or in place
// of one of an earlier timeline that the answer was lost.
HttpAnswer ObjectClient::checkTimeline(HttpAnswer answer) {
  if (answer.Status == 0)
    return answer;
  StoreTimeline stated = timelineOf(answer);
  if (stated.Value > 0 && stated < Timeline) {
    HttpAnswer lost;
    lost.Failure = "the answer is from before the store was restored";
    return lost;
  }
  setTimeline(stated);
  return answer;
}

void ObjectClient::setTimeline(StoreTimeline stated) {
  bool isRestored = std::exchange(IsAnswered, true) && stated > Timeline;
  StoreTimeline before = Timeline;
  Timeline = std::max(Timeline, stated);
  if (!isRestored)
    return;
  for (const auto &callback : RestoreCallbacks)
    callback(before);
}

bool ObjectClient::isOutdated(
    const std::optional<ObjectVersion> &ifVersion) const {
  return ifVersion && ifVersion->Value > 0 && ifVersion->Timeline < Timeline;
}

template <class T>
void ObjectClient::read(CallKind kind, HttpRequest &&request,
                        Result<T> (*parse)(std::string_view),
                        Callback<T> done) {
  send(kind, std::move(request),
       [this, parse, done = std::move(done)](const HttpAnswer &answer) {
         done(captured([&]() -> Result<T> {
           BOOST_LEAF_AUTO(value, readAnswer(answer, parse));
           setTimelineOf(value, Timeline);
           return value;
         }));
       });
}

void ObjectClient::write(CallKind kind, HttpRequest request,
                         std::optional<ObjectVersion> ifVersion,
                         Callback<PutOutcome> done) {
  if (isOutdated(ifVersion))
    return Pool.refuse("", [done = std::move(done)](const HttpAnswer &) {
      done(PutOutcome{
          WriteState::Conflict, {}, "the store was restored meanwhile"});
    });
  send(kind, std::move(request),
       [this, ifVersion, done = std::move(done)](const HttpAnswer &answer) {
         done(captured([&]() -> Result<PutOutcome> {
           BOOST_LEAF_AUTO(outcome, writeOutcomeOf(answer, *Options.Api));
           outcome.Version.Timeline = Timeline;
           if (outcome.State == WriteState::Written && isOutdated(ifVersion))
             return PutOutcome{
                 WriteState::Unknown, {}, "the store was restored meanwhile"};
           return outcome;
         }));
       });
}

void ObjectClient::get(const std::string &path, Callback<Object> done) {
  HttpRequest request{.Target = Options.Api->ObjectTarget(path, std::nullopt),
                      .Body = {},
                      .Timeout = Options.RequestTimeout};
  read(CallKind::Get, std::move(request), Options.Api->ParseObject,
       std::move(done));
}

void ObjectClient::put(const std::string &path, const boost::json::value &value,
                       std::optional<ObjectVersion> ifVersion,
                       Callback<PutOutcome> done) {
  write(CallKind::Put,
        HttpRequest{.Method = HttpMethod::Put,
                    .Target = Options.Api->ObjectTarget(path, ifVersion),
                    .Body = Options.Api->WriteBody(path, value),
                    .Timeout = Options.RequestTimeout},
        ifVersion, std::move(done));
}

void ObjectClient::remove(const std::string &path,
                          std::optional<ObjectVersion> ifVersion,
                          Callback<PutOutcome> done) {
  write(CallKind::Remove,
        HttpRequest{.Method = HttpMethod::Delete,
                    .Target = Options.Api->ObjectTarget(path, ifVersion),
                    .Body = {},
                    .Timeout = Options.RequestTimeout},
        ifVersion, std::move(done));
}

void ObjectClient::list(const std::string &prefix, const std::string &after,
                        Callback<Listing> done) {
  HttpRequest request{.Target = Options.Api->ListTarget(prefix, after),
                      .Body = {},
                      .Timeout = Options.RequestTimeout};
  read(CallKind::List, std::move(request), Options.Api->ParseListing,
       std::move(done));
}

HttpRequestNumber ObjectClient::watch(const std::string &prefix,
                                      ObjectVersion after,
                                      std::chrono::milliseconds wait,
                                      std::chrono::milliseconds grace,
                                      Callback<WatchAnswer> done) {
  HttpRequest request{.Target = Options.Api->WatchTarget(prefix, after, wait),
                      .Body = {},
                      .Timeout = wait + grace,
                      .Kind = HttpRequestKind::LongPoll};
  return send(CallKind::Watch, std::move(request),
              [this, done = std::move(done)](const HttpAnswer &answer) {
                done(captured([&]() -> Result<WatchAnswer> {
                  BOOST_LEAF_AUTO(value, watchAnswerOf(answer, *Options.Api));
                  setTimelineOf(value, Timeline);
                  return value;
                }));
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
