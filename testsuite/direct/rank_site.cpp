#include "rank_site.h"

#include "platform/rank_dialect.h"

namespace greengagespar::site {

namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

constexpr int Ok = 200;
constexpr int Accepted = 202;
constexpr int Refused = 409;

json::value orNull(const std::optional<std::uint64_t> &n) {
  return n ? json::value(*n) : json::value(nullptr);
}

std::uint64_t numberAt(const json::object &from, const char *name) {
  return from.at(name).to_number<std::uint64_t>();
}

} // namespace

Address rankAddress(std::size_t rank, const Address &samePort) {
  std::string port = samePort.Value.substr(samePort.Value.rfind(':'));
  return {"127.0.0." + std::to_string(rank + 2) + port};
}

FakeRank::FakeRank(event_base *loop, std::size_t self, std::size_t size,
                   Address at)
    : Loop(loop), Self(self), Size(size), At(std::move(at)),
      CallListener(loop, {},
                   [this](const HttpRequestMessage &request,
                          const std::shared_ptr<HttpReply> &reply) {
                     onCall(request, reply);
                   }),
      Counts(Experts) {
  if (!CallListener.listen(At))
    throw std::runtime_error("a rank can't listen");
  json::array own;
  for (std::size_t e = self; e < Experts; e += size)
    own.emplace_back(e);
  ExpertsByMap[0] = {own};
  SerializedMaps[0] = "first";
}

void FakeRank::beginPass(std::uint64_t step) {
  Step = step;
  for (std::size_t e = 0; e < Experts; ++e)
    Counts[e] += e == PreferredExpert ? 40 : 4;
  if (!Armed || Armed->Step != step)
    return;
  InUse = Armed->Map;
  Armed.reset();
  Prepared.reset();
}

void FakeRank::leaveArmed(std::uint64_t map, std::uint64_t step,
                          bool holdsStep) {
  leavePrepared(map, step, holdsStep);
  Armed = ArmedMap{map, step};
}

void FakeRank::leavePrepared(std::uint64_t map, std::uint64_t step,
                             bool holdsStep) {
  Highest = map;
  Prepared = map;
  if (holdsStep)
    Held = step;
}

int FakeRank::prepare(const json::object &order) {
  std::uint64_t map = numberAt(order, "version");
  if (Armed || map <= Highest)
    return Refused;
  Highest = map;
  Prepared = map;
  SerializedMaps[map] = json::serialize(order.at("map"));
  json::array own;
  for (const json::value &layer : order.at("map").as_array())
    own.push_back(layer.as_array().at(Self));
  ExpertsByMap[map] = own;
  return Accepted;
}

int FakeRank::applyOrder(const json::object &order) {
  int status = carryOut(order);
  Sequence += status == Refused ? 0 : 1;
  return status;
}

int FakeRank::carryOut(const json::object &order) {
  std::string kind(order.at("operation").as_string());
  if (kind == "prepare")
    return prepare(order);
  if (kind == "disarm") {
    if (!Armed || Armed->Map != numberAt(order, "version"))
      return Refused;
    Armed.reset();
    return Ok;
  }
  std::uint64_t step = numberAt(order, "step");
  if (kind == "go") {
    if (Held == step)
      Held.reset();
    return Ok;
  }
  if (step <= Step)
    return Refused;
  if (kind == "hold") {
    if (Held)
      return Refused;
    Held = step;
    return Ok;
  }
  if (Armed || Prepared != numberAt(order, "version"))
    return Refused;
  Armed = ArmedMap{*Prepared, step};
  return Ok;
}

json::object FakeRank::report() const {
  json::object armed;
  if (Armed)
    armed = {{"version", Armed->Map}, {"step", Armed->Step}};
  return {{"born", 1},
          {"sequence", Sequence},
          {"running", 1},
          {"waiting", 0},
          {"pace", 1},
          {"size", Size},
          {"step", Step},
          {"map", InUse},
          {"prepared", orNull(Prepared)},
          {"armed", Armed ? json::value(armed) : json::value(nullptr)},
          {"held", orNull(Held)},
          {"group",
           {{"name", Group}, {"epoch", 1}, {"rank", Self}, {"state", "open"}}}};
}

json::object FakeRank::picked(bool withLists) const {
  if (!withLists)
    return {{"step", Step}, {"epoch", 1}, {"counts", json::value_from(Counts)}};
  return {{"map", {{"version", InUse}, {"experts", ExpertsByMap.at(InUse)}}},
          {"prepared", nullptr}};
}

