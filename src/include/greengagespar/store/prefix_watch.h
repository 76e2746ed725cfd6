/// \file
/// Follows all objects under a prefix through outages and lost answers: lists
/// them once, then sends one long poll after another.
#ifndef GREENGAGESPAR_STORE_PREFIX_WATCH_H
#define GREENGAGESPAR_STORE_PREFIX_WATCH_H

#include "greengagespar/base/clock.h"
#include "greengagespar/base/timer.h"
#include "greengagespar/store/backoff.h"
#include "greengagespar/store/guard.h"
#include "greengagespar/store/object_client.h"
#include "greengagespar/store/poll_schedule.h"
#include <cstdint>
#include <functional>
#include <set>
#include <string>

namespace greengagespar {

/// One report of a watch.
struct PrefixChange {
  bool IsSnapshot = false; ///< Objects holds all objects under the prefix.
  /// A list of which a part can't be read: Objects holds some of the objects
  /// under the prefix, and others exist. Not set for a snapshot.
  bool IsIncompleteList = false;
  /// A list of a store that was restored since the last report: its objects may
  /// be older than those reported before.
  bool IsRestored = false;
  ObjectVersion Revision;              ///< Never lower than in earlier reports.
  std::vector<Object> Objects;         ///< Written since the last report.
  std::vector<std::string> Deleted;    ///< Paths removed since the last report.
  std::vector<std::string> Unreadable; ///< See describeEntry().
};

/// Bounds of the grace: the time beyond a poll's wait within which the answer
/// must arrive.
struct GraceOptions {
  std::chrono::milliseconds Min{1500};
  std::chrono::milliseconds Max{8000};
};

/// Returns the grace to use after a poll had no answer within \p grace: twice
/// as much, so that the watch does not forever mistake a slow platform for an
/// unresponsive connection. Pure; thread safe.
std::chrono::milliseconds graceAfterLoss(std::chrono::milliseconds grace,
                                         const GraceOptions &options);

/// Returns the grace to use after an answer that took \p late longer than its
/// poll's wait (negative if it arrived earlier): twice \p late, so that the
/// watch soon detects an unresponsive connection. Pure; thread safe.
std::chrono::milliseconds graceAfterAnswer(std::chrono::milliseconds late,
                                           const GraceOptions &options);

/// Bounds of the pause: the time from an answer to the next poll. It limits the
/// rate of calls when there are many changes, as the next poll then returns all
/// those of the pause at once.
struct PauseOptions {
  std::chrono::milliseconds Min{200};
  std::chrono::milliseconds Max{200};
};

/// Returns the pause to use after one of \p pause, when the poll that followed
/// it was answered after \p held. While changes follow each other closely, the
/// pause doubles (exponential backoff); after a quiet time it is the shortest
/// one again, so that a single change is never delayed. Pure; thread safe.
std::chrono::milliseconds pauseAfterAnswer(std::chrono::milliseconds pause,
                                           std::chrono::milliseconds held,
                                           const PauseOptions &options);

/// What to watch and how often to poll.
struct PrefixWatchOptions {
  std::string Prefix;
  PollSpread Spread;
  /// Returns the place of this process among those that watch the same objects;
  /// empty: it is the only one.
  std::function<PollSlot()> Slot = {};
  /// Time that a poll has to report a change that is known from elsewhere, see
  /// PrefixWatch::expect().
  std::chrono::milliseconds ExpectedWithin{300};
  /// Time from an answer to the next poll, see PauseOptions.
  PauseOptions Pause;
  GraceOptions Grace;
  /// After a restore of the store, the watch lists again within this time, at a
  /// random moment, so that many processes do not all list at the same time.
  std::chrono::milliseconds RestoreSpread{200};
  BackoffOptions Retry; ///< Between attempts while the platform fails.
  /// Time from an incomplete list to the next one. Polls go on meanwhile.
  std::chrono::milliseconds RelistAfter{5000};
};

/// Watches one prefix. After an outage it continues after the last revision
/// that it received, so that it misses no change, and lists again only if the
/// platform reports that this revision is too old, or was restored: its
/// revision then says nothing about the changes that the watch has missed. A
/// poll that gets no answer is abandoned and sent again over a new connection.
/// An incomplete list is reported as such, and asked for again after a while.
/// The store may lose a poll in an outage without a sign on its connection, so
/// the ends of the polls are spread (see poll_schedule.h), and the processes
/// tell each other of changes (see expect()).
/// Not thread safe: it belongs to the thread of its loop.
class PrefixWatch {
public:
  /// Receives a change. Empty changes are reported too, since they show that
  /// the platform answered.
  using OnChange = std::function<void(const PrefixChange &)>;
  /// Receives the error of each failed attempt.
  using OnFailure = std::function<void(const Error &)>;

