#include "greengagespar/config/platform_reader.h"

#include "greengagespar/store/captured.h"
#include <utility>

namespace greengagespar {

namespace {

/// Up to this many teams are read with one call each. For more teams, one call
/// lists all accepted settings.
constexpr std::size_t MaxSingleReads = 4;

constexpr const char *AcceptedPrefix = "/system/accepted/";

Result<IndexObject> indexObjectOf(const Object &object) {
  BOOST_LEAF_AUTO(index, readIndex(object.Value));
  return IndexObject{std::move(index), object.Version};
}

} // namespace

void PlatformReader::readIndexObject(
    std::function<void(Result<IndexObject>)> done) {
  auto answered = [done = std::move(done)](Result<Object> result) {
    done(captured([&]() -> Result<IndexObject> {
      return boost::leaf::try_handle_some(
          [&]() -> Result<IndexObject> {
            BOOST_LEAF_AUTO(object, std::move(result));
            return indexObjectOf(object);
          },
          [](const Error &e) -> Result<IndexObject> {
            if (e.Kind == ErrorKind::NotFound)
              return IndexObject{};
            return fail(e.Kind, e.Message);
          });
    }));
  };
  Client.get(IndexPath, CallbackGuard.wrap(std::move(answered)));
}

void PlatformReader::read(const Snapshot &held, Callback done) {
  Next = held;
  Done = std::move(done);
  readIndexObject([this](Result<IndexObject> result) {
    recoverFrom(
        [&]() -> Result<void> {
          BOOST_LEAF_AUTO(index, std::move(result));
          readAccepted(Next, index.Value, std::move(Done));
          return {};
        },
        [&](const Error &e) { finish(&e); });
  });
}

void PlatformReader::readAccepted(const Snapshot &held, const Index &index,
                                  Callback done) {
  ++ReadNumber;
  Done = std::move(done);
  std::vector<TeamId> teams;
  // A stale index needs no reads: the held settings are newer.
  if (index.At >= held.At)
    teams = teamsToFetch(held, index);
  Next = held;
  Next.At = index.At;
  PendingTeams = teams.size();
  if (teams.empty())
    finish(nullptr);
  else if (teams.size() <= MaxSingleReads)
    fetchEach(index, teams);
  else
    fetchAll(index, teams);
}

void PlatformReader::fetchEach(const Index &index,
                               const std::vector<TeamId> &teams) {
  for (const TeamId &team : teams) {
    const AcceptedTeam &accepted = index.Teams.at(team);
    auto done = [this, team, accepted,
                 readNumber = ReadNumber](Result<Object> result) {
      if (readNumber == ReadNumber)
        addTeam(team, accepted, std::move(result));
    };
    Client.get(acceptedPath(team, accepted), CallbackGuard.wrap(done));
  }
}

void PlatformReader::fetchAll(const Index &index,
                              const std::vector<TeamId> &teams) {
  auto done = [this, index, teams,
               readNumber = ReadNumber](Result<Listing> result) {
    if (readNumber != ReadNumber)
      return;
    recoverFrom(
        [&]() -> Result<void> {
          BOOST_LEAF_AUTO(listing, std::move(result));
          std::map<std::string, Object *> byPath;
          for (Object &object : listing.Objects)
            byPath[object.Path] = &object;
          for (const TeamId &team : teams) {
            if (readNumber != ReadNumber)
              break;
            const AcceptedTeam &accepted = index.Teams.at(team);
            auto it = byPath.find(acceptedPath(team, accepted));
            if (it == byPath.end())
              return fail(ErrorKind::NotFound,
                          "the accepted settings of team " + team.Value +
                              " are missing from the platform's listing");
            addTeam(team, accepted, std::move(*it->second));
          }
          return {};
        },
        [&](const Error &e) { finish(&e); });
  };
  Client.list(AcceptedPrefix, "", CallbackGuard.wrap(done));
}

void PlatformReader::addTeam(const TeamId &team, const AcceptedTeam &accepted,
                             Result<Object> result) {
  recoverFrom(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(object, std::move(result));
        BOOST_LEAF_ASSIGN(Next.Teams[team],
                          readSnapshotTeam(accepted, object.Value));
        if (--PendingTeams == 0)
          finish(nullptr);
        return {};
      },
      [&](const Error &e) { finish(&e); });
}

void PlatformReader::finish(const Error *error) {
  if (!Done)
    return;
  ++ReadNumber;
  Callback done = std::exchange(Done, nullptr);
  Snapshot next = std::exchange(Next, {});
  if (error != nullptr)
    done(capturedFailure<Snapshot>(error->Kind, error->Message));
  else
    done(std::move(next));
}

} // namespace greengagespar
