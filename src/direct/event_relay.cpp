#include "greengagespar/direct/event_relay.h"

#include <algorithm>
#include <charconv>

namespace greengagespar {

namespace {

// Returns the length of the first event, including the empty line that ends it,
// or zero when the event is not complete.
std::size_t eventLength(std::string_view bytes) {
  std::size_t line = 0;
  while (line < bytes.size()) {
    std::size_t end = bytes.find('\n', line);
    if (end == std::string_view::npos)
      return 0;
    std::string_view text = bytes.substr(line, end - line);
    if (text.empty() || text == "\r")
      return end + 1;
    line = end + 1;
  }
  return 0;
}

// Returns the number in the first field "id" of \p event that holds one.
std::optional<std::uint64_t> idOf(std::string_view event) {
  while (!event.empty()) {
    std::size_t end = std::min(event.find('\n'), event.size());
    std::string_view line = event.substr(0, end);
    event.remove_prefix(std::min(end + 1, event.size()));
    if (!line.starts_with("id:"))
      continue;
    line.remove_prefix(3);
    while (!line.empty() && line.front() == ' ')
      line.remove_prefix(1);
    std::uint64_t id = 0;
    auto [rest, ec] =
        std::from_chars(line.data(), line.data() + line.size(), id);
    if (ec == std::errc())
      return id;
  }
  return std::nullopt;
}

} // namespace

std::string extractNewEvents(EventRelay &relay, std::string_view bytes) {
  relay.Partial.append(bytes);
  std::string out;
  std::string_view rest = relay.Partial;
  while (std::size_t n = eventLength(rest)) {
    std::string_view event = rest.substr(0, n);
    rest.remove_prefix(n);
    auto id = idOf(event);
    bool isNew = id && (!relay.LastId || *id > *relay.LastId);
    relay.BytesWithoutEvent = isNew ? 0 : relay.BytesWithoutEvent + n;
    if (id && !isNew)
      continue;
    if (isNew)
      relay.LastId = id;
    ++relay.EventCount;
    out.append(event);
  }
  relay.Partial.erase(0, relay.Partial.size() - rest.size());
  relay.IsTooLong =
      relay.Partial.size() + relay.BytesWithoutEvent > MaxEventBytes;
  return out;
}

bool endsInsideEvent(const EventRelay &relay) {
  return relay.Partial.find_first_not_of("\r\n") != std::string::npos;
}

void discardPartialEvent(EventRelay &relay) {
  relay.Partial.clear();
  relay.BytesWithoutEvent = 0;
}

} // namespace greengagespar