  /// Precondition: \p loop and \p client outlive the watch.
  PrefixWatch(event_base *loop, ObjectClient &client,
              PrefixWatchOptions options, std::uint64_t seed, OnChange change,
              OnFailure failure);

  /// Starts to list and watch. Does nothing if the watch runs already.
  void start();
  /// Stops the watch and ignores the answer to a call in progress. The revision
  /// is kept for a later start().
  void stop();
  /// Lists again at once. For callers that know that the reported objects are
  /// out of date.
  void listAgain();

  /// Sets when the polls from now on end.
  void setSpread(const PollSpread &spread) { Options.Spread = spread; }

  /// Reports a change that another process has received, at the revision \p at.
  /// A poll that is still unanswered PrefixWatchOptions::ExpectedWithin later
  /// is taken for lost and sent again over a new connection. Each revision
  /// leads to one such poll at most.
  void expect(ObjectVersion at);

  /// Returns the revision of the last change that a poll has reported, which
  /// other processes may expect; 0: there was none.
  ObjectVersion lastChange() const { return LastChange; }
  /// Returns when lastChange() was reported.
  Clock::time_point lastChangeAt() const { return LastChangeAt; }
  /// Returns how many polls were taken for lost because of expect().
  std::uint64_t overtakenPolls() const { return OvertakenPolls; }

private:
  void poll();
  void onRestore();
  void listRestored();
  void list();
  void listPart(const std::string &after);
  void addPart(Listing part);
  void watch();
  std::chrono::milliseconds nextWait() const;
  void checkExpected();
  void abandonCalls();
  void handleAnswer(WatchAnswer answer);
  void report(const PrefixChange &change);
  void retry(const Error &error);
  template <class T, class Use> void handle(Result<T> result, Use use);

  ObjectClient &Client;
  PrefixWatchOptions Options;
  OnChange Change;
  OnFailure Failure;
  Timer NextPoll;
  Timer ExpectedTimer; ///< Runs while Expected is not reported.
  Backoff Delay;
  std::chrono::milliseconds Grace; ///< Grace of the next poll.
  std::chrono::milliseconds Pause; ///< Pause before the next poll.
  std::mt19937_64 Rng;
  ObjectVersion Revision;
  ObjectVersion LastChange;
  Clock::time_point LastChangeAt;
  ObjectVersion Expected;       ///< The latest argument of expect().
  HttpRequestNumber PollNumber; ///< Of the poll in progress; 0: there is none.
  Clock::time_point PollSentAt;
  std::uint64_t OvertakenPolls = 0;
  Listing Parts; ///< The parts received so far of a list in progress.
  /// The names after which these parts were asked for, the first one excepted.
  std::set<std::string> ListedAfter;
  Clock::time_point RelistAt; ///< When to list again, after an incomplete list.
  bool IsIncomplete = false;  ///< The last list was.
  bool Listed = false;
  bool HasReported = false;
  bool HasFailed = false; ///< No call has succeeded since a failure or start().
  bool IsOnSchedule = false; ///< The last poll ended because its wait was over.
  bool Running = false;
  std::uint64_t Round = 0; ///< Answers to calls of earlier rounds are ignored.
  Guard CallbackGuard;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_STORE_PREFIX_WATCH_H
