/// \file
/// What an entry in direct mode knows of its site: routes, workspaces, plain
/// services, model groups and servers. These types don't depend on a platform;
/// a SiteDialect converts them from and to a platform's formats.
#ifndef GREENGAGESPAR_DIRECT_SITE_H
#define GREENGAGESPAR_DIRECT_SITE_H

#include "greengagespar/base/errors.h"
#include "greengagespar/base/ids.h"
#include "greengagespar/direct/rank_server.h"
#include "greengagespar/http/server.h"
#include "greengagespar/route/urgency.h"
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

/// How often a route's requests may run, and how they are answered.
enum class RequestKind {
  Idempotent, ///< May run more than once; the answer is sent as a whole.
  AtMostOnce, ///< May run only once; the answer is sent as a whole.
  Stream,     ///< Answered by events; sent again only if resumable.
};

/// One of the services that share a route's requests.
struct ServiceShare {
  ServiceId Service;
  double Weight = 1; ///< Share of the requests, relative to the others.
};

/// Which services handle the requests of a host and path, and how.
struct Route {
  std::string Name;
  std::string Host;       ///< Compared without regard to case.
  std::string PathPrefix; ///< Begins and ends with a slash.
  RequestKind Kind = RequestKind::AtMostOnce;
  bool Resumable = false; ///< Another server can resume its streams.
  /// Longest time until an answer has ended; zero: no limit of the route.
  std::chrono::milliseconds Timeout{0};
  /// Target time to a full answer, or to the first event of a stream.
  std::chrono::milliseconds Objective{0};
  /// Target for the longest time between two events of a stream.
  std::chrono::milliseconds LongestPause{0};
  int Priority = 0;      ///< 0 is the most urgent.
  int Attempts = 1;      ///< Number of servers that may run one request.
  bool IsPublic = false; ///< Its requests need no API key.
  std::vector<ServiceShare> Services;
};

/// Capacity and speed of the servers of a model group, as declared.
struct EngineProfile {
  int Slots = 0;           ///< Requests in one batch.
  double StepMs = 0;       ///< Duration of a token step without requests.
  double PerRequestMs = 0; ///< Added to StepMs by each request that generates.
  int StepsPerPass = 1;    ///< Token steps in one pass.
  double ReadTokensPerMs = 0; ///< Speed at which prompts are processed.
  int UsualPromptTokens = 0;  ///< Mean length of a prompt.
  int UsualAnswerTokens = 0;  ///< Mean length of an answer.
  std::size_t Layers = 0;     ///< Layers that have experts; 0: there are none.
  std::size_t Experts = 0;    ///< Experts of each layer; 0: none.
  std::size_t SlotsPerLayer = 0;  ///< Experts of a layer that a rank may hold.
  std::size_t MaxNewPerLayer = 0; ///< Those of them that may be new in a map.
  double ExpertMegabytes = 0; ///< Size of an expert's weights, in one layer.
  double LinkMegabitsPerSecond =
      0; ///< Megabits per second, for copies of weights.
  /// Tokens of prompts and answers in progress that a server can hold; 0: the
  /// engine declares no bound.
  std::int64_t MemoryTokens = 0;
  /// Age of what a server states of its load at the moment that it answers.
  std::chrono::milliseconds ReportLag{0};
};

/// Whether a site with \p entries entries is wide for the servers of a model
/// group: there are more entries than a server has slots, so that an entry's
/// own calls say little about a server. Decisions that rest on what the servers
/// report are in force on wide sites. Thread safe.
inline bool isWideSite(const EngineProfile &engine, std::size_t entries) {
  return engine.Slots > 0 && entries > static_cast<std::size_t>(engine.Slots);
}

/// A plain service or a model group that routes send requests to.
struct Backend {
  ServiceId Id;
  std::optional<EngineProfile> Engine; ///< Set for model groups.
  /// Time for which a server is cold after its start.
  std::chrono::milliseconds ColdTime{0};
  /// Requests a second that a cold server bears; 0: no bound.
  double ColdPerSecond = 0;
};

/// Who an API key belongs to.
struct ApiKeyOwner {
  WorkspaceId Workspace;
  /// Replaces the route's priority; empty: the route's applies.
  std::optional<int> Priority;
};

/// All that the operator has declared, at one version.
struct SiteConfiguration {
  Generation Version;
  std::vector<Route> Routes;
  std::map<ServiceId, Backend> Backends;
  HttpServerLimits Limits;
  bool NeedsKeys = false; ///< Routes that aren't public require an API key.
  std::unordered_map<std::string, ApiKeyOwner> Keys; ///< Owners by API key.
  /// Where members were not valid and were left out, for the log.
  std::vector<std::string> LeftOut;
};

