// How an exchange reads a stream from its server when its caller takes it
// slowly.
#include "greengagespar/direct/exchange.h"

namespace greengagespar {

namespace {

// Bytes that a caller has not taken above which the exchange stops to read.
constexpr std::size_t MaxUnsentOfStream = std::size_t{64} * 1024;
// A server cuts off an answer that is not read for some seconds, so reading
// stops for no longer than this while there is memory for the answer.
constexpr std::chrono::milliseconds MaxReadPause{2000};

} // namespace

void Exchange::pauseIfCallerIsSlow() {
  bool isSlow = Reply->unsentBytes() > MaxUnsentOfStream;
  if (!isSlow || HasEnded || !CurrentAttempt || CurrentAttempt->IsPaused)
    return;
  CurrentAttempt->IsPaused = true;
  CurrentAttempt->Connection->pauseReading();
  PauseTimer.start(MaxReadPause);
}

void Exchange::onPauseTimer() {
  if (hasRoomForAnswers(Context.Buffers))
    return resumeReading();
  PauseTimer.start(MaxReadPause);
}

void Exchange::resumeReading() {
  if (!CurrentAttempt || !CurrentAttempt->IsPaused)
    return;
  PauseTimer.stop();
  CurrentAttempt->IsPaused = false;
  // The time in which the exchange did not read says nothing of the server.
  CurrentAttempt->LastReceivedAt = Clock::now();
  CurrentAttempt->LastEventAt.reset();
  CurrentAttempt->Connection->resumeReading();
  if (!HasEnded)
    armTimer();
}

} // namespace greengagespar
