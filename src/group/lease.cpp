#include "greengagespar/group/lease.h"

namespace greengagespar {

namespace {

bool isOwn(const LeaseState &state, const LeaseRecord &record) {
  return record.Holder == state.Self && record.Process == state.Process;
}

void hold(LeaseState &state, const LeaseRecord &record, SteadyTime writtenAt) {
  state.Seen = record;
  state.HeldUntil = writtenAt + state.Limits.Term - state.Limits.Margin;
}

void takeRead(LeaseState &state, const LeaseRead &read, SteadyTime now) {
  state.CallOpen = false;
  if (!state.HasRead || read.Version != state.SeenVersion)
    state.SeenSince = now;
  state.HasRead = true;
  state.Seen = read.Record;
  state.SeenVersion = read.Version;
  // A write whose answer was lost did take effect if its record is read back;
  // its term counts from when it was sent.
  if (state.Written && read.Record == state.Written)
    hold(state, *state.Written, state.WrittenAt);
  else if (!read.Record || !isOwn(state, *read.Record))
    state.HeldUntil.reset();
  state.Written.reset();
}

void takeWritten(LeaseState &state, const LeaseWritten &written,
                 SteadyTime now) {
  state.CallOpen = false;
  if (!state.Written)
    return;
  hold(state, *state.Written, state.WrittenAt);
  state.SeenVersion = written.Version;
  state.SeenSince = now;
  state.Written.reset();
}

LeaseAction call(LeaseState &state, const LeaseAction &action, SteadyTime now) {
  state.CallOpen = true;
  state.CallAt = now;
  if (const auto *write = std::get_if<WriteLease>(&action)) {
    state.Written = write->Record;
    state.WrittenAt = now;
  }
  return action;
}

LeaseRecord nextRecord(const LeaseState &state) {
  LeaseRecord record = state.Seen.value_or(LeaseRecord{});
  if (!state.Seen || !isOwn(state, *state.Seen))
    record = {state.Self, state.Process, {record.Number.Value + 1}, 0};
  ++record.Renewal;
  return record;
}

} // namespace

std::optional<LeaseAction>
decideLease(LeaseState &state, const LeaseEvent &event, SteadyTime now) {
  if (const auto *read = std::get_if<LeaseRead>(&event))
    takeRead(state, *read, now);
  else if (const auto *written = std::get_if<LeaseWritten>(&event))
    takeWritten(state, *written, now);
  else if (std::get_if<LeaseCallFailed>(&event) != nullptr)
    state.CallOpen = false;
  if (state.CallOpen && now - state.CallAt >= state.Limits.CallTimeout)
    state.CallOpen = false;
  if (state.CallOpen)
    return std::nullopt;
  // The outcome of a write without an answer is settled by reading first.
  if (!state.HasRead || state.Written)
    return call(state, ReadLease{}, now);
  if (drivesUntil(state, now)) {
    if (now - state.WrittenAt < state.Limits.RenewEvery)
      return std::nullopt;
    return call(state, WriteLease{nextRecord(state), state.SeenVersion}, now);
  }
  bool lapsed = !state.Seen || now - state.SeenSince >= state.Limits.Term;
  bool readLately = now - state.CallAt < state.Limits.ReadEvery;
  if (lapsed && readLately)
    return call(state, WriteLease{nextRecord(state), state.SeenVersion}, now);
  if (readLately)
    return std::nullopt;
  return call(state, ReadLease{}, now);
}

std::optional<SteadyTime> drivesUntil(const LeaseState &state, SteadyTime now) {
  if (!state.HeldUntil || now >= *state.HeldUntil)
    return std::nullopt;
  return state.HeldUntil;
}

} // namespace greengagespar
