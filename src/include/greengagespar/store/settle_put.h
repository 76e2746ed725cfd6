/// \file
/// Conditional updates that settle a lost answer by reading again.
#ifndef GREENGAGESPAR_STORE_SETTLE_PUT_H
#define GREENGAGESPAR_STORE_SETTLE_PUT_H

#include "greengagespar/store/backoff.h"
#include "greengagespar/store/guard.h"
#include "greengagespar/store/object_client.h"
#include "greengagespar/store/timer.h"
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>

namespace greengagespar {

/// A conditional update whose answer was lost.
struct IntendedWrite {
  std::string Path;
  boost::json::value Value; ///< Names its writer if writers must be told apart.
  ObjectVersion IfVersion;  ///< 0: the object must not exist.
};

/// What a read after a lost answer shows.
enum class LostWrite {
  TookEffect, ///< The intended value is there.
  /// Another value is there. The write may have taken effect before, but can
  /// not from now on: the version that it asked for has passed.
  Overtaken,
  /// Nothing has changed. The write may still be under way, so only the same
  /// conditional update may be sent again: at most one of both takes effect.
  SendAgain,
};

/// Decides on a lost answer. \p read is the object as read after it, empty
/// when there is none. Pure; thread safe.
LostWrite decideAfterLostAnswer(const std::optional<Object> &read,
                                const IntendedWrite &intended);

/// Bounds of settling.
struct SettleOptions {
  int MaxTries = 6; ///< Writes and reads together.
  BackoffOptions Retry;
};

/// Sends conditional updates and settles lost answers. Not thread safe:
/// belongs to the thread of its loop.
class SettledWriter {
public:
  /// Receives Written, Conflict, or Unknown after all tries.
  using Callback = std::function<void(Result<PutOutcome>)>;

  /// Precondition: \p loop and \p client outlive the writer.
  SettledWriter(event_base *loop, ObjectClient &client, SettleOptions options,
                std::uint64_t seed);

  /// Writes \p intended. Fails only when the platform refused it for good,
  /// for example as TooLarge.
  void put(IntendedWrite intended, Callback done);

private:
  /// One update from `put` to its callback.
  struct Attempt {
    IntendedWrite Intended;
    Callback Done;
    int Tries = 0;
    bool AnswerLost = false; ///< An earlier try may have taken effect.
    Backoff Delay;
    std::unique_ptr<Timer> Wait;
  };
  using AttemptRef = std::list<Attempt>::iterator;

  void write(AttemptRef it);
  void afterWrite(AttemptRef it, PutOutcome outcome);
  void read(AttemptRef it);
  void afterRead(AttemptRef it, const std::optional<Object> &object);
  void later(AttemptRef it, void (SettledWriter::*step)(AttemptRef));
  void finish(AttemptRef it, Result<PutOutcome> result);

  event_base *Loop;
  ObjectClient &Client;
  SettleOptions Options;
  std::mt19937_64 Rng;
  std::list<Attempt> Attempts;
  Guard Life;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_STORE_SETTLE_PUT_H
