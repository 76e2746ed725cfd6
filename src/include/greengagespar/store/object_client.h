/// \file
/// An asynchronous client of the platform's object API.
#ifndef GREENGAGESPAR_STORE_OBJECT_CLIENT_H
#define GREENGAGESPAR_STORE_OBJECT_CLIENT_H

#include "greengagespar/base/errors.h"
#include "greengagespar/store/http_pool.h"
#include "greengagespar/store/object.h"
#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace greengagespar {

/// The kinds of call that the platform counts.
enum class CallKind { Get, Put, Remove, List, Watch, Hosts };

/// Number of call kinds.
inline constexpr int CallKindCount = static_cast<int>(CallKind::Hosts) + 1;

/// Calls made since the client started, by kind.
struct CallCounts {
  std::array<std::uint64_t, CallKindCount> Sent{}; ///< Indexed by CallKind.
  std::array<std::uint64_t, CallKindCount> Lost{}; ///< Without an answer.
};

/// Returns the sum over all kinds. Thread safe.
std::uint64_t totalSent(const CallCounts &counts);

/// How a client reaches the platform.
struct ObjectClientOptions {
  Address Platform; ///< IP address and port.
  /// How long an answer may take. Over 5 s, so that a slow platform serves.
  std::chrono::milliseconds RequestTimeout{8000};
  int MaxConcurrent = 4;                  ///< Calls in progress, watches apart.
  int MaxWatches = 4;                     ///< Watches in progress.
  const ObjectApi *Api = &ownObjectApi(); ///< How calls are spelled.
  HttpKeepAlive KeepAlive = {}; ///< How silent connections are noticed.
};

/// Returns the usual options of a client of \p platform. Thread safe.
inline ObjectClientOptions clientOptionsFor(const Address &platform) {
  ObjectClientOptions options;
  options.Platform = platform;
  return options;
}

/// Sends calls to the platform. It never retries: a call whose answer was lost
/// fails as PlatformUnavailable, a write gives WriteState::Unknown. A call that
/// could not even be sent fails as Overloaded. Callbacks run from the loop,
/// never inside the call that starts them; the errors that they receive are
/// captured and can be handled there by recoverFrom. Not thread safe: belongs
/// to the thread of its loop.
class ObjectClient {
public:
  template <class T> using Callback = std::function<void(Result<T>)>;

  /// Precondition: \p loop outlives the client.
  ObjectClient(event_base *loop, ObjectClientOptions options);

  /// Reads one object. NotFound when there is none.
  void get(const std::string &path, Callback<Object> done);

  /// Writes one object if its version is \p ifVersion (0: it must not exist);
  /// without \p ifVersion in any case. TooLarge when over the platform's limit.
  void put(const std::string &path, const boost::json::value &value,
           std::optional<ObjectVersion> ifVersion, Callback<PutOutcome> done);

  /// Removes one object, on the same condition. NotFound when there is none.
  void remove(const std::string &path, std::optional<ObjectVersion> ifVersion,
              Callback<PutOutcome> done);

  /// Lists the objects under \p prefix behind \p after: one part of them, when
  /// the platform divides its answer.
  void list(const std::string &prefix, const std::string &after,
            Callback<Listing> done);

  /// Waits at most \p wait until something under \p prefix changed after
  /// \p after. Nothing changed: no objects and a revision. Without an answer
  /// within \p grace after that, the watch counts as lost.
  void watch(const std::string &prefix, ObjectVersion after,
             std::chrono::milliseconds wait, std::chrono::milliseconds grace,
             Callback<WatchAnswer> done);

  /// Reads the host list.
  void hosts(Callback<std::vector<HostRecord>> done);

  /// Calls so far.
  const CallCounts &counts() const { return Counts; }

private:
  void send(CallKind kind, HttpRequest request, HttpPool::Callback done);
  void write(CallKind kind, HttpRequest request, Callback<PutOutcome> done);

  ObjectClientOptions Options;
  CallCounts Counts;
  HttpPool Pool;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_STORE_OBJECT_CLIENT_H
