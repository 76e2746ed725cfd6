/// \file
/// The status of a team's settings, which the system writes for the team under
/// /teams/<team>/status/. All functions are pure and thread safe.
#ifndef GREENGAGESPAR_CONTRACT_STATUS_H
#define GREENGAGESPAR_CONTRACT_STATUS_H

#include "greengagespar/contract/accept.h"
#include <boost/json/value.hpp>
#include <string>
#include <vector>

namespace greengagespar {

/// The value of /teams/<team>/status/settings.
struct SettingsStatus {
  std::string State;                 ///< "accepted" or "refused".
  std::uint64_t SettingsVersion = 0; ///< The revision that was validated.
  Generation AcceptedAt; ///< Generation in force; zero: none was accepted.
  std::uint64_t AcceptedVersion = 0; ///< The revision that is in force.
  Findings Faults;                   ///< Why it was refused; empty if accepted.
};

/// A node that does not have the newest generation in force.
struct LaggingNode {
  HostId Name;
  Generation At;      ///< The generation that it has.
  std::string Reason; ///< For people, for example "no answer for 12 s".
};

/// The value of /teams/<team>/status/in_force.
struct InForceStatus {
  Generation At;   ///< The newest accepted generation.
  int Nodes = 0;   ///< Live and leaving processes.
  int InForce = 0; ///< Those of Nodes that have At or a later one.
  std::vector<LaggingNode> Lagging;
};

/// Returns the status to write after \p decision on settings read at revision
/// \p settingsVersion.
SettingsStatus statusOf(const AcceptDecision &decision,
                        std::uint64_t settingsVersion);

/// Return the paths of the two status objects of \p team.
std::string settingsStatusPath(const TeamId &team);
std::string inForceStatusPath(const TeamId &team);

/// Write and read the values of the two status objects. Reading a malformed
/// value fails with BadSettings.
boost::json::object writeSettingsStatus(const SettingsStatus &status);
Result<SettingsStatus> readSettingsStatus(const boost::json::value &value);
boost::json::object writeInForceStatus(const InForceStatus &status);
Result<InForceStatus> readInForceStatus(const boost::json::value &value);

} // namespace greengagespar

#endif // GREENGAGESPAR_CONTRACT_STATUS_H
