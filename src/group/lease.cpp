#include "greengagespar/group/lease.h"

#include <algorithm>

namespace greengagespar {

namespace {

bool isOwn(const LeaseState &state, const LeaseRecord &record) {
  return record.Holder == state.Self && record.Process == state.Process;
}

void see(LeaseState &state, const std::optional<LeaseRecord> &record) {
  state.Seen = record;
  if (record)
    state.HighestNumber = std::max(state.HighestNumber, record->Number);
}

void holdLease(LeaseState &state, const LeaseRecord &record,
               SteadyTime sentAt) {
  see(state, record);
  state.HeldUntil = sentAt + state.Limits.Term - state.Limits.Margin;
}

void handleRead(LeaseState &state, const LeaseRead &read, SteadyTime now) {
  state.CallOpen = false;
  // A restored store gives versions out again, so the record decides too.
  if (!state.HasRead || read.Version != state.SeenVersion ||
      read.Record != state.Seen)
    state.SeenSince = now;
  state.HasRead = true;
  see(state, read.Record);
  state.SeenVersion = read.Version;
  // A write whose answer was lost has taken effect if its record is read back.
  // Its term counts from the time at which the write was sent.
  if (state.PendingWrite && read.Record == state.PendingWrite)
    holdLease(state, *state.PendingWrite, state.WriteSentAt);
  else if (!read.Record || !isOwn(state, *read.Record))
    state.HeldUntil.reset();
  state.PendingWrite.reset();
}

void handleWritten(LeaseState &state, const LeaseWritten &written,
                   SteadyTime now) {
  state.CallOpen = false;
  if (!state.PendingWrite)
    return;
  holdLease(state, *state.PendingWrite, state.WriteSentAt);
  state.SeenVersion = written.Version;
  state.SeenSince = now;
  state.PendingWrite.reset();
}

// Records that the call of the action is sent, and returns the action.
LeaseAction startCall(LeaseState &state, const LeaseAction &action,
                      SteadyTime now) {
  state.CallOpen = true;
  state.CallSentAt = now;
  if (const auto *write = std::get_if<WriteLease>(&action)) {
    state.PendingWrite = write->Record;
    state.WriteSentAt = now;
  }
  return action;
}

// Returns the record of a renewal by the holder or of a take-over.
LeaseRecord nextRecord(const LeaseState &state) {
  LeaseRecord record = state.Seen.value_or(LeaseRecord{});
  bool isRenewal = state.Seen && isOwn(state, *state.Seen) &&
                   record.Number == state.HighestNumber;
  if (!isRenewal)
    record = {state.Self, state.Process, {state.HighestNumber.Value + 1}, 0};
  ++record.Renewal;
  return record;
}

} // namespace

std::optional<LeaseAction>
decideLease(LeaseState &state, const LeaseEvent &event, SteadyTime now) {
  if (const auto *read = std::get_if<LeaseRead>(&event))
    handleRead(state, *read, now);
  else if (const auto *written = std::get_if<LeaseWritten>(&event))
    handleWritten(state, *written, now);
  else if (std::get_if<LeaseCallFailed>(&event) != nullptr)
    state.CallOpen = false;
  if (state.CallOpen && now - state.CallSentAt >= state.Limits.CallTimeout)
    state.CallOpen = false;
  if (state.CallOpen)
    return std::nullopt;
  // If a write had no answer, a read finds out first whether it took effect.
  if (!state.HasRead || state.PendingWrite)
    return startCall(state, ReadLease{}, now);
  if (mayDriveUntil(state, now)) {
    if (now - state.WriteSentAt < state.Limits.RenewEvery)
      return std::nullopt;
    return startCall(state, WriteLease{nextRecord(state), state.SeenVersion},
                     now);
  }
  bool expired = !state.Seen || now - state.SeenSince >= state.Limits.Term;
  bool readRecently = now - state.CallSentAt < state.Limits.ReadEvery;
  if (expired && readRecently)
    return startCall(state, WriteLease{nextRecord(state), state.SeenVersion},
                     now);
  if (readRecently)
    return std::nullopt;
  return startCall(state, ReadLease{}, now);
}

std::optional<SteadyTime> mayDriveUntil(const LeaseState &state,
                                        SteadyTime now) {
  if (!state.HeldUntil || now >= *state.HeldUntil)
    return std::nullopt;
  return state.HeldUntil;
}

} // namespace greengagespar