std::string FakeRank::answerTo(const HttpRequestMessage &request) {
  const std::string &target = request.Head.Target;
  int status = Ok;
  std::string body = "{}";
  if (target == "/-/report")
    body = json::serialize(report());
  else if (target.starts_with("/-/picked"))
    body = json::serialize(picked(target.find('?') != std::string::npos));
  else
    status = applyOrder(json::parse(request.Body).as_object());
  return "HTTP/1.1 " + std::to_string(status) +
         " X\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

void FakeRank::onCall(const HttpRequestMessage &request,
                      const std::shared_ptr<HttpReply> &reply) {
  const std::string &target = request.Head.Target;
  HttpFields fields{{"Content-Type", "application/json"}};
  if (target == "/-/report")
    return reply->sendWhole(Ok, fields, json::serialize(report()));
  if (target.starts_with("/-/picked"))
    return reply->sendWhole(
        Ok, fields,
        json::serialize(picked(target.find('?') != std::string::npos)));
  json::object order = json::parse(request.Body).as_object();
  const json::string &kind = order.at("operation").as_string();
  if (kind == LateAnsweredOperation.c_str()) {
    int status = applyOrder(order);
    DelayedOrders.push_back(
        std::make_unique<Timer>(Loop, [reply, status, fields] {
          reply->sendWhole(status, fields, "{}");
        }));
    return DelayedOrders.back()->start(AnswerDelay);
  }
  if (kind != DelayedOperation.c_str())
    return reply->sendWhole(applyOrder(order), fields, "{}");
  DelayedOrders.push_back(
      std::make_unique<Timer>(Loop, [this, order] { applyOrder(order); }));
  DelayedOrders.back()->start(OrderDelay);
}

RankSiteFixture::RankSiteFixture()
    : PassTimer(Loop.base(), [this] { beginPass(); }) {
  json::object config = configuration(1);
  config["services"].as_array()[0].as_object()["engine"] = {
      {"slots", 12},   {"experts", FakeRank::Experts},
      {"sets", 1},     {"placements", 4},
      {"spare", 2},    {"expertMb", 0.1},
      {"step_ms", 10}, {"linkMbps", 1000}};
  Objects.put("config", "main", config);
  Address link = freeAddress();
  Settings.RankPort = std::stoi(link.Value.substr(link.Value.rfind(':') + 1));
  Address server = freeAddress();
  for (std::size_t r = 0; r < Size; ++r) {
    Ranks.push_back(std::make_unique<FakeRank>(Loop.base(), r, Size,
                                               rankAddress(r, server)));
    Objects.put("servers", "i-" + std::to_string(r),
                {{"service", "helper"},
                 {"address", Ranks[r]->at().Value},
                 {"zone", "z"},
                 {"version", "v1"},
                 {"slots", 12},
                 {"state", "ready"},
                 {"coldRemainingMs", 0},
                 {"sequence", 1}});
    startAgent(r);
  }
  PassTimer.start(10ms);
}

void RankSiteFixture::startAgent(std::size_t rank) {
  Agents[rank].reset();
  RankAgentSettings settings = defaultRankAgentSettings();
  settings.Name = {"rank-" + std::to_string(rank)};
  settings.Server = Ranks[rank]->at();
  settings.Link =
      rankAddress(rank, {"127.0.0.1:" + std::to_string(Settings.RankPort)});
  Agents[rank] = std::make_unique<RankAgent>(Loop.base(), Context, settings,
                                             platformRankDialect());
  startOrThrow(*Agents[rank]);
}

bool RankSiteFixture::hasSwitched() const {
  std::uint64_t map = Ranks[0]->inUse();
  return map > 0 && std::ranges::all_of(Ranks, [&](const auto &it) {
           return it->inUse() == map;
         });
}

// All ranks begin the next pass together. While any rank holds the step, none
// of them begins it.
void RankSiteFixture::beginPass() {
  PassTimer.start(10ms);
  bool isHeld = std::ranges::any_of(
      Ranks, [&](const auto &it) { return it->holds(Step + 1); });
  if (isHeld)
    return;
  ++Step;
  for (const auto &it : Ranks)
    it->beginPass(Step);
  bool isMixed = std::ranges::any_of(Ranks, [&](const auto &it) {
    return it->inUse() != Ranks[0]->inUse() ||
           it->mapInUse() != Ranks[0]->mapInUse();
  });
  MixedPasses += isMixed ? 1 : 0;
}

} // namespace greengagespar::site
