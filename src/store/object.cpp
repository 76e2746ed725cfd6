#include "greengagespar/store/object.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <cstdlib>
#include <event2/http.h>
#include <memory>

namespace greengagespar {

namespace json = boost::json;

namespace {

boost::leaf::error_id malformed(std::string_view what) {
  return fail(ErrorKind::BadRequest,
              "the platform's answer has no valid " + std::string(what));
}

Result<json::object> parseBody(std::string_view body) {
  json::error_code ec;
  json::value parsed =
      json::parse(json::string_view(body.data(), body.size()), ec);
  if (ec || !parsed.is_object())
    return malformed("JSON object");
  return std::move(parsed.get_object());
}

Result<ObjectVersion> versionAt(const json::object &from,
                                std::string_view name) {
  const json::value *it = from.if_contains(name);
  if (it == nullptr || !it->is_number())
    return malformed(name);
  json::error_code ec;
  auto n = it->to_number<std::uint64_t>(ec);
  if (ec)
    return malformed(name);
  return ObjectVersion{n};
}

Result<std::string> textAt(const json::object &from, std::string_view name) {
  const json::value *it = from.if_contains(name);
  if (it == nullptr || !it->is_string())
    return malformed(name);
  return std::string(it->get_string());
}

Result<json::array> arrayAt(const json::object &from, std::string_view name) {
  const json::value *it = from.if_contains(name);
  if (it == nullptr || !it->is_array())
    return malformed(name);
  return it->get_array();
}

Result<Object> objectOf(const json::object &from) {
  Object object;
  BOOST_LEAF_ASSIGN(object.Path, textAt(from, "path"));
  BOOST_LEAF_ASSIGN(object.Version, versionAt(from, "version"));
  const json::value *value = from.if_contains("value");
  if (value == nullptr)
    return malformed("value");
  object.Value = *value;
  return object;
}

Result<std::vector<Object>> objectsAt(const json::object &from) {
  BOOST_LEAF_AUTO(items, arrayAt(from, "objects"));
  std::vector<Object> objects;
  objects.reserve(items.size());
  for (const json::value &item : items) {
    if (!item.is_object())
      return malformed("objects");
    BOOST_LEAF_AUTO(object, objectOf(item.get_object()));
    objects.push_back(std::move(object));
  }
  return objects;
}

Result<HostRecord> hostOf(const json::object &from) {
  HostRecord host;
  BOOST_LEAF_ASSIGN(host.Id.Value, textAt(from, "id"));
  BOOST_LEAF_ASSIGN(host.At.Value, textAt(from, "address"));
  BOOST_LEAF_ASSIGN(host.DataCentre.Value, textAt(from, "data_centre"));
  BOOST_LEAF_AUTO(state, textAt(from, "state"));
  host.Leaving = state != "live";
  return host;
}

std::string encodeText(std::string_view text) {
  std::unique_ptr<char, decltype(&std::free)> it(
      evhttp_uriencode(text.data(), static_cast<ev_ssize_t>(text.size()), 0),
      &std::free);
  return it ? std::string(it.get()) : std::string();
}

} // namespace

Result<Object> parseObject(std::string_view body) {
  BOOST_LEAF_AUTO(parsed, parseBody(body));
  return objectOf(parsed);
}

Result<ObjectVersion> parseVersion(std::string_view body) {
  BOOST_LEAF_AUTO(parsed, parseBody(body));
  return versionAt(parsed, "version");
}

Result<Listing> parseListing(std::string_view body) {
  BOOST_LEAF_AUTO(parsed, parseBody(body));
  Listing listing;
  BOOST_LEAF_ASSIGN(listing.Revision, versionAt(parsed, "revision"));
  BOOST_LEAF_ASSIGN(listing.Objects, objectsAt(parsed));
  return listing;
}

Result<WatchAnswer> parseWatchAnswer(std::string_view body) {
  BOOST_LEAF_AUTO(parsed, parseBody(body));
  WatchAnswer answer;
  BOOST_LEAF_ASSIGN(answer.Revision, versionAt(parsed, "revision"));
  BOOST_LEAF_ASSIGN(answer.Objects, objectsAt(parsed));
  BOOST_LEAF_AUTO(deleted, arrayAt(parsed, "deleted"));
  for (const json::value &path : deleted) {
    if (!path.is_string())
      return malformed("deleted");
    answer.Deleted.emplace_back(path.get_string());
  }
  return answer;
}

Result<std::vector<HostRecord>> parseHosts(std::string_view body) {
  BOOST_LEAF_AUTO(parsed, parseBody(body));
  BOOST_LEAF_AUTO(items, arrayAt(parsed, "hosts"));
  std::vector<HostRecord> hosts;
  for (const json::value &item : items) {
    if (!item.is_object())
      return malformed("hosts");
    BOOST_LEAF_AUTO(host, hostOf(item.get_object()));
    hosts.push_back(std::move(host));
  }
  return hosts;
}

namespace {

std::string ownObjectTarget(const std::string &path,
                            std::optional<ObjectVersion> ifVersion) {
  std::string target = "/v1/objects" + encodePath(path);
  if (ifVersion)
    target += "?if_version=" + std::to_string(ifVersion->Value);
  return target;
}

// The project's own API lists all objects in one answer.
std::string ownListTarget(const std::string &prefix, const std::string &) {
  return "/v1/list?prefix=" + encodeQueryValue(prefix);
}

std::string ownWatchTarget(const std::string &prefix, ObjectVersion after,
                           std::chrono::milliseconds wait) {
  return "/v1/watch?prefix=" + encodeQueryValue(prefix) +
         "&after=" + std::to_string(after.Value) +
         "&timeout_ms=" + std::to_string(wait.count());
}

std::string ownWriteBody(const std::string &, const json::value &value) {
  return json::serialize(value);
}

} // namespace

const ObjectApi &ownObjectApi() {
  static const ObjectApi api{
      "Store-Timeline", ownObjectTarget, ownListTarget,
      ownWatchTarget,   ownWriteBody,    parseObject,
      parseVersion,     parseListing,    parseWatchAnswer};
  return api;
}

std::string encodePath(std::string_view path) {
  std::string encoded;
  std::size_t from = 0;
  while (from <= path.size()) {
    std::size_t slash = std::min(path.find('/', from), path.size());
    if (slash > from)
      encoded += encodeText(path.substr(from, slash - from));
    if (slash < path.size())
      encoded += '/';
    from = slash + 1;
  }
  return encoded;
}

std::string encodeQueryValue(std::string_view text) { return encodeText(text); }

} // namespace greengagespar
