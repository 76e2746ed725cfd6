#include "greengagespar/store/prefix_watch.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace greengagespar {

namespace {

// Wait of the first poll after a failure: the platform answers at once.
constexpr std::chrono::milliseconds ProbeWait{1};

} // namespace

std::chrono::milliseconds graceAfterLoss(std::chrono::milliseconds grace,
                                         const GraceOptions &options) {
  return std::min(grace * 2, options.Max);
}

std::chrono::milliseconds graceAfterAnswer(std::chrono::milliseconds late,
                                           const GraceOptions &options) {
  return std::clamp(late * 2, options.Min, options.Max);
}

std::chrono::milliseconds pauseAfterAnswer(std::chrono::milliseconds pause,
                                           std::chrono::milliseconds held,
                                           const PauseOptions &options) {
  return held < pause ? std::min(pause * 2, options.Max) : options.Min;
}

PrefixWatch::PrefixWatch(event_base *loop, ObjectClient &client,
                         PrefixWatchOptions options, std::uint64_t seed,
                         OnChange change, OnFailure failure)
    : Client(client), Options(std::move(options)), Change(std::move(change)),
      Failure(std::move(failure)), NextPoll(loop, [this] { poll(); }),
      ExpectedTimer(loop, [this] { checkExpected(); }), Delay{Options.Retry},
      Grace(Options.Grace.Min), Pause(Options.Pause.Min), Rng(seed) {
  client.onRestore(CallbackGuard.wrap([this](StoreTimeline) { onRestore(); }));
}

void PrefixWatch::start() {
  if (Running)
    return;
  Running = true;
  ++Round;
  HasFailed = true;
  poll();
}

void PrefixWatch::stop() {
  Running = false;
  abandonCalls();
  ExpectedTimer.stop();
}

void PrefixWatch::listAgain() {
  Listed = false;
  if (!Running)
    return;
  abandonCalls();
  poll();
}

// Ignores the answers to the calls in progress. The connection of a poll is
// closed, as the store would hold the poll until its wait is over.
void PrefixWatch::abandonCalls() {
  ++Round;
  NextPoll.stop();
  Client.cancelWatch(std::exchange(PollNumber, {}));
}

void PrefixWatch::expect(ObjectVersion at) {
  if (!Running || at <= Revision || at <= Expected)
    return;
  Expected = at;
  ExpectedTimer.start(Options.ExpectedWithin);
}

// A poll that was sent again after a failure has found a store that answers, or
// is about to be lost too: it needs no second one.
void PrefixWatch::checkExpected() {
  if (Expected <= Revision || HasFailed || !Listed)
    return;
  auto waited = Clock::now() - PollSentAt;
  if (PollNumber.Value == 0 || waited < Options.ExpectedWithin)
    return ExpectedTimer.start(Options.ExpectedWithin);
  ++OvertakenPolls;
  HasFailed = true;
  abandonCalls();
  poll();
}

// Another call to the store has shown that it was restored. A list under way
// shows by its own answer whether it is from behind the restore.
void PrefixWatch::onRestore() {
  if (Running && Listed)
    listRestored();
}

void PrefixWatch::listRestored() {
  Listed = false;
  abandonCalls();
  std::uniform_int_distribution<std::int64_t> pick(
      0, Options.RestoreSpread.count());
  NextPoll.start(std::chrono::milliseconds(pick(Rng)));
}

void PrefixWatch::poll() {
  bool isRelistDue = IsIncomplete && Clock::now() >= RelistAt;
  if (Listed && !isRelistDue)
    watch();
  else
    list();
}

template <class T, class Use>
void PrefixWatch::handle(Result<T> result, Use use) {
  recoverFrom(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(value, std::move(result));
        use(std::move(value));
        return {};
      },
      [&](const Error &e) { retry(e); });
}

void PrefixWatch::list() {
  Parts = {};
  ListedAfter.clear();
  listPart("");
}

// Adds \p part to the list. A part that leads back to an earlier one has no
// name to go on from.
void PrefixWatch::addPart(Listing part) {
  std::ranges::move(part.Objects, std::back_inserter(Parts.Objects));
  std::ranges::move(part.Unreadable, std::back_inserter(Parts.Unreadable));
  Parts.Next = std::move(part.Next);
  bool isRepeated =
      !Parts.Next.empty() && !ListedAfter.insert(Parts.Next).second;
  if (isRepeated)
    Parts.Next.clear();
  Parts.IsIncomplete = part.IsIncomplete || isRepeated;
  if (Parts.IsIncomplete)
    Parts.Unreadable.emplace_back("the rest of a list: no name to go on from");
}

