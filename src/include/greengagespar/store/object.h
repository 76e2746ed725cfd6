/// \file
/// Values that the platform's object API gives and takes, and their parsing.
#ifndef GREENGAGESPAR_STORE_OBJECT_H
#define GREENGAGESPAR_STORE_OBJECT_H

#include "greengagespar/base/errors.h"
#include "greengagespar/base/ids.h"
#include <boost/json/value.hpp>
#include <chrono>
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
  std::string Next;            ///< Go on after this one; empty at the end.
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

/// How the calls of an object API are spelled. All functions are pure and
/// thread safe; each pointer is set.
struct ObjectApi {
  /// The target of calls on one object, on condition of its version if given.
  std::string (*ObjectTarget)(const std::string &path,
                              std::optional<ObjectVersion> ifVersion);
  /// The target of a list of the objects under a prefix that stand behind
  /// \p after in order; all of them when it is empty.
  std::string (*ListTarget)(const std::string &prefix,
                            const std::string &after);
  /// The target of a long poll for changes after a revision.
  std::string (*WatchTarget)(const std::string &prefix, ObjectVersion after,
                             std::chrono::milliseconds wait);
  /// The body of a write.
  std::string (*WriteBody)(const std::string &path,
                           const boost::json::value &value);
  Result<Object> (*ParseObject)(std::string_view body);
  Result<ObjectVersion> (*ParseVersion)(std::string_view body);
  Result<Listing> (*ParseListing)(std::string_view body);
  Result<WatchAnswer> (*ParseWatchAnswer)(std::string_view body);
};

/// The object API as the project's own interface spells it. Thread safe.
const ObjectApi &ownObjectApi();

/// Percent-encodes every part of \p path and keeps its slashes.
std::string encodePath(std::string_view path);
/// Percent-encodes \p text for a query, slashes too.
std::string encodeQueryValue(std::string_view text);

} // namespace greengagespar

#endif // GREENGAGESPAR_STORE_OBJECT_H
