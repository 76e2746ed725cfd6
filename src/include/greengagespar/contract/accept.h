/// \file
/// Acceptance of settings: the single index object, which records the accepted
/// settings of each team, and the pure function that computes the next index.
///
/// Any entry may accept settings. It reads the index and the team's settings,
/// calls acceptTeam, writes the accepted form under acceptedPath and then
/// writes the new index by a conditional update on the version that it read. If
/// the update finds another version, or its answer is lost, the entry starts
/// again from the read. It calls acceptTeam again whenever the settings or the
/// index change, so that racing acceptors end at the newest settings.
#ifndef GREENGAGESPAR_CONTRACT_ACCEPT_H
#define GREENGAGESPAR_CONTRACT_ACCEPT_H

#include "greengagespar/contract/team_settings.h"
#include <boost/json/value.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace greengagespar {

/// The kinds of names that only one team at a time may declare.
enum class ClaimKind { Server, Endpoint, Group, Service, Workspace, Model };

/// A name that a team claims.
struct Claim {
  ClaimKind Kind = ClaimKind::Server;
  std::string Name;
  auto operator<=>(const Claim &) const = default;
};

/// Identifies the accepted settings of one team.
struct AcceptedTeam {
  Generation At; ///< Generation of the acceptance; zero: none was accepted.
  /// The platform's revision at which the settings were read.
  std::uint64_t SettingsVersion = 0;
  std::string Digest; ///< Digest of the accepted form; 16 hexadecimal digits.
  auto operator<=>(const AcceptedTeam &) const = default;
};

/// Which settings of each team are accepted, and which team holds each claim.
/// Stored on the platform as the object /system/index.
struct Index {
  Generation At; ///< Highest accepted generation; zero: none.
  std::map<TeamId, AcceptedTeam> Teams;
  std::map<Claim, TeamId> Claims;
  auto operator<=>(const Index &) const = default;
};

/// The possible results of acceptTeam.
enum class AcceptOutcome {
  Accepted,  ///< The caller has to write Next.
  Unchanged, ///< The same settings are already accepted.
  Older,     ///< Settings of this or a newer revision are already accepted.
  Refused,   ///< See Faults; the accepted settings stay in force.
};

/// The decision on a team's settings.
struct AcceptDecision {
  AcceptOutcome Outcome = AcceptOutcome::Refused;
  Findings Faults;   ///< Why the settings are refused; not empty if Refused.
  Index Next;        ///< The index after the decision.
  AcceptedTeam Team; ///< The team's accepted settings after the decision.
};

/// Path of the index on the platform.
inline constexpr const char *IndexPath = "/system/index";

/// Returns the path of the accepted form of \p team. It contains the digest, so
/// that racing acceptors of different settings never write the same object.
std::string acceptedPath(const TeamId &team, const AcceptedTeam &accepted);

/// Returns the digest of the accepted form of \p contract.
std::string digestOf(const TeamContract &contract);

/// Returns all names that \p contract claims.
std::vector<Claim> claimsOf(const TeamContract &contract);

/// Decides on the settings of \p team, read at the platform's revision
/// \p settingsVersion. Refuses settings with a name that another team has
/// claimed; the finding names that team. Deterministic. Thread safe.
AcceptDecision acceptTeam(const Index &index, const TeamId &team,
                          const ParsedTeam &parsed,
                          std::uint64_t settingsVersion);

/// Returns the value of /system/index for \p index. Thread safe.
boost::json::object writeIndex(const Index &index);

/// Reads the value of /system/index. Fails with BadSettings. Thread safe.
Result<Index> readIndex(const boost::json::value &value);

} // namespace greengagespar

#endif // GREENGAGESPAR_CONTRACT_ACCEPT_H
