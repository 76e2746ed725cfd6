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
  ObjectVersion Version; ///< 0: the platform has no index yet.
};

/// Reads the index and the settings that it refers to, one read at a time. Not
/// thread safe: used on the thread of its loop only.
class PlatformReader {
public:
  using Callback = std::function<void(Result<Snapshot>)>;

  /// Precondition: \p client outlives the reader.
  explicit PlatformReader(ObjectClient &client) : Client(client) {}

  /// Reads the index. If the platform has none, \p done receives an index
  /// without teams, of version 0.
  void readIndexObject(std::function<void(Result<IndexObject>)> done);

  /// Reads the index and the settings of those teams whose accepted settings
  /// \p held does not have. \p done receives the complete snapshot.
  /// Precondition: no read is in progress.
  void read(const Snapshot &held, Callback done);

  /// Same as read, with an index that the caller has read already.
  void readAccepted(const Snapshot &held, const Index &index, Callback done);

private:
  void fetchEach(const Index &index, const std::vector<TeamId> &teams);
  void fetchAll(const Index &index, const std::vector<TeamId> &teams);
  void addTeam(const TeamId &team, const AcceptedTeam &accepted,
               Result<Object> result);
  void finish(const Error *error);

  ObjectClient &Client;
  Snapshot Next;                ///< The snapshot that the read is building.
  std::size_t PendingTeams = 0; ///< Teams whose settings have not arrived yet.
  Callback Done;                ///< Empty: no read is in progress.
  std::uint64_t ReadNumber = 0; ///< Discards the answers to earlier reads.
  Guard CallbackGuard;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_CONFIG_PLATFORM_READER_H
