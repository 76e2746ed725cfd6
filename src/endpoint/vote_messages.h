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

/// Writes \p vote to \p to; the claim that \p to names remains unchanged.
void toWire(const CastVote &vote, wire::Vote &to);
/// Reads a vote that \p holderIncarnation of its holder cast.
CastVote fromWire(const wire::Vote &from, Incarnation holderIncarnation);

/// Writes \p answer to \p to.
void toWire(const RecoveryAnswer &answer, wire::RecoveredVotes &to);
/// Reads an answer that \p holderIncarnation of its holder sent.
RecoveryAnswer fromWire(const wire::RecoveredVotes &from,
                        Incarnation holderIncarnation);

} // namespace greengagespar

#endif // GREENGAGESPAR_ENDPOINT_VOTE_MESSAGES_H
