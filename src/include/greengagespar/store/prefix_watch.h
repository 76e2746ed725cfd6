/// \file
/// Follows all objects under a prefix: list once, then one long poll after
/// another, through outages and lost answers.
#ifndef GREENGAGESPAR_STORE_PREFIX_WATCH_H
#define GREENGAGESPAR_STORE_PREFIX_WATCH_H

#include "greengagespar/base/clock.h"
#include "greengagespar/store/backoff.h"
#include "greengagespar/store/guard.h"
#include "greengagespar/store/object_client.h"
#include "greengagespar/store/timer.h"
#include <cstdint>
#include <functional>
#include <string>

namespace greengagespar {

/// What a watch reports.
struct PrefixChange {
  bool Whole = false;               ///< Objects are all there are.
  ObjectVersion Revision;           ///< Never lower than in earlier reports.
  std::vector<Object> Objects;      ///< Written since the last report.
  std::vector<std::string> Deleted; ///< Paths removed since the last report.
};

/// Bounds of the time that an answer may take after its poll's wait.
struct GraceOptions {
  std::chrono::milliseconds Min{1500};
  std::chrono::milliseconds Max{8000};
};

/// Returns the time to allow after a poll got no answer within \p grace: twice
/// as much, so that a slow platform is not taken for a silent connection for
/// ever. Pure; thread safe.
std::chrono::milliseconds graceAfterLoss(std::chrono::milliseconds grace,
                                         const GraceOptions &options);

/// Returns the time to allow after an answer that took \p late longer than its
/// poll's wait, less than zero when it came earlier: twice as much, so that a
/// silent connection is soon noticed. Pure; thread safe.
std::chrono::milliseconds graceAfterAnswer(std::chrono::milliseconds late,
                                           const GraceOptions &options);

/// How a prefix is watched.
struct PrefixWatchOptions {
  std::string Prefix;
  std::chrono::milliseconds Wait{2000}; ///< Longest wait of one poll.
  /// Shortest time between two polls; bounds the calls under many changes.
  std::chrono::milliseconds Pause{200};
  GraceOptions Grace;
  BackoffOptions Retry; ///< Between tries while the platform is away.
};

/// Watches one prefix. After an outage it goes on after the last revision that
/// it saw, so that no change is missed, and lists again only if the platform
/// says that the revision is too old. A poll without any answer is given up
/// and sent again over a fresh connection. Not thread safe: belongs to the
/// thread of its loop.
class PrefixWatch {
public:
  /// Receives a change. An empty change is reported too: it shows that the
  /// platform answered.
  using OnChange = std::function<void(const PrefixChange &)>;
  /// Hears of each try that failed.
  using OnFailure = std::function<void(const Error &)>;

  /// Precondition: \p loop and \p client outlive the watch.
  PrefixWatch(event_base *loop, ObjectClient &client,
              PrefixWatchOptions options, std::uint64_t seed, OnChange change,
              OnFailure failure);

  /// Starts to list and watch. Does nothing when it runs already.
  void start();
  /// Stops after what is in progress; the revision is kept.
  void stop();
  /// Lists again at once, because what was seen is known to be old.
  void listAgain();

private:
  void poll();
  void list();
  void listPart(const std::string &after);
  void watch();
  void take(WatchAnswer answer);
  void report(const PrefixChange &change);
  void retry(const Error &error);
  template <class T, class Use> void handle(Result<T> result, Use use);

  ObjectClient &Client;
  PrefixWatchOptions Options;
  OnChange Change;
  OnFailure Failure;
  Timer Next;
  Backoff Delay;
  std::chrono::milliseconds Grace; ///< What the next poll's answer may take.
  std::mt19937_64 Rng;
  ObjectVersion Revision;
  Listing Parts; ///< What a list in progress has brought so far.
  bool Listed = false;
  bool Running = false;
  std::uint64_t Round = 0; ///< Answers to earlier rounds are dropped.
  Guard Life;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_STORE_PREFIX_WATCH_H
