/// \file
/// Acceptance of settings: the one index object that decides which settings of
/// which team are accepted, and the pure function that moves it on.
///
/// Any entry may accept. It reads the index and the team's settings, calls
/// acceptTeam, writes the accepted form under acceptedPath and then the new
/// index by a conditional update on the version it read. If that update finds
/// another version, or its answer is lost, it starts again from the read.
/// acceptTeam is called again whenever the settings or the index change, so
/// that acceptors that raced end at the newest settings.
#ifndef GREENGAGESPAR_CONTRACT_ACCEPT_H
#define GREENGAGESPAR_CONTRACT_ACCEPT_H

#include "greengagespar/contract/team_settings.h"
#include <boost/json/value.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace greengagespar {

/// What only one team at a time may declare under a name.
enum class ClaimKind { Server, Endpoint, Group, Service, Workspace, Model };

/// Something that a team claims.
struct Claim {
  ClaimKind Kind = ClaimKind::Server;
  std::string Name;
  auto operator<=>(const Claim &) const = default;
};

/// What is accepted of one team.
struct AcceptedTeam {
  Generation At; ///< When it was accepted.
  /// The platform's revision that the settings were read at.
  std::uint64_t SettingsVersion = 0;
  std::string Digest; ///< Of the accepted form; 16 hexadecimal digits.
  auto operator<=>(const AcceptedTeam &) const = default;
};

/// The value of the object /system/index.
struct Index {
  Generation At; ///< Highest generation that was accepted.
  std::map<TeamId, AcceptedTeam> Teams;
  std::map<Claim, TeamId> Claims;
  auto operator<=>(const Index &) const = default;
};

/// What acceptTeam found.
enum class AcceptOutcome {
  Accepted,  ///< Next has to be written.
  Unchanged, ///< The same settings are accepted already.
  Older,     ///< Settings as new or newer are accepted already.
  Refused,   ///< Faults say why; what was accepted stays in force.
};

/// The decision on a team's settings.
struct AcceptDecision {
  AcceptOutcome Outcome = AcceptOutcome::Refused;
  Findings Faults;   ///< Not empty if Refused.
  Index Next;        ///< The index after the decision.
  AcceptedTeam Team; ///< What is accepted of the team after the decision.
};

/// Path of the index.
inline constexpr const char *IndexPath = "/system/index";

/// Path of the accepted form of \p team. It holds the digest, so that racing
/// acceptors of different settings never write the same object.
std::string acceptedPath(const TeamId &team, const AcceptedTeam &accepted);

/// Returns the digest of the accepted form of \p contract.
std::string digestOf(const TeamContract &contract);

/// Returns all that \p contract claims.
std::vector<Claim> claimsOf(const TeamContract &contract);

/// Decides on the settings of \p team, read at the platform's revision
/// \p settingsVersion. Something that another team has claimed is refused, and
/// the finding names that team. Deterministic. Thread safe.
AcceptDecision acceptTeam(const Index &index, const TeamId &team,
                          const ParsedTeam &parsed,
                          std::uint64_t settingsVersion);

/// Writes the value of /system/index. Thread safe.
boost::json::object writeIndex(const Index &index);

/// Reads the value of /system/index. Fails with BadSettings. Thread safe.
Result<Index> readIndex(const boost::json::value &value);

} // namespace greengagespar

#endif // GREENGAGESPAR_CONTRACT_ACCEPT_H
