#include "greengagespar/direct/rank_server_client.h"

#include "greengagespar/base/log.h"
#include "greengagespar/base/log_output.h"
#include <tuple>

namespace greengagespar {

namespace {

// Largest answer of a rank's server: the counts and places of some ten thousand
// experts.
constexpr std::size_t MaxAnswerBytes = std::size_t{1} << 20;

constexpr int StatusOk = 200;
constexpr int StatusAccepted = 202;

template <class T> using BodyReader = Result<T> (*)(std::string_view);

template <class T>
Result<T> readAnswer(int status, const std::string &body, BodyReader<T> read) {
  if (status != StatusOk)
    return fail(ErrorKind::EndpointFailed, "status " + std::to_string(status));
  return read(body);
}

// Reads the body of an answer with \p read. Logs at \p level and returns
// nothing when the status is not OK or the body can't be read. \p what: the
// name of the body in the log line.
template <class T>
std::optional<T> readBody(int status, const std::string &body,
                          BodyReader<T> read, std::string_view what,
                          LogLevel level) {
  std::optional<T> out;
  recoverFrom(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(value, readAnswer(status, body, read));
        out = std::move(value);
        return {};
      },
      [&](const Error &e) {
        logMessage(Part::Group, level,
                   LogLine("server_unreadable")
                       .add("what", what)
                       .add("why", e.Message)
                       .text());
      });
  return out;
}

// Returns whether \p state was reported before \p last. Within one epoch of a
// server process, all of these only rise; a map stays prepared or armed
// until the rank has begun its step.
bool isOlder(const RankServerState &state, const RankServerState &last) {
  auto lifeOf = [](const RankServerState &it) {
    return std::tuple(it.StartedMs, it.Epoch);
  };
  if (lifeOf(state) != lifeOf(last) || state.Group != last.Group)
    return lifeOf(state) < lifeOf(last);
  if (state.Sequence < last.Sequence || state.Step < last.Step ||
      state.InUse < last.InUse)
    return true;
  bool hasLost = state.Prepared < last.Prepared || (last.Armed && !state.Armed);
  return hasLost && state.Sequence == last.Sequence && state.Step == last.Step;
}

} // namespace

RankServerClient::RankServerClient(event_base *loop, Address server,
                                   const RankDialect &dialect)
    : Loop(loop), Server(std::move(server)), Dialect(dialect),
      Timeout(loop, [this] { finishCall(0); }) {}

void RankServerClient::setServer(const Address &server) {
  if (Server != server)
    Connection.reset();
  Server = server;
}

void RankServerClient::readState(
    std::function<void(const std::optional<RankServerState> &)> done) {
  get(Dialect.StateTarget,
      [this, done = std::move(done)](int status, const std::string &body,
                                     bool isCertain) {
        auto it =
            readBody(status, body, Dialect.ReadState, "state", LogLevel::Debug);
        bool isDue = it && !(LastState && isOlder(*it, *LastState));
        if (!isDue && !isCertain)
          return false;
        if (it)
          LastState = it;
        done(it);
        return true;
      });
}

void RankServerClient::readCounts(
    std::function<void(const std::vector<std::uint64_t> &)> done) {
  get(Dialect.CountsTarget,
      [this, done = std::move(done)](int status, const std::string &body,
                                     bool isCertain) {
        auto it = readBody(status, body, Dialect.ReadCounts, "counts",
                           isCertain ? LogLevel::Warning : LogLevel::Debug);
        if (!it)
          return false;
        done(*it);
        return true;
      });
}

void RankServerClient::readPlaces(
    std::function<void(const std::vector<std::vector<Expert>> &)> done) {
  get(Dialect.PlacesTarget,
      [this, done = std::move(done)](int status, const std::string &body,
                                     bool isCertain) {
        auto it = readBody(status, body, Dialect.ReadPlaces, "places",
                           isCertain ? LogLevel::Warning : LogLevel::Debug);
        if (!it)
          return false;
        done(*it);
        return true;
      });
}

void RankServerClient::sendOrder(const RankServerOrder &order,
                                 const RankPlaces &places,
                                 std::function<void(bool)> done) {
  std::string body = Dialect.WriteOrder(order, places);
  std::string text = "POST " + Dialect.OrderTarget +
                     " HTTP/1.1\r\nHost: " + Server.Value +
                     "\r\nContent-Type: application/json\r\nContent-Length: " +
                     std::to_string(body.size()) + "\r\n\r\n" + body;
  auto sentAt = Clock::now();
  enqueue({std::move(text), order.Kind == ServerMapOrder::Prepare,
           [this, order, sentAt,
            done = std::move(done)](int status, const std::string &, bool) {
             logInfo(
                 Part::Group,
                 LogLine("map_order")
                     .add("server", Server.Value)
                     .add("order", Dialect.OrderName(order.Kind))
                     .add("map", static_cast<std::int64_t>(order.Map.Value))
                     .add("step", static_cast<std::int64_t>(order.Step.Value))
                     .add("epoch", static_cast<std::int64_t>(order.Epoch))
                     .add("status", status)
                     .addMs("took_ms", Clock::now() - sentAt)
                     .text());
             done(status == StatusOk || status == StatusAccepted);
             return true;
           }});
}

void RankServerClient::get(const std::string &target,
                           std::function<bool(int, std::string, bool)> take) {
  enqueue({"GET " + target + " HTTP/1.1\r\nHost: " + Server.Value + "\r\n\r\n",
           false, std::move(take)});
}

bool RankServerClient::canCarry(const Call &call) const {
  bool isUsable = Connection && Connection->isReusable() &&
                  Clock::now() < Connection->usableUntil();
  return isUsable && !call.NeedsNewConnection;
}

void RankServerClient::enqueue(Call call) {
  Calls.push_back(std::move(call));
  startNext();
}

void RankServerClient::startNext() {
  if (IsCalling || Calls.empty())
    return;
  IsCalling = true;
  Body.clear();
  Status = 0;
  const Call &call = Calls.front();
  if (!canCarry(call)) {
    Connection =
        std::make_unique<HttpClientConnection>(Loop, Server, RankCallTimeout);
  }
  IsCertain = Connection->answers() == 0;
  ExchangeEvents events;
  events.OnHead = [this](const HttpHead &head) {
    Status = head.Status;
    return true;
  };
  events.OnBody = [this](std::string_view piece) {
    Body.append(piece);
    if (Body.size() > MaxAnswerBytes)
      finishCall(0);
  };
  events.OnEnd = [this](ExchangeEnd how, std::string_view) {
    finishCall(how == ExchangeEnd::Complete ? Status : 0);
  };
  Connection->send(call.Text, false, std::move(events));
  Timeout.start(RankCallTimeout);
}

void RankServerClient::finishCall(int status) {
  if (!IsCalling)
    return;
  Timeout.stop();
  IsCalling = false;
  if (status == 0)
    Connection.reset();
  Call ended = std::move(Calls.front());
  Calls.pop_front();
  // A call without an answer is not sent again.
  bool isLast = IsCertain || status == 0;
  if (!ended.Take(status, std::move(Body), isLast) && !isLast) {
    Connection.reset();
    Calls.push_front(std::move(ended));
  }
  startNext();
}

} // namespace greengagespar
