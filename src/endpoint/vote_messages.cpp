#include "vote_messages.h"

namespace greengagespar {

ScopedKey keyOf(const wire::KeyClaim &from) {
  return {from.scope(), from.key()};
}

void toWire(const KeyClaim &claim, wire::KeyClaim &to) {
  to.set_scope(claim.Key.Scope);
  to.set_key(claim.Key.Key);
  to.set_server(claim.Runner.Value);
  to.set_incarnation(claim.RunnerIncarnation.Value);
  to.set_attempt(claim.Attempt);
  to.set_window_ms(static_cast<std::uint32_t>(claim.Window.count()));
}

KeyClaim fromWire(const wire::KeyClaim &from) {
  return {keyOf(from),
          {from.server()},
          {from.incarnation()},
          from.attempt(),
          std::chrono::milliseconds(from.window_ms())};
}

void toWire(const CastVote &vote, wire::Vote &to) {
  to.set_holder(vote.Holder.Value);
  to.set_granted(vote.Granted);
  to.set_sure(vote.IsMemoryComplete);
  if (vote.CurrentClaim)
    toWire(*vote.CurrentClaim, *to.mutable_present());
  for (const KnownIncarnation &it : vote.Known) {
    wire::KnownLife *known = to.add_known();
    known->set_server(it.Server.Value);
    known->set_life(it.Latest.Value);
  }
}

CastVote fromWire(const wire::Vote &from, Incarnation holderIncarnation) {
  CastVote vote;
  vote.Holder = {from.holder()};
  vote.HolderIncarnation = holderIncarnation;
  vote.Granted = from.granted();
  vote.IsMemoryComplete = from.sure();
  if (from.has_present())
    vote.CurrentClaim = fromWire(from.present());
  for (const wire::KnownLife &it : from.known())
    vote.Known.push_back({{it.server()}, {it.life()}});
  return vote;
}

void toWire(const RecoveryAnswer &answer, wire::RecoveredVotes &to) {
  to.set_server(answer.From.Value);
  to.set_asker_life(answer.RequesterIncarnation.Value);
  for (const ReportedVote &it : answer.Votes) {
    wire::ToldVote *reported = to.add_votes();
    toWire(it.Claim, *reported->mutable_claim());
    reported->set_contested(it.IsContested);
  }
  to.set_complete(answer.IsComplete);
  for (const ServerId &it : answer.Recovered)
    to.add_recovered(it.Value);
}

RecoveryAnswer fromWire(const wire::RecoveredVotes &from,
                        Incarnation holderIncarnation) {
  RecoveryAnswer answer;
  answer.From = {from.server()};
  answer.FromIncarnation = holderIncarnation;
  answer.RequesterIncarnation = {from.asker_life()};
  for (const wire::ToldVote &it : from.votes())
    answer.Votes.push_back({fromWire(it.claim()), it.contested()});
  answer.IsComplete = from.complete();
  for (const std::string &it : from.recovered())
    answer.Recovered.insert({it});
  return answer;
}

} // namespace greengagespar
