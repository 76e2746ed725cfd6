/// \file
/// Conversion between votes and their form on the wire. Pure functions; thread
/// safe.
#ifndef GREENGAGESPAR_ENDPOINT_VOTE_MESSAGES_H
#define GREENGAGESPAR_ENDPOINT_VOTE_MESSAGES_H

#include "greengagespar/call/key_votes.h"
#include "greengagespar/link/link.pb.h"

namespace greengagespar {

/// Returns the key of a claim on the wire.
ScopedKey keyOf(const wire::KeyClaim &from);

/// Writes \p claim to \p to.
void toWire(const KeyClaim &claim, wire::KeyClaim &to);
/// Reads a claim.
KeyClaim fromWire(const wire::KeyClaim &from);

/// Writes \p vote to \p to; the claim voted on is left as it is.
void toWire(const CastVote &vote, wire::Vote &to);
/// Reads a vote of a holder in \p life.
CastVote fromWire(const wire::Vote &from, Incarnation life);

/// Writes \p answer to \p to.
void toWire(const RecoveryAnswer &answer, wire::RecoveredVotes &to);
/// Reads an answer of a holder in \p life.
RecoveryAnswer fromWire(const wire::RecoveredVotes &from, Incarnation life);

} // namespace greengagespar

#endif // GREENGAGESPAR_ENDPOINT_VOTE_MESSAGES_H
