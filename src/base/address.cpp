#include "greengagespar/base/address.h"

#include <arpa/inet.h>
#include <charconv>

namespace greengagespar {

namespace {

constexpr std::size_t MaxPortDigits = 5;

std::optional<std::uint16_t> parsePort(std::string_view text) {
  if (text.empty() || text.size() > MaxPortDigits || text.front() == '0')
    return std::nullopt;
  std::uint16_t port = 0;
  const char *end = text.data() + text.size();
  auto [rest, ec] = std::from_chars(text.data(), end, port);
  if (ec != std::errc() || rest != end)
    return std::nullopt;
  return port;
}

} // namespace

std::optional<IpPort> parseIpPort(std::string_view text) {
  std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return std::nullopt;
  std::optional<std::uint16_t> port = parsePort(text.substr(colon + 1));
  std::string_view ip = text.substr(0, colon);
  if (!port)
    return std::nullopt;
  bool bracketed = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
  if (bracketed)
    ip = ip.substr(1, ip.size() - 2);
  IpPort out{std::string(ip), *port, bracketed};
  in6_addr parsed{};
  if (inet_pton(bracketed ? AF_INET6 : AF_INET, out.Ip.c_str(), &parsed) != 1)
    return std::nullopt;
  return out;
}

} // namespace greengagespar
