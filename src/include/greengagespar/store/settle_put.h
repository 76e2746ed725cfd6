/// \file
/// Conditional updates that settle a lost answer: if the answer to a write is
/// lost, the writer reads the object to find out whether the write took effect.
#ifndef GREENGAGESPAR_STORE_SETTLE_PUT_H
#define GREENGAGESPAR_STORE_SETTLE_PUT_H

#include "greengagespar/base/timer.h"
#include "greengagespar/store/backoff.h"
#include "greengagespar/store/guard.h"
#include "greengagespar/store/object_client.h"
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>

namespace greengagespar {

/// A conditional update to be written.
struct IntendedWrite {
  std::string Path;
  /// The intended value. It must name its writer if several writers may write
  /// equal values and each must know which write took effect.
  boost::json::value Value;
  ObjectVersion IfVersion; ///< 0: the object must not exist.
};

/// What a read after a lost answer shows about the write.
enum class WriteEffect {
  TookEffect, ///< The object has the intended value.
  /// The object has another value or was removed. The write may have taken
  /// effect earlier. It can't any more, because the object no longer has the
  /// version that the write expects.
  Superseded,
  /// The object is unchanged. The write may still be in transit, so only the
  /// same conditional update may be sent again: at most one of the two takes
  /// effect.
  SendAgain,
};

/// Decides what became of a write whose answer was lost. \p read is the object
/// as read afterwards, empty if it does not exist. Pure; thread safe.
WriteEffect decideAfterLostAnswer(const std::optional<Object> &read,
                                  const IntendedWrite &intended);

/// Limits on settling a lost answer.
struct SettleOptions {
  int MaxTries = 6; ///< Writes and reads together.
  BackoffOptions Retry;
};

/// Sends conditional updates and settles lost answers. Not thread safe: it
/// belongs to the thread of its loop.
class SettledWriter {
public:
  /// Receives Written or Conflict, or Unknown if all tries failed.
  using Callback = std::function<void(Result<PutOutcome>)>;

  /// Precondition: \p loop and \p client outlive the writer.
  SettledWriter(event_base *loop, ObjectClient &client, SettleOptions options,
                std::uint64_t seed);

  /// Writes \p intended. Fails only if the platform refuses it permanently,
  /// for example with TooLarge.
  void put(IntendedWrite intended, Callback done);

private:
  /// One update from `put` to its callback.
  struct PendingWrite {
    IntendedWrite Intended;
    Callback Done;
    int Tries = 0;
    bool AnswerLost = false; ///< An earlier try may have taken effect.
    Backoff Delay;
    std::unique_ptr<Timer> RetryTimer;
  };
  using PendingRef = std::list<PendingWrite>::iterator;

  void write(PendingRef it);
  void afterWrite(PendingRef it, PutOutcome outcome);
  void read(PendingRef it);
  void afterRead(PendingRef it, const std::optional<Object> &object);
  void retryLater(PendingRef it, void (SettledWriter::*step)(PendingRef));
  void finish(PendingRef it, Result<PutOutcome> result);

  event_base *Loop;
  ObjectClient &Client;
  SettleOptions Options;
  std::mt19937_64 Rng;
  std::list<PendingWrite> Pending;
  Guard CallbackGuard;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_STORE_SETTLE_PUT_H
