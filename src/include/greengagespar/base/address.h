/// \file
/// IP addresses with ports, as written in settings. Host names are refused,
/// because processes connect by IP address. All functions are pure and thread
/// safe.
#ifndef GREENGAGESPAR_BASE_ADDRESS_H
#define GREENGAGESPAR_BASE_ADDRESS_H

#include "greengagespar/base/ids.h"
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace greengagespar {

/// The parts of an Address.
struct IpPort {
  std::string Ip;         ///< "127.0.0.1" or "::1", without brackets.
  std::uint16_t Port = 0; ///< Never zero.
  bool IsV6 = false;
};

/// Splits "127.0.0.1:7001" or "[::1]:7001" into its parts. Returns an empty
/// optional for any other \p text.
std::optional<IpPort> parseIpPort(std::string_view text);

} // namespace greengagespar

#endif // GREENGAGESPAR_BASE_ADDRESS_H
