#include "object_store.h"

#include <boost/json.hpp>
#include <set>
#include <utility>

namespace greengagespar::standin {

namespace {

std::string quoted(std::string_view text) {
  return boost::json::serialize(boost::json::string_view(text));
}

void recordChange(ObjectStore &store, const std::string &path) {
  store.History.push_back({store.Revision, path});
  if (store.History.size() > store.MaxHistory)
    store.History.pop_front();
}

void appendItem(std::string &list, const std::string &item) {
  if (!list.empty())
    list += ',';
  list += item;
}

std::string changesText(std::uint64_t revision, const std::string &objects,
                        const std::string &deleted) {
  return "{\"revision\":" + std::to_string(revision) + ",\"objects\":[" +
         objects + "],\"deleted\":[" + deleted + "]}";
}

} // namespace

WriteResult putObject(ObjectStore &store, const std::string &path,
                      std::string value,
                      std::optional<std::uint64_t> ifVersion) {
  auto it = store.Objects.find(path);
  std::uint64_t current = it == store.Objects.end() ? 0 : it->second.Version;
  if (ifVersion && *ifVersion != current)
    return {WriteOutcome::Conflict, current};
  ++store.Revision;
  store.Objects[path] = {store.Revision, std::move(value)};
  recordChange(store, path);
  return {WriteOutcome::Done, store.Revision};
}

WriteResult deleteObject(ObjectStore &store, const std::string &path,
                         std::optional<std::uint64_t> ifVersion) {
  auto it = store.Objects.find(path);
  if (it == store.Objects.end())
    return {WriteOutcome::NotFound, 0};
  if (ifVersion && *ifVersion != it->second.Version)
    return {WriteOutcome::Conflict, it->second.Version};
  ++store.Revision;
  store.Objects.erase(it);
  recordChange(store, path);
  return {WriteOutcome::Done, store.Revision};
}

std::string objectText(const std::string &path, const Object &object) {
  return "{\"path\":" + quoted(path) +
         ",\"version\":" + std::to_string(object.Version) +
         ",\"value\":" + object.Value + "}";
}

std::string listText(const ObjectStore &store, const std::string &prefix) {
  std::string objects;
  for (auto it = store.Objects.lower_bound(prefix);
       it != store.Objects.end() && it->first.starts_with(prefix); ++it)
    appendItem(objects, objectText(it->first, it->second));
  return "{\"revision\":" + std::to_string(store.Revision) + ",\"objects\":[" +
         objects + "]}";
}

bool historyCovers(const ObjectStore &store, std::uint64_t after) {
  if (after > store.Revision)
    return false;
  if (after == store.Revision)
    return true;
  return !store.History.empty() && store.History.front().Revision <= after + 1;
}

std::string watchText(const ObjectStore &store, const std::string &prefix,
                      std::uint64_t after) {
  std::set<std::string> changed;
  for (auto it = store.History.rbegin();
       it != store.History.rend() && it->Revision > after; ++it)
    if (it->Path.starts_with(prefix))
      changed.insert(it->Path);
  if (changed.empty())
    return {};
  std::string objects;
  std::string deleted;
  for (const std::string &path : changed) {
    auto it = store.Objects.find(path);
    if (it == store.Objects.end())
      appendItem(deleted, quoted(path));
    else
      appendItem(objects, objectText(path, it->second));
  }
  return changesText(store.Revision, objects, deleted);
}

std::string emptyWatchText(const ObjectStore &store) {
  return changesText(store.Revision, "", "");
}

} // namespace greengagespar::standin
