/// \file
/// Values that the platform's object API returns and accepts, and their
/// parsing.
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

/// The history that the platform's revisions belong to. A restore from an older
/// copy begins a later one: its revisions go back and are given out again. 0:
/// the platform does not state one.
using StoreTimeline = NumberId<struct StoreTimelineTag>;

/// The timeline of a store that was never restored.
inline constexpr StoreTimeline FirstTimeline{1};

/// The platform's revision at an object's last change, or of all objects at one
/// moment. Revisions are ordered within a timeline; each one of a later
/// timeline follows all those of earlier ones.
struct ObjectVersion {
  StoreTimeline Timeline;
  std::uint64_t Value = 0; ///< 0 means that the object does not exist.

  ObjectVersion() = default;
  explicit ObjectVersion(std::uint64_t value, StoreTimeline timeline = {})
      : Timeline(timeline), Value(value) {}
  auto operator<=>(const ObjectVersion &) const = default;
};

/// One object of the platform's store.
struct Object {
  std::string Path;      ///< Begins with "/".
  ObjectVersion Version; ///< Revision of its last change.
  boost::json::value Value;
};

/// The effect of a conditional update or removal.
enum class WriteState {
  Written,  ///< It took effect.
  Conflict, ///< It did not: the store held another version.
  Unknown,  ///< The answer was lost; it may or may not have taken effect.
};

/// The outcome of a write.
struct PutOutcome {
  WriteState State = WriteState::Unknown;
  /// Written: the new one; Conflict: the stored one, or 0 if it is not known.
  ObjectVersion Version;
  std::string Reason; ///< Unknown: how the answer was lost; else empty.
};

/// The objects under a prefix at one revision.
struct Listing {
  ObjectVersion Revision;
  std::vector<Object> Objects; ///< In order of path.
  std::string Next; ///< Pass it as `after` for the rest; empty at the end.
  /// There is a rest, but the part holds no name to pass as `after`.
  bool IsIncomplete = false;
  std::vector<std::string> Unreadable; ///< See describeEntry().
};

/// The changes under a prefix, as a watch returns them.
struct WatchAnswer {
  bool TooOld = false;    ///< The store no longer has the revision: list again.
  ObjectVersion Revision; ///< The revision for the next watch to begin after.
  std::vector<Object> Objects;         ///< Written objects.
  std::vector<std::string> Deleted;    ///< Paths of removed objects.
  std::vector<std::string> Unreadable; ///< See describeEntry().
};

/// One host as the platform lists it. The list lags by up to a minute.
struct HostRecord {
  HostId Id;
  Address At; ///< The port may be missing.
  DataCentreId DataCentre;
  bool Leaving = false; ///< The platform reports a state other than live.
};

/// Parses the body of an answer to a get. Like the other parsers, fails with
/// BadRequest if the body is malformed.
Result<Object> parseObject(std::string_view body);
/// Parses the body of an answer to a write: its version.
Result<ObjectVersion> parseVersion(std::string_view body);
/// Parses the body of an answer to a list. Objects that can't be read are left
/// out, here and in a watch.
Result<Listing> parseListing(std::string_view body);
/// Parses the body of an answer to a watch.
Result<WatchAnswer> parseWatchAnswer(std::string_view body);
/// Parses the body of an answer to a request for the host list.
Result<std::vector<HostRecord>> parseHosts(std::string_view body);

/// The request and answer formats of an object API. All functions are pure and
/// thread safe; no pointer is null.
struct ObjectApi {
  /// Header of all answers, errors included, that holds the store's timeline as
  /// a decimal number. A store may omit it.
  const char *TimelineHeader;
  /// Returns the target of calls on one object. The call takes effect only if
  /// the object's version is \p ifVersion, or in any case if it is empty.
  std::string (*ObjectTarget)(const std::string &path,
                              std::optional<ObjectVersion> ifVersion);
  /// Returns the target of a list of the objects under \p prefix whose paths
  /// follow \p after in order; if \p after is empty, of all objects.
  std::string (*ListTarget)(const std::string &prefix,
                            const std::string &after);
  /// Returns the target of a long poll for changes after a revision.
  std::string (*WatchTarget)(const std::string &prefix, ObjectVersion after,
                             std::chrono::milliseconds wait);
  /// Returns the body of a write.
  std::string (*WriteBody)(const std::string &path,
                           const boost::json::value &value);
  Result<Object> (*ParseObject)(std::string_view body);
  Result<ObjectVersion> (*ParseVersion)(std::string_view body);
  Result<Listing> (*ParseListing)(std::string_view body);
  Result<WatchAnswer> (*ParseWatchAnswer)(std::string_view body);
};

/// Returns the object API of the project's own platform interface. Thread safe.
const ObjectApi &ownObjectApi();

/// Percent-encodes every segment of \p path and keeps its slashes.
std::string encodePath(std::string_view path);
/// Percent-encodes \p text for a query, including its slashes.
std::string encodeQueryValue(std::string_view text);

} // namespace greengagespar

#endif // GREENGAGESPAR_STORE_OBJECT_H
