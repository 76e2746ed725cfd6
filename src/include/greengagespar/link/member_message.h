/// \file
/// Rows of the membership in messages between processes. Pure functions; thread
/// safe.
#ifndef GREENGAGESPAR_LINK_MEMBER_MESSAGE_H
#define GREENGAGESPAR_LINK_MEMBER_MESSAGE_H

#include "greengagespar/host/member.h"
#include "greengagespar/link/link.pb.h"
#include <optional>
#include <vector>

namespace greengagespar {

/// Most rows that are taken from one message; the others are dropped.
inline constexpr int MaxRowsTaken = 64;

/// Writes \p row into \p message.
void writeMember(const MemberRow &row, wire::Member &message);

/// Reads a row; empty when its names are no identifiers, its link address is no
/// IP address with a port, or it is an entry whose address for callers is none.
std::optional<MemberRow> readMember(const wire::Member &message);

/// Reads at most MaxRowsTaken rows and leaves out malformed ones.
std::vector<MemberRow> readMembers(const wire::Members &message);

} // namespace greengagespar

#endif // GREENGAGESPAR_LINK_MEMBER_MESSAGE_H
