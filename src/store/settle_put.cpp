#include "greengagespar/store/settle_put.h"

#include "greengagespar/store/captured.h"
#include <iterator>
#include <utility>

namespace greengagespar {

WriteEffect decideAfterLostAnswer(const std::optional<Object> &read,
                                  const IntendedWrite &intended) {
  if (!read)
    return intended.IfVersion.Value == 0 ? WriteEffect::SendAgain
                                         : WriteEffect::Superseded;
  // An older version is a stale read. The condition on the version makes
  // another try harmless.
  if (read->Version <= intended.IfVersion)
    return WriteEffect::SendAgain;
  return read->Value == intended.Value ? WriteEffect::TookEffect
                                       : WriteEffect::Superseded;
}

SettledWriter::SettledWriter(event_base *loop, ObjectClient &client,
                             SettleOptions options, std::uint64_t seed)
    : Loop(loop), Client(client), Options(options), Rng(seed) {}

void SettledWriter::put(IntendedWrite intended, Callback done) {
  PendingWrite pending;
  pending.Intended = std::move(intended);
  pending.Done = std::move(done);
  pending.Delay.Options = Options.Retry;
  Pending.push_back(std::move(pending));
  write(std::prev(Pending.end()));
}

void SettledWriter::write(PendingRef it) {
  ++it->Tries;
  auto done = [this, it](Result<PutOutcome> result) {
    recoverFrom(
        [&]() -> Result<void> {
          BOOST_LEAF_AUTO(outcome, std::move(result));
          afterWrite(it, outcome);
          return {};
        },
        [&](const Error &e) {
          if (e.Kind == ErrorKind::Overloaded)
            retryLater(it, &SettledWriter::write);
          else
            finish(it, capturedFailure<PutOutcome>(e.Kind, e.Message));
        });
  };
  Client.put(it->Intended.Path, it->Intended.Value, it->Intended.IfVersion,
             CallbackGuard.wrap(done));
}

void SettledWriter::afterWrite(PendingRef it, PutOutcome outcome) {
  bool lost = outcome.State == WriteState::Unknown;
  // After a lost answer, the conflict may be with an earlier try of the same
  // write.
  bool unclear = outcome.State == WriteState::Conflict && it->AnswerLost;
  it->AnswerLost = it->AnswerLost || lost;
  if (lost)
    retryLater(it, &SettledWriter::read);
  else if (unclear)
    read(it);
  else
    finish(it, std::move(outcome));
}

void SettledWriter::read(PendingRef it) {
  ++it->Tries;
  auto done = [this, it](Result<Object> result) {
    recoverFrom(
        [&]() -> Result<void> {
          BOOST_LEAF_AUTO(object, std::move(result));
          afterRead(it, object);
          return {};
        },
        [&](const Error &e) {
          if (e.Kind == ErrorKind::NotFound)
            afterRead(it, std::nullopt);
          else
            retryLater(it, &SettledWriter::read);
        });
  };
  Client.get(it->Intended.Path, CallbackGuard.wrap(done));
}

void SettledWriter::afterRead(PendingRef it,
                              const std::optional<Object> &object) {
  PutOutcome outcome;
  outcome.Version = object ? object->Version : ObjectVersion{0};
  switch (decideAfterLostAnswer(object, it->Intended)) {
  case WriteEffect::TookEffect:
    outcome.State = WriteState::Written;
    finish(it, std::move(outcome));
    return;
  case WriteEffect::Superseded:
    outcome.State = WriteState::Conflict;
    finish(it, std::move(outcome));
    return;
  case WriteEffect::SendAgain:
    retryLater(it, &SettledWriter::write);
    return;
  }
}

void SettledWriter::retryLater(PendingRef it,
                               void (SettledWriter::*step)(PendingRef)) {
  if (it->Tries >= Options.MaxTries) {
    PutOutcome outcome;
    outcome.Reason = "no answer after " + std::to_string(it->Tries) + " tries";
    finish(it, std::move(outcome));
    return;
  }
  it->RetryTimer =
      std::make_unique<Timer>(Loop, [this, it, step] { (this->*step)(it); });
  it->RetryTimer->start(nextDelay(it->Delay, Rng));
}

void SettledWriter::finish(PendingRef it, Result<PutOutcome> result) {
  Callback done = std::move(it->Done);
  Pending.erase(it);
  done(std::move(result));
}

} // namespace greengagespar
