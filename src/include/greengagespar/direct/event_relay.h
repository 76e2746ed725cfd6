/// \file
/// Cuts a stream of server-sent events into whole events, so that a stream that
/// breaks off in the middle of one can go on at another server without a
/// missing, doubled or joined piece. Pure; not thread safe.
#ifndef GREENGAGESPAR_DIRECT_EVENT_RELAY_H
#define GREENGAGESPAR_DIRECT_EVENT_RELAY_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace greengagespar {

/// Largest event. A server that sends more without an end is at fault.
inline constexpr std::size_t MaxEventBytes = std::size_t{1} << 20;

/// One caller's stream over all servers that worked on it.
struct EventRelay {
  std::string Partial;               ///< Bytes behind the last whole event.
  std::optional<std::uint64_t> Last; ///< Id of the last event passed on.
  std::uint64_t Events = 0;          ///< Events passed on.
  bool IsTooLong = false;            ///< An event is over MaxEventBytes.
};

/// Takes bytes of the server's stream and returns the whole events that the
/// caller has not had yet, byte for byte.
std::string takeEvents(EventRelay &relay, std::string_view bytes);

/// Drops what is left of a stream that broke off, before it goes on elsewhere.
void beginNextServer(EventRelay &relay);

} // namespace greengagespar

#endif // GREENGAGESPAR_DIRECT_EVENT_RELAY_H
