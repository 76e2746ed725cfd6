/// \file
/// What an entry in direct mode knows of its site: routes, workspaces, plain
/// services and model groups, servers. These are the project's own types; a
/// SiteDialect reads and writes them as a platform spells them.
#ifndef GREENGAGESPAR_DIRECT_SITE_H
#define GREENGAGESPAR_DIRECT_SITE_H

#include "greengagespar/base/errors.h"
#include "greengagespar/base/ids.h"
#include "greengagespar/direct/rank_server.h"
#include "greengagespar/http/server.h"
#include "greengagespar/store/object.h"
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace greengagespar {

/// How a route's requests may be repeated and answered.
enum class RequestKind {
  Idempotent, ///< May run more than once; answered whole.
  AtMostOnce, ///< May run once; answered whole.
  Stream,     ///< Answered by events; repeated only if it is resumable.
};

/// One of the services that share a route's requests.
struct ServiceShare {
  ServiceId Service;
  double Weight = 1; ///< Part of the requests, relative to the others.
};

/// Where requests of a host and path go.
struct Route {
  std::string Name;
  std::string Host;       ///< Compared without regard to case.
  std::string PathPrefix; ///< Begins and ends with a slash.
  RequestKind Kind = RequestKind::AtMostOnce;
  bool Resumable = false;                 ///< Its streams may be resumed.
  std::chrono::milliseconds Timeout{0};   ///< Longest time to a final answer.
  std::chrono::milliseconds Objective{0}; ///< Time to an answer in time.
  std::chrono::milliseconds LongestPause{0}; ///< Between events in time.
  int Priority = 0;                          ///< 0 is the most urgent.
  int Attempts = 1;      ///< Servers that may get one request.
  bool IsPublic = false; ///< Needs no key.
  std::vector<ServiceShare> Services;
};

/// How the servers of a model group work.
struct EngineProfile {
  int Slots = 0;           ///< Requests in one batch.
  double StepMs = 0;       ///< One token step without requests.
  double PerRequestMs = 0; ///< Added for each request that writes.
  int Stride = 1;          ///< Steps of one pass.
  double ReadTokensPerMs = 0;
  int UsualPromptTokens = 0;
  int UsualAnswerTokens = 0;
  std::size_t Layers = 0;         ///< Layers that have experts; 0: none.
  std::size_t Experts = 0;        ///< Of each layer.
  std::size_t SlotsPerLayer = 0;  ///< Experts that one rank may hold.
  std::size_t MaxNewPerLayer = 0; ///< New ones of a rank in one map.
  double ExpertMegabytes = 0;     ///< Weights of one expert of one layer.
  double LinkMegabits = 0;        ///< A second, for copies of weights.
};

/// A service or model group behind routes.
struct Backend {
  ServiceId Id;
  std::optional<EngineProfile> Engine; ///< Set for model groups.
};

/// Who holds a key.
struct KeyHolder {
  WorkspaceId Workspace;
  std::optional<int> Priority; ///< In place of the route's.
};

/// All that the operator has declared, at one version.
struct SiteConfiguration {
  Generation Version;
  std::vector<Route> Routes;
  std::map<ServiceId, Backend> Backends;
  HttpServerLimits Limits;
  bool NeedsKeys = false; ///< Requests on routes that aren't public carry one.
  std::unordered_map<std::string, KeyHolder> Keys;
};

/// One server as it registered itself.
struct ServerRecord {
  ServerId Id;
  ServiceId Service;
  Address At;
  DataCentreId DataCentre;
  int Slots = 1;
  bool Leaving = false;     ///< It takes no new work.
  std::uint64_t BornMs = 0; ///< Start of this life; a later one is another.
};

/// What a request says of itself in its header fields.
struct CallFacts {
  std::string RequestId;
  std::string Host; ///< Without a port.
  std::string ApiKey;
  std::optional<std::chrono::milliseconds> TimeLeft;
  std::optional<std::uint64_t> LastEventId;
  int PromptTokens = 0;
  int MaxAnswerTokens = 0;
};

/// What is said to a server beside the caller's request.
struct SendFacts {
  ServerId Server;       ///< Any other server refuses.
  WorkspaceId Workspace; ///< Empty: none is named.
  std::chrono::milliseconds TimeLeft{0};
  std::optional<std::uint64_t> LastEventId; ///< Resume behind this event.
};

/// What a server's answer says of itself.
struct AnswerFacts {
  std::string RequestId;
  bool IsSigned = false;      ///< It comes from a server's own work.
  bool DidNotRun = false;     ///< The server did not run the request.
  bool IsOtherServer = false; ///< Another server has the address now.
  bool IsEventStream = false;
};

/// What a caller asks for beside its own requests.
enum class EdgeCall { Request, Ready, Addresses };

/// How a platform spells all of this. All functions are pure and thread safe.
struct SiteDialect {
  const ObjectApi *Objects;
  const RankDialect *Ranks;        ///< Of the servers of model groups.
  std::string ConfigurationPrefix; ///< Holds one object.
  std::string ServersPrefix;       ///< Holds one object for each server.

  Result<SiteConfiguration> (*ReadConfiguration)(const boost::json::value &);
  Result<ServerRecord> (*ReadServer)(const Object &object);
  EdgeCall (*ClassifyCall)(const HttpHead &head);
  CallFacts (*ReadCall)(const HttpHead &head);
  /// The header fields for a server: the caller's, less what is for this
  /// process only, with what \p facts say.
  HttpFields (*WriteSend)(const HttpFields &caller, const SendFacts &facts);
  AnswerFacts (*ReadAnswer)(const HttpHead &head);
  /// The header fields of an answer that this process gives itself;
  /// \p retryAfter tells when to come back, zero: nothing is said of it.
  HttpFields (*WriteOwnAnswer)(const std::string &requestId,
                               std::chrono::milliseconds retryAfter);
  /// The body of an answer that names the entries to connect to.
  std::string (*WriteAddresses)(const std::vector<Address> &entries,
                                std::chrono::milliseconds keep);
};

} // namespace greengagespar

#endif // GREENGAGESPAR_DIRECT_SITE_H