/// A server's registration in the platform's store.
struct ServerRecord {
  ServerId Id;
  ServiceId Service;
  Address At;
  DataCentreId DataCentre;
  int Slots = 1;
  bool Leaving = false; ///< It accepts no new work.
  /// Start of this incarnation in milliseconds; a later one replaces it.
  std::uint64_t StartedMs = 0;
  /// How much longer the server is cold; empty: the registration says nothing.
  std::optional<std::chrono::milliseconds> ColdRemaining;
  /// Names of members that were not valid and were left out, for the log.
  std::vector<std::string> LeftOut;
};

/// What the header fields of a caller's request say about it.
struct CallMetadata {
  std::string RequestId;
  std::string Host;   ///< Without a port.
  std::string ApiKey; ///< Empty: the request carries none.
  /// Time that the caller allows for the answer; empty: it names none.
  std::optional<std::chrono::milliseconds> TimeLeft;
  /// The last event that the caller has of a stream to resume; empty: none.
  std::optional<std::uint64_t> LastEventId;
  int PromptTokens = 0;
  int MaxAnswerTokens = 0;
  /// Identifiers of the parts of the prompt that other requests may share, in
  /// order, without duplicates. Their number is bounded by the size of a head.
  std::vector<std::string> SharedParts;
};

/// What the entry adds to a caller's request when it sends it to a server.
struct SendMetadata {
  ServerId Server;       ///< Any other server refuses the request.
  WorkspaceId Workspace; ///< Empty: none is named.
  std::chrono::milliseconds TimeLeft{0}; ///< Until the server's deadline.
  /// The server resumes the stream after this event; empty: the caller's own
  /// field stays, if it sent one.
  std::optional<std::uint64_t> LastEventId;
  /// Among the requests to the service; empty: all are equally urgent.
  std::optional<Urgency> RequestUrgency = std::nullopt;
};

/// What the header fields of a server's answer say about it.
struct AnswerMetadata {
  std::string RequestId;  ///< Of the request that it answers.
  bool IsSigned = false;  ///< A server produced it by its own work.
  bool DidNotRun = false; ///< The server did not run the request.
  /// Callers take its status as the promise that the request has not run.
  bool IsPromise = false;
  bool IsOtherServer = false; ///< Another server has the address now.
  bool IsEventStream = false;
  bool IsLeaving = false; ///< The server that answers leaves.
  /// The server that the answer reports as failed or wrong; empty: none. In a
  /// group it is another one than the server that answers.
  ServerId FailedServer;
  /// Time for which a server that has refused the request wants no other ones
  /// from this entry; empty: it names none.
  std::optional<std::chrono::milliseconds> Pause;
  /// Requests a second that the server takes from all entries together, for as
  /// long as its answers say so; empty: it states none.
  std::optional<double> RateLimit;
  /// How much longer the server is cold; empty: the answer says nothing.
  std::optional<std::chrono::milliseconds> ColdRemaining;
};

/// What a call to one of the entry's addresses is for.
enum class CallPurpose {
  Request,  ///< A request for a service.
  Ready,    ///< Whether the entry is ready.
  Addresses ///< Which entries to connect to.
};

/// A platform's names and formats for all of this. All functions are pure and
/// thread safe.
struct SiteDialect {
  const ObjectApi *Objects;
  const RankDialect *Ranks;        ///< For the servers of model groups.
  std::string ConfigurationPrefix; ///< Path prefix of one object.
  std::string ServersPrefix;       ///< Path prefix of one object per server.

  Result<SiteConfiguration> (*ReadConfiguration)(const boost::json::value &);
  Result<ServerRecord> (*ReadServer)(const Object &object);
  CallPurpose (*ClassifyCall)(const HttpHead &head);
  CallMetadata (*ReadCall)(const HttpHead &head);
  /// Returns the header fields of a request to a server: the caller's without
  /// those meant for this process only, and fields for \p facts.
  HttpFields (*WriteSend)(const HttpFields &caller, const SendMetadata &facts);
  AnswerMetadata (*ReadAnswer)(const HttpHead &head);
  /// Returns the header fields of an answer that this process makes itself.
  /// \p retryAfter says when the caller may try again; zero: no such field.
  HttpFields (*WriteOwnAnswer)(const std::string &requestId,
                               std::chrono::milliseconds retryAfter);
  /// Returns the body of an answer that names the entries to connect to;
  /// callers may keep them for \p keep.
  std::string (*WriteAddresses)(const std::vector<Address> &entries,
                                std::chrono::milliseconds keep);

  /// Path prefix of one object for each data centre that the operator has taken
  /// out of service. The object's name is the data centre's.
  std::string OutOfServicePrefix;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_DIRECT_SITE_H
