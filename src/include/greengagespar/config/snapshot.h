/// \file
/// All accepted settings at one generation, and the text that brings a lagging
/// peer to it. Pure functions; thread safe on separate values.
#ifndef GREENGAGESPAR_CONFIG_SNAPSHOT_H
#define GREENGAGESPAR_CONFIG_SNAPSHOT_H

#include "greengagespar/base/errors.h"
#include "greengagespar/contract/accept.h"
#include "greengagespar/contract/contract.h"
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace greengagespar {

/// The accepted settings of one team.
struct SnapshotTeam {
  AcceptedTeam Accepted; ///< When and from which revision they were accepted.
  /// What the settings declare. Shared between snapshots, since most teams do
  /// not change.
  std::shared_ptr<const TeamContract> Declarations;
};

/// The accepted settings of all teams at generation At, including teams whose
/// settings were accepted at an earlier generation and have not changed since.
struct Snapshot {
  Generation At;
  std::map<TeamId, SnapshotTeam> Teams;
};

/// Returns the teams of \p index whose accepted settings \p held lacks or has
/// in an earlier version.
std::vector<TeamId> teamsToFetch(const Snapshot &held, const Index &index);

/// Reads \p value, the accepted form of a team's settings. Fails with
/// BadSettings when it is malformed.
Result<SnapshotTeam> readSnapshotTeam(const AcceptedTeam &accepted,
                                      const boost::json::value &value);

/// Returns the merged declarations of all teams.
std::shared_ptr<const Contract> contractOf(const Snapshot &snapshot);

/// Returns the text that brings a peer from generation \p since to the
/// generation of \p snapshot. It holds the teams accepted after \p since.
std::string serializeSnapshot(const Snapshot &snapshot, Generation since);

/// Applies \p text, which a peer wrote with serializeSnapshot, to \p held and
/// returns the result. Settings of a team that were accepted later stay. Fails
/// with Conflict when the text starts after the generation of \p held or ends
/// before it, and with BadSettings when the text is malformed.
Result<Snapshot> parseSnapshot(const Snapshot &held, std::string_view text);

} // namespace greengagespar

#endif // GREENGAGESPAR_CONFIG_SNAPSHOT_H
