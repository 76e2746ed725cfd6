/// \file
/// The one object that orders all accepted settings, and the accepted settings
/// that it refers to. Pure functions; thread safe on separate values.
#ifndef GREENGAGESPAR_CONFIG_INDEX_H
#define GREENGAGESPAR_CONFIG_INDEX_H

#include "greengagespar/base/errors.h"
#include "greengagespar/base/ids.h"
#include <boost/json/value.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace greengagespar {

/// Path of the index on the platform.
inline constexpr const char *IndexPath = "/system/index";
/// Prefix of all teams' settings and status on the platform.
inline constexpr const char *TeamsPrefix = "/teams/";

/// Refers to a team's accepted settings.
struct AcceptedRef {
  Generation At; ///< When they were accepted; part of their path.
  /// The platform's revision of the team's settings at that moment. Settings
  /// read at an earlier revision are never accepted after these.
  std::uint64_t SettingsVersion = 0;
  /// Hash of the content. A late write of a paused acceptor may create an
  /// object under a generation that was accepted with other content and
  /// removed since; the hash keeps such an object from being used.
  std::string Digest;
  bool operator==(const AcceptedRef &) const = default;
};

/// What is accepted, in which order.
struct SettingsIndex {
  Generation At; ///< Highest generation of all teams. Only goes up.
  std::map<TeamId, AcceptedRef> Teams;
  std::map<ServerId, TeamId> Servers; ///< Which team owns which server.
  bool operator==(const SettingsIndex &) const = default;
};

/// A team's accepted settings.
struct AcceptedTeam {
  AcceptedRef Ref;
  boost::json::value Settings; ///< As readSettings of team_mirror.h gives them.
};

/// Parses the value of the index. BadSettings when it is malformed.
Result<SettingsIndex> parseIndex(const boost::json::value &value);
/// Returns the value to be written for \p index.
boost::json::value indexValue(const SettingsIndex &index);

/// Returns where the settings that \p team had accepted at \p at are stored.
std::string acceptedPath(const TeamId &team, Generation at);
/// Parses a value read from acceptedPath and checks it against \p expected.
/// Conflict when the content is not the one that was accepted.
Result<AcceptedTeam> parseAccepted(const boost::json::value &value,
                                   const AcceptedRef &expected);
/// Returns the value to be written to acceptedPath.
boost::json::value acceptedValue(const AcceptedTeam &team);

/// Returns the hash of \p settings as text.
std::string settingsDigest(const boost::json::value &settings);

/// Whether settings stored for \p team under \p at can be removed: \p index
/// does not refer to them, and no later index can, because generations only go
/// up.
bool isObsolete(const SettingsIndex &index, const TeamId &team, Generation at);

} // namespace greengagespar

#endif // GREENGAGESPAR_CONFIG_INDEX_H
