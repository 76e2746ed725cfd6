#include "greengagespar/direct/site_follower.h"

#include "greengagespar/base/log.h"
#include "greengagespar/base/log_output.h"
#include "greengagespar/base/schema.h"
#include <boost/json.hpp>
#include <utility>

namespace greengagespar {

namespace json = boost::json;

namespace {

using std::chrono::milliseconds;

// Longest time that the store holds a poll. It is below the time for which the
// platform keeps the history that a poll goes on from.
constexpr milliseconds MaxPollWait{15000};
// The share of the time allowed to a change that lies between the ends of two
// entries' polls. The rest is for the answer to the next poll and for telling
// the other entries.
constexpr double PollGapShare = 0.75;
// Other entries are told of a change for this long, in several rounds of
// heartbeats.
constexpr milliseconds NewsAge{4000};
// Times between two polls, which limit the number of calls when there are many
// changes: each entry polls, and hundreds of servers may start at once. They
// are well below the two seconds in which a change has to be in force.
constexpr PauseOptions PollPause{milliseconds{100}, milliseconds{700}};
// The store usually answers in milliseconds; when it is slow, it takes 60 to
// 100 times as long.
constexpr milliseconds CallTimeout{2000};
constexpr GraceOptions PollGrace{milliseconds{1000}, milliseconds{2000}};
// Delays between calls to a store that doesn't answer. Servers register again
// about 2 s after the store is available again, and changes have to be in force
// after 2 s, so the entry has to notice the store's return well within one
// second.
constexpr BackoffOptions Retry{milliseconds{200}, milliseconds{800}};
// The same for the orders about data centres. Another watch finds out that the
// store answers again, and then this one asks at once: each call has a price,
// and two watches that try are enough.
constexpr BackoffOptions OrderRetry{milliseconds{1000}, milliseconds{8000}};
// Unreadable entries that are remembered so that each is logged once.
constexpr std::size_t MaxLoggedUnreadable = 256;

ObjectClientOptions clientOptions(const Address &store,
                                  const SiteDialect &dialect) {
  ObjectClientOptions options = clientOptionsFor(store);
  options.Api = dialect.Objects;
  options.RequestTimeout = CallTimeout;
  options.KeepAlive.On = true;
  return options;
}

PrefixWatchOptions watchOptions(const std::string &prefix,
                                const SiteFollowerHooks &hooks,
                                const BackoffOptions &retry = Retry) {
  PrefixWatchOptions options;
  options.Prefix = prefix;
  options.Slot = hooks.Slot;
  options.Pause = PollPause;
  options.Grace = PollGrace;
  options.Retry = retry;
  return options;
}

PollSpread spreadFor(milliseconds changeTime) {
  return {MaxPollWait,
          std::chrono::duration_cast<milliseconds>(changeTime * PollGapShare)};
}

std::string nameOf(const std::string &path) {
  return path.substr(path.rfind('/') + 1);
}

// Returns all services that the configuration names.
std::set<ServiceId> servicesIn(const SiteConfiguration &site) {
  std::set<ServiceId> services;
  for (const auto &[id, backend] : site.Backends)
    services.insert(id);
  for (const Route &route : site.Routes)
    for (const ServiceShare &it : route.Services)
      services.insert(it.Service);
  return services;
}

// Returns the id of the server whose registration has \p path.
ServerId idOf(const std::string &path) { return {nameOf(path)}; }

} // namespace

SiteFollower::SiteFollower(event_base *loop, const Address &store,
                           const SiteDialect &dialect, std::uint64_t seed,
                           SiteFollowerHooks hooks)
    : Dialect(dialect), Hooks(std::move(hooks)),
      Client(loop, clientOptions(store, dialect)),
      Configurations(
          loop, Client, watchOptions(dialect.ConfigurationPrefix, Hooks), seed,
          [this](const PrefixChange &it) { onConfiguration(it); },
          [this](const Error &e) { onStoreUnavailable(e); }),
      Servers(
          loop, Client, watchOptions(dialect.ServersPrefix, Hooks), seed + 1,
          [this](const PrefixChange &it) { onServers(it); },
          [this](const Error &e) { onStoreUnavailable(e); }),
      Orders(
          loop, Client,
          watchOptions(dialect.OutOfServicePrefix, Hooks, OrderRetry), seed + 2,
          [this](const PrefixChange &it) { onOrders(it); },
          [this](const Error &e) {
            AreOrdersLost = true;
            onStoreUnavailable(e);
          }) {
  Client.onRestore([this](StoreTimeline before) { onStoreRestored(before); });
}

void SiteFollower::setChangeTime(milliseconds time) {
  PollSpread spread = spreadFor(time);
  Configurations.setSpread(spread);
  Servers.setSpread(spread);
}

void SiteFollower::setOutOfServiceTime(milliseconds time) {
  FollowsOrders = time > milliseconds::zero();
  Orders.setSpread(spreadFor(time));
  if (FollowsOrders && IsStarted)
    Orders.start();
  else if (!FollowsOrders)
    Orders.stop();
}

StoreNews SiteFollower::news(Clock::time_point now) const {
  auto recent = [now](const PrefixWatch &watch) {
    bool isRecent = now - watch.lastChangeAt() <= NewsAge;
    return isRecent ? watch.lastChange() : ObjectVersion();
  };
  return {recent(Configurations), recent(Servers)};
}

void SiteFollower::expect(const StoreNews &news) {
  Configurations.expect(news.Configuration);
  Servers.expect(news.Servers);
}

std::uint64_t SiteFollower::overtakenPolls() const {
  return Configurations.overtakenPolls() + Servers.overtakenPolls();
}

void SiteFollower::start() {
  IsStarted = true;
  // First, so that a starting entry knows its servers' state when they come.
  if (FollowsOrders)
    Orders.start();
  Configurations.start();
  Servers.start();
}

void SiteFollower::onStoreAnswered() {
  auto now = Clock::now();
  if (UnavailableSince)
    logInfo(Part::Platform, LogLine("store_regained")
                                .addMs("away_ms", now - *UnavailableSince)
                                .text());
  UnavailableSince.reset();
  AnsweredAt = now;
  recordStoreAnswer(Known, now);
}

void SiteFollower::onStoreRestored(StoreTimeline before) {
  logWarning(
      Part::Platform,
      LogLine("store_restored")
          .add("timeline", static_cast<std::int64_t>(storeTimeline().Value))
          .add("before", static_cast<std::int64_t>(before.Value))
          .addMs("silent_ms", storeSilence(Clock::now()))
          .text());
  recordRestore(Known, Clock::now());
}

Clock::duration SiteFollower::storeSilence(Clock::time_point now) const {
  return AnsweredAt ? now - *AnsweredAt : Clock::duration::zero();
}

void SiteFollower::onStoreUnavailable(const Error &error) {
  if (!UnavailableSince) {
    UnavailableSince = Clock::now();
    logWarning(Part::Platform,
               LogLine("store_lost").add("why", error.Message).text());
  }
  recordStoreUnavailable(Known);
}

void SiteFollower::applyConfiguration(const json::value &value,
                                      std::string_view source) {
  recoverFrom(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(site, Dialect.ReadConfiguration(value));
        Generation known = Table ? Table->Site.Version : Generation{};
        if (site.Version < known)
          logInfo(
              Part::Contract,
              LogLine("configuration_older")
                  .add("version", static_cast<std::int64_t>(site.Version.Value))
                  .add("in_force", static_cast<std::int64_t>(known.Value))
                  .add("from", source)
                  .text());
        if (site.Version <= known)
          return {};
        logLeftOut("configuration", site.LeftOut);
        logInfo(
            Part::Contract,
            LogLine("configuration_in_force")
                .add("version", static_cast<std::int64_t>(site.Version.Value))
                .add("before", static_cast<std::int64_t>(known.Value))
                .add("from", source)
                .add("routes", static_cast<std::int64_t>(site.Routes.size()))
                .add("keys", static_cast<std::int64_t>(site.Keys.size()))
                .text());
        Declared = value;
        Table = makeRouteTable(std::move(site));
        Hooks.OnConfiguration(Table);
        report(recordServices(Known, servicesIn(Table->Site)));
        return {};
      },
      [&](const Error &e) {
        logError(Part::Contract, LogLine("configuration_refused")
                                     .add("from", source)
                                     .add("why", e.Message)
                                     .text());
      });
}

