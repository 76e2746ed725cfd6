/// \file
/// Values that the platform's object API gives and takes, and their parsing.
#ifndef GREENGAGESPAR_PLATFORM_OBJECT_H
#define GREENGAGESPAR_PLATFORM_OBJECT_H

#include "greengagespar/base/errors.h"
#include "greengagespar/base/ids.h"
#include <boost/json/value.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace greengagespar {

/// The platform's revision at an object's last change. 0: no such object.
using ObjectVersion = NumberId<struct ObjectVersionTag>;

/// One object.
struct Object {
  std::string Path; ///< Begins with "/".
  ObjectVersion Version;
  boost::json::value Value;
};

/// What a conditional update or removal did.
enum class WriteState {
  Written,  ///< It took effect.
  Conflict, ///< It did not: another version was present.
  Unknown,  ///< The answer was lost; it may or may not have taken effect.
};

/// The outcome of a write.
struct PutOutcome {
  WriteState State = WriteState::Unknown;
  ObjectVersion Version; ///< Written: the new one; Conflict: the present one.
  std::string Why;       ///< Unknown: how the answer was lost.
};

/// The objects under a prefix at one revision.
struct Listing {
  ObjectVersion Revision;
  std::vector<Object> Objects; ///< In order of path.
};

/// What changed under a prefix.
struct WatchAnswer {
  bool TooOld = false;    ///< The revision asked for is gone: list again.
  ObjectVersion Revision; ///< Watch after this one next.
  std::vector<Object> Objects;
  std::vector<std::string> Deleted; ///< Paths.
};

/// One host as the platform lists it. The list lags by up to a minute.
struct HostRecord {
  HostId Id;
  Address At; ///< May be without a port.
  DataCentreId DataCentre;
  bool Leaving = false;
};

/// Parses the body of an answer to a get. BadRequest when it is malformed.
Result<Object> parseObject(std::string_view body);
/// Parses the body of an answer to a write: its version.
Result<ObjectVersion> parseVersion(std::string_view body);
/// Parses the body of an answer to a list.
Result<Listing> parseListing(std::string_view body);
/// Parses the body of an answer to a watch.
Result<WatchAnswer> parseWatchAnswer(std::string_view body);
/// Parses the body of an answer to a question for the hosts.
Result<std::vector<HostRecord>> parseHosts(std::string_view body);

/// Percent-encodes every part of \p path and keeps its slashes.
std::string encodePath(std::string_view path);
/// Percent-encodes \p text for a query, slashes too.
std::string encodeQueryValue(std::string_view text);

} // namespace greengagespar

#endif // GREENGAGESPAR_PLATFORM_OBJECT_H
