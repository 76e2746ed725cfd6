#include "greengagespar/store/settle_put.h"

#include "greengagespar/store/captured.h"
#include <iterator>
#include <utility>

namespace greengagespar {

LostWrite decideAfterLostAnswer(const std::optional<Object> &read,
                                const IntendedWrite &intended) {
  if (!read)
    return intended.IfVersion.Value == 0 ? LostWrite::SendAgain
                                         : LostWrite::Overtaken;
  // An older version is a stale read; the condition makes trying harmless.
  if (read->Version <= intended.IfVersion)
    return LostWrite::SendAgain;
  return read->Value == intended.Value ? LostWrite::TookEffect
                                       : LostWrite::Overtaken;
}

SettledWriter::SettledWriter(event_base *loop, ObjectClient &client,
                             SettleOptions options, std::uint64_t seed)
    : Loop(loop), Client(client), Options(options), Rng(seed) {}

void SettledWriter::put(IntendedWrite intended, Callback done) {
  Attempt attempt;
  attempt.Intended = std::move(intended);
  attempt.Done = std::move(done);
  attempt.Delay.Options = Options.Retry;
  Attempts.push_back(std::move(attempt));
  write(std::prev(Attempts.end()));
}

void SettledWriter::write(AttemptRef it) {
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
            later(it, &SettledWriter::write);
          else
            finish(it, capturedFailure<PutOutcome>(e.Kind, e.Message));
        });
  };
  Client.put(it->Intended.Path, it->Intended.Value, it->Intended.IfVersion,
             Life.wrap(done));
}

void SettledWriter::afterWrite(AttemptRef it, PutOutcome outcome) {
  bool lost = outcome.State == WriteState::Unknown;
  // A conflict after a lost answer may be a conflict with this very write.
  bool unclear = outcome.State == WriteState::Conflict && it->AnswerLost;
  it->AnswerLost = it->AnswerLost || lost;
  if (lost)
    later(it, &SettledWriter::read);
  else if (unclear)
    read(it);
  else
    finish(it, std::move(outcome));
}

void SettledWriter::read(AttemptRef it) {
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
            later(it, &SettledWriter::read);
        });
  };
  Client.get(it->Intended.Path, Life.wrap(done));
}

void SettledWriter::afterRead(AttemptRef it,
                              const std::optional<Object> &object) {
  PutOutcome outcome;
  outcome.Version = object ? object->Version : ObjectVersion{0};
  switch (decideAfterLostAnswer(object, it->Intended)) {
  case LostWrite::TookEffect:
    outcome.State = WriteState::Written;
    finish(it, std::move(outcome));
    return;
  case LostWrite::Overtaken:
    outcome.State = WriteState::Conflict;
    finish(it, std::move(outcome));
    return;
  case LostWrite::SendAgain:
    later(it, &SettledWriter::write);
    return;
  }
}

void SettledWriter::later(AttemptRef it,
                          void (SettledWriter::*step)(AttemptRef)) {
  if (it->Tries >= Options.MaxTries) {
    PutOutcome outcome;
    outcome.Why = "no answer after " + std::to_string(it->Tries) + " tries";
    finish(it, std::move(outcome));
    return;
  }
  it->Wait =
      std::make_unique<Timer>(Loop, [this, it, step] { (this->*step)(it); });
  it->Wait->start(nextDelay(it->Delay, Rng));
}

void SettledWriter::finish(AttemptRef it, Result<PutOutcome> result) {
  Callback done = std::move(it->Done);
  Attempts.erase(it);
  done(std::move(result));
}

} // namespace greengagespar
