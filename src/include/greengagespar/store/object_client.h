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

/// The kinds of call to the platform, which CallCounts counts separately.
enum class CallKind { Get, Put, Remove, List, Watch, Hosts };

/// Number of call kinds.
inline constexpr int CallKindCount = static_cast<int>(CallKind::Hosts) + 1;

/// Calls that have ended since the client started, by kind.
struct CallCounts {
  std::array<std::uint64_t, CallKindCount> Sent{}; ///< Indexed by CallKind.
  std::array<std::uint64_t, CallKindCount> Lost{}; ///< Sent, but not answered.
};

/// Returns the sum over all kinds. Thread safe.
std::uint64_t totalSent(const CallCounts &counts);

/// How a client connects to the platform, and its limits.
struct ObjectClientOptions {
  Address Platform; ///< IP address and port.
  /// Longest time to wait for an answer. It is over 5 s, so that calls to a
  /// slow platform still succeed.
  std::chrono::milliseconds RequestTimeout{8000};
  int MaxConcurrent = 4; ///< Calls in progress, not counting watches.
  int MaxWatches = 4;    ///< Watches in progress.
  const ObjectApi *Api = &ownObjectApi(); ///< Format of calls.
  HttpKeepAlive KeepAlive = {};           ///< Detects unresponsive connections.
};

/// Returns the default options of a client of \p platform. Thread safe.
inline ObjectClientOptions clientOptionsFor(const Address &platform) {
  ObjectClientOptions options;
  options.Platform = platform;
  return options;
}

/// Sends calls to the platform and never retries them. If the answer is lost, a
/// read fails with PlatformUnavailable and a write returns WriteState::Unknown.
/// An answer of before a restore that arrives after one from behind it counts
/// as lost. All versions in answers carry the store's timeline. A call that
/// could not be sent fails with Overloaded. The loop runs the callbacks, never
/// the call that starts them. The errors that callbacks receive are captured; a
/// callback can handle them by recoverFrom. Not thread safe: the client belongs
/// to the thread of its loop.
class ObjectClient {
public:
  template <class T> using Callback = std::function<void(Result<T>)>;

  /// Precondition: \p loop outlives the client.
  ObjectClient(event_base *loop, ObjectClientOptions options);

  /// Reads one object. Fails with NotFound if it does not exist.
  void get(const std::string &path, Callback<Object> done);

  /// Writes one object if its version is \p ifVersion (0: it must not exist),
  /// or unconditionally if \p ifVersion is empty. Fails with TooLarge if the
  /// object is over the platform's limit. A version of before a restore says
  /// nothing about the restored object, as its number may have been given out
  /// again: such a write is not sent and ends with Conflict, and with Unknown
  /// if the restore shows only in its answer.
  void put(const std::string &path, const boost::json::value &value,
           std::optional<ObjectVersion> ifVersion, Callback<PutOutcome> done);

  /// Removes one object, on the same condition as put(). Fails with NotFound if
  /// it does not exist.
  void remove(const std::string &path, std::optional<ObjectVersion> ifVersion,
              Callback<PutOutcome> done);

  /// Lists the objects under \p prefix whose paths follow \p after. If the
  /// platform divides its answer, \p done receives one part (Listing::Next).
  void list(const std::string &prefix, const std::string &after,
            Callback<Listing> done);

  /// Asks the platform to wait at most \p wait for a change under \p prefix
  /// after the revision \p after. If nothing changes, the answer has a revision
  /// but no objects. If no answer arrives within \p wait + \p grace, the watch
  /// fails with PlatformUnavailable.
  HttpRequestNumber watch(const std::string &prefix, ObjectVersion after,
                          std::chrono::milliseconds wait,
                          std::chrono::milliseconds grace,
                          Callback<WatchAnswer> done);
  /// Gives up the watch \p number, which then fails with PlatformUnavailable.
  /// Does nothing if it has ended.
  void cancelWatch(HttpRequestNumber number) { Pool.cancel(number); }

  /// Reads the host list.
  void hosts(Callback<std::vector<HostRecord>> done);

  /// Returns the latest timeline that an answer has stated; 0: none has.
  StoreTimeline timeline() const { return Timeline; }

  /// Calls \p callback with the earlier timeline whenever an answer shows that
  /// the store was restored since the answers before it. It runs before the
  /// callback of that answer.
  void onRestore(std::function<void(StoreTimeline)> callback) {
    RestoreCallbacks.push_back(std::move(callback));
  }

  /// Returns the numbers of calls so far.
  const CallCounts &counts() const { return Counts; }

private:
  HttpRequestNumber send(CallKind kind, HttpRequest request,
                         HttpPool::Callback done);
  void write(CallKind kind, HttpRequest request,
             std::optional<ObjectVersion> ifVersion, Callback<PutOutcome> done);
  template <class T>
  void read(CallKind kind, HttpRequest &&request,
            Result<T> (*parse)(std::string_view), Callback<T> done);
  HttpAnswer checkTimeline(HttpAnswer answer);
  void setTimeline(StoreTimeline stated);
  bool isOutdated(const std::optional<ObjectVersion> &ifVersion) const;

  ObjectClientOptions Options;
  StoreTimeline Timeline;
  bool IsAnswered = false; ///< The store has answered a call.
  std::vector<std::function<void(StoreTimeline)>> RestoreCallbacks;
  CallCounts Counts;
  HttpPool Pool;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_STORE_OBJECT_CLIENT_H
