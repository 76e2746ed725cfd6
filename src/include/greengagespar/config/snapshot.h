/// \file
/// All accepted settings at one generation, and the part of them that a peer
/// which lags is sent. Pure functions; thread safe on separate values.
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

/// A team's accepted settings with what they declare.
struct SnapshotTeam {
  AcceptedTeam Accepted;
  /// Shared between snapshots, since most teams do not change.
  std::shared_ptr<const TeamContract> Declares;
};

/// The accepted settings of all teams at one generation. Complete: every team
/// that was accepted up to At is there.
struct Snapshot {
  Generation At;
  std::map<TeamId, SnapshotTeam> Teams;
};

/// Returns the teams of \p index whose settings \p held does not have.
std::vector<TeamId> teamsToFetch(const Snapshot &held, const Index &index);

/// Reads a team's accepted form. BadSettings when it is malformed.
Result<SnapshotTeam> readSnapshotTeam(const AcceptedTeam &accepted,
                                      const boost::json::value &value);

/// Returns the contract that all teams together declare.
std::shared_ptr<const Contract> contractOf(const Snapshot &snapshot);

/// Returns the text with which a peer that holds generation \p since comes to
/// the generation of \p snapshot: the teams accepted after it.
std::string serializeSnapshot(const Snapshot &snapshot, Generation since);

/// Applies a peer's text to \p held and returns the result. Conflict when the
/// text starts after what is held or is not newer; BadSettings when it is
/// malformed. \p held is not changed.
Result<Snapshot> parseSnapshot(const Snapshot &held, std::string_view text);

} // namespace greengagespar

#endif // GREENGAGESPAR_CONFIG_SNAPSHOT_H
