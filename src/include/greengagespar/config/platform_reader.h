/// \file
/// Reads all accepted settings from the platform.
#ifndef GREENGAGESPAR_CONFIG_PLATFORM_READER_H
#define GREENGAGESPAR_CONFIG_PLATFORM_READER_H

#include "greengagespar/config/snapshot.h"
#include "greengagespar/store/guard.h"
#include "greengagespar/store/object_client.h"
#include <functional>
#include <vector>

namespace greengagespar {

/// The index with its version on the platform.
struct IndexObject {
  Index Value;
  ObjectVersion Version; ///< 0: there is no index yet.
};

/// Reads the index and what it refers to. One read at a time. Not thread safe:
/// belongs to the thread of its loop.
class PlatformReader {
public:
  using Callback = std::function<void(Result<Snapshot>)>;

  /// Precondition: \p client outlives the reader.
  explicit PlatformReader(ObjectClient &client) : Client(client) {}

  /// Reads the index; no index is one without teams.
  void readIndexObject(std::function<void(Result<IndexObject>)> done);

  /// Reads the index and those teams that \p held does not have.
  /// Precondition: no read is in progress.
  void read(const Snapshot &held, Callback done);

  /// Like read, for an index that is known already.
  void readAccepted(const Snapshot &held, const Index &index, Callback done);

private:
  void fetchEach(const Index &index, const std::vector<TeamId> &teams);
  void fetchAll(const Index &index, const std::vector<TeamId> &teams);
  void take(const TeamId &team, const AcceptedTeam &accepted,
            Result<Object> result);
  void finish(const Error *error);

  ObjectClient &Client;
  Snapshot Next;           ///< What the read has so far.
  std::size_t Missing = 0; ///< Answers that are still to come.
  Callback Done;           ///< Empty: no read is in progress.
  std::uint64_t Round = 0; ///< Answers to earlier reads are dropped.
  Guard Life;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_CONFIG_PLATFORM_READER_H
