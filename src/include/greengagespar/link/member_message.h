/// \file
/// Converts rows of the membership to and from messages between processes. Pure
/// functions; thread safe.
#ifndef GREENGAGESPAR_LINK_MEMBER_MESSAGE_H
#define GREENGAGESPAR_LINK_MEMBER_MESSAGE_H

#include "greengagespar/host/member.h"
#include "greengagespar/link/link.pb.h"
#include <optional>
#include <vector>

namespace greengagespar {

/// Most rows that are accepted from one message; further rows are ignored.
inline constexpr int MaxRowsAccepted = 64;

/// Most services whose demand is read from one row.
inline constexpr int MaxDemandsAccepted = 16;

/// Writes \p row into \p message.
void writeMember(const MemberRow &row, wire::Member &message);

/// Reads a row. Returns nothing when the name of its host or data centre is not
/// a valid identifier, when its link address is not an IP address with a port,
/// or when it is the row of an entry whose address for callers is not one.
std::optional<MemberRow> readMember(const wire::Member &message);

/// Reads the first MaxRowsAccepted rows and leaves out malformed ones.
std::vector<MemberRow> readMembers(const wire::Members &message);

} // namespace greengagespar

#endif // GREENGAGESPAR_LINK_MEMBER_MESSAGE_H