// Asks for the orders at once if the last call about them has failed. The store
// has just answered another one.
void SiteFollower::retryOrders() {
  if (!std::exchange(AreOrdersLost, false) || !FollowsOrders)
    return;
  Orders.stop();
  Orders.start();
}

void SiteFollower::onConfiguration(const PrefixChange &change) {
  onStoreAnswered();
  retryOrders();
  logUnreadable(change.Unreadable);
  for (const Object &it : change.Objects)
    applyConfiguration(it.Value, "store");
}

// Logs each unreadable entry once, as the store returns it with each list.
void SiteFollower::logUnreadable(const std::vector<std::string> &entries) {
  for (const std::string &it : entries) {
    if (LoggedUnreadable.size() >= MaxLoggedUnreadable)
      LoggedUnreadable.clear();
    if (LoggedUnreadable.insert(it).second)
      logWarning(Part::Platform,
                 LogLine("store_entry_unreadable").add("entry", it).text());
  }
}

// Logs each member of `names` of the object `path` that was not valid, once: a
// server writes its registration again and again.
void SiteFollower::logLeftOut(const std::string &path,
                              const std::vector<std::string> &names) {
  for (const std::string &it : names)
    logUnreadable({std::string(it).append(" of ").append(path)});
}

std::vector<ServerRecord>
SiteFollower::readServers(const std::vector<Object> &objects) {
  std::vector<ServerRecord> records;
  for (const Object &it : objects)
    recoverFrom(
        [&]() -> Result<void> {
          BOOST_LEAF_AUTO(record, Dialect.ReadServer(it));
          logLeftOut(it.Path, record.LeftOut);
          records.push_back(std::move(record));
          ServerValues[it.Path] = it.Value;
          return {};
        },
        [&](const Error &e) {
          logWarning(Part::Host, LogLine("server_entry_skipped")
                                     .add("path", it.Path)
                                     .add("why", e.Message)
                                     .text());
        });
  return records;
}