// The first poll begins at the revision of the first part, so it reports the
// changes that were made while the parts were being received.
void PrefixWatch::listPart(const std::string &after) {
  bool isFirst = after.empty();
  auto done = [this, isFirst, round = Round](Result<Listing> result) {
    if (round != Round)
      return;
    handle(std::move(result), [this, isFirst](Listing part) {
      if (isFirst)
        Parts.Revision = part.Revision;
      // The store was restored between two parts.
      if (part.Revision.Timeline != Parts.Revision.Timeline)
        return listRestored();
      addPart(std::move(part));
      if (!Parts.Next.empty())
        return listPart(Parts.Next);
      Listed = Parts.Revision >= Revision;
      IsIncomplete = Parts.IsIncomplete;
      RelistAt = Clock::now() + Options.RelistAfter;
      report({.IsSnapshot = !IsIncomplete,
              .IsIncompleteList = IsIncomplete,
              .IsRestored =
                  HasReported && Parts.Revision.Timeline > Revision.Timeline,
              .Revision = Parts.Revision,
              .Objects = std::move(Parts.Objects),
              .Deleted = {},
              .Unreadable = std::move(Parts.Unreadable)});
    });
  };
  Client.list(Options.Prefix, after, CallbackGuard.wrap(done));
}

// The store may have been restored while it could not be reached, and may hold
// a long poll from a revision that it has given out again. So the first poll
// after a failure does not wait.
void PrefixWatch::watch() {
  auto wait = nextWait();
  PollSentAt = Clock::now();
  auto done = [this, wait, round = Round](Result<WatchAnswer> result) {
    if (round != Round)
      return;
    PollNumber = {};
    auto took = std::chrono::duration_cast<std::chrono::milliseconds>(
        Clock::now() - PollSentAt);
    Grace = result ? graceAfterAnswer(took - wait, Options.Grace)
                   : graceAfterLoss(Grace, Options.Grace);
    Pause = pauseAfterAnswer(Pause, took, Options.Pause);
    handle(std::move(result),
           [this](WatchAnswer answer) { handleAnswer(std::move(answer)); });
  };
  PollNumber = Client.watch(Options.Prefix, Revision, wait, Grace,
                            CallbackGuard.wrap(done));
}

std::chrono::milliseconds PrefixWatch::nextWait() const {
  if (HasFailed)
    return ProbeWait;
  PollSlot slot = Options.Slot ? Options.Slot() : PollSlot{};
  auto wait = IsOnSchedule ? pollCycle(Options.Spread, slot)
                           : firstPollWait(Options.Spread, slot);
  return IsIncomplete ? std::min(wait, Options.RelistAfter) : wait;
}

void PrefixWatch::handleAnswer(WatchAnswer answer) {
  if (answer.TooOld) {
    Listed = false;
    poll();
    return;
  }
  if (answer.Revision.Timeline != Revision.Timeline)
    return listRestored();
  report({.IsSnapshot = false,
          .IsIncompleteList = false,
          .IsRestored = false,
          .Revision = answer.Revision,
          .Objects = std::move(answer.Objects),
          .Deleted = std::move(answer.Deleted),
          .Unreadable = std::move(answer.Unreadable)});
}

void PrefixWatch::report(const PrefixChange &change) {
  if (change.Revision < Revision) {
    retry({ErrorKind::PlatformUnavailable,
           "the platform gave a stale read: revision " +
               std::to_string(change.Revision.Value) + " after " +
               std::to_string(Revision.Value)});
    return;
  }
  reset(Delay);
  Revision = change.Revision;
  bool hasChanged = !change.Objects.empty() || !change.Deleted.empty() ||
                    !change.Unreadable.empty();
  bool isList = change.IsSnapshot || change.IsIncompleteList;
  if (!isList && hasChanged) {
    LastChange = change.Revision;
    LastChangeAt = Clock::now();
  }
  IsOnSchedule = !isList && !hasChanged && !HasFailed;
  HasReported = true;
  HasFailed = false;
  NextPoll.start(Pause);
  Change(change);
}

void PrefixWatch::retry(const Error &error) {
  HasFailed = true;
  NextPoll.start(nextDelay(Delay, Rng));
  if (Failure)
    Failure(error);
}

} // namespace greengagespar
