/// \file
/// Splits a stream of server-sent events into whole events. The entry forwards
/// only whole events that the caller has not received yet, so that a stream
/// that breaks off inside an event can be resumed on another server without
/// missing, duplicate or joined events. Pure; not thread safe.
#ifndef GREENGAGESPAR_DIRECT_EVENT_RELAY_H
#define GREENGAGESPAR_DIRECT_EVENT_RELAY_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace greengagespar {

/// Largest event. A server that sends more bytes without a new event is faulty,
/// also when they are whole events without an id, such as comments, or were
/// extracted before.
inline constexpr std::size_t MaxEventBytes = std::size_t{1} << 20;

/// State of one caller's stream across all servers that worked on it.
struct EventRelay {
  std::string Partial; ///< Bytes received after the last whole event.
  std::optional<std::uint64_t> LastId; ///< Id of the last event extracted.
  std::uint64_t EventCount = 0;        ///< Number of events extracted.
  /// Whole events without a new id since the last one that had one, in bytes.
  std::size_t BytesWithoutEvent = 0;
  bool IsTooLong = false; ///< More than MaxEventBytes came without a new event.
};

/// Adds \p bytes of the server's stream and returns, byte for byte, the whole
/// events that were not extracted before. An event whose id is not above
/// LastId is a duplicate and is left out.
std::string extractNewEvents(EventRelay &relay, std::string_view bytes);

/// Whether the stream has ended inside an event: it was broken off, even if the
/// connection was closed as after a whole answer.
bool endsInsideEvent(const EventRelay &relay);

/// Discards the incomplete event of a stream that broke off. Call it before the
/// stream is resumed on another server.
void discardPartialEvent(EventRelay &relay);

} // namespace greengagespar

#endif // GREENGAGESPAR_DIRECT_EVENT_RELAY_H