void SiteFollower::onServers(const PrefixChange &change) {
  onStoreAnswered();
  retryOrders();
  logUnreadable(change.Unreadable);
  auto now = Clock::now();
  std::vector<ServerRecord> records = readServers(change.Objects);
  bool isList = change.IsSnapshot || change.IsIncompleteList;
  report(isList ? recordListing(Known, records, change.IsRestored, now)
                : recordRegistrations(Known, records));
  std::vector<ServerId> missing;
  if (change.IsSnapshot)
    missing = missingFrom(Known, records);
  for (const std::string &path : change.Deleted) {
    missing.push_back(idOf(path));
    ServerValues.erase(path);
  }
  report(recordMissing(Known, missing, now));
  if (change.IsSnapshot)
    std::erase_if(ServerValues, [&](const auto &it) {
      ServerId id = idOf(it.first);
      return !Known.Servers.contains(id) && !Known.Doubtful.contains(id);
    });
  if (change.IsRestored)
    logInfo(
        Part::Host,
        LogLine("servers_restored")
            .add("listed", static_cast<std::int64_t>(records.size()))
            .add("missing", static_cast<std::int64_t>(missing.size()))
            .add("doubtful", static_cast<std::int64_t>(Known.Doubtful.size()))
            .text());
  HasServers = HasServers || isList;
}

void SiteFollower::onOrders(const PrefixChange &change) {
  AreOrdersLost = false;
  onStoreAnswered();
  logUnreadable(change.Unreadable);
  OrderReport orders;
  orders.IsSnapshot = change.IsSnapshot;
  orders.At = change.Revision;
  for (const Object &it : change.Objects)
    if (std::string name = nameOf(it.Path); isIdText(name))
      orders.InForce[{std::move(name)}] = it.Version;
    else
      logUnreadable({"out of service: no name of a data centre: " + it.Path});
  for (const std::string &path : change.Deleted)
    orders.Withdrawn.insert({nameOf(path)});
  if (Hooks.OnOrders)
    Hooks.OnOrders(orders);
}

void SiteFollower::report(const ServerChanges &changes) {
  for (const ServerRecord &it : changes.Updated)
    logInfo(Part::Host, LogLine("server")
                            .add("server", it.Id.Value)
                            .add("service", it.Service.Value)
                            .add("at", it.At.Value)
                            .add("state", it.Leaving ? "leaving" : "ready")
                            .text());
  for (const ServerRecord &it : changes.Removed)
    logInfo(Part::Host,
            LogLine("server_gone").add("server", it.Id.Value).text());
  if (!changes.Updated.empty() || !changes.Removed.empty() ||
      !changes.Cold.empty())
    Hooks.OnServers(changes);
}

void SiteFollower::findElsewhere(
    const std::function<bool(const ServerRecord &)> &isElsewhere) {
  report(recordElsewhere(Known, isElsewhere));
}

void SiteFollower::tick(Clock::time_point now) {
  report(removeExpired(Known, now));
  report(recordConfirmed(Known, now));
}

std::string SiteFollower::snapshotSince(Generation since) const {
  if (!Table || Table->Site.Version <= since)
    return {};
  json::array servers;
  // A value of a doubtful server may be older than what is known of it.
  for (const auto &[path, value] : ServerValues)
    if (ServerId id = idOf(path);
        Known.Servers.contains(id) && !Known.Doubtful.contains(id))
      servers.push_back({{"path", path}, {"value", value}});
  return json::serialize(
      json::object{{"configuration", Declared}, {"servers", servers}});
}

void SiteFollower::applySnapshot(const std::string &text) {
  json::error_code ec;
  json::value parsed = json::parse(text, ec);
  const json::object *snapshot = ec ? nullptr : parsed.if_object();
  const json::value *declared =
      snapshot ? snapshot->if_contains("configuration") : nullptr;
  const json::value *servers =
      snapshot ? snapshot->if_contains("servers") : nullptr;
  if (!declared || !servers || !servers->is_array()) {
    logWarning(Part::Contract, "snapshot_refused why=malformed");
    return;
  }
  applyConfiguration(*declared, "peer");
  if (HasServers)
    return;
  std::vector<Object> objects;
  for (const json::value &it : servers->get_array()) {
    const json::object *entry = it.if_object();
    if (!entry || !entry->contains("path") || !entry->contains("value") ||
        !entry->at("path").is_string())
      continue;
    Object object;
    object.Path = std::string(entry->at("path").get_string());
    object.Value = entry->at("value");
    objects.push_back(std::move(object));
  }
  report(recordRegistrations(Known, readServers(objects)));
}

} // namespace greengagespar
