/// \file
/// The objects of the platform stand-in: versions from one global revision
/// counter, conditional writes, and a bounded history of changes for watches.
/// Not thread safe.
#ifndef GREENGAGESPAR_STANDINS_OBJECT_STORE_H
#define GREENGAGESPAR_STANDINS_OBJECT_STORE_H

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace greengagespar::standin {

/// One stored object.
struct Object {
  std::uint64_t Version = 0; ///< The revision of its last write.
  std::string Value;         ///< JSON text.
};

/// One write or deletion, retained for watches.
struct Change {
  std::uint64_t Revision = 0;
  std::string Path;
};

/// All objects and the history of their changes.
struct ObjectStore {
  std::uint64_t Revision = 0;            ///< Number of changes so far.
  std::map<std::string, Object> Objects; ///< By path.
  std::deque<Change> History;            ///< Oldest first.
  std::size_t MaxHistory = 1000;         ///< Changes that History retains.
};

/// How a write ended.
enum class WriteOutcome { Done, Conflict, NotFound };

/// The result of a write.
struct WriteResult {
  WriteOutcome Outcome = WriteOutcome::Done;
  /// The object's present version, or the revision of its deletion; 0 when
  /// there is no such object.
  std::uint64_t Version = 0;
};

/// Writes an object. \p value is JSON text. If \p ifVersion is set, the object
/// must have this version; 0 means that it must not exist.
WriteResult putObject(ObjectStore &store, const std::string &path,
                      std::string value,
                      std::optional<std::uint64_t> ifVersion);

/// Removes an object. If \p ifVersion is set, the object must have this
/// version.
WriteResult deleteObject(ObjectStore &store, const std::string &path,
                         std::optional<std::uint64_t> ifVersion);

/// Returns one object as the JSON text of an answer.
std::string objectText(const std::string &path, const Object &object);

/// Returns the JSON text of the answer that lists all objects under \p prefix.
std::string listText(const ObjectStore &store, const std::string &prefix);

/// Returns whether the history holds all changes after revision \p after, so
/// that a watch can be answered from it.
bool historyCovers(const ObjectStore &store, std::uint64_t after);

/// Returns the JSON text of a watch answer; empty when no object under
/// \p prefix changed after revision \p after. Precondition: historyCovers
/// returns true.
std::string watchText(const ObjectStore &store, const std::string &prefix,
                      std::uint64_t after);

/// Returns the JSON text of a watch answer without changes.
std::string emptyWatchText(const ObjectStore &store);

} // namespace greengagespar::standin

#endif // GREENGAGESPAR_STANDINS_OBJECT_STORE_H
