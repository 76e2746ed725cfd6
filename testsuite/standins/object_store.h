/// \file
/// The platform stand-in's objects: versions by one global revision,
/// conditional writes, and a bounded history for watches. Not thread safe.
#ifndef GREENGAGESPAR_STANDINS_OBJECT_STORE_H
#define GREENGAGESPAR_STANDINS_OBJECT_STORE_H

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace greengagespar::standin {

/// One object.
struct Object {
  std::uint64_t Version = 0;
  std::string Value; ///< JSON text.
};

/// One change, kept for watches.
struct Change {
  std::uint64_t Revision = 0;
  std::string Path;
};

/// All objects.
struct ObjectStore {
  std::uint64_t Revision = 0;
  std::map<std::string, Object> Objects;
  std::deque<Change> History;
  std::size_t MaxHistory = 1000;
};

/// How a write ended.
enum class WriteOutcome { Done, Conflict, NotFound };

/// The result of a write.
struct WriteResult {
  WriteOutcome Outcome = WriteOutcome::Done;
  std::uint64_t Version = 0; ///< The present version; 0 when there is none.
};

/// Writes an object, on the condition that its version is \p ifVersion.
WriteResult putObject(ObjectStore &store, const std::string &path,
                      std::string value,
                      std::optional<std::uint64_t> ifVersion);

/// Removes an object, on the condition that its version is \p ifVersion.
WriteResult deleteObject(ObjectStore &store, const std::string &path,
                         std::optional<std::uint64_t> ifVersion);

/// Returns the JSON text of one object's answer.
std::string objectText(const std::string &path, const Object &object);

/// Returns the JSON text of a list answer.
std::string listText(const ObjectStore &store, const std::string &prefix);

/// Whether a watch after \p after can still be answered from the history.
bool historyCovers(const ObjectStore &store, std::uint64_t after);

/// Returns the JSON text of a watch answer; empty when nothing under
/// \p prefix changed after \p after. Precondition: historyCovers.
std::string watchText(const ObjectStore &store, const std::string &prefix,
                      std::uint64_t after);

/// Returns the JSON text of a watch answer without changes.
std::string emptyWatchText(const ObjectStore &store);

} // namespace greengagespar::standin

#endif // GREENGAGESPAR_STANDINS_OBJECT_STORE_H
