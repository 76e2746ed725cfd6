/// \file
/// Test support: an in-memory object API with fault injection.
#ifndef GREENGAGESPAR_CONFIG_FAKE_PLATFORM_H
#define GREENGAGESPAR_CONFIG_FAKE_PLATFORM_H

#include "../store/scripted_server.h"
#include <algorithm>
#include <boost/json.hpp>
#include <cstdlib>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace greengagespar {

/// Holds objects under one revision counter and answers watches when objects
/// change. A deleted object stays as a null value with its own revision, so
/// that watches report the deletion.
struct FakePlatform {
  struct Stored {
    std::uint64_t Version = 0;
    boost::json::value Value; ///< Null: deleted.
  };
  /// A long poll that has not been answered yet.
  struct WaitingWatch {
    evhttp_request *Raw;
    std::string Prefix;
    std::uint64_t After;
  };

  ScriptedServer Server;
  std::map<std::string, Stored> Objects;
  std::vector<WaitingWatch> Watches;
  std::uint64_t Revision = 0;
  bool Outage = false; ///< Whether every request is answered with 503.
  /// How many of the next answers to writes are lost.
  int WriteAnswersToLose = 0;
  int Writes = 0; ///< Writes that took effect.

  FakePlatform() {
    Server.Timeline = 1;
    Server.Answer = [this](const ScriptedServer::Seen &seen) {
      return Outage ? ScriptedAnswer{503, ""} : answer(seen);
    };
  }

  /// Writes an object, as an operator does.
  void write(const std::string &path, const char *json) {
    put(path, boost::json::parse(json));
  }
  /// Returns the value at \p path; null when there is none.
  boost::json::value valueAt(const std::string &path) const {
    auto it = Objects.find(path);
    return it == Objects.end() ? boost::json::value() : it->second.Value;
  }
  /// Replaces all objects by \p copy, as a restore does, and cuts all watches.
  void restore(const std::map<std::string, Stored> &copy) {
    Objects = copy;
    Revision = 0;
    for (const auto &[path, it] : Objects)
      Revision = std::max(Revision, it.Version);
    ++Server.Timeline;
    for (const WaitingWatch &it : std::exchange(Watches, {}))
      ScriptedServer::reply(it.Raw, {0, ""});
  }
  /// Starts or ends an outage. Answers all waiting watches with 503.
  void setOutage(bool outage) {
    Outage = outage;
    for (const WaitingWatch &it : std::exchange(Watches, {}))
      ScriptedServer::reply(it.Raw, {503, ""});
  }

private:
  void put(const std::string &path, boost::json::value value) {
    Objects[path] = {++Revision, std::move(value)};
    ++Writes;
    std::vector<WaitingWatch> waiting = std::exchange(Watches, {});
    for (const WaitingWatch &it : waiting) {
      if (path.starts_with(it.Prefix))
        ScriptedServer::reply(
            it.Raw, {200, changes(it.Prefix, it.After), Server.Timeline});
      else
        Watches.push_back(it);
    }
  }

  std::string changes(const std::string &prefix, std::uint64_t after) const {
    boost::json::array objects;
    boost::json::array deleted;
    for (const auto &[path, it] : Objects) {
      if (!path.starts_with(prefix) || it.Version <= after)
        continue;
      if (it.Value.is_null())
        deleted.emplace_back(path);
      else
        objects.push_back(
            {{"path", path}, {"version", it.Version}, {"value", it.Value}});
    }
    return boost::json::serialize(boost::json::object{
        {"revision", Revision}, {"objects", objects}, {"deleted", deleted}});
  }

  static std::string queryValue(const evkeyvalq &query, const char *key) {
    const char *value = evhttp_find_header(&query, key);
    return value == nullptr ? std::string() : std::string(value);
  }

  ScriptedAnswer answer(const ScriptedServer::Seen &seen) {
    const evhttp_uri *uri = evhttp_request_get_evhttp_uri(seen.Raw);
    const char *queryText = evhttp_uri_get_query(uri);
    evkeyvalq query{};
    evhttp_parse_query_str(queryText == nullptr ? "" : queryText, &query);
    std::string path = evhttp_uri_get_path(uri);
    ScriptedAnswer answer = answerPath(seen, path, query);
    evhttp_clear_headers(&query);
    return answer;
  }

  ScriptedAnswer answerPath(const ScriptedServer::Seen &seen,
                            const std::string &path, const evkeyvalq &query) {
    std::string prefix = queryValue(query, "prefix");
    if (path == "/v1/list")
      return {200, changes(prefix, 0)};
    if (path == "/v1/watch") {
      std::uint64_t after = std::stoull(queryValue(query, "after"));
      if (after > Revision)
        return {410, ""};
      for (const auto &[name, it] : Objects)
        if (name.starts_with(prefix) && it.Version > after)
          return {200, changes(prefix, after)};
      Watches.push_back({seen.Raw, prefix, after});
      return {-1, ""};
    }
    return answerObject(seen, path.substr(std::string("/v1/objects").size()),
                        queryValue(query, "if_version"));
  }

  ScriptedAnswer answerObject(const ScriptedServer::Seen &seen,
                              const std::string &path,
                              const std::string &ifVersion) {
    bool exists = Objects.contains(path) && !Objects[path].Value.is_null();
    std::uint64_t present = exists ? Objects[path].Version : 0;
    auto command = evhttp_request_get_command(seen.Raw);
    if (command == EVHTTP_REQ_GET && exists)
      return {200, boost::json::serialize(
                       boost::json::object{{"path", path},
                                           {"version", present},
                                           {"value", Objects[path].Value}})};
    if (command != EVHTTP_REQ_PUT && !exists)
      return {404, "{}"};
    if (!ifVersion.empty() && std::stoull(ifVersion) != present)
      return {409, R"({"version":)" + std::to_string(present) + "}"};
    put(path, command == EVHTTP_REQ_PUT ? boost::json::parse(seen.Body)
                                        : boost::json::value());
    if (WriteAnswersToLose > 0 && WriteAnswersToLose-- > 0)
      return {0, ""};
    return {200, R"({"version":)" + std::to_string(Revision) + "}"};
  }
};

} // namespace greengagespar

#endif // GREENGAGESPAR_CONFIG_FAKE_PLATFORM_H
