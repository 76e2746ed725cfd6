/// \file
/// Strong types for identifiers and counters. All are plain values, ordered
/// and hashable, and safe to copy between threads.
#ifndef GREENGAGESPAR_BASE_IDS_H
#define GREENGAGESPAR_BASE_IDS_H

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace greengagespar {

/// An identifier that is text. Tag makes each kind of identifier a type of its
/// own.
template <class Tag> struct TextId {
  std::string Value;
  auto operator<=>(const TextId &) const = default;
};

/// An identifier or counter that is a number. Tag makes each kind a type of its
/// own.
template <class Tag> struct NumberId {
  std::uint64_t Value = 0;
  auto operator<=>(const NumberId &) const = default;
};

/// A team: the owner of one subtree of settings.
using TeamId = TextId<struct TeamTag>;
/// A workspace. Callers name theirs in a header, and capacity is shared fairly
/// among workspaces.
using WorkspaceId = TextId<struct WorkspaceTag>;
/// A group of expert-parallel model servers.
using GroupId = TextId<struct GroupTag>;
/// A plain service beside the model groups.
using ServiceId = TextId<struct ServiceTag>;
/// A server of a group or service; one endpoint process runs in front of it.
using ServerId = TextId<struct ServerTag>;
/// A host: a machine that runs one process of the system.
using HostId = TextId<struct HostTag>;
/// A data centre.
using DataCentreId = TextId<struct DataCentreTag>;
/// An IP address and port, as "127.0.0.1:7001".
using Address = TextId<struct AddressTag>;

/// One incarnation of a process on a host or of a server: its start time in
/// microseconds since the epoch. For the same host or server, a higher value is
/// a later incarnation.
using Incarnation = NumberId<struct IncarnationTag>;
/// A part that prompts of a service share, such as a system prompt: a hash of
/// the service and the part.
using PromptPartId = NumberId<struct PromptPartTag>;
/// One incarnation of one server: a hash of both, which all entries compute
/// alike.
using ServerIncarnationId = NumberId<struct ServerIncarnationTag>;
/// The generation of the accepted settings of the whole system. It only
/// increases.
using Generation = NumberId<struct GenerationTag>;
/// The fencing number of a group's lease. It only increases.
using FencingNumber = NumberId<struct FencingTag>;

/// Identifies a call inside the system: the entry's incarnation and a counter.
struct CallId {
  Incarnation Entry;
  std::uint64_t Number = 0;
  auto operator<=>(const CallId &) const = default;
};

} // namespace greengagespar

/// Hashes any text identifier.
template <class Tag> struct std::hash<greengagespar::TextId<Tag>> {
  std::size_t operator()(const greengagespar::TextId<Tag> &id) const noexcept {
    return std::hash<std::string>()(id.Value);
  }
};

/// Hashes any number identifier.
template <class Tag> struct std::hash<greengagespar::NumberId<Tag>> {
  std::size_t
  operator()(const greengagespar::NumberId<Tag> &id) const noexcept {
    return std::hash<std::uint64_t>()(id.Value);
  }
};

/// Hashes a call identifier.
template <> struct std::hash<greengagespar::CallId> {
  std::size_t operator()(const greengagespar::CallId &id) const noexcept {
    return std::hash<std::uint64_t>()(id.Entry.Value * 1000003 ^ id.Number);
  }
};

#endif // GREENGAGESPAR_BASE_IDS_H
