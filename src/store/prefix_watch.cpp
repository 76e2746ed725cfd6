#include "greengagespar/store/prefix_watch.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace greengagespar {

std::chrono::milliseconds graceAfterLoss(std::chrono::milliseconds grace,
                                         const GraceOptions &options) {
  return std::min(grace * 2, options.Max);
}

std::chrono::milliseconds graceAfterAnswer(std::chrono::milliseconds late,
                                           const GraceOptions &options) {
  return std::clamp(late * 2, options.Min, options.Max);
}

PrefixWatch::PrefixWatch(event_base *loop, ObjectClient &client,
                         PrefixWatchOptions options, std::uint64_t seed,
                         OnChange change, OnFailure failure)
    : Client(client), Options(std::move(options)), Change(std::move(change)),
      Failure(std::move(failure)),
      NextPoll(loop, [this] { poll(); }), Delay{Options.Retry},
      Grace(Options.Grace.Min), Rng(seed) {}

void PrefixWatch::start() {
  if (Running)
    return;
  Running = true;
  ++Round;
  poll();
}

void PrefixWatch::stop() {
  Running = false;
  ++Round;
  NextPoll.stop();
}

void PrefixWatch::listAgain() {
  Listed = false;
  if (!Running)
    return;
  ++Round;
  NextPoll.stop();
  poll();
}

void PrefixWatch::poll() {
  if (Listed)
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
  listPart("");
}

// The first poll begins at the revision of the first part, so it reports the
// changes that were made while the parts were being received.
void PrefixWatch::listPart(const std::string &after) {
  auto done = [this, round = Round](Result<Listing> result) {
    if (round != Round)
      return;
    handle(std::move(result), [this](Listing part) {
      if (Parts.Objects.empty())
        Parts.Revision = part.Revision;
      std::ranges::move(part.Objects, std::back_inserter(Parts.Objects));
      if (!part.Next.empty())
        return listPart(part.Next);
      Listed = Parts.Revision >= Revision;
      report({.IsSnapshot = true,
              .Revision = Parts.Revision,
              .Objects = std::move(Parts.Objects),
              .Deleted = {}});
    });
  };
  Client.list(Options.Prefix, after, CallbackGuard.wrap(done));
}

void PrefixWatch::watch() {
  auto done = [this, round = Round,
               sent = Clock::now()](Result<WatchAnswer> result) {
    if (round != Round)
      return;
    auto took = std::chrono::duration_cast<std::chrono::milliseconds>(
        Clock::now() - sent);
    Grace = result ? graceAfterAnswer(took - Options.Wait, Options.Grace)
                   : graceAfterLoss(Grace, Options.Grace);
    handle(std::move(result),
           [this](WatchAnswer answer) { handleAnswer(std::move(answer)); });
  };
  Client.watch(Options.Prefix, Revision, Options.Wait, Grace,
               CallbackGuard.wrap(done));
}

void PrefixWatch::handleAnswer(WatchAnswer answer) {
  if (answer.TooOld) {
    Listed = false;
    poll();
    return;
  }
  report({.IsSnapshot = false,
          .Revision = answer.Revision,
          .Objects = std::move(answer.Objects),
          .Deleted = std::move(answer.Deleted)});
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
  NextPoll.start(Options.Pause);
  Change(change);
}

void PrefixWatch::retry(const Error &error) {
  NextPoll.start(nextDelay(Delay, Rng));
  if (Failure)
    Failure(error);
}

} // namespace greengagespar
